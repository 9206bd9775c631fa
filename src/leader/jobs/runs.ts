/**
 * Runs of tasks on workers, as the leader knows them from its orders and from
 * the workers' lists.
 */

import type {SteadyTime} from '../../lifecycle/clock.js';
import type {Instant, VmId, WorkerId} from '../../model/ids.js';
import type {Step} from '../../model/submissions.js';
import {taskName} from '../../model/submissions.js';
import type {RunningTask} from '../../interfaces/task_worker.js';
import type {Unit} from './jobs.js';
import type {StopCause} from './lost_work.js';

/**
 * - `planned`: the placement is not durable yet, and nothing was sent;
 * - `ordered`: the start was queued or sent and is not confirmed;
 * - `running`: the worker confirmed the start;
 * - `stopping`: a stop was sent; the run uses capacity until its end is known.
 */
export type RunPhase = 'planned' | 'ordered' | 'running' | 'stopping';

/**
 * A longer gap between two lists of runs counts as this much time without
 * progress. A lease renewal waits 0.8 s.
 */
const MAXIMUM_COUNTED_GAP_MS = 1_000;

/** Progress of a finished task, or of a long-running task at full work. */
const COMPLETE_PERCENT = 100;

/** A run without a crash for this long shows that its task can run. */
export const PROVEN_AFTER_MS = 1_000;

/**
 * A run that was seen at work within this time before the end of its worker was
 * known did not end before. It covers the calls that find the worker gone.
 */
const MAXIMUM_UNSEEN_MS = 150;

/**
 * A run that was not seen at work for this long may have ended. Two lease
 * renewals take 1.6 s.
 */
const MAXIMUM_AVAILABLE_UNSEEN_MS = 2_000;

/** A long-running task that has run for longer does not crash its workers. */
const CRASH_PROBATION_MS = 60_000;

export const FULL_PACE_PERCENT = 100;

/**
 * How fast a run progresses, by the clock of its worker, so that late answers
 * and gaps between lists do not matter.
 */
export class ProgressReadings {
  private first: ProgressReading | undefined;
  private last: ProgressReading | undefined;

  /** Only readings between the start and the end of the work are of use. */
  add(percent: number, clockMs: number): void {
    if (percent <= 0 || percent >= COMPLETE_PERCENT) return;
    const reading = {percent, clockMs};
    if (percent < (this.last?.percent ?? Infinity)) this.first = reading;
    this.last = reading;
  }

  /** Progress between the readings. */
  get spanPercent(): number {
    return (this.last?.percent ?? 0) - (this.first?.percent ?? 0);
  }

  get msPerPercent(): number | undefined {
    const {first, last} = this;
    if (first === undefined || last === undefined) return undefined;
    const elapsedMs = last.clockMs - first.clockMs;
    if (last.percent <= first.percent || elapsedMs <= 0) return undefined;
    return elapsedMs / (last.percent - first.percent);
  }
}

interface ProgressReading {
  readonly percent: number;
  /** Milliseconds on the worker's clock. */
  readonly clockMs: number;
}

/**
 * Pace of a run that an earlier leader or an order without an answer may have
 * changed. It is above full pace, so that the next list leads to a new order.
 */
export const UNKNOWN_PACE_PERCENT = 101;

/** One run of one task on one incarnation of a worker. */
export class Run {
  phase: RunPhase = 'planned';
  progressPercent = 0;
  readonly progress = new ProgressReadings();
  /** Time without progress in the lists of runs, in milliseconds. */
  stalledMs = 0;
  /** When the run was last in a list. */
  private listedAt: Instant | undefined;
  checkpoint = '';
  /** Tail latency of a serving task's responses, in milliseconds. */
  responseTailMs: number | undefined;
  /** Since when lists show the run at full work; for long-running steps. */
  fullyActiveSince: Instant | undefined;
  /** Last ordered percentage of full speed, or `UNKNOWN_PACE_PERCENT`. */
  pacePercent = FULL_PACE_PERCENT;
  /**
   * When an answer decided whether the run is on its worker. If a list that was
   * requested later does not contain the run, the run is lost.
   */
  presenceDecidedAt: SteadyTime | undefined;
  /** False while no start of the run can have reached its worker. */
  wasStartSent = false;
  /** When this leader first sent the start. */
  firstSentAt: Instant | undefined;
  /** A start got no answer and may still be carried out. */
  mayStartLate = false;
  /** Its worker listed its end, so that it had started. */
  isEndListed = false;
  /** An earlier leader placed the run. */
  wasAdopted = false;
  /** When the run was first known to be on its worker, to any leader. */
  confirmedAt: Instant | undefined;
  /** When the last call was sent whose answer showed the run at work. */
  atWorkAt: Instant | undefined;
  /** The record tells since when the run is at work. */
  isStartRecorded = false;
  /** Why this leader stops the run, if not for another member's end. */
  stopCause: StopCause | undefined;
  /** The run was placed on a worker that other units must not use. */
  isIsolated = false;
  /** All members of the run, also those that have ended; of a gang. */
  members: readonly Run[] = [this];
  /** The run resumes from a checkpoint. */
  readonly isRestored: boolean;
  /** Time before its end was read in which its worker was not asked. */
  unobservedMs = 0;

  constructor(
    readonly unit: Unit,
    readonly taskIndex: number,
    readonly runNumber: number,
    readonly workerId: WorkerId,
    /** The worker's latest incarnation that the run is known to be on. */
    public incarnation: number,
    readonly plannedAt: Instant,
    /** VM of the worker, if it is known. */
    readonly vmId?: VmId | undefined,
  ) {
    this.isRestored = unit.checkpoint !== '';
  }

  /** Updates the run from its entry in the worker's list of runs. */
  updateFromList(
    {percent, checkpoint, recentMetric}: RunningTask,
    now: Instant,
  ): void {
    const sinceMs = now - (this.listedAt ?? now);
    // A time without lists, such as uncertain leadership, is not a stall.
    const countedMs = Math.min(sinceMs, MAXIMUM_COUNTED_GAP_MS);
    // A gang member that has finished its work waits for the others.
    const isUnchanged =
      percent === this.progressPercent && percent < COMPLETE_PERCENT;
    this.stalledMs = isUnchanged ? this.stalledMs + countedMs : 0;
    this.progressPercent = percent;
    this.checkpoint = checkpoint;
    this.listedAt = now;
    if (this.step.responseTargetMs !== undefined) {
      this.responseTailMs = recentMetric;
    }
    if (percent < COMPLETE_PERCENT) this.fullyActiveSince = undefined;
    else this.fullyActiveSince ??= now;
  }

  /** False once the run has outlived any crash that it would have caused. */
  get isOnCrashProbation(): boolean {
    if (this.step.longRunning !== true) return true;
    return this.seenForMs < CRASH_PROBATION_MS;
  }

  /** True if the run is known to have been at full work for `sinceMs`. */
  isAvailable(sinceMs: number, now: Instant): boolean {
    const {phase, fullyActiveSince, atWorkAt} = this;
    if (phase !== 'running' || fullyActiveSince === undefined) return false;
    const unseenMs = now - (atWorkAt ?? -Infinity);
    return (
      now - fullyActiveSince >= sinceMs &&
      unseenMs <= MAXIMUM_AVAILABLE_UNSEEN_MS
    );
  }

  /** True if this leader knows that the run has been at work. */
  get wasSeenAtWork(): boolean {
    // A run that only an earlier leader has seen may have ended since then.
    if (this.wasAdopted) return this.listedAt !== undefined;
    return this.confirmedAt !== undefined;
  }

  /** False if it never started, or was at work long enough to prove itself. */
  get countsAsStart(): boolean {
    const mayHaveStarted =
      this.wasAdopted ||
      this.mayStartLate ||
      this.isEndListed ||
      this.confirmedAt !== undefined;
    return mayHaveStarted && this.seenForMs < PROVEN_AFTER_MS;
  }

  /** True if the run is known to have been at work until its worker ended. */
  wasAtWorkUntil(endedBefore: Instant | undefined): boolean {
    const {atWorkAt, phase, unit, runNumber} = this;
    if (atWorkAt === undefined || endedBefore === undefined) return false;
    // The members of a broken gang are stopped after they have ended.
    const mayHaveBeenStopped =
      phase === 'stopping' && unit.brokenRun !== runNumber;
    if (mayHaveBeenStopped || this.mayHaveEndedWithGang) return false;
    const unseenMs = endedBefore - atWorkAt;
    return unseenMs >= 0 && unseenMs <= MAXIMUM_UNSEEN_MS;
  }

  /** False if the members on other workers are known to have ended as broken. */
  private get mayHaveEndedWithGang(): boolean {
    const {unit, runNumber} = this;
    const others = unit.runs.filter((run) => !run.sharesWorkerWith(this));
    return others.length > 0 || unit.endedRun === runNumber;
  }

  private sharesWorkerWith({workerId, incarnation}: Run): boolean {
    return this.workerId === workerId && this.incarnation === incarnation;
  }

  /** True if the run is known to have ended soon after its start. */
  hasEndedEarly(endedBefore: Instant | undefined): boolean {
    const {firstSentAt} = this;
    if (firstSentAt === undefined || endedBefore === undefined) return false;
    const longestMs = endedBefore - firstSentAt;
    // An end before the start is that of another incarnation.
    return longestMs >= 0 && longestMs < PROVEN_AFTER_MS;
  }

  /** How long lists have shown the run since its start was confirmed. */
  get seenForMs(): number {
    const {confirmedAt, listedAt} = this;
    if (confirmedAt === undefined || listedAt === undefined) return 0;
    return listedAt - confirmedAt;
  }

  get task(): string {
    const {job, occurrence, stepIndex} = this.unit;
    return taskName(job.id, occurrence, stepIndex, this.taskIndex);
  }

  get step(): Step {
    return this.unit.step;
  }
}
