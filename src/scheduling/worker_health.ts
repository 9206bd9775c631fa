/**
 * Which workers are quarantined because they fail what they start, and which
 * jobs are to blame instead. A quarantine ends in probation: the next failure
 * at once extends it, a task that works ends it.
 */

import type {Instant, JobId, VmId} from '../model/ids.js';
import {after} from '../model/ids.js';

/** Consecutive failures at once that put a worker into quarantine. */
const FAILURES_TO_QUARANTINE = 3;
/** Different jobs that these failures have to come from. */
const JOBS_TO_QUARANTINE = 2;
/** Share of the zone's workers that may be quarantined at a time. */
const MAXIMUM_QUARANTINED_SHARE = 0.2;
/** Long enough to restart a worker, short enough to notice that it works. */
const FIRST_QUARANTINE_MS = 600_000;
const LONGEST_QUARANTINE_MS = 8 * 3_600_000;

interface Health {
  /** Jobs of the newest consecutive failures at once, oldest first. */
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

  /** A task of the job failed at once on the worker. */
  recordFailure(workerId: VmId, jobId: JobId): void {
    const health = this.workers.get(workerId) ?? newHealth();
    health.failures = [...health.failures, jobId].slice(
      -FAILURES_TO_QUARANTINE,
    );
    this.workers.set(workerId, health);
  }

  /** A task ran on the worker, so that earlier failures no longer count. */
  recordSuccess(workerId: VmId): void {
    const health = this.workers.get(workerId);
    if (health === undefined) return;
    if (health.quarantinedUntil === undefined) this.workers.delete(workerId);
    else health.failures = [];
  }

  /** The job is to blame; its failures no longer count against workers. */
  discardFailuresOf(jobId: JobId): void {
    for (const health of this.workers.values()) {
      if (!health.failures.includes(jobId)) continue;
      health.failures = health.failures.filter((other) => other !== jobId);
      if (!isSuspect(health)) health.quarantinedUntil = undefined;
    }
  }

  /**
   * Ends and begins quarantines and returns the workers that changed. At most
   * a fifth of the workers is quarantined, and those that are due first are
   * released if the zone has shrunk.
   */
  update(workers: ReadonlyMap<VmId, unknown>, now: Instant): readonly VmId[] {
    const before = new Set(this.quarantined());
    this.endQuarantines(workers, now);
    const allowed = Math.floor(workers.size * MAXIMUM_QUARANTINED_SHARE);
    this.releaseBeyond(allowed);
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

  private releaseBeyond(allowed: number): void {
    const held = [...this.workers.values()]
      .filter((health) => health.quarantinedUntil !== undefined)
      .sort(
        (one, other) =>
          (one.quarantinedUntil ?? 0) - (other.quarantinedUntil ?? 0),
      );
    for (const health of held.slice(0, Math.max(0, held.length - allowed))) {
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
    let held = this.quarantined().length;
    for (const [workerId, health] of this.workers) {
      if (held >= allowed) return;
      if (health.quarantinedUntil !== undefined) continue;
      if (!workers.has(workerId) || !isSuspect(health)) continue;
      health.quarantinedUntil = after(now, health.nextQuarantineMs);
      health.nextQuarantineMs = Math.min(
        2 * health.nextQuarantineMs,
        LONGEST_QUARANTINE_MS,
      );
      held += 1;
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

function isSuspect(health: Health): boolean {
  if (health.onProbation) return health.failures.length > 0;
  return (
    health.failures.length >= FAILURES_TO_QUARANTINE &&
    new Set(health.failures).size >= JOBS_TO_QUARANTINE
  );
}
