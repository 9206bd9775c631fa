/**
 * Jobs that callers of a hosted site submit. A job consists of steps, and a
 * step of identical tasks. The schemas also validate the records in the store.
 */

import {z} from 'zod';
import {
  hostedCustomerIdSchema,
  jobIdSchema,
  queueIdSchema,
  serviceIdSchema,
} from './ids.js';

/** Resources that a task needs, or capacity of a worker. */
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
  /** Indexes of the steps that must be complete before this one starts. */
  after: z.array(z.number()),
  checkpointing: z.boolean().optional(),
  /** The tasks make progress only while all of them run. */
  gang: z.boolean().optional(),
  /** The tasks are slower by a known factor if they span several racks. */
  sameRack: z.boolean().optional(),
  requiredLabel: z.string().optional(),
  /** Rack that holds the data; a task is slower on other racks. */
  dataRack: z.string().optional(),
  /** Maximum tasks of the step per worker; absent: no limit. */
  maximumPerWorker: z.number().optional(),
  /** Copies of a task may run at the same time. */
  speculative: z.boolean().optional(),
  /** The tasks run until the job is cancelled. */
  longRunning: z.boolean().optional(),
  /** The tasks use processor time that other tasks leave unused. */
  usesSpareProcessor: z.boolean().optional(),
  /** Image that the tasks run; all its tasks interfere alike with others. */
  image: z.string().optional(),
  /** Upper bound of the tail response time of tasks that serve users. */
  responseTargetMs: z.number().optional(),
  /** Tasks of a long-running step that may be stopped at the same time. */
  maximumAway: z.number().optional(),
});
export type Step = Readonly<z.infer<typeof stepSchema>>;

export const submissionSchema = z.object({
  jobId: jobIdSchema,
  queueId: queueIdSchema,
  serviceId: serviceIdSchema,
  customerId: hostedCustomerIdSchema.optional(),
  /** Opaque text that is passed to each task at its start. */
  specification: z.string(),
  steps: z.array(stepSchema),
  /** 0: run once, immediately. Otherwise the number of occurrences. */
  occurrences: z.number(),
  /** Unix milliseconds at which occurrence 0 is due. */
  firstDueAt: z.number(),
  intervalMs: z.number(),
  /** Unix milliseconds at which a daemon received the job. */
  submittedAt: z.number(),
  /**
   * Failed runs of one task after which the job fails, as its queue had it when
   * the job was received. Submissions of earlier versions have none.
   */
  maximumAttempts: z.number().optional(),
});
export type Submission = Readonly<z.infer<typeof submissionSchema>>;

export type JobStateName =
  'queued' | 'running' | 'complete' | 'failed' | 'cancelled';

/**
 * Most tasks of a job, over all its occurrences. Each leader holds all of them
 * in memory, so a larger job would exhaust one leader after the other.
 */
export const MAXIMUM_JOB_TASKS = 20_000;

/**
 * Most tasks of a job that are started and not done at the same time, and so
 * the widest gang. All of them are in one record of at most 1 MiB in the store.
 */
export const MAXIMUM_STARTED_TASKS = 2_500;

/** Longest text that is passed to a job's tasks, in bytes of UTF-8. */
export const MAXIMUM_SPECIFICATION_BYTES = 4_000;

type JobSize = Pick<Submission, 'steps' | 'occurrences'>;

/** Number of a job's tasks, over all its occurrences. */
export function taskCountOf({steps, occurrences}: JobSize): number {
  const tasks = steps.reduce((total, {taskCount}) => total + taskCount, 0);
  return tasks * Math.max(1, occurrences);
}

/** True if the job has more tasks, or a wider gang, than a leader can handle. */
export function isTooLarge(size: JobSize): boolean {
  return (
    taskCountOf(size) > MAXIMUM_JOB_TASKS ||
    size.steps.some(
      ({gang, taskCount}) => gang === true && taskCount > MAXIMUM_STARTED_TASKS,
    )
  );
}

/** Returns true if no task of the job will be started any more. */
export function isEnded(state: JobStateName): boolean {
  return state !== 'queued' && state !== 'running';
}

/** Returns the name under which workers know the task. */
export function taskName(
  jobId: string,
  occurrence: number,
  step: number,
  index: number,
): string {
  return `${jobId}.${occurrence}.${step}.${index}`;
}
