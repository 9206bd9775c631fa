/**
 * Reads and writes the job records of one zone. Unwritten records are held in
 * memory, only the latest of each job, and written one at a time by
 * compare-and-swap. The writer outlives the daemon's term as scheduler, so that
 * the end of a job is written even if the daemon has lost the zone meanwhile.
 */

import {Result} from 'true-myth';
import {Backoff} from '../lifecycle/backoff.js';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {RandomSource} from '../lifecycle/random.js';
import type {AvailabilityZone, JobId} from '../model/ids.js';
import type {JobRecord} from '../model/jobs.js';
import {hasEnded, jobRecordSchema} from '../model/jobs.js';
import {validateJson} from '../model/validation.js';
import type {
  KeyValueStore,
  StoreEntry,
  StoreReadError,
  StoreWriteError,
} from '../interfaces/key_value_store.js';
import {ABSENT_REVISION} from '../interfaces/key_value_store.js';
import type {ZoneControllerOptions} from './zone_options.js';

/**
 * Result of writing the latest record of a job: stored, only in memory, or
 * superseded by another scheduler's record.
 */
export type WriteResult = 'stored' | 'memory' | 'overruled';

export interface JobStoreListener {
  /** Another scheduler's record takes precedence over the unwritten one. */
  overruled(stored: JobRecord): void;
  /** The latest record of the job is in the store. */
  stored(jobId: JobId): void;
  storeAvailable(available: boolean, unwritten: number): void;
}

interface KnownEntry {
  readonly revision: number;
  readonly sequence: number;
}

/** Returns the key of a job's record. */
export function jobKey(zone: AvailabilityZone, jobId: JobId): string {
  return `${jobPrefix(zone)}${jobId}`;
}

export function jobPrefix(zone: AvailabilityZone): string {
  return `jobs/${zone}/`;
}

/** True if the state was observed on workers rather than only decided. */
function isObserved(record: JobRecord): boolean {
  return record.state === 'running' || hasEnded(record.state);
}

/**
 * Resolves a conflict between the stored and the unwritten record of a job.
 * Returns the record to write, or undefined if the stored one is kept. A state
 * observed on workers takes precedence over a decision, and an end over any
 * other state; of two ends, the stored one is kept. The fields submitted by the
 * caller are taken from the store, since a record rebuilt from task lists lacks
 * some of them.
 */
export function mergeRecords(
  stored: JobRecord,
  own: JobRecord,
): JobRecord | undefined {
  if (hasEnded(stored.state)) return undefined;
  const newer = own.sequence > stored.sequence;
  if (!newer && !isObserved(own)) return undefined;
  return {
    ...own,
    ...(stored.key === undefined ? {} : {key: stored.key}),
    urgency: stored.urgency,
    declaredRunTimeMs: stored.declaredRunTimeMs,
    payload: stored.payload,
    submittedAt: stored.submittedAt,
    attempts: Math.max(stored.attempts, own.attempts),
    sequence: Math.max(own.sequence, stored.sequence + 1),
  };
}

export class JobStore {
  private readonly knownEntries = new Map<JobId, KnownEntry>();
  private readonly unwritten = new Map<JobId, JobRecord>();
  private readonly waitersByJob = new Map<
    JobId,
    Set<(r: WriteResult) => void>
  >();
  private readonly backoff: Backoff;
  private listener: JobStoreListener | undefined;
  private writing = false;
  private available = true;

  constructor(
    private readonly zone: AvailabilityZone,
    private readonly store: KeyValueStore,
    private readonly random: RandomSource,
    private readonly scope: CleanupScope,
    private readonly options: ZoneControllerOptions,
  ) {
    this.backoff = new Backoff(
      random,
      options.initialRetryDelayMs,
      options.maximumRetryDelayMs,
    );
  }

  /** Replaces the listener; there is at most one. */
  setListener(listener: JobStoreListener): void {
    this.listener = listener;
  }

  /** Removes the listener unless a later term has already replaced it. */
  clearListener(listener: JobStoreListener): void {
    if (this.listener === listener) this.listener = undefined;
  }

  /** Number of records that exist only in memory. */
  get unwrittenCount(): number {
    return this.unwritten.size;
  }

  /** True if the latest record of the job is in the store. */
  isStored(jobId: JobId): boolean {
    return this.knownEntries.has(jobId) && !this.unwritten.has(jobId);
  }

  /** Deletes the record of an ended job. */
  async delete(
    jobId: JobId,
  ): Promise<Result<void, StoreReadError | StoreWriteError>> {
    const key = jobKey(this.zone, jobId);
    const entry = await this.store.get(key);
    if (entry.isErr) return Result.err(entry.error);
    if (entry.value === undefined) return Result.ok(undefined);
    return this.store.delete(key, entry.value.revision);
  }

  /** Reads all records of the zone and the store's revision. */
  async readAll(): Promise<
    Result<{revision: number; records: readonly JobRecord[]}, StoreReadError>
  > {
    const result = await this.store.list(jobPrefix(this.zone));
    return result.map(({revision, entries}) => ({
      revision,
      records: entries.flatMap((entry) => this.applyEntry(entry) ?? []),
    }));
  }

  /** Parses an entry and caches its revision; undefined if malformed. */
  applyEntry(entry: StoreEntry): JobRecord | undefined {
    const parsed = validateJson(jobRecordSchema, entry.value, entry.key);
    if (parsed.isErr) return undefined;
    const record = parsed.value;
    const known = this.knownEntries.get(record.jobId);
    if (known === undefined || known.revision <= entry.revision) {
      this.knownEntries.set(record.jobId, {
        revision: entry.revision,
        sequence: record.sequence,
      });
    }
    return record;
  }

  /**
   * Applies an entry returned by a watch. If the job has an unwritten record,
   * the two are merged as after a write conflict. Caching the entry's revision
   * alone would let the unwritten record overwrite the entry without a merge.
   */
  applyWatchedEntry(entry: StoreEntry): JobRecord | undefined {
    const parsed = validateJson(jobRecordSchema, entry.value, entry.key);
    if (parsed.isErr) return undefined;
    const {jobId} = parsed.value;
    const knownRevision =
      this.knownEntries.get(jobId)?.revision ?? ABSENT_REVISION;
    const own = this.unwritten.get(jobId);
    const isOwn = own !== undefined && JSON.stringify(own) === entry.value;
    if (own === undefined || isOwn || entry.revision <= knownRevision) {
      return this.applyEntry(entry);
    }
    this.resolveConflict(entry);
    return parsed.value;
  }

  /**
   * Queues the record for writing, replacing an older unwritten one. Returns it
   * with a sequence higher than that of every known record of the job.
   */
  put(record: JobRecord): JobRecord {
    const {jobId} = record;
    const lastSequence = Math.max(
      this.knownEntries.get(jobId)?.sequence ?? -1,
      this.unwritten.get(jobId)?.sequence ?? -1,
    );
    const next = {
      ...record,
      sequence: Math.max(record.sequence, lastSequence + 1),
    };
    this.unwritten.set(jobId, next);
    if (!this.writing) void this.writeAll();
    return next;
  }

  /** Waits up to `waitMs` for the job's record to be written. */
  async waitForWrite(jobId: JobId, waitMs: number): Promise<WriteResult> {
    if (!this.unwritten.has(jobId)) return 'stored';
    if (!this.available) return 'memory';
    return await new Promise<WriteResult>((resolve) => {
      const waiters = this.waitersByJob.get(jobId) ?? new Set();
      this.waitersByJob.set(jobId, waiters);
      const finish = (result: WriteResult) => {
        clearTimeout(timer);
        waiters.delete(finish);
        resolve(result);
      };
      const timer = setTimeout(() => finish('memory'), waitMs);
      waiters.add(finish);
    });
  }

  /**
   * Drops unwritten records that the next scheduler will decide or observe
   * again. Keeps ends, checkpoints and jobs that the store has never contained.
   */
  dropDecisions(): void {
    for (const record of [...this.unwritten.values()]) {
      const mustBeWritten =
        hasEnded(record.state) || record.state === 'setAside';
      if (mustBeWritten || !this.knownEntries.has(record.jobId)) continue;
      this.completeWrite(record.jobId, 'overruled');
    }
  }

  /** Drops the cached revision of a job that is no longer requested. */
  evict(jobId: JobId): void {
    if (!this.unwritten.has(jobId)) this.knownEntries.delete(jobId);
  }

  private async writeAll(): Promise<void> {
    this.writing = true;
    while (!this.scope.closed) {
      const record = this.unwritten.values().next().value;
      if (record === undefined) break;
      const succeeded = await this.write(record);
      if (!succeeded) this.moveToEnd(record.jobId);
      await this.waitBeforeNextWrite(succeeded);
    }
    this.writing = false;
  }

  /** Moves a record that cannot be written behind the others. */
  private moveToEnd(jobId: JobId): void {
    const record = this.unwritten.get(jobId);
    if (record === undefined) return;
    this.unwritten.delete(jobId);
    this.unwritten.set(jobId, record);
  }

  /**
   * Backs off while the store is unavailable, and then spaces writes at random
   * until all are written, so that a recovering store is not flooded.
   */
  private async waitBeforeNextWrite(succeeded: boolean): Promise<void> {
    if (!succeeded) {
      this.setAvailable(false);
      await this.scope.sleep(this.backoff.nextWaitMs());
      return;
    }
    this.backoff.reset();
    if (this.unwritten.size === 0) this.setAvailable(true);
    if (this.available) return;
    const delayMs =
      2 * this.random.next() * this.options.recoveryWriteIntervalMs;
    await this.scope.sleep(delayMs);
  }

  private setAvailable(available: boolean): void {
    if (this.available === available) return;
    this.available = available;
    if (!available) this.resolveWaiters();
    this.listener?.storeAvailable(available, this.unwritten.size);
  }

  private resolveWaiters(): void {
    for (const waiters of this.waitersByJob.values()) {
      for (const finish of [...waiters]) finish('memory');
    }
    this.waitersByJob.clear();
  }

  /** Returns false if the write must be retried later. */
  private async write(record: JobRecord): Promise<boolean> {
    const {jobId} = record;
    const expected = this.knownEntries.get(jobId)?.revision ?? ABSENT_REVISION;
    const key = jobKey(this.zone, jobId);
    const value = JSON.stringify(record);
    const result = await this.store.put(key, value, expected);
    if (result.isOk) {
      this.handleWritten(record, result.value);
      return true;
    }
    const {kind} = result.error;
    if (kind !== 'conflict' && kind !== 'unknown-effect') return false;
    const read = await this.store.get(key);
    if (read.isErr) return false;
    const entry = read.value;
    if (entry?.value === value) {
      this.handleWritten(record, entry.revision);
      return true;
    }
    if (kind === 'unknown-effect' && entry?.revision === expected) return false;
    if (entry !== undefined) return this.resolveConflict(entry);
    this.knownEntries.delete(jobId);
    return kind === 'conflict';
  }

  private handleWritten(record: JobRecord, revision: number): void {
    const {jobId, sequence} = record;
    this.knownEntries.set(jobId, {revision, sequence});
    if (this.unwritten.get(jobId) !== record) return;
    this.completeWrite(jobId, 'stored');
    this.listener?.stored(jobId);
  }

  private completeWrite(jobId: JobId, result: WriteResult): void {
    this.unwritten.delete(jobId);
    const waiters = this.waitersByJob.get(jobId);
    this.waitersByJob.delete(jobId);
    for (const finish of [...(waiters ?? [])]) finish(result);
  }

  /** Merges with another writer's entry; false if it cannot be parsed. */
  private resolveConflict(entry: StoreEntry): boolean {
    const stored = this.applyEntry(entry);
    if (stored === undefined) return false;
    const own = this.unwritten.get(stored.jobId);
    if (own === undefined) return true;
    const merged = mergeRecords(stored, own);
    if (merged !== undefined) {
      this.unwritten.set(stored.jobId, merged);
      return true;
    }
    this.completeWrite(stored.jobId, 'overruled');
    this.listener?.overruled(stored);
    return true;
  }
}
