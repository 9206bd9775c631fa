/**
 * What the calls to one worker report, and what they ask for: ends and losses
 * of runs, silence, capacity that became free, and the session's clock.
 */

import type {Instant} from '../../model/ids.js';
import type {RunEnding} from '../../interfaces/task_worker.js';
import type {Run} from '../jobs/runs.js';
import type {WorkerFate} from '../losses/crash_history.js';
import type {PaceChange} from './pacing.js';
import type {WorkerState} from './worker_state.js';

export interface WorkerLinkEvents {
  runEnded(run: Run, ending: RunEnding, checkpoint: string): void;
  /** The run is not on its worker, which has not reported an end. */
  runLost(run: Run, reason: string): void;
  /** All of these runs were lost with one incarnation of the worker. */
  runsLostWithWorker(
    worker: WorkerState,
    runs: readonly Run[],
    fate: WorkerFate,
  ): void;
  /** The worker no longer answers. */
  workerSilent(worker: WorkerState): void;
  runStarted(run: Run): void;
  /** Pace changes that follow from the worker's last list of runs. */
  paceChangesFor(worker: WorkerState): readonly PaceChange[];
  /** Calls `then` once all changes reported so far are durable. */
  whenDurable(then: () => void): void;
  /** Free capacity or the worker's health may have changed. */
  capacityChanged(): void;
  now(): Instant;
  /** Why no start may be sent to the worker now, if there is a reason. */
  withholdStart(worker: WorkerState): string | undefined;
  /** The run's ticket, if its queue requires one. */
  ticketFor(run: Run): string | undefined;
  ticketRejected(run: Run): void;
}
