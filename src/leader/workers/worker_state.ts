/**
 * The leader's cached view of one worker: its directory entry, the runs that
 * may be on it, its clock, and the time by which all its leases have lapsed.
 */

import type {SteadyTime} from '../../lifecycle/clock.js';
import {steadyTime} from '../../lifecycle/clock.js';
import type {Instant, JobId, WorkerId} from '../../model/ids.js';
import type {TaskShape} from '../../model/submissions.js';
import type {WorkerEntry} from '../../interfaces/task_worker.js';
import type {WorkerFate} from '../losses/crash_history.js';
import type {Run} from '../jobs/runs.js';

/** Fraction by which a worker's clock may be slower than the leader's. */
const MAXIMUM_CLOCK_SLOWNESS = 0.02;

/** Allowance for the delivery of the message that set a lease. */
const LEASE_DELIVERY_MARGIN_MS = 250;

/**
 * Number of different jobs with a failure, without a success in between, that
 * quarantines a worker.
 */
const FAILURES_UNTIL_QUARANTINE = 2;

/**
 * A quarantined worker gets no new runs. The duration is doubled each time, up
 * to the maximum.
 */
const INITIAL_QUARANTINE_MS = 5_000;
const MAXIMUM_QUARANTINE_MS = 60_000;

/**
 * Delay after a renewal has failed twice, doubled up to the maximum. The first
 * repetition is sent at once, as it shows whether the process still listens.
 */
export const RENEWAL_RETRY_MS = 250;
const MAXIMUM_RENEWAL_RETRY_MS = 2_000;

/** Returns how long a lease of `leaseMs` may last on the slowest clock. */
export function longestLeaseDurationMs(leaseMs: number): number {
  return leaseMs / (1 - MAXIMUM_CLOCK_SLOWNESS) + LEASE_DELIVERY_MARGIN_MS;
}

/** See the fields of `WorkerState` of these names. */
export type UnusableReason =
  | 'notListed'
  | 'replaced'
  | 'runsUnknown'
  | 'closed'
  | 'evacuated'
  | 'draining'
  /** The last lease renewal had no answer. */
  | 'silent';

export class WorkerState {
  readonly runs = new Map<string, Run>();
  isListed = true;
  /** False while the worker may have runs that the leader does not know. */
  hasKnownRuns = true;
  /** Set while its VM is about to go down or to move to another pool. */
  isClosedToNewRuns = false;
  /** Its availability zone is evacuated, so no run is started on it. */
  isEvacuated = false;
  /** Highest sequence numbers of ends that were processed and are durable. */
  processedSequence = 0;
  durableSequence = 0;
  /** Highest one whose acknowledgement the worker has answered. */
  acknowledgedSequence = 0;
  /** Incarnation that sent the last list of runs. */
  lastSeenIncarnation: number | undefined;
  /** Consecutive lease renewals without an answer. */
  failedRenewals = 0;
  /** Another worker answers at its address. */
  isReplaced = false;
  /** Last incarnation that listed runs without a record. */
  incarnationWithUnrecordedRuns: number | undefined;
  /** The worker has answered since its leases last lapsed. */
  private hasAnswered = false;
  /** Last incarnation that announced its end. */
  private drainedIncarnation: number | undefined;
  /** Last incarnation that was running when its end was ordered. */
  private incarnationOrderedToEnd: number | undefined;
  /** Incarnations up to this one may have been told to end unnoticed. */
  private lastUnwatchedIncarnation: number;
  /** Incarnation after whose start no process listened at the address. */
  private gone: {incarnation: number; since: Instant} | undefined;
  private clock: {clockMs: number; at: SteadyTime} | undefined;
  /** When a start may first have reached an incarnation without a list. */
  private mayHaveRestartedAt: SteadyTime | undefined;
  private leaseUntilMs = 0;
  /** When leases of an earlier leader have lapsed, until the worker answers. */
  private assumedLapseAt: SteadyTime | undefined;
  private quarantinedUntil: SteadyTime = steadyTime(0);
  private quarantineMs = INITIAL_QUARANTINE_MS;
  private readonly failedJobs = new Set<JobId>();
  private drainEndsAt: SteadyTime | undefined;
  private warmAt: SteadyTime = steadyTime(0);

  constructor(private currentEntry: WorkerEntry) {
    // Earlier leaders may have seen notices of earlier incarnations.
    this.lastUnwatchedIncarnation = currentEntry.incarnation - 1;
    this.noteDrain();
  }

  get entry(): WorkerEntry {
    return this.currentEntry;
  }

  get workerId(): WorkerId {
    return this.currentEntry.workerId;
  }

  get incarnation(): number {
    return this.currentEntry.incarnation;
  }

  /** Applies a newer entry; returns true if the worker has restarted. */
  update(entry: WorkerEntry, now: SteadyTime): boolean {
    const hasRestarted = entry.incarnation > this.currentEntry.incarnation;
    if (entry.incarnation < this.currentEntry.incarnation) return false;
    this.currentEntry = entry;
    this.isListed = true;
    this.noteDrain();
    this.drainEndsAt =
      entry.isDraining && entry.remainingMs !== undefined
        ? steadyTime(now + entry.remainingMs)
        : undefined;
    if (hasRestarted) {
      // The clock and unanswered renewals are of the previous incarnation.
      this.clock = undefined;
      this.failedRenewals = 0;
      this.isReplaced = false;
      if (this.runs.size === 0) this.hasKnownRuns = true;
    }
    return hasRestarted;
  }

  /** Notes how much longer the worker is slow, by its newest entry. */
  recordColdness(now: SteadyTime): void {
    this.warmAt = steadyTime(now + (this.currentEntry.warmInMs ?? 0));
  }

  isCold(now: SteadyTime): boolean {
    return now < this.warmAt;
  }

  /** Delay before a failed renewal is repeated. */
  get renewalRetryMs(): number {
    if (this.failedRenewals <= 1) return 0;
    const delayMs = RENEWAL_RETRY_MS * 2 ** (this.failedRenewals - 2);
    return Math.min(delayMs, MAXIMUM_RENEWAL_RETRY_MS);
  }

  /** True if the incarnation ends by a notice or by an order. */
  wasEndExpected(incarnation: number): boolean {
    return (
      this.drainedIncarnation === incarnation ||
      this.incarnationOrderedToEnd === incarnation
    );
  }

  /** True if the incarnation has ended, or ends by a notice or an order. */
  isKnownToEnd(incarnation: number): boolean {
    return (
      incarnation < this.incarnation ||
      this.goneSince(incarnation) !== undefined ||
      this.wasEndExpected(incarnation)
    );
  }

  /** What the end of an incarnation that is known to have ended means. */
  fateOfEnded(incarnation: number): WorkerFate {
    if (this.wasEndExpected(incarnation)) return 'left';
    const wasWatched = incarnation > this.lastUnwatchedIncarnation;
    return wasWatched ? 'crashed' : 'ended';
  }

  /** No process listens at the worker's address. */
  markGone(now: Instant): void {
    if (this.gone?.incarnation === this.incarnation) return;
    this.gone = {incarnation: this.incarnation, since: now};
  }

  /** When the incarnation was first known to have ended, by its address. */
  goneSince(incarnation: number): Instant | undefined {
    return this.gone?.incarnation === incarnation ? this.gone.since : undefined;
  }

  /** Maintenance or a move of its VM is being ordered. */
  expectEnd(): void {
    if (this.failedRenewals > 0 || !this.isListed) {
      // It may have crashed before the order.
      this.markUnwatched();
      return;
    }
    this.incarnationOrderedToEnd = this.incarnation;
  }

  /** The order to end was rejected; an earlier one may still be carried out. */
  withdrawExpectedEnd(): void {
    if (this.incarnationOrderedToEnd !== this.incarnation) return;
    this.incarnationOrderedToEnd = undefined;
    this.markUnwatched();
  }

  /** The current incarnation may have been told to end unnoticed. */
  markUnwatched(): void {
    this.lastUnwatchedIncarnation = Math.max(
      this.lastUnwatchedIncarnation,
      this.incarnation,
    );
  }

  private noteDrain(): void {
    const {isDraining, incarnation} = this.currentEntry;
    if (isDraining) this.drainedIncarnation = incarnation;
  }

  /** Milliseconds until a draining worker may leave; undefined if it stays. */
  remainingMs(now: SteadyTime): number | undefined {
    return this.drainEndsAt === undefined ? undefined : this.drainEndsAt - now;
  }

  add(run: Run): void {
    this.runs.set(runKey(run.task, run.runNumber), run);
  }

  remove(run: Run): void {
    this.runs.delete(runKey(run.task, run.runNumber));
  }

  find(task: string, run: number): Run | undefined {
    return this.runs.get(runKey(task, run));
  }

  /** Capacity that no run can be using. */
  freeCapacity(): TaskShape {
    return this.freeCapacityBeside(() => true);
  }

  private freeCapacityBeside(isCounted: (run: Run) => boolean): TaskShape {
    const {capacity} = this.currentEntry;
    let processorMillicores = capacity.processorMillicores;
    let memoryMegabytes = capacity.memoryMegabytes;
    let accelerators = capacity.accelerators;
    for (const run of this.runs.values()) {
      if (!isCounted(run)) continue;
      const {step} = run;
      if (step.usesSpareProcessor !== true) {
        processorMillicores -= step.shape.processorMillicores;
      }
      memoryMegabytes -= step.shape.memoryMegabytes;
      accelerators -= step.shape.accelerators;
    }
    return {processorMillicores, memoryMegabytes, accelerators};
  }

  /** False if the capacity was reduced since the run was placed. */
  hasRoomFor(run: Run): boolean {
    const free = this.freeCapacityBeside(
      (other) => other === run || other.wasStartSent,
    );
    const {shape, usesSpareProcessor} = run.step;
    return (
      (shape.accelerators <= 0 || free.accelerators >= 0) &&
      (shape.memoryMegabytes <= 0 || free.memoryMegabytes >= 0) &&
      (usesSpareProcessor === true || free.processorMillicores >= 0)
    );
  }

  /** True if new runs may be placed on the worker. */
  accepts(now: SteadyTime): boolean {
    return this.isUsable && !this.isQuarantined(now);
  }

  /** True if the worker could carry out a start; it may be quarantined. */
  get isUsable(): boolean {
    return this.unusableReason === undefined;
  }

  /** The first reason for which the worker could not carry out a start. */
  get unusableReason(): UnusableReason | undefined {
    if (!this.isListed) return 'notListed';
    if (this.isReplaced) return 'replaced';
    if (!this.hasKnownRuns) return 'runsUnknown';
    if (this.isClosedToNewRuns) return 'closed';
    if (this.isEvacuated) return 'evacuated';
    if (this.currentEntry.isDraining) return 'draining';
    return this.failedRenewals === 0 ? undefined : 'silent';
  }

  isQuarantined(now: SteadyTime): boolean {
    return now < this.quarantinedUntil;
  }

  get hasClock(): boolean {
    return this.clock !== undefined;
  }

  /** Age of the last answer, in milliseconds. */
  answerAgeMs(now: SteadyTime): number {
    return this.clock === undefined ? Infinity : now - this.clock.at;
  }

  /** True if the incarnation has answered since its leases last lapsed. */
  isAnswering(incarnation: number): boolean {
    return (
      this.isListed &&
      this.hasAnswered &&
      this.failedRenewals === 0 &&
      this.lastSeenIncarnation === incarnation
    );
  }

  /**
   * Highest sequence number of an end that the worker may discard and has not
   * discarded yet, or 0. Each end is acknowledged until that is answered and no
   * longer: a call that was sent to this incarnation may reach a later one, and
   * would discard ends there that were never read.
   */
  get acknowledgeableSequence(): number {
    if (this.durableSequence <= this.acknowledgedSequence) return 0;
    // A later incarnation numbers its ends from 1, so that an acknowledgement
    // meant for an earlier one would discard ends that were never read.
    const isSameIncarnation =
      this.failedRenewals === 0 &&
      this.mayHaveRestartedAt === undefined &&
      this.lastSeenIncarnation === this.incarnation;
    return isSameIncarnation ? this.durableSequence : 0;
  }

  /** Returns true if the worker may have restarted since its last answer. */
  recordStartAnswer(
    clockMs: number,
    sentAt: SteadyTime,
    now: SteadyTime,
  ): boolean {
    const mayHaveRestarted = this.hasClockRestarted(clockMs, sentAt);
    if (mayHaveRestarted) this.mayHaveRestartedAt = now;
    this.recordAnswer(clockMs, now);
    return mayHaveRestarted;
  }

  /** A start without an answer may have reached another incarnation. */
  recordUnansweredStart(now: SteadyTime): void {
    this.mayHaveRestartedAt = now;
  }

  /** Each incarnation has a new clock, which is never set. */
  private hasClockRestarted(clockMs: number, sentAt: SteadyTime): boolean {
    if (this.clock === undefined) return true;
    const elapsedMs = sentAt - this.clock.at;
    const toleranceMs = Math.abs(elapsedMs) * MAXIMUM_CLOCK_SLOWNESS;
    return clockMs < Math.floor(this.clock.clockMs + elapsedMs - toleranceMs);
  }

  recordAnswer(clockMs: number, now: SteadyTime): void {
    this.hasAnswered = true;
    this.clock = {clockMs, at: now};
    this.failedRenewals = 0;
  }

  /**
   * Returns the end of a lease, in milliseconds on the worker's clock, and
   * records it as granted. Returns undefined if the clock is not known.
   */
  extendLease(leaseMs: number, now: SteadyTime): number | undefined {
    if (this.clock === undefined) return undefined;
    const until =
      Math.floor(this.clock.clockMs + (now - this.clock.at)) + leaseMs;
    this.leaseUntilMs = Math.max(this.leaseUntilMs, until);
    return until;
  }

  /** An earlier leader may have granted leases until `at`. */
  assumeLeasesUntil(at: SteadyTime): void {
    this.assumedLapseAt = at;
    this.hasKnownRuns = false;
  }

  /** Time by which no run that was started before can still be running. */
  leasesLapseAt(): SteadyTime {
    if (this.assumedLapseAt !== undefined) return this.assumedLapseAt;
    if (this.clock === undefined) return steadyTime(0);
    const leaseMs = Math.max(0, this.leaseUntilMs - this.clock.clockMs);
    return steadyTime(this.clock.at + longestLeaseDurationMs(leaseMs));
  }

  /** The worker answered in this term, so its list of runs is complete. */
  markRunsKnown(holdMaximumMs: number): void {
    if (this.assumedLapseAt !== undefined && this.clock !== undefined) {
      // Leases that an earlier leader granted end no later than this.
      this.leaseUntilMs = Math.max(
        this.leaseUntilMs,
        this.clock.clockMs + holdMaximumMs,
      );
    }
    this.assumedLapseAt = undefined;
    this.hasKnownRuns = true;
  }

  /** All leases have lapsed, and the list of runs has to be read again. */
  markRunsUnknown(): void {
    this.hasKnownRuns = false;
    this.hasAnswered = false;
    this.assumedLapseAt = undefined;
    this.leaseUntilMs = 0;
  }

  quarantine(now: SteadyTime): void {
    this.quarantinedUntil = steadyTime(now + this.quarantineMs);
    this.quarantineMs = Math.min(this.quarantineMs * 2, MAXIMUM_QUARANTINE_MS);
    this.failedJobs.clear();
  }

  /** Returns true if the failure caused a quarantine. */
  countFailure(jobId: JobId, now: SteadyTime): boolean {
    this.failedJobs.add(jobId);
    if (this.failedJobs.size < FAILURES_UNTIL_QUARANTINE) return false;
    this.quarantine(now);
    return true;
  }

  countSuccess(): void {
    this.failedJobs.clear();
    this.quarantineMs = INITIAL_QUARANTINE_MS;
  }

  /** Notes which incarnation sent a list. */
  recordIncarnation(incarnation: number, sentAt: SteadyTime): void {
    if (this.gone?.incarnation === incarnation) this.gone = undefined;
    if (sentAt >= (this.mayHaveRestartedAt ?? Infinity)) {
      this.mayHaveRestartedAt = undefined;
    }
    if (this.lastSeenIncarnation === incarnation) return;
    this.startIncarnation(incarnation);
  }

  /** Resets what belongs to the previous incarnation. */
  private startIncarnation(incarnation: number): void {
    this.lastSeenIncarnation = incarnation;
    this.processedSequence = 0;
    this.durableSequence = 0;
    this.acknowledgedSequence = 0;
    this.leaseUntilMs = 0;
    this.failedJobs.clear();
    this.quarantinedUntil = steadyTime(0);
    this.quarantineMs = INITIAL_QUARANTINE_MS;
  }
}

/** The runs of each incarnation of their worker, as they end separately. */
export function runsByIncarnation(
  runs: readonly Run[],
): ReadonlyMap<number, readonly Run[]> {
  const groups = new Map<number, Run[]>();
  for (const run of runs) {
    const group = groups.get(run.incarnation);
    if (group === undefined) groups.set(run.incarnation, [run]);
    else group.push(run);
  }
  return groups;
}

function runKey(task: string, run: number): string {
  return `${task}#${run}`;
}
