/**
 * The configuration as it lies in the key-value store: the head with the
 * recent changes, snapshots, and audit segments of changes that left the
 * head; see `docs/design.md`, section 3.8.
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
} from '../parties/key_value_store.js';
import {
  ABSENT_REVISION,
  MAXIMUM_VALUE_BYTES,
} from '../parties/key_value_store.js';

export const HEAD_KEY = 'configuration/head';
/** Most changes in the head. */
export const MAXIMUM_RECENT_CHANGES = 16;
/**
 * Changes per audit segment. Half of the head's list, so that a follower that
 * lags by a few changes still finds them in the head after a trim. Segments
 * start at fixed versions, so that their keys follow from a version.
 */
export const CHANGES_PER_SEGMENT = 8;
/** Largest change, so that a head with the most changes fits a value. */
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

/** A value over a size limit; nothing was written. */
export class ValueTooLargeError extends RefusedError {
  constructor(subject: string, bytes: number, limitBytes: number) {
    super(
      `${subject} would take ${bytes} bytes, over the limit of ${limitBytes}`,
      'remove customers, work classes or guarantees that are no longer used',
    );
  }
}

/** The head and the store's revision of it, which a write has to name. */
export interface StoredHead {
  readonly head: ConfigurationHead;
  readonly revision: number;
}

/** `ProtocolError`: the store holds a value that is not well-formed. */
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

  /** Writes the head if it is at `expectedRevision`. */
  writeHead(
    head: ConfigurationHead,
    expectedRevision: number,
  ): Promise<Result<number, StoreWriteError>> {
    return this.put(HEAD_KEY, JSON.stringify(head), expectedRevision);
  }

  /** Returns undefined if the snapshot was deleted in the meantime. */
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

  /** Writes a snapshot; succeeds if it was written before. */
  writeSnapshot(
    configuration: Configuration,
  ): Promise<Result<void, ConfigurationPutError>> {
    const key = snapshotKey(configuration.version);
    return this.putImmutable(key, JSON.stringify(configuration));
  }

  /** Deletes a snapshot that no head refers to. */
  deleteSnapshot(version: number): Promise<void> {
    return this.deleteKey(snapshotKey(version));
  }

  /** Writes the audit segment of `changes`; succeeds if it exists. */
  writeSegment(
    changes: readonly ConfigurationChange[],
  ): Promise<Result<void, ConfigurationPutError>> {
    const key = segmentKey(changes[0]?.version ?? 1);
    return this.putImmutable(key, JSON.stringify({changes}));
  }

  /** Deletes the audit segment that holds `version`. */
  deleteSegment(version: number): Promise<void> {
    return this.deleteKey(segmentKey(version));
  }

  /** Returns the changes of the audit segment that holds `version`. */
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

  /** Puts a value whose content follows from its key. */
  private async deleteKey(key: string): Promise<void> {
    const entry = await this.store.get(key);
    if (entry.isErr || !entry.value) return;
    await this.store.delete(key, entry.value.revision);
  }

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
        `${key} holds another value than its changes give`,
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
          `${entry.key} has a gap between its changes`,
          'restore the key from a backup of the store',
        ),
      );
    });
}

/** Applies those of `changes` that continue `configuration`. */
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

/** First version of the audit segment that holds `version`. */
export function segmentStart(version: number): number {
  const index = Math.floor((version - 1) / CHANGES_PER_SEGMENT);
  return index * CHANGES_PER_SEGMENT + 1;
}

/** Keys have leading zeros so that a listing is in order of versions. */
export function segmentKey(version: number): string {
  const from = segmentStart(version);
  const to = from + CHANGES_PER_SEGMENT - 1;
  const digits = (value: number) => String(value).padStart(VERSION_DIGITS, '0');
  return `audit/configuration/${digits(from)}-${digits(to)}`;
}

function malformedValue(error: InvalidInputError): ProtocolError {
  return new ProtocolError(
    `the store holds a malformed value: ${error.problem}`,
    'restore the key from a backup of the store',
  );
}
