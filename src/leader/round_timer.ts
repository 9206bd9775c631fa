/**
 * Decides when the leader plans its next scheduling round. Many events ask for
 * a round, and one round serves all of them.
 */

import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {SteadyTime} from '../lifecycle/clock.js';
import {steadyNow, steadyTime} from '../lifecycle/clock.js';

/** Node.js timers overflow at 2^31 ms. */
const MAXIMUM_DELAY_MS = 60_000;

export class RoundTimer {
  private isRequested = false;
  private earliestAt: SteadyTime = steadyTime(0);
  private pauseTimer: NodeJS.Timeout | undefined;
  private delayTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly scope: CleanupScope,
    private readonly runRound: () => void,
  ) {
    scope.add(() => {
      clearTimeout(this.pauseTimer);
      clearTimeout(this.delayTimer);
    });
  }

  /**
   * Plans as soon as the changes of this event loop turn are handled, but not
   * before the time that the last round took has passed again, so that lease
   * renewals and orders always get half of the processor time.
   */
  request(): void {
    if (this.isRequested || this.scope.closed) return;
    this.isRequested = true;
    const waitMs = this.earliestAt - steadyNow();
    if (waitMs < 1) setImmediate(() => this.run());
    else this.pauseTimer = setTimeout(() => this.run(), waitMs);
  }

  /** Requests a round after a delay, in place of an earlier delayed request. */
  requestAfter(delayMs: number | undefined): void {
    clearTimeout(this.delayTimer);
    if (delayMs === undefined) return;
    const waitMs = Math.min(Math.max(1, delayMs), MAXIMUM_DELAY_MS);
    this.delayTimer = setTimeout(() => this.request(), waitMs);
  }

  private run(): void {
    this.isRequested = false;
    if (this.scope.closed) return;
    const startedAt = steadyNow();
    this.runRound();
    const endedAt = steadyNow();
    this.earliestAt = steadyTime(2 * endedAt - startedAt);
  }
}
