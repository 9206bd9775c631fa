/**
 * Refuses a configuration whose guarantees do not fit the workers of a zone.
 */

import {Result} from 'true-myth';
import type {ConfigurationValidator} from '../controllers/configuration_writer.js';
import type {VmController} from '../controllers/vm_controller.js';
import type {Configuration} from '../model/configuration.js';
import {RefusedError} from '../model/errors.js';
import type {AvailabilityZone} from '../model/ids.js';
import type {WorkerVm} from '../interfaces/vm_list.js';
import {guaranteeShortfall} from '../scheduling/packing.js';
import type {PlannedWorker} from '../scheduling/zone_planner.js';

/**
 * Checks the zones in which a change adds guaranteed accelerators. A change
 * that only reduces them is accepted even if the remaining guarantees do not
 * fit, because operators resolve a shortage by reducing guarantees.
 */
export function createGuaranteeCheck(
  vms: VmController,
): ConfigurationValidator {
  return (proposed, current) => {
    const addsGuarantees = [...guaranteedByZone(proposed)].some(
      ([zone, accelerators]) =>
        accelerators > (guaranteedByZone(current).get(zone) ?? 0),
    );
    if (addsGuarantees && !vms.loaded) {
      return Result.err(
        new RefusedError(
          'this daemon has not read the list of VMs yet',
          'try again in a second',
        ),
      );
    }
    const before = guaranteedByZone(current);
    for (const [zone, accelerators] of guaranteedByZone(proposed)) {
      if (accelerators <= (before.get(zone) ?? 0)) continue;
      const workers = vms.workers(zone).map(toPlannedWorker);
      const shortfall = guaranteeShortfall(proposed.customers, workers, zone);
      if (shortfall === undefined) continue;
      return Result.err(
        new RefusedError(
          `the guarantees of zone ${zone} do not fit its ` +
            `${workers.length} workers: ${shortfall.missingAccelerators} accelerators ` +
            `in cells of ${shortfall.cellSize} or more are missing`,
          'reduce the guarantees, name another zone or add workers',
        ),
      );
    }
    return Result.ok(undefined);
  };
}

/** Guaranteed accelerators of all customers by zone. */
function guaranteedByZone(
  configuration: Configuration,
): ReadonlyMap<AvailabilityZone, number> {
  const byZone = new Map<AvailabilityZone, number>();
  for (const {guarantees} of configuration.customers) {
    for (const {availabilityZone, cellSize, cells} of guarantees) {
      const sum = byZone.get(availabilityZone) ?? 0;
      byZone.set(availabilityZone, sum + cellSize * cells);
    }
  }
  return byZone;
}

function toPlannedWorker(vm: WorkerVm): PlannedWorker {
  return {
    workerId: vm.vmId,
    rackId: vm.rackId,
    rackPosition: vm.rackPosition,
    accelerators: vm.accelerators,
    acceptsTasks: vm.state === 'live',
  };
}
