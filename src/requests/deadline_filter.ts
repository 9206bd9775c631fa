/**
 * Stops a request whose deadline has passed or whose caller is gone before
 * it reaches the steps that cost other parts something.
 */

import type {Outcome} from '../model/requests.js';
import {RequestFilter} from './exchange.js';
import type {Exchange, Next} from './exchange.js';

/** Stands before the claim and, once more, before each dispatch. */
export class DeadlineFilter extends RequestFilter {
  override async handle(exchange: Exchange, next: Next): Promise<Outcome> {
    return exchange.reasonToStop() ?? next();
  }
}
