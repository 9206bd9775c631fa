/**
 * Plans which running jobs finish, checkpoint or stop while the site runs on
 * a generator. A job either ends before the fuel is used up or is set aside
 * (checkpointed and stopped) in time. The plan adds a margin to remaining run
 * times and leaves a reserve of fuel.
 *
 * Throttling saves no energy on a job that runs to its end: it takes longer in
 * proportion, and the rest of the site draws power meanwhile. It is used for
 * jobs that can neither end in time nor checkpoint: throttled, they keep their
 * state with little fuel in case the grid returns.
 */

import type {PowerState} from '../model/configuration.js';
import type {Instant, JobId} from '../model/ids.js';
import {after} from '../model/ids.js';

/** Margin on remaining run times, because estimates are often too low. */
const RUN_TIME_MARGIN = 0.25;
/** The reserve is the fuel for this time at the present draw. */
const RESERVE_MS = 600_000;
/** A guaranteed job that needs less than this is near its end. */
const NEAR_END_MS = 1_800_000;
/** Speed and draw of a throttled job, as a fraction of full speed and draw. */
export const THROTTLED_SHARE = 0.1;
const WATT_MILLISECONDS_PER_KILOWATT_HOUR = 3_600_000_000;

/** A running job as input of the power plan. */
export interface PowerPlanJob {
  readonly jobId: JobId;
  /** True if it runs in a guaranteed cell of its customer. */
  readonly guaranteed: boolean;
  /** Estimate at full speed, without margin. */
  readonly remainingRunTimeMs: number;
  /** Draw of the job's tasks at full speed in excess of idle workers. */
  readonly drawWatts: number;
  /** Longest duration of a checkpoint; undefined if it cannot checkpoint. */
  readonly checkpointMs: number | undefined;
  /** Accelerator milliseconds since the last checkpoint. */
  readonly workSinceCheckpoint: number;
}

export type FuelLevel = Pick<
  Extract<PowerState, {supply: 'generator'}>,
  'fuelKilowattHours' | 'measuredAt'
>;

export type PowerStep =
  /** Stopped immediately; it can neither end in time nor checkpoint. */
  | {readonly kind: 'stop'; readonly jobId: JobId}
  | {
      /** Throttled to `share`; stopped at `until` unless replanned. */
      readonly kind: 'throttle';
      readonly jobId: JobId;
      readonly share: number;
      readonly until: Instant;
    }
  | {
      /** Checkpointed immediately and then stopped. */
      readonly kind: 'checkpoint';
      readonly jobId: JobId;
      readonly doneBy: Instant;
    }
  | {
      /** Continues at full speed until it ends. */
      readonly kind: 'finish';
      readonly jobId: JobId;
      /** Latest end, including the margin; set aside if it runs longer. */
      readonly endsBy: Instant;
    };

export interface PowerPlan {
  /** In order of execution. */
  readonly steps: readonly PowerStep[];
  /** When only the reserve is left, if the plan is followed. */
  readonly fuelLastsUntil: Instant;
  /** False if the fuel above the reserve does not cover the checkpoints. */
  readonly isSafe: boolean;
}

/**
 * Plans for the remaining fuel. `drawWatts` is the total draw on the
 * generator, including the jobs. Call it again after every new measurement of
 * fuel or draw and when jobs end.
 */
export function planForFuel(
  jobs: readonly PowerPlanJob[],
  fuel: FuelLevel,
  drawWatts: number,
  now: Instant,
): PowerPlan {
  const budget = new FuelBudget(jobs, fuel, drawWatts, now);
  const byPriority = [...jobs].sort(comparePriority);
  const finishing = byPriority.filter((job) => budget.tryReserveFinish(job));
  const others = byPriority.filter((job) => !finishing.includes(job));
  const toCheckpoint = others
    .filter((job) => job.checkpointMs !== undefined)
    .sort(compareRisk);
  const withoutCheckpoint = others.filter(
    (job) => job.checkpointMs === undefined,
  );
  const throttled = withoutCheckpoint.filter((job) =>
    budget.tryReserveThrottled(job),
  );
  const stopped = withoutCheckpoint.filter((job) => !throttled.includes(job));
  const until = budget.lastsUntil();
  const steps: PowerStep[] = [
    ...stopped.map(({jobId}) => ({kind: 'stop' as const, jobId})),
    ...throttled.map(({jobId}) => ({
      kind: 'throttle' as const,
      jobId,
      share: THROTTLED_SHARE,
      until,
    })),
    ...toCheckpoint.map(({jobId, checkpointMs}) => ({
      kind: 'checkpoint' as const,
      jobId,
      doneBy: after(now, checkpointMs ?? 0),
    })),
    ...finishing.map((job) => ({
      kind: 'finish' as const,
      jobId: job.jobId,
      endsBy: after(now, withMargin(job)),
    })),
  ];
  return {steps, fuelLastsUntil: until, isSafe: budget.isSafe()};
}

/** Energy budget of a plan, in watt milliseconds. */
class FuelBudget {
  private readonly usable: number;
  /** Draw of everything but the jobs; it lasts for the whole plan. */
  private readonly baseWatts: number;
  /** Time until the last job has ended or been set aside. */
  private lengthMs: number;
  /** Energy of jobs that end or are checkpointed. */
  private jobEnergy: number;
  private throttledWatts = 0;

  constructor(
    jobs: readonly PowerPlanJob[],
    fuel: FuelLevel,
    drawWatts: number,
    private readonly now: Instant,
  ) {
    const sinceMeasured = Math.max(0, now - fuel.measuredAt);
    const measured =
      fuel.fuelKilowattHours * WATT_MILLISECONDS_PER_KILOWATT_HOUR;
    this.usable = measured - drawWatts * (sinceMeasured + RESERVE_MS);
    const jobWatts = sumOf(jobs, (job) => job.drawWatts);
    this.baseWatts = Math.max(0, drawWatts - jobWatts);
    this.jobEnergy = sumOf(jobs, checkpointEnergy);
    this.lengthMs = Math.max(0, ...jobs.map((job) => job.checkpointMs ?? 0));
  }

  isSafe(): boolean {
    return this.energyFor(this.lengthMs, this.jobEnergy) <= this.usable;
  }

  /**
   * Reserves the energy to run the job to its end, if the budget allows it.
   * The energy for its checkpoint stays reserved in case it does not end in
   * time.
   */
  tryReserveFinish(job: PowerPlanJob): boolean {
    const ownLengthMs = withMargin(job) + (job.checkpointMs ?? 0);
    const lengthMs = Math.max(this.lengthMs, ownLengthMs);
    const jobEnergy = this.jobEnergy + job.drawWatts * withMargin(job);
    if (this.energyFor(lengthMs, jobEnergy) > this.usable) return false;
    this.lengthMs = lengthMs;
    this.jobEnergy = jobEnergy;
    return true;
  }

  /** Reserves energy for the throttled job until the last other job ends. */
  tryReserveThrottled(job: PowerPlanJob): boolean {
    const watts = job.drawWatts * THROTTLED_SHARE;
    this.throttledWatts += watts;
    if (this.isSafe()) return true;
    this.throttledWatts -= watts;
    return false;
  }

  lastsUntil(): Instant {
    const remaining =
      this.usable - this.energyFor(this.lengthMs, this.jobEnergy);
    const watts = this.baseWatts + this.throttledWatts;
    if (remaining <= 0) return after(this.now, this.lengthMs);
    if (watts === 0) return after(this.now, Number.MAX_SAFE_INTEGER - this.now);
    return after(this.now, this.lengthMs + remaining / watts);
  }

  private energyFor(lengthMs: number, jobEnergy: number): number {
    return (this.baseWatts + this.throttledWatts) * lengthMs + jobEnergy;
  }
}

function withMargin(job: PowerPlanJob): number {
  return job.remainingRunTimeMs * (1 + RUN_TIME_MARGIN);
}

function checkpointEnergy(job: PowerPlanJob): number {
  return job.drawWatts * (job.checkpointMs ?? 0);
}

/** 0: guaranteed and near its end; 1: otherwise guaranteed; 2: borrower. */
function priorityClass(job: PowerPlanJob): number {
  if (!job.guaranteed) return 2;
  return job.remainingRunTimeMs <= NEAR_END_MS ? 0 : 1;
}

/** Within a class, jobs that need the least energy come first. */
function comparePriority(one: PowerPlanJob, other: PowerPlanJob): number {
  const byClass = priorityClass(one) - priorityClass(other);
  if (byClass !== 0) return byClass;
  const byEnergy =
    one.drawWatts * one.remainingRunTimeMs -
    other.drawWatts * other.remainingRunTimeMs;
  return byEnergy !== 0 ? byEnergy : compareIds(one, other);
}

/** Order of checkpoints: guaranteed jobs first, then most unsaved work. */
function compareRisk(one: PowerPlanJob, other: PowerPlanJob): number {
  if (one.guaranteed !== other.guaranteed) return one.guaranteed ? -1 : 1;
  const byWork = other.workSinceCheckpoint - one.workSinceCheckpoint;
  return byWork !== 0 ? byWork : compareIds(one, other);
}

function compareIds(one: PowerPlanJob, other: PowerPlanJob): number {
  return one.jobId < other.jobId ? -1 : one.jobId > other.jobId ? 1 : 0;
}

function sumOf<T>(items: readonly T[], value: (item: T) => number): number {
  return items.reduce((sum, item) => sum + value(item), 0);
}
