/**
 * A service that alone knows which workers may run a step of certain queues.
 * Its answer for a step and worker does not change; a ticket ends.
 */

import type {Result} from 'true-myth';
import type {RefusedError, UnavailableError} from '../model/errors.js';
import type {WorkerId} from '../model/ids.js';

/** Workers that one call may name. */
export const MAXIMUM_WORKERS_PER_ADVICE = 100;

export interface Admission {
  readonly workerId: WorkerId;
  /** Sent with each start of the step on that worker. */
  readonly ticket: string;
}

/** Implementations do not retry, and send one call at a time. */
export abstract class PlacementAdvisor {
  /** Returns the workers among `workers` that may run the step. */
  abstract advise(
    step: string,
    workers: readonly WorkerId[],
    timeoutMs: number,
  ): Promise<Result<readonly Admission[], RefusedError | UnavailableError>>;
}
