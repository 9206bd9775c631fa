/**
 * Gang jobs: what a customer submits, the record that the store keeps, and
 * the tasks that workers run for it.
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
  /** Passed to the workers unread. */
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
  /** One sentence on the last change of state. */
  reason: z.string(),
  /** Raised by one with each change; orders records of the same job. */
  sequence: z.int().min(0),
  /** Number of gangs that were started for the job. */
  attempts: z.int().min(0),
  gangId: gangIdSchema.optional(),
  /** Where the last checkpoint is kept, as the worker named it. */
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
  /** Resume from here, if given. */
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
/** A task as a worker lists it. Ended tasks stay until they are removed. */
export type TaskStatus = z.infer<typeof taskStatusSchema>;

export const taskListSchema = z.object({
  workerId: vmIdSchema,
  /** Fresh per start of the worker's service, which counts versions anew. */
  runId: z.string().min(1).max(64).optional(),
  /** Raised by one with each change of the list. */
  version: z.int().min(0),
  /** The worker's VM is leaving and takes no new task. */
  leaving: z.boolean(),
  tasks: z.array(taskStatusSchema),
  /** Lagging measurement in watts, if the worker reports one. */
  drawWatts: z.number().min(0).optional(),
});
/** The worker's own, current list of its tasks. */
export type TaskList = z.infer<typeof taskListSchema>;
