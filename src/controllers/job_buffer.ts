/**
 * Buffers in memory the jobs that were accepted while the store was
 * unavailable. Each such job is held by two daemons of its zone: the scheduler
 * and one other daemon, which runs this buffer. A job is dropped once the store
 * has a record of it.
 */

import {Backoff} from '../lifecycle/backoff.js';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {RandomSource} from '../lifecycle/random.js';
import type {JobId} from '../model/ids.js';
import type {JobRecord} from '../model/jobs.js';
import {ABSENT_REVISION} from '../interfaces/key_value_store.js';
import type {KeyValueStore} from '../interfaces/key_value_store.js';
import type {JobHolders} from './job_router.js';
import {jobKey} from './job_store.js';

/** Bounds the memory used during a long store outage. */
const MAXIMUM_HELD_JOBS = 10_000;
const INITIAL_RETRY_DELAY_MS = 500;
const MAXIMUM_RETRY_DELAY_MS = 10_000;

export interface JobBufferOptions {
  readonly store: KeyValueStore;
  readonly holders: JobHolders;
  readonly random: RandomSource;
  readonly scope: CleanupScope;
}

export class JobBuffer {
  private readonly heldJobs = new Map<JobId, JobRecord>();
  private readonly backoff: Backoff;
  private writeLoopRunning = false;

  constructor(private readonly options: JobBufferOptions) {
    this.backoff = new Backoff(
      options.random,
      INITIAL_RETRY_DELAY_MS,
      MAXIMUM_RETRY_DELAY_MS,
    );
  }

  /** Number of buffered jobs, which may not be in the store yet. */
  get size(): number {
    return this.heldJobs.size;
  }

  /** Adds a job; returns false if the buffer is full. */
  add(record: JobRecord): boolean {
    if (this.heldJobs.has(record.jobId)) return true;
    if (this.heldJobs.size >= MAXIMUM_HELD_JOBS) return false;
    this.heldJobs.set(record.jobId, record);
    if (!this.writeLoopRunning) void this.runWriteLoop();
    return true;
  }

  /** Submits all buffered jobs to the current schedulers of their zones. */
  submitToSchedulers(): void {
    for (const record of this.heldJobs.values()) {
      const {holders} = this.options;
      void holders.scheduler(record.availabilityZone)?.submitJob(record);
    }
  }

  private async runWriteLoop(): Promise<void> {
    const {scope} = this.options;
    this.writeLoopRunning = true;
    while (!scope.closed && this.heldJobs.size > 0) {
      await scope.sleep(this.backoff.nextWaitMs());
      if (await this.writeAll()) this.backoff.reset();
    }
    this.writeLoopRunning = false;
  }

  /** Stops and returns false at the first failed write. */
  private async writeAll(): Promise<boolean> {
    for (const record of [...this.heldJobs.values()]) {
      if (this.options.scope.closed) return false;
      if (!(await this.write(record))) return false;
      this.heldJobs.delete(record.jobId);
    }
    return true;
  }

  private async write(record: JobRecord): Promise<boolean> {
    const written = await this.options.store.put(
      jobKey(record.availabilityZone, record.jobId),
      JSON.stringify(record),
      ABSENT_REVISION,
    );
    // On a conflict, the scheduler has already written a record.
    return written.isOk || written.error.kind === 'conflict';
  }
}
