/**
 * Records what the emulated workers and the callers observe, and checks it
 * against the documented guarantees that can be observed there. Each violation
 * becomes one line that begins with the name of the guarantee.
 */

import type {AvailabilityZone} from '../src/model/ids.js';
import type {Submission} from '../src/model/submissions.js';
import {taskName} from '../src/model/submissions.js';
import type {RunEnding, RunName} from '../src/interfaces/task_worker.js';
import type {
  EmulatedWorker,
  TaskBehaviour,
  WorkerObserver,
} from './worker_state.js';

/** A serving task may exceed its target due to interference for this long. */
const INTERFERENCE_BOUND_MS = 4_000;

/** A task whose last run ended this long ago counts as unavailable. */
const UNAVAILABLE_AFTER_MS = 4_500;

/** Documented bound after which a cancelled job must not start a task. */
const CANCELLATION_BOUND_MS = 3_000;

const EVACUATION_BOUND_MS = 5_000;

/** An order that is carried out later than this is exempt from time bounds. */
const LATE_ORDER_MS = 1_000;

interface LedgerTask {
  readonly submission: Submission;
  readonly stepIndex: number;
  readonly occurrence: number;
  readonly behaviour: TaskBehaviour;
  /** Workers on which the task's runs are present, by run number. */
  readonly holdersByRun: Map<number, Set<EmulatedWorker>>;
  isDone: boolean;
  /** Runs that ended as done, by run number. */
  readonly completedRuns: Map<number, CompletedRun>;
  failures: number;
  /** When the last run ended. */
  endedAt?: number;
  /** When an order ended the task; unset once it starts again. */
  stopOrderedAt?: number | undefined;
}

/** Crashes of workers under a task, after which its job may be failed. */
const CRASHES_BEFORE_GIVING_UP = 2;

/** Crashes of workers under a task, after which further starts count. */
const CRASHES_BEFORE_BOUND = 3;

/** Starts after that many crashes that violate the documented bound. */
const STARTS_BEYOND_BOUND = 3;

interface CompletedRun {
  /** The leader has acknowledged the end. */
  isAcknowledged: boolean;
  /** The task was started again after this end. */
  isRepeated: boolean;
}

export interface LedgerCounts {
  readonly starts: number;
  readonly done: number;
  /** Number of runs that ended other than as done. */
  readonly wastedRuns: number;
}

export class Ledger implements WorkerObserver {
  readonly violations: string[] = [];
  /** Describes the crashes of workers, to compare with the daemons' logs. */
  readonly crashes: string[] = [];
  private readonly tasks = new Map<string, LedgerTask>();
  private readonly cancelledAt = new Map<string, number>();
  private readonly overTargetSince = new Map<string, number>();
  private readonly failedRuns = new Map<string, Set<number>>();
  /** Crashes of workers by task that was on them. */
  private readonly crashesByTask = new Map<string, number>();
  /** Starts of the tasks that crash every worker that starts them. */
  private readonly crashingStarts = new Map<string, number>();
  /** Those of them that came after the third crash. */
  private readonly startsAfterCrashes = new Map<string, number>();
  /** When the store acknowledged the evacuation, by zone. */
  private readonly evacuatedAt = new Map<AvailabilityZone, number>();
  private starts = 0;
  private done = 0;
  private wastedRuns = 0;

  /** @param evacuationBoundMs No start follows an evacuation by more. */
  constructor(private readonly evacuationBoundMs = EVACUATION_BOUND_MS) {}

  get counts(): LedgerCounts {
    const {starts, done, wastedRuns} = this;
    return {starts, done, wastedRuns};
  }

  /** Registers a job before its submission, with the behaviour of its tasks. */
  jobSubmitted(
    submission: Submission,
    workMs: number,
    failingTask?: number,
    /** Work of task 0, if it differs from that of the other tasks. */
    firstWorkMs = workMs,
  ): void {
    const occurrences = Math.max(1, submission.occurrences);
    for (let occurrence = 0; occurrence < occurrences; occurrence += 1) {
      submission.steps.forEach((step, stepIndex) => {
        for (let index = 0; index < step.taskCount; index += 1) {
          const name = taskName(submission.jobId, occurrence, stepIndex, index);
          this.tasks.set(name, {
            submission,
            stepIndex,
            occurrence,
            behaviour: {
              workMs: index === 0 ? firstWorkMs : workMs,
              gangWidth: step.gang === true ? step.taskCount : 1,
              checkpoints: step.checkpointing === true,
              // Every member fails: the first one to end ends the whole gang.
              failsAfterWork:
                step.gang === true
                  ? failingTask !== undefined
                  : index === failingTask,
              isLongRunning: step.longRunning === true,
              responseTargetMs: step.responseTargetMs,
              usesSpareProcessor: step.usesSpareProcessor === true,
            },
            holdersByRun: new Map(),
            isDone: false,
            completedRuns: new Map(),
            failures: 0,
          });
        }
      });
    }
  }

  /** Every worker that starts the task crashes. */
  markCrashing(task: string): void {
    this.crashingStarts.set(task, 0);
  }

  startsOfCrashing(task: string): number {
    return this.crashingStarts.get(task) ?? 0;
  }

  /** Called before the runs on a crashing worker end. */
  workerCrashed(worker: EmulatedWorker, at: number): void {
    const {runNames, unacknowledgedEnds, entry} = worker;
    for (const {task} of runNames) {
      this.crashesByTask.set(task, (this.crashesByTask.get(task) ?? 0) + 1);
    }
    const runs = runNames.map(({task, run}) => `${task} run ${run}`);
    const ends = unacknowledgedEnds.map(
      ({task, run, ending}) => `${task} run ${run} ${ending}`,
    );
    this.crashes.push(
      `${new Date(at).toISOString()} ${entry.workerId} incarnation ` +
        `${entry.incarnation} crashes; running: ${runs.join(', ')}; ` +
        `unacknowledged: ${ends.join(', ')}`,
    );
  }

  /** Highest number of crashes of workers under any task of the job. */
  mostCrashes(jobId: string): number {
    let highest = 0;
    for (const [name, {submission}] of this.tasks) {
      if (submission.jobId !== jobId) continue;
      highest = Math.max(highest, this.crashesByTask.get(name) ?? 0);
    }
    return highest;
  }

  /** True if enough workers have crashed under one task of the job. */
  mayBeGivenUp(jobId: string): boolean {
    return this.mostCrashes(jobId) >= CRASHES_BEFORE_GIVING_UP;
  }

  /** True if a task of the job crashes every worker that starts it. */
  hasCrashingTask(jobId: string): boolean {
    return [...this.crashingStarts.keys()].some(
      (task) => this.tasks.get(task)?.submission.jobId === jobId,
    );
  }

  zoneEvacuated(zone: AvailabilityZone, at: number): void {
    this.evacuatedAt.set(zone, this.evacuatedAt.get(zone) ?? at);
  }

  zoneTakenBack(zone: AvailabilityZone): void {
    this.evacuatedAt.delete(zone);
  }

  jobCancelled(jobId: string, at: number): void {
    this.cancelledAt.set(jobId, at);
  }

  /** True if every task of the job has ended as done. */
  isJobDone(jobId: string): boolean {
    for (const task of this.tasks.values()) {
      if (task.submission.jobId === jobId && !task.isDone) return false;
    }
    return true;
  }

  /** Highest number of failed runs of any task, or gang, of the job. */
  mostFailures(jobId: string): number {
    let highest = 0;
    for (const {submission, failures} of this.tasks.values()) {
      if (submission.jobId === jobId) highest = Math.max(highest, failures);
    }
    return highest;
  }

  /** Run numbers under which tasks of the job were started, ascending. */
  runNumbers(jobId: string): number[] {
    const numbers = new Set<number>();
    for (const {submission, holdersByRun} of this.tasks.values()) {
      if (submission.jobId !== jobId) continue;
      for (const run of holdersByRun.keys()) numbers.add(run);
    }
    return [...numbers].sort((a, b) => a - b);
  }

  /** Checks a job state that a daemon reported. */
  checkState(jobId: string, state: string): void {
    if (state === 'complete' && !this.isJobDone(jobId)) {
      this.violations.push(
        `MIXED: ${jobId} is reported as complete before its tasks ended`,
      );
    }
  }

  /** Checks that crashes or failed runs allow the job to fail. */
  checkFailedJob(jobId: string, maximumAttempts: number): void {
    const crashes = this.mostCrashes(jobId);
    const failures = this.mostFailures(jobId);
    if (failures >= maximumAttempts || this.mayBeGivenUp(jobId)) return;
    this.violations.push(
      `LOST: ${jobId} is reported as failed after ${crashes} crashes under ` +
        `one task and ${failures} failed runs`,
    );
  }

  behaviour(task: string): TaskBehaviour {
    const known = this.tasks.get(task);
    if (known === undefined) {
      this.violations.push(`UNASKED: ${task} is started but was not submitted`);
      return {
        workMs: 1,
        gangWidth: 1,
        checkpoints: false,
        failsAfterWork: false,
      };
    }
    return this.crashingStarts.has(task)
      ? {...known.behaviour, crashesWorker: true}
      : known.behaviour;
  }

  started(
    worker: EmulatedWorker,
    {task, run}: RunName,
    at: number,
    sentAt: number,
  ): void {
    this.starts += 1;
    const known = this.tasks.get(task);
    if (known === undefined) return;
    this.checkSingleExecution(known, task, worker);
    this.checkCapacity(worker, task, at);
    if (at - sentAt <= LATE_ORDER_MS) this.checkEvacuation(worker, task, at);
    this.checkCrashes(task);
    this.checkStepOrder(known, task);
    const cancelledAt = this.cancelledAt.get(known.submission.jobId);
    if (cancelledAt !== undefined && at - cancelledAt > CANCELLATION_BOUND_MS) {
      this.violations.push(
        `UNASKED: ${task} is started after the cancellation bound`,
      );
    }
    known.stopOrderedAt = undefined;
    const holders = known.holdersByRun.get(run) ?? new Set();
    holders.add(worker);
    known.holdersByRun.set(run, holders);
  }

  ended(
    worker: EmulatedWorker,
    {task, run}: RunName,
    ending: RunEnding,
    at: number,
  ): void {
    const known = this.tasks.get(task);
    if (known === undefined) return;
    known.holdersByRun.get(run)?.delete(worker);
    known.endedAt = at;
    if (ending === 'done') this.completeTask(known, run, at);
    else this.wastedRuns += 1;
    if (ending === 'failed') this.countFailure(known, task, run);
    const endsGang = ending !== 'done' && known.behaviour.gangWidth > 1;
    if (endsGang) this.endGang(known, run, 'broken', at);
  }

  endAcknowledged({task, run}: RunName, ending: RunEnding): void {
    const doneRun = this.tasks.get(task)?.completedRuns.get(run);
    if (doneRun === undefined || ending !== 'done') return;
    if (doneRun.isRepeated && !doneRun.isAcknowledged) {
      this.violations.push(
        `TWICE: ${task} was started again after its run was done`,
      );
    }
    doneRun.isAcknowledged = true;
  }

  responseTailMeasured(
    {task, run}: RunName,
    tailMs: number,
    undisturbedMs: number,
    at: number,
  ): void {
    const known = this.tasks.get(task);
    const target = known?.behaviour.responseTargetMs;
    if (known === undefined || target === undefined) return;
    const key = `${task}#${run}`;
    if (tailMs <= target || undisturbedMs >= target) {
      this.overTargetSince.delete(key);
      return;
    }
    const since = this.overTargetSince.get(key) ?? at;
    this.overTargetSince.set(key, since);
    if (at - since <= INTERFERENCE_BOUND_MS) return;
    this.violations.push(
      `HARM: ${task} exceeds its response target due to interference`,
    );
    this.overTargetSince.set(key, at);
  }

  /** Checks the availability limit of a gang before an order ends a member. */
  stopOrdered(worker: EmulatedWorker, task: string, at: number): void {
    const known = this.tasks.get(task);
    const step = known?.submission.steps[known.stepIndex];
    if (known === undefined || step?.maximumAway === undefined) return;
    if (this.cancelledAt.has(known.submission.jobId)) return;
    if (worker.entry.isDraining || !worker.hasStarted(task)) return;
    let unavailable = 0;
    for (const [name, member] of this.tasks) {
      if (member === known || !this.isSameGang(known, member)) continue;
      if (this.isUnavailable(name, member, at)) unavailable += 1;
    }
    if (unavailable >= step.maximumAway) {
      this.violations.push(
        `AVAIL: ${task} is stopped while ${unavailable} others are unavailable`,
      );
    }
    known.stopOrderedAt = at;
  }

  /** True if stopped by an order, or not running past the bound. */
  private isUnavailable(name: string, member: LedgerTask, at: number): boolean {
    for (const holders of member.holdersByRun.values()) {
      for (const holder of holders) if (holder.hasStarted(name)) return false;
    }
    if (member.stopOrderedAt !== undefined) return true;
    return at - (member.endedAt ?? -Infinity) >= UNAVAILABLE_AFTER_MS;
  }

  presentGangMembers({task, run}: RunName): number {
    const known = this.tasks.get(task);
    if (known === undefined) return 0;
    let present = 0;
    for (const member of this.gangOf(known)) {
      present += member.holdersByRun.get(run)?.size ?? 0;
    }
    return present;
  }

  hasGangFinishedWork({task, run}: RunName): boolean {
    const known = this.tasks.get(task);
    if (known === undefined || known.behaviour.gangWidth === 1) return true;
    for (const [name, member] of this.tasks) {
      if (!this.isSameGang(known, member)) continue;
      for (const holder of member.holdersByRun.get(run) ?? []) {
        if (!holder.hasFinishedWork(name)) return false;
      }
    }
    return true;
  }

  private completeTask(known: LedgerTask, run: number, at: number): void {
    known.completedRuns.set(run, {isAcknowledged: false, isRepeated: false});
    if (!known.isDone) this.done += 1;
    known.isDone = true;
    if (known.behaviour.gangWidth === 1) return;
    for (const member of this.gangOf(known)) member.isDone = true;
    this.endGang(known, run, 'done', at);
  }

  private endGang(
    known: LedgerTask,
    run: number,
    ending: 'done' | 'broken',
    at: number,
  ): void {
    for (const [name, member] of this.tasks) {
      if (!this.isSameGang(known, member)) continue;
      for (const holder of [...(member.holdersByRun.get(run) ?? [])]) {
        holder.endWithGang(name, ending, at);
      }
    }
  }

  private countFailure(known: LedgerTask, task: string, run: number): void {
    const gangName = `${known.submission.jobId}.${known.occurrence}.${known.stepIndex}`;
    const key = known.behaviour.gangWidth > 1 ? gangName : task;
    const runs = this.failedRuns.get(key) ?? new Set();
    runs.add(run);
    this.failedRuns.set(key, runs);
    known.failures = runs.size;
  }

  private checkSingleExecution(
    known: LedgerTask,
    task: string,
    worker: EmulatedWorker,
  ): void {
    for (const doneRun of known.completedRuns.values()) {
      doneRun.isRepeated = true;
      if (doneRun.isAcknowledged) {
        this.violations.push(
          `TWICE: ${task} is started again after it was done`,
        );
      }
    }
    for (const holders of known.holdersByRun.values()) {
      for (const holder of holders) {
        // A run whose lease lapsed ended earlier and is no longer listed here.
        if (holder !== worker && holder.isUp) {
          this.violations.push(`TWICE: ${task} runs on two workers`);
        }
      }
    }
  }

  private checkEvacuation(
    {entry}: EmulatedWorker,
    task: string,
    at: number,
  ): void {
    const evacuatedAt = this.evacuatedAt.get(entry.zone) ?? Infinity;
    const elapsedMs = at - evacuatedAt;
    if (elapsedMs <= this.evacuationBoundMs) return;
    this.violations.push(
      `EVAC: ${task} is started in ${entry.zone}, ${elapsedMs} ms after its ` +
        'evacuation',
    );
  }

  private checkCrashes(task: string): void {
    const earlierStarts = this.crashingStarts.get(task);
    if (earlierStarts === undefined) return;
    this.crashingStarts.set(task, earlierStarts + 1);
    const crashes = this.crashesByTask.get(task) ?? 0;
    if (crashes < CRASHES_BEFORE_BOUND) return;
    const lastStarts = (this.startsAfterCrashes.get(task) ?? 0) + 1;
    this.startsAfterCrashes.set(task, lastStarts);
    if (lastStarts >= STARTS_BEYOND_BOUND) {
      this.violations.push(
        `BUDGET: ${task} has ${lastStarts} starts after the third of ` +
          `${crashes} crashes under it`,
      );
    }
  }

  private checkCapacity(
    worker: EmulatedWorker,
    starting: string,
    at: number,
  ): void {
    let accelerators = 0;
    let processor = 0;
    let memory = 0;
    const names = new Set(worker.runNames.map(({task}) => task));
    names.add(starting);
    for (const name of names) {
      const task = this.tasks.get(name);
      const step = task?.submission.steps[task.stepIndex];
      accelerators += step?.shape.accelerators ?? 0;
      memory += step?.shape.memoryMegabytes ?? 0;
      if (step?.usesSpareProcessor !== true) {
        processor += step?.shape.processorMillicores ?? 0;
      }
    }
    const {workerId} = worker.entry;
    const capacity = worker.enforcedCapacity(at);
    if (
      accelerators > capacity.accelerators ||
      memory > capacity.memoryMegabytes ||
      processor > capacity.processorMillicores
    ) {
      this.violations.push(`LIMIT: ${workerId} runs more than its capacity`);
    }
  }

  private checkStepOrder(known: LedgerTask, task: string): void {
    const {submission, stepIndex, occurrence} = known;
    const before = submission.steps[stepIndex]?.after ?? [];
    for (const other of this.tasks.values()) {
      if (
        other.submission === submission &&
        other.occurrence === occurrence &&
        before.includes(other.stepIndex) &&
        !other.isDone
      ) {
        this.violations.push(
          `ORDER: ${task} is started before an earlier step is done`,
        );
        return;
      }
    }
  }

  private gangOf(known: LedgerTask): LedgerTask[] {
    return [...this.tasks.values()].filter((member) =>
      this.isSameGang(known, member),
    );
  }

  private isSameGang(known: LedgerTask, member: LedgerTask): boolean {
    return (
      member.submission === known.submission &&
      member.occurrence === known.occurrence &&
      member.stepIndex === known.stepIndex
    );
  }
}
