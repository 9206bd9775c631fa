/**
 * State of the emulated store: items with revisions, leases, and a history
 * that can be dropped. Times are arguments in milliseconds, so that tests
 * control the clock.
 */

import {NO_LEASE, NO_REVISION} from '../src/interfaces/coordination_store.js';
import type {
  StoreEvent,
  StoreListing,
  StoreTransaction,
  StoreWatchAnswer,
  StoredItem,
  TransactionOutcome,
} from '../src/interfaces/coordination_store.js';

interface LeasedItem extends StoredItem {
  readonly lease: number;
}

interface Lease {
  readonly ttlMs: number;
  endsAt: number;
}

export type EmulatedTransactionOutcome =
  TransactionOutcome | {readonly kind: 'noSuchLease'};

export class StoreState {
  private readonly items = new Map<string, LeasedItem>();
  private readonly leases = new Map<number, Lease>();
  private history: StoreEvent[] = [];
  private revision = 1;
  /** Events up to this revision are no longer in the history. */
  private droppedRevision = 0;
  private nextLease = 1;
  private readonly listeners = new Set<() => void>();

  get(key: string): StoredItem | undefined {
    return this.items.get(key);
  }

  list(prefix: string): StoreListing {
    const items = [...this.items.values()]
      .filter(({key}) => key.startsWith(prefix))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    return {items, revision: this.revision};
  }

  /** Returns the events under the prefix after a revision; does not wait. */
  eventsAfter(prefix: string, after: number): StoreWatchAnswer {
    if (after < this.droppedRevision) return {kind: 'historyLost'};
    const events = this.history.filter((event) => {
      const key = event.kind === 'written' ? event.item.key : event.key;
      const revision =
        event.kind === 'written' ? event.item.revision : event.revision;
      return revision > after && key.startsWith(prefix);
    });
    return {kind: 'events', events, revision: this.revision};
  }

  /** Calls the listener after each change; returns a function to remove it. */
  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  transact(transaction: StoreTransaction): EmulatedTransactionOutcome {
    const conditionsHold = transaction.conditions.every(
      ({key, revision}) =>
        (this.items.get(key)?.revision ?? NO_REVISION) === revision,
    );
    if (!conditionsHold) {
      const items = transaction.conditions.flatMap(({key}) => {
        const item = this.items.get(key);
        return item === undefined ? [] : [item];
      });
      return {kind: 'conflict', items};
    }
    for (const {lease = NO_LEASE} of transaction.puts) {
      if (lease !== NO_LEASE && !this.leases.has(lease)) {
        return {kind: 'noSuchLease'};
      }
    }
    this.revision += 1;
    for (const {key, value, lease = NO_LEASE} of transaction.puts) {
      const item = {key, value, lease, revision: this.revision};
      this.items.set(key, item);
      this.history.push({kind: 'written', item});
    }
    for (const key of transaction.removals) this.remove(key);
    this.notify();
    return {kind: 'committed', revision: this.revision};
  }

  /** Writes unconditionally, as operators and workers do. */
  put(key: string, value: string): void {
    this.transact({
      conditions: [],
      puts: [{key, value}],
      removals: [],
    });
  }

  removeKey(key: string): void {
    this.transact({conditions: [], puts: [], removals: [key]});
  }

  grantLease(ttlMs: number, now: number): number {
    const lease = this.nextLease;
    this.nextLease += 1;
    this.leases.set(lease, {ttlMs, endsAt: now + ttlMs});
    return lease;
  }

  /** Returns false if the lease has ended. */
  renewLease(lease: number, now: number): boolean {
    const record = this.leases.get(lease);
    if (record === undefined) return false;
    record.endsAt = now + record.ttlMs;
    return true;
  }

  endLease(lease: number): boolean {
    if (!this.leases.delete(lease)) return false;
    const keys = [...this.items.values()]
      .filter((item) => item.lease === lease)
      .map(({key}) => key);
    if (keys.length > 0) {
      this.transact({conditions: [], puts: [], removals: keys});
    }
    return true;
  }

  expireLeases(now: number): void {
    for (const [lease, {endsAt}] of [...this.leases]) {
      if (endsAt <= now) this.endLease(lease);
    }
  }

  /** Drops all events: watches from earlier revisions must list again. */
  dropHistory(): void {
    this.history = [];
    this.droppedRevision = this.revision;
    this.notify();
  }

  private remove(key: string): void {
    if (!this.items.delete(key)) return;
    this.history.push({kind: 'removed', key, revision: this.revision});
  }

  private notify(): void {
    for (const listener of [...this.listeners]) listener();
  }
}
