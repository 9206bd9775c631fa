/**
 * Log lines about the outcomes of service requests.
 */

import type {Outcome, RequestSubmission} from '../model/requests.js';
import type {ComponentLog} from './log.js';

/**
 * Refusals for a customer's limit or an overload are expected in bursts, and a
 * line for each would fill the log when it is needed most.
 */
export function logOutcome(
  log: ComponentLog,
  {customerId, workClassId}: RequestSubmission,
  outcome: Outcome,
): void {
  const fields = {requestId: outcome.requestId, customerId};
  if (outcome.outcome === 'answered') {
    log.debug(`answered a ${workClassId}`, fields);
    return;
  }
  const {reason, message} = outcome;
  const sentence = `${workClassId} ${outcome.outcome}, ${reason}: ${message}`;
  const expected = reason === 'customer-limit' || reason === 'overloaded';
  if (outcome.outcome === 'unknown') log.warn(sentence, fields);
  else if (expected) log.debug(sentence, fields);
  else log.info(sentence, fields);
}
