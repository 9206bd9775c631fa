/** Sends the stops of a scheduling round to the workers. */

import type {LeaderLog} from '../leader_log.js';
import type {RoundPlan} from '../planning/placement.js';
import type {WorkerTable} from './worker_table.js';

export function sendPlannedStops(
  {preemptions, beneficiaries, doomed}: RoundPlan,
  table: WorkerTable,
  log: LeaderLog,
): void {
  for (const run of doomed) {
    if (run.phase === 'stopping') continue;
    log.stopRequested(run, 'it cannot end before a worker leaves');
    table.stop(run, 'workerLeaving');
  }
  for (const run of preemptions) {
    log.preempted(run, beneficiaries.get(run));
    table.stop(run, 'preempted');
  }
  for (const unit of new Set(preemptions.map((run) => run.unit))) {
    unit.preemptions += 1;
  }
}
