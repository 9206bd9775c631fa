/**
 * The waiting list of a minion's queue: round robin over customers, first in
 * first out within a customer. It is the queue class of `p-queue`.
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
  /** In order of the next turn; a customer without entries is absent. */
  private readonly customers = new Map<string, WaitingEntry[]>();
  private count = 0;

  get size(): number {
    return this.count;
  }

  enqueue(run: RunFunction, options: Partial<FairQueueOptions> = {}): void {
    const customerId = options.customerId ?? '';
    const waiting = {id: options.id, run};
    const line = this.customers.get(customerId);
    if (line) line.push(waiting);
    else this.customers.set(customerId, [waiting]);
    this.count += 1;
  }

  dequeue(): RunFunction | undefined {
    const turn = this.customers.entries().next();
    if (turn.done) return undefined;
    const [customerId, line] = turn.value;
    const waiting = line.shift();
    this.customers.delete(customerId);
    if (line.length > 0) this.customers.set(customerId, line);
    this.count -= 1;
    return waiting?.run;
  }

  remove(id: string): void {
    for (const [customerId, line] of this.customers) {
      const index = line.findIndex((waiting) => waiting.id === id);
      if (index < 0) continue;
      line.splice(index, 1);
      if (line.length === 0) this.customers.delete(customerId);
      this.count -= 1;
      return;
    }
  }

  /** Called by `p-queue` to count entries by priority, which is not used. */
  filter(): RunFunction[] {
    return [...this.customers.values()].flat().map((waiting) => waiting.run);
  }

  /** Part of the interface of `p-queue`; turns take the place of priority. */
  setPriority(): void {
    throw new Error('entries of a fair queue have no priority');
  }
}
