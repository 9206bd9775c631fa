/**
 * One planning pass over a zone. Guaranteed jobs are placed first and may
 * preempt borrowers. Free capacity is then lent by fair share, and the large
 * gang that has been starved longest gets a reserved cell.
 */

import type {CustomerId, Instant} from '../model/ids.js';
import {after} from '../model/ids.js';
import {CELL_LEVELS, levelOf, sizeOfLevel} from './cells.js';
import {lendingSortKey} from './customer_usage.js';
import type {Candidate} from './placement.js';
import type {PlannedJob} from './planned_job.js';
import type {PlanAction} from './zone_planner.js';
import type {ZoneState} from './zone_state.js';

/** Smaller gangs find free cells without a reservation. */
const SMALLEST_RESERVED_LEVEL = levelOf(8);

/**
 * Smallest estimate of a gang's remaining time, as a fraction of the time since
 * its start; applies to gangs that run longer than estimated.
 */
const OVERDUE_EXTENSION_RATIO = 0.1;

export class PlanningPass {
  private readonly actions: PlanAction[] = [];

  constructor(
    private readonly state: ZoneState,
    private readonly starvationBoundMs: number,
    private readonly now: Instant,
  ) {}

  run(): readonly PlanAction[] {
    this.state.replaceDamagedCells();
    this.promoteBorrowers();
    this.startJobsAwaitingCell();
    for (const customerId of this.state.queue.customers()) {
      this.startGuaranteed(customerId);
    }
    this.lendFreeCapacity();
    this.reserveForStarvedGang();
    return this.actions;
  }

  /** Makes placed borrowers guaranteed where a guarantee has free capacity. */
  private promoteBorrowers(): void {
    const {customersToPromote: customers, jobs} = this.state;
    if (customers.size === 0) return;
    for (const job of jobs.values()) {
      if (!job.placed || job.guaranteed) continue;
      if (customers.has(job.record.customerId)) this.state.promote(job);
    }
    customers.clear();
  }

  /** Starts the jobs whose reserved cell has become free. */
  private startJobsAwaitingCell(): void {
    for (const job of [...this.state.jobsAwaitingCell]) {
      if (job.stage === 'reclaiming') this.startReclaimed(job);
      else if (job.stage === 'reserving') this.startReserved(job);
    }
  }

  private startReclaimed(job: PlannedJob): void {
    const {cell} = job;
    if (cell === undefined) return;
    const gangs = this.state.fullView.conflictingGangs(job, cell);
    if (gangs.size === 0) {
      this.start(job, cell);
    } else if ([...gangs].some((gang) => gang.guaranteed)) {
      // A guaranteed gang that was adopted on this cell takes precedence.
      this.state.requeue(job);
    } else {
      this.preempt(gangs, job);
    }
  }

  private startReserved(job: PlannedJob): void {
    const {fullView, guarantees} = this.state;
    const {cell} = job;
    if (cell === undefined) return;
    const isFree = fullView.conflictingGangs(job, cell).size === 0;
    const {customerId} = job.record;
    if (!this.state.mayStart(job)) {
      this.state.requeue(job);
    } else if (guarantees.fits(customerId, job.cellSize).length > 0) {
      // This pass starts it as a guaranteed job.
      this.state.requeue(job);
    } else if (isFree) {
      this.start(job, cell);
    } else if (fullView.free.bestFitSize(job.cellSize) !== undefined) {
      this.state.requeue(job);
      this.startBorrower(job);
    }
  }

  private startGuaranteed(customerId: CustomerId): void {
    const {queue} = this.state;
    let end = CELL_LEVELS;
    while (end > 0) {
      const job = queue.first(
        customerId,
        (each) => this.state.mayStart(each),
        end,
      );
      if (job === undefined) return;
      if (!this.placeGuaranteed(job)) end = levelOf(job.cellSize);
    }
  }

  private placeGuaranteed(job: PlannedJob): boolean {
    const {guarantees, placer} = this.state;
    const {customerId} = job.record;
    for (const fit of guarantees.fits(customerId, job.cellSize)) {
      const candidate = placer.forGuaranteed(job, fit, this.now);
      if (candidate === undefined) continue;
      this.applyGuaranteedCandidate(job, candidate);
      return true;
    }
    return false;
  }

  private applyGuaranteedCandidate(
    job: PlannedJob,
    candidate: Candidate,
  ): void {
    const {fullView, guarantees} = this.state;
    const {cell, bindCell, guaranteedSize, evicted} = candidate;
    for (const reserving of fullView.conflictingReservations(job, cell)) {
      this.state.requeue(reserving);
    }
    const bound =
      bindCell === undefined
        ? guarantees.boundCellAt(cell.position)
        : guarantees.bind(job.record.customerId, bindCell, guaranteedSize);
    if (bound === undefined) throw new Error('guaranteed cell is not bound');
    guarantees.assign(job, bound, cell);
    if (evicted.size === 0) {
      this.start(job, cell);
      return;
    }
    this.state.reserveCell(job, cell, 'reclaiming');
    this.preempt(evicted, job);
  }

  /** Lends free capacity, first to the customers that borrow least. */
  private lendFreeCapacity(): void {
    let end = CELL_LEVELS;
    while (end > 0) {
      const job = this.nextBorrower(end);
      if (job === undefined) return;
      if (!this.startBorrower(job)) end = levelOf(job.cellSize);
    }
  }

  private nextBorrower(end: number): PlannedJob | undefined {
    const {accelerators, customers, queue, usage} = this.state;
    let next: PlannedJob | undefined;
    let lowest = Infinity;
    for (const customerId of queue.customers()) {
      const job = queue.first(customerId, (each) => this.mayBorrow(each), end);
      if (job === undefined) continue;
      const order = lendingSortKey(
        usage.borrowed(customerId),
        accelerators,
        customers.get(customerId)?.weight ?? 1,
        job.waitingSince,
        this.now,
      );
      if (order < lowest) {
        lowest = order;
        next = job;
      }
    }
    return next;
  }

  private mayBorrow(job: PlannedJob): boolean {
    const {notBefore} = job.history;
    if (notBefore !== undefined && notBefore > this.now) return false;
    return this.state.mayStart(job);
  }

  private startBorrower(job: PlannedJob): boolean {
    const candidate = this.state.placer.forBorrower(job);
    if (candidate === undefined) return false;
    this.start(job, candidate.cell);
    return true;
  }

  /** Reserves a cell for the starved large gang that has waited longest. */
  private reserveForStarvedGang(): void {
    const {jobsAwaitingCell, placer} = this.state;
    if ([...jobsAwaitingCell].some((job) => job.stage === 'reserving')) return;
    const job = this.oldestStarved();
    if (job === undefined) return;
    const cell = placer.forReservation(job, (gang) =>
      this.estimatedEndOf(gang),
    );
    if (cell !== undefined) this.state.reserveCell(job, cell, 'reserving');
  }

  private oldestStarved(): PlannedJob | undefined {
    const {queue} = this.state;
    let oldest: PlannedJob | undefined;
    for (const customerId of queue.customers()) {
      for (let at = SMALLEST_RESERVED_LEVEL; at < CELL_LEVELS; at += 1) {
        const job = queue.first(
          customerId,
          (each) => this.isStarved(each) && this.mayBorrow(each),
          at + 1,
          at,
        );
        if (job === undefined) continue;
        if (oldest === undefined || job.waitingSince < oldest.waitingSince) {
          oldest = job;
        }
      }
    }
    return oldest;
  }

  private isStarved(job: PlannedJob): boolean {
    return after(job.waitingSince, this.starvationBoundMs) <= this.now;
  }

  private estimatedEndOf(gang: PlannedJob): number {
    const startedAt = gang.startedAt ?? this.now;
    const estimate = this.state.runTimes.estimate(gang.record);
    const overdue = this.now + OVERDUE_EXTENSION_RATIO * (this.now - startedAt);
    return Math.max(startedAt + estimate - gang.history.runTimeMs, overdue);
  }

  private start(job: PlannedJob, cell: NonNullable<PlannedJob['cell']>): void {
    const placement = this.state.start(job, cell);
    this.actions.push({kind: 'start', placement});
  }

  private preempt(gangs: Iterable<PlannedJob>, forJob: PlannedJob): void {
    const {customerId} = forJob.record;
    for (const gang of gangs) {
      if (gang.stage === 'leaving') continue;
      gang.stage = 'leaving';
      this.actions.push({
        kind: 'preempt',
        jobId: gang.jobId,
        reason:
          `customer ${customerId} reclaims its guaranteed cell of ` +
          `${forJob.cellSize} accelerators for job ${forJob.jobId}`,
      });
    }
  }
}

/** True if the job's gang is large enough for a reservation. */
export function isEligibleForReservation(job: PlannedJob): boolean {
  return job.cellSize >= sizeOfLevel(SMALLEST_RESERVED_LEVEL);
}
