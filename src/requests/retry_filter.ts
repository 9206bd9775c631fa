/**
 * Repeats an attempt where that is safe. A request that was certainly not run
 * is routed anew; one that may have run is repeated only if it is repeatable.
 * Attempts after the first are paid from a budget that grows with successes,
 * so that an outage cannot multiply the load.
 */

import type {Outcome, ServiceRequest} from '../model/requests.js';
import {RequestFilter} from './exchange.js';
import type {Exchange, Next} from './exchange.js';

/** Answered requests that pay for one further attempt: 10% of successes. */
const SUCCESSES_PER_RETRY = 10;

/** Budget of a daemon that has just started, in successes. */
const INITIAL_BUDGET = 5 * SUCCESSES_PER_RETRY;

/** Bounds the burst of retries after a long time without failures. */
const MAXIMUM_BUDGET = 100 * SUCCESSES_PER_RETRY;

/** A repeatable request without an answer gets one further attempt. */
const MAXIMUM_PAID_RETRIES = 1;

/**
 * A home daemon that stops refuses what it has not handed over, which costs
 * the minions nothing. Two covers a second stop in a rolling restart.
 */
const MAXIMUM_FREE_REROUTES = 2;

export class RetryBudget {
  private available = INITIAL_BUDGET;

  recordSuccess(): void {
    this.available = Math.min(MAXIMUM_BUDGET, this.available + 1);
  }

  /** Takes the price of one attempt if it is there. */
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
    /** An attempt that may have run; the request is then not `notRun`. */
    let uncertain: Outcome | undefined;
    for (;;) {
      const attemptsBefore = exchange.attempts;
      const outcome = await next();
      if (outcome.outcome === 'answered') {
        this.budget.recordSuccess();
        return outcome;
      }
      if (outcome.outcome === 'unknown') uncertain ??= outcome;
      // Without a dispatch it was the router that found no minion.
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
    // The home daemon knows its queue and its minions better than the router.
    case 'overloaded':
    case 'no-minion':
    case 'minion-refused':
    case 'minion-unreachable':
      return 'paid';
    default:
      return 'none';
  }
}
