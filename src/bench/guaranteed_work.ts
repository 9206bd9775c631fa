/**
 * Tracks which queued jobs are within their customer's guarantee and how long
 * they wait. The rule depends only on jobs and guarantees, so results are
 * comparable between policies.
 */

import type {Customer} from '../model/configuration.js';
import type {
  AvailabilityZone,
  CustomerId,
  Instant,
  JobId,
} from '../model/ids.js';
import type {JobRecord} from '../model/jobs.js';
import type {CellSize} from '../model/shapes.js';
import {CELL_SIZES, cellSizeFor} from '../model/shapes.js';

/** A queued job whose guaranteed capacity is outstanding. */
interface OutstandingJob {
  readonly since: Instant;
  readonly size: CellSize;
}

interface CustomerJobs {
  readonly running: Map<JobId, CellSize>;
  readonly waiting: Map<JobId, JobRecord>;
}

export class GuaranteedWork {
  private readonly jobs = new Map<CustomerId, CustomerJobs>();
  private readonly outstanding = new Map<JobId, OutstandingJob>();
  private readonly changed = new Set<CustomerId>();
  private guaranteesApply = true;

  /** `onWait` is called when a wait within a guarantee ends. */
  constructor(
    private readonly customers: ReadonlyMap<CustomerId, Customer>,
    private readonly availabilityZone: AvailabilityZone,
    private readonly onWait: (record: JobRecord, waitMs: number) => void,
  ) {}

  jobQueued(record: JobRecord): void {
    const jobs = this.jobsOf(record.customerId);
    jobs.running.delete(record.jobId);
    jobs.waiting.set(record.jobId, record);
  }

  jobStarted(record: JobRecord, now: Instant): void {
    const jobs = this.jobsOf(record.customerId);
    this.endWait(record, now);
    jobs.waiting.delete(record.jobId);
    const size = cellSizeFor(record.shape);
    if (size !== undefined) jobs.running.set(record.jobId, size);
  }

  /** The job's gang is being stopped and no longer uses its guarantee. */
  jobStopping(record: JobRecord): void {
    this.jobsOf(record.customerId).running.delete(record.jobId);
  }

  jobEnded(record: JobRecord, now: Instant): void {
    const jobs = this.jobsOf(record.customerId);
    this.endWait(record, now);
    jobs.waiting.delete(record.jobId);
    jobs.running.delete(record.jobId);
  }

  /** Time since which the job has waited within its guarantee. */
  outstandingSince(jobId: JobId): Instant | undefined {
    return this.outstanding.get(jobId)?.since;
  }

  /** Largest cell size that a job within its guarantee waits for. */
  largestOutstanding(): CellSize | undefined {
    const sizes = [...this.outstanding.values()].map(({size}) => size);
    return CELL_SIZES.findLast((size) => sizes.includes(size));
  }

  /**
   * Recomputes which queued jobs are within their guarantee. Guarantees do not
   * apply while the workers that accept tasks cannot hold all of them, or while
   * the zone runs on its generator.
   */
  update(guaranteesApply: boolean, now: Instant): void {
    const customerIds =
      guaranteesApply === this.guaranteesApply
        ? [...this.changed]
        : [...this.jobs.keys()];
    this.guaranteesApply = guaranteesApply;
    this.changed.clear();
    for (const customerId of customerIds) this.updateCustomer(customerId, now);
  }

  private updateCustomer(customerId: CustomerId, now: Instant): void {
    const {running, waiting} = this.jobsOf(customerId);
    this.changed.delete(customerId);
    const ahead = [...running.values()];
    const records = [...waiting.values()].sort((one, other) =>
      this.compareWaiting(one, other),
    );
    for (const record of records) {
      const size = cellSizeFor(record.shape);
      if (size === undefined) continue;
      const isOutstanding =
        this.guaranteesApply &&
        this.hasGuaranteedCapacity(customerId, size, ahead);
      if (!isOutstanding) this.endWait(record, now);
      else if (!this.outstanding.has(record.jobId)) {
        this.outstanding.set(record.jobId, {since: now, size});
      }
      ahead.push(size);
    }
  }

  /**
   * Jobs whose capacity is outstanding come first, so that a job for which a
   * cell is being reclaimed stays within the guarantee when an older job of its
   * customer is queued again.
   */
  private compareWaiting(one: JobRecord, other: JobRecord): number {
    const first = this.outstanding.get(one.jobId)?.since ?? Infinity;
    const second = this.outstanding.get(other.jobId)?.since ?? Infinity;
    return first === second ? compareRecords(one, other) : first - second;
  }

  /**
   * True if a guaranteed cell of this size remains in the worst case, in which
   * each job ahead occupies one such cell, or several if it is larger.
   */
  private hasGuaranteedCapacity(
    customerId: CustomerId,
    size: CellSize,
    ahead: readonly CellSize[],
  ): boolean {
    const guarantees = this.customers.get(customerId)?.guarantees ?? [];
    const guaranteed = guarantees
      .filter(
        ({availabilityZone, cellSize}) =>
          availabilityZone === this.availabilityZone && cellSize >= size,
      )
      .reduce((sum, {cellSize, cells}) => sum + cellSize * cells, 0);
    const taken = ahead.reduce((sum, each) => sum + Math.max(each, size), 0);
    return taken + size <= guaranteed;
  }

  private endWait(record: JobRecord, now: Instant): void {
    const wait = this.outstanding.get(record.jobId);
    if (wait === undefined) return;
    this.outstanding.delete(record.jobId);
    this.onWait(record, now - wait.since);
  }

  /** Also marks the customer for recomputation by `update`. */
  private jobsOf(customerId: CustomerId): CustomerJobs {
    let jobs = this.jobs.get(customerId);
    if (jobs === undefined) {
      jobs = {running: new Map(), waiting: new Map()};
      this.jobs.set(customerId, jobs);
    }
    this.changed.add(customerId);
    return jobs;
  }
}

/** True if the customer has a guaranteed cell large enough for the job. */
export function fitsGuaranteedCell(
  record: JobRecord,
  customer: Customer | undefined,
  availabilityZone: AvailabilityZone,
): boolean {
  const size = cellSizeFor(record.shape);
  if (size === undefined || customer === undefined) return false;
  return customer.guarantees.some(
    (guarantee) =>
      guarantee.availabilityZone === availabilityZone &&
      guarantee.cellSize >= size,
  );
}

/** Urgent jobs first, then by age: the planner's order. */
function compareRecords(one: JobRecord, other: JobRecord): number {
  if (one.urgency !== other.urgency) return one.urgency === 'urgent' ? -1 : 1;
  const byAge = one.submittedAt - other.submittedAt;
  return byAge !== 0 ? byAge : one.jobId < other.jobId ? -1 : 1;
}
