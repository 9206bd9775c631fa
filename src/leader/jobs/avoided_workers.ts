/**
 * Workers that a unit avoids because a run of it failed or stalled there. An
 * entry expires, as the unit may have no other worker and the cause may be gone.
 */

import type {Instant, WorkerId} from '../../model/ids.js';
import {instant} from '../../model/ids.js';

/** A failure uses up one of the task's attempts, so the worker gets time. */
const AVOIDANCE_MS = 7_000;

/** Long-running tasks have no limit of attempts and should always run. */
const LONG_RUNNING_AVOIDANCE_MS = 2_000;

/** How long a unit waits before it uses a worker with a recent failure. */
export function avoidanceMs(isLongRunning: boolean): number {
  return isLongRunning ? LONG_RUNNING_AVOIDANCE_MS : AVOIDANCE_MS;
}

export class AvoidedWorkers {
  /** Most units never have one; a map for each would take more than they do. */
  private avoidedUntil: Map<WorkerId, Instant> | undefined;

  constructor(private readonly durationMs: number) {}

  add(workerId: WorkerId, now: Instant): void {
    this.avoidedUntil ??= new Map();
    for (const [other, until] of this.avoidedUntil) {
      if (now >= until) this.avoidedUntil.delete(other);
    }
    this.avoidedUntil.set(workerId, instant(now + this.durationMs));
  }

  clear(): void {
    this.avoidedUntil = undefined;
  }

  has(workerId: WorkerId, now: Instant): boolean {
    return now < (this.avoidedUntil?.get(workerId) ?? 0);
  }

  isEmpty(now: Instant): boolean {
    if (this.avoidedUntil === undefined) return true;
    return [...this.avoidedUntil.values()].every((until) => now >= until);
  }
}
