/**
 * Event queue of a discrete-event simulation. Entries run in order of time;
 * entries for the same instant run in the order in which they were added.
 */

import type {Instant} from '../model/ids.js';

interface Entry {
  readonly at: Instant;
  readonly run: () => void;
}

export class Timeline {
  private readonly entries: Entry[] = [];

  add(at: Instant, run: () => void): void {
    let low = 0;
    let high = this.entries.length;
    // Sorted with the earliest entry last, so that removing it takes O(1).
    while (low < high) {
      const middle = (low + high) >>> 1;
      const other = this.entries[middle];
      if (other !== undefined && other.at > at) low = middle + 1;
      else high = middle;
    }
    this.entries.splice(low, 0, {at, run});
  }

  nextAt(): Instant | undefined {
    return this.entries.at(-1)?.at;
  }

  /** Runs the entries due at exactly `now`, including those added meanwhile. */
  runDue(now: Instant): void {
    while (this.entries.at(-1)?.at === now) this.entries.pop()?.run();
  }
}
