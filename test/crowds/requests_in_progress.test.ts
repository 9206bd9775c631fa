/**
 * Tests that requests in progress take no more than the memory of a small VM while
 * the store is slow.
 */

import {afterEach, beforeEach, describe} from 'node:test';
import {LOW_HEAP} from '../../soak/crowd.js';
import type {DaemonProcess} from '../../soak/daemon_process.js';
import {CleanupScope} from '../../src/lifecycle/cleanup_scope.js';
import {checkTarget} from '../known_red.js';
import {
  bodyRequest,
  checkJobRequest,
  checkProcess,
  checkReadiness,
  forwardedCall,
  jobRequest,
  playCrowd,
  startDaemonOnSmallVm,
} from './crowd.js';

/** Descriptors of a deployed VM, so that connections are not the limit. */
const MAXIMUM_DESCRIPTORS = 4_100;

describe('while the store is slow, a crowd', () => {
  let scope: CleanupScope;
  let daemon: DaemonProcess;
  let held: Array<() => void>;

  beforeEach(async () => {
    scope = new CleanupScope();
    daemon = await startDaemonOnSmallVm(scope, LOW_HEAP, {
      maximumDescriptors: MAXIMUM_DESCRIPTORS,
    });
    held = [];
    daemon.store.faults.heldTransactions = held;
  });

  afterEach(() => scope.close());

  const check = async () => {
    await checkProcess(daemon);
    daemon.store.faults.heldTransactions = undefined;
    for (const release of held) release();
    await checkJobRequest(daemon);
    await checkReadiness(daemon);
    await checkProcess(daemon);
  };

  checkTarget('hands in large jobs at once', async () => {
    const steps = Array.from({length: 8_000}, () => ({count: 1, cpu: 1_000}));
    const requestOf = (member: number) => [
      jobRequest(`00000000000${10_000 + member}`, {spec: 'text', steps}),
    ];
    await playCrowd(scope, daemon.settings.callerAddress, 200, requestOf);
    await check();
  });

  checkTarget('hands in long specifications at once', async () => {
    const body = {spec: 'a'.repeat(250_000), steps: [{count: 1}]};
    const requestOf = (member: number) => [
      jobRequest(`00000000000${10_000 + member}`, body),
    ];
    await playCrowd(scope, daemon.settings.callerAddress, 250, requestOf);
    await check();
  });

  checkTarget('hands in deeply nested bodies', async () => {
    const body = '['.repeat(250_000);
    const requests = () => [bodyRequest('00000000000000aa', body)];
    const {callerAddress} = daemon.settings;
    await playCrowd(scope, callerAddress, 200, requests);
    await check();
  });

  checkTarget('forwards large jobs to the address of peers', async () => {
    const text = forwardedCall('a'.repeat(900_000));
    await playCrowd(scope, daemon.peerAddress, 150, () => [text]);
    await check();
  });
});
