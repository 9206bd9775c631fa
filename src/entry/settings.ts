/**
 * Settings of the entry daemon, in JSON. The platform renders the file from a
 * template; errors name the field that is missing or invalid.
 */

import {readFile} from 'node:fs/promises';
import {getHeapStatistics} from 'node:v8';
import {Result} from 'true-myth';
import {z} from 'zod';
import type {PreemptionSettings} from '../leader/planning/preemption_policy.js';
import {InvalidInputError} from '../model/errors.js';

const MEGABYTE = 1_048_576;

const addressSchema = z.string().regex(/^[^:]+:\d+$/, {
  error: 'use host:port',
});

const vmServiceSchema = z.strictObject({
  address: addressSchema.describe(
    'Address of the service; without one, leave the whole section out.',
  ),
  maintenanceS: z
    .number()
    .positive()
    .describe('Time that the maintenance of one VM takes, seconds.'),
  noticeMs: z
    .number()
    .nonnegative()
    .describe('A lasting task counts as back after this time at work.'),
  handoverMs: z
    .number()
    .nonnegative()
    .describe('A new leader gives no order about VMs for this time.'),
});

const workerRunsSchema = z.strictObject({
  stopMs: z
    .number()
    .nonnegative()
    .describe('Longest time that a worker takes to stop a run.'),
  restoreMs: z
    .number()
    .nonnegative()
    .describe('Time that a run takes to resume from a checkpoint.'),
  checkpointIntervalS: z
    .number()
    .positive()
    .describe('Work of a task between two of its checkpoints, seconds.'),
});

/**
 * Where runs are continued elsewhere within this time, a placement on a slow
 * worker is soon made good.
 */
const QUICK_CONTINUATION_MS = 1_000;

const preemptionSchema = z.strictObject({
  policy: z
    .enum(['auto', 'immediate', 'economical'])
    .describe(
      'How runs are chosen that are stopped for guaranteed work; auto is ' +
        'economical if tasks write checkpoints more often than every second ' +
        'and a stop and a restoring take less than that interval.',
    ),
  reclaimMs: z
    .number()
    .positive()
    .describe('Guaranteed work starts within this time after its acceptance.'),
});

const clientLimitsSchema = z.strictObject({
  memoryMb: z
    .number()
    .positive()
    .default(192)
    .describe('Memory of the VM; other defaults follow from it.'),
  maximumDescriptors: z
    .number()
    .positive()
    .default(2_048)
    .describe('Descriptors that the VM allows; 200 are left for files.'),
  connections: z
    .int()
    .positive()
    .optional()
    .describe(
      "Connections at the callers' address, half of the sockets if unset; " +
        'beyond, the oldest unfinished or longest idle one is closed.',
    ),
  unfinishedRequests: z
    .int()
    .positive()
    .optional()
    .describe(
      "Requests at the callers' address that are not whole, and answers that " +
        'are unread; one for each 64 KB of `heldMb` if unset; beyond, the ' +
        'connection of the oldest is closed.',
    ),
  heldMb: z
    .number()
    .positive()
    .optional()
    .describe(
      "Memory for what connections at the callers' address hold, bodies " +
        'included; a quarter of the memory above 128 MB if unset, 8 to 64; ' +
        'beyond, the connection of the oldest unfinished request is closed.',
    ),
  requestsInProgress: z
    .int()
    .positive()
    .default(256)
    .describe(
      "Requests in progress at the callers' address; beyond, one is refused " +
        'with 503 and Retry-After, and never runs.',
    ),
  workMb: z
    .number()
    .positive()
    .optional()
    .describe(
      'Memory of a leader for all known jobs of the site; 35 % of the heap ' +
        'if unset; beyond, a submission is refused with 503, or with 429 if ' +
        "its customer's jobs take as much as is left, and never runs.",
    ),
});
export type ClientLimits = Readonly<z.infer<typeof clientLimitsSchema>>;

export const entrySettingsSchema = z.strictObject({
  vmId: z.string().min(1).describe('Name of this entry VM.'),
  availabilityZone: z.string().min(1).describe('Zone of this entry VM.'),
  callerAddress: addressSchema.describe('Callers connect here.'),
  readinessAddress: addressSchema.describe(
    'The platform asks here whether callers may be sent.',
  ),
  peerHost: z
    .string()
    .min(1)
    .describe('Host on which the other daemons reach this one.'),
  peerPort: z
    .number()
    .int()
    .positive()
    .describe('Port for the other daemons, and for metrics.'),
  storeAddress: addressSchema.describe("Address of the platform's store."),
  storeValueBytes: z
    .int()
    .positive()
    .default(1_048_576)
    .describe(
      'Largest value that the store accepts; a job that takes more is refused.',
    ),
  advisorAddress: addressSchema
    .optional()
    .describe('Service that decides which workers may run a step.'),
  vmService: vmServiceSchema
    .optional()
    .describe('Service for the VMs of workers.'),
  evacuationBoundMs: z
    .number()
    .positive()
    .optional()
    .describe(
      'No run starts in a zone later than this after its evacuation; ' +
        'without it, zones are not evacuated.',
    ),
  keepApart: z
    .boolean()
    .optional()
    .describe(
      'Whether kinds of work that slow each other down are placed on ' +
        'different workers, where there is room.',
    ),
  cores: z
    .number()
    .positive()
    .describe('Share of a core that the process may use.'),
  linkMbps: z.number().positive().describe('Bandwidth of the VM.'),
  workerLeaseMs: z
    .number()
    .positive()
    .describe('Longest lease that a worker grants.'),
  workerRuns: workerRunsSchema
    .optional()
    .describe('Stops, checkpoints and restored runs on the workers.'),
  speedPlacement: z
    .enum(['auto', 'on', 'off'])
    .default('auto')
    .describe(
      'Choose workers by their speeds. auto: where continuing a run on ' +
        'another worker takes long.',
    ),
  stateRetentionS: z
    .number()
    .positive()
    .describe('How long the state of an ended job can be asked for, seconds.'),
  preemption: preemptionSchema
    .optional()
    .describe('Without it or `workerRuns`, the policy is immediate.'),
  stopGraceS: z
    .number()
    .positive()
    .describe('Time from a request to stop until the kill, seconds.'),
  clientLimits: clientLimitsSchema.prefault({}),
});
export type EntrySettings = Readonly<z.infer<typeof entrySettingsSchema>>;

/** The rest is for a leader without jobs, for its rounds and for takeovers. */
const WORK_SHARE_OF_HEAP = 0.35;

/** Memory that all known jobs of the site may take in a leader, in bytes. */
export function maximumWorkBytes({workMb}: ClientLimits): number {
  return workMb === undefined
    ? getHeapStatistics().heap_size_limit * WORK_SHARE_OF_HEAP
    : workMb * MEGABYTE;
}

/** True if the leader chooses workers by their speeds. */
export function usesWorkerSpeeds({
  speedPlacement,
  workerRuns,
}: EntrySettings): boolean {
  if (speedPlacement !== 'auto') return speedPlacement === 'on';
  if (workerRuns === undefined) return false;
  return workerRuns.stopMs + workerRuns.restoreMs > QUICK_CONTINUATION_MS;
}

/** Settings as written in the file, where defaults may be left out. */
export type EntrySettingsFile = Readonly<z.input<typeof entrySettingsSchema>>;

/** Undefined if the site does not say what a stop costs. */
export function preemptionSettings({
  preemption,
  workerRuns,
}: EntrySettings): PreemptionSettings | undefined {
  if (preemption === undefined || workerRuns === undefined) return undefined;
  return {...preemption, ...workerRuns};
}

/** Reads and validates the settings file; an error names the invalid field. */
export async function readEntrySettings(
  path: string,
): Promise<Result<EntrySettings, InvalidInputError>> {
  let value: unknown;
  try {
    value = JSON.parse(await readFile(path, 'utf8'));
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    return Result.err(
      new InvalidInputError(path, detail, 'write a readable JSON file'),
    );
  }
  const parsed = entrySettingsSchema.safeParse(value);
  if (parsed.success) return Result.ok(parsed.data);
  const [issue] = parsed.error.issues;
  return Result.err(
    new InvalidInputError(
      issue?.path.join('.') ?? path,
      issue?.message ?? 'has an unexpected format',
      'correct the settings file and start again',
    ),
  );
}
