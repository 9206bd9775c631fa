/**
 * Messages between the daemons of a site.
 */

import type {Result} from 'true-myth';
import {z} from 'zod';
import {
  configurationChangeSchema,
  configurationSchema,
} from '../model/configuration.js';
import type {CallError} from '../model/errors.js';
import {
  availabilityZoneSchema,
  daemonIdSchema,
  jobIdSchema,
  requestIdSchema,
  vmIdSchema,
} from '../model/ids.js';
import {jobRecordSchema} from '../model/jobs.js';
import type {outcomeSchema} from '../model/requests.js';
import {serviceRequestSchema} from '../model/requests.js';
import {addressSchema} from './vm_list.js';

export const queueLengthSchema = z.object({
  minionId: vmIdSchema,
  /** Requests queued or running at the minion's home daemon. */
  queued: z.int().min(0),
});
export type QueueLength = z.infer<typeof queueLengthSchema>;

/** Most queue lengths in one heartbeat; further ones go with the next. */
export const MAXIMUM_QUEUE_LENGTHS = 1_000;

export const heartbeatSchema = z.object({
  daemonId: daemonIdSchema,
  vmId: vmIdSchema,
  availabilityZone: availabilityZoneSchema,
  /** Peer address of the sender. */
  address: addressSchema,
  /** The sender takes no new work and owns nothing any more. */
  leaving: z.boolean(),
  configurationVersion: z.int().min(0),
  /** Queue lengths that changed since the last heartbeat to this peer. */
  queueLengths: z.array(queueLengthSchema).max(MAXIMUM_QUEUE_LENGTHS),
  /**
   * Daemons that the sender knows. Sent to a daemon that has just started, so
   * that it finds its peers while the VM list cannot be reached.
   */
  peerAddresses: z.array(addressSchema).max(64).optional(),
});
/** Sent to each peer at an interval; the answer is the peer's own. */
export type Heartbeat = z.infer<typeof heartbeatSchema>;

export const configurationUpdateSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('changes'),
    changes: z.array(configurationChangeSchema),
  }),
  z.object({kind: z.literal('snapshot'), configuration: configurationSchema}),
]);
/** What a daemon lacks: the missing changes, or all if they are gone. */
export type ConfigurationUpdate = z.infer<typeof configurationUpdateSchema>;

export const dispatchSchema = z.object({
  minionId: vmIdSchema,
  request: serviceRequestSchema,
  /** The run of the daemon that is meant; another run refuses. */
  homeDaemonId: daemonIdSchema.optional(),
  /** Counts the dispatches of one request from 1; 1 if not given. */
  attempt: z.int().min(1).max(100).optional(),
  /**
   * Time left when the message was sent, so that a difference between the
   * clocks of two daemons does not shorten or extend the deadline.
   */
  remainingMs: z.number().min(0).optional(),
});
/** Hands a request to the home daemon of a minion. */
export type Dispatch = z.infer<typeof dispatchSchema>;

export const jobExplanationSchema = z.object({
  jobId: jobIdSchema,
  /** What the job waits for or where it runs, in one sentence. */
  summary: z.string(),
  /** What holds the capacity that it needs. */
  heldBy: z.array(z.string()),
  /** What would free the capacity. */
  freedBy: z.array(z.string()),
});
export type JobExplanation = z.infer<typeof jobExplanationSchema>;

export const jobReportSchema = z.object({
  record: jobRecordSchema,
  explanation: jobExplanationSchema.optional(),
  /** False while the record is only in the memory of daemons. */
  inStore: z.boolean(),
});
export type JobReport = z.infer<typeof jobReportSchema>;

export const claimQuerySchema = z.object({requestId: requestIdSchema});

/** Calls to one peer, named by its peer address. No call is retried. */
export abstract class PeerClient {
  abstract heartbeat(
    address: string,
    heartbeat: Heartbeat,
  ): Promise<Result<Heartbeat, CallError>>;

  /** Asks for the configuration changes after `version`. */
  abstract configurationSince(
    address: string,
    version: number,
  ): Promise<Result<ConfigurationUpdate, CallError>>;

  /** Returns after `timeoutMs` at the latest. */
  abstract dispatch(
    address: string,
    dispatch: Dispatch,
    timeoutMs: number,
  ): Promise<Result<z.infer<typeof outcomeSchema>, CallError>>;

  /** Hands over an accepted job; repeating the call has no further effect. */
  abstract submitJob(
    address: string,
    record: z.infer<typeof jobRecordSchema>,
  ): Promise<Result<void, CallError>>;

  abstract cancelJob(
    address: string,
    jobId: z.infer<typeof jobIdSchema>,
  ): Promise<Result<JobReport, CallError>>;

  /** Reads a job from the scheduler of its zone. */
  abstract job(
    address: string,
    jobId: z.infer<typeof jobIdSchema>,
  ): Promise<Result<JobReport, CallError>>;

  /** Lists the jobs that the peer schedules. */
  abstract jobs(
    address: string,
  ): Promise<Result<readonly JobReport[], CallError>>;

  /** Asks the daemon that claimed a request for its outcome. */
  abstract claimOutcome(
    address: string,
    requestId: z.infer<typeof requestIdSchema>,
  ): Promise<Result<z.infer<typeof outcomeSchema>, CallError>>;
}

/** The receiving side of `PeerClient`; results are sent back as they are. */
export abstract class PeerHandler {
  abstract heartbeat(heartbeat: Heartbeat): Heartbeat;
  abstract configurationSince(version: number): ConfigurationUpdate;
  abstract dispatch(dispatch: Dispatch): Promise<z.infer<typeof outcomeSchema>>;
  abstract submitJob(
    record: z.infer<typeof jobRecordSchema>,
  ): Promise<Result<void, CallError>>;
  abstract cancelJob(
    jobId: z.infer<typeof jobIdSchema>,
  ): Promise<Result<JobReport, CallError>>;
  abstract job(
    jobId: z.infer<typeof jobIdSchema>,
  ): Promise<Result<JobReport, CallError>>;
  abstract jobs(): readonly JobReport[];
  abstract claimOutcome(
    requestId: z.infer<typeof requestIdSchema>,
  ): Promise<z.infer<typeof outcomeSchema>>;
}
