/**
 * Storage layout of the configuration in the key-value store: a head with the
 * recent changes, snapshots, and audit segments with the changes that were
 * trimmed from the head; see `docs/design.md`, section 3.8.
 */

import {Result} from 'true-myth';
import {z} from 'zod';
import type {
  Configuration,
  ConfigurationChange,
  ConfigurationHead,
} from '../model/configuration.js';
import {
  EMPTY_CONFIGURATION,
  applyChange,
  configurationChangeSchema,
  configurationHeadSchema,
  configurationSchema,
} from '../model/configuration.js';
import {ProtocolError, RefusedError} from '../model/errors.js';
import type {InvalidInputError} from '../model/errors.js';
import {validateJson} from '../model/validation.js';
import type {
  KeyValueStore,
  StoreEntry,
  StoreReadError,
  StoreWriteError,
} from '../interfaces/key_value_store.js';
import {
  ABSENT_REVISION,
  MAXIMUM_VALUE_BYTES,
} from '../interfaces/key_value_store.js';

export const HEAD_KEY = 'configuration/head';
export const MAXIMUM_RECENT_CHANGES = 16;
/**
 * Half of `MAXIMUM_RECENT_CHANGES`, so that a daemon that is a few changes
 * behind still finds them in the head after a trim. Segments start at fixed
 * versions, so that their keys can be computed from a version.
 */
export const CHANGES_PER_SEGMENT = 8;
/** Ensures that a head with `MAXIMUM_RECENT_CHANGES` fits into one value. */
export const MAXIMUM_CHANGE_BYTES = 60_000;
const VERSION_DIGITS = 10;

export const EMPTY_HEAD: ConfigurationHead = {
  version: 0,
  snapshotVersion: 0,
  recentChanges: [],
};

const auditSegmentSchema = z.object({
  changes: z.array(configurationChangeSchema),
});

/** A value exceeds a size limit; nothing was written. */
export class ValueTooLargeError extends RefusedError {
  constructor(subject: string, bytes: number, limitBytes: number) {
    super(
      `${subject} would have ${bytes} bytes, over the limit of ${limitBytes}`,
      'remove customers, work classes or guarantees that are no longer used',
    );
  }
}

/** The head and its store revision, which a write must specify. */
export interface StoredHead {
  readonly head: ConfigurationHead;
  readonly revision: number;
}

/** `ProtocolError`: the store contains a malformed value. */
export type ConfigurationReadError = StoreReadError | ProtocolError;
export type ConfigurationPutError = StoreWriteError | ProtocolError;

export class ConfigurationStore {
  constructor(private readonly store: KeyValueStore) {}

  async readHead(): Promise<Result<StoredHead, ConfigurationReadError>> {
    const entry = await this.store.get(HEAD_KEY);
    if (entry.isErr) return Result.err(entry.error);
    if (!entry.value) {
      return Result.ok({head: EMPTY_HEAD, revision: ABSENT_REVISION});
    }
    return decodeHead(entry.value);
  }

  /** Writes the head if its revision is still `expectedRevision`. */
  writeHead(
    head: ConfigurationHead,
    expectedRevision: number,
  ): Promise<Result<number, StoreWriteError>> {
    return this.put(HEAD_KEY, JSON.stringify(head), expectedRevision);
  }

  /** Returns undefined if the snapshot has been deleted. */
  async readSnapshot(
    version: number,
  ): Promise<Result<Configuration | undefined, ConfigurationReadError>> {
    if (version === 0) return Result.ok(EMPTY_CONFIGURATION);
    const entry = await this.store.get(snapshotKey(version));
    if (entry.isErr) return Result.err(entry.error);
    if (!entry.value) return Result.ok(undefined);
    return validateJson(
      configurationSchema,
      entry.value.value,
      entry.value.key,
    ).mapErr(malformedValue);
  }

  /** Idempotent: succeeds if the snapshot already exists. */
  writeSnapshot(
    configuration: Configuration,
  ): Promise<Result<void, ConfigurationPutError>> {
    const key = snapshotKey(configuration.version);
    return this.putImmutable(key, JSON.stringify(configuration));
  }

  /** The caller ensures that no head refers to the snapshot. */
  deleteSnapshot(version: number): Promise<void> {
    return this.deleteKey(snapshotKey(version));
  }

  /** Idempotent: succeeds if the audit segment already exists. */
  writeSegment(
    changes: readonly ConfigurationChange[],
  ): Promise<Result<void, ConfigurationPutError>> {
    const key = segmentKey(changes[0]?.version ?? 1);
    return this.putImmutable(key, JSON.stringify({changes}));
  }

  /** Deletes the audit segment that contains `version`. */
  deleteSegment(version: number): Promise<void> {
    return this.deleteKey(segmentKey(version));
  }

  /** Returns the audit segment that contains `version`; empty if absent. */
  async readSegment(
    version: number,
  ): Promise<Result<readonly ConfigurationChange[], ConfigurationReadError>> {
    const entry = await this.store.get(segmentKey(version));
    if (entry.isErr) return Result.err(entry.error);
    if (!entry.value) return Result.ok([]);
    return validateJson(auditSegmentSchema, entry.value.value, entry.value.key)
      .map((segment) => segment.changes)
      .mapErr(malformedValue);
  }

  private async deleteKey(key: string): Promise<void> {
    const entry = await this.store.get(key);
    if (entry.isErr || !entry.value) return;
    await this.store.delete(key, entry.value.revision);
  }

  /** Writes a value that its key determines; an equal value is a success. */
  private async putImmutable(
    key: string,
    value: string,
  ): Promise<Result<void, ConfigurationPutError>> {
    const written = await this.put(key, value, ABSENT_REVISION);
    if (written.isOk) return Result.ok(undefined);
    const {kind} = written.error;
    if (kind !== 'conflict' && kind !== 'unknown-effect') {
      return Result.err(written.error);
    }
    const entry = await this.store.get(key);
    if (entry.isErr) return Result.err(entry.error);
    if (entry.value?.value === value) return Result.ok(undefined);
    if (!entry.value) return Result.err(written.error);
    return Result.err(
      new ProtocolError(
        `${key} contains a value that differs from the one derived from its changes`,
        'restore the key from a backup of the store',
      ),
    );
  }

  private async put(
    key: string,
    value: string,
    expectedRevision: number,
  ): Promise<Result<number, StoreWriteError>> {
    const bytes = Buffer.byteLength(value);
    if (bytes <= MAXIMUM_VALUE_BYTES) {
      return this.store.put(key, value, expectedRevision);
    }
    return Result.err(new ValueTooLargeError(key, bytes, MAXIMUM_VALUE_BYTES));
  }
}

/** Parses the entry of the head's key. */
export function decodeHead(
  entry: StoreEntry,
): Result<StoredHead, ProtocolError> {
  return validateJson(configurationHeadSchema, entry.value, entry.key)
    .mapErr(malformedValue)
    .andThen((head) => {
      const complete = head.recentChanges.every(
        (change, i) => change.version === head.snapshotVersion + 1 + i,
      );
      const last = head.snapshotVersion + head.recentChanges.length;
      if (complete && last === head.version) {
        return Result.ok({head, revision: entry.revision});
      }
      return Result.err(
        new ProtocolError(
          `the versions of the changes in ${entry.key} are not contiguous`,
          'restore the key from a backup of the store',
        ),
      );
    });
}

/** Applies `changes` in order; skips those that are not the next version. */
export function applyChanges(
  configuration: Configuration,
  changes: readonly ConfigurationChange[],
): Configuration {
  return changes.reduce(
    (result, change) =>
      change.version === result.version + 1
        ? applyChange(result, change)
        : result,
    configuration,
  );
}

export function snapshotKey(version: number): string {
  return `configuration/snapshot/${version}`;
}

/** First version of the audit segment that contains `version`. */
export function segmentStart(version: number): number {
  const index = Math.floor((version - 1) / CHANGES_PER_SEGMENT);
  return index * CHANGES_PER_SEGMENT + 1;
}

/** Zero-padded, so that a listing is ordered by version. */
export function segmentKey(version: number): string {
  const from = segmentStart(version);
  const to = from + CHANGES_PER_SEGMENT - 1;
  const digits = (value: number) => String(value).padStart(VERSION_DIGITS, '0');
  return `audit/configuration/${digits(from)}-${digits(to)}`;
}

function malformedValue(error: InvalidInputError): ProtocolError {
  return new ProtocolError(
    `malformed value in the store: ${error.problem}`,
    'restore the key from a backup of the store',
  );
}
