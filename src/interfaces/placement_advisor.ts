/**
 * Client interface to the service that decides which workers may run a step of
 * certain queues. Its decision for a step and worker is permanent, but tickets
 * expire.
 */

import type {Result} from 'true-myth';
import type {RefusedError, UnavailableError} from '../model/errors.js';
import type {WorkerId} from '../model/ids.js';

/** Limit of the service per call. */
export const MAXIMUM_WORKERS_PER_ADVICE = 100;

export interface Admission {
  readonly workerId: WorkerId;
  /** Presented with each start of the step on that worker. */
  readonly ticket: string;
}

/** Implementations do not retry and send one call at a time. */
export abstract class PlacementAdvisor {
  /** Returns those of `workers` that may run the step. */
  abstract advise(
    step: string,
    workers: readonly WorkerId[],
    timeoutMs: number,
  ): Promise<Result<readonly Admission[], RefusedError | UnavailableError>>;
}
