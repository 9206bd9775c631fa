/** A time of day that a test can move, as a suspension of the VM does. */

import {Clock} from '../src/lifecycle/clock.js';
import {instant} from '../src/model/ids.js';

export class MovableClock extends Clock {
  movedByMs = 0;

  override now() {
    return instant(Date.now() + this.movedByMs);
  }
}
