/**
 * Orders to one worker that wait for their turn: starts, and changes of pace. A
 * leader may have thousands of them, so only those that are being sent are
 * entries of a task queue, which take more memory than the runs themselves.
 */

import PQueue from 'p-queue';
import type {Run} from '../jobs/runs.js';

/** Orders to one worker at a time. A renewal uses one more connection. */
const MAXIMUM_CONCURRENT_ORDERS = 2;

export class OrderQueue {
  private readonly turns = new PQueue({concurrency: MAXIMUM_CONCURRENT_ORDERS});
  /** In the order of their turns. */
  private readonly waitingRuns = new Set<Run>();

  /** `send` sends what the run needs when its turn comes. */
  constructor(private readonly send: (run: Run) => Promise<void>) {}

  /** Runs whose order has not been sent, in the order of their turns. */
  get waiting(): Iterable<Run> {
    return this.waitingRuns;
  }

  /** Has no effect if an order for the run waits already. */
  add(run: Run): void {
    this.waitingRuns.add(run);
    this.startTurns();
  }

  /** Drops an order that has not been sent. */
  withdraw(run: Run): void {
    this.waitingRuns.delete(run);
  }

  clear(): void {
    this.turns.clear();
    this.waitingRuns.clear();
  }

  private startTurns(): void {
    const {turns, waitingRuns} = this;
    const free = MAXIMUM_CONCURRENT_ORDERS - turns.size - turns.pending;
    const started = Math.min(free, waitingRuns.size);
    for (let turn = 0; turn < started; turn += 1) {
      void turns.add(() => this.sendNext()).finally(() => this.startTurns());
    }
  }

  private async sendNext(): Promise<void> {
    const [run] = this.waitingRuns;
    if (run === undefined) return;
    this.waitingRuns.delete(run);
    await this.send(run);
  }
}
