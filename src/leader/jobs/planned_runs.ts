/** The runs of a placement, from its decision on. */

import type {Instant} from '../../model/ids.js';
import type {Placement} from '../planning/placement.js';
import type {WorkerState} from '../workers/worker_state.js';
import type {Unit} from './jobs.js';
import {Run} from './runs.js';

/** Adds a run of each task of the unit to the unit and to its worker. */
export function planRuns(
  {unit, workers, isIsolated}: Placement,
  runNumber: number,
  now: Instant,
): readonly Run[] {
  unit.lastRun = runNumber;
  const runs = workers.map((worker, offset) =>
    plannedRun(unit, offset, runNumber, worker, now),
  );
  unit.addRuns(runs);
  for (const run of runs) {
    run.isIsolated = isIsolated;
    run.members = runs;
  }
  return runs;
}

function plannedRun(
  unit: Unit,
  offset: number,
  runNumber: number,
  worker: WorkerState,
  now: Instant,
): Run {
  const {workerId, incarnation, entry} = worker;
  const index = unit.firstIndex + offset;
  const run = new Run(
    unit,
    index,
    runNumber,
    workerId,
    incarnation,
    now,
    entry.vmId,
  );
  worker.add(run);
  return run;
}
