/**
 * Jobs that wait for a cell, per customer and cell size, in their order.
 */

import type {CustomerId} from '../model/ids.js';
import {CELL_LEVELS, levelOf} from './cells.js';
import type {PlannedJob} from './planned_job.js';
import {compareJobs} from './planned_job.js';

export class JobQueue {
  private readonly queues = new Map<CustomerId, PlannedJob[][]>();

  /** Customers with waiting jobs. */
  customers(): readonly CustomerId[] {
    return [...this.queues.keys()];
  }

  add(job: PlannedJob): void {
    const lane = this.queueFor(job);
    lane.splice(insertionIndex(lane, job), 0, job);
  }

  remove(job: PlannedJob): void {
    const lanes = this.queues.get(job.record.customerId);
    const lane = lanes?.[levelOf(job.cellSize)];
    const index = lane?.indexOf(job) ?? -1;
    if (index >= 0) lane?.splice(index, 1);
    if (lanes?.every((each) => each.length === 0) === true) {
      this.queues.delete(job.record.customerId);
    }
  }

  /**
   * The customer's first job among those that meet the condition and whose
   * cell is at one of the levels from `lowest` up to, but not including,
   * `end`.
   */
  first(
    customerId: CustomerId,
    condition: (job: PlannedJob) => boolean,
    end = CELL_LEVELS,
    lowest = 0,
  ): PlannedJob | undefined {
    let first: PlannedJob | undefined;
    const lanes = this.queues.get(customerId)?.slice(lowest, end) ?? [];
    for (const lane of lanes) {
      const job = lane.find(condition);
      if (job === undefined) continue;
      if (first === undefined || compareJobs(job, first) < 0) first = job;
    }
    return first;
  }

  private queueFor(job: PlannedJob): PlannedJob[] {
    const {customerId} = job.record;
    let lanes = this.queues.get(customerId);
    if (lanes === undefined) {
      lanes = Array.from({length: CELL_LEVELS}, () => []);
      this.queues.set(customerId, lanes);
    }
    const lane = lanes[levelOf(job.cellSize)];
    if (lane === undefined) throw new RangeError('cell size has no level');
    return lane;
  }
}

function insertionIndex(lane: readonly PlannedJob[], job: PlannedJob): number {
  let low = 0;
  let high = lane.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    const other = lane[middle];
    if (other !== undefined && compareJobs(other, job) < 0) low = middle + 1;
    else high = middle;
  }
  return low;
}
