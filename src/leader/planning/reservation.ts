/**
 * Reserves capacity for a gang that does not fit yet, for sites where many
 * small jobs keep all workers partly in use. Such a gang would never find
 * enough workers with free capacity at the same time. The reservation is on the
 * workers where the gang can start earliest, by the expected ends of what runs
 * there. Until then, other units may use the reserved capacity if they are
 * expected to end before the reserved start (backfilling).
 */

import type {Instant} from '../../model/ids.js';
import type {Unit} from '../jobs/jobs.js';
import {NO_SHAPE, addShape} from './free_capacity.js';
import type {FreeCapacity} from './free_capacity.js';
import type {RunTimeTable} from '../jobs/run_times.js';

export interface Reservation {
  readonly startsAt: Instant;
  readonly holds: readonly WorkerHold[];
}

interface WorkerHold {
  readonly capacity: FreeCapacity;
  readonly tasks: number;
}

/** Slots of one worker that become free at a time. */
interface Release {
  readonly at: Instant;
  readonly capacity: FreeCapacity;
  readonly slots: number;
}

/**
 * Returns the earliest reservation among groups of workers; the unit has to
 * fit into one group. Returns undefined if it fits into none.
 */
export function findReservation(
  unit: Unit,
  groups: ReadonlyArray<readonly FreeCapacity[]>,
  runTimes: RunTimeTable,
  now: Instant,
): Reservation | undefined {
  let best: Reservation | undefined;
  for (const group of groups) {
    const reservation = earliestIn(unit, group, runTimes, now);
    if (
      reservation !== undefined &&
      reservation.startsAt < (best?.startsAt ?? Infinity)
    ) {
      best = reservation;
    }
  }
  return best;
}

/** Keeps the reserved capacity from units that would run beyond the start. */
export function applyReservation(
  unit: Unit,
  {startsAt, holds}: Reservation,
  runTimes: RunTimeTable,
  now: Instant,
): void {
  for (const {capacity, tasks} of holds) {
    let released = NO_SHAPE;
    for (const {run, at} of capacity.expectedEnds(runTimes, now)) {
      if (at > startsAt) break;
      released = addShape(released, run);
    }
    capacity.hold(unit, tasks, startsAt, released);
  }
}

function earliestIn(
  unit: Unit,
  group: readonly FreeCapacity[],
  runTimes: RunTimeTable,
  now: Instant,
): Reservation | undefined {
  const releases = group
    .filter(({isHeld}) => !isHeld)
    .flatMap((capacity) => releasesOf(unit, capacity, runTimes, now))
    .sort((a, b) => a.at - b.at);
  const tasksByCapacity = new Map<FreeCapacity, number>();
  let remaining = unit.taskCount;
  for (const {at, capacity, slots} of releases) {
    if (at === Infinity) return undefined;
    const tasks = Math.min(slots, remaining);
    tasksByCapacity.set(capacity, (tasksByCapacity.get(capacity) ?? 0) + tasks);
    remaining -= tasks;
    if (remaining > 0) continue;
    return {
      startsAt: at,
      holds: [...tasksByCapacity].map(([each, count]) => ({
        capacity: each,
        tasks: count,
      })),
    };
  }
  return undefined;
}

/** Returns the unit's slots on one worker as its runs end, in that order. */
function releasesOf(
  unit: Unit,
  capacity: FreeCapacity,
  runTimes: RunTimeTable,
  now: Instant,
): Release[] {
  const releases: Release[] = [];
  let slots = capacity.slots(unit);
  if (slots > 0) releases.push({at: now, capacity, slots});
  let released = NO_SHAPE;
  for (const {run, at} of capacity.expectedEnds(runTimes, now)) {
    released = addShape(released, run);
    const total = capacity.slots(unit, released);
    if (total <= slots) continue;
    releases.push({at, capacity, slots: total - slots});
    slots = total;
  }
  return releases;
}
