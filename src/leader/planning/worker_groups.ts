/**
 * The groups of workers on which a unit may be placed as a whole: single racks
 * for a gang that is slower when it is spread, the rack of a unit's data, or
 * all workers of the service.
 */

import type {Instant} from '../../model/ids.js';
import {avoidanceMs} from '../jobs/avoided_workers.js';
import type {Unit} from '../jobs/jobs.js';
import type {FreeCapacity, FreeCapacityTable} from './free_capacity.js';
import type {Rank} from './queue_order.js';

/** Factor by which a gang with `sameRack` runs longer when spread. */
export const CROSS_RACK_SLOWDOWN = 3;

/**
 * Guaranteed work that waits longer for one rack is spread across racks. This
 * leaves time to preempt within the 2.7 s start bound for guaranteed work.
 */
const GUARANTEED_RACK_WAIT_MS = 1_800;

/** Waiting for the data's rack is worth up to this many estimated run times. */
const DATA_RACK_WAIT_RUN_TIMES = 1.5;

/**
 * While accelerator utilization is below this share, a unit waits for a rack
 * for a short time only: a job that waits 3 s beside idle workers counts as
 * lost.
 */
const LOW_UTILIZATION_SHARE = 0.5;
const LOW_UTILIZATION_RACK_WAIT_MS = 1_500;

/** What decides where a unit may be placed. */
export interface GroupedWork {
  readonly unit: Unit;
  readonly rank: Rank;
  /** See `isTooWideForRack`. */
  readonly isTooWide: boolean;
}

type Group = readonly FreeCapacity[];

/** Groups to try in order; the unit has to fit into one of them. */
export interface CandidateGroups {
  readonly racks: readonly Group[];
  /** The unit may run slower in these groups. */
  readonly crossRack: readonly Group[];
}

export function candidateGroups(
  work: GroupedWork,
  table: FreeCapacityTable,
  now: Instant,
): CandidateGroups {
  const groups = soundGroups(work, table, now);
  if (!mayUseQuarantined(work.unit, table, now)) return groups;
  const all = [...table.capacities, ...table.quarantined];
  return {...groups, crossRack: [...groups.crossRack, all]};
}

/**
 * A quarantined worker is used by units that would not fit the others even if
 * they were empty, once these have waited as for a worker that they avoid.
 */
function mayUseQuarantined(
  unit: Unit,
  table: FreeCapacityTable,
  now: Instant,
): boolean {
  if (table.quarantined.length === 0) return false;
  const waitedMs = now - (unit.readySince ?? now);
  if (waitedMs < avoidanceMs(unit.step.longRunning === true)) return false;
  const others = table.eligible(table.capacities, unit);
  return slotsIfEmpty(unit, others) < unit.taskCount;
}

/** Groups without quarantined workers. */
function soundGroups(
  {unit, rank, isTooWide}: GroupedWork,
  table: FreeCapacityTable,
  now: Instant,
): CandidateGroups {
  const {step} = unit;
  const waitedMs = now - (unit.readySince ?? now);
  const isMostlyIdle = isMostlyIdleService(table);
  if (step.dataRack !== undefined) {
    const onDataRack = table.capacities.filter(
      ({worker}) => worker.entry.rackId === step.dataRack,
    );
    const patienceMs = isMostlyIdle
      ? LOW_UTILIZATION_RACK_WAIT_MS
      : DATA_RACK_WAIT_RUN_TIMES * step.estimatedMs;
    const keepsWaiting =
      waitedMs < (rank === 'guaranteed' ? GUARANTEED_RACK_WAIT_MS : patienceMs);
    const crossRack =
      onDataRack.length > 0 && keepsWaiting ? [] : [table.capacities];
    return {racks: [onDataRack], crossRack};
  }
  if (!wantsRack(unit)) return {racks: [table.capacities], crossRack: []};
  const allowsCrossRack =
    isTooWide ||
    (isMostlyIdle && waitedMs >= LOW_UTILIZATION_RACK_WAIT_MS) ||
    (rank === 'guaranteed' && waitedMs >= GUARANTEED_RACK_WAIT_MS);
  return {
    racks: racksByFewestSlots(unit, table),
    crossRack: allowsCrossRack ? [table.capacities] : [],
  };
}

/** True if less than half of the service's accelerators are in use. */
export function isMostlyIdleService({
  acceleratorUtilization,
}: FreeCapacityTable): boolean {
  return acceleratorUtilization < LOW_UTILIZATION_SHARE;
}

export function wantsRack({step, taskCount}: Unit): boolean {
  return step.sameRack === true && taskCount > 1;
}

/** True if the unit wants one rack but would not even fit an empty one. */
export function isTooWideForRack(
  unit: Unit,
  table: FreeCapacityTable,
): boolean {
  return (
    wantsRack(unit) &&
    !table.racks().some((rack) => slotsIfEmpty(unit, rack) >= unit.taskCount)
  );
}

/** Tasks of the unit's step that fit into the group without any runs. */
export function slotsIfEmpty(unit: Unit, rack: Group): number {
  const {shape, maximumPerWorker} = unit.step;
  let slots = 0;
  for (const {worker} of rack) {
    const {capacity} = worker.entry;
    slots += Math.min(
      shape.accelerators > 0
        ? Math.floor(capacity.accelerators / shape.accelerators)
        : Infinity,
      shape.processorMillicores > 0
        ? Math.floor(capacity.processorMillicores / shape.processorMillicores)
        : Infinity,
      maximumPerWorker ?? Infinity,
    );
  }
  return slots;
}

/** Racks with the fewest free slots for the unit come first (best fit). */
function racksByFewestSlots(unit: Unit, table: FreeCapacityTable): Group[] {
  return table
    .racks()
    .map((rack) => ({
      rack,
      slots: table
        .eligible(rack, unit)
        .reduce((total, capacity) => total + capacity.slots(unit), 0),
    }))
    .sort((a, b) => a.slots - b.slots)
    .map(({rack}) => rack);
}
