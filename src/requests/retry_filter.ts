/**
 * Retries failed attempts where that is safe: a request that did not run is
 * routed again; one that may have run is retried only if it is repeatable.
 * Retries are limited by a budget that grows with successful requests, so that
 * an outage cannot multiply the load.
 */

import type {Outcome, ServiceRequest} from '../model/requests.js';
import {RequestFilter} from './exchange.js';
import type {Exchange, Next} from './exchange.js';

/** Successful requests per retry; limits retries to 10% of successes. */
const SUCCESSES_PER_RETRY = 10;

/** Budget at the start of a daemon, in successful requests. */
const INITIAL_BUDGET = 5 * SUCCESSES_PER_RETRY;

/** Limits the burst of retries after a long period without failures. */
const MAXIMUM_BUDGET = 100 * SUCCESSES_PER_RETRY;

/** Retries of one request that consume budget. */
const MAXIMUM_PAID_RETRIES = 1;

/**
 * Reroutes of one request that consume no budget. A stopping home daemon
 * refuses waiting requests, which puts no load on minions; two cover a second
 * stop during a rolling restart.
 */
const MAXIMUM_FREE_REROUTES = 2;

export class RetryBudget {
  private available = INITIAL_BUDGET;

  recordSuccess(): void {
    this.available = Math.min(MAXIMUM_BUDGET, this.available + 1);
  }

  /** Consumes the budget for one retry; returns false if it is too low. */
  tryConsume(): boolean {
    if (this.available < SUCCESSES_PER_RETRY) return false;
    this.available -= SUCCESSES_PER_RETRY;
    return true;
  }
}

export class RetryFilter extends RequestFilter {
  constructor(private readonly budget = new RetryBudget()) {
    super();
  }

  override async handle(exchange: Exchange, next: Next): Promise<Outcome> {
    let freeReroutes = MAXIMUM_FREE_REROUTES;
    let paidRetries = MAXIMUM_PAID_RETRIES;
    // Once an attempt may have run, the request must not be reported `notRun`.
    let uncertain: Outcome | undefined;
    for (;;) {
      const attemptsBefore = exchange.attempts;
      const outcome = await next();
      if (outcome.outcome === 'answered') {
        this.budget.recordSuccess();
        return outcome;
      }
      if (outcome.outcome === 'unknown') uncertain ??= outcome;
      // Without a new dispatch, the router found no minion.
      const ended =
        exchange.attempts === attemptsBefore || exchange.reasonToStop();
      const kind = ended ? 'none' : retryKind(exchange.request, outcome);
      if (kind === 'free' && freeReroutes > 0) {
        freeReroutes -= 1;
      } else if (
        kind !== 'none' &&
        paidRetries > 0 &&
        this.budget.tryConsume()
      ) {
        paidRetries -= 1;
      } else {
        return uncertain ?? outcome;
      }
    }
  }
}

function retryKind(
  request: ServiceRequest,
  outcome: Exclude<Outcome, {outcome: 'answered'}>,
): 'free' | 'paid' | 'none' {
  if (outcome.outcome === 'unknown') {
    return request.repeatable ? 'paid' : 'none';
  }
  switch (outcome.reason) {
    case 'shutting-down':
      return 'free';
    // The home daemon's state is more recent than the router's cached view, so
    // that another minion may accept the request.
    case 'overloaded':
    case 'no-minion':
    case 'minion-refused':
    case 'minion-unreachable':
      return 'paid';
    default:
      return 'none';
  }
}
