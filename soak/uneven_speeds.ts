/**
 * Speeds of workers in a soak. A speed belongs to a VM, so that the successor
 * of a crashed worker is as fast.
 */

import type {RandomSource} from '../src/lifecycle/random.js';
import type {VmId} from '../src/model/ids.js';
import {pick} from './random_choice.js';

/** Shares of full speed: run times of 0.5 to 2 times the usual one. */
const SPEEDS = [0.5, 0.7, 1, 1, 1.4, 2] as const;

export class UnevenSpeeds {
  private readonly speedByVm = new Map<VmId, number>();

  constructor(private readonly random: RandomSource) {}

  speedOf(vmId: VmId): number {
    const speed = this.speedByVm.get(vmId) ?? pick(this.random, SPEEDS);
    this.speedByVm.set(vmId, speed);
    return speed;
  }
}
