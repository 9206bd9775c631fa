/**
 * Random numbers for jitter and for choosing between minions. Tests pass a
 * seeded source.
 */

import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

export abstract class RandomSource {
  /** Returns a number from 0 up to, but not including, 1. */
  abstract next(): number;

  /** Returns a whole number from 0 up to, but not including, `bound`. */
  nextBelow(bound: number): number {
    return Math.floor(this.next() * bound);
  }
}

/** The same numbers for the same seed. */
export class SeededRandom extends RandomSource {
  private readonly generator: RandomGenerator;

  constructor(seed: number) {
    super();
    this.generator = xoroshiro128plus(seed);
  }

  override next(): number {
    return uniformFloat64(this.generator);
  }
}
