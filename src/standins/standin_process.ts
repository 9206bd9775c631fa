/**
 * Main function shared by all stand-in programs: reads the options from the
 * command line, prints the addresses and shuts down cleanly on SIGTERM.
 */

import {z} from 'zod';
import {CleanupScope} from '../lifecycle/cleanup_scope.js';
import {validateJson} from '../model/validation.js';
import {StdoutRunLog} from './run_log.js';
import type {RunLog} from './run_log.js';

const USAGE_EXIT_CODE = 2;

/** Options of every stand-in. Port 0 selects any free port. */
export const listenOptionsSchema = z.object({
  host: z.string().default('127.0.0.1'),
  port: z.int().min(0).max(65_535).default(0),
  adminPort: z.int().min(0).max(65_535).default(0),
  /** Exits when standard input closes. */
  endWithInput: z.boolean().default(false),
});

/** Addresses that a stand-in prints as its first line of output. */
export const standinAddressesSchema = z.object({
  /** Host and port of the stand-in's own interface. */
  listening: z.string(),
  /** Host and port of the admin interface. */
  admin: z.string(),
  /** Addresses of a fault proxy's links by name, or of a fleet's workers by id. */
  links: z.record(z.string(), z.string()).optional(),
});
export type StandinAddresses = z.infer<typeof standinAddressesSchema>;

/**
 * Runs one stand-in until SIGTERM or SIGINT. Its options are JSON in the first
 * command line argument; invalid ones set a non-zero exit code.
 */
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
