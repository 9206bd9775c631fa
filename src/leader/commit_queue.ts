/**
 * Writes changed job records in batches, one transaction at a time. Each
 * transaction is conditional on the revisions of the leader's key and of every
 * record that this leader last saw, so a delayed write cannot replace a newer
 * record.
 */

import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {
  CoordinationStore,
  StorePut,
  StoreTransaction,
} from '../interfaces/coordination_store.js';
import type {Job} from './jobs.js';
import {LEADER_KEY, progressKey, submittedKey} from './records.js';

/**
 * Jobs per transaction. The store accepts 32 entries per transaction, one of
 * which is the condition on the leader's key. A job needs a condition and a
 * put, and a second put when its submission is shortened.
 */
const RECORDS_PER_TRANSACTION = 10;

/** Delay between attempts to write while the store is unavailable. */
const RETRY_MS = 150;

export interface CommitQueueEvents {
  /** Another leader was elected; nothing more is written. */
  leadershipLost(): void;
  /** The store did not confirm a transaction, which is retried. */
  delayed(reason: string): void;
}

interface PendingRecord {
  readonly job: Job;
  readonly put: StorePut;
  /** Shortened submission of an ended job. */
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

  /** True if no write is pending or under way. */
  get isIdle(): boolean {
    return !this.isRunning && this.changedJobs.size === 0;
  }

  /** Queues the job's record and calls `then` once it is durable. */
  write(job: Job, then?: () => void): void {
    this.changedJobs.add(job);
    if (then !== undefined) this.callbacks.push(then);
    this.start();
  }

  /** Calls `then` once everything queued so far is durable. */
  afterPending(then: () => void): void {
    this.callbacks.push(then);
    this.start();
  }

  private start(): void {
    if (this.isRunning) return;
    this.isRunning = true;
    // Changes of one event loop turn share a transaction.
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

  /** Returns false if leadership was lost or the scope has closed. */
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
   * Returns the records that still have to be written, or undefined if
   * leadership was lost. An earlier attempt without an answer may have written
   * some of them already.
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
      // Only the leader writes records, so its in-memory job is newer.
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
  // The key is kept so that a repeated submission is recognized. The content is
  // dropped because the next leader has to list all submissions.
  const value = JSON.stringify({
    ...job.submission,
    specification: '',
    steps: [],
  });
  return {job, put, archive: {key: submittedKey(job.id), value}};
}
