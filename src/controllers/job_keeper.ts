/**
 * Holds jobs that were accepted while the store was away. Two daemons of the
 * job's zone hold it, the scheduler and one other; this is the other one. A
 * job is dropped once the store has a record of it.
 */

import {Backoff} from '../lifecycle/backoff.js';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {RandomSource} from '../lifecycle/random.js';
import type {JobId} from '../model/ids.js';
import type {JobRecord} from '../model/jobs.js';
import {ABSENT_REVISION} from '../parties/key_value_store.js';
import type {KeyValueStore} from '../parties/key_value_store.js';
import type {JobHolders} from './job_router.js';
import {jobKey} from './job_store.js';

/** Bounds the memory that jobs of a long outage take. */
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
  private readonly held = new Map<JobId, JobRecord>();
  private readonly backoff: Backoff;
  private writeLoopRunning = false;

  constructor(private readonly options: JobBufferOptions) {
    this.backoff = new Backoff(
      options.random,
      INITIAL_RETRY_DELAY_MS,
      MAXIMUM_RETRY_DELAY_MS,
    );
  }

  /** Jobs that are not known to be in the store. */
  get size(): number {
    return this.held.size;
  }

  /** Holds a job; returns false if it already holds as many as it may. */
  add(record: JobRecord): boolean {
    if (this.held.has(record.jobId)) return true;
    if (this.held.size >= MAXIMUM_HELD_JOBS) return false;
    this.held.set(record.jobId, record);
    if (!this.writeLoopRunning) void this.runWriteLoop();
    return true;
  }

  /** Hands all held jobs to the present schedulers of their zones. */
  submitToSchedulers(): void {
    for (const record of this.held.values()) {
      const {holders} = this.options;
      void holders.scheduler(record.availabilityZone)?.submitJob(record);
    }
  }

  private async runWriteLoop(): Promise<void> {
    const {scope} = this.options;
    this.writeLoopRunning = true;
    while (!scope.closed && this.held.size > 0) {
      await scope.sleep(this.backoff.nextWaitMs());
      if (await this.writeAll()) this.backoff.reset();
    }
    this.writeLoopRunning = false;
  }

  /** Returns false at the first write that the store did not take. */
  private async writeAll(): Promise<boolean> {
    for (const record of [...this.held.values()]) {
      if (this.options.scope.closed) return false;
      if (!(await this.write(record))) return false;
      this.held.delete(record.jobId);
    }
    return true;
  }

  private async write(record: JobRecord): Promise<boolean> {
    const written = await this.options.store.put(
      jobKey(record.availabilityZone, record.jobId),
      JSON.stringify(record),
      ABSENT_REVISION,
    );
    // A conflict means that the scheduler has written a record already.
    return written.isOk || written.error.kind === 'conflict';
  }
}
