/**
 * Messages and client interface for calls between the daemons of a site.
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

/** Limit per heartbeat; the remaining queue lengths go with the next one. */
export const MAXIMUM_QUEUE_LENGTHS = 1_000;

export const heartbeatSchema = z.object({
  daemonId: daemonIdSchema,
  vmId: vmIdSchema,
  availabilityZone: availabilityZoneSchema,
  /** Peer address of the sender. */
  address: addressSchema,
  /** The sender accepts no new work and no longer owns anything. */
  leaving: z.boolean(),
  configurationVersion: z.int().min(0),
  /** Queue lengths that changed since the last heartbeat to this peer. */
  queueLengths: z.array(queueLengthSchema).max(MAXIMUM_QUEUE_LENGTHS),
  /**
   * Peers known to the sender. Sent to a daemon that has just started, so that
   * it can discover its peers while the VM list is unavailable.
   */
  peerAddresses: z.array(addressSchema).max(64).optional(),
});
/** Sent to each peer periodically; answered with the peer's own heartbeat. */
export type Heartbeat = z.infer<typeof heartbeatSchema>;

export const configurationUpdateSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('changes'),
    changes: z.array(configurationChangeSchema),
  }),
  z.object({kind: z.literal('snapshot'), configuration: configurationSchema}),
]);
/** The changes a daemon is missing, or a snapshot if they were compacted. */
export type ConfigurationUpdate = z.infer<typeof configurationUpdateSchema>;

export const dispatchSchema = z.object({
  minionId: vmIdSchema,
  request: serviceRequestSchema,
  /** Incarnation of the addressed daemon; another incarnation refuses. */
  homeDaemonId: daemonIdSchema.optional(),
  /** Number of this dispatch of the request, from 1; defaults to 1. */
  attempt: z.int().min(1).max(100).optional(),
  /**
   * Time left when the message was sent. A relative time keeps clock skew
   * between daemons from shortening or extending the deadline.
   */
  remainingMs: z.number().min(0).optional(),
});
/** Forwards a request to the home daemon of a minion. */
export type Dispatch = z.infer<typeof dispatchSchema>;

export const jobExplanationSchema = z.object({
  jobId: jobIdSchema,
  /** One sentence: what the job waits for, or where it runs. */
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
  /** False while the record is held only in memory. */
  inStore: z.boolean(),
});
export type JobReport = z.infer<typeof jobReportSchema>;

export const claimQuerySchema = z.object({requestId: requestIdSchema});

/** Calls to peers, identified by their peer address. No call is retried. */
export abstract class PeerClient {
  abstract heartbeat(
    address: string,
    heartbeat: Heartbeat,
  ): Promise<Result<Heartbeat, CallError>>;

  /** Requests the configuration changes after `version`. */
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

  /** Submits an accepted job to its scheduler. Idempotent. */
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

  /** Requests the outcome from the daemon that claimed the request. */
  abstract claimOutcome(
    address: string,
    requestId: z.infer<typeof requestIdSchema>,
  ): Promise<Result<z.infer<typeof outcomeSchema>, CallError>>;
}

/** Server side of `PeerClient`; results are returned to the peer unchanged. */
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
