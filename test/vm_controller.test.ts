/**
 * Guards against new work for VMs that are leaving while the platform's list
 * lags, and against a platform outage that clears the daemon's VM list.
 */

import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {Result} from 'true-myth';
import {VmController} from '../src/controllers/vm_controller.js';
import type {VmsChanged} from '../src/controllers/vm_controller.js';
import {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import {UnavailableError} from '../src/model/errors.js';
import {trustedId} from '../src/model/ids.js';
import type {AvailabilityZone, VmId} from '../src/model/ids.js';
import {VmList} from '../src/interfaces/vm_list.js';
import type {Vm, VmListBatch} from '../src/interfaces/vm_list.js';
import {ZeroRandom, until} from './control_fakes.js';

const ZONE = trustedId<AvailabilityZone>('fv-1');
const WORKER = trustedId<VmId>('worker-1');

function worker(vmId = 'worker-1', state: Vm['state'] = 'live'): Vm {
  return {
    role: 'worker',
    vmId: trustedId(vmId),
    availabilityZone: ZONE,
    address: '10.0.0.1:7000',
    state,
    rackId: trustedId('rack-1'),
    rackPosition: 0,
    accelerators: 8,
  };
}

function minion(vmId: string): Vm {
  return {
    role: 'minion',
    vmId: trustedId(vmId),
    availabilityZone: ZONE,
    address: '10.0.0.2:7000',
    state: 'live',
    slots: 8,
    connections: 64,
  };
}

/** Returns queued batches; the platform is unavailable if there is none. */
class QueuedVmList extends VmList {
  readonly batches: VmListBatch[] = [];
  failures = 0;

  override async watch(): Promise<Result<VmListBatch, UnavailableError>> {
    await new Promise((resolve) => setImmediate(resolve));
    const batch = this.batches.shift();
    if (batch) return Result.ok(batch);
    this.failures += 1;
    return Result.err(new UnavailableError('the platform is down', 'wait'));
  }
}

describe('the VM controller', {timeout: 20_000}, () => {
  let scope: CleanupScope;
  let list: QueuedVmList;
  let vms: VmController;
  let events: VmsChanged[];

  beforeEach(() => {
    scope = new CleanupScope();
    list = new QueuedVmList();
    const random = new ZeroRandom();
    vms = new VmController({vmList: list, random, scope, log: () => {}});
    events = [];
    vms.onChange((event) => events.push(event));
    list.batches.push({
      version: 5,
      complete: true,
      vms: [worker(), minion('minion-1')],
    });
    vms.start();
  });
  afterEach(() => scope.close());

  it('keeps the last list while the platform is down', async () => {
    await until(() => list.failures > 20);
    assert.equal(vms.workers(ZONE).length, 1);
    assert.equal(vms.minions(ZONE).length, 1);
    assert.equal(events.length, 1);
  });

  it('prefers the report of a leaving VM to the lagging list', async () => {
    await until(() => vms.loaded);
    vms.markLeaving(WORKER);
    assert.equal(vms.workers(ZONE)[0]?.state, 'leaving');
    list.batches.push({version: 6, complete: false, vms: [worker()]});
    await until(() => list.batches.length === 0 && list.failures > 5);
    assert.equal(vms.workers(ZONE)[0]?.state, 'leaving');
    assert.equal(events.length, 2);
    // The platform may reuse the id for a new VM once the old one is gone.
    const gone = worker('worker-1', 'gone');
    list.batches.push({version: 7, complete: false, vms: [gone]});
    list.batches.push({version: 8, complete: false, vms: [worker()]});
    await until(() => vms.workers(ZONE)[0]?.state === 'live');
    assert.deepEqual(
      events[2]?.removed.map(({vmId}) => vmId),
      ['worker-1'],
    );
  });

  it('removes VMs that are absent from a complete list', async () => {
    list.batches.push({version: 9, complete: true, vms: [minion('minion-2')]});
    await until(() => events.length === 2);
    assert.deepEqual(vms.workers(ZONE), []);
    assert.deepEqual(
      vms.minions(ZONE).map(({vmId}) => vmId),
      ['minion-2'],
    );
    assert.equal(vms.vm(WORKER), undefined);
  });

  it('reads the complete list if the version count restarts', async () => {
    const versions: number[] = [];
    const watch = list.watch.bind(list);
    list.watch = (...args: unknown[]) => {
      versions.push(args[0] as number);
      return watch();
    };
    await until(() => versions.includes(5));
    list.batches.push({version: 1, complete: false, vms: []});
    await until(() => versions.includes(0));
    assert.equal(vms.workers(ZONE).length, 1);
  });
});
