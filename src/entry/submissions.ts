/**
 * What becomes of a caller's job before it is stored: whose it is, whether it
 * is too large, and its record.
 */

import {Result} from 'true-myth';
import type {Instant, JobId} from '../model/ids.js';
import type {
  HostedConfiguration,
  HostedCustomer,
  Queue,
} from '../model/queues.js';
import {
  MAXIMUM_JOB_TASKS,
  MAXIMUM_SPECIFICATION_BYTES,
  MAXIMUM_STARTED_TASKS,
  isTooLarge,
} from '../model/submissions.js';
import type {Submission} from '../model/submissions.js';
import type {JobRequest} from './calls.js';

/** Returns the customer, if the call has one; a public queue needs no key. */
export function admitCaller(
  configuration: HostedConfiguration,
  queue: Queue,
  key: string | undefined,
): Result<HostedCustomer | undefined, 'unknownKey'> {
  const customer =
    key === undefined ? undefined : configuration.customerWithKey(key);
  return customer === undefined && !queue.isPublic
    ? Result.err('unknownKey')
    : Result.ok(customer);
}

/** Returns why the job is not accepted, or undefined. */
export function sizeProblem(request: JobRequest): string | undefined {
  const bytes = Buffer.byteLength(request.specification);
  if (bytes > MAXIMUM_SPECIFICATION_BYTES) {
    return `a specification has at most ${MAXIMUM_SPECIFICATION_BYTES} bytes`;
  }
  if (!isTooLarge(request)) return undefined;
  return (
    `a job has at most ${MAXIMUM_JOB_TASKS} tasks and a gang at most ` +
    `${MAXIMUM_STARTED_TASKS}, split it up`
  );
}

export function createSubmission(
  request: JobRequest,
  jobId: JobId,
  queue: Queue,
  customer: HostedCustomer | undefined,
  now: Instant,
): Submission {
  return {
    ...request,
    jobId,
    queueId: queue.queueId,
    serviceId: queue.serviceId,
    ...(customer === undefined ? {} : {customerId: customer.customerId}),
    submittedAt: now,
    maximumAttempts: queue.maximumAttempts,
  };
}
