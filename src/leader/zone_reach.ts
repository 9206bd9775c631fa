/**
 * Tells which availability zones the leader seems to be cut off from. Workers
 * without runs are not looked at, so that each start on one would wait for a
 * time limit before it shows what their neighbours have shown already.
 */

import type {SteadyTime} from '../lifecycle/clock.js';
import type {AvailabilityZone} from '../model/ids.js';
import type {WorkerState} from './worker_state.js';

/** One silent worker may be its own fault. */
const FEWEST_SILENT = 2;

/** A look takes up to 0.8 s; a younger answer shows that the zone is reached. */
const RECENT_ANSWER_MS = 1_500;

/** Zones in which most workers that were called of late did not answer. */
export function silentZones(
  workers: Iterable<WorkerState>,
  now: SteadyTime,
): ReadonlySet<AvailabilityZone> {
  const balance = new Map<AvailabilityZone, {silent: number; heard: number}>();
  for (const worker of workers) {
    const {zone} = worker.entry;
    const counts = balance.get(zone) ?? {silent: 0, heard: 0};
    if (worker.silentLooks > 0) counts.silent += 1;
    else if (wasHeardLately(worker, now)) counts.heard += 1;
    balance.set(zone, counts);
  }
  const zones = [...balance].filter(
    ([, {silent, heard}]) => silent >= FEWEST_SILENT && silent > heard,
  );
  return new Set(zones.map(([zone]) => zone));
}

export function wasHeardLately(worker: WorkerState, now: SteadyTime): boolean {
  return worker.answerAgeMs(now) < RECENT_ANSWER_MS;
}
