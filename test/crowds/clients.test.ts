/**
 * Tests that clients outside all limits neither end a daemon nor take more than
 * the memory and descriptors of its VM, and that others are answered meanwhile.
 */

import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {
  LARGE_CHUNK_BYTES,
  readinessAhead,
  unfinishedBody,
} from '../../soak/crowd.js';
import type {DaemonProcess} from '../../soak/daemon_process.js';
import {CleanupScope} from '../../src/lifecycle/cleanup_scope.js';
import {checkTarget} from '../known_red.js';
import {
  ADDRESSES,
  QUEUE_HOST,
  QUEUE_PATH,
  checkOrdinaryRequest,
  checkProcess,
  checkReadiness,
  playCrowd,
  startDaemonOnSmallVm,
  submitJob,
} from './crowd.js';

describe('a crowd', () => {
  let scope: CleanupScope;
  let daemon: DaemonProcess;

  beforeEach(async () => {
    scope = new CleanupScope();
    daemon = await startDaemonOnSmallVm(scope);
  });

  afterEach(() => scope.close());

  const check = async () => {
    await checkProcess(daemon);
    await checkOrdinaryRequest(daemon);
    await checkReadiness(daemon);
    await checkProcess(daemon);
  };

  for (const [name, addressOf] of Object.entries(ADDRESSES)) {
    checkTarget(`at the address of ${name}: requests ahead`, async () => {
      await playCrowd(scope, addressOf(daemon), 100, () => readinessAhead());
      await check();
    });

    checkTarget(`at the address of ${name}: large chunks`, async () => {
      const body = () => chunkedBody(LARGE_CHUNK_BYTES);
      await playCrowd(scope, addressOf(daemon), 300, body);
      await check();
    });

    checkTarget(`at the address of ${name}: small chunks`, async () => {
      await playCrowd(scope, addressOf(daemon), 60, () => chunkedBody(1));
      await check();
    });
  }

  checkTarget('of submissions ahead, each with a new key', async () => {
    await playCrowd(scope, daemon.settings.callerAddress, 60, submissionsAhead);
    await check();
  });

  checkTarget('at a stop: a request in progress is answered', async () => {
    await playCrowd(scope, daemon.settings.callerAddress, 100, readinessAhead);
    const held: Array<() => void> = [];
    daemon.store.faults.heldTransactions = held;
    const status = submitJob(daemon);
    while (held.length === 0) await delay(10);
    const stopped = daemon.stop();
    await delay(150);
    daemon.store.faults.heldTransactions = undefined;
    for (const release of held) release();
    await stopped;
    assert.equal(await status, 200);
  });
});

function chunkedBody(chunkBytes: number): Iterable<string> {
  return unfinishedBody(
    QUEUE_HOST,
    `${QUEUE_PATH}00000000000000aa`,
    chunkBytes,
  );
}

function* submissionsAhead(member: number): Iterable<string> {
  const body = '{"spec":"text","steps":[{"count":1,"cpu":1000}]}';
  for (let index = 0; index < 5_000; index += 1) {
    const name = (member * 5_000 + index).toString(16).padStart(16, '0');
    yield (
      `POST ${QUEUE_PATH}${name} HTTP/1.1\r\nHost: ${QUEUE_HOST}\r\n` +
      `Bramleystep-Credential: key-${name}\r\n` +
      `Content-Type: application/json\r\n` +
      `Content-Length: ${body.length}\r\n\r\n${body}`
    );
  }
}
