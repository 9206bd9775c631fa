/**
 * Exponential backoff with full jitter, so that daemons that lost the same
 * service do not all retry at the same moment.
 */

import type {RandomSource} from './random.js';

const DEFAULT_FIRST_WAIT_MS = 100;
const DEFAULT_LONGEST_WAIT_MS = 5_000;

export class Backoff {
  private failures = 0;

  constructor(
    private readonly random: RandomSource,
    private readonly firstWaitMs = DEFAULT_FIRST_WAIT_MS,
    private readonly longestWaitMs = DEFAULT_LONGEST_WAIT_MS,
  ) {}

  /** Counts a failure and returns the time to the next retry in ms. */
  nextWaitMs(): number {
    const bound = Math.min(
      this.longestWaitMs,
      this.firstWaitMs * 2 ** this.failures,
    );
    this.failures += 1;
    return this.random.next() * bound;
  }

  reset(): void {
    this.failures = 0;
  }
}
