/**
 * What the programs of all stand-ins have in common: options from the command
 * line, the first line of output and a clean end on SIGTERM.
 */

import {z} from 'zod';
import {CleanupScope} from '../lifecycle/cleanup_scope.js';
import {validateJson} from '../model/validation.js';
import {StdoutRunLog} from './run_log.js';
import type {RunLog} from './run_log.js';

const USAGE_EXIT_CODE = 2;

/** Options that every stand-in takes. Port 0 lets the system choose. */
export const listenOptionsSchema = z.object({
  host: z.string().default('127.0.0.1'),
  port: z.int().min(0).max(65_535).default(0),
  adminPort: z.int().min(0).max(65_535).default(0),
  /** Ends the process when its standard input closes. */
  endWithInput: z.boolean().default(false),
});

/** First line of output. */
export const standinAddressesSchema = z.object({
  /** Host and port of the stand-in's interface. */
  listening: z.string(),
  /** Host and port of the admin interface. */
  admin: z.string(),
  /** Addresses of a fault proxy's links by name. */
  links: z.record(z.string(), z.string()).optional(),
});
export type StandinAddresses = z.infer<typeof standinAddressesSchema>;

/** Runs one stand-in until SIGTERM or SIGINT. */
export async function runStandin<
  T extends Pick<z.infer<typeof listenOptionsSchema>, 'endWithInput'>,
>(
  name: string,
  schema: z.ZodType<T>,
  start: (
    scope: CleanupScope,
    options: T,
    log: RunLog,
  ) => Promise<StandinAddresses>,
): Promise<void> {
  const options = validateJson(schema, process.argv[2] ?? '{}', 'options');
  if (options.isErr) {
    process.stderr.write(`[${name}] ${options.error.message}\n`);
    process.exitCode = USAGE_EXIT_CODE;
    return;
  }
  const scope = new CleanupScope();
  const log = new StdoutRunLog(name);
  const shutDown = () => {
    void scope.close().then(() => process.exit(0));
  };
  process.on('SIGTERM', shutDown);
  process.on('SIGINT', shutDown);
  if (options.value.endWithInput) process.stdin.on('end', shutDown).resume();
  log.open(await start(scope, options.value, log));
}
