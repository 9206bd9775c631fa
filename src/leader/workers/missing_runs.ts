/**
 * Runs that a worker's list should contain and does not. Those of an earlier
 * incarnation were lost with it, each of the others by itself.
 */

import type {Run} from '../jobs/runs.js';
import type {WorkerLinkEvents} from './worker_events.js';
import {runsByIncarnation} from './worker_state.js';
import type {WorkerState} from './worker_state.js';

/** Removes the runs from the worker; `incarnation` has sent the list. */
export function reportMissing(
  worker: WorkerState,
  missing: readonly Run[],
  incarnation: number,
  events: WorkerLinkEvents,
): void {
  for (const run of missing) worker.remove(run);
  const earlier = missing.filter((run) => run.incarnation !== incarnation);
  for (const run of missing) {
    if (run.incarnation !== incarnation) continue;
    events.runLost(run, 'its worker no longer lists it');
  }
  for (const [lost, runs] of runsByIncarnation(earlier)) {
    events.runsLostWithWorker(worker, runs, worker.fateOfEnded(lost));
  }
}
