/**
 * Tests the decoders of the platform's messages: for any message they return
 * a decoded value or an error, and never throw.
 */

import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {after, afterEach, before, beforeEach, describe, it} from 'node:test';
import fc from 'fast-check';
import {
  PlatformConfigurationSource,
  PlatformWorkerDirectory,
} from '../platform/directory.js';
import {PlatformStore} from '../platform/store_client.js';
import {PlatformWorkerClient} from '../platform/worker_client.js';
import {noStoreFaults} from '../emulator/faults.js';
import {EmulatedStore} from '../emulator/site.js';
import {StoreState} from '../emulator/store_state.js';
import {DaemonLog} from '../src/daemon/log.js';
import {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import {SeededRandom} from '../src/lifecycle/random.js';
import {trustedId} from '../src/model/ids.js';
import type {WorkerEntry} from '../src/interfaces/task_worker.js';
import {oddWorkerEntries} from '../emulator/odd_workers.js';
import {
  ConnectionsByAddress,
  openConnections,
} from '../src/transport/http_connections.js';

interface Scripted {
  status: number;
  body: string;
}

describe('decoders of the platform', () => {
  let server: Server;
  let scope: CleanupScope;
  let address: string;
  const scripted: Scripted = {status: 200, body: '{}'};
  let lastPath = '';
  let lastBody = '';

  before(async () => {
    server = createServer((request, response) => {
      lastPath = request.url ?? '';
      lastBody = '';
      request.on('data', (chunk: Buffer) => {
        lastBody += chunk.toString();
      });
      request.on('end', () => {
        response.writeHead(scripted.status);
        response.end(scripted.body);
      });
    });
    await new Promise<void>((resolve) =>
      server.listen(0, '127.0.0.1', resolve),
    );
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  });

  after(() => server.close());

  beforeEach(() => {
    scope = new CleanupScope();
  });

  afterEach(() => scope.close());

  const answer = (status: number, body: unknown) => {
    scripted.status = status;
    scripted.body = typeof body === 'string' ? body : JSON.stringify(body);
  };

  const store = () => new PlatformStore(openConnections(scope, address, 2));

  const emulatedStore = () => {
    const state = new StoreState();
    const random = new SeededRandom(1);
    const emulated = new EmulatedStore(state, noStoreFaults(), random);
    const log = new DaemonLog('test', 'fatal').component('workers');
    return {state, emulated, log};
  };

  const worker = (): WorkerEntry => ({
    workerId: trustedId('w-1'),
    incarnation: 1,
    address,
    serviceId: trustedId('service'),
    zone: trustedId('zone'),
    rackId: undefined,
    labels: new Set(),
    capacity: {processorMillicores: 1, memoryMegabytes: 1, accelerators: 1},
    isDraining: false,
    remainingMs: undefined,
  });

  const workers = () =>
    new PlatformWorkerClient(new ConnectionsByAddress(scope));

  const order = {
    task: 't',
    run: 1,
    specification: 's',
    checkpoint: '',
    leaseUntilMs: 1,
    fence: 1,
  };

  it('distinguishes a refused start from one with an unknown outcome', async () => {
    const cases: Array<[number, unknown, string]> = [
      [200, {clockMs: 5}, 'started'],
      [409, {clockMs: 5, reason: 'fence'}, 'superseded'],
      [409, {clockMs: 5, reason: 'old'}, 'outdated'],
      [409, {clockMs: 5, reason: 'late'}, 'leasePassed'],
      [409, {clockMs: 5, reason: 'room'}, 'noRoom'],
      [409, {clockMs: 5, reason: 'ticket'}, 'notAdmitted'],
      [421, '', 'otherLife'],
      [429, '', 'unhealthy'],
      [503, '', 'unhealthy'],
      [500, '', 'unknown'],
      [200, 'not json', 'unknown'],
    ];
    for (const [status, body, kind] of cases) {
      answer(status, body);
      const outcome = await workers().start(worker(), order);
      assert.equal(outcome.kind, kind, `status ${status}`);
    }
  });

  it('omits an empty checkpoint, which is no checkpoint of the task', async () => {
    answer(200, {clockMs: 1});
    await workers().start(worker(), order);
    assert.equal('checkpoint' in JSON.parse(lastBody), false);
    await workers().start(worker(), {...order, checkpoint: 'abc'});
    assert.equal(JSON.parse(lastBody).checkpoint, 'abc');
  });

  it('does not report an order to a worker without an address as done', async () => {
    const outcome = await workers().stop(
      {...worker(), address: undefined},
      {task: 't', run: 1},
      1,
    );
    assert.equal(outcome.kind, 'unhealthy');
  });

  it('distinguishes a refused write from one with an unknown outcome', async () => {
    const transaction = {conditions: [], puts: [], removals: ['a']};
    answer(503, '');
    const refused = await store().transact(transaction);
    assert.equal(refused.isErr && refused.error.kind, 'unavailable');
    answer(200, '{');
    const unclear = await store().transact(transaction);
    assert.equal(unclear.isErr && unclear.error.kind, 'unknown-effect');
    answer(412, {items: [{key: 'a', value: 'eA==', revision: 3}]});
    const conflict = await store().transact(transaction);
    assert.deepEqual(conflict.isOk && conflict.value, {
      kind: 'conflict',
      items: [{key: 'a', value: 'x', revision: 3}],
    });
  });

  it('reports a watch whose history is gone', async () => {
    answer(410, '');
    const lost = await store().watch('p/', 4, 10, scope.signal);
    assert.deepEqual(lost.isOk && lost.value, {kind: 'historyLost'});
    assert.match(lastPath, /after=4/);
  });

  it('never throws, whatever the server answers', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.constantFrom(200, 400, 404, 409, 410, 412, 421, 429, 500, 503),
        fc.oneof(fc.json(), fc.string()),
        async (status, body) => {
          answer(status, body);
          const client = store();
          await client.get('key');
          await client.list('p/');
          await client.watch('p/', 1, 0, scope.signal);
          await client.transact({conditions: [], puts: [], removals: []});
          await client.renewLease(1);
          await workers().start(worker(), order);
          const renewal = {
            fence: 1,
            acknowledgedSequence: 0,
            leaseUntilMs: undefined,
            waitMs: 0,
          };
          const renewed = await workers().renewLease(
            worker(),
            renewal,
            scope.signal,
          );
          assert.notEqual(renewed.kind, undefined);
        },
      ),
      {numRuns: 60},
    );
  });

  it('ignores worker entries and configurations that are invalid', async () => {
    const {state, emulated, log} = emulatedStore();
    const directory = new PlatformWorkerDirectory(emulated, log);
    const configurations = new PlatformConfigurationSource(emulated, log);
    await fc.assert(
      fc.asyncProperty(fc.oneof(fc.json(), fc.string()), async (text) => {
        state.put('servers/bad', text);
        state.put('op/config', text);
        const listed = await directory.list();
        assert.equal(listed.isOk && listed.value.entries.length, 0);
        const found = await configurations.list();
        assert.equal(found.isOk && found.value.configuration, undefined);
      }),
      {numRuns: 200},
    );
  });

  it('reports events that are too large to read as such', async () => {
    const value = 'A'.repeat(5_000_000);
    answer(200, {events: [{key: 'k', revision: 2, value}], asOf: 2});
    const read = await store().watch('k', 1, 0, scope.signal);
    assert.equal(read.isErr && read.error.kind, 'protocol');
  });

  // Guards against calls to an address that cannot be called.
  it('lists no worker for an odd entry of another writer', async () => {
    const {state, emulated, log} = emulatedStore();
    const directory = new PlatformWorkerDirectory(emulated, log);
    for (const [name, text] of oddWorkerEntries('service')) {
      state.put('servers/odd', text);
      const listed = await directory.list();
      assert.deepEqual(listed.isOk && listed.value.entries, [], name);
    }
  });

  it('reports an address that cannot be called as not answering', async () => {
    const odd = {...worker(), address: '127.0.0.1:99999'};
    assert.equal((await workers().start(odd, order)).kind, 'unhealthy');
  });

  it('decodes a worker entry in the platform’s format', async () => {
    const {state, emulated, log} = emulatedStore();
    state.put(
      'servers/i-1',
      JSON.stringify({
        service: 'pool',
        address: '10.0.0.1:80',
        zone: 'z',
        state: 'draining',
        remainingMs: 1_500,
        capacity: {cpu: 32_000, memMb: 10, gpu: 8},
        labels: ['a', 'r1-3'],
        born: 77,
      }),
    );
    const listed = await new PlatformWorkerDirectory(emulated, log).list();
    const [entry] = listed.isOk ? listed.value.entries : [];
    assert.equal(entry?.workerId, 'i-1');
    assert.equal(entry?.incarnation, 77);
    assert.equal(entry?.rackId, 'r1-3');
    assert.equal(entry?.isDraining, true);
    assert.equal(entry?.remainingMs, 1_500);
    assert.equal(entry?.capacity.accelerators, 8);
  });
});
