/**
 * Finds workers that run everything far slower than the others. Only tasks
 * outside gangs tell how fast their worker is, since a gang is as slow as its
 * slowest member everywhere.
 */

import type {Instant} from '../model/ids.js';
import type {Run} from './jobs.js';
import type {WorkerState} from './worker_state.js';

/** A run has to be observed this long before its speed counts. */
const OBSERVATION_MS = 1_000;

/** A worker slower than this share of the median is slow. */
const SLOW_SHARE = 0.35;

/** Workers with a known speed that make a median worth comparing with. */
const MINIMUM_WORKERS = 4;

/** A run is moved if going on takes this many times as long as elsewhere. */
const MOVE_GAIN = 1.5;

/** Time for stop, commit and start, which a move costs on top. */
const MOVE_COST_MS = 700;

/**
 * Returns work done per time against the caller's estimate: 1 if the task goes
 * as estimated. Undefined while too little was seen.
 */
export function speedOf(run: Run, now: Instant): number | undefined {
  const {firstSeen, percent, step} = run;
  if (run.phase !== 'running' || firstSeen === undefined) return undefined;
  const elapsedMs = now - firstSeen.at;
  if (elapsedMs < OBSERVATION_MS || step.estimatedMs <= 0) return undefined;
  const done = (percent - firstSeen.percent) / 100;
  return (done * step.estimatedMs) / elapsedMs;
}

/** The fastest task outside gangs shows how fast a worker can be. */
function workerSpeed(worker: WorkerState, now: Instant): number | undefined {
  let fastest: number | undefined;
  for (const run of worker.runs.values()) {
    if (run.unit.width > 1) continue;
    const speed = speedOf(run, now);
    if (speed !== undefined) fastest = Math.max(fastest ?? 0, speed);
  }
  return fastest;
}

export interface SlowWorkers {
  readonly workers: readonly WorkerState[];
  /** Median speed of the workers with a known one. */
  readonly medianSpeed: number;
}

export function findSlowWorkers(
  workers: Iterable<WorkerState>,
  now: Instant,
): SlowWorkers {
  const known: Array<{worker: WorkerState; speed: number}> = [];
  for (const worker of workers) {
    const speed = workerSpeed(worker, now);
    if (speed !== undefined) known.push({worker, speed});
  }
  if (known.length < MINIMUM_WORKERS) return {workers: [], medianSpeed: 0};
  known.sort((a, b) => a.speed - b.speed);
  const medianSpeed = known[Math.floor(known.length / 2)]?.speed ?? 0;
  const slow = known.filter(({speed}) => speed < medianSpeed * SLOW_SHARE);
  return {workers: slow.map(({worker}) => worker), medianSpeed};
}

/** True if the run's unit ends sooner when it is started again elsewhere. */
export function gainsByMove(
  run: Run,
  medianSpeed: number,
  now: Instant,
): boolean {
  const speed = speedOf(run, now);
  if (speed === undefined || medianSpeed <= 0) return false;
  const {estimatedMs, checkpointing} = run.step;
  const left = 1 - run.percent / 100;
  const hereMs = (left * estimatedMs) / Math.max(speed, 0.001);
  const share = checkpointing === true ? left : 1;
  const elsewhereMs = (share * estimatedMs) / medianSpeed + MOVE_COST_MS;
  return hereMs > elsewhereMs * MOVE_GAIN;
}
