/**
 * Decides which VMs change their pool: from a standby pool, which costs
 * nothing, to a service that is short of room, and back when idle. Pure.
 */

import type {Instant, ServiceId, VmId} from '../model/ids.js';
import type {WorkerVm} from '../parties/vm_service.js';
import type {Unit} from './jobs.js';
import type {WorkerState} from './worker_state.js';

/**
 * Work that waits longer than this counts as a shortage. A moved VM is useful
 * 1.5 s later, and guaranteed work has to begin within 2.9 s.
 */
const SHORTAGE_MS = 1_000;

/** A move costs as much as a VM in use for 6 s; this is several times that. */
const IDLE_MS = 20_000;

/** VMs under way to one service at the same time. */
const MOVES_AT_ONCE = 4;

export interface PoolView {
  readonly vms: ReadonlyMap<VmId, WorkerVm>;
  readonly standbyPools: ReadonlySet<ServiceId>;
  /** Units that found no room, with the service that would run them. */
  readonly waiting: ReadonlyArray<{unit: Unit; serviceId: ServiceId}>;
  readonly workers: ReadonlyMap<VmId, WorkerState>;
  /** Since when nothing runs on a VM. */
  readonly idleSince: ReadonlyMap<VmId, Instant>;
  /** Accelerators that customers may claim at any time. */
  readonly guaranteedAccelerators: number;
  /** Pairs of VM and pool that the platform refused, see `moveKey`. */
  readonly impossible: ReadonlySet<string>;
  readonly now: Instant;
}

export interface PoolMove {
  readonly vmId: VmId;
  readonly from: ServiceId;
  readonly to: ServiceId;
}

export function planPoolMoves(view: PoolView): PoolMove[] {
  const short = shortServices(view);
  const moves = [...short].flatMap(([serviceId, units]) =>
    movesInto(view, serviceId, units),
  );
  return [...moves, ...movesBack(view, short)];
}

export function moveKey(vmId: VmId, poolId: ServiceId): string {
  return `${vmId}/${poolId}`;
}

function shortServices(view: PoolView): Map<ServiceId, Unit[]> {
  const short = new Map<ServiceId, Unit[]>();
  for (const {unit, serviceId} of view.waiting) {
    const waitedMs = view.now - (unit.readySince ?? view.now);
    if (waitedMs < SHORTAGE_MS) continue;
    short.set(serviceId, [...(short.get(serviceId) ?? []), unit]);
  }
  return short;
}

function movesInto(
  view: PoolView,
  serviceId: ServiceId,
  units: readonly Unit[],
): PoolMove[] {
  let places = MOVES_AT_ONCE;
  for (const {poolId, state} of view.vms.values()) {
    if (poolId === serviceId && state === 'moving') places -= 1;
  }
  let needed = units.reduce(
    (sum, unit) =>
      sum + Math.max(1, unit.step.shape.accelerators) * unit.taskCount,
    0,
  );
  const moves: PoolMove[] = [];
  for (const vm of view.vms.values()) {
    if (moves.length >= places || needed <= 0) break;
    const isSpare = view.standbyPools.has(vm.poolId) && vm.state === 'up';
    if (!isSpare || !units.some((unit) => suits(vm, unit))) continue;
    if (view.impossible.has(moveKey(vm.vmId, serviceId))) continue;
    moves.push({vmId: vm.vmId, from: vm.poolId, to: serviceId});
    needed -= Math.max(1, vm.capacity.accelerators);
  }
  return moves;
}

function suits(vm: WorkerVm, {step}: Unit): boolean {
  const {requiredLabel, shape} = step;
  return (
    (requiredLabel === undefined || vm.labels.has(requiredLabel)) &&
    vm.capacity.accelerators >= shape.accelerators &&
    vm.capacity.processorMillicores >= shape.processorMillicores &&
    vm.capacity.memoryMegabytes >= shape.memoryMegabytes
  );
}

/** Idle VMs go back one at a time, as long as the guarantees keep room. */
function movesBack(
  view: PoolView,
  short: ReadonlyMap<ServiceId, readonly Unit[]>,
): PoolMove[] {
  const [standby] = view.standbyPools;
  if (standby === undefined) return [];
  let accelerators = 0;
  for (const {poolId, capacity, state} of view.vms.values()) {
    if (view.standbyPools.has(poolId) || state !== 'up') continue;
    accelerators += capacity.accelerators;
  }
  for (const {vmId, poolId, state, capacity} of view.vms.values()) {
    if (view.standbyPools.has(poolId) || short.has(poolId)) continue;
    const idleMs = view.now - (view.idleSince.get(vmId) ?? view.now);
    const isIdle = view.workers.get(vmId)?.runs.size === 0;
    if (state !== 'up' || !isIdle || idleMs < IDLE_MS) continue;
    if (view.impossible.has(moveKey(vmId, standby))) continue;
    const left = accelerators - capacity.accelerators;
    if (left < view.guaranteedAccelerators) continue;
    return [{vmId, from: poolId, to: standby}];
  }
  return [];
}
