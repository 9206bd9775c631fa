/**
 * Guards against a caller that receives the wrong status, a response without a
 * remedy or request id, or no response at all.
 */

import assert from 'node:assert/strict';
import {once} from 'node:events';
import http from 'node:http';
import net from 'node:net';
import {afterEach, beforeEach, describe, test} from 'node:test';
import {Result} from 'true-myth';
import type {OutcomeAnswer, ErrorAnswer} from '../src/daemon/caller_answers.js';
import {CallerApi} from '../src/daemon/caller_api.js';
import {JobService} from '../src/daemon/job_service.js';
import type {JobAcceptance} from '../src/daemon/job_service.js';
import {NotFoundError, RefusedError} from '../src/model/errors.js';
import type {CallError} from '../src/model/errors.js';
import {instant, trustedId} from '../src/model/ids.js';
import type {JobId} from '../src/model/ids.js';
import type {JobSubmission} from '../src/model/jobs.js';
import type {JobReport} from '../src/interfaces/peer_client.js';
import type {RequestService} from '../src/requests/request_service.js';
import {
  answerTo,
  CUSTOMER_ID,
  FakeSite,
  siteConfiguration,
  submission,
  waitUntil,
  ZONE,
} from './requests_fakes.js';

class FakeJobs extends JobService {
  waits = 0;

  override async submit(
    job: JobSubmission,
  ): Promise<Result<JobAcceptance, CallError>> {
    if (job.payload === 'huge') {
      return Result.err(new RefusedError('fits no rack', 'make it smaller'));
    }
    return Result.ok({
      jobId: trustedId<JobId>('job-1'),
      availabilityZone: ZONE,
      state: 'queued',
      durability: 'store',
      holders: 1,
    });
  }

  override async report(
    jobId: JobId,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<JobReport, CallError>> {
    if (waitMs > 0) {
      this.waits += 1;
      await new Promise((resolve) => {
        signal.addEventListener('abort', resolve);
        if (signal.aborted) resolve(undefined);
      });
    }
    return this.reportOf(jobId);
  }

  override async cancel(jobId: JobId) {
    return this.reportOf(jobId);
  }

  private reportOf(jobId: JobId): Result<JobReport, CallError> {
    if (jobId !== 'job-1') {
      return Result.err(new NotFoundError('no such job', 'check the id'));
    }
    const record: JobReport['record'] = {
      jobId,
      customerId: CUSTOMER_ID,
      workClassId: trustedId('bake'),
      availabilityZone: ZONE,
      shape: {tasks: 1, acceleratorsPerTask: 1},
      urgency: 'normal',
      declaredRunTimeMs: 1,
      payload: '',
      submittedAt: instant(1),
      state: 'queued',
      reason: 'submitted',
      sequence: 0,
      attempts: 0,
    };
    return Result.ok({record, inStore: true});
  }
}

describe('the HTTP interface for callers', () => {
  let site: FakeSite;
  let service: RequestService;
  let jobs: FakeJobs;
  let api: CallerApi;
  let base: string;
  let notReady: string | undefined;

  beforeEach(async () => {
    site = new FakeSite();
    service = site.addDaemon('one', 1);
    jobs = new FakeJobs();
    notReady = undefined;
    api = new CallerApi({
      requests: service,
      jobs,
      reasonNotReady: () => notReady,
    });
    base = `http://127.0.0.1:${await api.listen('127.0.0.1', 0)}`;
  });

  afterEach(() => api.close());

  async function call(method: string, path: string, body?: string | Buffer) {
    const response = await fetch(base + path, {
      method,
      headers: {connection: 'close'},
      ...(body === undefined ? {} : {body}),
    });
    assert.ok(response.headers.get('x-request-id'), 'no request id');
    return {
      status: response.status,
      headers: response.headers,
      body: (await response.json()) as OutcomeAnswer & ErrorAnswer,
    };
  }

  const post = (request: object) =>
    call('POST', '/v1/requests', JSON.stringify(request));

  test('an answered request gets 200 and can be read again by its id', async () => {
    const {status, body, headers} = await post(submission('scan', 'a', 'k'));
    assert.equal(status, 200);
    assert.equal(body.outcome === 'answered' && body.answer, answerTo('a'));
    assert.equal(headers.get('x-request-id'), body.requestId);
    const again = await call('GET', `/v1/requests/${body.requestId}`);
    assert.deepEqual(again.body, body);
  });

  test('each unsuccessful outcome has its status and a remedy', async () => {
    const failures = [
      {status: 400, request: {...submission('scan', 'a'), workClassId: 'none'}},
      {status: 409, request: submission('scan', 'other', 'k')},
      {status: 504, request: submission('scan', 'a')},
      {status: 503, request: submission('scan', 'a', 'away')},
    ];
    await post(submission('scan', 'first', 'k'));
    site.minions.faults = ['lost-answer'];
    for (const {status, request} of failures) {
      site.store.unavailable = request.key === 'away';
      const answer = await post(request);
      assert.equal(answer.status, status);
      const {body} = answer;
      assert.ok(body.outcome !== 'answered' && body.remedy, body.outcome);
    }
  });

  test('a customer over its limit gets 429 with Retry-After', async () => {
    const limits = {requestsPerSecond: 0.5, burst: 1, concurrency: 1};
    site.configuration = siteConfiguration([CUSTOMER_ID], limits);
    assert.equal((await post(submission('check', 'a'))).status, 200);
    const {status, headers} = await post(submission('check', 'b'));
    assert.equal(status, 429);
    assert.equal(headers.get('retry-after'), '2');
  });

  test('malformed bodies, ids and queries get 400 and run nothing', async () => {
    const valid = JSON.stringify(submission('scan', '?'));
    const notUtf8 = Buffer.from(valid);
    notUtf8[valid.indexOf('?')] = 0xff;
    const bodies = ['', '{', '[]', '{"customerId": 3}', notUtf8];
    for (const body of bodies) {
      const answer = await call('POST', '/v1/requests', body);
      assert.equal(answer.status, 400);
      assert.ok(answer.body.error.remedy);
      assert.equal((await call('POST', '/v1/jobs', body)).status, 400);
    }
    for (const path of ['/v1/requests/%20', '/v1/jobs/a%2Fb']) {
      assert.equal((await call('GET', path)).status, 400);
    }
    for (const wait of ['-1', 'x', '1.5', '60001', '1&waitMs=2']) {
      const {status} = await call('GET', `/v1/jobs/job-1?waitMs=${wait}`);
      assert.equal(status, 400, wait);
    }
    assert.equal(site.minions.callCount, 0);
  });

  test('an oversized body gets 413, declared or not, and is read to its end', async () => {
    const limit = 4_194_304;
    const bodies = [
      {headers: {'content-length': limit + 1}, text: ''},
      {headers: {}, text: 'x'.repeat(3 * limit)},
    ];
    for (const {headers, text} of bodies) {
      const request = http.request(`${base}/v1/requests`, {
        method: 'POST',
        headers,
      });
      const answered = once(request, 'response');
      // Fails if the daemon closes the connection or stops reading.
      await new Promise<void>((resolve, reject) => {
        request.write(text, (error) => (error ? reject(error) : resolve()));
      });
      const [response] = (await answered) as [http.IncomingMessage];
      assert.equal(response.statusCode, 413);
      request.destroy();
    }
  });

  test('an unknown path, request or job gets 404', async () => {
    for (const path of ['/', '/v1/requests/request-1', '/v1/jobs/job-2']) {
      const answer = await call('GET', path);
      assert.equal(answer.status, 404);
      assert.ok(answer.body.error.remedy);
    }
    assert.equal((await call('PUT', '/v1/jobs/job-1')).status, 404);
  });

  test('jobs are accepted, refused, reported and cancelled', async () => {
    const job = {customerId: CUSTOMER_ID, workClassId: 'bake'};
    const submit = (payload: string) =>
      call('POST', '/v1/jobs', JSON.stringify({...job, payload}));
    assert.equal((await submit('small')).status, 200);
    assert.equal((await submit('huge')).status, 409);
    assert.equal((await call('GET', '/v1/jobs/job-1')).status, 200);
    assert.equal((await call('DELETE', '/v1/jobs/job-1')).status, 200);
  });

  test('a disconnect cancels only requests not yet sent to a minion', async () => {
    const gate = deferred();
    site.minions.gate = gate.promise;
    const callers = ['handed-over', 'waiting'].map(async (payload) => {
      const controller = new AbortController();
      const body = JSON.stringify(submission('scan', payload, payload));
      const sent = fetch(`${base}/v1/requests`, {
        method: 'POST',
        body,
        signal: controller.signal,
      });
      return {controller, sent: sent.catch(() => undefined)};
    });
    const [first] = await Promise.all(callers);
    await waitUntil(() => service.queueLengths()[0]?.queued === 2);
    const dispatched = site.minions.ran.map((request) => request.payload);
    for (const caller of await Promise.all(callers)) caller.controller.abort();
    await first?.sent;
    await waitUntil(() => service.queueLengths()[0]?.queued === 1);
    gate.resolve(undefined);
    await waitUntil(() => service.queueLengths()[0]?.queued === 0);
    assert.deepEqual(
      site.minions.ran.map((request) => request.payload),
      dispatched,
    );
    const ran = site.minions.ran[0];
    assert.ok(ran);
    assert.equal(service.outcome(ran.requestId)?.outcome, 'answered');
  });

  test('malformed input gets no response while an earlier call is open', async () => {
    const sendRaw = async (text: string) => {
      const socket = net.connect(Number(new URL(base).port), '127.0.0.1');
      let received = '';
      socket.on('data', (chunk) => (received += String(chunk)));
      socket.on('error', () => undefined);
      socket.write(text);
      await once(socket, 'close');
      return received;
    };
    const gate = deferred();
    site.minions.gate = gate.promise;
    const body = JSON.stringify(submission('scan', 'a'));
    const head = `POST /v1/requests HTTP/1.1\r\nHost: a\r\nContent-Length: ${body.length}`;
    assert.equal(await sendRaw(`${head}\r\n\r\n${body}garbage\r\n\r\n`), '');
    gate.resolve(undefined);
    const alone = await sendRaw('garbage\r\n\r\n');
    assert.match(alone, /^HTTP\/1.1 400 [^]*X-Request-Id: request-/);
  });

  test('closing finishes requests in progress and ends long polls', async () => {
    const gate = deferred();
    site.minions.gate = gate.promise;
    const running = post(submission('scan', 'a'));
    const waiting = call('GET', '/v1/jobs/job-1?waitMs=60000');
    await waitUntil(() => site.minions.ran.length === 1 && jobs.waits === 1);
    const closed = api.close();
    assert.equal((await waiting).status, 200);
    gate.resolve(undefined);
    assert.equal((await running).status, 200);
    await closed;
    await assert.rejects(fetch(`${base}/ready`));
  });

  test('a daemon that is not ready answers 503 and closes connections', async () => {
    assert.equal((await call('GET', '/ready')).status, 200);
    notReady = 'leaving';
    const response = await fetch(`${base}/ready`);
    assert.equal(response.status, 503);
    assert.equal(response.headers.get('connection'), 'close');
    await response.text();
  });
});

function deferred() {
  let resolve: (value: undefined) => void = () => undefined;
  const promise = new Promise<undefined>((settle) => {
    resolve = settle;
  });
  return {promise, resolve};
}
