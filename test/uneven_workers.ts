/** Workers of different speeds, and tasks of different lengths, for tests. */

import type {Run} from '../src/leader/jobs/runs.js';
import type {WorkerSpeeds} from '../src/leader/workers/worker_speeds.js';
import type {WorkerState} from '../src/leader/workers/worker_state.js';
import {SeededRandom} from '../src/lifecycle/random.js';
import {instant} from '../src/model/ids.js';
import type {WorkerId} from '../src/model/ids.js';

/**
 * How much less work than a step's longest task the others have, as a standard
 * deviation of the logarithm. A job's objective counts its longest tasks.
 */
const TASK_SPREAD = 0.1;

/** Interval at which workers report progress, in milliseconds. */
const REPORT_INTERVAL_MS = 200;

export class UnevenWorkers {
  private readonly random: SeededRandom;
  private readonly factorByWorker = new Map<WorkerId, number>();

  constructor(
    /** Run times as multiples of the usual one; absent: all are alike. */
    private readonly factors: readonly number[] | undefined,
    seed: number,
  ) {
    this.random = new SeededRandom(seed);
  }

  add(workerId: WorkerId): void {
    const {factors = [1]} = this;
    const factor = factors[this.random.nextBelow(factors.length)] ?? 1;
    this.factorByWorker.set(workerId, factor);
  }

  /** Time of a task on the worker as a multiple of the step's usual time. */
  taskFactor(workerId: WorkerId): number {
    if (this.factors === undefined) return 1;
    const spread = TASK_SPREAD * Math.abs(nextNormal(this.random));
    return (this.factorByWorker.get(workerId) ?? 1) * Math.exp(-spread);
  }
}

/** Returns a number of the standard normal distribution. */
export function nextNormal(random: SeededRandom): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}

/** A unit at work, each run of which needs its own time. */
interface ActiveUnit {
  readonly runs: readonly Run[];
  readonly startsAt: number;
  readonly memberMs: readonly number[];
}

/** Reports the progress of all runs, if it is time to. */
export function reportProgress(
  units: Iterable<ActiveUnit>,
  workers: ReadonlyMap<WorkerId, WorkerState>,
  speeds: WorkerSpeeds | undefined,
  now: number,
): void {
  if (now % REPORT_INTERVAL_MS !== 0) return;
  for (const {runs, startsAt, memberMs} of units) {
    runs.forEach(({progress}, index) => {
      const share = (now - startsAt) / (memberMs[index] ?? Infinity);
      progress.add(Math.floor(100 * share), now);
    });
  }
  speeds?.observe(workers.values(), instant(now));
}
