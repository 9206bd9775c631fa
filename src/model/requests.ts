/**
 * Service requests and their outcomes. An outcome is answered, not run or
 * unknown; the first two are only reported if they are certain.
 */

import {z} from 'zod';
import {
  callerKeySchema,
  customerIdSchema,
  instantSchema,
  requestIdSchema,
  workClassIdSchema,
} from './ids.js';

export const MAXIMUM_PAYLOAD_CHARACTERS = 1_048_576;

export const requestSubmissionSchema = z.object({
  customerId: customerIdSchema,
  workClassId: workClassIdSchema,
  /** Idempotency key: requests with the same key run at most once. */
  key: callerKeySchema.optional(),
  /** Time limit from receipt; at most the limit of the work class. */
  deadlineMs: z.number().positive().optional(),
  payload: z.string().max(MAXIMUM_PAYLOAD_CHARACTERS).default(''),
});
/** Body of `POST /v1/requests`. */
export type RequestSubmission = z.infer<typeof requestSubmissionSchema>;

export const serviceRequestSchema = z.object({
  requestId: requestIdSchema,
  customerId: customerIdSchema,
  workClassId: workClassIdSchema,
  key: callerKeySchema.optional(),
  repeatable: z.boolean(),
  receivedAt: instantSchema,
  /** No hop forwards the request after this time. */
  deadline: instantSchema,
  payload: z.string().max(MAXIMUM_PAYLOAD_CHARACTERS),
});
/** A request that the entry daemon has validated. */
export type ServiceRequest = z.infer<typeof serviceRequestSchema>;

export const notRunReasonSchema = z.enum([
  'invalid',
  'customer-limit',
  'overloaded',
  'deadline-passed',
  'no-minion',
  'minion-refused',
  'minion-unreachable',
  'store-unavailable',
  /** The store's bucket for this key has reached its limit of claims. */
  'claims-full',
  /** The key was used before for a request with different content. */
  'key-reused',
  'shutting-down',
  'cancelled',
]);
export type NotRunReason = z.infer<typeof notRunReasonSchema>;

export const unknownReasonSchema = z.enum([
  'no-answer-in-time',
  'connection-lost',
  'malformed-answer',
  'peer-lost',
  'duplicate',
  'in-progress',
  /** An internal error of the daemon that handled the request. */
  'internal-error',
]);
export type UnknownReason = z.infer<typeof unknownReasonSchema>;

export const outcomeSchema = z.discriminatedUnion('outcome', [
  z.object({
    outcome: z.literal('answered'),
    requestId: requestIdSchema,
    answer: z.string().max(MAXIMUM_PAYLOAD_CHARACTERS),
  }),
  z.object({
    /** No minion ran the request, and none will. */
    outcome: z.literal('notRun'),
    requestId: requestIdSchema,
    reason: notRunReasonSchema,
    message: z.string(),
    /** Shortest useful delay before a retry, if known. */
    retryAfterMs: z.number().min(0).optional(),
  }),
  z.object({
    /** The request may have run, may be running or may not have run. */
    outcome: z.literal('unknown'),
    requestId: requestIdSchema,
    reason: unknownReasonSchema,
    message: z.string(),
  }),
]);
/** The result of a request as reported to its caller. */
export type Outcome = z.infer<typeof outcomeSchema>;
export type NotRun = Extract<Outcome, {outcome: 'notRun'}>;
export type Unknown = Extract<Outcome, {outcome: 'unknown'}>;
