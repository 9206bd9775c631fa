/**
 * Detects that this process did not run for a while: it was stopped, its event
 * loop was blocked, or its VM was suspended. What it learned before may be
 * outdated although the steady clock, which does not count a suspension, says
 * otherwise, and an answer that waited in a socket buffer meanwhile is older
 * than the time at which it is read.
 */

import type {CleanupScope} from './cleanup_scope.js';
import type {Clock, SteadyTime} from './clock.js';
import {steadyNow} from './clock.js';

const TICK_MS = 250;

/** A tick that is later than this shows a pause and not just a busy VM. */
const PAUSE_THRESHOLD_MS = 750;

/**
 * A larger jump of the time of day against the steady clock counts as a
 * suspension. A changed time of day looks the same, and costs one more poll.
 */
const SUSPENSION_THRESHOLD_MS = 150;

export class PauseDetector {
  private lastTickAt: SteadyTime;
  private clockOffsetMs: number;
  private lastPauseSeenAt: SteadyTime | undefined;
  private readonly listeners = new Set<() => void>();

  constructor(
    private readonly clock: Clock,
    scope: CleanupScope,
  ) {
    const now = steadyNow();
    this.lastTickAt = now;
    this.clockOffsetMs = clock.now() - now;
    scope.every(TICK_MS, () => this.update(steadyNow()));
  }

  /**
   * Calls the listener when a pause has ended; returns a function that removes
   * it.
   */
  onPause(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** True if the process has paused between `since` and `now`. */
  hasPausedSince(since: SteadyTime, now: SteadyTime): boolean {
    this.update(now);
    return this.lastPauseSeenAt !== undefined && this.lastPauseSeenAt >= since;
  }

  private update(now: SteadyTime): void {
    const offsetMs = this.clock.now() - now;
    const wasPaused = now - this.lastTickAt > PAUSE_THRESHOLD_MS;
    const wasSuspended =
      offsetMs - this.clockOffsetMs > SUSPENSION_THRESHOLD_MS;
    this.lastTickAt = now;
    this.clockOffsetMs = offsetMs;
    if (!wasPaused && !wasSuspended) return;
    this.lastPauseSeenAt = now;
    for (const listener of [...this.listeners]) listener();
  }
}
