/**
 * Writes changed job records in groups, one transaction at a time. Each
 * transaction holds only while this leader's key and each record have the
 * revisions that this leader last saw, so a write that is carried out late
 * cannot replace a newer record.
 */

import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {
  CoordinationStore,
  StorePut,
  StoreTransaction,
} from '../parties/coordination_store.js';
import type {Job} from './jobs.js';
import {LEADER_KEY, progressKey, submittedKey} from './records.js';

/**
 * Jobs per transaction: the store takes 32 entries, of which one is the
 * condition on the leader's key. A job needs a condition and a put, and a
 * further put when its submission is shortened.
 */
const RECORDS_PER_TRANSACTION = 10;

/** Wait between attempts to write while the store does not answer. */
const RETRY_MS = 150;

export interface CommitQueueEvents {
  /** Another leader was elected. */
  leadershipLost(): void;
  /** The store did not take the transaction; it is tried again. */
  delayed(reason: string): void;
}

interface PendingRecord {
  readonly job: Job;
  readonly put: StorePut;
  /** What remains of the submission of a job that is over. */
  readonly archive: StorePut | undefined;
}

export class CommitQueue {
  private changedJobs = new Set<Job>();
  private callbacks: Array<() => void> = [];
  private isRunning = false;
  private isDelayed = false;

  constructor(
    private readonly store: CoordinationStore,
    private readonly leaderRevision: number,
    private readonly scope: CleanupScope,
    private readonly events: CommitQueueEvents,
  ) {}

  /** True if nothing waits for the store. */
  get isIdle(): boolean {
    return !this.isRunning && this.changedJobs.size === 0;
  }

  /** Queues the job's record; `then` runs once it is durable. */
  write(job: Job, then?: () => void): void {
    this.changedJobs.add(job);
    if (then !== undefined) this.callbacks.push(then);
    this.start();
  }

  /** Runs `then` once everything queued so far is durable. */
  afterPending(then: () => void): void {
    this.callbacks.push(then);
    this.start();
  }

  private start(): void {
    if (this.isRunning) return;
    this.isRunning = true;
    // Changes of the same turn of the event loop share one transaction.
    setImmediate(() => void this.writeChanges());
  }

  private async writeChanges(): Promise<void> {
    while (
      !this.scope.closed &&
      (this.changedJobs.size > 0 || this.callbacks.length > 0)
    ) {
      const jobs = [...this.changedJobs];
      const callbacks = this.callbacks;
      this.changedJobs = new Set();
      this.callbacks = [];
      const records = jobs.map((job) => pendingRecord(job));
      for (let i = 0; i < records.length; i += RECORDS_PER_TRANSACTION) {
        const chunk = records.slice(i, i + RECORDS_PER_TRANSACTION);
        if (!(await this.commit(chunk))) return;
      }
      for (const callback of callbacks) callback();
    }
    this.isRunning = false;
  }

  /** Returns false if this leader may write no more. */
  private async commit(records: PendingRecord[]): Promise<boolean> {
    let remaining = records;
    while (!this.scope.closed) {
      const outcome = await this.store.transact(this.transaction(remaining));
      if (outcome.isErr) {
        if (!this.isDelayed) this.events.delayed(outcome.error.message);
        this.isDelayed = true;
        await this.scope.sleep(RETRY_MS);
        continue;
      }
      this.isDelayed = false;
      if (outcome.value.kind === 'committed') {
        for (const {job} of remaining) {
          job.recordRevision = outcome.value.revision;
        }
        return true;
      }
      const unwritten = this.resolveConflict(remaining, outcome.value.items);
      if (unwritten === undefined) {
        this.events.leadershipLost();
        return false;
      }
      if (unwritten.length === 0) return true;
      remaining = unwritten;
    }
    return false;
  }

  /**
   * Returns the records that are still to be written, or undefined if this
   * leader was replaced. An earlier attempt without an answer may have written
   * some of them.
   */
  private resolveConflict(
    records: readonly PendingRecord[],
    items: ReadonlyArray<{key: string; value: string; revision: number}>,
  ): PendingRecord[] | undefined {
    const byKey = new Map(items.map((item) => [item.key, item]));
    if (byKey.get(LEADER_KEY)?.revision !== this.leaderRevision) {
      return undefined;
    }
    const unwritten: PendingRecord[] = [];
    for (const record of records) {
      const item = byKey.get(record.put.key);
      if (item?.value === record.put.value) {
        record.job.recordRevision = item.revision;
        continue;
      }
      // Only this leader writes records, so its own view of the job is newer.
      record.job.recordRevision = item?.revision ?? 0;
      unwritten.push(record);
    }
    return unwritten;
  }

  private transaction(records: readonly PendingRecord[]): StoreTransaction {
    return {
      conditions: [
        {key: LEADER_KEY, revision: this.leaderRevision},
        ...records.map(({job, put}) => ({
          key: put.key,
          revision: job.recordRevision,
        })),
      ],
      puts: records.flatMap(({put, archive}) =>
        archive === undefined ? [put] : [put, archive],
      ),
      removals: [],
    };
  }
}

function pendingRecord(job: Job): PendingRecord {
  job.isChanged = false;
  const put = {
    key: progressKey(job.id),
    value: JSON.stringify(job.toRecord()),
  };
  if (!job.isEnded || job.hasRuns) return {job, put, archive: undefined};
  // The key stays, so that a repeated submission is recognized; the rest would
  // only lengthen the listing of the next leader.
  const value = JSON.stringify({
    ...job.submission,
    specification: '',
    steps: [],
  });
  return {job, put, archive: {key: submittedKey(job.id), value}};
}
