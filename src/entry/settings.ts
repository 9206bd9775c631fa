/**
 * Settings of the entry daemon, in JSON. The platform renders the file from a
 * template; a value that is missing or wrong is named with its field.
 */

import {readFile} from 'node:fs/promises';
import {Result} from 'true-myth';
import {z} from 'zod';
import {InvalidInputError} from '../model/errors.js';

const addressSchema = z.string().regex(/^[^:]+:\d+$/, {
  error: 'use host:port',
});

export const entrySettingsSchema = z.object({
  vmId: z.string().min(1),
  availabilityZone: z.string().min(1),
  /** Callers connect here. */
  callerAddress: addressSchema,
  /** The platform asks here whether callers may be sent. */
  readinessAddress: addressSchema,
  /** Host on which the other daemons reach this one. */
  peerHost: z.string().min(1),
  /** First of the ports that are free for the daemons. */
  peerPort: z.number().int().positive(),
  storeAddress: addressSchema,
  /** Service that decides which workers may run a step, where there is one. */
  advisorAddress: addressSchema.optional(),
  /** Share of a core that the process may use. */
  cores: z.number().positive(),
  linkMbps: z.number().positive(),
  /** Longest lease of a worker, in milliseconds. */
  workerLeaseMs: z.number().positive(),
  /** How long an ended job's state can be asked for, in seconds. */
  stateRetentionS: z.number().positive(),
  /** Time from a request to stop until the process is killed, in seconds. */
  stopGraceS: z.number().positive(),
});
export type EntrySettings = Readonly<z.infer<typeof entrySettingsSchema>>;

/** Reads and checks the settings file. */
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
      issue?.message ?? 'has another form',
      'correct the settings file and start again',
    ),
  );
}
