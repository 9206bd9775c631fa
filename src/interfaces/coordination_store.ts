/**
 * The platform's store as a hosted site uses it: conditional transactions over
 * several keys, leases whose keys are deleted when they end, and watches. It is
 * the only durable storage of a hosted site.
 */

import type {Result} from 'true-myth';
import type {
  ConflictError,
  NotFoundError,
  ProtocolError,
  RefusedError,
  TimeoutError,
  UnavailableError,
  UnknownEffectError,
} from '../model/errors.js';

/** Expected revision of a key that must not exist. */
export const NO_REVISION = 0;

/** Lease value of an item that is kept until it is removed. */
export const NO_LEASE = 0;

export interface StoredItem {
  readonly key: string;
  readonly value: string;
  /** Revision of the item's last change, unique in the store. */
  readonly revision: number;
}

/** A written item, or the removal of a key. */
export type StoreEvent =
  | {readonly kind: 'written'; readonly item: StoredItem}
  | {
      readonly kind: 'removed';
      readonly key: string;
      readonly revision: number;
    };

export interface StoreListing {
  readonly items: readonly StoredItem[];
  /** A watch from this revision sees every change after the listing. */
  readonly revision: number;
}

/** `historyLost`: events were compacted, so the prefix must be listed again. */
export type StoreWatchAnswer =
  | {
      readonly kind: 'events';
      readonly events: readonly StoreEvent[];
      readonly revision: number;
    }
  | {readonly kind: 'historyLost'};

/** Decoded changes; `historyLost` as in `StoreWatchAnswer`. */
export type ChangeBatch<Change> =
  | {
      readonly kind: 'changes';
      readonly changes: readonly Change[];
      readonly revision: number;
    }
  | {readonly kind: 'historyLost'};

export interface StoreCondition {
  readonly key: string;
  /** `NO_REVISION`: the key must not exist. */
  readonly revision: number;
}

export interface StorePut {
  readonly key: string;
  readonly value: string;
  readonly lease?: number;
}

/** Atomic: applied only if all conditions hold. */
export interface StoreTransaction {
  readonly conditions: readonly StoreCondition[];
  readonly puts: readonly StorePut[];
  readonly removals: readonly string[];
}

/** A condition failed; `items` are the current items of the checked keys. */
export interface StoreConflict {
  readonly kind: 'conflict';
  readonly items: readonly StoredItem[];
}

export type TransactionOutcome =
  {readonly kind: 'committed'; readonly revision: number} | StoreConflict;

export type StoreReadFailure =
  UnavailableError | RefusedError | TimeoutError | ProtocolError;

/**
 * `UnavailableError`, `RefusedError`: nothing was written. `NotFoundError`: the
 * lease has ended. `UnknownEffectError`: the write may take effect, possibly
 * seconds later if its conditions still hold.
 */
export type StoreWriteFailure =
  | UnavailableError
  | RefusedError
  | NotFoundError
  | ConflictError
  | UnknownEffectError;

export interface StoreLease {
  readonly lease: number;
  readonly ttlMs: number;
}

/** Access to the store. Implementations do not retry. */
export abstract class CoordinationStore {
  abstract get(
    key: string,
  ): Promise<Result<StoredItem | undefined, StoreReadFailure>>;

  /** `isShort`: few items are expected, so a shorter timeout is enough. */
  abstract list(
    prefix: string,
    isShort?: boolean,
  ): Promise<Result<StoreListing, StoreReadFailure>>;

  /** Waits at most `waitMs` for changes under `prefix` after a revision. */
  abstract watch(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<StoreWatchAnswer, StoreReadFailure>>;

  abstract transact(
    transaction: StoreTransaction,
  ): Promise<Result<TransactionOutcome, StoreWriteFailure>>;

  abstract grantLease(
    ttlMs: number,
  ): Promise<Result<StoreLease, StoreWriteFailure>>;

  /** `NotFoundError`: the lease has ended and its keys are gone. */
  abstract renewLease(lease: number): Promise<Result<void, StoreWriteFailure>>;

  abstract endLease(lease: number): Promise<Result<void, StoreWriteFailure>>;
}

/** Watches a prefix and returns its events decoded by `decode`. */
export async function watchChanges<Change>(
  store: CoordinationStore,
  prefix: string,
  afterRevision: number,
  waitMs: number,
  signal: AbortSignal,
  decode: (event: StoreEvent) => readonly Change[],
): Promise<Result<ChangeBatch<Change>, StoreReadFailure>> {
  const answer = await store.watch(prefix, afterRevision, waitMs, signal);
  return answer.map((value): ChangeBatch<Change> => {
    if (value.kind === 'historyLost') return value;
    const changes = value.events.flatMap((event) => decode(event));
    return {kind: 'changes', changes, revision: value.revision};
  });
}

export function eventKey(event: StoreEvent): string {
  return event.kind === 'written' ? event.item.key : event.key;
}
