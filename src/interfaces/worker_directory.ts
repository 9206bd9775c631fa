/**
 * The platform's list of workers. The implementation logs an entry that cannot
 * be parsed and treats its worker as absent.
 */

import type {Result} from 'true-myth';
import type {WorkerId} from '../model/ids.js';
import type {ChangeBatch, StoreReadFailure} from './coordination_store.js';
import type {WorkerEntry} from './task_worker.js';

export type WorkerChange =
  | {readonly kind: 'present'; readonly entry: WorkerEntry}
  | {readonly kind: 'absent'; readonly workerId: WorkerId};

export interface WorkerListing {
  readonly entries: readonly WorkerEntry[];
  readonly revision: number;
}

export type WorkerWatchAnswer = ChangeBatch<WorkerChange>;

export abstract class WorkerDirectory {
  abstract list(): Promise<Result<WorkerListing, StoreReadFailure>>;

  /** Waits at most `waitMs` for changes after a revision. */
  abstract watch(
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<WorkerWatchAnswer, StoreReadFailure>>;
}
