/** Guards against resources and processes that outlive their owner. */

import assert from 'node:assert/strict';
import {test} from 'node:test';
import {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import {ManagedProcess} from '../src/standins/managed_process.js';

const SLEEP_MS = 600_000;

test('cleanups run once, in reverse order of registration', async () => {
  const scope = new CleanupScope();
  const closed: string[] = [];
  scope.add(() => void closed.push('first'));
  scope.child().add(() => void closed.push('child'));
  await Promise.all([scope.close(), scope.close()]);
  assert.deepEqual(closed, ['child', 'first']);
});

test('a cleanup that is added to a closed scope runs immediately', async () => {
  const scope = new CleanupScope();
  await scope.close();
  let closed = false;
  scope.add(() => {
    closed = true;
  });
  assert.ok(closed);
});

test('a sleep ends when its scope closes', async () => {
  const scope = new CleanupScope();
  const sleeping = scope.sleep(SLEEP_MS);
  await scope.close();
  await sleeping;
});

test('many sleeps on one scope cause no listener leak warning', async () => {
  const warnings: Error[] = [];
  const note = (warning: Error) => warnings.push(warning);
  process.on('warning', note);
  const scope = new CleanupScope();
  const sleeps = Array.from({length: 20}, () => scope.sleep(SLEEP_MS));
  await scope.close();
  await Promise.all(sleeps);
  await new Promise((resolve) => setImmediate(resolve));
  process.off('warning', note);
  assert.deepEqual(warnings, []);
});

test('a process that is still starting is stopped with its scope', async () => {
  const scope = new CleanupScope();
  const starting = ManagedProcess.start(scope, 'silent program', '-e', [
    'setInterval(() => undefined, 1_000)',
  ]);
  const failed = assert.rejects(starting, /silent program ended/);
  await scope.close();
  await failed;
});
