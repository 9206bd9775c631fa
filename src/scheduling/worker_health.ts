/**
 * Quarantines workers on which tasks repeatedly fail soon after their start.
 * Failures of a job that turns out to be faulty itself are discarded. After a
 * quarantine the worker is on probation: the next immediate failure starts a
 * longer quarantine; a successful task ends the probation.
 */

import type {Instant, JobId, VmId} from '../model/ids.js';
import {after} from '../model/ids.js';

/** Consecutive immediate failures that put a worker into quarantine. */
const FAILURES_TO_QUARANTINE = 3;
/** Number of distinct jobs that these failures must come from. */
const JOBS_TO_QUARANTINE = 2;
/** Largest share of the zone's workers in quarantine at the same time. */
const MAXIMUM_QUARANTINED_SHARE = 0.2;
/** Long enough to restart a worker; a repaired one is soon in use again. */
const FIRST_QUARANTINE_MS = 600_000;
const LONGEST_QUARANTINE_MS = 8 * 3_600_000;

interface Health {
  /** Jobs of the latest consecutive immediate failures, oldest first. */
  failures: JobId[];
  quarantinedUntil: Instant | undefined;
  onProbation: boolean;
  /** Length of the next quarantine. */
  nextQuarantineMs: number;
}

export class WorkerHealth {
  private readonly workers = new Map<VmId, Health>();

  isQuarantined(workerId: VmId): boolean {
    return this.workers.get(workerId)?.quarantinedUntil !== undefined;
  }

  quarantined(): readonly VmId[] {
    return [...this.workers]
      .filter(([, health]) => health.quarantinedUntil !== undefined)
      .map(([workerId]) => workerId);
  }

  /** Records that a task of the job failed soon after its start. */
  recordFailure(workerId: VmId, jobId: JobId): void {
    const health = this.workers.get(workerId) ?? newHealth();
    health.failures = [...health.failures, jobId].slice(
      -FAILURES_TO_QUARANTINE,
    );
    this.workers.set(workerId, health);
  }

  /** Records that a task ran on the worker; clears its earlier failures. */
  recordSuccess(workerId: VmId): void {
    const health = this.workers.get(workerId);
    if (health === undefined) return;
    if (health.quarantinedUntil === undefined) this.workers.delete(workerId);
    else health.failures = [];
  }

  /** Discards the failures of a job that is itself the cause of them. */
  discardFailuresOf(jobId: JobId): void {
    for (const health of this.workers.values()) {
      if (!health.failures.includes(jobId)) continue;
      health.failures = health.failures.filter((other) => other !== jobId);
      if (!shouldQuarantine(health)) health.quarantinedUntil = undefined;
    }
  }

  /**
   * Ends and begins quarantines and returns the workers whose state changed.
   * If the zone has shrunk so that more than `MAXIMUM_QUARANTINED_SHARE` of
   * its workers are quarantined, those that would end first are released.
   */
  update(workers: ReadonlyMap<VmId, unknown>, now: Instant): readonly VmId[] {
    const before = new Set(this.quarantined());
    this.endQuarantines(workers, now);
    const allowed = Math.floor(workers.size * MAXIMUM_QUARANTINED_SHARE);
    this.releaseExcess(allowed);
    this.beginQuarantines(workers, allowed, now);
    const present = new Set(this.quarantined());
    const changed = [...this.workers.keys(), ...before].filter(
      (workerId) => before.has(workerId) !== present.has(workerId),
    );
    return [...new Set(changed)];
  }

  nextQuarantineEnd(): Instant | undefined {
    let next: Instant | undefined;
    for (const {quarantinedUntil} of this.workers.values()) {
      if (quarantinedUntil === undefined) continue;
      if (next === undefined || quarantinedUntil < next) {
        next = quarantinedUntil;
      }
    }
    return next;
  }

  private endQuarantines(
    workers: ReadonlyMap<VmId, unknown>,
    now: Instant,
  ): void {
    for (const [workerId, health] of this.workers) {
      if (!workers.has(workerId)) {
        this.workers.delete(workerId);
      } else if ((health.quarantinedUntil ?? Infinity) <= now) {
        health.quarantinedUntil = undefined;
        health.onProbation = true;
        health.failures = [];
      }
    }
  }

  private releaseExcess(allowed: number): void {
    const quarantined = [...this.workers.values()]
      .filter((health) => health.quarantinedUntil !== undefined)
      .sort(
        (one, other) =>
          (one.quarantinedUntil ?? 0) - (other.quarantinedUntil ?? 0),
      );
    for (const health of quarantined.slice(
      0,
      Math.max(0, quarantined.length - allowed),
    )) {
      health.quarantinedUntil = undefined;
      health.failures = [];
      health.onProbation = true;
    }
  }

  private beginQuarantines(
    workers: ReadonlyMap<VmId, unknown>,
    allowed: number,
    now: Instant,
  ): void {
    let quarantined = this.quarantined().length;
    for (const [workerId, health] of this.workers) {
      if (quarantined >= allowed) return;
      if (health.quarantinedUntil !== undefined) continue;
      if (!workers.has(workerId) || !shouldQuarantine(health)) continue;
      health.quarantinedUntil = after(now, health.nextQuarantineMs);
      health.nextQuarantineMs = Math.min(
        2 * health.nextQuarantineMs,
        LONGEST_QUARANTINE_MS,
      );
      quarantined += 1;
    }
  }
}

function newHealth(): Health {
  return {
    failures: [],
    quarantinedUntil: undefined,
    onProbation: false,
    nextQuarantineMs: FIRST_QUARANTINE_MS,
  };
}

function shouldQuarantine(health: Health): boolean {
  if (health.onProbation) return health.failures.length > 0;
  return (
    health.failures.length >= FAILURES_TO_QUARANTINE &&
    new Set(health.failures).size >= JOBS_TO_QUARANTINE
  );
}
