/**
 * The queue class that a minion's `p-queue` uses: round robin over customers,
 * first in first out within a customer.
 */

import type {QueueAddOptions} from 'p-queue';

type RunFunction = () => Promise<unknown>;

export interface FairQueueOptions extends QueueAddOptions {
  readonly customerId: string;
}

interface WaitingEntry {
  readonly id: string | undefined;
  readonly run: RunFunction;
}

export class FairQueue {
  /** In round-robin order; a customer without entries is absent. */
  private readonly customers = new Map<string, WaitingEntry[]>();
  private count = 0;

  get size(): number {
    return this.count;
  }

  enqueue(run: RunFunction, options: Partial<FairQueueOptions> = {}): void {
    const customerId = options.customerId ?? '';
    const waiting = {id: options.id, run};
    const entries = this.customers.get(customerId);
    if (entries) entries.push(waiting);
    else this.customers.set(customerId, [waiting]);
    this.count += 1;
  }

  dequeue(): RunFunction | undefined {
    const next = this.customers.entries().next();
    if (next.done) return undefined;
    const [customerId, entries] = next.value;
    const waiting = entries.shift();
    this.customers.delete(customerId);
    if (entries.length > 0) this.customers.set(customerId, entries);
    this.count -= 1;
    return waiting?.run;
  }

  remove(id: string): void {
    for (const [customerId, entries] of this.customers) {
      const index = entries.findIndex((waiting) => waiting.id === id);
      if (index < 0) continue;
      entries.splice(index, 1);
      if (entries.length === 0) this.customers.delete(customerId);
      this.count -= 1;
      return;
    }
  }

  /** `p-queue` calls this to count entries of a priority; all have the same. */
  filter(): RunFunction[] {
    return [...this.customers.values()].flat().map((waiting) => waiting.run);
  }

  /** Required by `p-queue`; round robin replaces priorities. */
  setPriority(): void {
    throw new Error('a fair queue does not support priorities');
  }
}
