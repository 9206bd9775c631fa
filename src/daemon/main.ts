#!/usr/bin/env node
/**
 * Entry point of the daemon: reads the settings, starts the daemon and stops it
 * gracefully on SIGTERM or SIGINT. The first line on standard output is a JSON
 * object with the addresses that the daemon listens on.
 */

import {parseArgs} from 'node:util';
import {SystemClock} from '../lifecycle/clock.js';
import {SeededRandom} from '../lifecycle/random.js';
import {Daemon} from './daemon.js';
import {readSettings} from './settings.js';

const EXIT_USAGE = 2;
const EXIT_FAILED = 1;
const USAGE = 'usage: bramleystepd --settings FILE';

async function main(): Promise<void> {
  const path = settingsPath();
  if (path === undefined) {
    fail(USAGE, EXIT_USAGE);
    return;
  }
  const settings = await readSettings(path);
  if (settings.isErr) {
    fail(`bramleystepd: ${settings.error.message}`, EXIT_USAGE);
    return;
  }
  const daemon = new Daemon({
    settings: settings.value,
    clock: new SystemClock(),
    random: new SeededRandom(seedFromSystem()),
  });
  const stop = () => void daemon.stop().then(() => process.exit(0));
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  try {
    const listening = await daemon.start();
    process.stdout.write(`${JSON.stringify({listening})}\n`);
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    fail(`bramleystepd: cannot start: ${detail}`, EXIT_FAILED);
    process.exit();
  }
}

function settingsPath(): string | undefined {
  try {
    const {values} = parseArgs({options: {settings: {type: 'string'}}});
    return values.settings;
  } catch {
    return undefined;
  }
}

/** A seed per process: daemons that start together need different jitter. */
function seedFromSystem(): number {
  return Math.floor(Math.random() * 2 ** 31);
}

function fail(message: string, exitCode: number): void {
  process.stderr.write(`${message}\n`);
  process.exitCode = exitCode;
}

await main();
