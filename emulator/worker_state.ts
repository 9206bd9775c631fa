/**
 * State of one emulated worker: runs under a lease on its own clock, fencing
 * tokens, run numbers that a stop voids, gangs and checkpoints. Times are
 * arguments; `advance` lets the work of the time that passed happen.
 */

import type {
  EndedRun,
  LookOutcome,
  LookRequest,
  OrderOutcome,
  PaceOrder,
  RunEnding,
  RunName,
  RunningTask,
  StartOrder,
  WorkerEntry,
} from '../src/parties/task_worker.js';

/** How the tasks of a job behave; the ledger knows it from the load. */
export interface TaskBehaviour {
  readonly workMs: number;
  readonly gangWidth: number;
  readonly checkpoints: boolean;
  /** The task fails whenever it ran its work. */
  readonly failsAfterWork: boolean;
  /** The task runs until it is stopped, and is at work after a startup. */
  readonly isLongRunning?: boolean;
  /** Target of a serving task's response times, in milliseconds. */
  readonly responseTargetMs?: number | undefined;
  /** The task uses spare processors, and disturbs serving tasks. */
  readonly usesSpareProcessor?: boolean;
}

/** Startup of a task that lasts. */
const STARTUP_MS = 50;

/** Response tail of a serving task that nothing disturbs, of its target. */
const UNDISTURBED_TAIL_SHARE = 0.4;

/** Told of every start and end, for the ledger and for gangs. */
export interface WorkerObserver {
  behaviour(task: string): TaskBehaviour;
  started(worker: EmulatedWorker, run: RunName, at: number): void;
  ended(
    worker: EmulatedWorker,
    run: RunName,
    ending: RunEnding,
    at: number,
  ): void;
  /**
   * The worker was told to forget an end, and no lease lapsed in between: the
   * end stands for good.
   */
  endAcknowledged(run: RunName, ending: RunEnding): void;
  /** Members of the run's gang that are present anywhere. */
  presentGangMembers(run: RunName): number;
  /** True if all members of the run's gang have done their work. */
  hasGangFinishedWork(run: RunName): boolean;
  /** An order is about to end a task. */
  stopOrdered(worker: EmulatedWorker, task: string, at: number): void;
  /** A serving task's tail while others disturb it, and without them. */
  responseTailMeasured(
    run: RunName,
    tailMs: number,
    aloneMs: number,
    at: number,
  ): void;
}

interface ActiveRun extends RunName {
  doneMs: number;
  checkpointMs: number;
  pacePercent: number;
  readonly behaviour: TaskBehaviour;
}

/** How a worker misbehaves. */
export interface WorkerFaults {
  /** Starts end as failed at once. */
  failsAll: boolean;
  /** Runs make no progress. */
  hangs: boolean;
  /** Share of full speed. */
  speed: number;
  /** Speed of the worker's clock against the daemons'. */
  clockRate: number;
  /** Share of a target that one task on spare processors adds to a tail. */
  interference: number;
  /** Share of a target that a serving task's own load adds to its tail. */
  ownLoad: number;
}

export class EmulatedWorker {
  readonly faults: WorkerFaults = {
    failsAll: false,
    hangs: false,
    speed: 1,
    clockRate: 1,
    interference: 0,
    ownLoad: 0,
  };
  private readonly runs = new Map<string, ActiveRun>();
  private readonly voidedRuns = new Map<string, number>();
  private ends: EndedRun[] = [];
  /** Ends up to this sequence were listed before a lease lapsed. */
  private lapsedSequence = 0;
  private nextSequence = 1;
  private term = 0;
  private leaseUntilMs = 0;
  private advancedAt: number;
  private startedAt: number;
  isUp = true;

  constructor(
    private currentEntry: WorkerEntry,
    now: number,
    private readonly holdMaximumMs: number,
    private readonly observer: WorkerObserver,
  ) {
    this.advancedAt = now;
    this.startedAt = now;
  }

  get entry(): WorkerEntry {
    return this.currentEntry;
  }

  get runNames(): RunName[] {
    return [...this.runs.values()];
  }

  get hasUnacknowledgedEnds(): boolean {
    return this.ends.length > 0;
  }

  /** True if the task has done its work; a gang then waits for the others. */
  hasFinishedWork(task: string): boolean {
    const run = this.runs.get(task);
    return run !== undefined && run.doneMs >= run.behaviour.workMs;
  }

  /** True if a task that lasts is past its startup. */
  hasStarted(task: string): boolean {
    return (this.runs.get(task)?.doneMs ?? 0) >= STARTUP_MS;
  }

  /** An order about the worker's VM ends everything that it runs. */
  reportStopOfAllRuns(now: number): void {
    for (const {task} of [...this.runs.values()]) {
      this.observer.stopOrdered(this, task, now);
    }
  }

  /** The worker crashes and starts again under its id. */
  restart(now: number): void {
    for (const run of [...this.runs.values()]) {
      this.observer.ended(this, run, 'lapsed', now);
    }
    this.runs.clear();
    this.voidedRuns.clear();
    this.ends = [];
    this.lapsedSequence = 0;
    this.nextSequence = 1;
    this.term = 0;
    this.leaseUntilMs = 0;
    this.startedAt = now;
    this.advancedAt = now;
    this.currentEntry = {
      ...this.currentEntry,
      life: this.currentEntry.life + 1,
    };
  }

  drain(remainingMs: number): void {
    this.currentEntry = {...this.currentEntry, isDraining: true, remainingMs};
  }

  start(order: StartOrder, now: number): OrderOutcome {
    this.advance(now);
    const clockMs = this.clockMs(now);
    if (order.term < this.term) return {kind: 'superseded'};
    this.term = order.term;
    const held = this.runs.get(order.task);
    const highest = Math.max(
      held?.run ?? 0,
      this.voidedRuns.get(order.task) ?? 0,
    );
    this.extendLease(order.leaseUntilMs, clockMs);
    if (held?.run === order.run) return {kind: 'started', clockMs};
    if (order.run <= highest) return {kind: 'outdated', clockMs};
    if (order.leaseUntilMs <= clockMs) return {kind: 'leasePassed', clockMs};
    const behaviour = this.observer.behaviour(order.task);
    const saved = Number(order.checkpoint === '' ? 0 : order.checkpoint);
    this.runs.set(order.task, {
      task: order.task,
      run: order.run,
      doneMs: saved,
      checkpointMs: saved,
      pacePercent: 100,
      behaviour,
    });
    this.observer.started(this, order, now);
    if (this.faults.failsAll) this.end(order.task, 'failed', now);
    return {kind: 'started', clockMs};
  }

  stop({task, run}: RunName, term: number, now: number): OrderOutcome {
    this.advance(now);
    if (term < this.term) return {kind: 'superseded'};
    this.term = term;
    this.voidRun(task, run);
    const held = this.runs.get(task);
    if (held !== undefined && held.run <= run) {
      this.observer.stopOrdered(this, task, now);
      this.end(task, 'stopped', now);
    }
    return {kind: 'stopped', clockMs: this.clockMs(now)};
  }

  pace({task, run, percent, term}: PaceOrder, now: number): OrderOutcome {
    this.advance(now);
    if (term < this.term) return {kind: 'superseded'};
    this.term = term;
    const clockMs = this.clockMs(now);
    const held = this.runs.get(task);
    if (held?.run !== run) return {kind: 'outdated', clockMs};
    held.pacePercent = percent;
    return {kind: 'paced', clockMs};
  }

  renewLease(request: LookRequest, now: number): LookOutcome {
    this.advance(now);
    if (request.term < this.term) return {kind: 'superseded'};
    this.term = request.term;
    const clockMs = this.clockMs(now);
    if (request.leaseUntilMs !== undefined) {
      this.extendLease(request.leaseUntilMs, clockMs);
    }
    this.discardAcknowledgedEnds(request.acknowledgedSequence);
    return {
      kind: 'seen',
      clockMs,
      life: this.currentEntry.life,
      running: [...this.runs.values()].map((run) => this.describeRun(run)),
      ended: [...this.ends],
    };
  }

  /** Lets the work since the last call happen. */
  advance(now: number): void {
    const elapsedMs = now - this.advancedAt;
    this.advancedAt = now;
    if (this.clockMs(now) > this.leaseUntilMs) {
      this.lapsedSequence = this.nextSequence - 1;
      for (const task of [...this.runs.keys()]) this.end(task, 'lapsed', now);
      return;
    }
    if (this.faults.hangs) return;
    for (const run of [...this.runs.values()]) {
      const {gangWidth, workMs, failsAfterWork: fails} = run.behaviour;
      if (this.observer.presentGangMembers(run) < gangWidth) continue;
      run.doneMs += elapsedMs * this.faults.speed * (run.pacePercent / 100);
      if (run.behaviour.isLongRunning === true) this.reportTail(run, now);
      else if (run.doneMs >= workMs && this.observer.hasGangFinishedWork(run)) {
        this.end(run.task, fails ? 'failed' : 'done', now);
      }
    }
  }

  private reportTail(run: ActiveRun, now: number): void {
    const {responseTargetMs = 0} = run.behaviour;
    if (responseTargetMs === 0) return;
    const {tailMs, aloneMs} = this.responseTails(responseTargetMs);
    this.observer.responseTailMeasured(run, tailMs, aloneMs, now);
  }

  private responseTails(targetMs: number): {tailMs: number; aloneMs: number} {
    let disturbed = 0;
    for (const {behaviour, pacePercent} of this.runs.values()) {
      if (behaviour.usesSpareProcessor !== true) continue;
      disturbed += this.faults.interference * (pacePercent / 100);
    }
    const aloneMs = targetMs * (UNDISTURBED_TAIL_SHARE + this.faults.ownLoad);
    return {tailMs: Math.round(aloneMs + targetMs * disturbed), aloneMs};
  }

  /** Ends a run because another member of its gang ended. */
  endWithGang(task: string, ending: 'done' | 'broken', now: number): void {
    if (this.runs.has(task)) this.end(task, ending, now);
  }

  private end(task: string, ending: RunEnding, now: number): void {
    const run = this.runs.get(task);
    if (run === undefined) return;
    this.runs.delete(task);
    this.voidRun(task, run.run);
    this.ends.push({
      sequence: this.nextSequence,
      task,
      run: run.run,
      ending,
      checkpoint: run.behaviour.checkpoints
        ? String(Math.floor(run.doneMs))
        : '',
    });
    this.nextSequence += 1;
    this.observer.ended(this, run, ending, now);
  }

  private discardAcknowledgedEnds(acknowledged: number): void {
    for (const end of this.ends) {
      const {sequence} = end;
      if (sequence > acknowledged || sequence <= this.lapsedSequence) continue;
      this.observer.endAcknowledged(end, end.ending);
    }
    this.ends = this.ends.filter(({sequence}) => sequence > acknowledged);
  }

  private voidRun(task: string, run: number): void {
    this.voidedRuns.set(task, Math.max(run, this.voidedRuns.get(task) ?? 0));
  }

  private extendLease(untilMs: number, clockMs: number): void {
    const until = Math.min(untilMs, clockMs + this.holdMaximumMs);
    this.leaseUntilMs = Math.max(this.leaseUntilMs, until);
  }

  private clockMs(now: number): number {
    return Math.floor((now - this.startedAt) * this.faults.clockRate) + 1;
  }

  private describeRun(run: ActiveRun): RunningTask {
    const {
      workMs,
      checkpoints,
      isLongRunning: lasts,
      responseTargetMs = 0,
    } = run.behaviour;
    const isAtWork = run.doneMs >= STARTUP_MS;
    return {
      task: run.task,
      run: run.run,
      checkpoint: checkpoints ? String(Math.floor(run.doneMs)) : '',
      percent:
        lasts === true
          ? isAtWork
            ? 100
            : 0
          : Math.min(100, Math.floor((run.doneMs / workMs) * 100)),
      recentFigure:
        responseTargetMs > 0 ? this.responseTails(responseTargetMs).tailMs : 0,
    };
  }
}
