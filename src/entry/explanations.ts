/**
 * Operators' questions where a job would go now, on the leader: a job that was
 * accepted, or a submission that is not sent.
 */

import {Result} from 'true-myth';
import {z} from 'zod';
import type {ExplanationError, JobExplainer} from '../leader/explainer.js';
import type {Explanation} from '../leader/planning/explanation.js';
import {
  InvalidInputError,
  NotFoundError,
  UnavailableError,
} from '../model/errors.js';
import {hostedCustomerIdSchema, queueIdSchema} from '../model/ids.js';
import type {Instant, JobId} from '../model/ids.js';
import type {
  HostedConfiguration,
  HostedCustomer,
  Queue,
} from '../model/queues.js';
import {jobRequestSchema} from './calls.js';
import type {JobRequest} from './calls.js';
import {admitCaller, createSubmission, sizeProblem} from './submissions.js';

/** A submission and where it would be sent. */
export const submissionQuerySchema = z.object({
  /** The queue by its name, or by the host and path of a call. */
  queueId: queueIdSchema.optional(),
  host: z.string().optional(),
  path: z.string().optional(),
  /** The customer by its name, or by the key that its calls have. */
  customerId: hostedCustomerIdSchema.optional(),
  key: z.string().optional(),
  /** The job as the body of a call, or decoded. */
  body: z.unknown().optional(),
  request: jobRequestSchema.optional(),
});
export type SubmissionQuery = Readonly<z.infer<typeof submissionQuerySchema>>;

export type QueryError =
  InvalidInputError | NotFoundError | UnavailableError | ExplanationError;

/** Decodes the body of a caller's submission; undefined if it is invalid. */
export type JobDecoder = (body: unknown) => JobRequest | undefined;

/** No accepted job has this id, as these have 16 hexadecimal digits. */
const NOT_SENT = 'submission' as JobId;

export function explainSubmission(
  query: SubmissionQuery,
  explainer: JobExplainer,
  configuration: HostedConfiguration | undefined,
  decodeJob: JobDecoder,
  now: Instant,
): Result<Explanation, QueryError> {
  if (configuration === undefined) {
    return Result.err(
      new UnavailableError(
        'the leader has no configuration yet',
        'try again in a few seconds',
      ),
    );
  }
  const queue = findQueue(query, configuration);
  if (queue === undefined) {
    return Result.err(
      new NotFoundError(
        'the configuration has no such queue',
        'name a route of the configuration, or its host and path',
      ),
    );
  }
  const customer = findCustomer(query, queue, configuration);
  if (customer.isErr) return Result.err(customer.error);
  const request = query.request ?? decodeJob(query.body);
  const problem =
    request === undefined
      ? 'it is no job in the format of a submission'
      : sizeProblem(request);
  if (request === undefined || problem !== undefined) {
    const remedy = 'see docs/OPERATIONS.md for the format';
    return Result.err(new InvalidInputError('job', problem ?? '', remedy));
  }
  return explainer
    .explainSubmission(
      createSubmission(request, NOT_SENT, queue, customer.value, now),
    )
    .map(({jobId: _jobId, ...explanation}) => explanation);
}

function findQueue(
  {queueId, host, path}: SubmissionQuery,
  configuration: HostedConfiguration,
): Queue | undefined {
  if (queueId !== undefined) return configuration.queue(queueId);
  return configuration.queueFor(host ?? '', path ?? '');
}

function findCustomer(
  {customerId, key}: SubmissionQuery,
  queue: Queue,
  configuration: HostedConfiguration,
): Result<HostedCustomer | undefined, NotFoundError> {
  if (customerId === undefined) {
    return admitCaller(configuration, queue, key).mapErr(
      () =>
        new NotFoundError(
          key === undefined
            ? 'the queue is not public, and no customer is named'
            : 'no customer has this key',
          'give --customer, or a key of the configuration in force',
        ),
    );
  }
  const customer = configuration.customer(customerId);
  return customer === undefined
    ? Result.err(
        new NotFoundError(
          'the configuration has no such customer',
          'name a tenant of the configuration in force',
        ),
      )
    : Result.ok(customer);
}
