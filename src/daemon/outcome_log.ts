/**
 * Logs the outcomes of service requests.
 */

import type {Outcome, RequestSubmission} from '../model/requests.js';
import type {ComponentLog} from './log.js';

/**
 * Refusals because of a customer's limit or an overload come in bursts. They are
 * logged at debug level so that they do not flood the log during an incident.
 */
export function logOutcome(
  log: ComponentLog,
  {customerId, workClassId}: RequestSubmission,
  outcome: Outcome,
): void {
  const fields = {requestId: outcome.requestId, customerId};
  if (outcome.outcome === 'answered') {
    log.debug(`answered a request of class ${workClassId}`, fields);
    return;
  }
  const {reason, message} = outcome;
  const line = `request of class ${workClassId}: ${outcome.outcome}, ${reason}: ${message}`;
  const expected = reason === 'customer-limit' || reason === 'overloaded';
  if (outcome.outcome === 'unknown') log.warn(line, fields);
  else if (expected) log.debug(line, fields);
  else log.info(line, fields);
}
