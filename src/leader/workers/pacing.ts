/**
 * Keeps best-effort tasks, which use spare processors, from slowing down
 * serving tasks, which have a response-time target, on the same worker. How
 * much one image interferes with another is unknown and varies over time, so
 * each worker has a feedback loop on the response times that it reports: pace
 * is cut sharply while a target is missed and raised in small steps afterwards.
 */

import type {SteadyTime} from '../../lifecycle/clock.js';
import {steadyTime} from '../../lifecycle/clock.js';
import type {Run} from '../jobs/runs.js';
import {FULL_PACE_PERCENT} from '../jobs/runs.js';

/** Share of its target above which a serving task counts as slowed. */
const INTERFERENCE_SHARE = 0.9;

/** Share of every target below which the pace may be raised. */
const RAISE_BELOW_SHARE = 0.7;

/**
 * Time until a change of pace shows in the response times: they cover half a
 * second, and a change takes effect after 0.1 s.
 */
const SETTLING_TIME_MS = 600;

/** Minimum time between two raises of the pace. */
const RAISE_INTERVAL_MS = 1_000;
const RAISE_STEP_PERCENT = 20;

/** The first cut halves the pace; a second consecutive one pauses the runs. */
const CUT_FACTOR = 0.5;

/**
 * A target that is still missed after all best-effort runs were paused for
 * `PAUSE_MS` is missed because of the task's own load. The runs then resume at
 * full pace, and pause again after `RETEST_INTERVAL_MS` to repeat the test.
 * Users accept at most 4 s of uninterrupted interference.
 */
const PAUSE_MS = 1_500;
const RETEST_INTERVAL_MS = 2_500;

/** Rate at which the initial pace of an interfering image pair rises again. */
const RECOVERY_PERCENT_PER_S = 5;

/** Limit of image pairs with a known safe pace; the oldest is evicted. */
const MAXIMUM_IMAGE_PAIRS = 1_000;

export interface PaceChange {
  readonly run: Run;
  readonly percent: number;
  /** Tail latency and target that determined the pace, in milliseconds. */
  readonly tailMs: number;
  readonly targetMs: number;
}

interface WorkerPaceState {
  changedAt: SteadyTime;
  /** Time since which all best-effort runs pause while a target is missed. */
  pausedSince: SteadyTime | undefined;
  /** Time at which a missed target was attributed to the task's own load. */
  ownLoadAt: SteadyTime | undefined;
}

/** Initial pace for a pair of images that interfered at a higher pace. */
interface KnownSafePace {
  percent: number;
  setAt: SteadyTime;
}

export class PaceController {
  private readonly workers = new Map<string, WorkerPaceState>();
  private readonly safePaces = new Map<string, KnownSafePace>();

  /** Returns the changes of pace for one worker after a list of its runs. */
  decide(
    workerId: string,
    runs: Iterable<Run>,
    now: SteadyTime,
  ): readonly PaceChange[] {
    const serving: Run[] = [];
    const bestEffort: Run[] = [];
    for (const run of runs) {
      if (run.phase !== 'running') continue;
      if (run.step.usesSpareProcessor === true) bestEffort.push(run);
      else if (run.step.responseTargetMs !== undefined) serving.push(run);
    }
    if (bestEffort.length === 0) {
      this.workers.delete(workerId);
      return [];
    }
    const state = this.workers.get(workerId) ?? {
      changedAt: steadyTime(now - SETTLING_TIME_MS),
      pausedSince: undefined,
      ownLoadAt: undefined,
    };
    this.workers.set(workerId, state);
    const worst = worstServingLatency(serving);
    const percent = this.nextPace(state, worst, serving, bestEffort, now);
    return this.toPaceChanges(bestEffort, percent, worst, now, state);
  }

  /** Percentage of full pace at which a new run starts beside `neighbours`. */
  initialPercent(run: Run, neighbours: Iterable<Run>, now: SteadyTime): number {
    let percent = FULL_PACE_PERCENT;
    for (const {step} of neighbours) {
      if (step.responseTargetMs === undefined) continue;
      const known = this.safePaces.get(
        imagePairKey(step.image, run.step.image),
      );
      if (known !== undefined) {
        percent = Math.min(percent, recoveredPercent(known, now));
      }
    }
    return percent;
  }

  private nextPace(
    state: WorkerPaceState,
    worst: LatencyShare,
    serving: readonly Run[],
    bestEffort: readonly Run[],
    now: SteadyTime,
  ): number {
    const current = Math.min(
      FULL_PACE_PERCENT,
      Math.max(...bestEffort.map(({pacePercent}) => pacePercent)),
    );
    const sinceChangeMs = now - state.changedAt;
    if (worst.share < RAISE_BELOW_SHARE) {
      state.pausedSince = undefined;
      state.ownLoadAt = undefined;
      if (current >= FULL_PACE_PERCENT) return current;
      const waitMs = serving.length === 0 ? 0 : RAISE_INTERVAL_MS;
      if (sinceChangeMs < waitMs) return current;
      return serving.length === 0
        ? FULL_PACE_PERCENT
        : Math.min(FULL_PACE_PERCENT, current + RAISE_STEP_PERCENT);
    }
    if (worst.share < INTERFERENCE_SHARE) return current;
    if (state.ownLoadAt !== undefined) {
      if (now - state.ownLoadAt < RETEST_INTERVAL_MS) return FULL_PACE_PERCENT;
      state.ownLoadAt = undefined;
      state.pausedSince = now;
      return 0;
    }
    if (sinceChangeMs < SETTLING_TIME_MS) return current;
    if (current > 0) {
      this.rememberSafePace(serving, bestEffort, current * CUT_FACTOR, now);
      return current < FULL_PACE_PERCENT ? 0 : current * CUT_FACTOR;
    }
    state.pausedSince ??= now;
    if (now - state.pausedSince < PAUSE_MS) return 0;
    state.pausedSince = undefined;
    state.ownLoadAt = now;
    return FULL_PACE_PERCENT;
  }

  private toPaceChanges(
    bestEffort: readonly Run[],
    percent: number,
    worst: LatencyShare,
    now: SteadyTime,
    state: WorkerPaceState,
  ): PaceChange[] {
    const rounded = Math.round(percent);
    const {tailMs, targetMs} = worst;
    const changes = bestEffort
      .filter(({pacePercent}) => pacePercent !== rounded)
      .map((run) => ({run, percent: rounded, tailMs, targetMs}));
    if (changes.length > 0) state.changedAt = now;
    return changes;
  }

  private rememberSafePace(
    serving: readonly Run[],
    bestEffort: readonly Run[],
    percent: number,
    now: SteadyTime,
  ): void {
    for (const {step, responseTailMs = 0} of serving) {
      const target = step.responseTargetMs ?? Infinity;
      if (responseTailMs < target * INTERFERENCE_SHARE) continue;
      for (const run of bestEffort) {
        const key = imagePairKey(step.image, run.step.image);
        this.safePaces.delete(key);
        this.safePaces.set(key, {percent, setAt: now});
      }
    }
    const [oldest] = this.safePaces.keys();
    if (this.safePaces.size > MAXIMUM_IMAGE_PAIRS && oldest !== undefined) {
      this.safePaces.delete(oldest);
    }
  }
}

/**
 * Tail latency of a serving task and its share of the target, 1 being the
 * target.
 */
interface LatencyShare {
  readonly share: number;
  readonly tailMs: number;
  readonly targetMs: number;
}

function worstServingLatency(serving: readonly Run[]): LatencyShare {
  let worst: LatencyShare = {share: 0, tailMs: 0, targetMs: 0};
  for (const {step, responseTailMs = 0} of serving) {
    const targetMs = step.responseTargetMs ?? Infinity;
    const share = responseTailMs / targetMs;
    if (share > worst.share) worst = {share, tailMs: responseTailMs, targetMs};
  }
  return worst;
}

function recoveredPercent(
  {percent, setAt}: KnownSafePace,
  now: SteadyTime,
): number {
  const recovery = ((now - setAt) / 1_000) * RECOVERY_PERCENT_PER_S;
  return Math.min(FULL_PACE_PERCENT, Math.round(percent + recovery));
}

function imagePairKey(serving: string | undefined, bestEffort = ''): string {
  return `${serving ?? ''}\u0000${bestEffort}`;
}
