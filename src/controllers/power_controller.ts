/**
 * Keeps the zone's jobs within the generator's fuel: plans again at an
 * interval from measured draw, says which running jobs are set aside, and
 * holds back jobs that could not end before the fuel does.
 */

import type {PowerState} from '../model/configuration.js';
import {after} from '../model/ids.js';
import type {Instant, JobId} from '../model/ids.js';
import type {JobRecord, TaskList} from '../model/jobs.js';
import type {JobExplanation} from '../parties/peer_client.js';
import {occupies} from '../scheduling/gang_adoption.js';
import {planForFuel} from '../scheduling/power_plan.js';
import type {PowerPlan, PoweredJob} from '../scheduling/power_plan.js';

/** Usage reports lag by seconds, so planning more often learns nothing. */
export const PLAN_INTERVAL_MS = 10_000;
/** A job that outran its estimate is expected to take this share longer. */
const MINIMUM_REMAINING_SHARE = 0.05;
/** Draw that is assumed of a task until its worker has reported one. */
const ASSUMED_WATTS_PER_ACCELERATOR = 700;

/** A job that runs, or that would run if it were started. */
export interface PowerCandidate {
  readonly record: JobRecord;
  readonly guaranteed: boolean;
}

export interface PowerControllerOptions {
  /** Longest time of a checkpoint. */
  readonly checkpointMs: number;
  /** Expected run time of a job, in milliseconds. */
  readonly estimateRunTimeMs: (record: JobRecord) => number;
  /** This zone's share of the site's fuel, 0 to 1. */
  readonly fuelShare: () => number;
}

export class PowerController {
  private power: PowerState = {supply: 'grid'};
  private lists: readonly TaskList[] = [];
  private running: readonly PowerCandidate[] = [];
  private lastPlanAt: Instant | undefined;
  /** Energy of the smallest job that the present plan had no fuel for. */
  private smallestRefusedEnergy = Infinity;

  constructor(private readonly options: PowerControllerOptions) {}

  setPower(power: PowerState): void {
    this.power = power;
    this.lastPlanAt = undefined;
    this.smallestRefusedEnergy = Infinity;
  }

  /** When `jobsToSetAside` should be asked again, if at all. */
  nextPlanAt(): Instant | undefined {
    if (this.power.supply === 'grid' || this.lastPlanAt === undefined) {
      return undefined;
    }
    return after(this.lastPlanAt, PLAN_INTERVAL_MS);
  }

  /** Returns the running jobs that the fuel does not last for. */
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
   * True if the job could end before the fuel does. A job that needs more than
   * one that was refused is refused without a plan of its own, so that a long
   * queue costs little.
   */
  mayStart(job: PowerCandidate, now: Instant): boolean {
    if (this.power.supply === 'grid') return true;
    const powered = this.toPoweredJob(job, now);
    const energy = powered.drawWatts * powered.remainingRunTimeMs;
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
    const powered = jobs.map((job) => this.toPoweredJob(job, now));
    return planForFuel(
      powered,
      {fuelKilowattHours, measuredAt: power.measuredAt},
      this.totalWatts(powered),
      now,
    );
  }

  private toPoweredJob(job: PowerCandidate, now: Instant): PoweredJob {
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

  /** Measured draw, and that of jobs that no worker runs yet. */
  private totalWatts(jobs: readonly PoweredJob[]): number {
    const measured = this.lists.reduce(
      (sum, list) => sum + (list.drawWatts ?? 0),
      0,
    );
    const runningIds = new Set(this.running.map(({record}) => record.jobId));
    const added = jobs
      .filter((job) => !runningIds.has(job.jobId))
      .reduce((sum, job) => sum + job.drawWatts, 0);
    return measured + added;
  }

  /** Draw of one accelerator in use, above that of idle workers. */
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
    .filter((task) => occupies(task))
    .reduce((sum, task) => sum + task.accelerators.length, 0);
}

/** Why a job waits that `mayStart` holds back. */
export function explainInsufficientFuel(jobId: JobId): JobExplanation {
  return {
    jobId,
    summary: `Job ${jobId} waits, since the fuel that is left does not last for it.`,
    heldBy: ['power from the generator'],
    freedBy: ['power from the grid', 'a report of more fuel'],
  };
}
