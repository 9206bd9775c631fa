/**
 * The leader's conversation with one worker: looks that extend its lease and
 * list what runs and what ended, starts, and stops. An order without an answer
 * may still be carried out; it is repeated, then voided by a stop.
 */

import PQueue from 'p-queue';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {SteadyTime} from '../lifecycle/clock.js';
import {steadyNow} from '../lifecycle/clock.js';
import type {Instant} from '../model/ids.js';
import type {
  LeaseRenewalOutcome,
  OrderOutcome,
  RunEnding,
  TaskWorkerClient,
} from '../parties/task_worker.js';
import type {Run} from './jobs.js';
import {NO_PACE_KNOWN} from './jobs.js';
import type {LeaderLog} from './leader_log.js';
import type {PaceChange} from './pacing.js';
import type {Authority} from './session.js';
import type {WorkerState} from './worker_state.js';

/**
 * Wait of a look. The platform allows 2 s; a shorter one shows sooner that a
 * task stands still or a connection went silent, and a look costs little.
 */
const LOOK_WAIT_MS = 800;

/** Share of a lease that a look may wait, so that two may fail in a row. */
const LOOK_SHARE_OF_LEASE = 1 / 3;

/** Wait between looks that failed. */
const LOOK_RETRY_MS = 250;
const LONGEST_LOOK_RETRY_MS = 2_000;

/** An older estimate of a worker's clock is refreshed before a start. */
const CLOCK_AGE_MS = 3_000;

/** Attempts of a start that gets no answer, before it is voided. */
const START_ATTEMPTS = 3;

const STOP_RETRY_MS = 250;

/** Wait until ends are durable, between looks that would list them again. */
const DURABILITY_POLL_MS = 20;

/** Ends that a worker lists at most in one answer. */
const ENDS_PER_ANSWER = 500;

/** Orders under way to one worker; a look takes a further connection. */
const ORDERS_AT_ONCE = 2;

export interface LinkEvents {
  runEnded(run: Run, ending: RunEnding, checkpoint: string): void;
  /** The run is not on its worker and left no end. */
  runLost(run: Run, reason: string): void;
  runStarted(run: Run): void;
  /** Changes of speed that the worker's last list calls for. */
  pacesFor(worker: WorkerState): readonly PaceChange[];
  /** Calls back once everything reported so far is durable. */
  whenDurable(then: () => void): void;
  /** Room or the worker's health may have changed. */
  changed(): void;
  now(): Instant;
  /** Ticket for the run, where its queue needs one. */
  ticketFor(run: Run): string | undefined;
  ticketRejected(run: Run): void;
}

export class WorkerLink {
  private readonly orders = new PQueue({concurrency: ORDERS_AT_ONCE});
  private isWatching = false;
  private isClosed = false;
  private contacting: Promise<boolean> | undefined;
  private lookAbort = new AbortController();

  constructor(
    private readonly worker: WorkerState,
    private readonly client: TaskWorkerClient,
    private readonly authority: Authority,
    private readonly holdMaximumMs: number,
    private readonly scope: CleanupScope,
    private readonly events: LinkEvents,
    private readonly log: LeaderLog,
  ) {}

  close(): void {
    this.isClosed = true;
    this.lookAbort.abort();
    this.orders.clear();
  }

  /** Looks at the worker for as long as it may run something. */
  watch(): void {
    if (this.isWatching || this.isClosed) return;
    this.isWatching = true;
    void this.watchLoop().finally(() => {
      this.isWatching = false;
      if (this.needsLook()) this.watch();
    });
  }

  /** Ends the look under way, whose connection is of an earlier life. */
  lookAgain(): void {
    this.lookAbort.abort();
    this.lookAbort = new AbortController();
  }

  start(run: Run): void {
    run.phase = 'ordered';
    void this.orders.add(() => this.sendStart(run));
  }

  stop(run: Run): void {
    run.phase = 'stopping';
    this.watch();
    // Not queued behind starts: a stop frees room or saves work.
    void this.sendStop(run);
  }

  /** Lets the run work at a share of its speed; a later list decides anew. */
  pace(run: Run, percent: number): void {
    run.pacePercent = percent;
    void this.orders.add(() => this.sendPace(run, percent));
  }

  // Looks.

  private needsLook(): boolean {
    if (this.scope.closed || this.isClosed) return false;
    const {worker} = this;
    if (worker.durableSequence > this.acknowledged) return true;
    if (worker.silentLooks > 0 && worker.isListed) return true;
    return this.hasSentRuns();
  }

  /** Highest end that the worker was told to forget. */
  private acknowledged = 0;

  private get lookWaitMs(): number {
    const share = Math.floor(this.holdMaximumMs * LOOK_SHARE_OF_LEASE);
    return Math.min(LOOK_WAIT_MS, share);
  }

  private hasSentRuns(): boolean {
    for (const {phase} of this.worker.runs.values()) {
      if (phase !== 'planned') return true;
    }
    return false;
  }

  private async watchLoop(): Promise<void> {
    let retryMs = LOOK_RETRY_MS;
    while (this.needsLook()) {
      if (!this.authority.isCertain(steadyNow())) {
        await this.scope.sleep(LOOK_RETRY_MS);
        continue;
      }
      const answered = await this.look(
        this.hasSentRuns() && this.worker.isKnown ? this.lookWaitMs : 0,
      );
      if (answered) {
        retryMs = LOOK_RETRY_MS;
        await this.untilDurable();
      } else {
        await this.scope.sleep(retryMs);
        retryMs = Math.min(retryMs * 2, LONGEST_LOOK_RETRY_MS);
      }
    }
  }

  /** A worker lists ends until they are acknowledged, so looking waits. */
  private async untilDurable(): Promise<void> {
    const {worker} = this;
    while (
      worker.processedSequence > worker.durableSequence &&
      !this.scope.closed &&
      !this.isClosed
    ) {
      await this.scope.sleep(DURABILITY_POLL_MS);
      if (worker.lapsesAt() - steadyNow() < this.holdMaximumMs / 2) return;
    }
  }

  private async look(waitMs: number): Promise<boolean> {
    const {worker, authority} = this;
    const sentAt = steadyNow();
    const acknowledgedSequence =
      worker.silentLooks === 0 ? worker.durableSequence : 0;
    const outcome = await this.client.renewLease(
      worker.entry,
      {
        term: authority.term,
        acknowledgedSequence,
        leaseUntilMs: this.extension(sentAt),
        waitMs,
      },
      this.lookAbort.signal,
    );
    if (this.scope.closed || this.isClosed) return false;
    switch (outcome.kind) {
      case 'seen':
        this.acknowledged = Math.max(this.acknowledged, acknowledgedSequence);
        this.seen(outcome, sentAt);
        return true;
      case 'superseded':
        authority.lose(`worker ${worker.workerId} has seen a higher term`);
        return false;
      case 'otherLife':
      case 'unanswered':
        worker.silentLooks += 1;
        if (worker.silentLooks === 1) this.log.workerSilent(worker, outcome);
        return false;
    }
  }

  /**
   * Only a worker that answers gets its lease extended. Otherwise the time at
   * which all leases on a silent worker have lapsed would never come.
   */
  private extension(now: SteadyTime): number | undefined {
    const {worker} = this;
    if (worker.silentLooks > 0) return undefined;
    return worker.extendLease(this.holdMaximumMs, now);
  }

  private seen(
    outcome: LeaseRenewalOutcome & {kind: 'seen'},
    sentAt: SteadyTime,
  ): void {
    const {worker, events} = this;
    const now = steadyNow();
    if (worker.silentLooks > 0) this.log.workerBack(worker);
    if (worker.seenLife !== outcome.incarnation) {
      worker.startLife(outcome.incarnation);
      this.acknowledged = 0;
    }
    worker.heard(outcome.clockMs, now);
    this.processEnds(outcome);
    this.processRunning(outcome, sentAt);
    for (const {run, percent} of events.pacesFor(worker)) {
      this.pace(run, percent);
    }
    if (!worker.isKnown) {
      worker.becomeKnown(this.holdMaximumMs);
      events.changed();
    }
  }

  private processEnds(outcome: LeaseRenewalOutcome & {kind: 'seen'}): void {
    const {worker, events} = this;
    let highest = worker.processedSequence;
    for (const end of outcome.ended) {
      if (end.sequence <= worker.processedSequence) continue;
      highest = Math.max(highest, end.sequence);
      const run = worker.find(end.task, end.run);
      if (run !== undefined) events.runEnded(run, end.ending, end.checkpoint);
      else this.log.unknownEnd(worker, end);
    }
    if (highest === worker.processedSequence) return;
    worker.processedSequence = highest;
    const {seenLife} = worker;
    events.whenDurable(() => {
      if (worker.seenLife !== seenLife) return;
      worker.durableSequence = Math.max(worker.durableSequence, highest);
      this.watch();
    });
  }

  private processRunning(
    outcome: LeaseRenewalOutcome & {kind: 'seen'},
    sentAt: SteadyTime,
  ): void {
    const {worker, events} = this;
    const listed = new Set<Run>();
    for (const running of outcome.running) {
      const run = worker.find(running.task, running.run);
      if (run === undefined) {
        void this.stopUnknown(running.task, running.run);
        continue;
      }
      listed.add(run);
      run.listed(running, events.now());
      if (run.phase === 'ordered') this.confirm(run, sentAt);
    }
    if (outcome.ended.length >= ENDS_PER_ANSWER) return;
    for (const run of [...worker.runs.values()]) {
      if (listed.has(run) || run.settledAt === undefined) continue;
      if (run.settledAt >= sentAt) continue;
      worker.remove(run);
      events.runLost(run, 'its worker does not list it');
    }
  }

  /** A task of which no record tells is stopped, so that its room is known. */
  private async stopUnknown(task: string, run: number): Promise<void> {
    this.log.unknownRun(this.worker, task, run);
    await this.client.stop(this.worker.entry, {task, run}, this.authority.term);
  }

  private confirm(run: Run, at: SteadyTime): void {
    run.settledAt = at;
    run.phase = 'running';
    this.log.started(run, this.events.now());
    this.events.runStarted(run);
  }

  // Orders.

  private isCurrent(run: Run): boolean {
    return this.worker.find(run.task, run.run) === run;
  }

  private async sendStart(run: Run): Promise<void> {
    const {worker, authority} = this;
    if (!(await this.hasFreshClock())) {
      this.drop(run, 'its worker does not answer');
      return;
    }
    for (let attempt = 0; attempt < START_ATTEMPTS; attempt += 1) {
      if (!this.isCurrent(run) || run.phase !== 'ordered') return;
      const now = steadyNow();
      if (!authority.isCertain(now)) {
        this.withdraw(run, 'leadership is not certain');
        return;
      }
      const leaseUntilMs = worker.extendLease(this.holdMaximumMs, now);
      if (leaseUntilMs === undefined) {
        this.withdraw(run, 'its worker started again');
        return;
      }
      run.wasSent = true;
      const outcome = await this.client.start(worker.entry, {
        task: run.task,
        run: run.run,
        specification: run.unit.job.submission.specification,
        checkpoint: run.unit.checkpoint,
        leaseUntilMs,
        term: authority.term,
        ticket: this.events.ticketFor(run),
      });
      if (this.scope.closed || !this.isCurrent(run)) return;
      if (this.startAnswered(run, outcome)) return;
    }
    worker.silentLooks += 1;
    this.log.orderUnanswered(run);
    if (this.isCurrent(run)) this.stop(run);
  }

  /** Returns false if the order has to be repeated. */
  private startAnswered(run: Run, outcome: OrderOutcome): boolean {
    const {worker} = this;
    const now = steadyNow();
    switch (outcome.kind) {
      case 'started':
      case 'stopped':
      case 'paced':
        worker.heard(outcome.clockMs, now);
        if (run.phase === 'ordered') this.confirm(run, now);
        this.watch();
        return true;
      case 'outdated':
        // The run ended or was stopped there; the next list tells which.
        run.settledAt = now;
        this.watch();
        return true;
      case 'leasePassed':
        worker.heard(outcome.clockMs, now);
        return false;
      case 'notAdmitted':
        this.events.ticketRejected(run);
        this.withdraw(run, 'its worker did not take the ticket');
        return true;
      case 'noRoom':
      case 'unhealthy':
      case 'rejected':
        worker.quarantine(now);
        this.log.quarantined(worker, `it refused a start: ${outcome.kind}`);
        this.withdraw(run, `its worker refused it: ${outcome.kind}`);
        return true;
      case 'superseded':
        this.authority.lose(`${worker.workerId} has seen a higher term`);
        return true;
      case 'otherLife':
        this.withdraw(run, 'another life of its worker answered');
        return true;
      case 'unknown':
        run.mayArriveLate = true;
        this.watch();
        return false;
    }
  }

  /**
   * Gives the start up. A refusal covers one attempt only: after one without
   * an answer, a stop has to void the run.
   */
  private withdraw(run: Run, reason: string): void {
    if (run.mayArriveLate) this.stop(run);
    else this.drop(run, reason);
  }

  /** The run was never started; its unit is placed again. */
  private drop(run: Run, reason: string): void {
    if (!this.isCurrent(run)) return;
    this.worker.remove(run);
    this.events.runLost(run, reason);
  }

  private async sendStop(run: Run): Promise<void> {
    const {worker, authority} = this;
    while (this.isCurrent(run) && !this.scope.closed && !this.isClosed) {
      if (authority.isCertain(steadyNow())) {
        const outcome = await this.client.stop(
          worker.entry,
          {task: run.task, run: run.run},
          authority.term,
        );
        if (outcome.kind === 'superseded') {
          authority.lose(`${worker.workerId} has seen a higher term`);
          return;
        }
        if (outcome.kind === 'stopped' || outcome.kind === 'outdated') {
          run.settledAt = steadyNow();
          // The look under way was asked before the stop.
          this.watch();
          return;
        }
      }
      await this.scope.sleep(STOP_RETRY_MS);
    }
  }

  private async sendPace(run: Run, percent: number): Promise<void> {
    if (!this.isCurrent(run) || run.phase !== 'running') return;
    if (!this.authority.isCertain(steadyNow())) return;
    const outcome = await this.client.pace(this.worker.entry, {
      task: run.task,
      run: run.run,
      percent,
      term: this.authority.term,
    });
    if (outcome.kind === 'superseded') {
      this.authority.lose(`${this.worker.workerId} has seen a higher term`);
    }
    // Without an answer the order may not be carried out: it is sent anew
    // when the next list still calls for it.
    if (outcome.kind !== 'paced' && run.pacePercent === percent) {
      run.pacePercent = NO_PACE_KNOWN;
    }
  }

  private async hasFreshClock(): Promise<boolean> {
    if (this.worker.answerAgeMs(steadyNow()) < CLOCK_AGE_MS) return true;
    this.contacting ??= this.look(0).finally(() => {
      this.contacting = undefined;
    });
    const answered = await this.contacting;
    if (!answered) this.watch();
    return answered && this.worker.hasClock;
  }
}
