/**
 * Messages of the operators' HTTP interface, shared by the daemon and the
 * command-line tool.
 */

import {z} from 'zod';
import {
  configurationChangeSchema,
  configurationEditSchema,
  configurationSchema,
  powerStateSchema,
} from '../model/configuration.js';
import {errorReportSchema} from '../model/errors.js';
import {
  availabilityZoneSchema,
  changeIdSchema,
  daemonIdSchema,
  instantSchema,
  vmIdSchema,
} from '../model/ids.js';
import {jobReportSchema} from '../parties/peer_client.js';
import {addressSchema} from '../parties/vm_list.js';

const MAXIMUM_AUTHOR_LENGTH = 200;

export const questionnaireSubmissionSchema = z.object({
  /** Chosen by the operator's tool; repeating the call changes nothing. */
  changeId: changeIdSchema,
  author: z.string().min(1).max(MAXIMUM_AUTHOR_LENGTH),
  /** Version that the operator has seen; the current one if absent. */
  baseVersion: z.int().min(0).optional(),
  /** Checked against the questionnaire schema by the daemon. */
  questionnaire: z.unknown(),
  /** Check only, change nothing. */
  checkOnly: z.boolean().default(false),
});
export type QuestionnaireSubmission = z.infer<
  typeof questionnaireSubmissionSchema
>;

export const editResultSchema = z.object({
  /** Version in force after the change; unchanged for a check. */
  version: z.int().min(0),
  edit: configurationEditSchema,
});
/** What a questionnaire or a power report came to. */
export type EditResult = z.infer<typeof editResultSchema>;

export const powerSubmissionSchema = z.object({
  changeId: changeIdSchema,
  author: z.string().min(1).max(MAXIMUM_AUTHOR_LENGTH),
  power: powerStateSchema,
});
export type PowerSubmission = z.infer<typeof powerSubmissionSchema>;

export const historySchema = z.object({
  changes: z.array(configurationChangeSchema),
});
export type History = z.infer<typeof historySchema>;

export const peerStatusSchema = z.object({
  daemonId: daemonIdSchema,
  vmId: vmIdSchema,
  availabilityZone: availabilityZoneSchema,
  address: addressSchema,
  leaving: z.boolean(),
  configurationVersion: z.int().min(0),
  /** Milliseconds since its last heartbeat. */
  heardMsAgo: z.number().min(0),
});

export const zoneStatusSchema = z.object({
  availabilityZone: availabilityZoneSchema,
  /** VM id of the scheduler, as this daemon sees it. */
  scheduler: vmIdSchema.optional(),
  liveDaemons: z.int().min(0),
  workers: z.int().min(0),
  minions: z.int().min(0),
});

export const statusSchema = z.object({
  daemonId: daemonIdSchema,
  vmId: vmIdSchema,
  availabilityZone: availabilityZoneSchema,
  startedAt: instantSchema,
  leaving: z.boolean(),
  configurationVersion: z.int().min(0),
  power: powerStateSchema,
  storeReachable: z.boolean(),
  zones: z.array(zoneStatusSchema),
  peers: z.array(peerStatusSchema),
  quarantinedWorkers: z.array(vmIdSchema),
});
/** One daemon's view of the site. */
export type Status = z.infer<typeof statusSchema>;

export const jobListSchema = z.object({jobs: z.array(jobReportSchema)});
export type JobList = z.infer<typeof jobListSchema>;

export const auditEntrySchema = z.object({
  at: instantSchema,
  /** Operator or daemon. */
  author: z.string(),
  /** One sentence. */
  action: z.string(),
  /** Configuration version that the entry produced, if it did. */
  version: z.int().min(1).optional(),
});
export type AuditEntry = z.infer<typeof auditEntrySchema>;

export const auditSchema = z.object({
  entries: z.array(auditEntrySchema),
  /** Decisions that were not recorded because the store was away. */
  lostEntries: z.int().min(0),
});
export type Audit = z.infer<typeof auditSchema>;

export const configurationReplySchema = configurationSchema;

export const errorReplySchema = z.object({error: errorReportSchema});
