/**
 * Expected run times. Callers' estimates may be several times too long or too
 * short, while the tasks of one queue are alike, so the median of the queue's
 * last finished tasks is used as soon as there are a few of them.
 */

import type {Instant, QueueId} from '../model/ids.js';
import {instant} from '../model/ids.js';
import type {Step} from '../model/submissions.js';
import type {Job, Run} from './jobs.js';

/** Finished tasks of a queue that are remembered. */
const SAMPLES = 25;

/** Time until a run that is being stopped has ended. */
const STOP_MS = 150;

/** A run that is overdue ends soon, but not at once. */
const MINIMUM_REMAINING_MS = 100;

/** Less progress says little about the time that remains. */
const RELIABLE_PROGRESS_PERCENT = 15;

/** With fewer samples the caller's estimate is used. */
const MINIMUM_SAMPLES = 5;

export class RunTimeTable {
  private readonly samplesByQueue = new Map<QueueId, number[]>();
  private readonly medianByQueue = new Map<QueueId, number>();

  /** Records the end of a run that did the whole work of its task. */
  recordDone(run: Run, now: Instant): void {
    const {unit, runNumber, plannedAt} = run;
    const isWhole = unit.checkpoint === '' && !run.wasAdopted;
    if (!isWhole || unit.lastRecordedRun === runNumber) return;
    // The members of a gang end together and count once.
    unit.lastRecordedRun = runNumber;
    const {queueId} = unit.job;
    const samples = this.samplesByQueue.get(queueId) ?? [];
    samples.push(now - plannedAt);
    if (samples.length > SAMPLES) samples.shift();
    this.samplesByQueue.set(queueId, samples);
    if (samples.length < MINIMUM_SAMPLES) return;
    const sorted = [...samples].sort((a, b) => a - b);
    const median = sorted[Math.floor(sorted.length / 2)];
    if (median !== undefined) this.medianByQueue.set(queueId, median);
  }

  /** Returns how long a run of the step is expected to take. */
  expectedMs(job: Job, step: Step): number {
    return this.medianByQueue.get(job.queueId) ?? step.estimatedMs;
  }

  /** Returns when the run is expected to end, from its progress if known. */
  expectedEnd(run: Run, now: Instant): Instant {
    const {unit, progressPercent} = run;
    if (run.step.longRunning === true) return instant(Infinity);
    if (run.phase === 'stopping') return instant(now + STOP_MS);
    const ranMs = Math.max(0, now - run.plannedAt);
    const remainingMs =
      progressPercent >= RELIABLE_PROGRESS_PERCENT && !run.wasAdopted
        ? (ranMs * (100 - progressPercent)) / progressPercent
        : this.expectedMs(unit.job, unit.step) - ranMs;
    return instant(now + Math.max(MINIMUM_REMAINING_MS, remainingMs));
  }
}
