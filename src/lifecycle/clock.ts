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
