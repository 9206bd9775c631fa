/**
 * Selects the runs to preempt for a unit so that the least work is lost.
 */

import type {Instant} from '../../model/ids.js';
import type {Unit} from '../jobs/jobs.js';
import type {Run} from '../jobs/runs.js';
import type {FreeCapacity} from './free_capacity.js';
import {NO_SHAPE, addShape} from './free_capacity.js';
import type {PreemptionPolicy} from './preemption_policy.js';

export interface VictimSelection {
  /** Runs of whole units to stop, without those that are already stopping. */
  readonly victims: readonly Run[];
  /** Number of tasks of the unit to allocate on each worker. */
  readonly allocations: ReadonlyArray<{capacity: FreeCapacity; count: number}>;
  /** Work that the stops lose, in core-seconds. */
  readonly cost: number;
}

/** Slots of one worker that become usable by stopping `victims`. */
interface CapacityIncrement {
  readonly capacity: FreeCapacity;
  readonly slots: number;
  readonly cost: number;
  readonly victims: readonly Run[];
}

/**
 * Selects the cheapest victims among groups of workers; the unit has to fit
 * into one group. Returns undefined if it fits into none.
 */
export function selectVictims(
  unit: Unit,
  groups: ReadonlyArray<readonly FreeCapacity[]>,
  isPreemptible: (run: Run) => boolean,
  policy: PreemptionPolicy,
  now: Instant,
): VictimSelection | undefined {
  let best: VictimSelection | undefined;
  for (const group of groups) {
    const selection = selectVictimsIn(unit, group, isPreemptible, policy, now);
    if (selection !== undefined && selection.cost < (best?.cost ?? Infinity)) {
      best = selection;
    }
  }
  return best;
}

function selectVictimsIn(
  unit: Unit,
  group: readonly FreeCapacity[],
  isPreemptible: (run: Run) => boolean,
  policy: PreemptionPolicy,
  now: Instant,
): VictimSelection | undefined {
  const increments = group
    .flatMap((capacity) =>
      incrementsOf(unit, capacity, isPreemptible, policy, now),
    )
    .sort((a, b) => a.cost / a.slots - b.cost / b.slots);
  const allocations = new Map<FreeCapacity, number>();
  const victims = new Set<Run>();
  let slots = 0;
  let cost = 0;
  for (const increment of increments) {
    if (slots >= unit.taskCount) break;
    const count = Math.min(increment.slots, unit.taskCount - slots);
    allocations.set(
      increment.capacity,
      (allocations.get(increment.capacity) ?? 0) + count,
    );
    slots += count;
    cost += increment.cost;
    for (const run of increment.victims) {
      for (const member of run.unit.runs) victims.add(member);
    }
  }
  if (slots < unit.taskCount) return undefined;
  return {
    cost,
    victims: [...victims].filter(({phase}) => phase !== 'stopping'),
    allocations: [...allocations].map(([capacity, count]) => ({
      capacity,
      count,
    })),
  };
}

/**
 * Returns the slots of one worker by rising cost: first those that are free or
 * held by stopping runs, then those that further victims add.
 */
function incrementsOf(
  unit: Unit,
  capacity: FreeCapacity,
  isPreemptible: (run: Run) => boolean,
  policy: PreemptionPolicy,
  now: Instant,
): CapacityIncrement[] {
  let reclaimed = NO_SHAPE;
  const candidates: Array<{run: Run; cost: number}> = [];
  for (const run of capacity.worker.runs.values()) {
    if (run.phase === 'stopping') {
      reclaimed = addShape(reclaimed, run);
    } else if (isPreemptible(run)) {
      candidates.push({run, cost: policy.costOf(run, now)});
    }
  }
  candidates.sort((a, b) => a.cost - b.cost);
  const increments: CapacityIncrement[] = [];
  let slots = capacity.slots(unit, reclaimed);
  if (slots > 0) increments.push({capacity, slots, cost: 0, victims: []});
  let pending: Run[] = [];
  let pendingCost = 0;
  for (const {run, cost} of candidates) {
    reclaimed = addShape(reclaimed, run);
    pending.push(run);
    pendingCost += cost;
    const totalSlots = capacity.slots(unit, reclaimed);
    if (totalSlots <= slots) continue;
    increments.push({
      capacity,
      slots: totalSlots - slots,
      cost: pendingCost,
      victims: pending,
    });
    slots = totalSlots;
    pending = [];
    pendingCost = 0;
  }
  return increments;
}
