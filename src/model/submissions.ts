/**
 * Work that callers of a hosted site submit: a job of steps, each of which has
 * a number of equal tasks. The schemas also read the records in the store.
 */

import {z} from 'zod';
import {
  customerIdSchema,
  jobIdSchema,
  queueIdSchema,
  serviceIdSchema,
} from './ids.js';

/** Resources of a task, or room of a worker. */
export const taskShapeSchema = z.object({
  /** Thousandths of a core. */
  processorMillicores: z.number(),
  memoryMegabytes: z.number(),
  accelerators: z.number(),
});
export type TaskShape = Readonly<z.infer<typeof taskShapeSchema>>;

export const stepSchema = z.object({
  taskCount: z.number(),
  shape: taskShapeSchema,
  /** The caller's rough estimate of one task's duration. */
  estimatedMs: z.number(),
  /** Indexes of the steps whose tasks must all be done before. */
  after: z.array(z.number()),
  checkpointing: z.boolean().optional(),
  /** The tasks work only while all of them run. */
  gang: z.boolean().optional(),
  /** The tasks are slower by a known factor on more than one rack. */
  sameRack: z.boolean().optional(),
  requiredLabel: z.string().optional(),
  /** Rack that holds the data; elsewhere a task is slower. */
  dataRack: z.string().optional(),
  /** Most tasks of the step on one worker; absent: no limit. */
  maximumPerWorker: z.number().optional(),
  /** Copies of a task may run at the same time. */
  speculative: z.boolean().optional(),
  /** The tasks run until the job is cancelled. */
  longRunning: z.boolean().optional(),
  /** The tasks use what other tasks leave of the processors. */
  usesSpareProcessor: z.boolean().optional(),
  /** Names what the tasks run; tasks of one image disturb others alike. */
  image: z.string().optional(),
  /** The tasks serve users; the tail of their response times stays below. */
  responseTargetMs: z.number().optional(),
  /** Tasks of a lasting step that the scheduler may take away at once. */
  maximumAway: z.number().optional(),
});
export type Step = Readonly<z.infer<typeof stepSchema>>;

export const submissionSchema = z.object({
  jobId: jobIdSchema,
  queueId: queueIdSchema,
  serviceId: serviceIdSchema,
  customerId: customerIdSchema.optional(),
  /** Opaque text that each task is started with. */
  specification: z.string(),
  steps: z.array(stepSchema),
  /** 0: once, at once. Otherwise the number of occurrences. */
  occurrences: z.number(),
  /** Unix milliseconds at which occurrence 0 is due. */
  firstDueAt: z.number(),
  intervalMs: z.number(),
  /** Unix milliseconds at which a daemon received the job. */
  submittedAt: z.number(),
});
export type Submission = Readonly<z.infer<typeof submissionSchema>>;

export type JobStateName =
  'queued' | 'running' | 'complete' | 'failed' | 'cancelled';

/** Returns true if nothing of the job will be started any more. */
export function isEnded(state: JobStateName): boolean {
  return state !== 'queued' && state !== 'running';
}

/** Returns the task's name towards workers. */
export function taskName(
  jobId: string,
  occurrence: number,
  step: number,
  index: number,
): string {
  return `${jobId}.${occurrence}.${step}.${index}`;
}
