/**
 * Sources of the current time. Decision logic takes `now` as an argument; only
 * controllers and servers read a clock.
 */

import {instant} from '../model/ids.js';
import type {Instant} from '../model/ids.js';

export abstract class Clock {
  abstract now(): Instant;
}

/** The system's wall clock. */
export class SystemClock extends Clock {
  override now(): Instant {
    return instant(Date.now());
  }
}

/**
 * Monotonic time in milliseconds since an unspecified start. It does not
 * advance while the VM is suspended.
 */
export type SteadyTime = number & {readonly steadyTime: unique symbol};

export function steadyTime(milliseconds: number): SteadyTime {
  return milliseconds as SteadyTime;
}

/** Reads the VM's monotonic clock. */
export function steadyNow(): SteadyTime {
  return performance.now() as SteadyTime;
}

/**
 * Time of day that follows the steady clock after its creation, so that periods
 * measured with it are right although the VM's time of day is changed. It lags
 * behind by the time that the VM was suspended.
 */
export class SteadyClock extends Clock {
  private readonly offsetMs: number;

  constructor(clock: Clock) {
    super();
    this.offsetMs = clock.now() - steadyNow();
  }

  override now(): Instant {
    return instant(Math.round(steadyNow() + this.offsetMs));
  }
}
