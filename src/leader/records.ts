/**
 * Keys and records that the product keeps in the store. A record that cannot
 * be read is reported to the caller of the decoder and never dropped silently.
 */

import {Result} from 'true-myth';
import {z} from 'zod';
import {InvalidInputError} from '../model/errors.js';
import type {JobId} from '../model/ids.js';
import {vmIdSchema, workerIdSchema} from '../model/ids.js';

const ROOT = 'bramleystep/';

/** The leader and the members; every daemon watches it. */
export const SITE_PREFIX = `${ROOT}site/`;
export const LEADER_KEY = `${SITE_PREFIX}leader`;
export const TERM_KEY = `${ROOT}term`;
export const MEMBER_PREFIX = `${SITE_PREFIX}members/`;

/** Written by any daemon; the leader watches it. */
export const INBOX_PREFIX = `${ROOT}jobs/`;
const SUBMITTED_PREFIX = `${INBOX_PREFIX}submitted/`;
const CANCELLED_PREFIX = `${INBOX_PREFIX}cancelled/`;

/** Written by the leader only; outside the prefix that it watches. */
export const PROGRESS_PREFIX = `${ROOT}progress/`;

/** Progress of waves of maintenance, written by the leader only. */
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

/** Returns what an inbox key holds and for which job. */
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

/** A unit that is not done or still has runs. */
export const openUnitSchema = z.object({
  occurrence: z.number(),
  step: z.number(),
  firstIndex: z.number(),
  failures: z.number(),
  lastRun: z.number(),
  /** Last run that was counted in `failures`. */
  failedRun: z.number(),
  checkpoint: z.string(),
  /** Runs under `lastRun` that may be on a worker. */
  placements: z.array(
    z.object({index: z.number(), workerId: workerIdSchema, life: z.number()}),
  ),
});
export type OpenUnitRecord = z.infer<typeof openUnitSchema>;

export const progressSchema = z.object({
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
});
export type ProgressRecord = z.infer<typeof progressSchema>;

export const waveRecordSchema = z.object({
  /** Unix milliseconds at which a leader first saw the wave. */
  startedAt: z.number(),
  isComplete: z.boolean(),
  /** VMs that are not waiting any more. */
  vms: z.array(
    z.object({
      vmId: vmIdSchema,
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
  /** Tells an election of this process from one of an earlier process. */
  nonce: z.string(),
});
export type LeaderRecord = z.infer<typeof leaderSchema>;

export const termSchema = z.object({term: z.number()});

export const memberSchema = z.object({vmId: z.string(), address: z.string()});
export type MemberRecord = z.infer<typeof memberSchema>;

/** Reads a record; the error names the key and the first wrong field. */
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
      new InvalidInputError(key, 'the record is not JSON', 'remove the key'),
    );
  }
  const parsed = schema.safeParse(value);
  if (parsed.success) return Result.ok(parsed.data);
  const [issue] = parsed.error.issues;
  return Result.err(
    new InvalidInputError(
      `${key}.${issue?.path.join('.') ?? ''}`,
      issue?.message ?? 'the record has another form',
      'remove the key, or run the version that wrote it',
    ),
  );
}
