/**
 * What a stop of running work costs, and how long guaranteed work waits before
 * it stops others. The load it answers: customers compete for whole workers, so
 * that each guaranteed gang finds them taken by work of others.
 */

import type {Instant} from '../../model/ids.js';
import {coresOf} from '../jobs/lost_work.js';
import type {Unit} from '../jobs/jobs.js';
import type {Run} from '../jobs/runs.js';

/** A task with checkpoints loses at most the work since its last one. */
const MAXIMUM_CHECKPOINT_LOSS_MS = 1_000;

/** Core-seconds added per stop, so that fewer stops win at equal loss. */
const COST_PER_STOP = 5;

/**
 * Time for the records of a placement, its orders and its starts, within the
 * start bound of guaranteed work.
 */
const START_MS = 1_000;

export abstract class PreemptionPolicy {
  /**
   * Guaranteed work stops runs whose work would be lost unless capacity is
   * expected to become free within this time after the work became ready.
   */
  abstract readonly maximumGuaranteedWaitMs: number;

  /** Runs that cannot end before their worker leaves are stopped at once. */
  abstract readonly stopsDoomedRuns: boolean;

  /** Returns the cost of stopping the run's whole unit, in core-seconds. */
  abstract costOf(run: Run, now: Instant): number;
}

/** Takes each stop of a task with checkpoints as a loss since the last one. */
export class ImmediatePreemption extends PreemptionPolicy {
  /** Leaves time for a stop and a start within the 2.7 s start bound. */
  override readonly maximumGuaranteedWaitMs = 1_500;
  override readonly stopsDoomedRuns = false;

  override costOf({unit, step, plannedAt}: Run, now: Instant): number {
    const runtimeMs = Math.max(0, now - plannedAt);
    const lostMs =
      step.checkpointing === true
        ? Math.min(runtimeMs, MAXIMUM_CHECKPOINT_LOSS_MS)
        : runtimeMs;
    return coreSecondsOf(unit, lostMs) + COST_PER_STOP;
  }
}

/** Times of the platform's bounds, in milliseconds. */
export interface PreemptionBounds {
  /** Guaranteed work has begun within this time after its acknowledgement. */
  readonly reclaimMs: number;
  /** Longest time that a stop takes on a worker. */
  readonly stopMs: number;
  /** Time that a task takes to resume from a checkpoint. */
  readonly restoreMs: number;
}

/**
 * Knows that a stop saves the state of a task with checkpoints, and that a unit
 * that was stopped before has waited for others already.
 */
export class EconomicalPreemption extends PreemptionPolicy {
  override readonly maximumGuaranteedWaitMs: number;
  override readonly stopsDoomedRuns = true;

  constructor(private readonly bounds: PreemptionBounds) {
    super();
    const {reclaimMs, stopMs} = bounds;
    this.maximumGuaranteedWaitMs = Math.max(0, reclaimMs - stopMs - START_MS);
  }

  override costOf({unit, step, plannedAt}: Run, now: Instant): number {
    const {stopMs, restoreMs} = this.bounds;
    const runtimeMs = Math.max(0, now - plannedAt);
    const idleMs = stopMs + restoreMs;
    const lostMs = step.checkpointing === true ? idleMs : runtimeMs + idleMs;
    const cost = coreSecondsOf(unit, lostMs) + COST_PER_STOP;
    return cost * (1 + unit.preemptions);
  }
}

/** Chosen for the site by its operator, with the platform's bounds. */
export interface PreemptionSettings extends PreemptionBounds {
  readonly policy: 'auto' | 'immediate' | 'economical';
  /** Work of a task between two of its checkpoints, in seconds. */
  readonly checkpointIntervalS: number;
}

export function createPreemptionPolicy(
  settings: PreemptionSettings | undefined,
): PreemptionPolicy {
  if (settings === undefined) return new ImmediatePreemption();
  const {policy} = settings;
  const isEconomical =
    policy === 'economical' || (policy === 'auto' && hasCheapStops(settings));
  return isEconomical
    ? new EconomicalPreemption(settings)
    : new ImmediatePreemption();
}

/** A stop has to be short beside the work that it saves. */
function hasCheapStops(settings: PreemptionSettings): boolean {
  const intervalMs = checkpointIntervalMs(settings);
  const idleMs = settings.stopMs + settings.restoreMs;
  return intervalMs < MAXIMUM_CHECKPOINT_LOSS_MS && idleMs < intervalMs;
}

export function checkpointIntervalMs(
  settings: PreemptionSettings | undefined,
): number {
  if (settings === undefined) return MAXIMUM_CHECKPOINT_LOSS_MS;
  return settings.checkpointIntervalS * 1_000;
}

/** Returns the work that all tasks of a unit do in this time. */
export function coreSecondsOf(
  {taskCount, step}: Unit,
  durationMs: number,
): number {
  return (coresOf(step) * taskCount * durationMs) / 1_000;
}
