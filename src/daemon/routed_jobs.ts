/**
 * Job operations for callers, forwarded to the job router.
 */

import type {Result} from 'true-myth';
import type {JobRouter} from '../controllers/job_router.js';
import {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {CallError} from '../model/errors.js';
import type {JobId} from '../model/ids.js';
import type {JobSubmission} from '../model/jobs.js';
import type {JobReport} from '../interfaces/peer_client.js';
import {JobService} from './job_service.js';
import type {JobAcceptance} from './job_service.js';
import type {DaemonMetrics} from './metrics.js';

export class RoutedJobs extends JobService {
  constructor(
    private readonly router: JobRouter,
    private readonly metrics: DaemonMetrics,
  ) {
    super();
  }

  override async submit(
    submission: JobSubmission,
  ): Promise<Result<JobAcceptance, CallError>> {
    const accepted = await this.router.submit(submission);
    return accepted.map(({record, storage}) => {
      this.metrics.countJob(storage.durability);
      return {
        jobId: record.jobId,
        availabilityZone: record.availabilityZone,
        state: record.state,
        durability: storage.durability,
        holders: storage.durability === 'memory' ? storage.holders : 0,
      };
    });
  }

  override async report(
    jobId: JobId,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<JobReport, CallError>> {
    const scope = new CleanupScope();
    const close = () => void scope.close();
    signal.addEventListener('abort', close);
    try {
      return await this.router.report(jobId, waitMs, scope);
    } finally {
      signal.removeEventListener('abort', close);
    }
  }

  override cancel(jobId: JobId): Promise<Result<JobReport, CallError>> {
    return this.router.cancel(jobId);
  }
}
