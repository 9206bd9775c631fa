/**
 * The platform's key-value service, which holds all state that must survive
 * the loss of a VM. Each call counts against the service's rate limits; a
 * watch counts as one call however long it waits.
 */

import type {Result} from 'true-myth';
import type {
  ConflictError,
  ProtocolError,
  RefusedError,
  UnavailableError,
  UnknownEffectError,
} from '../model/errors.js';

/** Largest value that the service accepts. */
export const MAXIMUM_VALUE_BYTES = 1_048_576;

/** Expected revision of a key that must not exist. */
export const ABSENT_REVISION = 0;

export interface StoreEntry {
  readonly key: string;
  /** JSON text. */
  readonly value: string;
  /** Increases with each write to the store; unique per write. */
  readonly revision: number;
}

export interface StoreWatchBatch {
  /** Pass as `afterRevision` to the next watch. */
  readonly revision: number;
  /** Latest entries of the changed keys, ordered by revision. */
  readonly changed: readonly StoreEntry[];
  readonly deletedKeys: readonly string[];
  /** True if events were compacted: the caller has to list the prefix. */
  readonly compacted: boolean;
}

export type StoreReadError = UnavailableError | RefusedError | ProtocolError;

/**
 * `ConflictError`: the key is not at the expected revision, and nothing was
 * written. `UnavailableError` and `RefusedError`: nothing was written.
 * `UnknownEffectError`: no valid answer arrived and the write may have taken
 * effect; read the key back.
 */
export type StoreWriteError =
  ConflictError | UnavailableError | RefusedError | UnknownEffectError;

/** Access to the key-value service. Implementations do not retry. */
export abstract class KeyValueStore {
  abstract get(
    key: string,
  ): Promise<Result<StoreEntry | undefined, StoreReadError>>;

  /** Returns all entries under `prefix` and the store's revision. */
  abstract list(prefix: string): Promise<
    Result<
      {
        readonly revision: number;
        readonly entries: readonly StoreEntry[];
      },
      StoreReadError
    >
  >;

  /**
   * Writes `value` if the key is at `expectedRevision` and returns the new
   * revision. `ABSENT_REVISION` creates the key.
   */
  abstract put(
    key: string,
    value: string,
    expectedRevision: number,
  ): Promise<Result<number, StoreWriteError>>;

  /** Deletes the key if it is at `expectedRevision`. */
  abstract delete(
    key: string,
    expectedRevision: number,
  ): Promise<Result<void, StoreWriteError>>;

  /**
   * Waits at most `waitMs` for changes under `prefix` after a revision. An
   * empty batch means that nothing changed.
   */
  abstract watch(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<StoreWatchBatch, StoreReadError>>;
}
