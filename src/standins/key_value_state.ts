/**
 * State of the stand-in for the key-value service: entries with revisions, and
 * a bounded history of changes for watches.
 */

import {ConflictError, RefusedError} from '../model/errors.js';
import type {
  StoreEntry,
  StoreWatchBatch,
} from '../interfaces/key_value_store.js';
import {
  ABSENT_REVISION,
  MAXIMUM_VALUE_BYTES,
} from '../interfaces/key_value_store.js';

interface HistoryEvent {
  readonly key: string;
  readonly revision: number;
}

export class KeyValueState {
  private readonly entries = new Map<string, StoreEntry>();
  private readonly history: HistoryEvent[] = [];
  private revision = 0;
  /** The history no longer contains events up to this revision. */
  private compactedRevision = 0;

  /** The history keeps the last `maximumHistoryEvents` events. */
  constructor(private readonly maximumHistoryEvents: number) {}

  get(key: string): StoreEntry | undefined {
    return this.entries.get(key);
  }

  list(prefix: string): {revision: number; entries: StoreEntry[]} {
    const entries = [...this.entries.values()]
      .filter((entry) => entry.key.startsWith(prefix))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    return {revision: this.revision, entries};
  }

  /**
   * Writes the value and returns its new revision. Throws a `ConflictError` if
   * the key is at another revision, a `RefusedError` if the value is too large.
   */
  put(key: string, value: string, expectedRevision: number): number {
    if (Buffer.byteLength(value) > MAXIMUM_VALUE_BYTES) {
      throw new RefusedError(
        `the value is larger than ${MAXIMUM_VALUE_BYTES} bytes`,
        'write a smaller value',
      );
    }
    this.checkRevision(key, expectedRevision);
    const revision = this.appendEvent(key);
    this.entries.set(key, {key, value, revision});
    return revision;
  }

  /**
   * Deletes the key and returns the store's new revision. Throws a
   * `ConflictError` if the key is absent or at another revision.
   */
  delete(key: string, expectedRevision: number): number {
    this.checkRevision(key, expectedRevision);
    if (!this.entries.delete(key)) {
      throw new ConflictError(`${key} does not exist`, 'read it again');
    }
    return this.appendEvent(key);
  }

  /**
   * Returns the changes under `prefix`, or undefined if there are none. The
   * batch is marked `compacted` if the history does not reach back far enough.
   */
  changesAfter(
    prefix: string,
    afterRevision: number,
  ): StoreWatchBatch | undefined {
    const {revision} = this;
    const isCompacted = afterRevision < this.compactedRevision;
    // The caller is ahead of the store if the store has lost its state.
    if (isCompacted || afterRevision > revision) {
      return {revision, changed: [], deletedKeys: [], compacted: true};
    }
    const keys = new Set(
      this.history
        .filter((event) => event.revision > afterRevision)
        .map((event) => event.key)
        .filter((key) => key.startsWith(prefix)),
    );
    if (keys.size === 0) return undefined;
    const changed = [...keys]
      .flatMap((key) => this.entries.get(key) ?? [])
      .sort((a, b) => a.revision - b.revision);
    const deletedKeys = [...keys].filter((key) => !this.entries.has(key));
    return {revision, changed, deletedKeys, compacted: false};
  }

  /** Result of a watch that timed out without a change. */
  unchangedBatch(): StoreWatchBatch {
    const {revision} = this;
    return {revision, changed: [], deletedKeys: [], compacted: false};
  }

  /** Drops the history, as the real service does from time to time. */
  compact(): void {
    this.history.length = 0;
    this.compactedRevision = this.revision;
  }

  private checkRevision(key: string, expectedRevision: number): void {
    const actual = this.entries.get(key)?.revision ?? ABSENT_REVISION;
    if (actual === expectedRevision) return;
    throw new ConflictError(
      `${key} is at revision ${actual}, not ${expectedRevision}`,
      'read it again',
    );
  }

  private appendEvent(key: string): number {
    this.revision += 1;
    this.history.push({key, revision: this.revision});
    if (this.history.length > this.maximumHistoryEvents) {
      this.compactedRevision = this.history.shift()?.revision ?? 0;
    }
    return this.revision;
  }
}
