/**
 * Whether calls to the store are worth waiting for. After a failure calls are
 * refused at once for a moment, then one is let through to try.
 */

import type {SteadyTime} from '../lifecycle/clock.js';
import {steadyTime} from '../lifecycle/clock.js';

/** How long a failure counts; the next call after it is the trial. */
const SUSPICION_MS = 400;

export class StoreHealth {
  private suspectUntil: SteadyTime = steadyTime(-Infinity);
  private failedSince: SteadyTime | undefined;

  isSuspect(now: SteadyTime): boolean {
    return now < this.suspectUntil;
  }

  /** Time since the first failure of an unbroken row, 0 without one. */
  failingForMs(now: SteadyTime): number {
    return this.failedSince === undefined ? 0 : now - this.failedSince;
  }

  failed(now: SteadyTime): void {
    this.failedSince ??= now;
    this.suspectUntil = steadyTime(now + SUSPICION_MS);
  }

  answered(): void {
    this.failedSince = undefined;
    this.suspectUntil = steadyTime(-Infinity);
  }
}
