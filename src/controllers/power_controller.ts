/**
 * Keeps the zone's jobs within the remaining generator fuel. It replans
 * periodically from the measured power draw, selects running jobs to preempt,
 * and prevents the start of jobs that could not finish before the fuel is used
 * up.
 */

import type {PowerState} from '../model/configuration.js';
import {after} from '../model/ids.js';
import type {Instant, JobId} from '../model/ids.js';
import type {JobRecord, TaskList} from '../model/jobs.js';
import type {JobExplanation} from '../interfaces/peer_client.js';
import {occupiesAccelerators} from '../scheduling/gang_adoption.js';
import {planForFuel} from '../scheduling/power_plan.js';
import type {PowerPlan, PowerPlanJob} from '../scheduling/power_plan.js';

/** Draw reports lag by seconds, so that more frequent plans gain nothing. */
export const PLAN_INTERVAL_MS = 10_000;
/** A job that exceeded its estimate is expected to run this share longer. */
const MINIMUM_REMAINING_SHARE = 0.05;
/** Used until workers with running tasks have reported their draw. */
const ASSUMED_WATTS_PER_ACCELERATOR = 700;

/** A running job, or a queued job that is considered for a start. */
export interface PowerCandidate {
  readonly record: JobRecord;
  readonly guaranteed: boolean;
}

export interface PowerControllerOptions {
  /** Maximum duration of a checkpoint. */
  readonly checkpointMs: number;
  /** Expected run time of a job, in milliseconds. */
  readonly estimateRunTimeMs: (record: JobRecord) => number;
  /** Share of the site's fuel for this zone, 0 to 1. */
  readonly fuelShare: () => number;
}

export class PowerController {
  private power: PowerState = {supply: 'grid'};
  private lists: readonly TaskList[] = [];
  private running: readonly PowerCandidate[] = [];
  private lastPlanAt: Instant | undefined;
  /** Least energy (watt milliseconds) of a job refused since the last plan. */
  private smallestRefusedEnergy = Infinity;

  constructor(private readonly options: PowerControllerOptions) {}

  setPower(power: PowerState): void {
    this.power = power;
    this.lastPlanAt = undefined;
    this.smallestRefusedEnergy = Infinity;
  }

  /** Time of the next plan; undefined on the grid or before the first plan. */
  nextPlanAt(): Instant | undefined {
    if (this.power.supply === 'grid' || this.lastPlanAt === undefined) {
      return undefined;
    }
    return after(this.lastPlanAt, PLAN_INTERVAL_MS);
  }

  /** Returns the running jobs that cannot finish; empty if no plan is due. */
  jobsToPreempt(
    running: readonly PowerCandidate[],
    lists: readonly TaskList[],
    now: Instant,
  ): readonly JobId[] {
    this.running = running;
    this.lists = lists;
    const due = this.nextPlanAt();
    if (due !== undefined && now < due) return [];
    this.lastPlanAt = now;
    this.smallestRefusedEnergy = Infinity;
    const steps = this.plan(running, now)?.steps ?? [];
    return steps.flatMap((step) =>
      step.kind === 'finish' ? [] : [step.jobId],
    );
  }

  /**
   * True if the job could finish before the fuel is used up. A job that needs
   * at least as much energy as a refused one is refused without a plan, which
   * keeps the cost of a long queue low.
   */
  mayStart(job: PowerCandidate, now: Instant): boolean {
    if (this.power.supply === 'grid') return true;
    const candidate = this.toPowerPlanJob(job, now);
    const energy = candidate.drawWatts * candidate.remainingRunTimeMs;
    if (energy >= this.smallestRefusedEnergy) return false;
    const steps = this.plan([...this.running, job], now)?.steps ?? [];
    const finishes = steps.some(
      (step) => step.kind === 'finish' && step.jobId === job.record.jobId,
    );
    if (!finishes) this.smallestRefusedEnergy = energy;
    return finishes;
  }

  private plan(
    jobs: readonly PowerCandidate[],
    now: Instant,
  ): PowerPlan | undefined {
    const {power} = this;
    if (power.supply === 'grid') return undefined;
    const fuelKilowattHours =
      power.fuelKilowattHours * this.options.fuelShare();
    const planJobs = jobs.map((job) => this.toPowerPlanJob(job, now));
    return planForFuel(
      planJobs,
      {fuelKilowattHours, measuredAt: power.measuredAt},
      this.totalWatts(planJobs),
      now,
    );
  }

  private toPowerPlanJob(job: PowerCandidate, now: Instant): PowerPlanJob {
    const {record, guaranteed} = job;
    const estimateMs = this.options.estimateRunTimeMs(record);
    const elapsedMs = now - (record.startedAt ?? now);
    const accelerators = record.shape.tasks * record.shape.acceleratorsPerTask;
    return {
      jobId: record.jobId,
      guaranteed,
      remainingRunTimeMs: Math.max(
        estimateMs - elapsedMs,
        MINIMUM_REMAINING_SHARE * Math.max(estimateMs, elapsedMs),
      ),
      drawWatts: accelerators * this.wattsPerAccelerator(),
      checkpointMs: this.options.checkpointMs,
      workSinceCheckpoint: accelerators * elapsedMs,
    };
  }

  /** Measured draw plus the expected draw of jobs that are not running. */
  private totalWatts(jobs: readonly PowerPlanJob[]): number {
    const measured = this.lists.reduce(
      (sum, list) => sum + (list.drawWatts ?? 0),
      0,
    );
    const runningJobIds = new Set(this.running.map(({record}) => record.jobId));
    const added = jobs
      .filter((job) => !runningJobIds.has(job.jobId))
      .reduce((sum, job) => sum + job.drawWatts, 0);
    return measured + added;
  }

  /** Draw per accelerator in use, in excess of that of an idle worker. */
  private wattsPerAccelerator(): number {
    const reports = this.lists.flatMap((list) =>
      list.drawWatts === undefined
        ? []
        : [{watts: list.drawWatts, used: acceleratorsInUse(list)}],
    );
    const used = reports.reduce((sum, report) => sum + report.used, 0);
    if (used === 0) return ASSUMED_WATTS_PER_ACCELERATOR;
    const idleWatts = Math.min(...reports.map(({watts}) => watts));
    const watts = reports.reduce(
      (sum, report) => sum + (report.watts - idleWatts),
      0,
    );
    return watts / used;
  }
}

function acceleratorsInUse(list: TaskList): number {
  return list.tasks
    .filter((task) => occupiesAccelerators(task))
    .reduce((sum, task) => sum + task.accelerators.length, 0);
}

/** Explains why a job for which `mayStart` is false is waiting. */
export function explainInsufficientFuel(jobId: JobId): JobExplanation {
  return {
    jobId,
    summary: `Job ${jobId} waits, since the fuel that is left does not last for it.`,
    heldBy: ['power from the generator'],
    freedBy: ['power from the grid', 'a report of more fuel'],
  };
}
