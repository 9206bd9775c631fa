/**
 * Work that a daemon accepts while no leader can say whether there is room. The
 * allowance grows slowly, so that all daemons together cannot fill a leader's
 * memory before one leads again, while ordinary callers are served meanwhile.
 */

import type {SteadyTime} from '../lifecycle/clock.js';

/** Share of the limit that all daemons may accept at once. */
const BURST_SHARE = 0.25;

/** Time in which the allowance of all daemons grows by the whole limit. */
const REFILL_MS = 240_000;

export class UnconfirmedWork {
  private usedBytes = 0;
  private updatedAt: SteadyTime | undefined;

  /** `limitBytes`: what all accepted work of the site may take. */
  constructor(private readonly limitBytes: number) {}

  /** Returns true, and counts the work, if it is within the allowance. */
  accept(bytes: number, daemonCount: number, now: SteadyTime): boolean {
    const share = this.limitBytes / Math.max(1, daemonCount);
    const grownBytes = ((now - (this.updatedAt ?? now)) / REFILL_MS) * share;
    this.usedBytes = Math.max(0, this.usedBytes - grownBytes);
    this.updatedAt = now;
    if (this.usedBytes + bytes > share * BURST_SHARE) return false;
    this.usedBytes += bytes;
    return true;
  }
}
