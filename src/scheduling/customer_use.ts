/**
 * Accelerators in use per customer, for ceilings and for fair share.
 */

import type {Customer} from '../model/configuration.js';
import type {CustomerId, Instant} from '../model/ids.js';
import type {PlannedJob} from './planned_job.js';

/**
 * A job that has waited this long is ordered as if its customer used the
 * zone's whole capacity less than it does.
 */
const AGEING_PERIOD_MS = 3_600_000;

interface Use {
  /** All accelerators of its gangs and of cells being reclaimed for it. */
  total: number;
  /** Accelerators of its borrowers. */
  borrowed: number;
}

export class CustomerUsage {
  private readonly uses = new Map<CustomerId, Use>();
  private readonly counted = new Map<PlannedJob, Use>();

  total(customerId: CustomerId): number {
    return this.uses.get(customerId)?.total ?? 0;
  }

  borrowed(customerId: CustomerId): number {
    return this.uses.get(customerId)?.borrowed ?? 0;
  }

  /** Counts the job as its present stage says. */
  update(job: PlannedJob): void {
    const before = this.counted.get(job) ?? {total: 0, borrowed: 0};
    const uses = job.placed || job.stage === 'reclaiming';
    const now = {
      total: uses ? job.accelerators : 0,
      borrowed: uses && !job.guaranteed ? job.accelerators : 0,
    };
    this.add(job.record.customerId, {
      total: now.total - before.total,
      borrowed: now.borrowed - before.borrowed,
    });
    if (uses) this.counted.set(job, now);
    else this.counted.delete(job);
  }

  /** Takes the job out of the counts. */
  remove(job: PlannedJob): void {
    const before = this.counted.get(job);
    if (before === undefined) return;
    this.add(job.record.customerId, {
      total: -before.total,
      borrowed: -before.borrowed,
    });
    this.counted.delete(job);
  }

  private add(customerId: CustomerId, difference: Use): void {
    const use = this.uses.get(customerId) ?? {total: 0, borrowed: 0};
    use.total += difference.total;
    use.borrowed += difference.borrowed;
    if (use.total === 0) this.uses.delete(customerId);
    else this.uses.set(customerId, use);
  }
}

/** True if the customer's ceiling leaves room for the job. */
export function ceilingAllows(
  customer: Customer | undefined,
  inUse: number,
  job: PlannedJob,
): boolean {
  if (customer === undefined) return true;
  return inUse + job.accelerators <= customer.acceleratorCeiling;
}

/**
 * Order of customers for lent capacity; the lowest is next. It is the share
 * of the zone that the customer borrows, relative to its weight, less the
 * time that its job has waited.
 */
export function lendingSortKey(
  borrowed: number,
  zoneAccelerators: number,
  weight: number,
  waitingSince: Instant,
  now: Instant,
): number {
  const share = borrowed / Math.max(1, zoneAccelerators) / weight;
  return share - (now - waitingSince) / AGEING_PERIOD_MS;
}
