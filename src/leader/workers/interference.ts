/**
 * Learns from the ends of runs which kinds of work run longer beside which
 * others on one worker. Runs of one step are compared with each other, and then
 * those on one worker with each other, so that neither a slow job nor a slow
 * worker looks like interference. See docs/design/interference.md.
 */

import type {Instant, WorkerId, WorkKind} from '../../model/ids.js';
import type {Run} from '../jobs/runs.js';
import type {Unit} from '../jobs/jobs.js';
import {NeighbourTable, kindOf} from './neighbours.js';

/** Slowdown from which a pair may be believed. */
const MINIMUM_SLOWDOWN = 1.1;

/** A believed pair with a smaller slowdown is dropped. */
const DROPPED_SLOWDOWN = 1.05;

/** The lower bound of confidence of a believed pair is above this slowdown. */
const CERTAIN_SLOWDOWN = 1.03;

/** Standard errors below the estimate; many pairs are tested many times. */
const BELIEF_ERRORS = 4;
const DROP_ERRORS = 1.5;

/** Runs beside the other kind, and their workers, before a pair is believed. */
const MINIMUM_OBSERVATIONS = 12;
const MINIMUM_WORKERS = 4;

/** Below this the scatter of a kind's run times is not known. */
const MINIMUM_DEGREES_OF_FREEDOM = 30;
const MAXIMUM_DEGREES_OF_FREEDOM = 500;

/** Smallest scatter of the logarithm of run times that is assumed. */
const MINIMUM_SCATTER = 0.03;

/** Evidence of a pair is scaled down to this, so that recent work decides. */
const MAXIMUM_INFORMATION = 50;
const HALF_LIFE_MS = 300_000;

/** Limit of the logarithm of a run time relative to its siblings. */
const MAXIMUM_DEVIATION = 1.5;

const SIBLINGS_PER_BLOCK = 32;
const RUNS_PER_WORKER_BLOCK = 6;
const SIBLINGS_MAXIMUM_AGE_MS = 10_000;
const WORKER_BLOCK_MAXIMUM_AGE_MS = 20_000;
const SWEEP_INTERVAL_MS = 1_000;

const MAXIMUM_PAIRS = 1_000;
const MAXIMUM_KINDS = 500;
const MAXIMUM_SIBLING_BLOCKS = 256;
const MAXIMUM_WORKER_BLOCKS = 2_048;

export interface InterferingPair {
  /** The kind that runs longer. */
  readonly slowed: WorkKind;
  readonly beside: WorkKind;
  /** Factor of the run time. */
  readonly slowdown: number;
  /** Runs of the slowed kind that were beside the other. */
  readonly observations: number;
}

/** Run times in milliseconds of a run that did all the work of its task. */
export interface CompletedRunTime {
  readonly runMs: number;
  /** What is usual for the step on this worker. */
  readonly expectedMs: number;
}

export interface InterferenceEvents {
  pairBelieved(pair: InterferingPair): void;
  pairDropped(pair: InterferingPair): void;
}

/** What placement asks. */
export interface KnownInterference {
  /** Kinds that slow this one down, or that it slows down. */
  conflictsOf(kind: WorkKind): ReadonlySet<WorkKind>;
}

/** One run, compared with its siblings. */
interface Observation {
  readonly workerId: WorkerId;
  readonly neighbours: ReadonlySet<WorkKind>;
  /** Logarithm of its run time relative to the usual one. */
  readonly deviation: number;
  /** Share of the siblings that each kind was beside. */
  readonly siblingShares: ReadonlyMap<WorkKind, number>;
}

interface Sibling {
  readonly workerId: WorkerId;
  readonly neighbours: ReadonlySet<WorkKind>;
  readonly deviation: number;
}

interface Block<Entry> {
  readonly kind: WorkKind;
  readonly openedAt: Instant;
  readonly entries: Entry[];
}

const NO_KINDS: ReadonlySet<WorkKind> = new Set();
const NO_SHARES: ReadonlyMap<WorkKind, number> = new Map();

export class InterferenceTable implements KnownInterference {
  private readonly neighbours = new NeighbourTable();
  private readonly siblings = new Map<string, Block<Sibling>>();
  private readonly workerBlocks = new Map<string, Block<Observation>>();
  private readonly scatters = new Map<WorkKind, Scatter>();
  /** In order of their last evidence. */
  private readonly pairs = new Map<string, PairEvidence>();
  /** Believed pairs by the kind that they slow down. */
  private readonly believed = new Map<WorkKind, PairEvidence[]>();
  private conflicts = new Map<WorkKind, Set<WorkKind>>();
  private sweptAt = 0;

  constructor(private readonly events: InterferenceEvents) {}

  conflictsOf(kind: WorkKind): ReadonlySet<WorkKind> {
    return this.conflicts.get(kind) ?? NO_KINDS;
  }

  /** The believed pairs, those with the largest slowdown first. */
  believedPairs(): readonly InterferingPair[] {
    return [...this.believed.values()]
      .flat()
      .map((pair) => pair.toReport())
      .sort((a, b) => b.slowdown - a.slowdown);
  }

  runStarted(run: Run, now: Instant): void {
    this.neighbours.runStarted(run, now);
  }

  /** `time` is absent if the run time shows nothing about its neighbours. */
  runEnded(run: Run, time: CompletedRunTime | undefined, now: Instant): void {
    const neighbours = this.neighbours.runEnded(run, now);
    this.sweep(now);
    // Which worker held up a gang is not known.
    if (time === undefined || run.unit.taskCount > 1) return;
    if (neighbours === undefined) return;
    const {unit, workerId} = run;
    const deviation = Math.log(
      Math.max(1, time.runMs) / Math.max(1, time.expectedMs),
    );
    if (unit.step.taskCount > 1) {
      this.addSibling(unit, {workerId, neighbours, deviation}, now);
      return;
    }
    const observation = {
      workerId,
      neighbours,
      deviation: clamp(deviation),
      siblingShares: NO_SHARES,
    };
    this.addObservation(kindOf(unit), observation, now);
  }

  // Blocks.

  private addSibling(unit: Unit, sibling: Sibling, now: Instant): void {
    const {job, occurrence, stepIndex, step} = unit;
    const key = `${job.id}.${occurrence}.${stepIndex}`;
    const block = blockFor(this.siblings, key, kindOf(unit), now);
    block.entries.push(sibling);
    const limit = Math.min(step.taskCount, SIBLINGS_PER_BLOCK);
    if (block.entries.length >= limit) this.closeSiblings(key, block, now);
    else this.limitSiblings(now);
  }

  private limitSiblings(now: Instant): void {
    if (this.siblings.size <= MAXIMUM_SIBLING_BLOCKS) return;
    const [oldest] = this.siblings;
    if (oldest !== undefined) this.closeSiblings(...oldest, now);
  }

  /** Compares the runs of one step with each other. */
  private closeSiblings(
    key: string,
    {kind, entries}: Block<Sibling>,
    now: Instant,
  ): void {
    this.siblings.delete(key);
    if (entries.length < 2) return;
    const middle = median(entries.map(({deviation}) => deviation));
    const clamped = entries.map(({deviation}) => clamp(deviation - middle));
    const mean = meanOf(clamped);
    const siblingShares = new Map<WorkKind, number>();
    for (const {neighbours} of entries) {
      for (const other of neighbours) {
        const share = siblingShares.get(other) ?? 0;
        siblingShares.set(other, share + 1 / entries.length);
      }
    }
    entries.forEach(({workerId, neighbours}, index) => {
      const deviation = (clamped[index] ?? 0) - mean;
      const observation = {workerId, neighbours, deviation, siblingShares};
      this.addObservation(kind, observation, now);
    });
  }

  private addObservation(
    kind: WorkKind,
    observation: Observation,
    now: Instant,
  ): void {
    const key = pairKey(observation.workerId, kind);
    const block = blockFor(this.workerBlocks, key, kind, now);
    block.entries.push(observation);
    if (block.entries.length >= RUNS_PER_WORKER_BLOCK) {
      this.closeWorkerBlock(key, block, now);
    } else if (this.workerBlocks.size > MAXIMUM_WORKER_BLOCKS) {
      const [oldest] = this.workerBlocks;
      if (oldest !== undefined) this.closeWorkerBlock(...oldest, now);
    }
  }

  /** Compares runs of one kind on one worker with each other. */
  private closeWorkerBlock(
    key: string,
    {kind, entries}: Block<Observation>,
    now: Instant,
  ): void {
    this.workerBlocks.delete(key);
    const [first] = entries;
    if (first === undefined || entries.length < 2) return;
    const believed = this.believed.get(kind) ?? [];
    // What the believed pairs don't explain.
    const rests = entries.map((entry) =>
      believed.reduce(
        (rest, pair) => rest - pair.estimate * presence(entry, pair.beside),
        entry.deviation,
      ),
    );
    const scatter = this.scatterOf(kind);
    scatter.add(rests);
    const others = new Set(entries.flatMap((entry) => [...entry.neighbours]));
    for (const beside of others) {
      const pair = this.pairOf(kind, beside, now);
      const presences = entries.map((entry) => presence(entry, beside));
      const values = pair.isBelieved
        ? rests.map((rest, i) => rest + pair.estimate * (presences[i] ?? 0))
        : rests;
      const seen = entries.filter(({neighbours}) => neighbours.has(beside));
      pair.add(presences, values, seen.length, first.workerId, now);
      this.judge(pair, scatter);
    }
  }

  private scatterOf(kind: WorkKind): Scatter {
    const scatter = this.scatters.get(kind) ?? new Scatter();
    this.scatters.delete(kind);
    this.scatters.set(kind, scatter);
    const [oldest] = this.scatters.keys();
    if (this.scatters.size > MAXIMUM_KINDS && oldest !== undefined) {
      this.scatters.delete(oldest);
    }
    return scatter;
  }

  private pairOf(
    slowed: WorkKind,
    beside: WorkKind,
    now: Instant,
  ): PairEvidence {
    const key = pairKey(slowed, beside);
    const pair =
      this.pairs.get(key) ?? new PairEvidence(slowed, beside, now);
    this.pairs.delete(key);
    this.pairs.set(key, pair);
    const [oldest] = this.pairs;
    if (this.pairs.size > MAXIMUM_PAIRS && oldest !== undefined) {
      const [oldestKey, evicted] = oldest;
      this.pairs.delete(oldestKey);
      if (evicted.isBelieved) this.drop(evicted);
    }
    return pair;
  }

  // Beliefs.

  private judge(pair: PairEvidence, scatter: Scatter): void {
    if (pair.isBelieved) {
      if (pair.isRefuted(scatter)) this.drop(pair);
    } else if (pair.isProven(scatter)) {
      this.believe(pair);
    }
  }

  private believe(pair: PairEvidence): void {
    pair.isBelieved = true;
    const {slowed} = pair;
    this.believed.set(slowed, [...(this.believed.get(slowed) ?? []), pair]);
    for (const [key, other] of this.pairs) {
      // Their evidence contains the effect of the new pair.
      if (other.slowed === slowed && !other.isBelieved) this.pairs.delete(key);
    }
    this.updateConflicts();
    this.events.pairBelieved(pair.toReport());
  }

  private drop(pair: PairEvidence): void {
    pair.isBelieved = false;
    const {slowed, beside} = pair;
    const rest = (this.believed.get(slowed) ?? []).filter(
      (other) => other !== pair,
    );
    if (rest.length > 0) this.believed.set(slowed, rest);
    else this.believed.delete(slowed);
    this.pairs.delete(pairKey(slowed, beside));
    this.updateConflicts();
    this.events.pairDropped(pair.toReport());
  }

  private updateConflicts(): void {
    this.conflicts = new Map();
    for (const {slowed, beside} of [...this.believed.values()].flat()) {
      addTo(this.conflicts, slowed, beside);
      addTo(this.conflicts, beside, slowed);
    }
  }

  /** Closes old blocks and drops pairs whose evidence has decayed. */
  private sweep(now: Instant): void {
    if (now - this.sweptAt < SWEEP_INTERVAL_MS) return;
    this.sweptAt = now;
    for (const [key, block] of this.siblings) {
      if (now - block.openedAt < SIBLINGS_MAXIMUM_AGE_MS) break;
      this.closeSiblings(key, block, now);
    }
    for (const [key, block] of this.workerBlocks) {
      if (now - block.openedAt < WORKER_BLOCK_MAXIMUM_AGE_MS) break;
      this.closeWorkerBlock(key, block, now);
    }
    for (const pair of [...this.believed.values()].flat()) {
      pair.decay(now);
      this.judge(pair, this.scatterOf(pair.slowed));
    }
  }
}

/** Sums over the worker blocks of one pair. */
class PairEvidence {
  isBelieved = false;
  private observations = 0;
  private information = 0;
  private weightedEffects = 0;
  private readonly workers = new Set<WorkerId>();

  constructor(
    readonly slowed: WorkKind,
    readonly beside: WorkKind,
    private decayedAt: Instant,
  ) {}

  /** Logarithm of the slowdown. */
  get estimate(): number {
    return this.information === 0 ? 0 : this.weightedEffects / this.information;
  }

  add(
    presences: readonly number[],
    values: readonly number[],
    observations: number,
    workerId: WorkerId,
    now: Instant,
  ): void {
    this.decay(now);
    const meanPresence = meanOf(presences);
    const meanValue = meanOf(values);
    let information = 0;
    presences.forEach((presence, index) => {
      const difference = presence - meanPresence;
      information += difference ** 2;
      this.weightedEffects += difference * ((values[index] ?? 0) - meanValue);
    });
    this.information += information;
    this.scale(MAXIMUM_INFORMATION / this.information);
    this.observations += observations;
    const isWitness = observations > 0 && information > 0;
    if (isWitness && this.workers.size < MINIMUM_WORKERS) {
      this.workers.add(workerId);
    }
  }

  decay(now: Instant): void {
    this.scale(0.5 ** (Math.max(0, now - this.decayedAt) / HALF_LIFE_MS));
    this.decayedAt = now;
  }

  isProven(scatter: Scatter): boolean {
    return (
      this.observations >= MINIMUM_OBSERVATIONS &&
      this.workers.size >= MINIMUM_WORKERS &&
      scatter.isKnown &&
      this.estimate >= Math.log(MINIMUM_SLOWDOWN) &&
      this.lowerBound(scatter, BELIEF_ERRORS) > Math.log(CERTAIN_SLOWDOWN)
    );
  }

  isRefuted(scatter: Scatter): boolean {
    return (
      this.estimate < Math.log(DROPPED_SLOWDOWN) ||
      this.lowerBound(scatter, DROP_ERRORS) < 0
    );
  }

  toReport(): InterferingPair {
    const {slowed, beside, observations} = this;
    const slowdown = Math.exp(this.estimate);
    return {slowed, beside, slowdown, observations};
  }

  private lowerBound({deviation}: Scatter, errors: number): number {
    return this.estimate - (errors * deviation) / Math.sqrt(this.information);
  }

  private scale(factor: number): void {
    if (factor >= 1) return;
    this.information *= factor;
    this.weightedEffects *= factor;
  }
}

/** Scatter of the run times of one kind on one worker. */
class Scatter {
  private squares = 0;
  private degreesOfFreedom = 0;

  get isKnown(): boolean {
    return this.degreesOfFreedom >= MINIMUM_DEGREES_OF_FREEDOM;
  }

  /** Standard deviation of the logarithm of the run times. */
  get deviation(): number {
    const variance = this.squares / Math.max(1, this.degreesOfFreedom);
    return Math.max(MINIMUM_SCATTER, Math.sqrt(variance));
  }

  add(values: readonly number[]): void {
    const mean = meanOf(values);
    for (const value of values) this.squares += (value - mean) ** 2;
    this.degreesOfFreedom += values.length - 1;
    if (this.degreesOfFreedom <= MAXIMUM_DEGREES_OF_FREEDOM) return;
    this.squares *= MAXIMUM_DEGREES_OF_FREEDOM / this.degreesOfFreedom;
    this.degreesOfFreedom = MAXIMUM_DEGREES_OF_FREEDOM;
  }
}

/** 1 or 0, relative to the share of the siblings. */
function presence(
  {neighbours, siblingShares}: Observation,
  kind: WorkKind,
): number {
  return Number(neighbours.has(kind)) - (siblingShares.get(kind) ?? 0);
}

function blockFor<Entry>(
  blocks: Map<string, Block<Entry>>,
  key: string,
  kind: WorkKind,
  now: Instant,
): Block<Entry> {
  const block = blocks.get(key) ?? {kind, openedAt: now, entries: []};
  blocks.set(key, block);
  return block;
}

function pairKey(first: string, second: string): string {
  return `${first}\u0000${second}`;
}

function addTo<Key, Value>(
  sets: Map<Key, Set<Value>>,
  key: Key,
  value: Value,
): void {
  const set = sets.get(key) ?? new Set();
  set.add(value);
  sets.set(key, set);
}

function clamp(deviation: number): number {
  return Math.max(-MAXIMUM_DEVIATION, Math.min(MAXIMUM_DEVIATION, deviation));
}

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
