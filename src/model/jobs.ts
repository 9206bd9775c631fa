/**
 * Gang jobs: the submission of a customer, the record in the store, and the
 * tasks that workers run for a job.
 */

import {z} from 'zod';
import {
  availabilityZoneSchema,
  callerKeySchema,
  customerIdSchema,
  gangIdSchema,
  instantSchema,
  jobIdSchema,
  taskIdSchema,
  vmIdSchema,
  workClassIdSchema,
} from './ids.js';
import {gangShapeSchema} from './shapes.js';

export const jobSubmissionSchema = z.object({
  customerId: customerIdSchema,
  workClassId: workClassIdSchema,
  /** A second submission with the same key returns the first job. */
  key: callerKeySchema.optional(),
  availabilityZone: availabilityZoneSchema.optional(),
  /** Passed to the workers without interpretation. */
  payload: z.string().max(65_536).default(''),
});
/** Body of `POST /v1/jobs`. */
export type JobSubmission = z.infer<typeof jobSubmissionSchema>;

export const jobStateSchema = z.enum([
  'queued',
  'starting',
  'running',
  /** Checkpointed and stopped, to be queued again. */
  'setAside',
  'finished',
  'failed',
  'cancelled',
]);
export type JobState = z.infer<typeof jobStateSchema>;

export const jobRecordSchema = z.object({
  jobId: jobIdSchema,
  customerId: customerIdSchema,
  workClassId: workClassIdSchema,
  key: callerKeySchema.optional(),
  availabilityZone: availabilityZoneSchema,
  shape: gangShapeSchema,
  urgency: z.enum(['urgent', 'normal']),
  declaredRunTimeMs: z.number().positive(),
  payload: z.string(),
  submittedAt: instantSchema,
  state: jobStateSchema,
  /** One-sentence reason for the last state change. */
  reason: z.string(),
  /** Incremented with each change; orders records of the same job. */
  sequence: z.int().min(0),
  /** Number of gangs that have been started for the job. */
  attempts: z.int().min(0),
  gangId: gangIdSchema.optional(),
  /** Location of the last checkpoint, as reported by the worker. */
  checkpoint: z.string().optional(),
  startedAt: instantSchema.optional(),
  endedAt: instantSchema.optional(),
});
/** Value of the store key `jobs/<zone>/<jobId>`. */
export type JobRecord = z.infer<typeof jobRecordSchema>;

/** True if the job will not run again. */
export function hasEnded(state: JobState): boolean {
  return state === 'finished' || state === 'failed' || state === 'cancelled';
}

export const gangMemberSchema = z.object({
  taskId: taskIdSchema,
  workerId: vmIdSchema,
});
export type GangMember = z.infer<typeof gangMemberSchema>;

export const taskSpecificationSchema = z.object({
  taskId: taskIdSchema,
  gangId: gangIdSchema,
  jobId: jobIdSchema,
  customerId: customerIdSchema,
  workClassId: workClassIdSchema,
  /** All members of the gang, this task included. */
  members: z.array(gangMemberSchema).min(1).max(64),
  /** Indexes of the worker's accelerators, 0 to 7. */
  accelerators: z.array(z.int().min(0).max(7)).min(1).max(8),
  /** True if the gang runs in a guaranteed cell of its customer. */
  guaranteed: z.boolean(),
  payload: z.string(),
  /** Checkpoint to resume from. */
  checkpoint: z.string().optional(),
});
/** A task as it is sent to a worker. */
export type TaskSpecification = z.infer<typeof taskSpecificationSchema>;

export const taskStateSchema = z.enum([
  'held',
  'running',
  'finished',
  'failed',
]);
export type TaskState = z.infer<typeof taskStateSchema>;

export const taskStatusSchema = taskSpecificationSchema.extend({
  state: taskStateSchema,
  startedAt: instantSchema.optional(),
  /** Why the task failed, if it did. */
  reason: z.string().optional(),
});
/** A task in a worker's list; ended tasks stay listed until removed. */
export type TaskStatus = z.infer<typeof taskStatusSchema>;

export const taskListSchema = z.object({
  workerId: vmIdSchema,
  /** Id of the worker's incarnation; each one restarts `version`. */
  runId: z.string().min(1).max(64).optional(),
  /** Incremented with each change of the list. */
  version: z.int().min(0),
  /** The worker's VM is leaving and accepts no new tasks. */
  leaving: z.boolean(),
  tasks: z.array(taskStatusSchema),
  /** Measured power draw, which lags behind; absent if not reported. */
  drawWatts: z.number().min(0).optional(),
});
/** The list of tasks that a worker reports. */
export type TaskList = z.infer<typeof taskListSchema>;
