/** Random choices of a soak, from the source of its seed. */

import type {RandomSource} from '../src/lifecycle/random.js';

/** Lower and upper bound of a random number. */
export type Bounds = readonly [number, number];

export function between(
  random: RandomSource,
  [minimum, maximum]: Bounds,
): number {
  return minimum + random.next() * (maximum - minimum);
}

export function pick<T>(random: RandomSource, choices: readonly T[]): T {
  const chosen = choices[random.nextBelow(choices.length)];
  if (chosen === undefined) throw new Error('nothing to choose from');
  return chosen;
}
