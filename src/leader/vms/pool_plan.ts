/**
 * Plans moves of VMs between pools: from a standby pool, which costs nothing,
 * to a service that lacks capacity, and back when they are idle. Pure.
 */

import type {Instant, ServiceId, VmId} from '../../model/ids.js';
import type {WorkerVm} from '../../interfaces/vm_service.js';
import type {Unit} from '../jobs/jobs.js';
import type {WorkerState} from '../workers/worker_state.js';

/**
 * A unit that waits longer than this indicates a shortage. A moved VM is usable
 * after 1.5 s, and guaranteed work must start within 2.9 s.
 */
const SHORTAGE_WAIT_MS = 1_000;

/**
 * Idle time after which a VM returns to standby: several times the 6 s of VM
 * use that a move costs.
 */
const MINIMUM_IDLE_MS = 20_000;

/** Limit of concurrent moves into one service. */
const MAXIMUM_CONCURRENT_MOVES = 4;

export interface PoolView {
  readonly vms: ReadonlyMap<VmId, WorkerVm>;
  readonly standbyPools: ReadonlySet<ServiceId>;
  /** Units that could not be placed, with the service that would run them. */
  readonly waiting: ReadonlyArray<{unit: Unit; serviceId: ServiceId}>;
  readonly workers: ReadonlyMap<VmId, WorkerState>;
  /** Time since which a VM has had no runs. */
  readonly idleSince: ReadonlyMap<VmId, Instant>;
  /** Sum of the accelerators that all customers are guaranteed. */
  readonly guaranteedAccelerators: number;
  /**
   * Moves that the platform rejected as impossible, as `moveKey` names them.
   */
  readonly impossible: ReadonlySet<string>;
  readonly now: Instant;
}

export interface PoolMove {
  readonly vmId: VmId;
  readonly from: ServiceId;
  readonly to: ServiceId;
}

export function planPoolMoves(view: PoolView): PoolMove[] {
  const shortages = findShortages(view);
  const moves = [...shortages].flatMap(([serviceId, units]) =>
    planMovesInto(view, serviceId, units),
  );
  return [...moves, ...planMovesToStandby(view, shortages)];
}

export function moveKey(vmId: VmId, poolId: ServiceId): string {
  return `${vmId}/${poolId}`;
}

function findShortages(view: PoolView): Map<ServiceId, Unit[]> {
  const shortages = new Map<ServiceId, Unit[]>();
  for (const {unit, serviceId} of view.waiting) {
    const waitedMs = view.now - (unit.readySince ?? view.now);
    if (waitedMs < SHORTAGE_WAIT_MS) continue;
    shortages.set(serviceId, [...(shortages.get(serviceId) ?? []), unit]);
  }
  return shortages;
}

function planMovesInto(
  view: PoolView,
  serviceId: ServiceId,
  units: readonly Unit[],
): PoolMove[] {
  let openSlots = MAXIMUM_CONCURRENT_MOVES;
  for (const {poolId, state} of view.vms.values()) {
    if (poolId === serviceId && state === 'moving') openSlots -= 1;
  }
  let needed = units.reduce(
    (sum, unit) =>
      sum + Math.max(1, unit.step.shape.accelerators) * unit.taskCount,
    0,
  );
  const moves: PoolMove[] = [];
  for (const vm of view.vms.values()) {
    if (moves.length >= openSlots || needed <= 0) break;
    const isOnStandby = view.standbyPools.has(vm.poolId) && vm.state === 'up';
    if (!isOnStandby || !units.some((unit) => canRun(vm, unit))) continue;
    if (view.impossible.has(moveKey(vm.vmId, serviceId))) continue;
    moves.push({vmId: vm.vmId, from: vm.poolId, to: serviceId});
    needed -= Math.max(1, vm.capacity.accelerators);
  }
  return moves;
}

function canRun(vm: WorkerVm, {step}: Unit): boolean {
  const {requiredLabel, shape} = step;
  return (
    (requiredLabel === undefined || vm.labels.has(requiredLabel)) &&
    vm.capacity.accelerators >= shape.accelerators &&
    vm.capacity.processorMillicores >= shape.processorMillicores &&
    vm.capacity.memoryMegabytes >= shape.memoryMegabytes
  );
}

/**
 * Returns idle VMs to standby one at a time, as long as the remaining capacity
 * covers the guarantees.
 */
function planMovesToStandby(
  view: PoolView,
  shortages: ReadonlyMap<ServiceId, readonly Unit[]>,
): PoolMove[] {
  const [standby] = view.standbyPools;
  if (standby === undefined) return [];
  let accelerators = 0;
  for (const {poolId, capacity, state} of view.vms.values()) {
    if (view.standbyPools.has(poolId) || state !== 'up') continue;
    accelerators += capacity.accelerators;
  }
  for (const {vmId, poolId, state, capacity} of view.vms.values()) {
    if (view.standbyPools.has(poolId) || shortages.has(poolId)) continue;
    const idleMs = view.now - (view.idleSince.get(vmId) ?? view.now);
    const isIdle = view.workers.get(vmId)?.runs.size === 0;
    if (state !== 'up' || !isIdle || idleMs < MINIMUM_IDLE_MS) continue;
    if (view.impossible.has(moveKey(vmId, standby))) continue;
    const remaining = accelerators - capacity.accelerators;
    if (remaining < view.guaranteedAccelerators) continue;
    return [{vmId, from: poolId, to: standby}];
  }
  return [];
}
