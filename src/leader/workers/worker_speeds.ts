/**
 * How fast each worker is, learned from the progress of its runs against other
 * tasks of the same step. Speeds are only believed as far as workers differ by
 * more than the tasks on one worker do.
 */

import type {Instant, JobId, VmId, WorkerId} from '../../model/ids.js';
import type {CompletedRun} from '../jobs/completed_runs.js';
import type {Run} from '../jobs/runs.js';
import type {WorkerState} from './worker_state.js';

/** A worker, a listed entry or a run; a speed belongs to the VM. */
export interface Machine {
  readonly workerId: WorkerId;
  readonly vmId?: VmId | undefined;
}

/** What is known about the speed of one worker. */
export interface WorkerSpeed {
  /** Run time as a multiple of the usual one: 1 usual, 2 twice as slow. */
  readonly factor: number;
  /**
   * The factor that the worker probably does not exceed. Equal to `factor` as
   * long as workers are not known to differ.
   */
  readonly cautiousFactor: number;
  /** 0: nothing is known, and the factor is 1; up to 1: certain. */
  readonly confidence: number;
  /** Recent observations, by weight. */
  readonly observations: number;
}

/** Progress at which a run counts as a full observation, in percent. */
const FULL_SPAN_PERCENT = 40;

/** Progress is listed in whole percent, so shorter spans say little. */
const MINIMUM_SPAN_PERCENT = 8;

/** An observation that differs more than this, either way, is bounded to it. */
const MAXIMUM_RATIO = 4;

/** Time after which an observation has half of its weight. */
const HALF_LIFE_MS = 60_000;

/** A speed may change, so that a worker's past counts as this many tasks. */
const MAXIMUM_PAST_WEIGHT = 10;

/** Finished tasks of a step that later ones are compared with. */
const MAXIMUM_FINISHED_SIBLINGS = 32;

/** Steps that are remembered after their last observation. */
const STEP_MEMORY_MS = 10_000;

/** A worker without a recent observation is forgotten. */
const FORGOTTEN_WEIGHT = 0.02;

/** Observations beyond the first on each worker that show their spread. */
const MINIMUM_DEGREES_OF_FREEDOM = 10;

/** Workers that differ by less, as a logarithm, are treated as alike. */
const NEGLIGIBLE_SPREAD = 0.08;

const USUAL: WorkerSpeed = {
  factor: 1,
  cautiousFactor: 1,
  confidence: 0,
  observations: 0,
};

/** Weighted sums of logarithms of run times against the step's usual ones. */
class Sums {
  weight = 0;
  sum = 0;
  squares = 0;

  add(value: number, weight: number): void {
    this.weight += weight;
    this.sum += value * weight;
    this.squares += value * value * weight;
  }

  addAll({weight, sum, squares}: Sums): void {
    this.weight += weight;
    this.sum += sum;
    this.squares += squares;
  }

  scale(share: number): void {
    this.weight *= share;
    this.sum *= share;
    this.squares *= share;
  }

  get mean(): number {
    return this.weight === 0 ? 0 : this.sum / this.weight;
  }
}

interface Past {
  readonly sums: Sums;
  /** When the sums were last reduced for their age. */
  at: Instant;
}

/** The time for one percent of a run, and of which worker. */
interface Observation {
  readonly key: string;
  /** Logarithm of the milliseconds for one percent. */
  readonly logPace: number;
  readonly weight: number;
}

/** Tasks that do the same work. */
interface Siblings {
  /** Logarithms of the paces of finished tasks on a worker of usual speed. */
  readonly finished: number[];
  running: Observation[];
  /** Logarithm of the usual pace; undefined until there are two tasks. */
  usual: number | undefined;
  observedAt: Instant;
}

export class WorkerSpeeds {
  private readonly pasts = new Map<string, Past>();
  private readonly siblings = new Map<string, Siblings>();
  private speeds: ReadonlyMap<string, WorkerSpeed> = new Map();
  private spreadOfSpeeds = 0;

  /** Spread of the logarithm of the factors; 0 while none is believed. */
  get spread(): number {
    return this.spreadOfSpeeds;
  }

  speedOf(machine: Machine): WorkerSpeed {
    return this.speeds.get(keyOf(machine)) ?? USUAL;
  }

  /** Factor of a gang on these workers; 1 without any. */
  slowestFactorOf(machines: readonly Machine[]): number {
    if (machines.length === 0) return 1;
    return Math.max(...machines.map((each) => this.speedOf(each).factor));
  }

  /** Reads the progress of all runs and updates the speeds. */
  observe(workers: Iterable<WorkerState>, now: Instant): void {
    for (const [name, siblings] of this.siblings) {
      siblings.running = [];
      if (now - siblings.observedAt > STEP_MEMORY_MS) {
        this.siblings.delete(name);
      }
    }
    for (const worker of workers) {
      if (worker.runs.size === 0) continue;
      const key = keyOf(worker.entry);
      for (const run of worker.runs.values()) {
        const observation = observeRun(run, key);
        if (observation === undefined || isRemote(run, worker)) continue;
        const siblings = this.siblingsOf(run, now);
        siblings.running.push(observation);
      }
    }
    const running = new Map<string, Sums>();
    for (const siblings of this.siblings.values()) {
      this.updateUsual(siblings);
      for (const observation of siblings.running) {
        const {key} = observation;
        let sums = running.get(key);
        if (sums === undefined) running.set(key, (sums = new Sums()));
        addTo(sums, observation, siblings);
      }
    }
    this.update(running, now);
  }

  /** Has to be called for each end, with its usable run time if there is one. */
  recordEnd(
    run: Run,
    worker: WorkerState,
    completed: CompletedRun | undefined,
    now: Instant,
  ): void {
    if (isRemote(run, worker)) return;
    const key = keyOf(worker.entry);
    // The members of a gang end together, so that only their progress counts.
    const observation =
      completed !== undefined && run.unit.taskCount === 1
        ? {key, logPace: Math.log(completed.ranMs / 100), weight: 1}
        : observeRun(run, key);
    if (observation === undefined) return;
    const siblings = this.siblingsOf(run, now);
    const past = this.pastOf(key, now);
    addTo(past.sums, observation, siblings);
    const {weight} = past.sums;
    if (weight > MAXIMUM_PAST_WEIGHT) {
      past.sums.scale(MAXIMUM_PAST_WEIGHT / weight);
    }
    const {finished} = siblings;
    finished.push(observation.logPace - this.logFactorOf(key));
    if (finished.length > MAXIMUM_FINISHED_SIBLINGS) finished.shift();
  }

  /** Updates the usual pace from the tasks, by what is known of the workers. */
  private updateUsual(siblings: Siblings): void {
    const {finished, running} = siblings;
    const paces = [
      ...finished,
      ...running.map(({key, logPace}) => logPace - this.logFactorOf(key)),
    ];
    siblings.usual = paces.length < 2 ? undefined : medianOf(paces);
  }

  /**
   * Compares the differences within and between workers. Their ratio is the
   * number of observations at which a worker's own mean counts half.
   */
  private update(running: ReadonlyMap<string, Sums>, now: Instant): void {
    const all = new Map<string, Sums>();
    for (const [key, past] of this.pasts) {
      age(past, now);
      if (past.sums.weight < FORGOTTEN_WEIGHT) {
        this.pasts.delete(key);
        continue;
      }
      const sums = new Sums();
      sums.addAll(past.sums);
      all.set(key, sums);
    }
    for (const [key, sums] of running) {
      const known = all.get(key);
      if (known === undefined) all.set(key, sums);
      else known.addAll(sums);
    }
    const {within, between} = variancesOf([...all.values()]);
    const usual = usualMeanOf([...all.values()]);
    this.spreadOfSpeeds = Math.sqrt(between);
    const speeds = new Map<string, WorkerSpeed>();
    for (const [key, {mean, weight}] of all) {
      const confidence =
        between === 0 ? 0 : weight / (weight + within / between);
      const log = (mean - usual) * confidence;
      const deviation = Math.sqrt(between * (1 - confidence));
      speeds.set(key, {
        factor: Math.exp(log),
        cautiousFactor: Math.exp(log + deviation),
        confidence,
        observations: weight,
      });
    }
    this.speeds = speeds;
  }

  private logFactorOf(key: string): number {
    return Math.log(this.speeds.get(key)?.factor ?? 1);
  }

  private siblingsOf({unit, runNumber}: Run, now: Instant): Siblings {
    const name = siblingsName(unit.job.id, unit.occurrence, unit.stepIndex);
    // Each run of a gang has its own delays, which all its members share.
    const key = unit.taskCount > 1 ? `${name}.${runNumber}` : name;
    let siblings = this.siblings.get(key);
    if (siblings === undefined) {
      siblings = {finished: [], running: [], usual: undefined, observedAt: now};
      this.siblings.set(key, siblings);
    }
    siblings.observedAt = now;
    return siblings;
  }

  private pastOf(key: string, now: Instant): Past {
    let past = this.pasts.get(key);
    if (past === undefined) {
      past = {sums: new Sums(), at: now};
      this.pasts.set(key, past);
    }
    age(past, now);
    return past;
  }
}

function keyOf({vmId, workerId}: Machine): string {
  return vmId ?? workerId;
}

function siblingsName(jobId: JobId, occurrence: number, step: number): string {
  return `${jobId}.${occurrence}.${step}`;
}

function observeRun(run: Run, key: string): Observation | undefined {
  const {longRunning, usesSpareProcessor} = run.step;
  if (longRunning === true || usesSpareProcessor === true) return undefined;
  const {msPerPercent, spanPercent} = run.progress;
  if (msPerPercent === undefined || spanPercent < MINIMUM_SPAN_PERCENT) {
    return undefined;
  }
  return {
    key,
    logPace: Math.log(msPerPercent),
    weight: Math.min(1, spanPercent / FULL_SPAN_PERCENT),
  };
}

/** True if the run's distance from its data may slow it down. */
function isRemote({unit, step}: Run, {entry}: WorkerState): boolean {
  const {dataRack} = step;
  if (dataRack === undefined) return false;
  return unit.taskCount > 1 || entry.rackId !== dataRack;
}

function addTo(
  sums: Sums,
  {logPace, weight}: Observation,
  {usual, finished, running}: Siblings,
): void {
  if (usual === undefined) return;
  const others = finished.length + running.length - 1;
  const bound = Math.log(MAXIMUM_RATIO);
  const difference = Math.max(-bound, Math.min(bound, logPace - usual));
  // The fewer siblings, the more their own speeds move the usual pace.
  sums.add(difference, weight * (others / (others + 1)));
}

function age(past: Past, now: Instant): void {
  const ageMs = now - past.at;
  if (ageMs <= 0) return;
  past.sums.scale(0.5 ** (ageMs / HALF_LIFE_MS));
  past.at = now;
}

/**
 * Steps are compared on the workers that they run on, and these may be mostly
 * slow or mostly fast ones. Each worker counts once here, so that the usual
 * speed is that of the median worker.
 */
function usualMeanOf(workers: readonly Sums[]): number {
  const means = workers.filter(({weight}) => weight > 1).map(({mean}) => mean);
  return means.length === 0 ? 0 : medianOf(means);
}

interface Variances {
  readonly within: number;
  /** 0 unless workers differ by more than their tasks explain. */
  readonly between: number;
}

/** One-way analysis of variance with workers as groups. */
function variancesOf(workers: readonly Sums[]): Variances {
  let withinSquares = 0;
  let freedom = 0;
  let weights = 0;
  let total = 0;
  const several = workers.filter(({weight}) => weight > 1);
  for (const {weight, sum, squares, mean} of several) {
    withinSquares += Math.max(0, squares - sum * mean);
    freedom += weight - 1;
    weights += weight;
    total += sum;
  }
  if (freedom < MINIMUM_DEGREES_OF_FREEDOM) return {within: 1, between: 0};
  const within = withinSquares / freedom;
  const center = total / weights;
  let betweenSquares = 0;
  let squaredWeights = 0;
  for (const {weight, mean} of several) {
    betweenSquares += weight * (mean - center) ** 2;
    squaredWeights += weight * weight;
  }
  const groups = several.length - 1;
  const scale = weights - squaredWeights / weights;
  const between = (betweenSquares - groups * within) / scale;
  // Twice the standard error of a variance ratio of 1 for these numbers.
  const chance = 2 * Math.sqrt(2 / Math.max(1, groups) + 2 / freedom);
  const isSignificant = betweenSquares > groups * within * (1 + chance);
  return isSignificant && between > NEGLIGIBLE_SPREAD ** 2
    ? {within, between}
    : {within, between: 0};
}

function medianOf(values: number[]): number {
  values.sort((a, b) => a - b);
  const middle = values.length >> 1;
  const upper = values[middle] ?? 0;
  if (values.length % 2 === 1) return upper;
  return (upper + (values[middle - 1] ?? 0)) / 2;
}
