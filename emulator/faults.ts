/**
 * Faults that are injected into the calls of one daemon of an emulated site.
 */

import type {WorkerId} from '../src/model/ids.js';

/** Faults that are injected into one daemon's calls to the store. */
export interface StoreFaults {
  /** Every call fails. */
  down: 'silent' | 'refused' | undefined;
  /** Share of writes, 0 to 1, that are carried out but not answered. */
  lostAnswers: number;
  /** Delay after which an unanswered write is carried out. */
  lateMs: number;
  /** Latency added to each call. */
  slowMs: number;
  /** Watches of this prefix fail. */
  failingPrefix: string | undefined;
}

export function noStoreFaults(): StoreFaults {
  return {
    down: undefined,
    lostAnswers: 0,
    lateMs: 0,
    slowMs: 0,
    failingPrefix: undefined,
  };
}

/** Faults that are injected into one daemon's orders to workers. */
export interface OrderFaults {
  /** Share of orders, 0 to 1, without an answer; carried out `lateMs` later. */
  lateShare: number;
  lateMs: number;
  /** Workers that the daemon cannot reach. */
  readonly unreachable: Set<WorkerId>;
  /** Workers that carry out orders whose answers are lost. */
  readonly unanswering: Set<WorkerId>;
  /** Tasks whose starts all workers reject as invalid. */
  readonly rejectedTasks: Set<string>;
  /** Latency of a lease renewal, in addition to its wait. */
  renewalMs: number;
  /** Lease renewals that a frozen link holds; each entry delivers one. */
  heldRenewals: Array<() => void> | undefined;
  /** Time that a renewal takes to its worker, which may restart meanwhile. */
  renewalTransitMs: number;
}

export function noOrderFaults(): OrderFaults {
  return {
    lateShare: 0,
    lateMs: 0,
    unreachable: new Set(),
    unanswering: new Set(),
    rejectedTasks: new Set(),
    renewalMs: 1,
    heldRenewals: undefined,
    renewalTransitMs: 0,
  };
}

/** Faults of the store's address for one daemon process. */
export interface StoreListenerFaults {
  /** If set, every call is answered with this status. */
  status: 429 | 503 | undefined;
  /** Calls get no answer. */
  isUnresponsive: boolean;
  slowMs: number;
  /** Share of writes, 0 to 1, without an answer; carried out `lateMs` later. */
  lostAnswers: number;
  lateMs: number;
  /** Transactions wait here until a test releases each. */
  heldTransactions: Array<() => void> | undefined;
}

export function noStoreListenerFaults(): StoreListenerFaults {
  return {
    status: undefined,
    isUnresponsive: false,
    slowMs: 0,
    lostAnswers: 0,
    lateMs: 0,
    heldTransactions: undefined,
  };
}
