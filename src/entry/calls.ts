/**
 * Callers' requests and their answers, independent of the platform's HTTP
 * format, and the messages between the daemons of a hosted site. Schemas
 * validate what a daemon receives from a peer.
 */

import {z} from 'zod';
import {
  hostedCustomerIdSchema,
  jobIdSchema,
  queueIdSchema,
} from '../model/ids.js';
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
  /** Version in force at the daemon that forwarded the call, if one did. */
  minimumVersion: z.number().optional(),
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
 * - `notAccepted`: it is not stored and will not run, retry later;
 * - `undecided`: the write may or may not have been applied;
 * - `noSuchJob`: also for a submission whose job was cancelled before;
 * - `noSuchQueue`, `noSuchJob`, `unknownKey`, `invalid`: final, do not retry.
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
    /** True if the customer's own work is the reason. */
    isOwnShare: z.boolean().optional(),
  }),
  z.object({kind: z.literal('undecided'), reason: z.string()}),
]);
export type CallerAnswer = Readonly<z.infer<typeof callerAnswerSchema>>;

/** Query that a daemon sends to the leader. */
export const leaderQuerySchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('state'), jobId: jobIdSchema}),
  z.object({kind: z.literal('pending'), queueId: queueIdSchema}),
  /** May work that takes so many bytes of a leader's memory be stored? */
  z.object({
    kind: z.literal('admission'),
    jobId: jobIdSchema,
    customerId: hostedCustomerIdSchema.optional(),
    bytes: z.number(),
  }),
]);
export type LeaderQuery = Readonly<z.infer<typeof leaderQuerySchema>>;

/** `unknown`: the daemon is not the leader, or does not know the job. */
export const leaderReplySchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('state'),
    state: stateNameSchema,
    customerId: z.string().optional(),
  }),
  z.object({kind: z.literal('pending'), count: z.number()}),
  z.object({
    kind: z.literal('admission'),
    verdict: z.enum(['admitted', 'siteFull', 'shareUsed']),
  }),
  z.object({kind: z.literal('unknown')}),
]);
export type LeaderReply = Readonly<z.infer<typeof leaderReplySchema>>;

/** Store call that one daemon makes for another that cannot reach the store. */
export const relayedStoreCallSchema = z.discriminatedUnion('kind', [
  /** Checks whether the store answers. */
  z.object({kind: z.literal('probe')}),
  z.object({kind: z.literal('endLease'), lease: z.number()}),
]);
export type RelayedStoreCall = Readonly<z.infer<typeof relayedStoreCallSchema>>;

export const relayedCallReplySchema = z.object({isDone: z.boolean()});
export type RelayedCallReply = Readonly<z.infer<typeof relayedCallReplySchema>>;

/** Answers queries for the leader; `unknown` if this daemon is not leading. */
export abstract class LeaderQueryHandler {
  abstract answer(query: LeaderQuery): LeaderReply;
}

/** What became of a call that was forwarded to another daemon. */
export type ForwardOutcome =
  | {readonly kind: 'answered'; readonly answer: CallerAnswer}
  /** The call did not leave this daemon. */
  | {readonly kind: 'notSent'}
  /** The other daemon may have handled the call. */
  | {readonly kind: 'unanswered'};

/** Calls to other daemons of the site. `undefined`: there was no answer. */
export abstract class SitePeers {
  abstract ask(
    address: string,
    query: LeaderQuery,
  ): Promise<LeaderReply | undefined>;

  abstract forward(address: string, call: CallerCall): Promise<ForwardOutcome>;

  abstract relay(
    address: string,
    call: RelayedStoreCall,
  ): Promise<RelayedCallReply | undefined>;
}
