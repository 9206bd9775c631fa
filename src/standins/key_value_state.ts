/**
 * State of the stand-in for the key-value service: entries with revisions and
 * a bounded history for watches.
 */

import {ConflictError, RefusedError} from '../model/errors.js';
import type {StoreEntry, StoreWatchBatch} from '../parties/key_value_store.js';
import {
  ABSENT_REVISION,
  MAXIMUM_VALUE_BYTES,
} from '../parties/key_value_store.js';

interface HistoryEvent {
  readonly key: string;
  readonly revision: number;
}

export class KeyValueState {
  private readonly entries = new Map<string, StoreEntry>();
  private readonly history: HistoryEvent[] = [];
  private revision = 0;
  /** Events up to this revision are gone from the history. */
  private compactedRevision = 0;

  /** `historyEvents` is the number of events that the history keeps. */
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

  /** Writes the value and returns its revision; throws if it may not. */
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

  /** Deletes the key and returns the store's revision; throws if absent. */
  delete(key: string, expectedRevision: number): number {
    this.checkRevision(key, expectedRevision);
    if (!this.entries.delete(key)) {
      throw new ConflictError(`${key} does not exist`, 'read it again');
    }
    return this.appendEvent(key);
  }

  /** Returns the changes under `prefix`, or undefined if there are none. */
  changesAfter(
    prefix: string,
    afterRevision: number,
  ): StoreWatchBatch | undefined {
    const {revision} = this;
    const isCompacted = afterRevision < this.compactedRevision;
    // A revision ahead of the store comes from a store that lost its state.
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

  /** The answer of a watch whose wait ended without a change. */
  unchangedBatch(): StoreWatchBatch {
    const {revision} = this;
    return {revision, changed: [], deletedKeys: [], compacted: false};
  }

  /** Forgets the history, as the service does now and then. */
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
