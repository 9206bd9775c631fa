/**
 * Reads and writes the audit trail. Accepted configuration changes serve as
 * their own audit entries and are read from the audit segments and the head.
 * Scheduler decisions are written in batches to a ring of store keys per zone.
 */

import {Result} from 'true-myth';
import {z} from 'zod';
import {Backoff} from '../lifecycle/backoff.js';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {Clock} from '../lifecycle/clock.js';
import type {RandomSource} from '../lifecycle/random.js';
import type {ConfigurationChange} from '../model/configuration.js';
import {ProtocolError} from '../model/errors.js';
import {
  availabilityZoneSchema,
  daemonIdSchema,
  instantSchema,
  randomId,
} from '../model/ids.js';
import type {AvailabilityZone, DaemonId} from '../model/ids.js';
import {validateJson} from '../model/validation.js';
import type {
  KeyValueStore,
  StoreReadError,
  StoreWriteError,
} from '../interfaces/key_value_store.js';
import {ABSENT_REVISION} from '../interfaces/key_value_store.js';
import {
  CHANGES_PER_SEGMENT,
  ConfigurationStore,
  segmentStart,
} from './configuration_store.js';
import type {LogFunction} from './listeners.js';

/** Size of the ring of batches per zone; a new batch overwrites the oldest. */
export const DECISION_SLOTS = 64;
/** Keeps a batch under 1 MB even if all texts have their maximum length. */
export const DECISIONS_PER_BATCH = 200;
/** Further decisions are counted and dropped until a batch is written. */
export const MAXIMUM_PENDING_DECISIONS = 1_000;
const MAXIMUM_KIND_CHARACTERS = 64;
const MAXIMUM_SUBJECT_CHARACTERS = 160;
const MAXIMUM_DETAIL_CHARACTERS = 500;
const DEFAULT_WRITE_INTERVAL_MS = 5_000;
const MAXIMUM_RETRY_WAIT_MS = 30_000;
/** Other daemons of the zone may claim the same batch number concurrently. */
const MAXIMUM_CLAIM_ATTEMPTS = 8;

export const decisionSchema = z.object({
  at: instantSchema,
  /** For example `preempt`. */
  kind: z.string().max(MAXIMUM_KIND_CHARACTERS),
  /** The object of the decision, for example a job id. */
  subject: z.string().max(MAXIMUM_SUBJECT_CHARACTERS),
  /** Reason in one sentence. */
  detail: z.string().max(MAXIMUM_DETAIL_CHARACTERS),
});
export type Decision = z.infer<typeof decisionSchema>;

export const decisionBatchSchema = z.object({
  /** Batch number within the zone, starting at 1, without gaps. */
  sequence: z.int().min(1),
  batchId: z.string(),
  daemonId: daemonIdSchema,
  availabilityZone: availabilityZoneSchema,
  /** Decisions that this daemon has dropped since its last batch. */
  notKept: z.int().min(0),
  decisions: z.array(decisionSchema),
});
/** Value of the store key `audit/decisions/<zone>/<slot>`. */
export type DecisionBatch = z.infer<typeof decisionBatchSchema>;

const decisionHeadSchema = z.object({
  /** Last batch number that any daemon has claimed. */
  sequence: z.int().min(0),
  /** Id of the batch that claimed `sequence`. */
  batchId: z.string(),
});
type DecisionHead = z.infer<typeof decisionHeadSchema>;

export interface ConfigurationHistory {
  /** Ordered by version. */
  readonly changes: readonly ConfigurationChange[];
  /** Versions whose changes are not in the store. */
  readonly missingVersions: readonly number[];
}

export interface DecisionHistory {
  /** Ordered by batch number. */
  readonly batches: readonly DecisionBatch[];
  /** Batches that were claimed but never written, or already overwritten. */
  readonly missingSequences: readonly number[];
}

export type AuditReadError = StoreReadError | ProtocolError;

/** Reads configuration changes and scheduler decisions. */
export class AuditReader {
  private readonly configurationStore: ConfigurationStore;

  constructor(private readonly store: KeyValueStore) {
    this.configurationStore = new ConfigurationStore(store);
  }

  /** Returns up to `limit` changes after `afterVersion`, each exactly once. */
  async configurationChanges(
    afterVersion = 0,
    limit = Number.POSITIVE_INFINITY,
  ): Promise<Result<ConfigurationHistory, AuditReadError>> {
    // Reading the head first ensures that changes which are moved from the head
    // to a segment during the read are still in this copy.
    const stored = await this.configurationStore.readHead();
    if (stored.isErr) return Result.err(stored.error);
    const {head} = stored.value;
    const last = Math.min(head.version, afterVersion + limit);
    const found = new Map<number, ConfigurationChange>();
    let from = segmentStart(afterVersion + 1);
    for (; from <= Math.min(last, head.snapshotVersion);) {
      const segment = await this.configurationStore.readSegment(from);
      if (segment.isErr) return Result.err(segment.error);
      for (const change of segment.value) found.set(change.version, change);
      from += CHANGES_PER_SEGMENT;
    }
    for (const change of head.recentChanges) found.set(change.version, change);
    return Result.ok(collect(found, afterVersion + 1, last));
  }

  /** Returns the latest `limit` changes. */
  async latestConfigurationChanges(
    limit: number,
  ): Promise<Result<ConfigurationHistory, AuditReadError>> {
    const stored = await this.configurationStore.readHead();
    if (stored.isErr) return Result.err(stored.error);
    const after = Math.max(0, stored.value.head.version - limit);
    return this.configurationChanges(after);
  }

  /** Returns the batches of a zone that are still in the store. */
  async decisions(
    zone: AvailabilityZone,
  ): Promise<Result<DecisionHistory, AuditReadError>> {
    const stored = await readDecisionHead(this.store, zone);
    if (stored.isErr) return Result.err(stored.error);
    const last = stored.value.head.sequence;
    const batches: DecisionBatch[] = [];
    const missingSequences: number[] = [];
    const first = Math.max(1, last - DECISION_SLOTS + 1);
    for (let sequence = first; sequence <= last; sequence += 1) {
      const batch = await readBatch(this.store, zone, sequence);
      if (batch.isErr) return Result.err(batch.error);
      if (batch.value?.sequence === sequence) batches.push(batch.value);
      else missingSequences.push(sequence);
    }
    return Result.ok({batches, missingSequences});
  }
}

export interface DecisionLogOptions {
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly scope: CleanupScope;
  readonly log: LogFunction;
  readonly daemonId: DaemonId;
  readonly availabilityZone: AvailabilityZone;
  readonly writeIntervalMs?: number;
}

/**
 * Writes the decisions of this daemon. A batch claims the zone's next batch
 * number before it is written to the slot of that number, so that readers
 * detect a batch that was claimed but never written.
 */
export class DecisionLog {
  private readonly pending: Decision[] = [];
  private dropped = 0;
  private flushInProgress: Promise<void> | undefined;
  /** Claimed a number, but its write is not confirmed. */
  private claimedBatch: DecisionBatch | undefined;

  constructor(private readonly options: DecisionLogOptions) {}

  /** Dropped decisions that no written batch has reported yet. */
  get droppedCount(): number {
    return this.dropped;
  }

  /** Writes periodically, and once more when the scope closes. */
  start(): void {
    const {scope, random} = this.options;
    scope.add(() => this.flush());
    void (async () => {
      const interval =
        this.options.writeIntervalMs ?? DEFAULT_WRITE_INTERVAL_MS;
      const backoff = new Backoff(random, interval, MAXIMUM_RETRY_WAIT_MS);
      while (!scope.closed) {
        const before = this.pending.length;
        await this.flush();
        const failed = before > 0 && this.pending.length >= before;
        if (!failed) backoff.reset();
        await scope.sleep(failed ? backoff.nextWaitMs() : interval);
      }
    })();
  }

  /** Adds a decision; texts that exceed their limits are truncated. */
  record(kind: string, subject: string, detail: string): void {
    if (this.pending.length >= MAXIMUM_PENDING_DECISIONS) {
      this.dropped += 1;
      return;
    }
    this.pending.push({
      at: this.options.clock.now(),
      kind: kind.slice(0, MAXIMUM_KIND_CHARACTERS),
      subject: subject.slice(0, MAXIMUM_SUBJECT_CHARACTERS),
      detail: detail.slice(0, MAXIMUM_DETAIL_CHARACTERS),
    });
  }

  /** Writes pending decisions; stops at the first failure. */
  async flush(): Promise<void> {
    this.flushInProgress ??= this.writePending().finally(() => {
      this.flushInProgress = undefined;
    });
    await this.flushInProgress;
  }

  private async writePending(): Promise<void> {
    while (this.pending.length > 0 || this.dropped > 0 || this.claimedBatch) {
      const written = await this.writeBatch();
      if (written.isOk) continue;
      this.options.log(
        `[audit] ${this.pending.length} decisions could not be written to the store yet: ${written.error.message}`,
      );
      return;
    }
  }

  private async writeBatch(): Promise<
    Result<void, StoreWriteError | AuditReadError>
  > {
    if (!this.claimedBatch) {
      const claimed = await this.claim();
      if (claimed.isErr) return Result.err(claimed.error);
      this.claimedBatch = claimed.value;
    }
    const batch = this.claimedBatch;
    const put = await this.putBatch(batch);
    if (put.isErr) return put;
    this.claimedBatch = undefined;
    this.pending.splice(0, batch.decisions.length);
    this.dropped -= batch.notKept;
    return Result.ok(undefined);
  }

  private async claim(): Promise<
    Result<DecisionBatch, StoreWriteError | AuditReadError>
  > {
    const {store, availabilityZone, daemonId} = this.options;
    const batchId = randomId('batch') as string;
    let lastError: StoreWriteError | undefined;
    for (let attempt = 0; attempt < MAXIMUM_CLAIM_ATTEMPTS; attempt += 1) {
      const stored = await readDecisionHead(store, availabilityZone);
      if (stored.isErr) return Result.err(stored.error);
      const {head, revision} = stored.value;
      const alreadyClaimed = head.batchId === batchId;
      const sequence = alreadyClaimed ? head.sequence : head.sequence + 1;
      if (!alreadyClaimed) {
        const claimed = await store.put(
          headKey(availabilityZone),
          JSON.stringify({sequence, batchId} satisfies DecisionHead),
          revision,
        );
        if (claimed.isErr) {
          lastError = claimed.error;
          const {kind} = claimed.error;
          if (kind === 'conflict' || kind === 'unknown-effect') continue;
          return Result.err(claimed.error);
        }
      }
      return Result.ok({
        sequence,
        batchId,
        daemonId,
        availabilityZone,
        notKept: this.dropped,
        decisions: this.pending.slice(0, DECISIONS_PER_BATCH),
      });
    }
    return Result.err(lastError ?? claimLost(availabilityZone));
  }

  /** Overwrites an older batch in the slot, but never a newer one. */
  private async putBatch(
    batch: DecisionBatch,
  ): Promise<Result<void, StoreWriteError | AuditReadError>> {
    const {store, availabilityZone, log} = this.options;
    const key = slotKey(availabilityZone, batch.sequence);
    const entry = await store.get(key);
    if (entry.isErr) return Result.err(entry.error);
    const other = entry.value && decodeBatch(key, entry.value.value);
    if (other?.isOk && other.value.sequence > batch.sequence) {
      log(
        `[audit] slot of batch ${batch.sequence} holds a newer batch; claiming a new number`,
      );
      this.claimedBatch = undefined;
      return Result.err(claimLost(availabilityZone));
    }
    const put = await store.put(
      key,
      JSON.stringify(batch),
      entry.value?.revision ?? ABSENT_REVISION,
    );
    return put.map(() => undefined);
  }
}

async function readDecisionHead(
  store: KeyValueStore,
  zone: AvailabilityZone,
): Promise<Result<{head: DecisionHead; revision: number}, AuditReadError>> {
  const entry = await store.get(headKey(zone));
  if (entry.isErr) return Result.err(entry.error);
  if (!entry.value) {
    return Result.ok({
      head: {sequence: 0, batchId: ''},
      revision: ABSENT_REVISION,
    });
  }
  const {key, value, revision} = entry.value;
  return validateJson(decisionHeadSchema, value, key)
    .map((head) => ({head, revision}))
    .mapErr((error) => malformedValue(error.problem));
}

async function readBatch(
  store: KeyValueStore,
  zone: AvailabilityZone,
  sequence: number,
): Promise<Result<DecisionBatch | undefined, AuditReadError>> {
  const entry = await store.get(slotKey(zone, sequence));
  if (entry.isErr) return Result.err(entry.error);
  if (!entry.value) return Result.ok(undefined);
  return decodeBatch(entry.value.key, entry.value.value);
}

function decodeBatch(
  key: string,
  value: string,
): Result<DecisionBatch, ProtocolError> {
  return validateJson(decisionBatchSchema, value, key).mapErr((error) =>
    malformedValue(error.problem),
  );
}

function collect(
  found: ReadonlyMap<number, ConfigurationChange>,
  first: number,
  last: number,
): ConfigurationHistory {
  const changes: ConfigurationChange[] = [];
  const missingVersions: number[] = [];
  for (let version = first; version <= last; version += 1) {
    const change = found.get(version);
    if (change) changes.push(change);
    else missingVersions.push(version);
  }
  return {changes, missingVersions};
}

function headKey(zone: AvailabilityZone): string {
  return `audit/decisions/${zone}/head`;
}

function slotKey(zone: AvailabilityZone, sequence: number): string {
  return `audit/decisions/${zone}/${sequence % DECISION_SLOTS}`;
}

function malformedValue(problem: string): ProtocolError {
  return new ProtocolError(
    `malformed value in the audit trail: ${problem}`,
    'restore the key from a backup of the store',
  );
}

function claimLost(zone: AvailabilityZone): ProtocolError {
  return new ProtocolError(
    `other daemons claimed the next decision batches of ${zone} first`,
    'no action needed: the batch is retried at the next interval',
  );
}
