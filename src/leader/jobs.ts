/**
 * The state of accepted jobs. A unit is what is started and counted as one: a
 * single task, or all tasks of a gang. Every change that has to survive the
 * leader marks its job as changed; the commit queue writes the record.
 */

import type {SteadyTime} from '../lifecycle/clock.js';
import {steadyTime} from '../lifecycle/clock.js';
import type {
  CustomerId,
  Instant,
  JobId,
  QueueId,
  ServiceId,
  WorkerId,
} from '../model/ids.js';
import {instant} from '../model/ids.js';
import type {JobStateName, Step, Submission} from '../model/submissions.js';
import {isEnded, taskName} from '../model/submissions.js';
import type {RunEnding, RunningTask} from '../parties/task_worker.js';
import type {OpenUnitRecord, ProgressRecord} from './records.js';

/** A caller may submit a schedule of any length; later ones are not kept. */
const MAXIMUM_OCCURRENCES = 1_000;

/**
 * - `planned`: its placement is not durable yet, nothing was sent;
 * - `ordered`: the start was sent and is not confirmed;
 * - `running`: the worker confirmed it;
 * - `stopping`: a stop was sent; it counts until its end is listed.
 */
export type RunPhase = 'planned' | 'ordered' | 'running' | 'stopping';

/** A look waits 0.8 s; a longer gap between lists counts as this much. */
const LONGEST_COUNTED_GAP_MS = 1_000;

/** Shown of a task that has done its work, or that lasts and is at work. */
const WORKED_PERCENT = 100;

export const FULL_PACE_PERCENT = 100;

/**
 * Of a run whose speed an earlier leader or an order without an answer may
 * have set. Above full, so that the next list leads to a definite order.
 */
export const NO_PACE_KNOWN = 101;

/** One run of one task on one life of a worker. */
export class Run {
  phase: RunPhase = 'planned';
  percent = 0;
  /** Time over which lists showed no progress, in milliseconds. */
  stillMs = 0;
  /** When a list last named the run. */
  private listedAt: Instant | undefined;
  checkpoint = '';
  /** Tail of a serving task's response times, in milliseconds. */
  responseTailMs: number | undefined;
  /** Since when lists show the run at full work; for steps that last. */
  atWorkSince: Instant | undefined;
  /** Share of full speed that the worker was told, 0 to 100. */
  pacePercent = FULL_PACE_PERCENT;
  /**
   * When an answer decided whether the run is on its worker. A list that was
   * asked for later and does not name the run shows that it is gone.
   */
  settledAt: SteadyTime | undefined;
  /** False as long as no attempt to start it can have reached its worker. */
  wasSent = false;
  /** An attempt to start it got no answer and may be carried out later. */
  mayArriveLate = false;

  constructor(
    readonly unit: Unit,
    readonly index: number,
    readonly run: number,
    readonly workerId: WorkerId,
    readonly life: number,
    readonly plannedAt: Instant,
  ) {}

  /** Takes what a list says of the run. */
  listed(
    {percent, checkpoint, recentMetric: recentFigure}: RunningTask,
    now: Instant,
  ): void {
    const sinceMs = now - (this.listedAt ?? now);
    // Time without lists, as while the leader was not certain, tells nothing.
    const countedMs = Math.min(sinceMs, LONGEST_COUNTED_GAP_MS);
    // A member of a gang that has done its work waits for the others.
    const isStill = percent === this.percent && percent < WORKED_PERCENT;
    this.stillMs = isStill ? this.stillMs + countedMs : 0;
    this.percent = percent;
    this.checkpoint = checkpoint;
    this.listedAt = now;
    if (this.step.responseTargetMs !== undefined) {
      this.responseTailMs = recentFigure;
    }
    if (percent < WORKED_PERCENT) this.atWorkSince = undefined;
    else this.atWorkSince ??= now;
  }

  get task(): string {
    const {job, occurrence, stepIndex} = this.unit;
    return taskName(job.id, occurrence, stepIndex, this.index);
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
  /** Workers on which a run of the unit failed or stood still. */
  readonly avoided = new Set<WorkerId>();
  /** Not started before, after a failure. */
  retryAt: Instant = instant(0);
  /** When the unit could first be started. */
  readySince: Instant | undefined;
  /** Highest run whose failure was counted; a gang fails once per run. */
  failedRun = 0;

  constructor(
    readonly job: Job,
    readonly occurrence: number,
    readonly stepIndex: number,
    readonly step: Step,
    /** Index of its first task. */
    readonly firstIndex: number,
    /** Number of its tasks. */
    readonly width: number,
  ) {}

  /** Numbers rise with the term, so that no run of an earlier leader is met. */
  nextRun(term: number): number {
    return Math.max(this.lastRun + 1, (term - 1) * RUNS_PER_TERM + 1);
  }

  /** The unit is placed elsewhere; the oldest of many workers is forgotten. */
  avoid(workerId: WorkerId): void {
    this.avoided.add(workerId);
    if (this.avoided.size <= MOST_AVOIDED_WORKERS) return;
    const [oldest] = this.avoided;
    if (oldest !== undefined) this.avoided.delete(oldest);
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

/** A task that lasts fails any number of times and must find a worker. */
const MOST_AVOIDED_WORKERS = 4;

/** More runs of one task in one term than retries can use up. */
const RUNS_PER_TERM = 1_000;

export class Job {
  state: JobStateName = 'queued';
  endedAt: Instant | undefined;
  isCancelRequested = false;
  /** Set by changes that have to be written. */
  isChanged = false;
  /** Revision of the progress record in the store. */
  recordRevision = 0;
  readonly units: Unit[] = [];
  /** Units that are not done; ended jobs keep those with runs. */
  readonly openUnits = new Set<Unit>();
  private readonly openCounts = new Map<string, number>();

  constructor(
    readonly submission: Submission,
    readonly acceptedAt: Instant,
  ) {
    const occurrences = Math.min(
      Math.max(1, submission.occurrences),
      MAXIMUM_OCCURRENCES,
    );
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

  get hasBegun(): boolean {
    return this.state !== 'queued';
  }

  dueAt(occurrence: number): Instant {
    const {occurrences, firstDueAt, intervalMs} = this.submission;
    if (occurrences === 0) return this.acceptedAt;
    return instant(firstDueAt + occurrence * intervalMs);
  }

  /** True if the steps before the unit's are done and its time has come. */
  isReady(unit: Unit, now: Instant): boolean {
    if (this.isEnded || unit.isDone || unit.runs.length > 0) return false;
    if (now < unit.retryAt) return false;
    if (this.isScheduled && now < this.dueAt(unit.occurrence)) return false;
    return unit.step.after.every(
      (step) => this.openIn(unit.occurrence, step) === 0,
    );
  }

  markDone(unit: Unit, now: Instant): void {
    if (unit.isDone) return;
    unit.isDone = true;
    const key = stepKey(unit.occurrence, unit.stepIndex);
    const open = (this.openCounts.get(key) ?? 1) - 1;
    this.openCounts.set(key, open);
    if (unit.runs.length === 0) this.openUnits.delete(unit);
    this.isChanged = true;
    const remaining = [...this.openCounts.values()].some((count) => count > 0);
    if (!remaining) this.end('complete', now);
  }

  /** Ends the job unless it has ended; the first end stands. */
  end(state: 'complete' | 'failed' | 'cancelled', now: Instant): void {
    if (this.isEnded) return;
    this.state = state;
    this.endedAt = now;
    this.isChanged = true;
    for (const unit of this.openUnits) {
      if (unit.runs.length === 0) this.openUnits.delete(unit);
    }
  }

  /** Takes an ended run off and returns true if the end was a failure. */
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
    const failed = ending === 'failed' && unit.countFailure(run.run);
    if (failed) {
      unit.avoid(run.workerId);
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

  record(): ProgressRecord {
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

  /** Takes over what an earlier leader recorded; returns the runs placed. */
  restore(record: ProgressRecord, now: Instant): Run[] {
    const placed: Run[] = [];
    for (const {occurrence, step, firstIndexes} of record.done) {
      const indexes = new Set(firstIndexes);
      for (const unit of this.unitsOf(occurrence, step)) {
        if (indexes.has(unit.firstIndex)) this.markDone(unit, now);
      }
    }
    for (const saved of record.open) {
      const unit = this.unitsOf(saved.occurrence, saved.step).find(
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
    this.openUnits.add(unit);
    const runs = saved.placements.map(
      ({index, workerId, life}) =>
        new Run(unit, index, saved.lastRun, workerId, life, now),
    );
    for (const run of runs) {
      run.phase = 'ordered';
      run.wasSent = true;
      run.pacePercent = NO_PACE_KNOWN;
      // The term voids orders of earlier leaders, so that any list decides.
      run.settledAt = steadyTime(0);
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
      this.openCounts.set(stepKey(occurrence, stepIndex), count);
    });
  }

  private openIn(occurrence: number, stepIndex: number): number {
    return this.openCounts.get(stepKey(occurrence, stepIndex)) ?? 0;
  }

  private unitsOf(occurrence: number, stepIndex: number): Unit[] {
    return this.units.filter(
      (unit) => unit.occurrence === occurrence && unit.stepIndex === stepIndex,
    );
  }
}

function stepKey(occurrence: number, stepIndex: number): string {
  return `${occurrence}.${stepIndex}`;
}

function unitRecord(unit: Unit): OpenUnitRecord {
  return {
    occurrence: unit.occurrence,
    step: unit.stepIndex,
    firstIndex: unit.firstIndex,
    failures: unit.failures,
    lastRun: unit.lastRun,
    failedRun: unit.failedRun,
    checkpoint: unit.checkpoint,
    placements: unit.runs.map(({index, workerId, life}) => ({
      index,
      workerId,
      life,
    })),
  };
}
