/**
 * Writes changed job records in batches. Several transactions may be under way,
 * for a store that answers slowly; a record is in one of them at a time. Each
 * transaction is conditional on the revisions of the leader's key and of every
 * record that this leader last saw, so a delayed write cannot replace a newer
 * record.
 */

import type {CleanupScope} from '../../lifecycle/cleanup_scope.js';
import type {
  CoordinationStore,
  StorePut,
  StoreTransaction,
} from '../../interfaces/coordination_store.js';
import {archivedSubmission} from './jobs.js';
import type {Job} from './jobs.js';
import {LEADER_KEY, progressKey, submittedKey} from './records.js';

/**
 * Jobs per transaction. The store accepts 32 entries per transaction, one of
 * which is the condition on the leader's key. A job needs a condition and a
 * put, and a second put when its submission is shortened.
 */
const RECORDS_PER_TRANSACTION = 10;

/** Transactions under way at a time. */
const MAXIMUM_TRANSACTIONS = 8;

/**
 * Text of records after which a transaction takes no more of them. A record is
 * held as text, as an encoded value and as the body of a call until the store
 * answers.
 */
const TRANSACTION_BYTES = 131_072;

/** Text of records under way after which no further transaction starts. */
const BYTES_UNDER_WAY = 1_048_576;

/**
 * A transaction that takes longer is no reason for further changes to wait. Up
 * to then they are collected, as each call to the store has a price.
 */
const COLLECTION_MS = 30;

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

/** Called when a record is durable, or all records that were changed before. */
type Callback = () => void;

/** Changes of one job since its record was last written. */
interface PendingChanges {
  /** Number of the first of them, in the order of all changes. */
  readonly first: number;
  readonly callbacks: Callback[];
}

/** Waits until all changes up to a number are durable. */
interface Waiter {
  readonly through: number;
  readonly then: Callback;
}

export class CommitQueue {
  /** Changed jobs whose records no transaction under way contains. */
  private readonly changed = new Map<Job, PendingChanges>();
  private readonly underWay = new Map<Job, PendingChanges>();
  private changeCount = 0;
  /** In the order of the changes that they wait for. */
  private readonly waiters: Waiter[] = [];
  private transactionCount = 0;
  private bytesUnderWay = 0;
  private isScheduled = false;
  private isDelayed = false;
  private isEnded = false;
  private collectionTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly store: CoordinationStore,
    private readonly leaderRevision: number,
    private readonly scope: CleanupScope,
    private readonly events: CommitQueueEvents,
  ) {
    scope.add(() => clearTimeout(this.collectionTimer));
  }

  /** Queues the job's record and calls `then` once it is durable. */
  write(job: Job, then?: Callback): void {
    let changes = this.changed.get(job);
    if (changes === undefined) {
      this.changeCount += 1;
      changes = {first: this.changeCount, callbacks: []};
      this.changed.set(job, changes);
    }
    if (then !== undefined) changes.callbacks.push(then);
    this.schedule();
  }

  /** Calls `then` once everything queued so far is durable. */
  afterPending(then: Callback): void {
    if (this.changed.size === 0 && this.underWay.size === 0) {
      setImmediate(then);
      return;
    }
    this.waiters.push({through: this.changeCount, then});
  }

  /** Changes of one event loop turn share a transaction. */
  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => {
      this.isScheduled = false;
      this.startTransactions(false);
    });
  }

  private startTransactions(isCollected: boolean): void {
    let mayStart = isCollected || this.transactionCount === 0;
    while (
      !this.scope.closed &&
      !this.isEnded &&
      this.transactionCount < MAXIMUM_TRANSACTIONS &&
      this.bytesUnderWay < BYTES_UNDER_WAY
    ) {
      const jobs = this.writableJobs();
      const isFull = jobs.length === RECORDS_PER_TRANSACTION;
      if (jobs.length === 0 || !(isFull || mayStart)) break;
      const records = this.takeRecords(jobs);
      mayStart = records.length < jobs.length;
      void this.writeRecords(records);
    }
    clearTimeout(this.collectionTimer);
    const isOver = this.scope.closed || this.isEnded;
    if (isOver || this.changed.size === 0) return;
    this.collectionTimer = setTimeout(
      () => this.startTransactions(true),
      COLLECTION_MS,
    );
  }

  private writableJobs(): Job[] {
    const jobs: Job[] = [];
    for (const job of this.changed.keys()) {
      if (this.underWay.has(job)) continue;
      jobs.push(job);
      if (jobs.length === RECORDS_PER_TRANSACTION) break;
    }
    return jobs;
  }

  /** Takes as many of the jobs as one transaction has room for. */
  private takeRecords(jobs: readonly Job[]): PendingRecord[] {
    const records: PendingRecord[] = [];
    let bytes = 0;
    for (const job of jobs) {
      if (bytes >= TRANSACTION_BYTES) break;
      const changes = this.changed.get(job);
      if (changes !== undefined) this.underWay.set(job, changes);
      this.changed.delete(job);
      const record = pendingRecord(job);
      bytes += bytesOf(record);
      records.push(record);
    }
    return records;
  }

  private async writeRecords(records: PendingRecord[]): Promise<void> {
    const bytes = records.reduce((sum, record) => sum + bytesOf(record), 0);
    this.transactionCount += 1;
    this.bytesUnderWay += bytes;
    const isDurable = await this.commit(records);
    this.transactionCount -= 1;
    this.bytesUnderWay -= bytes;
    if (!isDurable) {
      this.isEnded = true;
      return;
    }
    const callbacks = records.flatMap(
      ({job}) => this.underWay.get(job)?.callbacks ?? [],
    );
    for (const {job} of records) this.underWay.delete(job);
    for (const callback of callbacks) callback();
    this.callWaiters();
    this.startTransactions(false);
  }

  private callWaiters(): void {
    // A map keeps the order of its entries, here that of the changes.
    const [oldestChanged] = this.changed.values();
    let oldest = oldestChanged?.first ?? Infinity;
    for (const {first} of this.underWay.values()) {
      oldest = Math.min(oldest, first);
    }
    for (;;) {
      const [waiter] = this.waiters;
      if (waiter === undefined || waiter.through >= oldest) return;
      this.waiters.shift();
      waiter.then();
    }
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

/** Length of the texts, whose characters take a byte each as a rule. */
function bytesOf({put, archive}: PendingRecord): number {
  return put.value.length + (archive?.value.length ?? 0);
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
  const value = JSON.stringify(archivedSubmission(job.submission));
  return {job, put, archive: {key: submittedKey(job.id), value}};
}
