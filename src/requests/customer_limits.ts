/**
 * Per-customer request limits of this daemon: a token bucket for the rate and
 * a bound on concurrent requests. Both come from the configuration.
 */

import type {RequestLimits} from '../model/configuration.js';
import type {CustomerId, Instant} from '../model/ids.js';
import type {NotRun, Outcome} from '../model/requests.js';
import type {RequestDirectory} from './directory.js';
import {notRun, RequestFilter} from './exchange.js';
import type {Exchange, Next} from './exchange.js';

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Customers whose usage is held in memory. Beyond this number idle customers
 * are evicted; an evicted customer starts again with a full bucket.
 */
const MAXIMUM_TRACKED_CUSTOMERS = 2_000;

/** Suggested retry delay, as it is unknown when a request in progress ends. */
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

  /**
   * Consumes a token and counts the request as in progress. The caller must
   * call `release` when an admitted request ends.
   */
  admit(
    customerId: CustomerId,
    limits: RequestLimits,
    now: Instant,
  ): LimitDecision {
    const usage = this.refilledUsage(customerId, limits, now);
    if (usage.inProgress >= limits.concurrency) {
      return {
        admitted: false,
        message: `the customer has ${limits.concurrency} requests in progress`,
        retryAfterMs: CONCURRENCY_RETRY_MS,
      };
    }
    if (usage.tokens < 1) {
      const missing = 1 - usage.tokens;
      return {
        admitted: false,
        message: `the customer sends over ${limits.requestsPerSecond} requests a second`,
        retryAfterMs:
          (missing / limits.requestsPerSecond) * MILLISECONDS_PER_SECOND,
      };
    }
    usage.tokens -= 1;
    usage.inProgress += 1;
    return {admitted: true};
  }

  release(customerId: CustomerId): void {
    const usage = this.usageByCustomer.get(customerId);
    if (usage) usage.inProgress -= 1;
  }

  private refilledUsage(
    customerId: CustomerId,
    limits: RequestLimits,
    now: Instant,
  ): CustomerUsage {
    let usage = this.usageByCustomer.get(customerId);
    if (!usage) {
      this.evictIdleCustomers();
      usage = {tokens: limits.burst, updatedAt: now, inProgress: 0};
      this.usageByCustomer.set(customerId, usage);
    }
    const elapsedMs = Math.max(0, now - usage.updatedAt);
    const refill =
      (elapsedMs / MILLISECONDS_PER_SECOND) * limits.requestsPerSecond;
    usage.tokens = Math.min(limits.burst, usage.tokens + refill);
    usage.updatedAt = now;
    return usage;
  }

  private evictIdleCustomers(): void {
    if (this.usageByCustomer.size < this.maximumCustomers) return;
    for (const [customerId, usage] of this.usageByCustomer) {
      if (usage.inProgress === 0) this.usageByCustomer.delete(customerId);
      if (this.usageByCustomer.size < this.maximumCustomers) return;
    }
  }
}

/** Refuses requests beyond the configured limits of their customer. */
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
