/**
 * An error that no caller handles, in a timer or a callback, must not take the
 * daemon down: callers keep their connections, and a new term starts from the
 * stored records.
 */

import assert from 'node:assert/strict';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, describe, it} from 'node:test';
import {pathToFileURL} from 'node:url';
import type {DaemonProcess} from '../soak/daemon_process.js';
import {FENCES_PER_TERM} from '../src/leader/workers/worker_fences.js';
import {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import {createEntryDaemon} from './entry_process.js';
import {until} from './leader_fixture.js';

/** Throws in a timer at the first SIGHUP, and rejects a promise at the next. */
const THROWING_MODULE = `
let signals = 0;
process.on('SIGHUP', () => {
  signals += 1;
  if (signals > 1) void Promise.reject(new Error('rejected unhandled'));
  else setTimeout(() => { throw new Error('thrown in a timer'); }, 1);
});
`;

describe('a daemon in which an unexpected error is thrown', () => {
  const scope = new CleanupScope();
  let daemon: DaemonProcess;

  before(async () => {
    daemon = await createEntryDaemon(scope);
    const folder = await mkdtemp(join(tmpdir(), 'bramleystep-error-'));
    scope.add(() => rm(folder, {recursive: true, force: true}));
    const path = join(folder, 'throwing.mjs');
    await writeFile(path, THROWING_MODULE);
    await daemon.start({
      NODE_OPTIONS: `--import ${pathToFileURL(path).href}`,
    });
  });

  after(() => scope.close());

  it('logs it, starts a new term and goes on', async () => {
    const hasLogged = (text: string) =>
      daemon.logLines.some((line) => line.includes(text));
    const hasElected = (count: number) =>
      hasLogged(`elected for term ${count * FENCES_PER_TERM}`);
    await until('it leads', () => hasElected(1));
    daemon.reload();
    await until('the timer has thrown', () => hasLogged('thrown in a timer'));
    await until('it leads again', () => hasElected(2));
    daemon.reload();
    await until('a promise is rejected', () => hasLogged('rejected unhandled'));
    await until('it leads again', () => hasElected(3));
    assert.ok(daemon.isRunning);
  });
});
