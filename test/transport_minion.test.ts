/**
 * Guards against callers that receive a wrong or truncated answer, get
 * "not run" for a request that ran, or wait on a dead connection. Runs
 * against a minion process behind a fault proxy.
 */

import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import type {MinionResult} from '../src/interfaces/minion_client.js';
import {FaultProxyAdmin, MinionAdmin} from '../src/standins/admin_client.js';
import type {MinionFaultsInput} from '../src/standins/admin_client.js';
import {StandinProcess} from '../src/standins/launcher.js';
import {expectedAnswer} from '../src/standins/minion_service.js';
import {HttpMinionClient} from '../src/transport/http_minion_client.js';
import {contentDigest} from '../src/transport/http_protocol.js';
import {
  LONG_TIMEOUT_MS,
  SHORT_TIMEOUT_MS,
  eventually,
  minionVm,
  serviceRequest,
} from './standins_support.js';

/** Longer than the timeout of the requests that wait meanwhile. */
const SERVICE_TIME_MS = 2_000;

let scope: CleanupScope;
let minion: StandinProcess;
let admin: MinionAdmin;
let proxy: StandinProcess;
let proxyAdmin: FaultProxyAdmin;
let client: HttpMinionClient;

beforeEach(async () => {
  scope = new CleanupScope();
  minion = await StandinProcess.start(scope, 'minion', {minionId: 'minion-1'});
  admin = new MinionAdmin(scope, minion.adminAddress);
  proxy = await StandinProcess.start(scope, 'faultProxy', {
    links: [{name: 'minion', target: minion.address}],
  });
  proxyAdmin = new FaultProxyAdmin(scope, proxy.adminAddress);
  client = new HttpMinionClient(scope);
});

afterEach(() => scope.close());

function run(id: string, timeoutMs = LONG_TIMEOUT_MS): Promise<MinionResult> {
  const vm = minionVm(proxy.linkAddress('minion'));
  return client.run(vm, serviceRequest(id), timeoutMs);
}

function describeResult(result: MinionResult): string {
  return result.kind === 'answered'
    ? 'answered'
    : `${result.kind} ${result.reason}`;
}

/** Returns the ids of the requests that the minion started. */
function startedRequestIds(): string[] {
  return minion.events.flatMap((event) =>
    event.event === 'runStarted' ? [event.requestId] : [],
  );
}

describe('answers', () => {
  it('each of many concurrent requests gets its own complete answer', async () => {
    const requests = Array.from({length: 100}, (_, index) =>
      serviceRequest(`r-${index}`, `{"serviceTimeMs":${index % 7}}`),
    );
    const vm = minionVm(minion.address, 16);
    const results = await Promise.all(
      requests.map((request) => client.run(vm, request, LONG_TIMEOUT_MS)),
    );
    for (const [index, request] of requests.entries()) {
      assert.deepEqual(results[index], {
        kind: 'answered',
        answer: expectedAnswer(request.requestId, request.payload),
        leaving: false,
      });
    }
  });

  const wrongAnswers: ReadonlyArray<MinionFaultsInput['answers']> = [
    'truncated',
    'foreign',
    'wrong-digest',
    'oversized',
    'never-ending',
  ];
  for (const answers of wrongAnswers) {
    it(`a ${answers} answer is rejected and its connection is not reused`, async () => {
      await admin.setFaults({answers});
      assert.equal(
        describeResult(await run('r-1')),
        'unknown malformed-answer',
      );
      await eventually('the connection is closed', async () =>
        (await admin.status()).connections === 0 ? true : undefined,
      );
      await admin.setFaults({});
      assert.equal(describeResult(await run('r-2')), 'answered');
      assert.equal((await admin.status()).acceptedConnections, 2);
    });
  }

  it('the memory for a never-ending answer is bounded', async () => {
    await admin.setFaults({answers: 'never-ending'});
    await run('r-1');
    // The client accepts 3 MiB; socket and proxy buffers may hold the rest.
    const {bytesToClient} = await proxyAdmin.status('minion');
    assert.ok(bytesToClient < 32 * 1_048_576, `${bytesToClient} bytes`);
  });
});

describe('unresponsive connections', () => {
  it('a connection that stops responding is closed and never reused', async () => {
    assert.equal(describeResult(await run('r-1')), 'answered');
    await proxyAdmin.setFaults('minion', {freeze: 'both'});
    const unanswered = await run('r-2', SHORT_TIMEOUT_MS);
    assert.equal(describeResult(unanswered), 'unknown no-answer-in-time');
    // Healing does not revive the frozen connection; a new one is needed.
    await proxyAdmin.heal('minion');
    assert.equal(describeResult(await run('r-3')), 'answered');
    assert.equal((await proxyAdmin.status('minion')).acceptedConnections, 2);
  });

  it('a late answer is never delivered to the next request', async () => {
    await admin.setFaults({slowMs: 2 * SHORT_TIMEOUT_MS});
    const late = await run('r-1', SHORT_TIMEOUT_MS);
    assert.equal(describeResult(late), 'unknown no-answer-in-time');
    const next = await run('r-2');
    const {payload, requestId} = serviceRequest('r-2');
    assert.equal(
      next.kind === 'answered' && next.answer,
      expectedAnswer(requestId, payload),
    );
    assert.deepEqual(startedRequestIds(), ['r-1', 'r-2']);
  });
});

describe('a backend that closes connections', () => {
  it('gets each request once, even on a reused connection', async () => {
    const received: string[] = [];
    const server = createServer((socket) => {
      scope.add(() => void socket.destroy());
      socket.on('error', () => undefined);
      socket.on('data', (chunk) => {
        const id = /x-request-id: (\S+)/.exec(chunk.toString())?.[1] ?? '';
        received.push(id);
        if (id !== 'r-1') socket.destroy();
        else socket.write(emptyAnswer(id));
      });
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    scope.add(() => void server.close());
    const {port} = server.address() as AddressInfo;
    const vm = minionVm(`127.0.0.1:${port}`);
    const results: string[] = [];
    for (const id of ['r-1', 'r-2', 'r-3']) {
      results.push(
        describeResult(
          await client.run(vm, serviceRequest(id), LONG_TIMEOUT_MS),
        ),
      );
    }
    assert.deepEqual(results, [
      'answered',
      'unknown connection-lost',
      'unknown connection-lost',
    ]);
    assert.deepEqual(received, ['r-1', 'r-2', 'r-3']);
  });
});

function emptyAnswer(requestId: string): string {
  return [
    'HTTP/1.1 200 OK',
    'content-length: 0',
    `x-request-id: ${requestId}`,
    `content-digest: ${contentDigest('')}`,
    '\r\n',
  ].join('\r\n');
}

describe('not run', () => {
  it('a refusal means not run and reports that the VM is leaving', async () => {
    await admin.setFaults({leaving: true});
    const result = await run('r-1');
    assert.equal(describeResult(result), 'notRun refused');
    assert.equal(result.kind === 'notRun' && result.leaving, true);
    await admin.setFaults({answers: 'refused'});
    assert.equal(describeResult(await run('r-2')), 'notRun refused');
    assert.deepEqual(startedRequestIds(), []);
  });

  it('a request to a minion that accepts no connection did not run', async () => {
    await minion.kill();
    const vm = minionVm(minion.address);
    const result = await client.run(vm, serviceRequest('r-1'), LONG_TIMEOUT_MS);
    assert.equal(describeResult(result), 'notRun unreachable');
  });

  it('a connection lost after the request was sent leaves the effect unknown', async () => {
    await admin.setFaults({slowMs: LONG_TIMEOUT_MS});
    const result = run('r-1');
    await minion.waitForEvent((event) => event.event === 'runStarted');
    await proxyAdmin.setFaults('minion', {cut: true});
    assert.equal(describeResult(await result), 'unknown connection-lost');
  });

  it('the connection limit holds, and a request that gets no connection in time never runs', async () => {
    const vm = minionVm(minion.address, 2);
    const payload = JSON.stringify({serviceTimeMs: SERVICE_TIME_MS});
    const first = ['r-1', 'r-2'].map((id) =>
      client.run(vm, serviceRequest(id, payload), LONG_TIMEOUT_MS),
    );
    await eventually('both run', async () =>
      startedRequestIds().length === 2 ? true : undefined,
    );
    const waiting = await Promise.all(
      ['r-3', 'r-4'].map((id) =>
        client.run(vm, serviceRequest(id), SHORT_TIMEOUT_MS),
      ),
    );
    assert.deepEqual(waiting.map(describeResult), [
      'notRun unreachable',
      'notRun unreachable',
    ]);
    // The connections are idle again, and no timed-out request is sent on them.
    await Promise.all(first);
    const last = await client.run(vm, serviceRequest('r-5'), LONG_TIMEOUT_MS);
    assert.equal(describeResult(last), 'answered');
    assert.deepEqual(startedRequestIds().sort(), ['r-1', 'r-2', 'r-5']);
    const {mostConnections, acceptedConnections} = await admin.status();
    assert.deepEqual([mostConnections, acceptedConnections], [2, 2]);
  });
});
