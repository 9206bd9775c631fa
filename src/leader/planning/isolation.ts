/**
 * Keeps units under which workers may have crashed apart from other work. A unit
 * with such a loss runs alone on a worker if one is vacant, so that the next
 * crash shows whether it is the cause and harms nothing else. A unit with more
 * known crashes waits for a vacant worker. The worker is closed to other units
 * until the run has proven that it can run. Until one task of a step has
 * outlived the time in which the others crashed, few others of that step are
 * started.
 */

import type {Instant} from '../../model/ids.js';
import {instant} from '../../model/ids.js';
import type {FreeCapacity, FreeCapacityTable} from './free_capacity.js';
import {PROVEN_AFTER_MS} from '../jobs/runs.js';
import type {Job, Unit} from '../jobs/jobs.js';
import type {Rank} from './queue_order.js';
import type {RunTimeTable} from '../jobs/run_times.js';
import {slotsIfEmpty} from './worker_groups.js';

/** Most workers of a service that units with one crash keep for themselves. */
const MAXIMUM_ISOLATED_SHARE = 1 / 8;

/**
 * A unit that waits longer for a vacant worker shares one if it is guaranteed or
 * long-running, or if the service is mostly idle. Beside free capacity, a job
 * without a run for 3 s counts as lost.
 */
const ISOLATION_WAIT_MS = 1_500;

/** True if a unit with one crash may take `unit.taskCount` vacant workers. */
export function mayIsolate(unit: Unit, table: FreeCapacityTable): boolean {
  if (unit.crashes.mustRunAlone) return true;
  const isolated = table.capacities.filter(({isIsolated}) => isIsolated).length;
  const limit = Math.max(
    1,
    Math.floor(table.capacities.length * MAXIMUM_ISOLATED_SHARE),
  );
  return isolated + unit.taskCount <= limit;
}

export function mayShareWorkers(
  unit: Unit,
  rank: Rank,
  isMostlyIdle: boolean,
  now: Instant,
): boolean {
  if (!unit.crashes.mustRunAlone) return true;
  const waitedMs = now - (unit.readySince ?? now);
  const isLongRunning = unit.step.longRunning === true;
  const mayShare = rank === 'guaranteed' || isMostlyIdle || isLongRunning;
  return mayShare && waitedMs >= ISOLATION_WAIT_MS;
}

/**
 * Closes the workers of one group that will be vacant first to other units.
 * Does nothing if the unit does not fit into any group.
 */
export function holdVacating(
  unit: Unit,
  groups: ReadonlyArray<readonly FreeCapacity[]>,
  runTimes: RunTimeTable,
  now: Instant,
): void {
  let best: {at: Instant; capacities: readonly FreeCapacity[]} | undefined;
  for (const group of groups) {
    const found = firstVacating(unit, group, runTimes, now);
    if (found !== undefined && found.at < (best?.at ?? Infinity)) best = found;
  }
  for (const capacity of best?.capacities ?? []) capacity.isolate(unit);
}

function firstVacating(
  unit: Unit,
  group: readonly FreeCapacity[],
  runTimes: RunTimeTable,
  now: Instant,
): {at: Instant; capacities: readonly FreeCapacity[]} | undefined {
  const byTime = group
    .filter(({isHeld}) => !isHeld)
    .map((capacity) => ({
      capacity,
      at: capacity.expectedEnds(runTimes, now).at(-1)?.at ?? now,
    }))
    .filter(({at}) => at < Infinity)
    .sort((a, b) => a.at - b.at);
  const capacities: FreeCapacity[] = [];
  let slots = 0;
  for (const {capacity, at} of byTime) {
    capacities.push(capacity);
    slots += slotsIfEmpty(unit, [capacity]);
    if (slots >= unit.taskCount) return {at: instant(at), capacities};
  }
  return undefined;
}

/**
 * How many more units of the step may be started while it has a unit under
 * which a worker has crashed: as many as have run without a crash, at least
 * one at a time.
 */
export function startAllowance(
  job: Job,
  {occurrence, stepIndex}: Unit,
  now: Instant,
): number {
  let proven = 0;
  let unproven = 0;
  for (const unit of job.units) {
    if (unit.stepIndex !== stepIndex || unit.occurrence !== occurrence) {
      continue;
    }
    if (unit.isDone) proven += 1;
    else if (unit.runs.length > 0) {
      if (isProven(unit, now)) proven += 1;
      else unproven += 1;
    }
  }
  return Math.max(1, proven) - unproven;
}

function isProven(unit: Unit, now: Instant): boolean {
  return unit.runs.every(
    ({confirmedAt}) =>
      confirmedAt !== undefined && now - confirmedAt >= PROVEN_AFTER_MS,
  );
}
