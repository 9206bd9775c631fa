/**
 * The leader's calls to one worker: lease renewals, which return the worker's
 * list of runs, and orders to start, stop and slow down runs. An order without
 * an answer may still be carried out. It is repeated, then voided by a stop.
 */

import type {CleanupScope} from '../../lifecycle/cleanup_scope.js';
import type {SteadyTime} from '../../lifecycle/clock.js';
import {steadyNow} from '../../lifecycle/clock.js';
import {instant} from '../../model/ids.js';
import type {Instant} from '../../model/ids.js';
import type {
  LeaseRenewalOutcome,
  OrderOutcome,
  TaskWorkerClient,
} from '../../interfaces/task_worker.js';
import type {Run} from '../jobs/runs.js';
import {UNKNOWN_PACE_PERCENT} from '../jobs/runs.js';
import type {LeaderLog} from '../leader_log.js';
import type {Authority} from '../authority.js';
import type {WorkerLinkEvents} from './worker_events.js';
import {OrderQueue} from './order_queue.js';
import {OrderValidity} from './order_validity.js';
import type {WorkerFences} from './worker_fences.js';
import {reportMissing} from './missing_runs.js';
import {RENEWAL_RETRY_MS} from './worker_state.js';
import type {WorkerState} from './worker_state.js';

/**
 * How long a worker may hold a lease renewal open while nothing ends. The
 * platform allows 2 s. A shorter wait detects stalled tasks and unresponsive
 * connections sooner, and a renewal is cheap.
 */
const RENEWAL_WAIT_MS = 800;

/**
 * Fraction of the lease that a renewal may wait, so that the lease survives two
 * failed renewals in a row.
 */
const RENEWAL_WAIT_LEASE_FRACTION = 1 / 3;

/** An older reading of a worker's clock is refreshed before a start. */
const MAX_CLOCK_AGE_MS = 3_000;

/** Attempts of a start without an answer, before it is voided by a stop. */
const START_ATTEMPTS = 3;

const STOP_RETRY_MS = 250;

/** Delay before a unit that several workers rejected is placed again. */
const REJECTED_RETRY_MS = 1_000;

/** Interval of the check whether the listed ends are durable. */
const DURABILITY_POLL_MS = 20;

/** Most ended runs that a worker lists in one answer. */
const MAXIMUM_ENDS_PER_ANSWER = 500;

export class WorkerLink {
  private readonly orders = new OrderQueue((run) => this.sendOrder(run));
  private readonly validity: OrderValidity;
  private isRenewing = false;
  private isClosed = false;
  private pendingClockRefresh: Promise<boolean> | undefined;
  private renewalAbort = new AbortController();

  constructor(
    private readonly worker: WorkerState,
    private readonly client: TaskWorkerClient,
    private readonly authority: Authority,
    private readonly fences: WorkerFences,
    private readonly holdMaximumMs: number,
    private readonly scope: CleanupScope,
    private readonly events: WorkerLinkEvents,
    private readonly log: LeaderLog,
  ) {
    this.validity = new OrderValidity(worker, authority, events);
  }

  close(): void {
    this.isClosed = true;
    this.renewalAbort.abort();
    this.orders.clear();
  }

  /** Renews the worker's lease for as long as it may hold runs. */
  startRenewing(): void {
    if (this.isRenewing || this.isClosed) return;
    this.isRenewing = true;
    void this.renewalLoop().finally(() => {
      this.isRenewing = false;
      if (this.needsRenewal()) this.startRenewing();
    });
  }

  /** Aborts the pending renewal, which a previous incarnation received. */
  abortRenewal(): void {
    this.renewalAbort.abort();
    this.renewalAbort = new AbortController();
  }

  start(run: Run): void {
    run.phase = 'ordered';
    this.orders.add(run);
  }

  /** The run's start, if it still waits, is not sent. */
  withdraw(run: Run): void {
    this.orders.withdraw(run);
  }

  /** Gives up starts that wait and are no longer right, so that they move. */
  reviewWaitingStarts(now: SteadyTime): void {
    const {orders, validity} = this;
    for (const {run, obstacle} of validity.outdatedStarts(
      orders.waiting,
      now,
    )) {
      orders.withdraw(run);
      this.abandonStart(run, obstacle);
    }
  }

  stop(run: Run): void {
    run.phase = 'stopping';
    this.startRenewing();
    // Not queued behind starts, as a stop frees capacity or saves work.
    void this.sendStop(run);
  }

  /** Limits the run to a percentage of full speed, until a later change. */
  setPace(run: Run, percent: number): void {
    run.pacePercent = percent;
    this.orders.add(run);
  }

  // Lease renewals.

  private needsRenewal(): boolean {
    if (this.scope.closed || this.isClosed) return false;
    const {worker} = this;
    if (worker.durableSequence > worker.acknowledgedSequence) return true;
    if (worker.failedRenewals > 0 && worker.isListed) return true;
    return this.hasSentRuns();
  }

  private get renewalWaitMs(): number {
    const share = Math.floor(this.holdMaximumMs * RENEWAL_WAIT_LEASE_FRACTION);
    return Math.min(RENEWAL_WAIT_MS, share);
  }

  private hasSentRuns(): boolean {
    for (const {phase} of this.worker.runs.values()) {
      if (phase !== 'planned') return true;
    }
    return false;
  }

  private async renewalLoop(): Promise<void> {
    while (this.needsRenewal()) {
      if (!this.authority.mayAct(steadyNow())) {
        await this.scope.sleep(RENEWAL_RETRY_MS);
        continue;
      }
      const mayWait = this.hasSentRuns() && this.worker.hasKnownRuns;
      const answered = await this.renew(mayWait ? this.renewalWaitMs : 0);
      if (answered) await this.waitUntilDurable();
      else await this.scope.sleep(this.worker.renewalRetryMs);
    }
  }

  /**
   * Delays the next renewal until the processed ends are durable, because the
   * worker lists them again until then. Returns early if the lease runs short.
   */
  private async waitUntilDurable(): Promise<void> {
    const {worker} = this;
    while (
      worker.processedSequence > worker.durableSequence &&
      !this.scope.closed &&
      !this.isClosed
    ) {
      await this.scope.sleep(DURABILITY_POLL_MS);
      if (worker.leasesLapseAt() - steadyNow() < this.holdMaximumMs / 2) return;
    }
  }

  private async renew(waitMs: number): Promise<boolean> {
    const {worker} = this;
    const sentAt = steadyNow();
    const acknowledgedSequence = worker.acknowledgeableSequence;
    const {fence} = this;
    const outcome = await this.client.renewLease(
      worker.entry,
      {
        fence,
        acknowledgedSequence,
        leaseUntilMs: this.nextLeaseEnd(sentAt),
        waitMs,
      },
      this.renewalAbort.signal,
    );
    this.fences.recordRenewal(worker.workerId, acknowledgedSequence, outcome);
    if (this.scope.closed || this.isClosed) return false;
    switch (outcome.kind) {
      case 'seen':
        worker.acknowledgedSequence = Math.max(
          worker.acknowledgedSequence,
          acknowledgedSequence,
        );
        this.handleRenewal(outcome, sentAt);
        return true;
      case 'superseded':
        this.handleSuperseded(fence);
        return false;
      case 'otherLife':
      case 'unanswered':
      case 'gone':
        if (outcome.kind === 'otherLife') worker.isReplaced = true;
        if (outcome.kind === 'gone') worker.markGone(this.events.now());
        worker.failedRenewals += 1;
        if (worker.failedRenewals > 1) return false;
        this.log.unresponsive(worker, outcome);
        this.events.workerSilent(worker);
        return false;
    }
  }

  /**
   * Extends the lease only if the worker answered the last renewal. Otherwise
   * the leases of an unresponsive worker would never be known to have lapsed.
   */
  private nextLeaseEnd(now: SteadyTime): number | undefined {
    const {worker} = this;
    if (worker.failedRenewals > 0) return undefined;
    return worker.extendLease(this.holdMaximumMs, now);
  }

  private handleRenewal(
    outcome: LeaseRenewalOutcome & {kind: 'seen'},
    sentAt: SteadyTime,
  ): void {
    const {worker, events} = this;
    const now = steadyNow();
    if (worker.failedRenewals > 0) this.log.responsive(worker);
    worker.recordIncarnation(outcome.incarnation, sentAt);
    const unobservedMs = worker.answerAgeMs(sentAt);
    worker.recordAnswer(outcome.clockMs, now);
    this.processEndedRuns(outcome, unobservedMs);
    this.processRunningTasks(outcome, sentAt);
    for (const {run, percent} of events.paceChangesFor(worker)) {
      this.setPace(run, percent);
    }
    if (!worker.hasKnownRuns) {
      worker.markRunsKnown(this.holdMaximumMs);
      events.capacityChanged();
    }
  }

  private processEndedRuns(
    outcome: LeaseRenewalOutcome & {kind: 'seen'},
    unobservedMs: number,
  ): void {
    const {worker, events} = this;
    let highest = worker.processedSequence;
    for (const end of outcome.ended) {
      if (end.sequence <= worker.processedSequence) continue;
      highest = Math.max(highest, end.sequence);
      const run = worker.find(end.task, end.run);
      if (run !== undefined) {
        run.unobservedMs = Math.max(0, unobservedMs);
        run.isEndListed = true;
        events.runEnded(run, end.ending, end.checkpoint);
      } else this.log.unknownEnd(worker, end);
    }
    if (highest === worker.processedSequence) return;
    worker.processedSequence = highest;
    const {lastSeenIncarnation} = worker;
    events.whenDurable(() => {
      if (worker.lastSeenIncarnation !== lastSeenIncarnation) return;
      worker.durableSequence = Math.max(worker.durableSequence, highest);
      this.startRenewing();
    });
  }

  private processRunningTasks(
    outcome: LeaseRenewalOutcome & {kind: 'seen'},
    sentAt: SteadyTime,
  ): void {
    const {worker, events} = this;
    const listed = new Set<Run>();
    for (const running of outcome.running) {
      const run = worker.find(running.task, running.run);
      if (run === undefined) {
        worker.incarnationWithUnrecordedRuns = outcome.incarnation;
        void this.stopUnknownRun(running.task, running.run);
        continue;
      }
      listed.add(run);
      run.incarnation = outcome.incarnation;
      run.updateFromList(running, events.now());
      run.progress.add(running.percent, outcome.clockMs);
      run.atWorkAt = this.timeOf(sentAt);
      if (run.phase === 'ordered') this.confirmStart(run, sentAt);
    }
    if (outcome.ended.length >= MAXIMUM_ENDS_PER_ANSWER) return;
    const missing = [...worker.runs.values()].filter(
      (run) =>
        !listed.has(run) &&
        run.presenceDecidedAt !== undefined &&
        run.presenceDecidedAt < sentAt,
    );
    reportMissing(worker, missing, outcome.incarnation, events);
  }

  /** Stops a run without a record, so that the free capacity is known. */
  private async stopUnknownRun(task: string, run: number): Promise<void> {
    if (!this.validity.mayOrder(steadyNow())) return;
    this.log.unknownRun(this.worker, task, run);
    await this.client.stop(this.worker.entry, {task, run}, this.fence);
  }

  private get fence(): number {
    return this.fences.fenceFor(this.worker.workerId);
  }

  /** The worker has seen a higher token: a later one of this term, or a leader's. */
  private handleSuperseded(sentFence: number): void {
    if (sentFence < this.fence) return;
    this.authority.leadershipLost(
      `worker ${this.worker.workerId} has seen a higher term`,
    );
  }

  private timeOf(steady: SteadyTime): Instant {
    return instant(this.events.now() - (steadyNow() - steady));
  }

  private confirmStart(run: Run, at: SteadyTime): void {
    run.presenceDecidedAt = at;
    run.phase = 'running';
    run.confirmedAt ??= this.events.now();
    this.log.startConfirmed(run, this.events.now());
    this.events.runStarted(run);
  }

  // Orders.

  private async sendOrder(run: Run): Promise<void> {
    if (run.phase === 'ordered') await this.sendStart(run);
    else await this.sendPace(run, run.pacePercent);
  }

  private async sendStart(run: Run): Promise<void> {
    const {worker} = this;
    if (!(await this.refreshClock())) {
      this.removeUnstarted(run, 'its worker is unresponsive');
      return;
    }
    for (let attempt = 0; attempt < START_ATTEMPTS; attempt += 1) {
      if (!this.validity.isStartNeeded(run)) return;
      const now = steadyNow();
      const obstacle = this.validity.startObstacle(run, now);
      if (obstacle !== undefined) {
        this.abandonStart(run, obstacle);
        return;
      }
      const leaseUntilMs = worker.extendLease(this.holdMaximumMs, now);
      if (leaseUntilMs === undefined) {
        this.abandonStart(run, 'its worker has restarted');
        return;
      }
      run.wasStartSent = true;
      run.firstSentAt ??= this.events.now();
      const sentAt = steadyNow();
      const {fence} = this;
      const outcome = await this.client.start(worker.entry, {
        task: run.task,
        run: run.runNumber,
        specification: run.unit.job.submission.specification,
        checkpoint: run.unit.checkpoint,
        leaseUntilMs,
        fence,
        ticket: this.events.ticketFor(run),
      });
      if (this.scope.closed || !this.validity.isAssigned(run)) return;
      if (outcome.kind === 'started') run.atWorkAt = this.timeOf(sentAt);
      // A later call of this term voided the attempt, which did nothing.
      if (outcome.kind === 'superseded' && fence < this.fence) continue;
      if (this.handleStartOutcome(run, outcome, sentAt, fence)) return;
    }
    worker.failedRenewals += 1;
    this.log.startUnanswered(run);
    if (this.validity.isAssigned(run)) this.stop(run);
  }

  /** Returns false if the order has to be repeated. */
  private handleStartOutcome(
    run: Run,
    outcome: OrderOutcome,
    sentAt: SteadyTime,
    sentFence: number,
  ): boolean {
    const {worker} = this;
    const now = steadyNow();
    switch (outcome.kind) {
      case 'started':
      case 'stopped':
      case 'paced':
        this.recordStartAnswer(outcome.clockMs, sentAt, now);
        if (run.phase === 'ordered') this.confirmStart(run, now);
        this.startRenewing();
        return true;
      case 'outdated':
        // The run has ended or was stopped. The next list shows which.
        run.presenceDecidedAt = now;
        this.startRenewing();
        return true;
      case 'leasePassed':
        this.recordStartAnswer(outcome.clockMs, sentAt, now);
        return false;
      case 'notAdmitted':
        this.events.ticketRejected(run);
        this.abandonStart(run, 'its worker rejected the ticket');
        return true;
      case 'rejected':
        if (!run.unit.blameWorker(worker.workerId, this.events.now())) {
          run.unit.retryAt = instant(this.events.now() + REJECTED_RETRY_MS);
          this.abandonStart(run, `its worker rejected it: ${outcome.detail}`);
          return true;
        }
        this.quarantineAfterRefusal(run, outcome.kind, now);
        return true;
      case 'noRoom':
      case 'unhealthy':
        this.quarantineAfterRefusal(run, outcome.kind, now);
        return true;
      case 'superseded':
        this.handleSuperseded(sentFence);
        return true;
      case 'otherLife':
        worker.isReplaced = true;
        this.abandonStart(run, 'another incarnation of its worker answered');
        return true;
      case 'unknown':
        run.mayStartLate = true;
        worker.recordUnansweredStart(now);
        this.startRenewing();
        return false;
    }
  }

  /** A renewal under way was meant for an earlier incarnation, if any. */
  private recordStartAnswer(
    clockMs: number,
    sentAt: SteadyTime,
    now: SteadyTime,
  ): void {
    const {worker} = this;
    const isFirst = !worker.hasClock;
    if (!worker.recordStartAnswer(clockMs, sentAt, now) || isFirst) return;
    this.fences.raise(worker.workerId);
    this.abortRenewal();
  }

  private quarantineAfterRefusal(
    run: Run,
    kind: OrderOutcome['kind'],
    now: SteadyTime,
  ): void {
    this.worker.quarantine(now);
    this.log.quarantined(this.worker, `it refused a start: ${kind}`);
    this.abandonStart(run, `its worker refused it: ${kind}`);
  }

  /**
   * Gives up the start. A refusal covers only one attempt, so if an earlier
   * attempt got no answer, the run has to be voided by a stop.
   */
  private abandonStart(run: Run, reason: string): void {
    if (run.mayStartLate) this.stop(run);
    else this.removeUnstarted(run, reason);
  }

  /** Removes a run that never started, so that its unit is placed again. */
  private removeUnstarted(run: Run, reason: string): void {
    if (!this.validity.isAssigned(run)) return;
    this.worker.remove(run);
    this.events.runLost(run, reason);
  }

  private async sendStop(run: Run): Promise<void> {
    const {worker, validity} = this;
    while (
      this.validity.isAssigned(run) &&
      !this.scope.closed &&
      !this.isClosed
    ) {
      if (validity.mayOrder(steadyNow())) {
        const {fence} = this;
        const outcome = await this.client.stop(
          worker.entry,
          {task: run.task, run: run.runNumber},
          fence,
        );
        if (outcome.kind === 'superseded') this.handleSuperseded(fence);
        if (outcome.kind === 'stopped' || outcome.kind === 'outdated') {
          run.presenceDecidedAt = steadyNow();
          // The renewal under way was sent before the stop.
          this.startRenewing();
          return;
        }
      }
      await this.scope.sleep(STOP_RETRY_MS);
    }
  }

  private async sendPace(run: Run, percent: number): Promise<void> {
    if (!this.validity.maySendPace(run, steadyNow())) return;
    const {fence} = this;
    const outcome = await this.client.pace(this.worker.entry, {
      task: run.task,
      run: run.runNumber,
      percent,
      fence,
    });
    if (outcome.kind === 'superseded') this.handleSuperseded(fence);
    // An order without an answer may not have been carried out. Marking the
    // pace as unknown sends it again if the next list still requires it.
    if (outcome.kind !== 'paced' && run.pacePercent === percent) {
      run.pacePercent = UNKNOWN_PACE_PERCENT;
    }
  }

  private async refreshClock(): Promise<boolean> {
    if (this.worker.answerAgeMs(steadyNow()) < MAX_CLOCK_AGE_MS) return true;
    this.pendingClockRefresh ??= this.renew(0).finally(() => {
      this.pendingClockRefresh = undefined;
    });
    const answered = await this.pendingClockRefresh;
    if (!answered) this.startRenewing();
    return answered && this.worker.hasClock;
  }
}
