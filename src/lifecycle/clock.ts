/**
 * The source of the present time. Functions that decide take `now` as an
 * argument; only controllers and servers read a clock.
 */

import {instant} from '../model/ids.js';
import type {Instant} from '../model/ids.js';

export abstract class Clock {
  abstract now(): Instant;
}

/** The time of the machine. */
export class SystemClock extends Clock {
  override now(): Instant {
    return instant(Date.now());
  }
}

/**
 * Milliseconds that pass evenly, from an unspecified start. The clock stands
 * still while the VM is suspended.
 */
export type SteadyTime = number & {readonly steadyTime: unique symbol};

export function steadyTime(milliseconds: number): SteadyTime {
  return milliseconds as SteadyTime;
}

/** The VM's steady clock. */
export function steadyNow(): SteadyTime {
  return performance.now() as SteadyTime;
}
