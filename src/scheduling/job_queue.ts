/**
 * Jobs that wait for a cell: one sorted queue per customer and cell size, in
 * the order of `compareJobs`.
 */

import type {CustomerId} from '../model/ids.js';
import {CELL_LEVELS, levelOf} from './cells.js';
import type {PlannedJob} from './planned_job.js';
import {compareJobs} from './planned_job.js';

export class JobQueue {
  private readonly queues = new Map<CustomerId, PlannedJob[][]>();

  /** Customers with at least one waiting job. */
  customers(): readonly CustomerId[] {
    return [...this.queues.keys()];
  }

  add(job: PlannedJob): void {
    const queue = this.queueFor(job);
    queue.splice(insertionIndex(queue, job), 0, job);
  }

  remove(job: PlannedJob): void {
    const byLevel = this.queues.get(job.record.customerId);
    const queue = byLevel?.[levelOf(job.cellSize)];
    const index = queue?.indexOf(job) ?? -1;
    if (index >= 0) queue?.splice(index, 1);
    if (byLevel?.every((each) => each.length === 0) === true) {
      this.queues.delete(job.record.customerId);
    }
  }

  /**
   * The customer's first job that meets the condition and whose cell level is
   * at least `lowest` and below `end`.
   */
  first(
    customerId: CustomerId,
    condition: (job: PlannedJob) => boolean,
    end = CELL_LEVELS,
    lowest = 0,
  ): PlannedJob | undefined {
    let first: PlannedJob | undefined;
    const byLevel = this.queues.get(customerId)?.slice(lowest, end) ?? [];
    for (const queue of byLevel) {
      const job = queue.find(condition);
      if (job === undefined) continue;
      if (first === undefined || compareJobs(job, first) < 0) first = job;
    }
    return first;
  }

  private queueFor(job: PlannedJob): PlannedJob[] {
    const {customerId} = job.record;
    let byLevel = this.queues.get(customerId);
    if (byLevel === undefined) {
      byLevel = Array.from({length: CELL_LEVELS}, () => []);
      this.queues.set(customerId, byLevel);
    }
    const queue = byLevel[levelOf(job.cellSize)];
    if (queue === undefined) throw new RangeError('no queue for cell size');
    return queue;
  }
}

function insertionIndex(queue: readonly PlannedJob[], job: PlannedJob): number {
  let low = 0;
  let high = queue.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    const other = queue[middle];
    if (other !== undefined && compareJobs(other, job) < 0) low = middle + 1;
    else high = middle;
  }
  return low;
}
