/**
 * The platform's store as a hosted site uses it: conditional writes of several
 * keys, leases whose keys vanish with them, and watches. It is the only place
 * where anything lasts.
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

/** Revision to expect of a key that does not exist. */
export const NO_REVISION = 0;

/** Lease of an item that lasts until it is removed. */
export const NO_LEASE = 0;

export interface StoredItem {
  readonly key: string;
  readonly value: string;
  /** Number of the item's last change, unique in the store. */
  readonly revision: number;
}

/** An item as it was written, or the removal of a key. */
export type StoreEvent =
  | {readonly kind: 'written'; readonly item: StoredItem}
  | {
      readonly kind: 'removed';
      readonly key: string;
      readonly revision: number;
    };

export interface StoreListing {
  readonly items: readonly StoredItem[];
  /** A watch after this revision misses nothing that follows the listing. */
  readonly revision: number;
}

/** `historyLost`: the prefix has to be listed again. */
export type StoreWatchAnswer =
  | {
      readonly kind: 'events';
      readonly events: readonly StoreEvent[];
      readonly revision: number;
    }
  | {readonly kind: 'historyLost'};

/** Changes in a follower's own terms; `historyLost` as above. */
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

/** All conditions hold and all changes are made, or nothing is changed. */
export interface StoreTransaction {
  readonly conditions: readonly StoreCondition[];
  readonly puts: readonly StorePut[];
  readonly removals: readonly string[];
}

/** A condition does not hold; `items` are the current ones of those keys. */
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
 * lease has ended. `UnknownEffectError`: the write may happen, also seconds
 * later if its conditions still hold.
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

  /** `isShort`: few items are expected, so that an answer comes soon. */
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

/** Watches a prefix and returns what `decode` makes of each event. */
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

/** Returns the key that an event is about. */
export function eventKey(event: StoreEvent): string {
  return event.kind === 'written' ? event.item.key : event.key;
}
