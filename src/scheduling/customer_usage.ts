/**
 * Accelerators in use per customer, for ceilings and for fair sharing of lent
 * capacity.
 */

import type {Customer} from '../model/configuration.js';
import type {CustomerId, Instant} from '../model/ids.js';
import type {PlannedJob} from './planned_job.js';

/** A wait of this length offsets borrowing the whole zone at weight 1. */
const AGEING_PERIOD_MS = 3_600_000;

interface Usage {
  /** Accelerators of placed gangs and of cells being reclaimed. */
  total: number;
  /** Accelerators of gangs outside the customer's guarantee. */
  borrowed: number;
}

export class CustomerUsage {
  private readonly usageByCustomer = new Map<CustomerId, Usage>();
  private readonly countedUsage = new Map<PlannedJob, Usage>();

  total(customerId: CustomerId): number {
    return this.usageByCustomer.get(customerId)?.total ?? 0;
  }

  borrowed(customerId: CustomerId): number {
    return this.usageByCustomer.get(customerId)?.borrowed ?? 0;
  }

  /** Recounts the job after a change of its stage or guarantee. */
  update(job: PlannedJob): void {
    const before = this.countedUsage.get(job) ?? {total: 0, borrowed: 0};
    const isInUse = job.placed || job.stage === 'reclaiming';
    const now = {
      total: isInUse ? job.accelerators : 0,
      borrowed: isInUse && !job.guaranteed ? job.accelerators : 0,
    };
    this.add(job.record.customerId, {
      total: now.total - before.total,
      borrowed: now.borrowed - before.borrowed,
    });
    if (isInUse) this.countedUsage.set(job, now);
    else this.countedUsage.delete(job);
  }

  remove(job: PlannedJob): void {
    const before = this.countedUsage.get(job);
    if (before === undefined) return;
    this.add(job.record.customerId, {
      total: -before.total,
      borrowed: -before.borrowed,
    });
    this.countedUsage.delete(job);
  }

  private add(customerId: CustomerId, difference: Usage): void {
    const usage = this.usageByCustomer.get(customerId) ?? {
      total: 0,
      borrowed: 0,
    };
    usage.total += difference.total;
    usage.borrowed += difference.borrowed;
    if (usage.total === 0) this.usageByCustomer.delete(customerId);
    else this.usageByCustomer.set(customerId, usage);
  }
}

/** True if the job fits under the customer's accelerator ceiling. */
export function ceilingAllows(
  customer: Customer | undefined,
  inUse: number,
  job: PlannedJob,
): boolean {
  if (customer === undefined) return true;
  return inUse + job.accelerators <= customer.acceleratorCeiling;
}

/**
 * Sort key of a customer for lent capacity; the lowest key is served next. It
 * is the share of the zone that the customer borrows, divided by its weight,
 * less its job's waiting time in units of `AGEING_PERIOD_MS`.
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
