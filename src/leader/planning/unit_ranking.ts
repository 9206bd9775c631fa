/**
 * Ranks the units that are ready to start: guaranteed work first, then urgent
 * work beyond the guarantees, then the other queues by priority, and within
 * these by the time that is left.
 */

import type {CustomerId, Instant} from '../../model/ids.js';
import type {Queue} from '../../model/queues.js';
import {MAXIMUM_STARTED_TASKS, taskCountOf} from '../../model/submissions.js';
import type {FreeCapacityTables} from './free_capacity.js';
import {startAllowance} from './isolation.js';
import type {Job, Unit} from '../jobs/jobs.js';
import type {PlanningView} from './planning_view.js';
import type {Rank, WaitingWork} from './queue_order.js';
import {
  compareByDeadline,
  startDeadlines,
  timelinessAt,
} from './queue_order.js';
import type {GroupedWork} from './worker_groups.js';
import {CROSS_RACK_SLOWDOWN, isTooWideForRack} from './worker_groups.js';

export type NonEmpty<T> = readonly [T, ...T[]];

/** A gang, or the ready single tasks of one step, which are alike. */
export interface RankedBatch extends WaitingWork, GroupedWork {
  readonly units: NonEmpty<Unit>;
  readonly priority: number;
  readonly expectedMs: number;
}

export interface RankedBatches {
  /** Highest rank first. */
  readonly batches: readonly RankedBatch[];
  /** Ranks of all jobs that have not ended. */
  readonly ranks: ReadonlyMap<Job, Rank>;
  /** Earliest time at which a unit becomes ready without any other event. */
  readonly nextDueAt: Instant | undefined;
}

export function rankBatches(
  view: PlanningView,
  tables: FreeCapacityTables,
): RankedBatches {
  const ranking = new Ranking(view, tables);
  const batches = ranking.rank();
  return {batches, ranks: ranking.ranks, nextDueAt: ranking.nextDueAt};
}

class Ranking {
  nextDueAt: Instant | undefined;
  readonly ranks = new Map<Job, Rank>();
  /** Accelerators that each customer's most urgent jobs need. */
  private readonly requested = new Map<CustomerId, number>();

  constructor(
    private readonly view: PlanningView,
    private readonly tables: FreeCapacityTables,
  ) {}

  rank(): RankedBatch[] {
    const {jobs, configuration, observer} = this.view;
    const open = [...jobs].filter(({isEnded}) => !isEnded);
    const claiming = [
      ...open.filter((job) => !mayBeGivenUp(job)),
      ...open.filter(mayBeGivenUp),
    ];
    for (const job of claiming) {
      const queue = configuration.queue(job.queueId);
      const rank = this.rankOf(job, queue);
      this.ranks.set(job, rank);
      this.reportRank(job, rank);
    }
    const ranked: RankedBatch[] = [];
    for (const job of open) {
      const queue = configuration.queue(job.queueId);
      const rank = this.ranks.get(job) ?? 'other';
      for (const units of this.readyBatches(job)) {
        ranked.push(this.rankBatch(units, rank, queue));
      }
    }
    ranked.sort(compareRanked);
    observer?.batchesRanked(ranked);
    return ranked;
  }

  private reportRank(job: Job, rank: Rank): void {
    const {observer} = this.view;
    if (observer === undefined) return;
    const {customerId} = job;
    const claims = customerId !== undefined && rank !== 'other';
    const claimed = claims ? this.requested.get(customerId) : undefined;
    observer.jobRanked(job, rank, claimed);
  }

  /**
   * A customer's jobs use up its guarantee in the order of their acceptance.
   * Jobs that users accept as failed come last, as users do not count them.
   */
  private rankOf(job: Job, queue: Queue | undefined): Rank {
    if (queue === undefined || queue.priority > 0) return 'other';
    const {customerId} = job;
    if (customerId === undefined) return 'urgent';
    const customer = this.view.configuration.customer(customerId);
    const total = (this.requested.get(customerId) ?? 0) + openAccelerators(job);
    this.requested.set(customerId, total);
    const guaranteed = customer?.guaranteedAccelerators ?? 0;
    return total <= guaranteed ? 'guaranteed' : 'urgent';
  }

  private rankBatch(
    units: NonEmpty<Unit>,
    rank: Rank,
    queue: Queue | undefined,
  ): RankedBatch {
    const {runTimes, now} = this.view;
    const [unit] = units;
    const isTooWide = isTooWideForRack(unit, this.tables.tableFor(unit));
    const slowdown = isTooWide ? CROSS_RACK_SLOWDOWN : 1;
    const deadlines = startDeadlines(unit, queue, runTimes, slowdown);
    return {
      units,
      unit,
      rank,
      isTooWide,
      priority: queue?.priority ?? Infinity,
      deadlines,
      timeliness: timelinessAt(now, deadlines),
      expectedMs: runTimes.expectedMs(unit.job, unit.step) * slowdown,
    };
  }

  /** Suspects and units with workers to avoid are placed one by one. */
  private readyBatches(job: Job): Array<NonEmpty<Unit>> {
    const {observer} = this.view;
    const batches: Array<NonEmpty<Unit>> = [];
    const singles = new Map<string, [Unit, ...Unit[]]>();
    const allowances = new Map<string, number>();
    let startable = MAXIMUM_STARTED_TASKS - startedTaskCount(job);
    for (const unit of job.openUnits) {
      if (!this.isReady(job, unit)) continue;
      if (unit.lastRun === 0) {
        if (unit.taskCount > startable) {
          observer?.unitNotReady(unit, 'startedTasks');
          continue;
        }
        startable -= unit.taskCount;
      }
      if (job.hasSuspects && !this.useAllowance(job, unit, allowances)) {
        observer?.unitNotReady(unit, 'crashAllowance');
        continue;
      }
      if (
        unit.crashes.isSuspect ||
        unit.step.gang === true ||
        !unit.avoidedWorkers.isEmpty(this.view.now)
      ) {
        batches.push([unit]);
        continue;
      }
      const key = `${unit.occurrence}.${unit.stepIndex}`;
      const batch = singles.get(key);
      if (batch === undefined) singles.set(key, [unit]);
      else batch.push(unit);
    }
    return [...batches, ...singles.values()];
  }

  /** Returns false if the unit has to wait for others of its step. */
  private useAllowance(
    job: Job,
    unit: Unit,
    allowances: Map<string, number>,
  ): boolean {
    const key = `${unit.occurrence}.${unit.stepIndex}`;
    const allowance =
      allowances.get(key) ?? startAllowance(job, unit, this.view.now);
    allowances.set(key, allowance - 1);
    return allowance > 0;
  }

  private isReady(job: Job, unit: Unit): boolean {
    const {now, isCalm, observer} = this.view;
    if (unit.crashes.hasFewStartsLeft && !isCalm) {
      observer?.unitNotReady(unit, 'siteNotCalm');
      return false;
    }
    const obstacle = job.obstacleTo(unit, now);
    if (obstacle === undefined) {
      // Where it is not set, all rules take the present time.
      if (observer === undefined) unit.readySince ??= now;
      return true;
    }
    observer?.unitNotReady(unit, obstacle);
    const eligibleAt = Math.max(
      unit.retryAt,
      job.isScheduled ? job.dueAt(unit.occurrence) : 0,
    ) as Instant;
    const waitsForTime = eligibleAt > now && unit.runs.length === 0;
    if (waitsForTime && eligibleAt < (this.nextDueAt ?? Infinity)) {
      this.nextDueAt = eligibleAt;
    }
    return false;
  }
}

function mayBeGivenUp({hasSuspects, openUnits}: Job): boolean {
  if (!hasSuspects) return false;
  return [...openUnits].some(({crashes}) => crashes.mayBeGivenUp);
}

/** Number of tasks that the job's record has to describe one by one. */
function startedTaskCount(job: Job): number {
  if (taskCountOf(job.submission) <= MAXIMUM_STARTED_TASKS) return 0;
  let count = 0;
  for (const {lastRun, taskCount} of job.openUnits) {
    if (lastRun > 0) count += taskCount;
  }
  return count;
}

const RANK_ORDER: Readonly<Record<Rank, number>> = {
  guaranteed: 0,
  urgent: 1,
  other: 2,
};

function compareRanked(a: RankedBatch, b: RankedBatch): number {
  return (
    Number(isLast(a)) - Number(isLast(b)) ||
    RANK_ORDER[a.rank] - RANK_ORDER[b.rank] ||
    a.priority - b.priority ||
    compareByDeadline(a, b)
  );
}

/** Guaranteed work has to start in time even if its result is useless. */
function isLast({rank, timeliness}: RankedBatch): boolean {
  return rank !== 'guaranteed' && timeliness === 'useless';
}

/** Returns the most accelerators that an open step needs concurrently. */
function openAccelerators(job: Job): number {
  const byStep = new Map<string, number>();
  let maximum = 0;
  for (const unit of job.openUnits) {
    const key = `${unit.occurrence}.${unit.stepIndex}`;
    const requested = unit.taskCount * unit.step.shape.accelerators;
    const total = (byStep.get(key) ?? 0) + requested;
    byStep.set(key, total);
    maximum = Math.max(maximum, total);
  }
  return maximum;
}
