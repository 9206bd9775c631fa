/**
 * Guards against calls whose effect is reported wrongly, connections that stay
 * unresponsive, answers delivered to the wrong call, and reconnect storms. All
 * sockets are real and on loopback, with ports chosen by the system.
 */

import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createRequire} from 'node:module';
import {connect, createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {Worker} from 'node:worker_threads';
import {Result} from 'true-myth';
import {WebSocket, WebSocketServer} from 'ws';
import {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import {EMPTY_CONFIGURATION} from '../src/model/configuration.js';
import {
  ConflictError,
  InvalidInputError,
  NotFoundError,
  ProtocolError,
  RefusedError,
  TimeoutError,
  UnavailableError,
  UnknownEffectError,
  hadNoEffect,
} from '../src/model/errors.js';
import type {CallError} from '../src/model/errors.js';
import {instant, trustedId} from '../src/model/ids.js';
import type {DaemonId, JobId, RequestId, VmId} from '../src/model/ids.js';
import type {JobRecord} from '../src/model/jobs.js';
import type {Outcome} from '../src/model/requests.js';
import {PeerHandler} from '../src/interfaces/peer_client.js';
import type {
  ConfigurationUpdate,
  Dispatch,
  Heartbeat,
  JobReport,
} from '../src/interfaces/peer_client.js';
import {MAXIMUM_MESSAGE_BYTES} from '../src/transport/peer_protocol.js';
import {TrpcPeerClient} from '../src/transport/trpc_peer_client.js';
import {TrpcPeerServer} from '../src/transport/trpc_peer_server.js';
import {Gate, ZeroRandom, until} from './control_fakes.js';

/** Time limit of calls that are not meant to time out. */
const CALL_MS = 20_000;

function createHeartbeat(daemonId: string): Heartbeat {
  return {
    daemonId: trustedId(daemonId),
    vmId: trustedId('entry-1'),
    availabilityZone: trustedId('north'),
    address: '127.0.0.1:7000',
    leaving: false,
    configurationVersion: 3,
    queueLengths: [],
  };
}

function createDispatch(requestId: string): Dispatch {
  return {
    minionId: trustedId('minion-1'),
    request: {
      requestId: trustedId(requestId),
      customerId: trustedId('guild'),
      workClassId: trustedId('check'),
      repeatable: false,
      receivedAt: instant(1),
      deadline: instant(2),
      payload: 'pack',
    },
  };
}

const RECORD: JobRecord = {
  jobId: trustedId('job-1'),
  customerId: trustedId('guild'),
  workClassId: trustedId('bake'),
  availabilityZone: trustedId('north'),
  shape: {tasks: 2, acceleratorsPerTask: 1},
  urgency: 'normal',
  declaredRunTimeMs: 1,
  payload: '',
  submittedAt: instant(1),
  state: 'queued',
  reason: '',
  sequence: 0,
  attempts: 0,
};

/** Answers every call; tests override single fields and methods. */
class TestHandler extends PeerHandler {
  error: CallError = new NotFoundError('no such job', 'list the jobs');
  reports: JobReport[] = [];
  answer: (requestId: string) => Promise<string> = async (id) => id;

  override heartbeat(received: Heartbeat): Heartbeat {
    return {...received, daemonId: trustedId('answering')};
  }
  override configurationSince(): ConfigurationUpdate {
    return {kind: 'snapshot', configuration: EMPTY_CONFIGURATION};
  }
  override async dispatch({request}: Dispatch): Promise<Outcome> {
    const answer = await this.answer(request.requestId);
    return {outcome: 'answered', requestId: request.requestId, answer};
  }
  override async submitJob(): Promise<Result<void, CallError>> {
    return Result.ok(undefined);
  }
  override async cancelJob(): Promise<Result<JobReport, CallError>> {
    return Result.err(this.error);
  }
  override async job(): Promise<Result<JobReport, CallError>> {
    return Result.ok({record: RECORD, inStore: true});
  }
  override jobs(): readonly JobReport[] {
    return this.reports;
  }
  override async claimOutcome(requestId: RequestId): Promise<Outcome> {
    return {outcome: 'answered', requestId, answer: 'claimed'};
  }
}

/** Source of a peer in its own thread; sets the flag after each answer. */
const ANSWERING_PEER = `
  const {parentPort, workerData} = require('node:worker_threads');
  const {WebSocketServer} = require(workerData.ws);
  const server = new WebSocketServer({host: '127.0.0.1', port: 0}, () =>
    parentPort.postMessage(server.address().port));
  server.on('connection', (socket) => socket.on('message', (data) => {
    const {id} = JSON.parse(data);
    const answer = JSON.stringify({id, result: {type: 'data', data: 1}});
    socket.send(answer, () => {
      Atomics.store(workerData.flags, 0, 1);
      Atomics.notify(workerData.flags, 0);
    });
  }));
`;

/** TCP proxy. Connections that are open when `freeze` is called stay frozen. */
class FreezableProxy {
  private readonly pairs = new Set<[Socket, Socket]>();
  private readonly server = createServer((near) => {
    const far = connect(this.target, '127.0.0.1');
    this.pairs.add([near, far]);
    near.on('error', () => far.destroy()).pipe(far);
    far.on('error', () => near.destroy()).pipe(near);
  });

  constructor(private readonly target: number) {}

  async listen(): Promise<string> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  freeze(): void {
    for (const [near, far] of this.pairs) {
      near.unpipe(far);
      far.unpipe(near);
      near.pause();
      far.pause();
    }
  }

  /** Closes all open connections. */
  cut(): void {
    for (const pair of this.pairs) for (const socket of pair) socket.destroy();
    this.pairs.clear();
  }

  async close(): Promise<void> {
    this.cut();
    await new Promise((resolve) => this.server.close(resolve));
  }
}

describe('links between daemons', {timeout: 60_000}, () => {
  let scope: CleanupScope;
  let handler: TestHandler;
  let server: TrpcPeerServer;
  let client: TrpcPeerClient;
  let address: string;

  beforeEach(async () => {
    scope = new CleanupScope();
    handler = new TestHandler();
    server = await startServer(scope);
    client = newClient();
    address = `127.0.0.1:${server.port}`;
  });
  afterEach(() => scope.close());

  async function startServer(owner: CleanupScope): Promise<TrpcPeerServer> {
    const started = await TrpcPeerServer.listen({
      handler,
      host: '127.0.0.1',
      port: 0,
      scope: owner,
      log: () => {},
    });
    assert.ok(started.isOk);
    return started.value;
  }

  function newClient(heartbeatMs = CALL_MS): TrpcPeerClient {
    return new TrpcPeerClient({
      random: new ZeroRandom(),
      scope,
      log: () => {},
      timeLimits: {heartbeatMs, jobMs: CALL_MS, jobsMs: CALL_MS},
    });
  }

  /** Starts a peer that passes each message to `reply`. */
  async function rawPeer(
    reply: (socket: WebSocket, id: number) => void,
  ): Promise<string> {
    const raw = new WebSocketServer({host: '127.0.0.1', port: 0});
    await once(raw, 'listening');
    raw.on('connection', (socket) =>
      socket.on('message', (data) => {
        const {id} = JSON.parse(String(data)) as {id: number};
        reply(socket, id);
      }),
    );
    scope.add(async () => {
      for (const socket of raw.clients) socket.terminate();
      await new Promise((resolve) => raw.close(resolve));
    });
    return `127.0.0.1:${(raw.address() as AddressInfo).port}`;
  }

  it('carries every call over one connection', async () => {
    const jobId = trustedId<JobId>('job-1');
    const answers = [
      await client.heartbeat(address, createHeartbeat('asking')),
      await client.configurationSince(address, 0),
      await client.dispatch(address, createDispatch('request-1'), CALL_MS),
      await client.submitJob(address, RECORD),
      await client.job(address, jobId),
      await client.jobs(address),
      await client.claimOutcome(address, trustedId('request-1')),
    ];
    for (const answer of answers) assert.ok(answer.isOk, answer.toString());
    assert.equal(client.linkCounters()[0]?.attempts, 1);
    assert.equal(server.links().length, 1);
  });

  it('transfers errors of the peer unchanged', async () => {
    const errors = [
      new InvalidInputError('job.id', 'is: malformed', 'correct it'),
      new NotFoundError('a', 'b'),
      new ConflictError('a', 'b'),
      new RefusedError('a', 'b'),
      new UnavailableError('a', 'b'),
      new TimeoutError('a', 'b'),
      new UnknownEffectError('a', 'b'),
      new ProtocolError('a', 'b'),
    ];
    for (const error of errors) {
      handler.error = error;
      const answer = await client.cancelJob(address, trustedId('job-1'));
      assert.ok(answer.isErr);
      assert.equal(answer.error.constructor, error.constructor);
      assert.deepEqual(answer.error.report(), error.report());
      assert.equal(hadNoEffect(answer.error), hadNoEffect(error));
    }
  });

  it('reports an unknown effect if the handler throws', async () => {
    handler.answer = async () => {
      throw new Error('out of memory');
    };
    const result = await client.dispatch(address, createDispatch('r'), CALL_MS);
    assert.ok(result.isErr && result.error.kind === 'unknown-effect');
  });

  it('reports no effect if no peer listens, and limits reconnects', async () => {
    const closedScope = new CleanupScope();
    const port = (await startServer(closedScope)).port;
    await closedScope.close();
    for (let i = 0; i < 50; i += 1) {
      const result = await client.dispatch(
        `127.0.0.1:${port}`,
        createDispatch(`r-${i}`),
        CALL_MS,
      );
      assert.ok(result.isErr && result.error.kind === 'unavailable');
    }
    const slow = new TrpcPeerClient({
      random: {next: () => 1, nextBelow: () => 0},
      scope,
      log: () => {},
    });
    for (let i = 0; i < 50; i += 1) {
      await slow.heartbeat(`127.0.0.1:${port}`, createHeartbeat('asking'));
    }
    assert.ok((slow.linkCounters()[0]?.attempts ?? 50) < 25);
  });

  it('reports an unknown effect if the peer dies during a call', async () => {
    const dying = new CleanupScope();
    const other = await startServer(dying);
    const received = new Gate();
    handler.answer = async () => {
      received.open();
      return new Promise(() => {});
    };
    const call = client.dispatch(
      `127.0.0.1:${other.port}`,
      createDispatch('r'),
      CALL_MS,
    );
    await received.opened;
    await dying.close();
    const result = await call;
    assert.ok(result.isErr && result.error.kind === 'unknown-effect');
  });

  it('replaces an unresponsive connection', async () => {
    const proxy = new FreezableProxy(server.port);
    const proxied = await proxy.listen();
    scope.add(() => proxy.close());
    const shortTimeoutClient = newClient(400);
    const answers = async () => {
      const result = await shortTimeoutClient.heartbeat(
        proxied,
        createHeartbeat('asking'),
      );
      return result.isOk;
    };
    while (!(await answers()));
    const before = shortTimeoutClient.linkCounters()[0]?.heartbeatTimeouts ?? 0;
    proxy.freeze();
    const request = shortTimeoutClient.dispatch(
      proxied,
      createDispatch('r'),
      CALL_MS,
    );
    const unanswered = await shortTimeoutClient.heartbeat(
      proxied,
      createHeartbeat('asking'),
    );
    assert.ok(unanswered.isErr && unanswered.error.kind === 'timeout');
    const lost = await request;
    assert.ok(lost.isErr && lost.error.kind === 'unknown-effect');
    while (!(await answers()));
    assert.ok(
      (shortTimeoutClient.linkCounters()[0]?.heartbeatTimeouts ?? 0) > before,
    );
  });

  it('accepts an answer that arrived while this process was paused', async () => {
    const flags = new Int32Array(new SharedArrayBuffer(4));
    const worker = new Worker(ANSWERING_PEER, {
      eval: true,
      workerData: {flags, ws: createRequire(import.meta.url).resolve('ws')},
    });
    scope.add(async () => void (await worker.terminate()));
    const [port] = (await once(worker, 'message')) as [number];
    const remote = `127.0.0.1:${port}`;
    // Opens the connection; the answer does not match the schema.
    assert.ok(
      (await client.dispatch(remote, createDispatch('r'), CALL_MS)).isErr,
    );
    const limitMs = 50;
    const end = performance.now() + 2 * limitMs;
    Atomics.store(flags, 0, 0);
    const call = client.dispatch(remote, createDispatch('r'), limitMs);
    Atomics.wait(flags, 0, 0, CALL_MS);
    while (performance.now() < end);
    const result = await call;
    assert.ok(result.isErr && result.error.kind === 'protocol');
  });

  it('drops a late answer instead of delivering it to another call', async () => {
    const gate = new Gate();
    handler.answer = async (id) => {
      if (id === 'late') await gate.opened;
      return id;
    };
    // Opens the connection, so that the short timeout cannot expire before.
    assert.ok(
      (await client.heartbeat(address, createHeartbeat('asking'))).isOk,
    );
    const late = await client.dispatch(address, createDispatch('late'), 30);
    assert.ok(late.isErr && late.error.kind === 'timeout');
    gate.open();
    for (let i = 0; i < 20; i += 1) {
      const next = await client.dispatch(
        address,
        createDispatch(`n-${i}`),
        CALL_MS,
      );
      assert.ok(next.isOk && next.value.outcome === 'answered');
      assert.equal(next.value.answer, `n-${i}`);
    }
  });

  it('closes a connection on which the peer sends malformed answers', async () => {
    const replies = ['{"id":1}', 'x', '{"id":null,"error":{}}', '[]'];
    let next = 0;
    const bad = await rawPeer((socket, id) => {
      // The last reply is well-formed but does not match the call's schema.
      const wrong = JSON.stringify({id, result: {type: 'data', data: {a: 1}}});
      socket.send(replies[next] ?? wrong);
      next += 1;
    });
    for (let i = 0; i < replies.length; i += 1) {
      const result = await client.dispatch(bad, createDispatch('r'), CALL_MS);
      assert.ok(result.isErr && result.error.kind === 'protocol', `${i}`);
    }
    assert.equal(client.linkCounters()[0]?.attempts, replies.length);
    const answers = [
      await client.dispatch(bad, createDispatch('r'), CALL_MS),
      await client.heartbeat(bad, createHeartbeat('asking')),
    ];
    for (const answer of answers) {
      assert.ok(answer.isErr && answer.error.kind === 'protocol');
      assert.equal(hadNoEffect(answer.error), false);
    }
  });

  it('serves other peers while one sends malformed messages', async () => {
    const raw = new WebSocket(`ws://${address}/peer`);
    await once(raw, 'open');
    const answers: string[] = [];
    raw.on('message', (data) => answers.push(String(data)));
    const broken = {...createHeartbeat('x'), leaving: 'yes', queueLengths: 4};
    const params = {path: 'heartbeat', input: {full: broken}};
    raw.send('{');
    raw.send(JSON.stringify({id: 1, method: 'mutation', params}));
    raw.send(JSON.stringify({id: 2, method: 'mutation', params: {path: 'x'}}));
    raw.send(Buffer.from([1, 2, 3]));
    await until(() => answers.length === 4);
    assert.match(answers.join('\n'), /heartbeat.full.leaving/);
    assert.match(answers.join('\n'), /does not know x/);
    assert.ok(
      (await client.heartbeat(address, createHeartbeat('asking'))).isOk,
    );
    raw.terminate();
    const wrong = {...createHeartbeat('x'), configurationVersion: -1};
    const refused = await client.heartbeat(address, wrong);
    assert.ok(refused.isErr && refused.error.kind === 'invalid-input');
    assert.equal(refused.error.field, 'heartbeat.full.configurationVersion');
  });

  it('limits the size of messages in both directions', async () => {
    const payload = 'x'.repeat(MAXIMUM_MESSAGE_BYTES);
    const tooLarge = await client.submitJob(address, {...RECORD, payload});
    assert.ok(tooLarge.isErr && tooLarge.error.kind === 'invalid-input');
    const raw = new WebSocket(`ws://${address}/peer`);
    await once(raw, 'open');
    raw.send(payload + payload);
    raw.on('error', () => {});
    const [code] = (await once(raw, 'close')) as [number];
    assert.equal(code, 1009);
    const record = {...RECORD, payload: payload.slice(0, payload.length / 2)};
    handler.reports = [1, 2].map(() => ({record, inStore: true}));
    const answer = await client.jobs(address);
    assert.ok(answer.isErr && answer.error.kind === 'unknown-effect');
    assert.match(answer.error.problem, /over the limit/);
    assert.ok(
      (await client.heartbeat(address, createHeartbeat('asking'))).isOk,
    );
    assert.equal(client.linkCounters()[0]?.attempts, 1);
  });

  it('reconstructs every heartbeat while it sends only changes', async () => {
    const received: Heartbeat[] = [];
    let version = 0;
    handler.heartbeat = (heartbeat) => {
      received.push(heartbeat);
      const answer = {...heartbeat, daemonId: trustedId<DaemonId>('answering')};
      return {...answer, configurationVersion: version};
    };
    const proxy = new FreezableProxy(server.port);
    const proxied = await proxy.listen();
    scope.add(() => proxy.close());
    const base = createHeartbeat('asking');
    const minionId = trustedId<VmId>('minion-1');
    const changes: Array<Partial<Heartbeat>> = [
      {},
      {queueLengths: [{minionId, queued: 3}]},
      {leaving: true, peerAddresses: ['10.0.0.9:7000']},
      {configurationVersion: 9},
      {},
    ];
    for (const cut of [false, true, false]) {
      if (cut) proxy.cut();
      for (const change of changes) {
        version += 1;
        const sent = {...base, ...change};
        let answer = await client.heartbeat(proxied, sent);
        // The first call after a cut may be sent on the lost connection.
        while (answer.isErr) answer = await client.heartbeat(proxied, sent);
        assert.deepEqual(received.at(-1), sent);
        assert.equal(answer.value.configurationVersion, version);
        assert.equal(answer.value.leaving, sent.leaving);
      }
    }
    assert.equal(client.linkCounters()[0]?.attempts, 2);
    const bytes = () => client.linkCounters()[0]?.sentBytes ?? 0;
    await client.heartbeat(proxied, base);
    const before = bytes();
    await client.heartbeat(proxied, base);
    assert.ok(bytes() - before < 100, `${bytes() - before} bytes`);
  });

  it('counts the bytes that crossed the link', async () => {
    await client.heartbeat(address, createHeartbeat('asking'));
    await client.heartbeat(address, createHeartbeat('asking'));
    const [near] = client.linkCounters();
    const [far] = server.links();
    assert.ok(near && far);
    assert.ok(
      near.sentBytes > 2 * JSON.stringify(createHeartbeat('asking')).length,
    );
    assert.equal(near.sentBytes, far.receivedBytes);
    assert.equal(near.receivedBytes, far.sentBytes);
    assert.deepEqual(server.totals(), {
      sentBytes: far.sentBytes,
      receivedBytes: far.receivedBytes,
    });
  });
});
