/**
 * State of one emulated worker: runs under a lease on the worker's own clock,
 * fencing tokens, run numbers that a stop voids, gangs and checkpoints. Times
 * are arguments in milliseconds; `advance` simulates the work up to a time.
 */

import type {
  EndedRun,
  LeaseRenewalOutcome,
  LeaseRenewalRequest,
  OrderOutcome,
  PaceOrder,
  RunEnding,
  RunName,
  RunningTask,
  StartOrder,
  WorkerEntry,
} from '../src/interfaces/task_worker.js';
import type {TaskShape} from '../src/model/submissions.js';

/** How the tasks of a step behave, as set when the job was submitted. */
export interface TaskBehaviour {
  readonly workMs: number;
  readonly gangWidth: number;
  readonly checkpoints: boolean;
  /** The task fails each time it has done its work. */
  readonly failsAfterWork: boolean;
  /** The worker crashes soon after it has started the task. */
  readonly crashesWorker?: boolean;
  /** The task runs until it is stopped; it is available after its startup. */
  readonly isLongRunning?: boolean;
  /** Target of a serving task's tail response time. */
  readonly responseTargetMs?: number | undefined;
  /** The task uses spare processors and slows down serving tasks. */
  readonly usesSpareProcessor?: boolean;
}

/** Time from the start of a task that crashes its worker to the crash. */
const CRASH_DELAY_MS = 10;

/** Startup time of a long-running task. */
const STARTUP_MS = 50;

/** Tail response time without interference, as a share of the target. */
const UNDISTURBED_TAIL_SHARE = 0.4;

/** Observes starts and ends on all workers and knows the state of gangs. */
export interface WorkerObserver {
  behaviour(task: string): TaskBehaviour;
  started(
    worker: EmulatedWorker,
    run: RunName,
    at: number,
    sentAt: number,
  ): void;
  ended(
    worker: EmulatedWorker,
    run: RunName,
    ending: RunEnding,
    at: number,
  ): void;
  /**
   * Called when the leader acknowledges an end after which the worker's lease
   * has not lapsed: such an end is final.
   */
  endAcknowledged(run: RunName, ending: RunEnding): void;
  /** Number of members of the run's gang that are present on any worker. */
  presentGangMembers(run: RunName): number;
  /** True if all present members of the run's gang have done their work. */
  hasGangFinishedWork(run: RunName): boolean;
  /** Called before an order ends a task. */
  stopOrdered(worker: EmulatedWorker, task: string, at: number): void;
  /** A serving task's tail response time with and without interference. */
  responseTailMeasured(
    run: RunName,
    tailMs: number,
    undisturbedMs: number,
    at: number,
  ): void;
}

interface ActiveRun extends RunName {
  doneMs: number;
  checkpointMs: number;
  pacePercent: number;
  readonly behaviour: TaskBehaviour;
}

/** Faults that are injected into a worker. */
export interface WorkerFaults {
  /** Every run fails as soon as it starts. */
  failsAll: boolean;
  /** Runs make no progress. */
  hangs: boolean;
  /** Speed of the work as a share of full speed. */
  speed: number;
  /** Rate of the worker's clock relative to the daemons'. */
  clockRate: number;
  /** Share of the target that each task on spare processors adds to a tail. */
  interference: number;
  /** Share of the target that a serving task's own load adds to its tail. */
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
  /** Ends up to this sequence number were recorded before the last lapse. */
  private lapsedSequence = 0;
  private nextSequence = 1;
  private fence = 0;
  private leaseUntilMs = 0;
  private advancedAt: number;
  private startedAt: number;
  isUp = true;
  /** Capacities that starts may still rely on, as they were reduced lately. */
  private formerCapacities: Array<{capacity: TaskShape; until: number}> = [];

  constructor(
    private currentEntry: WorkerEntry,
    now: number,
    private readonly holdMaximumMs: number,
    private readonly observer: WorkerObserver,
    private readonly crash: () => void,
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

  get unacknowledgedEnds(): readonly EndedRun[] {
    return this.ends;
  }

  /** True if the task has done its work; it may still wait for its gang. */
  hasFinishedWork(task: string): boolean {
    const run = this.runs.get(task);
    return run !== undefined && run.doneMs >= run.behaviour.workMs;
  }

  /** True if a long-running task is past its startup. */
  hasStarted(task: string): boolean {
    return (this.runs.get(task)?.doneMs ?? 0) >= STARTUP_MS;
  }

  /** Reports all runs before an order that concerns the VM ends them. */
  reportStopOfAllRuns(now: number): void {
    for (const {task} of [...this.runs.values()]) {
      this.observer.stopOrdered(this, task, now);
    }
  }

  /** Starts as a new incarnation under the same id. */
  startAgain(now: number): void {
    this.isUp = true;
    this.voidedRuns.clear();
    this.ends = [];
    this.lapsedSequence = 0;
    this.nextSequence = 1;
    this.fence = 0;
    this.leaseUntilMs = 0;
    this.startedAt = now;
    this.advancedAt = now;
    this.currentEntry = {
      ...this.currentEntry,
      incarnation: this.currentEntry.incarnation + 1,
    };
  }

  /** All runs end, and the worker answers no more calls. */
  endNow(now: number): void {
    for (const run of [...this.runs.values()]) {
      this.observer.ended(this, run, 'lapsed', now);
    }
    this.runs.clear();
    this.isUp = false;
  }

  drain(remainingMs: number): void {
    this.currentEntry = {...this.currentEntry, isDraining: true, remainingMs};
  }

  becomeCold(warmInMs: number): void {
    this.currentEntry = {...this.currentEntry, warmInMs};
  }

  /** Starts may rely on the former capacity until a later time. */
  setCapacity(capacity: TaskShape, now: number, formerUntil: number): void {
    this.formerCapacities = [
      ...this.formerCapacities.filter(({until}) => until >= now),
      {capacity: this.currentEntry.capacity, until: formerUntil},
    ];
    this.currentEntry = {...this.currentEntry, capacity};
  }

  /** The capacity that starts must respect. */
  enforcedCapacity(now: number): TaskShape {
    const capacities = [
      this.currentEntry.capacity,
      ...this.formerCapacities
        .filter(({until}) => until >= now)
        .map(({capacity}) => capacity),
    ];
    const largest = (amountOf: (shape: TaskShape) => number) =>
      Math.max(...capacities.map(amountOf));
    return {
      processorMillicores: largest((shape) => shape.processorMillicores),
      memoryMegabytes: largest((shape) => shape.memoryMegabytes),
      accelerators: largest((shape) => shape.accelerators),
    };
  }

  start(order: StartOrder, now: number): OrderOutcome {
    this.advance(now);
    const clockMs = this.clockMs(now);
    if (order.fence < this.fence) return {kind: 'superseded'};
    this.fence = order.fence;
    const current = this.runs.get(order.task);
    const highestRun = Math.max(
      current?.run ?? 0,
      this.voidedRuns.get(order.task) ?? 0,
    );
    this.extendLease(order.leaseUntilMs, clockMs);
    if (current?.run === order.run) return {kind: 'started', clockMs};
    if (order.run <= highestRun) return {kind: 'outdated', clockMs};
    if (order.leaseUntilMs <= clockMs) return {kind: 'leasePassed', clockMs};
    const behaviour = this.observer.behaviour(order.task);
    const savedMs = Number(order.checkpoint === '' ? 0 : order.checkpoint);
    this.runs.set(order.task, {
      task: order.task,
      run: order.run,
      doneMs: savedMs,
      checkpointMs: savedMs,
      pacePercent: 100,
      behaviour,
    });
    // A start asks for the longest lease, so its end shows when it was sent.
    const grantedMs = order.leaseUntilMs - clockMs;
    const ageMs = Math.max(0, this.holdMaximumMs - grantedMs);
    this.observer.started(this, order, now, now - ageMs);
    if (behaviour.crashesWorker === true) {
      setTimeout(() => this.crash(), CRASH_DELAY_MS);
    } else if (this.faults.failsAll) {
      this.end(order.task, 'failed', now);
    }
    return {kind: 'started', clockMs};
  }

  stop({task, run}: RunName, fence: number, now: number): OrderOutcome {
    this.advance(now);
    if (fence < this.fence) return {kind: 'superseded'};
    this.fence = fence;
    this.voidRun(task, run);
    const current = this.runs.get(task);
    if (current !== undefined && current.run <= run) {
      this.observer.stopOrdered(this, task, now);
      this.end(task, 'stopped', now);
    }
    return {kind: 'stopped', clockMs: this.clockMs(now)};
  }

  pace({task, run, percent, fence}: PaceOrder, now: number): OrderOutcome {
    this.advance(now);
    if (fence < this.fence) return {kind: 'superseded'};
    this.fence = fence;
    const clockMs = this.clockMs(now);
    const current = this.runs.get(task);
    if (current?.run !== run) return {kind: 'outdated', clockMs};
    current.pacePercent = percent;
    return {kind: 'paced', clockMs};
  }

  renewLease(request: LeaseRenewalRequest, now: number): LeaseRenewalOutcome {
    this.advance(now);
    if (request.fence < this.fence) return {kind: 'superseded'};
    this.fence = request.fence;
    const clockMs = this.clockMs(now);
    if (request.leaseUntilMs !== undefined) {
      this.extendLease(request.leaseUntilMs, clockMs);
    }
    this.discardAcknowledgedEnds(request.acknowledgedSequence);
    return {
      kind: 'seen',
      clockMs,
      incarnation: this.currentEntry.incarnation,
      running: [...this.runs.values()].map((run) => this.describeRun(run)),
      ended: [...this.ends],
    };
  }

  /** Simulates the work since the previous call, or the lapse of the lease. */
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
    const {tailMs, undisturbedMs} = this.responseTails(responseTargetMs);
    this.observer.responseTailMeasured(run, tailMs, undisturbedMs, now);
  }

  private responseTails(targetMs: number): {
    tailMs: number;
    undisturbedMs: number;
  } {
    let interference = 0;
    for (const {behaviour, pacePercent} of this.runs.values()) {
      if (behaviour.usesSpareProcessor !== true) continue;
      interference += this.faults.interference * (pacePercent / 100);
    }
    const undisturbedMs =
      targetMs * (UNDISTURBED_TAIL_SHARE + this.faults.ownLoad);
    return {
      tailMs: Math.round(undisturbedMs + targetMs * interference),
      undisturbedMs,
    };
  }

  /** Ends a run because another member of its gang has ended. */
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
    const isStarted = run.doneMs >= STARTUP_MS;
    return {
      task: run.task,
      run: run.run,
      checkpoint: checkpoints ? String(Math.floor(run.doneMs)) : '',
      percent:
        lasts === true
          ? isStarted
            ? 100
            : 0
          : Math.min(100, Math.floor((run.doneMs / workMs) * 100)),
      recentMetric:
        responseTargetMs > 0 ? this.responseTails(responseTargetMs).tailMs : 0,
    };
  }
}
