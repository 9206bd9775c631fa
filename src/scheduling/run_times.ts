/**
 * Run times learned per customer and class. Declared run times are far from
 * the truth, so the ratio of observed to declared is averaged. No guarantee
 * depends on the estimates.
 */

import type {CustomerId, WorkClassId} from '../model/ids.js';
import type {JobRecord} from '../model/jobs.js';

/** Share of the newest observation in the average. */
const NEWEST_SHARE = 0.3;
/** Estimates stay within this factor of the declared run time. */
const MAXIMUM_FACTOR = 100;

type ClassKey = `${CustomerId}/${WorkClassId}`;

export class RunTimeEstimator {
  /** Average logarithm of observed by declared run time. */
  private readonly ratios = new Map<ClassKey, number>();

  observe(record: JobRecord, ranMs: number): void {
    const bound = Math.log(MAXIMUM_FACTOR);
    const ratio = Math.log(Math.max(1, ranMs) / record.declaredRunTimeMs);
    const bounded = Math.min(bound, Math.max(-bound, ratio));
    const before = this.ratios.get(keyOf(record));
    const average =
      before === undefined
        ? bounded
        : before + NEWEST_SHARE * (bounded - before);
    this.ratios.set(keyOf(record), average);
  }

  /** Expected run time in milliseconds. */
  estimate(record: JobRecord): number {
    const ratio = this.ratios.get(keyOf(record)) ?? 0;
    return record.declaredRunTimeMs * Math.exp(ratio);
  }
}

function keyOf(record: JobRecord): ClassKey {
  return `${record.customerId}/${record.workClassId}`;
}
