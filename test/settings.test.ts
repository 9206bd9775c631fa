/** Guards against a daemon that starts with invalid settings. */

import assert from 'node:assert/strict';
import {readFile, readdir} from 'node:fs/promises';
import {join} from 'node:path';
import {test} from 'node:test';
import {parseSettings} from '../src/daemon/settings.js';
import {renderSettingsReference} from '../src/daemon/settings_reference.js';

const EXAMPLES = 'examples';

const VALID = {
  vmId: 'entry-1',
  availabilityZone: 'zone-1',
  callers: {listen: '10.0.0.1:7100'},
  operators: {listen: '10.0.0.1:7300'},
  peers: {listen: '10.0.0.1:7200'},
  platform: {address: '10.0.0.9:7000'},
};

function errorOf(settings: unknown): string {
  return parseSettings(JSON.stringify(settings)).match({
    Ok: () => 'no error',
    Err: (error) => error.message,
  });
}

test('all example settings are valid', async () => {
  const paths = await readdir(EXAMPLES, {recursive: true});
  const settings = paths.filter((path) => path.includes('settings/'));
  assert.ok(settings.length >= 16);
  for (const path of settings) {
    const text = await readFile(join(EXAMPLES, path), 'utf8');
    assert.ok(parseSettings(text).isOk, path);
  }
});

test('an error names the field and the remedy', () => {
  const message = errorOf({...VALID, callers: {listen: 'localhost'}});
  assert.match(message, /settings\.callers\.listen/);
  assert.match(message, /IP number and a port/);
});

test('a misspelt field is refused instead of ignored', () => {
  assert.match(errorOf({...VALID, zones: 'zone-1'}), /zones/);
});

test('a worker lease that expires after one lost renewal is refused', () => {
  const timings = {workerWatchWaitMs: 10_000, workerLeaseMs: 20_000};
  const message = errorOf({...VALID, timings});
  assert.match(message, /workerLeaseMs.*set it to 30000 or more/);
});

test('a peer timeout below two heartbeats is refused', () => {
  const timings = {heartbeatIntervalMs: 500, peerTimeoutMs: 600};
  assert.match(errorOf({...VALID, timings}), /set it to 1000 or more/);
});

test('the settings reference is up to date with the schema', async () => {
  const page = await readFile('docs/settings.md', 'utf8');
  assert.equal(page, renderSettingsReference());
});
