/**
 * Random numbers for jitter and for the choice of a minion. Tests use a source
 * with a fixed seed.
 */

import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

export abstract class RandomSource {
  /** Returns a number in [0, 1). */
  abstract next(): number;

  /** Returns an integer in [0, bound). */
  nextBelow(bound: number): number {
    return Math.floor(this.next() * bound);
  }
}

/** A pseudorandom sequence that is reproducible from its seed. */
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
