/**
 * The jobs of a zone during one term as scheduler: their records, and whether
 * each is queued in the planner, has a gang or is waiting.
 */

import {Backoff} from '../lifecycle/backoff.js';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {Clock} from '../lifecycle/clock.js';
import type {RandomSource} from '../lifecycle/random.js';
import {after} from '../model/ids.js';
import type {Instant, JobId} from '../model/ids.js';
import type {JobRecord} from '../model/jobs.js';
import {hasEnded} from '../model/jobs.js';
import type {JobReport} from '../interfaces/peer_client.js';
import type {ZonePlanner} from '../scheduling/zone_planner.js';
import type {GangRunner} from './gang_runner.js';
import type {JobStore} from './job_store.js';
import {explainInsufficientFuel} from './power_controller.js';
import type {ZoneControllerOptions, ZoneListener} from './zone_options.js';

/** Bounds the load on the store. */
const MAXIMUM_DELETIONS_PER_PASS = 20;

export interface JobEntry {
  record: JobRecord;
  /** The record was rebuilt from tasks because the store was unavailable. */
  provisional: boolean;
  /** Starts, monitors or stops the job's gang. */
  runner: GangRunner | undefined;
  /** The planner accounts for the job's gang. */
  planned: boolean;
  /** The planner has the job in its queue. */
  queued: boolean;
  cancelRequested: boolean;
  /** Why the gang is being stopped. */
  stopReason: string | undefined;
  /** Earliest time at which the job may be queued. */
  notBefore: Instant | undefined;
  /** The generator's remaining fuel does not suffice for the job. */
  lacksFuel: boolean;
  readonly backoff: Backoff;
}

export interface JobTableDependencies {
  readonly planner: ZonePlanner;
  readonly jobStore: JobStore;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly listener: ZoneListener;
  readonly options: ZoneControllerOptions;
  readonly scope: CleanupScope;
}

export class JobTable {
  private readonly entries = new Map<JobId, JobEntry>();

  /** End times of evicted jobs whose records are still in the store. */
  private readonly endedJobs = new Map<JobId, Instant>();

  constructor(private readonly dependencies: JobTableDependencies) {}

  markEnded(record: JobRecord): void {
    const endedAt = record.endedAt ?? this.dependencies.clock.now();
    this.endedJobs.set(record.jobId, endedAt);
  }

  hasEnded(jobId: JobId): boolean {
    const entry = this.entries.get(jobId);
    if (entry === undefined) return this.endedJobs.has(jobId);
    return hasEnded(entry.record.state);
  }

  get(jobId: JobId): JobEntry | undefined {
    return this.entries.get(jobId);
  }

  all(): readonly JobEntry[] {
    return [...this.entries.values()];
  }

  add(record: JobRecord, provisional = false): JobEntry {
    const {random, options} = this.dependencies;
    const entry: JobEntry = {
      record,
      provisional,
      runner: undefined,
      planned: false,
      queued: false,
      cancelRequested: false,
      stopReason: undefined,
      notBefore: undefined,
      lacksFuel: false,
      backoff: new Backoff(
        random,
        options.initialRetryDelayMs,
        options.maximumRetryDelayMs,
      ),
    };
    this.entries.set(record.jobId, entry);
    return entry;
  }

  report(entry: JobEntry): JobReport {
    const {jobId} = entry.record;
    const now = this.dependencies.clock.now();
    const explanation = entry.lacksFuel
      ? explainInsufficientFuel(jobId)
      : this.dependencies.planner.explain(jobId, now);
    return {
      record: entry.record,
      inStore: this.dependencies.jobStore.isStored(jobId),
      ...(explanation === undefined ? {} : {explanation}),
    };
  }

  /** Updates the record and queues it for writing to the store. */
  change(entry: JobEntry, change: Partial<JobRecord>): void {
    entry.record = this.dependencies.jobStore.put({
      ...entry.record,
      ...change,
      sequence: entry.record.sequence + 1,
    });
    const {jobId, state, reason} = entry.record;
    if (change.state === undefined) return;
    this.dependencies.listener.zoneEvent({
      kind: 'jobChanged',
      jobId,
      state,
      reason,
    });
  }

  /** Writes a submitted job that the store lacks after a delay. */
  async writeIfMissing(entry: JobEntry): Promise<void> {
    const {scope, options, jobStore} = this.dependencies;
    await scope.sleep(options.missingRecordCheckDelayMs);
    if (scope.closed || jobStore.isStored(entry.record.jobId)) return;
    entry.record = jobStore.put(entry.record);
  }

  /** Adds the job to the planner's queue. */
  enqueue(entry: JobEntry): void {
    const now = this.dependencies.clock.now();
    const {state} = entry.record;
    if (state === 'starting' || state === 'running') {
      const reason = 'its gang was not found on any worker';
      this.change(entry, {state: 'queued', reason});
    }
    entry.queued = true;
    this.dependencies.planner.enqueue(entry.record, now);
  }

  dequeue(entry: JobEntry): void {
    if (entry.queued) this.dependencies.planner.dequeue(entry.record.jobId);
    entry.queued = false;
  }

  /** Prevents queueing of the job for the given time. */
  delay(entry: JobEntry, milliseconds: number): void {
    entry.notBefore = after(this.dependencies.clock.now(), milliseconds);
  }

  /** Evicts ended jobs after `endedJobRetentionMs`. */
  evictEnded(now: Instant): void {
    const {endedJobRetentionMs} = this.dependencies.options;
    for (const {record, runner} of this.all()) {
      if (!hasEnded(record.state) || runner !== undefined) continue;
      const expiresAt = after(record.endedAt ?? now, endedJobRetentionMs);
      if (
        now < expiresAt ||
        !this.dependencies.jobStore.isStored(record.jobId)
      ) {
        continue;
      }
      this.entries.delete(record.jobId);
      this.markEnded(record);
      this.dependencies.jobStore.evict(record.jobId);
    }
  }

  /** Deletes expired records of ended jobs, a bounded number per pass. */
  async deleteExpiredRecords(now: Instant): Promise<void> {
    const {endedRecordRetentionMs} = this.dependencies.options;
    const expired = [...this.endedJobs]
      .filter(([, endedAt]) => now >= after(endedAt, endedRecordRetentionMs))
      .slice(0, MAXIMUM_DELETIONS_PER_PASS);
    for (const [jobId] of expired) {
      if (this.dependencies.scope.closed) return;
      const deleted = await this.dependencies.jobStore.delete(jobId);
      if (deleted.isErr) return;
      this.endedJobs.delete(jobId);
    }
  }
}
