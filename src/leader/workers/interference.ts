/**
 * Learns from the ends of runs which kinds of work run longer beside which
 * others on one worker, and for how long that is to be believed. See
 * docs/design/interference.md.
 */

import type {Instant, WorkKind} from '../../model/ids.js';
import type {CompletedRun} from '../jobs/completed_runs.js';
import type {RunTimeTable} from '../jobs/run_times.js';
import type {Run} from '../jobs/runs.js';
import {estimateEffects} from './neighbour_effects.js';
import type {NeighbourEffect, RunCluster} from './neighbour_effects.js';
import {NeighbourTable, kindOf} from './neighbours.js';
import type {WorkerState} from './worker_state.js';

/** Slowdown from which a pair may be believed. */
const MINIMUM_SLOWDOWN = 1.1;

/** A believed pair with a smaller slowdown is dropped. */
const DROPPED_SLOWDOWN = 1.05;

/** The lower bound of confidence of a pair is above this when it is believed. */
const CERTAIN_SLOWDOWN = 1.03;

/** Standard errors below the estimate; many pairs are tested many times. */
const BELIEF_ERRORS = 4;
const DROP_ERRORS = 1.5;

/** Runs beside the other kind, and their workers, before a pair is believed. */
const MINIMUM_RUNS = 12;
const MINIMUM_WORKERS = 4;

/** Limit of the logarithm of a run time relative to the usual one. */
const MAXIMUM_DEVIATION = 1.5;

/** Latest runs of one kind that are compared with each other. */
const MAXIMUM_CLUSTERS_PER_KIND = 1_024;
const MAXIMUM_AGE_MS = 300_000;

/** Over all kinds; the kind without new runs for longest is forgotten. */
const MAXIMUM_CLUSTERS = 8_192;

/** New runs of a kind after which its pairs are estimated again. */
const RUNS_PER_ESTIMATE = 128;

/** Interval of estimates of kinds with fewer new runs, and of decay. */
const ESTIMATE_INTERVAL_MS = 15_000;
const MINIMUM_NEW_RUNS = 32;

const MAXIMUM_PAIRS = 1_000;

export interface InterferingPair {
  /** The kind that runs longer. */
  readonly slowed: WorkKind;
  readonly beside: WorkKind;
  /** Factor of the run time. */
  readonly slowdown: number;
  /** Recent runs of the slowed kind that were beside the other. */
  readonly observations: number;
}

export interface InterferenceEvents {
  interferenceFound(pair: InterferingPair): void;
  interferenceGone(pair: InterferingPair): void;
}

/** What placement asks. */
export interface KnownInterference {
  /** Kinds that slow this one down, or that it slows down. */
  conflictsOf(kind: WorkKind): ReadonlySet<WorkKind>;
}

const NO_KINDS: ReadonlySet<WorkKind> = new Set();

export class InterferenceTable implements KnownInterference {
  private readonly neighbours = new NeighbourTable();
  /** In order of their latest runs. */
  private readonly kinds = new Map<WorkKind, KindHistory>();
  private clusterCount = 0;
  private conflicts = new Map<WorkKind, Set<WorkKind>>();
  private estimatedAt = 0;

  constructor(
    private readonly runTimes: RunTimeTable,
    private readonly events: InterferenceEvents,
  ) {}

  conflictsOf(kind: WorkKind): ReadonlySet<WorkKind> {
    return this.conflicts.get(kind) ?? NO_KINDS;
  }

  /** The believed pairs, those with the largest slowdown first. */
  believedPairs(): readonly InterferingPair[] {
    return [...this.kinds.values()]
      .flatMap((history) => history.believedPairs())
      .sort((a, b) => b.slowdown - a.slowdown);
  }

  runStarted(run: Run, now: Instant): void {
    this.neighbours.runStarted(run, this.usualMs(run), now);
  }

  /** Learns from the end of a run if it is `completed` on its worker. */
  runEnded(
    run: Run,
    now: Instant,
    completed?: CompletedRun,
    worker?: WorkerState,
  ): void {
    if (now - this.estimatedAt >= ESTIMATE_INTERVAL_MS) this.estimateAll(now);
    const besides = this.neighbours.runEnded(run, now);
    const {dataRack} = run.step;
    const isAway = dataRack !== undefined && worker?.entry.rackId !== dataRack;
    if (besides === undefined || completed === undefined || isAway) return;
    // Which worker held up a gang is not known.
    if (run.unit.taskCount > 1) return;
    const history = this.historyOf(kindOf(run.unit));
    const usualMs = Math.max(1, this.usualMs(run));
    const deviation = Math.log(completed.ranMs / usualMs);
    const before = history.size;
    history.add(run, besides, deviation, now);
    this.clusterCount += history.size - before;
    this.forgetOldKinds();
    if (history.newRuns >= RUNS_PER_ESTIMATE) this.estimate(history, now);
  }

  private usualMs({unit}: Run): number {
    return this.runTimes.expectedMs(unit.job, unit.step);
  }

  private historyOf(kind: WorkKind): KindHistory {
    const history = this.kinds.get(kind) ?? new KindHistory(kind);
    this.kinds.delete(kind);
    this.kinds.set(kind, history);
    return history;
  }

  private forgetOldKinds(): void {
    if (this.clusterCount <= MAXIMUM_CLUSTERS) return;
    const [oldest] = this.kinds;
    if (oldest === undefined) return;
    const [kind, history] = oldest;
    this.kinds.delete(kind);
    this.clusterCount -= history.size;
    const dropped = history.believedPairs();
    if (dropped.length > 0) this.updateConflicts();
    for (const pair of dropped) this.events.interferenceGone(pair);
  }

  private estimateAll(now: Instant): void {
    this.estimatedAt = now;
    for (const history of [...this.kinds.values()]) {
      const isDue =
        history.newRuns >= MINIMUM_NEW_RUNS || history.pairCount > 0;
      if (isDue) this.estimate(history, now);
      if (history.size === 0) this.kinds.delete(history.kind);
    }
  }

  private estimate(history: KindHistory, now: Instant): void {
    const before = history.size;
    const limit = MAXIMUM_PAIRS - this.believedPairCount;
    const {believed, dropped} = history.estimate(limit, now);
    this.clusterCount += history.size - before;
    if (believed.length + dropped.length === 0) return;
    this.updateConflicts();
    for (const pair of believed) this.events.interferenceFound(pair);
    for (const pair of dropped) this.events.interferenceGone(pair);
  }

  private get believedPairCount(): number {
    let count = 0;
    for (const {pairCount} of this.kinds.values()) count += pairCount;
    return count;
  }

  private updateConflicts(): void {
    this.conflicts = new Map();
    for (const {slowed, beside} of this.believedPairs()) {
      this.addConflict(slowed, beside);
      this.addConflict(beside, slowed);
    }
  }

  private addConflict(kind: WorkKind, other: WorkKind): void {
    const conflicts = this.conflicts.get(kind) ?? new Set();
    conflicts.add(other);
    this.conflicts.set(kind, conflicts);
  }
}

interface BeliefChanges {
  readonly believed: readonly InterferingPair[];
  readonly dropped: readonly InterferingPair[];
}

/** The latest runs of one kind, and the pairs that they show. */
class KindHistory {
  /** By step and worker, in order of their first run. */
  private readonly clusters = new Map<string, RunCluster>();
  private readonly pairs = new Map<WorkKind, InterferingPair>();
  /** Kinds that the last estimate showed to slow this one down. */
  private suspected: ReadonlySet<WorkKind> = new Set();
  private runsSinceEstimate = 0;

  constructor(readonly kind: WorkKind) {}

  get size(): number {
    return this.clusters.size;
  }

  get newRuns(): number {
    return this.runsSinceEstimate;
  }

  get pairCount(): number {
    return this.pairs.size;
  }

  believedPairs(): readonly InterferingPair[] {
    return [...this.pairs.values()];
  }

  add(
    {unit, workerId}: Run,
    besides: ReadonlySet<WorkKind>,
    deviation: number,
    now: Instant,
  ): void {
    const {job, occurrence, stepIndex} = unit;
    const stepName = `${job.id}.${occurrence}.${stepIndex}`;
    const key = `${stepName}\u0000${workerId}`;
    const cluster = this.clusters.get(key) ?? {
      stepName,
      workerId,
      startedAt: now,
      runs: 0,
      deviations: 0,
      besides: new Map<WorkKind, number>(),
    };
    this.clusters.set(key, cluster);
    cluster.runs += 1;
    cluster.deviations += clamp(deviation);
    for (const beside of besides) {
      cluster.besides.set(beside, (cluster.besides.get(beside) ?? 0) + 1);
    }
    this.runsSinceEstimate += 1;
    const [oldest] = this.clusters.keys();
    if (this.size > MAXIMUM_CLUSTERS_PER_KIND && oldest !== undefined) {
      this.clusters.delete(oldest);
    }
  }

  /** Believes at most `limit` new pairs, and drops those that don't hold. */
  estimate(limit: number, now: Instant): BeliefChanges {
    this.runsSinceEstimate = 0;
    for (const [key, {startedAt}] of this.clusters) {
      if (now - startedAt <= MAXIMUM_AGE_MS) break;
      this.clusters.delete(key);
    }
    const believed: InterferingPair[] = [];
    const dropped = new Map(this.pairs);
    const suspected = new Set<WorkKind>();
    for (const effect of estimateEffects([...this.clusters.values()])) {
      const {beside} = effect;
      const isKnown = this.pairs.has(beside);
      const isSuspect = !isKnown && isProven(effect);
      if (isSuspect) suspected.add(beside);
      const isConfirmed = isSuspect && this.suspected.has(beside);
      const isNew = isConfirmed && believed.length < limit;
      if (!isNew && !(isKnown && isUpheld(effect))) continue;
      const pair = {
        slowed: this.kind,
        beside,
        slowdown: Math.exp(effect.estimate),
        observations: effect.runs,
      };
      this.pairs.set(beside, pair);
      dropped.delete(beside);
      if (isNew) believed.push(pair);
    }
    this.suspected = suspected;
    for (const beside of dropped.keys()) this.pairs.delete(beside);
    return {believed, dropped: [...dropped.values()]};
  }
}

function isProven({estimate, error, runs, workers}: NeighbourEffect): boolean {
  return (
    runs >= MINIMUM_RUNS &&
    workers >= MINIMUM_WORKERS &&
    estimate >= Math.log(MINIMUM_SLOWDOWN) &&
    estimate - BELIEF_ERRORS * error > Math.log(CERTAIN_SLOWDOWN)
  );
}

function isUpheld({estimate, error}: NeighbourEffect): boolean {
  return (
    estimate >= Math.log(DROPPED_SLOWDOWN) && estimate > DROP_ERRORS * error
  );
}

function clamp(deviation: number): number {
  return Math.max(-MAXIMUM_DEVIATION, Math.min(MAXIMUM_DEVIATION, deviation));
}
