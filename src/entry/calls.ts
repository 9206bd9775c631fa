/**
 * Calls of callers of a hosted site and the answers to them, in the product's
 * own terms. They also travel between daemons, so schemas check them.
 */

import {z} from 'zod';
import {jobIdSchema, queueIdSchema} from '../model/ids.js';
import {stepSchema} from '../model/submissions.js';

/** What a caller sends to submit a job. */
export const jobRequestSchema = z.object({
  specification: z.string(),
  steps: z.array(stepSchema),
  occurrences: z.number(),
  firstDueAt: z.number(),
  intervalMs: z.number(),
});
export type JobRequest = Readonly<z.infer<typeof jobRequestSchema>>;

export const callerCallSchema = z.object({
  method: z.enum(['submit', 'read', 'cancel']),
  host: z.string(),
  path: z.string(),
  /** The customer's key, if the caller sent one. */
  key: z.string().optional(),
  request: jobRequestSchema.optional(),
});
export type CallerCall = Readonly<z.infer<typeof callerCallSchema>>;

const stateNameSchema = z.enum([
  'queued',
  'running',
  'complete',
  'failed',
  'cancelled',
]);

/**
 * - `accepted`: the job is stored;
 * - `notAccepted`: it is not stored and will not run, come back later;
 * - `undecided`: the store may or may not have taken the write;
 * - `noSuchQueue`, `noSuchJob`, `unknownKey`, `invalid`: final.
 */
export const callerAnswerSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('accepted')}),
  z.object({kind: z.literal('cancelled')}),
  z.object({kind: z.literal('state'), state: stateNameSchema}),
  z.object({kind: z.literal('pending'), count: z.number()}),
  z.object({kind: z.literal('noSuchQueue')}),
  z.object({kind: z.literal('noSuchJob')}),
  z.object({kind: z.literal('unknownKey')}),
  z.object({kind: z.literal('invalid'), problem: z.string()}),
  z.object({
    kind: z.literal('notAccepted'),
    reason: z.string(),
    retryAfterMs: z.number(),
  }),
  z.object({kind: z.literal('undecided'), reason: z.string()}),
]);
export type CallerAnswer = Readonly<z.infer<typeof callerAnswerSchema>>;

/** What a daemon asks the leader. */
export const leaderQuerySchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('state'), jobId: jobIdSchema}),
  z.object({kind: z.literal('pending'), queueId: queueIdSchema}),
]);
export type LeaderQuery = Readonly<z.infer<typeof leaderQuerySchema>>;

/** `unknown`: the asked daemon does not lead, or does not know the job. */
export const leaderReplySchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('state'),
    state: stateNameSchema,
    customerId: z.string().optional(),
  }),
  z.object({kind: z.literal('pending'), count: z.number()}),
  z.object({kind: z.literal('unknown')}),
]);
export type LeaderReply = Readonly<z.infer<typeof leaderReplySchema>>;

/** What a daemon that the store turns away asks another one to do for it. */
export const relayedStoreCallSchema = z.discriminatedUnion('kind', [
  /** Tell whether the store answers. */
  z.object({kind: z.literal('probe')}),
  z.object({kind: z.literal('endLease'), lease: z.number()}),
]);
export type RelayedStoreCall = Readonly<z.infer<typeof relayedStoreCallSchema>>;

export const relayedCallReplySchema = z.object({isDone: z.boolean()});
export type RelayedCallReply = Readonly<z.infer<typeof relayedCallReplySchema>>;

/** Returns what the daemon answers if this daemon leads. */
export abstract class LeaderQueryHandler {
  abstract answer(question: LeaderQuery): LeaderReply;
}

/** Calls to other daemons of the site; undefined without an answer. */
export abstract class SitePeers {
  abstract ask(
    address: string,
    question: LeaderQuery,
  ): Promise<LeaderReply | undefined>;

  abstract forward(
    address: string,
    call: CallerCall,
  ): Promise<CallerAnswer | undefined>;

  abstract relay(
    address: string,
    errand: RelayedStoreCall,
  ): Promise<RelayedCallReply | undefined>;
}
