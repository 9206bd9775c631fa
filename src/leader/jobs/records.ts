/**
 * Keys and schemas of the records in the coordination store. A record that
 * cannot be decoded is returned to the caller as an error, never dropped.
 */

import {Result} from 'true-myth';
import {z} from 'zod';
import {InvalidInputError} from '../../model/errors.js';
import type {JobId} from '../../model/ids.js';
import {
  hostedCustomerIdSchema,
  hostedVmIdSchema,
  workerIdSchema,
} from '../../model/ids.js';

const ROOT = 'bramleystep/';

/** Holds the leader record and the members; watched by every daemon. */
export const SITE_PREFIX = `${ROOT}site/`;
export const LEADER_KEY = `${SITE_PREFIX}leader`;
export const TERM_KEY = `${ROOT}term`;
export const MEMBER_PREFIX = `${SITE_PREFIX}members/`;

/**
 * Submissions and cancellations: written by any daemon, watched by the leader.
 */
export const INBOX_PREFIX = `${ROOT}jobs/`;
const SUBMITTED_PREFIX = `${INBOX_PREFIX}submitted/`;
const CANCELLED_PREFIX = `${INBOX_PREFIX}cancelled/`;

/**
 * Job progress, written only by the leader. Outside `INBOX_PREFIX`, so that the
 * leader does not receive its own writes as changes.
 */
export const PROGRESS_PREFIX = `${ROOT}progress/`;

/** Progress of maintenance waves, written only by the leader. */
export const MAINTENANCE_PREFIX = `${ROOT}maintenance/`;

export function maintenanceKey(waveId: number): string {
  return `${MAINTENANCE_PREFIX}${waveId}`;
}

export function submittedKey(jobId: JobId): string {
  return `${SUBMITTED_PREFIX}${jobId}`;
}

export function cancelledKey(jobId: JobId): string {
  return `${CANCELLED_PREFIX}${jobId}`;
}

export function progressKey(jobId: JobId): string {
  return `${PROGRESS_PREFIX}${jobId}`;
}

/** Returns the kind of record and the job of an inbox key. */
export function parseInboxKey(
  key: string,
): {kind: 'submitted' | 'cancelled'; jobId: JobId} | undefined {
  if (key.startsWith(SUBMITTED_PREFIX)) {
    const jobId = key.slice(SUBMITTED_PREFIX.length) as JobId;
    return {kind: 'submitted', jobId};
  }
  if (key.startsWith(CANCELLED_PREFIX)) {
    const jobId = key.slice(CANCELLED_PREFIX.length) as JobId;
    return {kind: 'cancelled', jobId};
  }
  return undefined;
}

export const cancellationSchema = z.object({
  /** Unix milliseconds at which a daemon received the cancellation. */
  cancelledAt: z.number(),
  /** Absent for operators, public queues and records of earlier versions. */
  customerId: hostedCustomerIdSchema.optional(),
});
export type CancellationRecord = z.infer<typeof cancellationSchema>;

/** Tasks of one run that were lost with a worker. */
export const workerLossSchema = z.object({
  run: z.number(),
  /** Indexes of the tasks. Records of earlier versions have none. */
  tasks: z.array(z.number()).default([]),
  workerId: workerIdSchema,
  /** The worker's incarnation. */
  life: z.number(),
  vmId: hostedVmIdSchema.optional(),
  /** True if the worker is known to have crashed. */
  isCrash: z.boolean(),
  /** True if the worker is known to have ended, for whatever reason. */
  hasEnded: z.boolean().default(false),
  /** True if a start without an answer may have been carried out once more. */
  wasUnanswered: z.boolean().default(false),
  /** True if the tasks are known to have been at work on the worker. */
  wasAtWork: z.boolean().default(false),
  /** True if they are known to have been at work until the worker's end. */
  wasAtWorkAtEnd: z.boolean().default(false),
  /** True if the worker is known to have had no runs of other units. */
  isAlone: z.boolean(),
  /** True if many workers had outages at that time. */
  isWidespread: z.boolean().default(false),
  /** True if the worker is known to have crashed soon after the start. */
  isEarly: z.boolean().default(false),
});
export type WorkerLoss = Readonly<z.infer<typeof workerLossSchema>>;

/** What the losses of several units with one worker have in common. */
export const sharedLossSchema = workerLossSchema.omit({tasks: true});
export type SharedLoss = Readonly<z.infer<typeof sharedLossSchema>>;

/** An index in the job's `sharedLosses`, then the indexes of the lost tasks. */
export const lossReferenceSchema = z.tuple([z.number()], z.number());
export type LossReference = z.infer<typeof lossReferenceSchema>;

/** A start of a task whose run ended otherwise than with its worker. */
export const taskStartSchema = z.object({task: z.number(), run: z.number()});
export type TaskStart = Readonly<z.infer<typeof taskStartSchema>>;

/** A unit that is not done or still has runs on workers. */
export const openUnitSchema = z.object({
  occurrence: z.number(),
  step: z.number(),
  firstIndex: z.number(),
  failures: z.number(),
  lastRun: z.number(),
  /** Number of the last run that was counted in `failures`. */
  failedRun: z.number(),
  checkpoint: z.string(),
  /**
   * Tasks of `lastRun` that may be on a worker; `life` is the worker's
   * incarnation.
   */
  placements: z.array(
    z.object({
      index: z.number(),
      workerId: workerIdSchema,
      life: z.number(),
      vmId: hostedVmIdSchema.optional(),
      /** Unix milliseconds; only for a long-running task that has started. */
      startedAt: z.number().optional(),
    }),
  ),
  /** Absent if no run was lost with its worker. */
  lostTasks: z.array(lossReferenceSchema).optional(),
  /** Only in records of earlier versions, in place of `lostTasks`. */
  losses: z.array(workerLossSchema).optional(),
  /** Absent if there were none after such a loss. */
  otherStarts: z.array(taskStartSchema).optional(),
});
export type OpenUnitRecord = z.infer<typeof openUnitSchema>;

export const progressSchema = z
  .object({
    state: z.enum(['queued', 'running', 'complete', 'failed', 'cancelled']),
    endedAt: z.number().optional(),
    done: z.array(
      z.object({
        occurrence: z.number(),
        step: z.number(),
        firstIndexes: z.array(z.number()),
      }),
    ),
    open: z.array(openUnitSchema),
    /** Absent if the open units have no losses. */
    sharedLosses: z.array(sharedLossSchema).optional(),
  })
  .refine(
    ({open, sharedLosses = []}) =>
      open.every(({lostTasks = []}) =>
        lostTasks.every(([index]) => sharedLosses[index] !== undefined),
      ),
    {path: ['sharedLosses'], error: 'a loss that a unit refers to is missing'},
  );
export type ProgressRecord = z.infer<typeof progressSchema>;

export const waveRecordSchema = z.object({
  /** Unix time in milliseconds at which a leader first saw the wave. */
  startedAt: z.number(),
  isComplete: z.boolean(),
  /** VMs that are past `waiting`; a VM that is missing here is waiting. */
  vms: z.array(
    z.object({
      vmId: hostedVmIdSchema,
      progress: z.enum(['waiting', 'ordered', 'begun', 'done']),
    }),
  ),
});
export type WaveRecord = z.infer<typeof waveRecordSchema>;

export const leaderSchema = z.object({
  vmId: z.string(),
  /** Address of the leader's peer interface. */
  address: z.string(),
  term: z.number(),
  /** Distinguishes elections of this process from those of an earlier one. */
  nonce: z.string(),
});
export type LeaderRecord = z.infer<typeof leaderSchema>;

export const termSchema = z.object({term: z.number()});

export const memberSchema = z.object({vmId: z.string(), address: z.string()});
export type MemberRecord = z.infer<typeof memberSchema>;

/** Decodes a JSON record; the error names the key and first invalid field. */
export function decodeRecord<T>(
  key: string,
  text: string,
  schema: z.ZodType<T>,
): Result<T, InvalidInputError> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return Result.err(
      new InvalidInputError(
        key,
        'the record is not valid JSON',
        'remove the key',
      ),
    );
  }
  const parsed = schema.safeParse(value);
  if (parsed.success) return Result.ok(parsed.data);
  const [issue] = parsed.error.issues;
  return Result.err(
    new InvalidInputError(
      `${key}.${issue?.path.join('.') ?? ''}`,
      issue?.message ?? 'the record does not match its schema',
      'remove the key, or run the software version that wrote it',
    ),
  );
}
