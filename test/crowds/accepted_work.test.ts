/**
 * Tests that work which clients hand in, with a valid key and each item under a
 * new id, ends no leader and none after it, with the deployed heap on the
 * smallest VM, and that other callers are answered meanwhile.
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
  CROWD_KEYS,
  LONGEST_SPECIFICATION,
  QUEUE_HOST,
  QUEUE_PATH,
  checkJobRequest,
  checkProcess,
  checkReadiness,
  checkSubmission,
  deployedHeap,
  jobRequest,
  playCrowd,
  startDaemonOnSmallVm,
} from './crowd.js';

const MEMBERS = 20;

const READING = {reads: true, trickle: ''};

/** Descriptors of a deployed VM, so that connections are not the limit. */
const MAXIMUM_DESCRIPTORS = 4_100;

describe('a crowd with a valid key', () => {
  let scope: CleanupScope;
  let daemon: DaemonProcess;

  beforeEach(async () => {
    scope = new CleanupScope();
    daemon = await startDaemonOnSmallVm(scope, deployedHeap(), {
      maximumDescriptors: MAXIMUM_DESCRIPTORS,
    });
  });

  afterEach(() => scope.close());

  /** Plays the crowd, then replaces the leader by one with an empty memory. */
  const check = async (textsOf: (member: number) => Iterable<string>) => {
    const {callerAddress} = daemon.settings;
    await playCrowd(scope, callerAddress, MEMBERS, textsOf, READING);
    await checkServes(daemon);
    await daemon.restart('SIGKILL', 0);
    await checkServes(daemon);
  };

  checkTarget('hands in jobs of many tasks', async () => {
    const step = {count: 200, cpu: 1_000, gpu: 1};
    await check((member) => submissionsAhead(member, 100, {steps: [step]}));
  });

  checkTarget('hands in the largest jobs', async () => {
    const step = {count: 20_000, cpu: 1_000, gpu: 1};
    await check((member) => submissionsAhead(member, 5, {steps: [step]}));
  });

  checkTarget('hands in jobs with long specifications', async () => {
    const job = {
      spec: LONGEST_SPECIFICATION,
      steps: [{count: 1, cpu: 1_000, gpu: 1}],
    };
    await check((member) => submissionsAhead(member, 1_500, job));
  });

  checkTarget('hands in jobs that end at once', async () => {
    const job = {spec: LONGEST_SPECIFICATION, steps: []};
    await check((member) => submissionsAhead(member, 1_500, job));
  });

  checkTarget('hands in jobs of many steps', async () => {
    const steps = Array.from({length: 2_000}, () => ({count: 1, cpu: 1}));
    await check((member) => submissionsAhead(member, 20, {steps}));
  });

  checkTarget('hands in jobs of many occurrences', async () => {
    const job = {
      steps: [{count: 1, cpu: 1_000}],
      repeats: 20_000,
      startAtMs: Date.now(),
      intervalMs: 1,
    };
    await check((member) => submissionsAhead(member, 5, job));
  });

  checkTarget('hands in jobs while others send to all addresses', async () => {
    const addresses = [
      daemon.settings.callerAddress,
      daemon.settings.readinessAddress,
      daemon.peerAddress,
    ];
    const path = `${QUEUE_PATH}00000000000000aa`;
    const kinds = [
      () => readinessAhead(),
      () => unfinishedBody(QUEUE_HOST, path, 1),
      () => unfinishedBody(QUEUE_HOST, path, LARGE_CHUNK_BYTES),
    ];
    const others = addresses.flatMap((address) =>
      kinds.map((textsOf) => playCrowd(scope, address, 150, textsOf)),
    );
    const step = {count: 200, cpu: 1_000, gpu: 1};
    await check((member) => submissionsAhead(member, 100, {steps: [step]}));
    await Promise.all(others);
    await checkServes(daemon);
  });

  checkTarget('names the same earlier step many times', async () => {
    const job = {
      steps: [
        {count: 1, cpu: 1},
        {count: 5_000, cpu: 32_000, after: Array(100_000).fill(0)},
      ],
    };
    await check((member) => submissionsAhead(member, 1, job));
  });

  checkTarget('hands in a job that the store cannot hold', async () => {
    const steps = Array.from({length: 15_000}, () => ({count: 1}));
    const requests = submissionsAhead(0, 1, {steps});
    await playCrowd(scope, daemon.settings.callerAddress, 1, () => requests);
    // A store that refuses one record for good is not unavailable.
    const log = daemon.logLines.join('\n');
    assert.doesNotMatch(log, /the store does not answer/);
    await checkServes(daemon);
  });
});

async function checkServes(daemon: DaemonProcess): Promise<void> {
  await checkProcess(daemon);
  await checkJobRequest(daemon);
  await checkSubmission(daemon);
  await checkReadiness(daemon);
  // Rounds and records follow the answers.
  await delay(1_000);
  await checkProcess(daemon);
}

function* submissionsAhead(
  member: number,
  count: number,
  job: object,
): Iterable<string> {
  for (let index = 0; index < count; index += 1) {
    const jobId = (member * count + index).toString(16).padStart(16, '0');
    const key = CROWD_KEYS[member % CROWD_KEYS.length];
    yield jobRequest(jobId, {spec: 'text', ...job}, key);
  }
}
