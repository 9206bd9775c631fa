/**
 * Limits of each customer in this daemon: a token bucket for the rate and a
 * bound on requests in progress. Both come from the configuration.
 */

import type {RequestLimits} from '../model/configuration.js';
import type {CustomerId, Instant} from '../model/ids.js';
import type {NotRun, Outcome} from '../model/requests.js';
import type {RequestDirectory} from './directory.js';
import {notRun, RequestFilter} from './exchange.js';
import type {Exchange, Next} from './exchange.js';

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Customers whose use is remembered. Above it, idle customers are forgotten;
 * a forgotten customer starts with a full bucket.
 */
const MAXIMUM_TRACKED_CUSTOMERS = 2_000;

/** Suggested wait when a slot frees at a time that is not known. */
const CONCURRENCY_RETRY_MS = 100;

interface CustomerUsage {
  tokens: number;
  updatedAt: Instant;
  inProgress: number;
}

export type LimitDecision =
  | {readonly admitted: true}
  | {
      readonly admitted: false;
      readonly message: string;
      readonly retryAfterMs: number;
    };

export class CustomerLimits {
  private readonly usageByCustomer = new Map<CustomerId, CustomerUsage>();

  constructor(private readonly maximumCustomers = MAXIMUM_TRACKED_CUSTOMERS) {}

  get trackedCustomers(): number {
    return this.usageByCustomer.size;
  }

  /** Takes a token and a place; `release` has to follow if admitted. */
  admit(
    customerId: CustomerId,
    limits: RequestLimits,
    now: Instant,
  ): LimitDecision {
    const use = this.refilledUsage(customerId, limits, now);
    if (use.inProgress >= limits.concurrency) {
      return {
        admitted: false,
        message: `the customer has ${limits.concurrency} requests in progress`,
        retryAfterMs: CONCURRENCY_RETRY_MS,
      };
    }
    if (use.tokens < 1) {
      const missing = 1 - use.tokens;
      return {
        admitted: false,
        message: `the customer sends over ${limits.requestsPerSecond} requests a second`,
        retryAfterMs:
          (missing / limits.requestsPerSecond) * MILLISECONDS_PER_SECOND,
      };
    }
    use.tokens -= 1;
    use.inProgress += 1;
    return {admitted: true};
  }

  release(customerId: CustomerId): void {
    const use = this.usageByCustomer.get(customerId);
    if (use) use.inProgress -= 1;
  }

  private refilledUsage(
    customerId: CustomerId,
    limits: RequestLimits,
    now: Instant,
  ): CustomerUsage {
    let use = this.usageByCustomer.get(customerId);
    if (!use) {
      this.evictIdleCustomers();
      use = {tokens: limits.burst, updatedAt: now, inProgress: 0};
      this.usageByCustomer.set(customerId, use);
    }
    const elapsedMs = Math.max(0, now - use.updatedAt);
    const refill =
      (elapsedMs / MILLISECONDS_PER_SECOND) * limits.requestsPerSecond;
    use.tokens = Math.min(limits.burst, use.tokens + refill);
    use.updatedAt = now;
    return use;
  }

  private evictIdleCustomers(): void {
    if (this.usageByCustomer.size < this.maximumCustomers) return;
    for (const [customerId, use] of this.usageByCustomer) {
      if (use.inProgress === 0) this.usageByCustomer.delete(customerId);
      if (this.usageByCustomer.size < this.maximumCustomers) return;
    }
  }
}

/** Applies the limits of the configuration to each request. */
export class LimitFilter extends RequestFilter {
  constructor(
    private readonly directory: RequestDirectory,
    private readonly limits = new CustomerLimits(),
  ) {
    super();
  }

  override async handle(exchange: Exchange, next: Next): Promise<Outcome> {
    const {customerId} = exchange;
    const customer = this.directory
      .configuration()
      .customers.find((c) => c.id === customerId);
    if (!customer) return this.refuse(exchange, 'the customer was removed', 0);
    const decision = this.limits.admit(
      customerId,
      customer.requestLimits,
      exchange.now(),
    );
    if (!decision.admitted) {
      return this.refuse(exchange, decision.message, decision.retryAfterMs);
    }
    try {
      return await next();
    } finally {
      this.limits.release(customerId);
    }
  }

  private refuse(
    exchange: Exchange,
    message: string,
    retryAfterMs: number,
  ): NotRun {
    return notRun(exchange.requestId, 'customer-limit', message, retryAfterMs);
  }
}
