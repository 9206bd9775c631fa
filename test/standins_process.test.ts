/**
 * Guards against stand-ins that keep running after their test or start with
 * invalid options, and against wrong revisions in the store after a key is
 * deleted and created again or the history is compacted.
 */

import assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import {afterEach, beforeEach, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import {SystemError} from '../src/model/errors.js';
import {KeyValueState} from '../src/standins/key_value_state.js';
import {StandinProcess} from '../src/standins/launcher.js';

let scope: CleanupScope;

beforeEach(() => {
  scope = new CleanupScope();
});

afterEach(() => scope.close());

it('every stand-in listens on its own port and exits on SIGTERM', async () => {
  const standins = await Promise.all([
    StandinProcess.start(scope, 'platform', {}),
    StandinProcess.start(scope, 'worker', {workerId: 'worker-1'}),
    StandinProcess.start(scope, 'minion', {minionId: 'minion-1'}),
    StandinProcess.start(scope, 'faultProxy', {}),
  ]);
  const addresses = standins.map((standin) => standin.address);
  assert.equal(new Set(addresses).size, standins.length);
  for (const standin of standins) {
    assert.match(standin.address, /^127\.0\.0\.1:\d+$/);
    assert.equal(await standin.stop(), 0);
  }
});

it('a stand-in with invalid options exits and reports the field', () => {
  const path = new URL('../src/standins/minion.js', import.meta.url);
  const {status, stderr} = spawnSync(
    process.execPath,
    [fileURLToPath(path), '{"minionId":"minion-1","slots":0}'],
    {encoding: 'utf8'},
  );
  assert.equal(status, 2);
  assert.match(stderr, /options\.slots/);
});

it('each write and deletion gets a new revision of the store', () => {
  const state = new KeyValueState(2);
  assert.equal(state.put('a', '1', 0), 1);
  assert.equal(state.delete('a', 1), 2);
  assert.throws(() => state.delete('a', 0), SystemError);
  // A key that is created again does not reuse an earlier revision.
  assert.equal(state.put('a', '2', 0), 3);
  assert.throws(() => state.put('a', '3', 1), SystemError);
  assert.equal(state.changesAfter('', 0)?.compacted, true);
  assert.deepEqual(state.changesAfter('', 1)?.changed, [
    {key: 'a', value: '2', revision: 3},
  ]);
  state.compact();
  assert.equal(state.changesAfter('', 2)?.compacted, true);
  assert.equal(state.changesAfter('', 3), undefined);
});
