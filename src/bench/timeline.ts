/**
 * Virtual time: steps that are due at an instant, run in order of time and,
 * at the same time, in the order in which they were added.
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
    // The earliest entry is last, so that taking it is cheap.
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

  /** Runs everything that is due at `now`. */
  runDue(now: Instant): void {
    while (this.entries.at(-1)?.at === now) this.entries.pop()?.run();
  }
}
