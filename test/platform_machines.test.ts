/**
 * Tests the clients of the platform's VM service and the decoding of waves:
 * outcomes of orders about VMs, and handling of malformed messages.
 */

import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {after, afterEach, before, beforeEach, describe, it} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import fc from 'fast-check';
import {HttpPlatform} from '../emulator/http_platform.js';
import {noStoreFaults} from '../emulator/faults.js';
import {EmulatedStore} from '../emulator/site.js';
import {StoreState} from '../emulator/store_state.js';
import {PlatformAdvisor} from '../platform/advisor_client.js';
import {
  PlatformMaintenanceRequests,
  PlatformVmService,
} from '../platform/machines.js';
import {PlatformWorkerClient} from '../platform/worker_client.js';
import {DaemonLog} from '../src/daemon/log.js';
import {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import {SeededRandom} from '../src/lifecycle/random.js';
import {trustedId} from '../src/model/ids.js';
import type {VmId} from '../src/model/ids.js';
import {
  ConnectionsByAddress,
  openConnections,
} from '../src/transport/http_connections.js';

const AUTHORITY = {holder: trustedId<VmId>('entry-1'), term: 3};
const VM_ID = trustedId<VmId>('vm-0-0');

describe('the platform’s machines', () => {
  const scripted = {status: 200, body: ''};
  const server = createServer((request, response) => {
    request.resume();
    request.on('end', () => {
      response.writeHead(scripted.status);
      response.end(scripted.body);
    });
  });
  let address: string;
  let scope: CleanupScope;

  before(async () => {
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

  const service = (at = address) =>
    new PlatformVmService(openConnections(scope, at, 2));

  it('distinguishes refused orders from those with an unknown outcome', async () => {
    const cases: Array<[number, string, string]> = [
      [200, '{}', 'done'],
      [400, '', 'impossible'],
      [409, '{"reason":"fence"}', 'superseded'],
      [409, '{"reason":"busy"}', 'busy'],
      [409, '{"reason":"wave"}', 'notRequested'],
      [409, 'not json', 'unknown'],
      [429, '', 'refused'],
      [503, '', 'refused'],
      [500, '', 'unknown'],
    ];
    for (const [status, body, kind] of cases) {
      Object.assign(scripted, {status, body});
      const maintained = await service().maintain(VM_ID, 1, AUTHORITY);
      assert.equal(maintained.kind, kind, `maintenance, status ${status}`);
      const moved = await service().move(VM_ID, trustedId('pool'), AUTHORITY);
      assert.equal(moved.kind, kind, `move, status ${status}`);
    }
  });

  it('never throws, whatever the server answers', async () => {
    const workers = new PlatformWorkerClient(new ConnectionsByAddress(scope));
    const advisor = new PlatformAdvisor(openConnections(scope, address, 1));
    const worker = {
      workerId: trustedId<never>('w'),
      incarnation: 1,
      address,
      serviceId: trustedId<never>('service'),
      zone: trustedId<never>('zone'),
      rackId: undefined,
      labels: new Set<string>(),
      capacity: {processorMillicores: 1, memoryMegabytes: 1, accelerators: 1},
      isDraining: false,
      remainingMs: undefined,
    };
    await fc.assert(
      fc.asyncProperty(
        fc.constantFrom(200, 400, 404, 409, 429, 500, 503),
        fc.oneof(fc.json(), fc.string()),
        async (status, body) => {
          Object.assign(scripted, {status, body});
          await service().list();
          await service().maintain(VM_ID, 1, AUTHORITY);
          await advisor.advise('step', [trustedId('w')], 500);
          const pace = {task: 't', run: 1, percent: 10, fence: 1};
          const outcome = await workers.pace(worker, pace);
          assert.notEqual(outcome.kind, 'started');
        },
      ),
      {numRuns: 60},
    );
  });

  it('sends orders about VMs and reads the list of VMs', async () => {
    const platform = await HttpPlatform.start(
      {
        racks: 1,
        workersPerRack: 1,
        acceleratorsPerWorker: 8,
        holdMaximumMs: 1_000,
      },
      new SeededRandom(1),
      scope,
      (_vmId, workerAddress) => Promise.resolve(workerAddress),
    );
    const vms = service(await platform.openVmService());
    const before = await vms.list();
    assert.equal(before.isOk && before.value[0]?.state, 'up');
    platform.site.vms.requestMaintenance({
      waveId: 1,
      vmIds: [VM_ID],
      durationMs: 1_000,
      maximumDown: 1,
    });
    const outcome = await vms.maintain(VM_ID, 1, AUTHORITY);
    assert.equal(outcome.kind, 'done');
    const down = await vms.list();
    assert.equal(down.isOk && down.value[0]?.state, 'maintenance');
    const older = await vms.maintain(VM_ID, 1, {...AUTHORITY, term: 2});
    assert.equal(older.kind, 'superseded');
  });

  it('fails a lease renewal in progress when its worker crashes', async () => {
    // Otherwise its acknowledgement applies to the ended runs of the worker's
    // next incarnation, and a gang that has ended runs again (soak, seed 610).
    const platform = await HttpPlatform.start(
      {
        racks: 1,
        workersPerRack: 1,
        acceleratorsPerWorker: 8,
        holdMaximumMs: 1_000,
      },
      new SeededRandom(1),
      scope,
      (_vmId, workerAddress) => Promise.resolve(workerAddress),
    );
    const worker = platform.site.workerOn(VM_ID);
    assert.ok(worker !== undefined);
    const workers = new PlatformWorkerClient(new ConnectionsByAddress(scope));
    const renewal = workers.renewLease(
      worker.entry,
      {
        fence: 1,
        acknowledgedSequence: 5,
        leaseUntilMs: undefined,
        waitMs: 1_000,
      },
      scope.signal,
    );
    await delay(100);
    platform.site.restart(worker.entry.workerId);
    assert.equal((await renewal).kind, 'unanswered');
  });

  it('decodes waves and ignores invalid ones', async () => {
    const state = new StoreState();
    const random = new SeededRandom(1);
    const requests = new PlatformMaintenanceRequests(
      new EmulatedStore(state, noStoreFaults(), random),
      new DaemonLog('test', 'fatal').component('vms'),
    );
    const wave = {wave: 4, machines: ['m-1', 'm-2'], durationS: 20, cap: 2};
    state.put('op/wave/4', JSON.stringify(wave));
    state.put('op/wave/5', '{"wave":5}');
    const listed = await requests.list();
    assert.deepEqual(listed.isOk && listed.value.waves, [
      {
        waveId: 4,
        vmIds: ['m-1', 'm-2'],
        durationMs: 20_000,
        maximumDown: 2,
      },
    ]);
    assert.deepEqual(requests.statusPut(4, 'complete'), {
      key: 'status/wave/4',
      value: '{"state":"complete"}',
    });
  });
});
