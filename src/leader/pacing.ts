/**
 * Keeps tasks that use spare processors from disturbing tasks that serve
 * users on the same worker. How much one image disturbs another is unknown and
 * changes, so each worker is controlled by the response times that its lists
 * show: a sharp cut while a target is missed, slow steps up afterwards.
 */

import type {SteadyTime} from '../lifecycle/clock.js';
import {steadyTime} from '../lifecycle/clock.js';
import type {Run} from './jobs.js';
import {FULL_PACE_PERCENT} from './jobs.js';

/** Above this share of its target, a serving task counts as disturbed. */
const DISTURBED_SHARE = 0.9;

/** Below this share of all targets, the others may speed up. */
const CALM_SHARE = 0.7;

/** A figure covers half a second, and an order takes 0.1 s to have an effect. */
const SETTLING_MS = 600;

/** Time between two steps up. */
const RAISE_INTERVAL_MS = 1_000;
const RAISE_PERCENT = 20;

/** The first cut halves; a second one in a row stops the work. */
const CUT_FACTOR = 0.5;

/**
 * A target that is missed while nothing disturbs is missed by the task's own
 * load. The others then work on, but are held again for a moment in every
 * `RETEST_MS`: the users allow 4 s of harm on end.
 */
const HELD_MS = 1_500;
const RETEST_MS = 2_500;

/** A pair of images that disturbed each other is trusted again this fast. */
const RECOVERY_PERCENT_PER_S = 5;

/** Pairs of images that are remembered; the oldest is forgotten. */
const MAXIMUM_PAIRS = 1_000;

export interface PaceChange {
  readonly run: Run;
  readonly percent: number;
  /** Response tail and target that decided, in milliseconds. */
  readonly tailMs: number;
  readonly targetMs: number;
}

interface WorkerPace {
  changedAt: SteadyTime;
  /** Since when everything that disturbs is held and a target is missed. */
  heldSince: SteadyTime | undefined;
  /** The targets are missed without the others' doing, found at this time. */
  blamelessSince: SteadyTime | undefined;
}

interface SafePace {
  percent: number;
  at: SteadyTime;
}

export class PaceController {
  private readonly workers = new Map<string, WorkerPace>();
  private readonly safe = new Map<string, SafePace>();

  /** Decides for one worker, after a list of what runs there. */
  decide(
    workerId: string,
    runs: Iterable<Run>,
    now: SteadyTime,
  ): readonly PaceChange[] {
    const serving: Run[] = [];
    const filling: Run[] = [];
    for (const run of runs) {
      if (run.phase !== 'running') continue;
      if (run.step.usesSpareProcessor === true) filling.push(run);
      else if (run.step.responseTargetMs !== undefined) serving.push(run);
    }
    if (filling.length === 0) {
      this.workers.delete(workerId);
      return [];
    }
    const state = this.workers.get(workerId) ?? {
      changedAt: steadyTime(now - SETTLING_MS),
      heldSince: undefined,
      blamelessSince: undefined,
    };
    this.workers.set(workerId, state);
    const worst = worstServing(serving);
    const percent = this.paceOf(state, worst, serving, filling, now);
    return this.changes(filling, percent, worst, now, state);
  }

  /** Share of full speed at which a new run should begin beside others. */
  initialPercent(run: Run, neighbours: Iterable<Run>, now: SteadyTime): number {
    let percent = FULL_PACE_PERCENT;
    for (const {step} of neighbours) {
      if (step.responseTargetMs === undefined) continue;
      const known = this.safe.get(pairKey(step.image, run.step.image));
      if (known !== undefined) {
        percent = Math.min(percent, recovered(known, now));
      }
    }
    return percent;
  }

  private paceOf(
    state: WorkerPace,
    worst: Disturbance,
    serving: readonly Run[],
    filling: readonly Run[],
    now: SteadyTime,
  ): number {
    const current = Math.min(
      FULL_PACE_PERCENT,
      Math.max(...filling.map(({pacePercent}) => pacePercent)),
    );
    const sinceChangeMs = now - state.changedAt;
    if (worst.share < CALM_SHARE) {
      state.heldSince = undefined;
      state.blamelessSince = undefined;
      if (current >= FULL_PACE_PERCENT) return current;
      const waitMs = serving.length === 0 ? 0 : RAISE_INTERVAL_MS;
      if (sinceChangeMs < waitMs) return current;
      return serving.length === 0
        ? FULL_PACE_PERCENT
        : Math.min(FULL_PACE_PERCENT, current + RAISE_PERCENT);
    }
    if (worst.share < DISTURBED_SHARE) return current;
    if (state.blamelessSince !== undefined) {
      if (now - state.blamelessSince < RETEST_MS) return FULL_PACE_PERCENT;
      state.blamelessSince = undefined;
      state.heldSince = now;
      return 0;
    }
    if (sinceChangeMs < SETTLING_MS) return current;
    if (current > 0) {
      this.remember(serving, filling, current * CUT_FACTOR, now);
      return current < FULL_PACE_PERCENT ? 0 : current * CUT_FACTOR;
    }
    state.heldSince ??= now;
    if (now - state.heldSince < HELD_MS) return 0;
    state.heldSince = undefined;
    state.blamelessSince = now;
    return FULL_PACE_PERCENT;
  }

  private changes(
    filling: readonly Run[],
    percent: number,
    worst: Disturbance,
    now: SteadyTime,
    state: WorkerPace,
  ): PaceChange[] {
    const rounded = Math.round(percent);
    const {tailMs, targetMs} = worst;
    const changes = filling
      .filter(({pacePercent}) => pacePercent !== rounded)
      .map((run) => ({run, percent: rounded, tailMs, targetMs}));
    if (changes.length > 0) state.changedAt = now;
    return changes;
  }

  private remember(
    serving: readonly Run[],
    filling: readonly Run[],
    percent: number,
    now: SteadyTime,
  ): void {
    for (const {step, responseTailMs = 0} of serving) {
      const target = step.responseTargetMs ?? Infinity;
      if (responseTailMs < target * DISTURBED_SHARE) continue;
      for (const run of filling) {
        const key = pairKey(step.image, run.step.image);
        this.safe.delete(key);
        this.safe.set(key, {percent, at: now});
      }
    }
    const [oldest] = this.safe.keys();
    if (this.safe.size > MAXIMUM_PAIRS && oldest !== undefined) {
      this.safe.delete(oldest);
    }
  }
}

/** The serving task that is closest to its target, or furthest above it. */
interface Disturbance {
  readonly share: number;
  readonly tailMs: number;
  readonly targetMs: number;
}

function worstServing(serving: readonly Run[]): Disturbance {
  let worst: Disturbance = {share: 0, tailMs: 0, targetMs: 0};
  for (const {step, responseTailMs = 0} of serving) {
    const targetMs = step.responseTargetMs ?? Infinity;
    const share = responseTailMs / targetMs;
    if (share > worst.share) worst = {share, tailMs: responseTailMs, targetMs};
  }
  return worst;
}

function recovered({percent, at}: SafePace, now: SteadyTime): number {
  const gained = ((now - at) / 1_000) * RECOVERY_PERCENT_PER_S;
  return Math.min(FULL_PACE_PERCENT, Math.round(percent + gained));
}

function pairKey(serving: string | undefined, filling = ''): string {
  return `${serving ?? ''}\u0000${filling}`;
}
