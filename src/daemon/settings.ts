/**
 * Settings of one daemon, read from a JSON file and validated by a schema.
 * The reference in `docs/settings.md` is generated from this schema.
 */

import {readFile} from 'node:fs/promises';
import {Result} from 'true-myth';
import {z} from 'zod';
import {InvalidInputError} from '../model/errors.js';
import {availabilityZoneSchema, vmIdSchema} from '../model/ids.js';
import {validateJson} from '../model/validation.js';
import {addressSchema} from '../interfaces/vm_list.js';

const SECOND_MS = 1_000;
const MINUTE_MS = 60 * SECOND_MS;
const HOUR_MS = 60 * MINUTE_MS;

function milliseconds(defaultMs: number, description: string) {
  return z
    .int()
    .min(1)
    .max(24 * HOUR_MS)
    .default(defaultMs)
    .describe(description);
}

function count(defaultCount: number, description: string) {
  return z
    .int()
    .min(1)
    .max(1_000_000)
    .default(defaultCount)
    .describe(description);
}

const timingsSchema = z.strictObject({
  heartbeatIntervalMs: milliseconds(
    500,
    'Time between heartbeats to peers in the same zone.',
  ),
  crossZoneHeartbeatIntervalMs: milliseconds(
    5 * SECOND_MS,
    'Time between heartbeats to peers in other zones.',
  ),
  peerTimeoutMs: milliseconds(
    2 * SECOND_MS,
    'A peer in the same zone without a heartbeat for this long is not live.',
  ),
  peerCallTimeoutMs: milliseconds(
    SECOND_MS,
    'Timeout of a heartbeat; other calls between daemons set their own.',
  ),
  storeCallTimeoutMs: milliseconds(
    SECOND_MS,
    'Timeout of a call to the key-value service.',
  ),
  watchWaitMs: milliseconds(
    20 * SECOND_MS,
    'Longest wait of a watch on the store or the VM list for a change.',
  ),
  workerCallTimeoutMs: milliseconds(
    SECOND_MS,
    'Timeout of a call to a worker.',
  ),
  workerWatchWaitMs: milliseconds(
    10 * SECOND_MS,
    'Longest wait of a watch on a worker for a change; 300000 at full size.',
  ),
  workerLeaseMs: milliseconds(
    MINUTE_MS,
    'Duration of a worker lease; at least three times workerWatchWaitMs.',
  ),
  workerLostAfterMs: milliseconds(
    15 * SECOND_MS,
    'A worker is lost when calls to it have failed for this long.',
  ),
  reclaimBoundMs: milliseconds(
    SECOND_MS,
    'Longest time that a borrower may take for its checkpoint.',
  ),
  starvationBoundMs: milliseconds(
    2 * MINUTE_MS,
    'A gang that has waited for this long gets a reservation.',
  ),
  gangSkewBoundMs: milliseconds(
    5 * SECOND_MS,
    'Longest time that some tasks of a gang may run without the others.',
  ),
  claimRetentionMs: milliseconds(
    HOUR_MS,
    'How long the key of a non-idempotent request is retained.',
  ),
  stopDeadlineMs: milliseconds(
    30 * SECOND_MS,
    'Longest time that a graceful stop waits for requests in progress.',
  ),
  lingerMs: milliseconds(
    SECOND_MS,
    'Time from announcing a graceful stop until listeners may close.',
  ),
});
/** Times in milliseconds. */
export type Timings = z.infer<typeof timingsSchema>;

const limitsSchema = z.strictObject({
  workerCallConcurrency: count(
    32,
    'Largest number of concurrent calls to workers.',
  ),
});
/** Limits on counts. */
export type Limits = z.infer<typeof limitsSchema>;

export const settingsSchema = z.strictObject({
  vmId: vmIdSchema.describe('Id of this entry VM in the VM list.'),
  availabilityZone: availabilityZoneSchema.describe('Zone of this entry VM.'),
  callers: z.strictObject({
    listen: addressSchema.describe('Address for callers, IP number and port.'),
  }),
  operators: z.strictObject({
    listen: addressSchema.describe(
      'Address for operators and metrics; keep it off public networks.',
    ),
  }),
  peers: z.strictObject({
    listen: addressSchema.describe('Address for other daemons.'),
    advertise: addressSchema
      .optional()
      .describe('Address that peers use, if it differs from listen.'),
    seeds: z
      .array(addressSchema)
      .max(64)
      .default([])
      .describe('Peer addresses to contact when the platform is unavailable.'),
  }),
  platform: z.strictObject({
    address: addressSchema.describe(
      'Address of the key-value service and the VM list.',
    ),
  }),
  logLevel: z
    .enum(['trace', 'debug', 'info', 'warn', 'error'])
    .default('info')
    .describe('Lowest severity that is logged.'),
  timings: timingsSchema.prefault({}),
  limits: limitsSchema.prefault({}),
});
/** Settings of one daemon. */
export type Settings = z.infer<typeof settingsSchema>;

/** A lease outlasts two consecutive missed renewals. */
const RENEWALS_PER_LEASE = 3;

/** Parses and validates the text of a settings file. */
export function parseSettings(
  text: string,
): Result<Settings, InvalidInputError> {
  return validateJson(settingsSchema, text, 'settings').andThen(checkTimings);
}

/** Reads and validates a settings file. */
export async function readSettings(
  path: string,
): Promise<Result<Settings, InvalidInputError>> {
  let text: string;
  try {
    text = await readFile(path, 'utf8');
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    return Result.err(
      new InvalidInputError(
        'settings',
        detail,
        'name a readable JSON file with --settings',
      ),
    );
  }
  return parseSettings(text);
}

function checkTimings(settings: Settings): Result<Settings, InvalidInputError> {
  const {timings} = settings;
  const leastLeaseMs = RENEWALS_PER_LEASE * timings.workerWatchWaitMs;
  if (timings.workerLeaseMs < leastLeaseMs) {
    return Result.err(
      new InvalidInputError(
        'settings.timings.workerLeaseMs',
        `${timings.workerLeaseMs} is less than ${RENEWALS_PER_LEASE} times ` +
          `workerWatchWaitMs (${timings.workerWatchWaitMs})`,
        `set it to ${leastLeaseMs} or more`,
      ),
    );
  }
  if (timings.peerTimeoutMs < 2 * timings.heartbeatIntervalMs) {
    return Result.err(
      new InvalidInputError(
        'settings.timings.peerTimeoutMs',
        `${timings.peerTimeoutMs} is less than two heartbeat intervals`,
        `set it to ${2 * timings.heartbeatIntervalMs} or more`,
      ),
    );
  }
  return Result.ok(settings);
}

/** Splits an address such as `10.0.0.1:7000` or `[::1]:7000`. */
export function splitAddress(address: string): {host: string; port: number} {
  const end = address.lastIndexOf(':');
  const host = address.slice(0, end).replace(/^\[(.*)\]$/, '$1');
  return {host, port: Number(address.slice(end + 1))};
}
