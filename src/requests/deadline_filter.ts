/**
 * Stops a request whose deadline has passed or whose caller has disconnected
 * before it puts load on the store, other daemons or minions.
 */

import type {Outcome} from '../model/requests.js';
import {RequestFilter} from './exchange.js';
import type {Exchange, Next} from './exchange.js';

/** Runs before the claim is written and again before each dispatch. */
export class DeadlineFilter extends RequestFilter {
  override async handle(exchange: Exchange, next: Next): Promise<Outcome> {
    return exchange.reasonToStop() ?? next();
  }
}
