/**
 * The state of accepted jobs. A unit is started and counted as a whole: a
 * single task, or all tasks of a gang. Every change that has to outlive the
 * leader marks its job as changed, and the commit queue writes the record.
 */

import {steadyTime} from '../../lifecycle/clock.js';
import type {
  CustomerId,
  Instant,
  JobId,
  QueueId,
  ServiceId,
  WorkerId,
} from '../../model/ids.js';
import {instant} from '../../model/ids.js';
import type {JobStateName, Step, Submission} from '../../model/submissions.js';
import {isEnded, isTooLarge} from '../../model/submissions.js';
import type {RunEnding} from '../../interfaces/task_worker.js';
import {AvoidedWorkers, avoidanceMs} from './avoided_workers.js';
import {CrashHistory} from '../losses/crash_history.js';
import {LossTable, lossesOf} from './loss_records.js';
import type {OpenUnitRecord, ProgressRecord, WorkerLoss} from './records.js';
import {Run, UNKNOWN_PACE_PERCENT} from './runs.js';
import {StepProgress} from './step_progress.js';

/** Delay before a failed task is retried, multiplied by its failure count. */
const RETRY_DELAY_MS = 100;

/** A long-running task may fail without limit and should always run. */
const MAXIMUM_RETRY_DELAY_MS = 1_000;

/** Why a unit cannot start at present, by its own state. */
export type UnitObstacle =
  | 'jobEnded'
  | 'done'
  | 'hasRuns'
  /** It failed, and the delay before its next run has not passed. */
  | 'retryDelay'
  /** Its occurrence is not due yet. */
  | 'notDue'
  | 'earlierSteps';

export class Unit {
  isDone = false;
  failures = 0;
  lastRun = 0;
  checkpoint = '';
  runs: Run[] = [];
  readonly avoidedWorkers: AvoidedWorkers;
  /** Earliest time of the next run after a failure. */
  retryAt: Instant = instant(0);
  /** How often this leader stopped the unit for other work. */
  preemptions = 0;
  /** When the unit became ready to start. */
  readySince: Instant | undefined;
  /** Highest run number with a counted failure; a gang fails once per run. */
  failedRun = 0;
  /** Number of the last run that broke without an order to stop; of a gang. */
  brokenRun = 0;
  /** Number of the last run with a member that ended otherwise; of a gang. */
  endedRun = 0;
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

  addRuns(runs: readonly Run[]): void {
    // Unlike after `push`, the array has no room for more elements.
    this.runs = this.runs.concat(runs);
  }

  removeRun(run: Run): void {
    const position = this.runs.indexOf(run);
    if (position >= 0) this.runs.splice(position, 1);
  }
}

/** Run numbers reserved per term; more than the retries of a task can use. */
export const RUNS_PER_TERM = 1_000;

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
  private progress: StepProgress;

  private currentSubmission: Submission;
  /** Units that were done when the job was archived. */
  private archivedDoneCount = 0;

  constructor(
    submission: Submission,
    readonly acceptedAt: Instant,
  ) {
    this.currentSubmission = submission;
    this.progress = new StepProgress(submission.steps);
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

  /** Without its content once the job is archived. */
  get submission(): Submission {
    return this.currentSubmission;
  }

  get doneUnitCount(): number {
    return (
      this.archivedDoneCount + this.units.filter(({isDone}) => isDone).length
    );
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
    return this.obstacleTo(unit, now) === undefined;
  }

  /** Returns the first reason for which the unit is not ready. */
  obstacleTo(unit: Unit, now: Instant): UnitObstacle | undefined {
    if (this.isEnded) return 'jobEnded';
    if (unit.isDone) return 'done';
    if (unit.runs.length > 0) return 'hasRuns';
    if (now < unit.retryAt) return 'retryDelay';
    if (this.isScheduled && now < this.dueAt(unit.occurrence)) return 'notDue';
    return this.progress.isWaiting(unit.occurrence, unit.stepIndex)
      ? 'earlierSteps'
      : undefined;
  }

  markDone(unit: Unit, now: Instant): void {
    if (unit.isDone) return;
    unit.isDone = true;
    this.progress.unitDone(unit.occurrence, unit.stepIndex);
    if (unit.runs.length === 0) this.openUnits.delete(unit);
    this.isChanged = true;
    if (this.progress.isComplete) this.end('complete', now);
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

  /** Drops the content of an ended job without runs, to save memory. */
  archive(): void {
    this.archivedDoneCount = this.doneUnitCount;
    this.units.length = 0;
    this.progress = new StepProgress([]);
    this.currentSubmission = archivedSubmission(this.currentSubmission);
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
    const wasStopping = unit.runs.some(({phase}) => phase === 'stopping');
    unit.removeRun(run);
    this.isChanged = true;
    if (checkpoint !== '') unit.checkpoint = checkpoint;
    if (!run.isOnCrashProbation) unit.crashes.clear();
    if (ending !== 'broken') unit.endedRun = run.runNumber;
    else if (!wasStopping) unit.brokenRun = run.runNumber;
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
    const losses = new LossTable();
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
      if (hasProgress || unit.runs.length > 0) {
        open.push(unitRecord(unit, losses));
      }
    }
    return {
      state: this.state,
      ...(this.endedAt === undefined ? {} : {endedAt: this.endedAt}),
      done: [...done.values()],
      open,
      ...(losses.entries.length === 0
        ? {}
        : {sharedLosses: [...losses.entries]}),
    };
  }

  /** Restores the record of an earlier leader; returns the placed runs. */
  restore(record: ProgressRecord, now: Instant): Run[] {
    const placed: Run[] = [];
    const unitsByStep = this.unitsByStep();
    for (const {occurrence, step, firstIndexes} of record.done) {
      const indexes = new Set(firstIndexes);
      for (const unit of unitsByStep.get(stepKey(occurrence, step)) ?? []) {
        if (indexes.has(unit.firstIndex)) this.markDone(unit, now);
      }
    }
    for (const saved of record.open) {
      const units = unitsByStep.get(stepKey(saved.occurrence, saved.step));
      const unit = units?.find(
        ({firstIndex}) => firstIndex === saved.firstIndex,
      );
      if (unit !== undefined) {
        const losses = lossesOf(saved, record.sharedLosses ?? []);
        unit.crashes.restore(losses, saved.otherStarts ?? []);
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
    }
    unit.addRuns(runs);
    return runs;
  }

  private addOccurrence(occurrence: number): void {
    const unitCounts = this.submission.steps.map((step, stepIndex) => {
      const width = step.gang === true ? step.taskCount : 1;
      let first = 0;
      for (; first + width <= step.taskCount && width > 0; first += width) {
        const unit = new Unit(this, occurrence, stepIndex, step, first, width);
        this.units.push(unit);
        this.openUnits.add(unit);
      }
      return width > 0 ? first / width : 0;
    });
    this.progress.addOccurrence(unitCounts);
  }

  private unitsByStep(): ReadonlyMap<string, readonly Unit[]> {
    const byStep = new Map<string, Unit[]>();
    for (const unit of this.units) {
      const key = stepKey(unit.occurrence, unit.stepIndex);
      const units = byStep.get(key);
      if (units === undefined) byStep.set(key, [unit]);
      else units.push(unit);
    }
    return byStep;
  }
}

/** What is kept of the submission of a job that has ended. */
export function archivedSubmission(submission: Submission): Submission {
  return {...submission, specification: '', steps: [], occurrences: 0};
}

function stepKey(occurrence: number, stepIndex: number): string {
  return `${occurrence}.${stepIndex}`;
}

function unitRecord(unit: Unit, losses: LossTable): OpenUnitRecord {
  const lostTasks = unit.crashes.toRecord().map((loss) => losses.refer(loss));
  const {otherStarts} = unit.crashes;
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
    ...(lostTasks.length === 0 ? {} : {lostTasks}),
    ...(otherStarts.length === 0 ? {} : {otherStarts: [...otherStarts]}),
  };
}
