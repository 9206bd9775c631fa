/**
 * What the leader believes about one worker: its entry in the directory, the
 * runs that may be on it, its clock, and when all leases on it must have
 * lapsed.
 */

import type {SteadyTime} from '../lifecycle/clock.js';
import {steadyTime} from '../lifecycle/clock.js';
import type {JobId, WorkerId} from '../model/ids.js';
import type {TaskShape} from '../model/submissions.js';
import type {WorkerEntry} from '../parties/task_worker.js';
import type {Run} from './jobs.js';

/** A worker's clock may be slower than the leader's by this share. */
const CLOCK_SLOWNESS = 0.02;

/** Covers the delivery of the message that set a lease. */
const LAPSE_MARGIN_MS = 250;

/** Failures of different jobs in a row that make a worker suspect. */
const SUSPECT_FAILURES = 2;

/** First time that a suspect worker gets no new run; doubled each time. */
const FIRST_QUARANTINE_MS = 5_000;
const LONGEST_QUARANTINE_MS = 60_000;

/** Returns how long a lease of `leaseMs` may last on the slowest clock. */
export function longestLapseMs(leaseMs: number): number {
  return leaseMs / (1 - CLOCK_SLOWNESS) + LAPSE_MARGIN_MS;
}

export class WorkerState {
  readonly runs = new Map<string, Run>();
  isListed = true;
  /** False until the worker answered under this term, if it may run tasks. */
  isKnown = true;
  /** Its VM is about to go down or to move. */
  isClosed = false;
  /** Highest end that was processed, and highest that is durable. */
  processedSequence = 0;
  durableSequence = 0;
  /** Life that the worker's list showed last. */
  seenLife: number | undefined;
  /** Consecutive looks without an answer. */
  silentLooks = 0;
  private clock: {clockMs: number; at: SteadyTime} | undefined;
  private leaseUntilMs = 0;
  /** Used until the worker's clock is known. */
  private lapseWithoutClock: SteadyTime | undefined;
  private quarantinedUntil: SteadyTime = steadyTime(0);
  private quarantineMs = FIRST_QUARANTINE_MS;
  private readonly failedJobs = new Set<JobId>();
  private drainEndsAt: SteadyTime | undefined;

  constructor(private current: WorkerEntry) {}

  get entry(): WorkerEntry {
    return this.current;
  }

  get workerId(): WorkerId {
    return this.current.workerId;
  }

  get life(): number {
    return this.current.incarnation;
  }

  /** Takes a newer entry; returns true if it belongs to another life. */
  update(entry: WorkerEntry, now: SteadyTime): boolean {
    const reborn = entry.incarnation > this.current.incarnation;
    if (entry.incarnation < this.current.incarnation) return false;
    this.current = entry;
    this.isListed = true;
    this.drainEndsAt =
      entry.isDraining && entry.remainingMs !== undefined
        ? steadyTime(now + entry.remainingMs)
        : undefined;
    if (reborn) {
      // Connections and the clock belong to the earlier life.
      this.clock = undefined;
      this.silentLooks = 0;
      if (this.runs.size === 0) this.isKnown = true;
    }
    return reborn;
  }

  /** Time until a draining worker may leave; undefined if it stays. */
  remainingMs(now: SteadyTime): number | undefined {
    return this.drainEndsAt === undefined ? undefined : this.drainEndsAt - now;
  }

  add(run: Run): void {
    this.runs.set(runKey(run.task, run.run), run);
  }

  remove(run: Run): void {
    this.runs.delete(runKey(run.task, run.run));
  }

  find(task: string, run: number): Run | undefined {
    return this.runs.get(runKey(task, run));
  }

  /** Room that no run may be using. */
  free(): TaskShape {
    const {capacity} = this.current;
    let processorMillicores = capacity.processorMillicores;
    let memoryMegabytes = capacity.memoryMegabytes;
    let accelerators = capacity.accelerators;
    for (const {step} of this.runs.values()) {
      if (step.usesSpareProcessor !== true) {
        processorMillicores -= step.shape.processorMillicores;
      }
      memoryMegabytes -= step.shape.memoryMegabytes;
      accelerators -= step.shape.accelerators;
    }
    return {processorMillicores, memoryMegabytes, accelerators};
  }

  /** True if new runs may be placed on the worker. */
  accepts(now: SteadyTime): boolean {
    return (
      this.isListed &&
      this.isKnown &&
      !this.isClosed &&
      !this.current.isDraining &&
      this.silentLooks === 0 &&
      now >= this.quarantinedUntil
    );
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

  heard(clockMs: number, now: SteadyTime): void {
    this.clock = {clockMs, at: now};
    this.silentLooks = 0;
  }

  /** Returns a lease end on the worker's clock and counts it as given. */
  extendLease(leaseMs: number, now: SteadyTime): number | undefined {
    if (this.clock === undefined) return undefined;
    const until =
      Math.floor(this.clock.clockMs + (now - this.clock.at)) + leaseMs;
    this.leaseUntilMs = Math.max(this.leaseUntilMs, until);
    return until;
  }

  /** An earlier leader may have given leases until `at`. */
  assumeLeasesUntil(at: SteadyTime): void {
    this.lapseWithoutClock = at;
    this.isKnown = false;
  }

  /** When nothing that was started before can still run. */
  lapsesAt(): SteadyTime {
    if (this.lapseWithoutClock !== undefined) return this.lapseWithoutClock;
    if (this.clock === undefined) return steadyTime(0);
    const leaseMs = Math.max(0, this.leaseUntilMs - this.clock.clockMs);
    return steadyTime(this.clock.at + longestLapseMs(leaseMs));
  }

  /** The worker answered under this term, so that the lists are complete. */
  becomeKnown(holdMaximumMs: number): void {
    if (this.lapseWithoutClock !== undefined && this.clock !== undefined) {
      // Leases that an earlier leader gave end at most this late.
      this.leaseUntilMs = Math.max(
        this.leaseUntilMs,
        this.clock.clockMs + holdMaximumMs,
      );
    }
    this.lapseWithoutClock = undefined;
    this.isKnown = true;
  }

  /** All leases have lapsed; what runs now has to be read again. */
  becomeUnknown(): void {
    this.isKnown = false;
    this.lapseWithoutClock = undefined;
    this.leaseUntilMs = 0;
  }

  quarantine(now: SteadyTime): void {
    this.quarantinedUntil = steadyTime(now + this.quarantineMs);
    this.quarantineMs = Math.min(this.quarantineMs * 2, LONGEST_QUARANTINE_MS);
    this.failedJobs.clear();
  }

  /** Returns true if the worker is now suspect and was quarantined. */
  countFailure(jobId: JobId, now: SteadyTime): boolean {
    this.failedJobs.add(jobId);
    if (this.failedJobs.size < SUSPECT_FAILURES) return false;
    this.quarantine(now);
    return true;
  }

  countSuccess(): void {
    this.failedJobs.clear();
    this.quarantineMs = FIRST_QUARANTINE_MS;
  }

  /** The worker's own list shows a life that was not seen before. */
  startLife(life: number): void {
    this.seenLife = life;
    this.processedSequence = 0;
    this.durableSequence = 0;
    this.leaseUntilMs = 0;
    this.failedJobs.clear();
    this.quarantinedUntil = steadyTime(0);
    this.quarantineMs = FIRST_QUARANTINE_MS;
  }
}

function runKey(task: string, run: number): string {
  return `${task}#${run}`;
}
