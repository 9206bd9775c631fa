/**
 * Tests that are known to fail. A test that KNOWN-RED.txt names is reported in
 * a diagnostic and passes without running; RUN_KNOWN_RED=1 runs it.
 */

import {existsSync, readFileSync} from 'node:fs';
import {test} from 'node:test';

const KNOWN_RED_FILE = new URL('../../KNOWN-RED.txt', import.meta.url);
const TEST_NAME_LINE = /^test: (.*)$/gm;

/** Declares a test that KNOWN-RED.txt may name. */
export function checkTarget(
  name: string,
  body: () => void | Promise<void>,
): void {
  test(name, async (context) => {
    if (readKnownRedNames().has(name) && process.env.RUN_KNOWN_RED !== '1') {
      context.diagnostic(`known red, not checked: ${name}`);
      return;
    }
    await body();
  });
}

function readKnownRedNames(): ReadonlySet<string> {
  if (!existsSync(KNOWN_RED_FILE)) return new Set();
  const text = readFileSync(KNOWN_RED_FILE, 'utf8');
  return new Set(
    [...text.matchAll(TEST_NAME_LINE)].map(([, name]) => name ?? ''),
  );
}
