/**
 * The emulated platform itself, where tests of the leader rely on it.
 */

import assert from 'node:assert/strict';
import {it} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {EmulatedSite} from '../emulator/site.js';

/** Longer than the VM of a crashed worker takes to have a new one. */
const RECOVERY_MS = 600;

it('a worker is newer than one that restarted on its VM before', async () => {
  const site = new EmulatedSite({
    racks: 1,
    workersPerRack: 1,
    acceleratorsPerWorker: 8,
    holdMaximumMs: 1_000,
  });
  const [vm] = site.vms.list();
  assert.ok(vm?.workerId !== undefined);
  site.restart(vm.workerId);
  site.restart(vm.workerId);
  const former = site.workerOn(vm.vmId)?.entry.incarnation ?? 0;
  site.vms.crash(vm.vmId);
  await delay(RECOVERY_MS);
  const incarnation = site.workerOn(vm.vmId)?.entry.incarnation ?? 0;
  site.close();
  assert.ok(incarnation > former, `${incarnation} follows ${former}`);
});
