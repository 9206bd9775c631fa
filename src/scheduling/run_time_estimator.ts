/**
 * Run time estimates per customer and work class. Declared run times are
 * inaccurate, so they are corrected by a moving average of the ratio of
 * observed to declared run time. No guarantee depends on the estimates.
 */

import type {CustomerId, WorkClassId} from '../model/ids.js';
import type {JobRecord} from '../model/jobs.js';

/** Weight of the newest observation in the moving average. */
const SMOOTHING_FACTOR = 0.3;
/** Estimates differ from the declared run time by at most this factor. */
const MAXIMUM_CORRECTION_FACTOR = 100;

type ClassKey = `${CustomerId}/${WorkClassId}`;

export class RunTimeEstimator {
  /** Moving average of ln(observed / declared run time). */
  private readonly logRatios = new Map<ClassKey, number>();

  observe(record: JobRecord, ranMs: number): void {
    const bound = Math.log(MAXIMUM_CORRECTION_FACTOR);
    const logRatio = Math.log(Math.max(1, ranMs) / record.declaredRunTimeMs);
    const bounded = Math.min(bound, Math.max(-bound, logRatio));
    const before = this.logRatios.get(keyOf(record));
    const average =
      before === undefined
        ? bounded
        : before + SMOOTHING_FACTOR * (bounded - before);
    this.logRatios.set(keyOf(record), average);
  }

  /** Expected run time in milliseconds. */
  estimate(record: JobRecord): number {
    const logRatio = this.logRatios.get(keyOf(record)) ?? 0;
    return record.declaredRunTimeMs * Math.exp(logRatio);
  }
}

function keyOf(record: JobRecord): ClassKey {
  return `${record.customerId}/${record.workClassId}`;
}
