/**
 * The registry of jobs in a term. It is built from submissions and the records
 * of earlier leaders, and answers queries by callers and operators.
 */

import type {Instant, JobId, QueueId} from '../../model/ids.js';
import {instant} from '../../model/ids.js';
import type {JobStateName} from '../../model/submissions.js';
import {submissionSchema} from '../../model/submissions.js';
import type {StoredItem} from '../../interfaces/coordination_store.js';
import type {Run} from './runs.js';
import {Job} from './jobs.js';
import type {LeaderLog} from '../leader_log.js';
import {CANCELLATION_BYTES, WorkLimit, workBytesOf} from './work_limit.js';
import {
  cancellationSchema,
  decodeRecord,
  parseInboxKey,
  progressKey,
  progressSchema,
} from './records.js';

/** What the leader has to do after a batch of submissions and cancellations. */
export interface InboxEffects {
  /** Runs that earlier leaders placed. */
  readonly placed: readonly Run[];
  /** Jobs that have ended without a record of their end. */
  readonly unrecordedEnds: readonly Job[];
  readonly cancelled: readonly Job[];
}

/** `watched`: the items have been written a moment ago. */
export type InboxSource = 'listed' | 'watched';

export class JobRegistry {
  private readonly jobs = new Map<JobId, Job>();
  /** Jobs that have not ended, in order of acceptance. */
  private readonly openJobs = new Set<Job>();
  /** Ended jobs whose final record is in the store. */
  private readonly durableEnds = new Set<JobId>();
  /** Cancellations without a job, and when the leader first read them. */
  private readonly unmatchedCancellations = new Map<JobId, Instant>();

  constructor(
    private readonly log: LeaderLog,
    /** Counts what the registry holds. */
    readonly work = new WorkLimit(Infinity),
  ) {}

  get size(): number {
    return this.jobs.size;
  }

  get open(): ReadonlySet<Job> {
    return this.openJobs;
  }

  get(jobId: JobId): Job | undefined {
    return this.jobs.get(jobId);
  }

  /** State as callers see it; undefined for an unknown job. */
  stateOf(jobId: JobId): JobStateName | undefined {
    const job = this.jobs.get(jobId);
    if (job === undefined) return undefined;
    // A final state is shown only once its record is durable.
    if (job.isEnded && !this.durableEnds.has(jobId)) return 'running';
    return job.state;
  }

  /** Number of accepted jobs of the queue without a started task. */
  pendingJobCount(queueId: QueueId): number {
    let count = 0;
    for (const job of this.openJobs) {
      if (job.queueId === queueId && !job.hasStarted) count += 1;
    }
    return count;
  }

  /** Jobs that ended before `time`, with a durable record and no runs. */
  endedBefore(time: Instant): Job[] {
    return [...this.jobs.values()].filter(
      (job) =>
        job.endedAt !== undefined &&
        job.endedAt < time &&
        !job.hasRuns &&
        this.durableEnds.has(job.id),
    );
  }

  /**
   * Jobs that were cancelled before `time` and never stored. Their submissions
   * can no longer be under way.
   */
  neverStoredBefore(time: Instant): JobId[] {
    return [...this.unmatchedCancellations]
      .filter(([jobId, readAt]) => readAt < time && !this.jobs.has(jobId))
      .map(([jobId]) => jobId);
  }

  /** The job has ended. Callers see this after `markEndDurable`. */
  close(job: Job): void {
    this.openJobs.delete(job);
  }

  markEndDurable(job: Job): void {
    this.durableEnds.add(job.id);
    this.archive(job);
  }

  /** Drops what an ended job without runs no longer needs. */
  archive(job: Job): void {
    if (!job.isEnded || job.hasRuns || !this.durableEnds.has(job.id)) return;
    job.archive();
    this.work.hold(job.id, job.customerId, workBytesOf(job.submission));
  }

  /** Removes a job, or a cancellation without one, whose records were deleted. */
  forget(jobId: JobId): void {
    this.jobs.delete(jobId);
    this.durableEnds.delete(jobId);
    this.unmatchedCancellations.delete(jobId);
    this.work.release(jobId);
  }

  /**
   * Applies submissions and cancellations; items that are known already have no
   * effect. `progress` holds the records of earlier leaders by key.
   */
  applyInboxItems(
    items: readonly StoredItem[],
    progress: ReadonlyMap<string, StoredItem>,
    source: InboxSource,
    now: Instant,
  ): InboxEffects {
    const placed: Run[] = [];
    const unrecordedEnds: Job[] = [];
    const cancellations: Array<{jobId: JobId; item: StoredItem}> = [];
    for (const item of items) {
      const parsed = parseInboxKey(item.key);
      if (parsed === undefined) continue;
      const {jobId} = parsed;
      if (parsed.kind === 'cancelled') {
        cancellations.push({jobId, item});
        continue;
      }
      const job = this.addJob(item, jobId, source, now);
      if (job === undefined) continue;
      const record = progress.get(progressKey(jobId));
      if (record !== undefined) placed.push(...this.restore(job, record, now));
      if (!job.isEnded) this.openJobs.add(job);
      else if (record === undefined) unrecordedEnds.push(job);
      else this.markEndDurable(job);
    }
    const cancelled = cancellations.flatMap(({jobId, item}) => {
      const job = this.jobs.get(jobId);
      if (job === undefined && !this.unmatchedCancellations.has(jobId)) {
        this.unmatchedCancellations.set(jobId, now);
        const record = decodeRecord(item.key, item.value, cancellationSchema);
        const {customerId} = record.unwrapOr({customerId: undefined});
        this.work.hold(jobId, customerId, CANCELLATION_BYTES);
      }
      if (job === undefined || job.isEnded) return [];
      job.end('cancelled', now);
      return [job];
    });
    return {placed, unrecordedEnds, cancelled};
  }

  /**
   * Another VM's time of day may be seconds away from the leader's, so its
   * account of the submission counts only if the leader did not see it happen.
   */
  private addJob(
    item: StoredItem,
    jobId: JobId,
    source: InboxSource,
    now: Instant,
  ): Job | undefined {
    if (this.jobs.has(jobId)) return undefined;
    const decoded = decodeRecord(item.key, item.value, submissionSchema);
    if (decoded.isErr) {
      this.log.unreadableRecord(decoded.error.message);
      return undefined;
    }
    const submittedAt = instant(decoded.value.submittedAt);
    const acceptedAt =
      source === 'watched' || submittedAt > now ? now : submittedAt;
    const job = new Job(decoded.value, acceptedAt);
    this.jobs.set(jobId, job);
    this.work.hold(jobId, job.customerId, workBytesOf(decoded.value));
    return job;
  }

  private restore(job: Job, record: StoredItem, now: Instant): Run[] {
    job.recordRevision = record.revision;
    const decoded = decodeRecord(record.key, record.value, progressSchema);
    if (decoded.isErr) {
      this.log.unreadableRecord(decoded.error.message);
      return [];
    }
    return job.restore(decoded.value, now);
  }
}
