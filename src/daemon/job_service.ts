/**
 * Calls of the callers' HTTP interface that concern jobs.
 */

import type {Result} from 'true-myth';
import type {CallError} from '../model/errors.js';
import type {AvailabilityZone, JobId} from '../model/ids.js';
import type {JobState, JobSubmission} from '../model/jobs.js';
import type {JobReport} from '../parties/peer_client.js';

/** What a caller is told about an accepted job. */
export interface JobAcceptance {
  readonly jobId: JobId;
  readonly availabilityZone: AvailabilityZone;
  readonly state: JobState;
  /** `memory` while the store is unavailable. */
  readonly durability: 'store' | 'memory';
  /** Daemons that hold the job in memory. */
  readonly holders: number;
}

/** Implemented over the zone controllers. */
export abstract class JobService {
  /**
   * `RefusedError`: no rack can hold the job or its customer's ceiling is too
   * low. `ConflictError`: the key was used for another job.
   */
  abstract submit(
    submission: JobSubmission,
  ): Promise<Result<JobAcceptance, CallError>>;

  /**
   * Returns at once if the job has ended or `waitMs` is 0; otherwise when its
   * state changes, `waitMs` have passed or `signal` is aborted.
   */
  abstract report(
    jobId: JobId,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<JobReport, CallError>>;

  /** Cancelling a job that has ended returns its report unchanged. */
  abstract cancel(jobId: JobId): Promise<Result<JobReport, CallError>>;
}
