/**
 * Judges a run of the emulator by what its workers and callers saw: each
 * broken rule becomes one line. The rules are those of the users' pages that
 * the emulator can observe.
 */

import type {Submission} from '../src/model/submissions.js';
import {taskName} from '../src/model/submissions.js';
import type {RunEnding, RunName} from '../src/parties/task_worker.js';
import type {
  EmulatedWorker,
  TaskBehaviour,
  WorkerObserver,
} from './worker_state.js';

/** A serving task may be over its target through others for this long. */
const INTERFERENCE_BOUND_MS = 4_000;

/** A task that was not at work for this long counts as away. */
const UNAVAILABLE_AFTER_MS = 4_500;

/** After this, a cancelled job must not start anything (users' bound). */
const CANCELLATION_BOUND_MS = 3_000;

interface LedgerTask {
  readonly submission: Submission;
  readonly stepIndex: number;
  readonly occurrence: number;
  readonly behaviour: TaskBehaviour;
  /** Workers on which runs are present, by run number. */
  readonly holdersByRun: Map<number, Set<EmulatedWorker>>;
  isDone: boolean;
  /** Runs that ended as done, and what came after. */
  readonly completedRuns: Map<number, CompletedRun>;
  failures: number;
  /** When its last run ended. */
  endedAt?: number;
  /** When an order ended it, until it starts again. */
  stopOrderedAt?: number | undefined;
}

interface CompletedRun {
  /** Its end was taken note of. */
  isAcknowledged: boolean;
  /** The task started again after it. */
  isRepeated: boolean;
}

export interface LedgerCounts {
  readonly starts: number;
  readonly done: number;
  /** Task milliseconds of runs that ended without being done. */
  readonly wastedRuns: number;
}

export class Ledger implements WorkerObserver {
  readonly violations: string[] = [];
  private readonly tasks = new Map<string, LedgerTask>();
  private readonly cancelledAt = new Map<string, number>();
  private readonly overTargetSince = new Map<string, number>();
  private readonly failedRuns = new Map<string, Set<number>>();
  private starts = 0;
  private done = 0;
  private wastedRuns = 0;

  get counts(): LedgerCounts {
    const {starts, done, wastedRuns} = this;
    return {starts, done, wastedRuns};
  }

  /** Registers a job that a caller sends, with how its tasks behave. */
  jobSubmitted(
    submission: Submission,
    workMs: number,
    failingTask?: number,
    /** Work of task 0, where it differs from the others'. */
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
              // The first member to end then ends the whole gang.
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

  /** Most failures of one task, or gang, of the job. */
  mostFailures(jobId: string): number {
    let most = 0;
    for (const {submission, failures} of this.tasks.values()) {
      if (submission.jobId === jobId) most = Math.max(most, failures);
    }
    return most;
  }

  /** Run numbers under which tasks of the job were started. */
  runNumbers(jobId: string): number[] {
    const numbers = new Set<number>();
    for (const {submission, holdersByRun: present} of this.tasks.values()) {
      if (submission.jobId !== jobId) continue;
      for (const run of present.keys()) numbers.add(run);
    }
    return [...numbers].sort((a, b) => a - b);
  }

  /** Checks a state that a caller was shown. */
  checkState(jobId: string, state: string): void {
    if (state === 'complete' && !this.isJobDone(jobId)) {
      this.violations.push(`MIXED: ${jobId} is shown as complete too early`);
    }
  }

  behaviour(task: string): TaskBehaviour {
    const known = this.tasks.get(task);
    if (known === undefined) {
      this.violations.push(`UNASKED: ${task} was never submitted`);
      return {
        workMs: 1,
        gangWidth: 1,
        checkpoints: false,
        failsAfterWork: false,
      };
    }
    return known.behaviour;
  }

  started(worker: EmulatedWorker, {task, run}: RunName, at: number): void {
    this.starts += 1;
    const known = this.tasks.get(task);
    if (known === undefined) return;
    this.checkSingleExecution(known, task, worker);
    this.checkCapacity(worker, task);
    this.checkStepOrder(known, task);
    const cancelledAt = this.cancelledAt.get(known.submission.jobId);
    if (cancelledAt !== undefined && at - cancelledAt > CANCELLATION_BOUND_MS) {
      this.violations.push(`UNASKED: ${task} starts after its cancellation`);
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
    const breaks = ending !== 'done' && known.behaviour.gangWidth > 1;
    if (breaks) this.endGang(known, run, 'broken', at);
  }

  endAcknowledged({task, run}: RunName, ending: RunEnding): void {
    const doneRun = this.tasks.get(task)?.completedRuns.get(run);
    if (doneRun === undefined || ending !== 'done') return;
    if (doneRun.isRepeated && !doneRun.isAcknowledged) {
      this.violations.push(`TWICE: ${task} was started again after an end`);
    }
    doneRun.isAcknowledged = true;
  }

  responseTailMeasured(
    {task, run}: RunName,
    tailMs: number,
    aloneMs: number,
    at: number,
  ): void {
    const known = this.tasks.get(task);
    const target = known?.behaviour.responseTargetMs;
    if (known === undefined || target === undefined) return;
    const key = `${task}#${run}`;
    if (tailMs <= target || aloneMs >= target) {
      this.overTargetSince.delete(key);
      return;
    }
    const since = this.overTargetSince.get(key) ?? at;
    this.overTargetSince.set(key, since);
    if (at - since <= INTERFERENCE_BOUND_MS) return;
    this.violations.push(`HARM: ${task} is over its target`);
    this.overTargetSince.set(key, at);
  }

  /** An order ends a task; called before it ends. */
  stopOrdered(worker: EmulatedWorker, task: string, at: number): void {
    const known = this.tasks.get(task);
    const step = known?.submission.steps[known.stepIndex];
    if (known === undefined || step?.maximumAway === undefined) return;
    if (this.cancelledAt.has(known.submission.jobId)) return;
    if (worker.entry.isDraining || !worker.hasStarted(task)) return;
    let away = 0;
    for (const [name, member] of this.tasks) {
      if (member === known || !this.isSameGang(known, member)) continue;
      if (this.isUnavailable(name, member, at)) away += 1;
    }
    if (away >= step.maximumAway) {
      this.violations.push(`AVAIL: ${task} is taken while ${away} are away`);
    }
    known.stopOrderedAt = at;
  }

  /** Taken by an order and not back, or not at work for the notice time. */
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
    const gang = `${known.submission.jobId}.${known.occurrence}.${known.stepIndex}`;
    const key = known.behaviour.gangWidth > 1 ? gang : task;
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
        this.violations.push(`TWICE: ${task} starts again after it was done`);
      }
    }
    for (const holders of known.holdersByRun.values()) {
      for (const holder of holders) {
        // Work whose time is up has ended before the new start.
        if (holder !== worker && holder.isUp) {
          this.violations.push(`TWICE: ${task} runs on two workers`);
        }
      }
    }
  }

  private checkCapacity(worker: EmulatedWorker, starting: string): void {
    let accelerators = 0;
    let processor = 0;
    const names = new Set(worker.runNames.map(({task}) => task));
    names.add(starting);
    for (const name of names) {
      const task = this.tasks.get(name);
      const step = task?.submission.steps[task.stepIndex];
      accelerators += step?.shape.accelerators ?? 0;
      if (step?.usesSpareProcessor !== true) {
        processor += step?.shape.processorMillicores ?? 0;
      }
    }
    const {capacity, workerId} = worker.entry;
    if (
      accelerators > capacity.accelerators ||
      processor > capacity.processorMillicores
    ) {
      this.violations.push(`LIMIT: ${workerId} is over its capacity`);
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
        this.violations.push(`ORDER: ${task} starts before an earlier step`);
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
