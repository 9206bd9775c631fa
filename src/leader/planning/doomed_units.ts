/**
 * Units that will be lost with a worker that is leaving. They are stopped as
 * soon as this is clear, so that they start earlier elsewhere and do no work
 * that is lost; the load it answers is a wave of workers that leave at short
 * notice under long gangs. Work with checkpoints goes on until shortly before
 * the end, see `EVACUATION_LEAD_TIME_MS`.
 */

import type {SteadyTime} from '../../lifecycle/clock.js';
import type {Instant} from '../../model/ids.js';
import type {Unit} from '../jobs/jobs.js';
import type {RunTimeTable} from '../jobs/run_times.js';
import type {Run} from '../jobs/runs.js';
import type {WorkerState} from '../workers/worker_state.js';

/** Expected times are off by chance; a run this close to its end goes on. */
const UNCERTAINTY_FACTOR = 1.5;

/** Returns the runs of whole units. */
export function findDoomedRuns(
  workers: Iterable<WorkerState>,
  runTimes: RunTimeTable,
  now: Instant,
  steady: SteadyTime,
): readonly Run[] {
  const units = new Set<Unit>();
  for (const worker of workers) {
    const leavesInMs = worker.remainingMs(steady);
    if (leavesInMs === undefined || leavesInMs <= 0) continue;
    for (const run of worker.runs.values()) {
      if (run.phase !== 'running' || run.step.checkpointing === true) continue;
      if (run.step.longRunning === true) continue;
      const endsInMs = runTimes.expectedEnd(run, now) - now;
      if (endsInMs > leavesInMs * UNCERTAINTY_FACTOR) units.add(run.unit);
    }
  }
  return [...units].flatMap(({runs}) => runs);
}
