/**
 * The state of accepted jobs. A unit is started and counted as a whole: a
 * single task, or all tasks of a gang. Every change that has to outlive the
 * leader marks its job as changed, and the commit queue writes the record.
 */

import type {SteadyTime} from '../lifecycle/clock.js';
import {steadyTime} from '../lifecycle/clock.js';
import type {
  CustomerId,
  Instant,
  JobId,
  QueueId,
  ServiceId,
  VmId,
  WorkerId,
} from '../model/ids.js';
import {instant} from '../model/ids.js';
import type {JobStateName, Step, Submission} from '../model/submissions.js';
import {isEnded, isTooLarge, taskName} from '../model/submissions.js';
import type {RunEnding, RunningTask} from '../interfaces/task_worker.js';
import {AvoidedWorkers, avoidanceMs} from './avoided_workers.js';
import {CrashHistory} from './crash_history.js';
import type {OpenUnitRecord, ProgressRecord, WorkerLoss} from './records.js';

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

/** Delay before a failed task is retried, multiplied by its failure count. */
const RETRY_DELAY_MS = 100;

/** A long-running task may fail without limit and should always run. */
const MAXIMUM_RETRY_DELAY_MS = 1_000;

/** Progress of a finished task, or of a long-running task at full work. */
const COMPLETE_PERCENT = 100;

/** A run without a crash for this long shows that its task can run. */
export const PROVEN_AFTER_MS = 1_000;

/** A long-running task that has run for longer does not crash its workers. */
const CRASH_PROBATION_MS = 60_000;

export const FULL_PACE_PERCENT = 100;

/**
 * Pace of a run that an earlier leader or an order without an answer may have
 * changed. It is above full pace, so that the next list leads to a new order.
 */
export const UNKNOWN_PACE_PERCENT = 101;

/** One run of one task on one incarnation of a worker. */
export class Run {
  phase: RunPhase = 'planned';
  progressPercent = 0;
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
  /** An earlier leader placed the run. */
  wasAdopted = false;
  /** When the run was first known to be on its worker, to any leader. */
  confirmedAt: Instant | undefined;
  /** The record tells since when the run is at work. */
  isStartRecorded = false;
  /** The run was placed on a worker that other units must not use. */
  isIsolated = false;

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
  ) {}

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

  /** True if this leader knows that the run has been at work. */
  get wasSeenAtWork(): boolean {
    // A run that only an earlier leader has seen may have ended since then.
    if (this.wasAdopted) return this.listedAt !== undefined;
    return this.confirmedAt !== undefined;
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

export class Unit {
  isDone = false;
  failures = 0;
  lastRun = 0;
  checkpoint = '';
  readonly runs: Run[] = [];
  readonly avoidedWorkers: AvoidedWorkers;
  /** Earliest time of the next run after a failure. */
  retryAt: Instant = instant(0);
  /** When the unit became ready to start. */
  readySince: Instant | undefined;
  /** Highest run number with a counted failure; a gang fails once per run. */
  failedRun = 0;
  /** The unit was rejected or made no progress before. */
  private hadTrouble = false;
  readonly crashes = new CrashHistory();

  constructor(
    readonly job: Job,
    readonly occurrence: number,
    readonly stepIndex: number,
    readonly step: Step,
    /** Index of the unit's first task within the step. */
    readonly firstIndex: number,
    /** Number of tasks in the unit. */
    readonly taskCount: number,
  ) {
    this.avoidedWorkers = new AvoidedWorkers(
      avoidanceMs(step.longRunning === true),
    );
  }

  /** Numbers grow with the term, so they never clash with earlier leaders'. */
  nextRunNumber(term: number): number {
    return Math.max(this.lastRun + 1, (term - 1) * RUNS_PER_TERM + 1);
  }

  /**
   * Avoids a worker on which the unit made no progress or was rejected. Returns
   * false if the unit had such trouble before, as then the workers are probably
   * not the cause; only the latest one is avoided then.
   */
  blameWorker(workerId: WorkerId, now: Instant): boolean {
    const isFirst = !this.hadTrouble;
    this.hadTrouble = true;
    if (!isFirst) this.avoidedWorkers.clear();
    this.avoidedWorkers.add(workerId, now);
    return isFirst;
  }

  countFailure(run: number): boolean {
    if (run <= this.failedRun) return false;
    this.failedRun = run;
    this.failures += 1;
    return true;
  }

  removeRun(run: Run): void {
    const position = this.runs.indexOf(run);
    if (position >= 0) this.runs.splice(position, 1);
  }
}

/** Run numbers reserved per term; more than the retries of a task can use. */
const RUNS_PER_TERM = 1_000;

export class Job {
  state: JobStateName = 'queued';
  endedAt: Instant | undefined;
  isCancelRequested = false;
  /** True if the job has changes that have to be written. */
  isChanged = false;
  /** Revision of the progress record in the store. */
  recordRevision = 0;
  readonly units: Unit[] = [];
  /** A worker has crashed under one of the job's units. */
  hasSuspects = false;
  /** Units that are not done. An ended job keeps only units with runs. */
  readonly openUnits = new Set<Unit>();
  private readonly openUnitCounts = new Map<string, number>();

  constructor(
    readonly submission: Submission,
    readonly acceptedAt: Instant,
  ) {
    if (isTooLarge(submission)) {
      this.end('failed', acceptedAt);
      return;
    }
    const occurrences = Math.max(1, submission.occurrences);
    for (let occurrence = 0; occurrence < occurrences; occurrence += 1) {
      this.addOccurrence(occurrence);
    }
    if (this.openUnits.size === 0) this.end('complete', acceptedAt);
  }

  get id(): JobId {
    return this.submission.jobId;
  }

  get queueId(): QueueId {
    return this.submission.queueId;
  }

  get serviceId(): ServiceId {
    return this.submission.serviceId;
  }

  get customerId(): CustomerId | undefined {
    return this.submission.customerId;
  }

  get isEnded(): boolean {
    return isEnded(this.state);
  }

  get hasRuns(): boolean {
    for (const unit of this.openUnits) if (unit.runs.length > 0) return true;
    return false;
  }

  get isScheduled(): boolean {
    return this.submission.occurrences > 0;
  }

  get hasStarted(): boolean {
    return this.state !== 'queued';
  }

  dueAt(occurrence: number): Instant {
    const {occurrences, firstDueAt, intervalMs} = this.submission;
    if (occurrences === 0) return this.acceptedAt;
    return instant(firstDueAt + occurrence * intervalMs);
  }

  /** True if the preceding steps are done and the unit is due. */
  isReady(unit: Unit, now: Instant): boolean {
    if (this.isEnded || unit.isDone || unit.runs.length > 0) return false;
    if (now < unit.retryAt) return false;
    if (this.isScheduled && now < this.dueAt(unit.occurrence)) return false;
    return unit.step.after.every(
      (step) => this.openUnitCount(unit.occurrence, step) === 0,
    );
  }

  markDone(unit: Unit, now: Instant): void {
    if (unit.isDone) return;
    unit.isDone = true;
    const key = stepKey(unit.occurrence, unit.stepIndex);
    const open = (this.openUnitCounts.get(key) ?? 1) - 1;
    this.openUnitCounts.set(key, open);
    if (unit.runs.length === 0) this.openUnits.delete(unit);
    this.isChanged = true;
    const remaining = [...this.openUnitCounts.values()].some(
      (count) => count > 0,
    );
    if (!remaining) this.end('complete', now);
  }

  /** Ends the job. Has no effect on a job that has ended. */
  end(state: 'complete' | 'failed' | 'cancelled', now: Instant): void {
    if (this.isEnded) return;
    this.state = state;
    this.endedAt = now;
    this.isChanged = true;
    for (const unit of this.openUnits) {
      if (unit.runs.length === 0) this.openUnits.delete(unit);
    }
  }

  /** Removes an ended run; returns true if its end counts as a failure. */
  runEnded(
    run: Run,
    ending: RunEnding | 'lost',
    checkpoint: string,
    maximumAttempts: number,
    now: Instant,
  ): boolean {
    const {unit} = run;
    unit.removeRun(run);
    this.isChanged = true;
    if (checkpoint !== '') unit.checkpoint = checkpoint;
    if (ending === 'done' && unit.step.longRunning !== true) {
      this.markDone(unit, now);
    }
    const failed = ending === 'failed' && unit.countFailure(run.runNumber);
    if (failed) {
      unit.avoidedWorkers.add(run.workerId, now);
      const delayMs = RETRY_DELAY_MS * unit.failures;
      unit.retryAt = instant(now + Math.min(delayMs, MAXIMUM_RETRY_DELAY_MS));
      const hasLimit = unit.step.longRunning !== true;
      if (hasLimit && !unit.isDone && unit.failures >= maximumAttempts) {
        this.end('failed', now);
      }
    }
    if ((this.isEnded || unit.isDone) && unit.runs.length === 0) {
      this.openUnits.delete(unit);
    }
    return failed;
  }

  /** Removes a unit's runs that were lost with a worker; may end the job. */
  runsLostWithWorker(
    unit: Unit,
    runs: readonly Run[],
    loss: WorkerLoss,
    now: Instant,
  ): void {
    for (const run of runs) {
      this.runEnded(run, 'lost', run.checkpoint, Infinity, now);
    }
    if (this.isEnded || unit.isDone) return;
    if (runs.some(({isOnCrashProbation}) => isOnCrashProbation)) {
      unit.crashes.record(loss);
    } else {
      unit.crashes.clear();
    }
    this.endIfOverCrashLimit(unit, now);
  }

  /** Fails the job if a task of the unit was lost with too many workers. */
  endIfOverCrashLimit(unit: Unit, now: Instant): void {
    if (unit.crashes.isSuspect) this.hasSuspects = true;
    if (unit.crashes.isOverLimit) this.end('failed', now);
  }

  toRecord(): ProgressRecord {
    const open: OpenUnitRecord[] = [];
    const done = new Map<string, ProgressRecord['done'][number]>();
    for (const unit of this.units) {
      if (unit.isDone && !this.isEnded) {
        const {occurrence, stepIndex} = unit;
        const key = stepKey(occurrence, stepIndex);
        const entry = done.get(key) ?? {
          occurrence,
          step: stepIndex,
          firstIndexes: [],
        };
        entry.firstIndexes.push(unit.firstIndex);
        done.set(key, entry);
      }
      const hasProgress = unit.lastRun > 0 && !unit.isDone && !this.isEnded;
      if (hasProgress || unit.runs.length > 0) open.push(unitRecord(unit));
    }
    return {
      state: this.state,
      ...(this.endedAt === undefined ? {} : {endedAt: this.endedAt}),
      done: [...done.values()],
      open,
    };
  }

  /** Restores the record of an earlier leader; returns the placed runs. */
  restore(record: ProgressRecord, now: Instant): Run[] {
    const placed: Run[] = [];
    for (const {occurrence, step, firstIndexes} of record.done) {
      const indexes = new Set(firstIndexes);
      for (const unit of this.unitsOfStep(occurrence, step)) {
        if (indexes.has(unit.firstIndex)) this.markDone(unit, now);
      }
    }
    for (const saved of record.open) {
      const unit = this.unitsOfStep(saved.occurrence, saved.step).find(
        ({firstIndex}) => firstIndex === saved.firstIndex,
      );
      if (unit !== undefined) {
        placed.push(...this.restoreUnit(unit, saved, now));
      }
    }
    if (isEnded(record.state)) {
      this.state = record.state;
      this.endedAt = instant(record.endedAt ?? now);
      for (const unit of this.openUnits) {
        if (unit.runs.length === 0) this.openUnits.delete(unit);
      }
    } else {
      this.state = record.state;
    }
    this.isChanged = false;
    return placed;
  }

  private restoreUnit(unit: Unit, saved: OpenUnitRecord, now: Instant): Run[] {
    unit.failures = saved.failures;
    unit.lastRun = saved.lastRun;
    unit.failedRun = saved.failedRun;
    unit.checkpoint = saved.checkpoint;
    unit.crashes.restore(saved.losses ?? []);
    if (unit.crashes.isSuspect) this.hasSuspects = true;
    this.openUnits.add(unit);
    const runs = saved.placements.map(
      ({index, workerId, life: incarnation, vmId, startedAt}) => {
        const {lastRun} = saved;
        const run = new Run(
          unit,
          index,
          lastRun,
          workerId,
          incarnation,
          now,
          vmId,
        );
        if (startedAt !== undefined) {
          // The time of day of an earlier leader may be ahead.
          run.confirmedAt = instant(Math.min(startedAt, now));
          run.isStartRecorded = true;
        }
        return run;
      },
    );
    for (const run of runs) {
      run.phase = 'ordered';
      run.wasStartSent = true;
      run.wasAdopted = true;
      run.pacePercent = UNKNOWN_PACE_PERCENT;
      // The new term voids earlier leaders' orders, so any list is decisive.
      run.presenceDecidedAt = steadyTime(0);
      unit.runs.push(run);
    }
    return runs;
  }

  private addOccurrence(occurrence: number): void {
    this.submission.steps.forEach((step, stepIndex) => {
      const width = step.gang === true ? step.taskCount : 1;
      let first = 0;
      for (; first + width <= step.taskCount && width > 0; first += width) {
        const unit = new Unit(this, occurrence, stepIndex, step, first, width);
        this.units.push(unit);
        this.openUnits.add(unit);
      }
      const count = width > 0 ? first / width : 0;
      this.openUnitCounts.set(stepKey(occurrence, stepIndex), count);
    });
  }

  private openUnitCount(occurrence: number, stepIndex: number): number {
    return this.openUnitCounts.get(stepKey(occurrence, stepIndex)) ?? 0;
  }

  private unitsOfStep(occurrence: number, stepIndex: number): Unit[] {
    return this.units.filter(
      (unit) => unit.occurrence === occurrence && unit.stepIndex === stepIndex,
    );
  }
}

function stepKey(occurrence: number, stepIndex: number): string {
  return `${occurrence}.${stepIndex}`;
}

function unitRecord(unit: Unit): OpenUnitRecord {
  const losses = unit.crashes.toRecord();
  return {
    occurrence: unit.occurrence,
    step: unit.stepIndex,
    firstIndex: unit.firstIndex,
    failures: unit.failures,
    lastRun: unit.lastRun,
    failedRun: unit.failedRun,
    checkpoint: unit.checkpoint,
    placements: unit.runs.map(
      ({taskIndex: index, workerId, incarnation, vmId, confirmedAt}) => ({
        index,
        workerId,
        life: incarnation,
        ...(vmId === undefined ? {} : {vmId}),
        ...(unit.step.longRunning === true && confirmedAt !== undefined
          ? {startedAt: confirmedAt}
          : {}),
      }),
    ),
    ...(losses.length === 0 ? {} : {losses: [...losses]}),
  };
}
