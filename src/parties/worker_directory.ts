/**
 * The platform's list of workers. An entry that cannot be read names no worker
 * and is reported by the implementation's log.
 */

import type {Result} from 'true-myth';
import type {WorkerId} from '../model/ids.js';
import type {StoreReadFailure} from './coordination_store.js';
import type {WorkerEntry} from './task_worker.js';

export type WorkerChange =
  | {readonly kind: 'present'; readonly entry: WorkerEntry}
  | {readonly kind: 'absent'; readonly workerId: WorkerId};

export interface WorkerListing {
  readonly entries: readonly WorkerEntry[];
  readonly revision: number;
}

export type WorkerWatchAnswer =
  | {
      readonly kind: 'changes';
      readonly changes: readonly WorkerChange[];
      readonly revision: number;
    }
  | {readonly kind: 'historyLost'};

export abstract class WorkerDirectory {
  abstract list(): Promise<Result<WorkerListing, StoreReadFailure>>;

  /** Waits at most `waitMs` for changes after a revision. */
  abstract watch(
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<WorkerWatchAnswer, StoreReadFailure>>;
}
