/**
 * Per-customer request limits of this daemon: a token bucket for the rate and
 * a bound on concurrent requests. Both come from the configuration.
 */

import type {Customer, RequestLimits} from '../model/configuration.js';
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

/** What a customer has in use on this daemon. */
export interface CustomerUsage {
  /** Requests that it may send at once. */
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
    const usage = this.usageAt(customerId, limits, now);
    if (!this.usageByCustomer.has(customerId)) this.evictIdleCustomers();
    this.usageByCustomer.set(customerId, usage);
    const decision = decide(usage, limits);
    if (decision.admitted) {
      usage.tokens -= 1;
      usage.inProgress += 1;
    }
    return decision;
  }

  /** Decides as `admit` does and changes nothing. */
  preview(
    customerId: CustomerId,
    limits: RequestLimits,
    now: Instant,
  ): {readonly usage: CustomerUsage; readonly decision: LimitDecision} {
    const usage = this.usageAt(customerId, limits, now);
    return {usage, decision: decide(usage, limits)};
  }

  release(customerId: CustomerId): void {
    const usage = this.usageByCustomer.get(customerId);
    if (usage) usage.inProgress -= 1;
  }

  /** A copy of the customer's usage with the bucket refilled. */
  private usageAt(
    customerId: CustomerId,
    limits: RequestLimits,
    now: Instant,
  ): CustomerUsage {
    const usage = this.usageByCustomer.get(customerId);
    if (!usage) return {tokens: limits.burst, updatedAt: now, inProgress: 0};
    const elapsedMs = Math.max(0, now - usage.updatedAt);
    const refill =
      (elapsedMs / MILLISECONDS_PER_SECOND) * limits.requestsPerSecond;
    const tokens = Math.min(limits.burst, usage.tokens + refill);
    return {...usage, tokens, updatedAt: now};
  }

  private evictIdleCustomers(): void {
    if (this.usageByCustomer.size < this.maximumCustomers) return;
    for (const [customerId, usage] of this.usageByCustomer) {
      if (usage.inProgress === 0) this.usageByCustomer.delete(customerId);
      if (this.usageByCustomer.size < this.maximumCustomers) return;
    }
  }
}

function decide(usage: CustomerUsage, limits: RequestLimits): LimitDecision {
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
  return {admitted: true};
}

export interface LimitPreview {
  readonly limits: RequestLimits;
  readonly usage: CustomerUsage;
  readonly refusal: NotRun | undefined;
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
    const customer = this.customerOf(exchange);
    if (!customer) return this.refuse(exchange, 'the customer was removed', 0);
    const decision = this.limits.admit(
      customerId,
      customer.requestLimits,
      exchange.now(),
    );
    const refusal = this.refusalOf(exchange, decision);
    if (refusal) return refusal;
    try {
      return await next();
    } finally {
      this.limits.release(customerId);
    }
  }

  /**
   * What `handle` would decide now, without counting the request. Undefined if
   * the customer is not configured.
   */
  preview(exchange: Exchange): LimitPreview | undefined {
    const limits = this.customerOf(exchange)?.requestLimits;
    if (!limits) return undefined;
    const {customerId} = exchange;
    const preview = this.limits.preview(customerId, limits, exchange.now());
    const refusal = this.refusalOf(exchange, preview.decision);
    return {limits, usage: preview.usage, refusal};
  }

  private customerOf({customerId}: Exchange): Customer | undefined {
    const {customers} = this.directory.configuration();
    return customers.find((c) => c.id === customerId);
  }

  private refusalOf(
    exchange: Exchange,
    decision: LimitDecision,
  ): NotRun | undefined {
    if (decision.admitted) return undefined;
    return this.refuse(exchange, decision.message, decision.retryAfterMs);
  }

  private refuse(
    exchange: Exchange,
    message: string,
    retryAfterMs: number,
  ): NotRun {
    return notRun(exchange.requestId, 'customer-limit', message, retryAfterMs);
  }
}
