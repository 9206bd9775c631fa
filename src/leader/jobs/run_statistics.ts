/**
 * What the runs of a term teach the leader: how long work takes, how fast
 * workers are, which kinds of work slow each other down, and which work is
 * lost. Nothing of it outlives the term.
 */

import type {RunEnding} from '../../interfaces/task_worker.js';
import type {Instant} from '../../model/ids.js';
import type {LeaderLog} from '../leader_log.js';
import {checkpointIntervalMs} from '../planning/preemption_policy.js';
import type {SessionSettings} from '../session_options.js';
import {InterferenceTable} from '../workers/interference.js';
import {WorkerSpeeds} from '../workers/worker_speeds.js';
import type {WorkerState} from '../workers/worker_state.js';
import {completedRun} from './completed_runs.js';
import {LostWork} from './lost_work.js';
import type {Loss} from './lost_work.js';
import {RunTimeTable} from './run_times.js';
import type {Run} from './runs.js';

export class RunStatistics {
  readonly runTimes: RunTimeTable;
  /** Absent if workers are chosen without regard to their speeds. */
  readonly speeds: WorkerSpeeds | undefined;
  readonly interference: InterferenceTable;
  readonly lostWork: LostWork;

  constructor(settings: SessionSettings, log: LeaderLog) {
    if (settings.usesWorkerSpeeds === true) this.speeds = new WorkerSpeeds();
    this.runTimes = new RunTimeTable(this.speeds);
    this.interference = new InterferenceTable(this.runTimes, log);
    this.lostWork = new LostWork(checkpointIntervalMs(settings.preemption));
  }

  runStarted(run: Run, now: Instant): void {
    this.interference.runStarted(run, now);
  }

  /** Called before the run's unit knows of the end. */
  runEnded(
    run: Run,
    ending: RunEnding,
    worker: WorkerState | undefined,
    now: Instant,
  ): Loss | undefined {
    const completed = completedRun(run, ending, now);
    this.interference.runEnded(run, now, completed, worker);
    if (worker !== undefined) {
      this.speeds?.recordEnd(run, worker, completed, now);
    }
    return this.lostWork.record(run, ending, now);
  }

  /** The run's task did its work, and did not fail. */
  runDone(run: Run, now: Instant): void {
    this.runTimes.recordDone(run, now);
  }

  runLost(run: Run, now: Instant): void {
    this.lostWork.record(run, 'lost', now);
    this.interference.runEnded(run, now);
  }

  /** Reads the progress of the runs from the last lists of their workers. */
  observe(workers: Iterable<WorkerState>, now: Instant): void {
    this.speeds?.observe(workers, now);
  }
}
