/**
 * Job operations of the HTTP interface for callers.
 */

import type {Result} from 'true-myth';
import type {CallError} from '../model/errors.js';
import type {AvailabilityZone, JobId} from '../model/ids.js';
import type {JobState, JobSubmission} from '../model/jobs.js';
import type {JobReport} from '../interfaces/peer_client.js';

/** Response to an accepted job submission. */
export interface JobAcceptance {
  readonly jobId: JobId;
  readonly availabilityZone: AvailabilityZone;
  readonly state: JobState;
  /** `memory` while the store is unavailable. */
  readonly durability: 'store' | 'memory';
  /** Daemons that hold the job in memory. */
  readonly holders: number;
}

/** Implemented on top of the job router. */
export abstract class JobService {
  /**
   * `RefusedError`: the job fits no rack or exceeds its customer's ceiling.
   * `ConflictError`: the key was already used for a different job.
   */
  abstract submit(
    submission: JobSubmission,
  ): Promise<Result<JobAcceptance, CallError>>;

  /**
   * Returns immediately if the job has ended or `waitMs` is 0; otherwise when
   * its state changes, `waitMs` elapses or `signal` is aborted.
   */
  abstract report(
    jobId: JobId,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<JobReport, CallError>>;

  /** If the job has already ended, returns its report unchanged. */
  abstract cancel(jobId: JobId): Promise<Result<JobReport, CallError>>;
}
