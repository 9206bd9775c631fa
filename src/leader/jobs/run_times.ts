/**
 * Expected run times. Callers' estimates may be several times too long or too
 * short, while the tasks of one queue are alike. Each queue's finished tasks
 * show which of the two predicts better: the task's estimate, corrected by the
 * usual ratio, or the usual run time itself.
 */

import type {Instant, QueueId} from '../../model/ids.js';
import {instant} from '../../model/ids.js';
import type {Step} from '../../model/submissions.js';
import type {Job, Unit} from './jobs.js';
import type {Run} from './runs.js';
import type {WorkerSpeeds} from '../workers/worker_speeds.js';

/** Finished tasks of a queue that are remembered. */
const SAMPLES = 40;

/** With fewer samples the caller's estimate is used. */
const MINIMUM_SAMPLES = 5;

/** Time until a run that is being stopped has ended. */
const STOP_MS = 150;

/** A run that is overdue ends soon, but not at once. */
const MINIMUM_REMAINING_MS = 100;

/** Less progress says little about the time that remains. */
const RELIABLE_PROGRESS_PERCENT = 15;

interface Sample {
  readonly estimatedMs: number;
  readonly actualMs: number;
}

interface QueueModel {
  readonly usesEstimate: boolean;
  /** Of the run times, or of their ratios to the estimates. */
  readonly median: number;
}

export class RunTimeTable {
  private readonly samplesByQueue = new Map<QueueId, Sample[]>();
  private readonly modelByQueue = new Map<QueueId, QueueModel>();
  private readonly gangEnds = new WeakMap<Unit, {at: Instant; now: Instant}>();

  /** With speeds, run times are those on a worker of usual speed. */
  constructor(private readonly speeds?: WorkerSpeeds) {}

  /** Returns a copy for reads, which leave nothing in this table. */
  copy(): RunTimeTable {
    const copy = new RunTimeTable(this.speeds);
    for (const [queueId, model] of this.modelByQueue) {
      copy.modelByQueue.set(queueId, model);
    }
    return copy;
  }

  /** Records the end of a run that did the whole work of its task. */
  recordDone(run: Run, now: Instant): void {
    const {unit, plannedAt} = run;
    const isWhole = unit.checkpoint === '' && !run.wasAdopted;
    // The members of a gang end together and count once.
    if (!isWhole || run.taskIndex !== unit.firstIndex) return;
    const {queueId} = unit.job;
    const samples = this.samplesByQueue.get(queueId) ?? [];
    samples.push({
      estimatedMs: Math.max(1, unit.step.estimatedMs),
      actualMs: Math.max(1, (now - plannedAt) / this.slowestFactorOf(run)),
    });
    if (samples.length > SAMPLES) samples.shift();
    this.samplesByQueue.set(queueId, samples);
    if (samples.length < MINIMUM_SAMPLES) return;
    this.modelByQueue.set(queueId, createModel(samples));
  }

  /** Returns how long a run of the step usually takes, in milliseconds. */
  expectedMs({queueId}: Job, {estimatedMs}: Step): number {
    const model = this.modelByQueue.get(queueId);
    if (model === undefined) return estimatedMs;
    return model.usesEstimate
      ? model.median * Math.max(1, estimatedMs)
      : model.median;
  }

  /** Returns when the run is expected to end, from its progress if known. */
  expectedEnd(run: Run, now: Instant): Instant {
    const {unit} = run;
    if (run.step.longRunning === true) return instant(Infinity);
    if (run.phase === 'stopping') return instant(now + STOP_MS);
    if (this.speeds === undefined || unit.taskCount === 1) {
      return this.expectedEndAlone(run, now);
    }
    let end = this.gangEnds.get(unit);
    if (end === undefined || end.now !== now) {
      const ends = unit.runs.map((each) => this.expectedEndAlone(each, now));
      end = {at: instant(Math.max(now, ...ends)), now};
      this.gangEnds.set(unit, end);
    }
    return end.at;
  }

  private expectedEndAlone(run: Run, now: Instant): Instant {
    const {unit, progressPercent} = run;
    const ranMs = Math.max(0, now - run.plannedAt);
    const remainingMs =
      progressPercent >= RELIABLE_PROGRESS_PERCENT && !run.wasAdopted
        ? (ranMs * (100 - progressPercent)) / progressPercent
        : this.expectedMs(unit.job, unit.step) * this.factorOf(run) - ranMs;
    return instant(now + Math.max(MINIMUM_REMAINING_MS, remainingMs));
  }

  private factorOf(run: Run): number {
    return this.speeds?.speedOf(run).factor ?? 1;
  }

  /** The members of a gang end with the slowest of them. */
  private slowestFactorOf(run: Run): number {
    return this.speeds?.slowestFactorOf(run.members) ?? 1;
  }
}

function createModel(samples: readonly Sample[]): QueueModel {
  const actual = sorted(samples.map(({actualMs}) => actualMs));
  const ratios = sorted(
    samples.map(({actualMs, estimatedMs}) => actualMs / estimatedMs),
  );
  const usesEstimate = relativeSpread(ratios) < relativeSpread(actual);
  const values = usesEstimate ? ratios : actual;
  return {
    usesEstimate,
    median: quantile(values, 0.5),
  };
}

function sorted(values: readonly number[]): number[] {
  return [...values].sort((a, b) => a - b);
}

/** Ratio between the upper and the lower quartile of sorted values. */
function relativeSpread(values: readonly number[]): number {
  return quantile(values, 0.75) / quantile(values, 0.25);
}

function quantile(values: readonly number[], share: number): number {
  return values[Math.floor((values.length - 1) * share)] ?? 0;
}
