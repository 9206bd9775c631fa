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
import {HttpPlatform} from '../emulator/http_platform.js';
import {DaemonProcess} from '../soak/daemon_process.js';
import {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import {SeededRandom} from '../src/lifecycle/random.js';
import {until} from './leader_fixture.js';

/** Throws twice in a process, once in a timer and once in a promise. */
const THROWING_MODULE = `
setTimeout(() => { throw new Error('thrown in a timer'); }, 1_000);
setTimeout(() => Promise.reject(new Error('rejected unhandled')), 2_500);
`;

describe('a daemon in which an unexpected error is thrown', () => {
  const scope = new CleanupScope();
  let daemon: DaemonProcess;

  before(async () => {
    const platform = await HttpPlatform.start(
      {
        racks: 1,
        workersPerRack: 2,
        acceleratorsPerWorker: 8,
        holdMaximumMs: 3_000,
      },
      new SeededRandom(1),
      scope,
      (_vmId, address) => Promise.resolve(address),
    );
    platform.configure({version: 1, routes: []});
    daemon = await DaemonProcess.create(
      'entry-1',
      platform,
      await platform.openVmService(),
      {workerLeaseMs: 3_000, stopGraceS: 2},
      scope,
    );
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
    await until('the timer has thrown', () => hasLogged('thrown in a timer'));
    await until('it leads again', () => hasLogged('elected for term 2'));
    await until('a promise is rejected', () => hasLogged('rejected unhandled'));
    await until('it leads again', () => hasLogged('elected for term 3'));
    assert.ok(daemon.isRunning);
  });
});
