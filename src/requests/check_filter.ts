/**
 * Validates a submission against the configured customers and work classes
 * and converts it to a service request with a deadline.
 */

import type {RequestClass} from '../model/configuration.js';
import {after} from '../model/ids.js';
import type {NotRun, Outcome, ServiceRequest} from '../model/requests.js';
import type {RequestDirectory} from './directory.js';
import {notRun, RequestFilter} from './exchange.js';
import type {Exchange, Next} from './exchange.js';

export class CheckFilter extends RequestFilter {
  constructor(private readonly directory: RequestDirectory) {
    super();
  }

  override async handle(exchange: Exchange, next: Next): Promise<Outcome> {
    return this.refusal(exchange) ?? next();
  }

  /** Accepts the request in `exchange` or returns why it is invalid. */
  refusal(exchange: Exchange): NotRun | undefined {
    const {customerId, workClassId} = exchange.submission;
    const configuration = this.directory.configuration();
    const customer = configuration.customers.find((c) => c.id === customerId);
    if (!customer) {
      return invalid(exchange, `customer ${customerId} is not configured`);
    }
    const workClass = configuration.workClasses.find(
      (c) => c.id === workClassId && c.customerId === customerId,
    );
    if (!workClass) {
      return invalid(
        exchange,
        `customer ${customerId} has no work class ${workClassId}`,
      );
    }
    if (workClass.kind !== 'request') {
      return invalid(
        exchange,
        `work class ${workClassId} is for jobs; submit it to /v1/jobs`,
      );
    }
    exchange.accept(toServiceRequest(exchange, workClass));
    return undefined;
  }
}

function toServiceRequest(
  exchange: Exchange,
  workClass: RequestClass,
): ServiceRequest {
  const {submission, requestId, receivedAt} = exchange;
  const limitMs = Math.min(
    submission.deadlineMs ?? workClass.deadlineMs,
    workClass.deadlineMs,
  );
  return {
    requestId,
    customerId: submission.customerId,
    workClassId: submission.workClassId,
    ...(submission.key === undefined ? {} : {key: submission.key}),
    repeatable: workClass.repeatable,
    receivedAt,
    deadline: after(receivedAt, limitMs),
    payload: submission.payload,
  };
}

function invalid(exchange: Exchange, message: string): NotRun {
  return notRun(exchange.requestId, 'invalid', message);
}
