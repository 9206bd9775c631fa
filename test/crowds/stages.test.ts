/**
 * Tests that clients that stop, or trickle on, within any stage of a request at
 * any address take no more than a small VM has, and that others are answered
 * while they stay.
 */

import {afterEach, beforeEach, describe} from 'node:test';
import {
  LARGE_CHUNK_BYTES,
  LOW_HEAP,
  unfinishedBody,
  unfinishedHead,
} from '../../soak/crowd.js';
import type {DaemonProcess} from '../../soak/daemon_process.js';
import {CleanupScope} from '../../src/lifecycle/cleanup_scope.js';
import {checkTarget} from '../known_red.js';
import {
  ADDRESSES,
  QUEUE_HOST,
  QUEUE_PATH,
  bodyRequest,
  checkJobRequest,
  checkProcess,
  checkReadiness,
  checkSubmission,
  forwardedCall,
  playCrowd,
  startDaemonOnSmallVm,
} from './crowd.js';

/** Descriptors of a deployed VM, so that connections are not the limit. */
const MAXIMUM_DESCRIPTORS = 4_100;

const PATH = `${QUEUE_PATH}00000000000000aa`;

/** What each member sends, and goes on with while it stays. */
const STAGES = {
  'heads that stay short of their end': {
    texts: () => unfinishedHead(QUEUE_HOST, PATH),
    trickle: '',
  },
  'heads that trickle on': {
    texts: () => unfinishedHead(QUEUE_HOST, PATH),
    trickle: 'x',
  },
  'bodies in large chunks that trickle on': {
    texts: () => unfinishedBody(QUEUE_HOST, PATH, LARGE_CHUNK_BYTES),
    trickle: '1\r\na\r\n',
  },
  'bodies in one-byte chunks that trickle on': {
    texts: () => unfinishedBody(QUEUE_HOST, PATH, 1),
    trickle: '1\r\na\r\n',
  },
} as const;

describe('a crowd of', () => {
  let scope: CleanupScope;

  beforeEach(() => {
    scope = new CleanupScope();
  });

  afterEach(() => scope.close());

  const check = async (daemon: DaemonProcess) => {
    await checkProcess(daemon);
    await checkJobRequest(daemon);
    await checkSubmission(daemon);
    await checkReadiness(daemon);
    await checkProcess(daemon);
  };

  for (const [address, addressOf] of Object.entries(ADDRESSES)) {
    for (const [stage, {texts, trickle}] of Object.entries(STAGES)) {
      checkTarget(`${stage}, at the address of ${address}`, async () => {
        const daemon = await startDaemonOnSmallVm(scope, LOW_HEAP, {
          maximumDescriptors: MAXIMUM_DESCRIPTORS,
        });
        const play = {reads: false, trickle};
        await playCrowd(scope, addressOf(daemon), 300, texts, play);
        await check(daemon);
      });
    }

    checkTarget(`held places, at the address of ${address}`, async () => {
      // Memory for more unfinished requests than there are places.
      const daemon = await startDaemonOnSmallVm(scope, LOW_HEAP, {
        maximumDescriptors: MAXIMUM_DESCRIPTORS,
        requestsInProgress: 16,
      });
      const [head = ''] = unfinishedBody(QUEUE_HOST, PATH, 1);
      const play = {reads: false, trickle: '1\r\na\r\n'};
      await playCrowd(scope, addressOf(daemon), 60, () => [head], play);
      await check(daemon);
    });
  }

  const submission = (member: number) =>
    Array.from({length: 50}, (_unused, index) =>
      bodyRequest(
        (member * 50 + index).toString(16).padStart(16, '0'),
        '{"spec":"text","steps":[{"count":1}]}',
      ),
    );
  const forwarded = () => Array<string>(50).fill(forwardedCall('text'));
  const whole = {callers: submission, peers: forwarded};
  for (const address of ['callers', 'peers'] as const) {
    checkTarget(`whole requests, at the address of ${address}`, async () => {
      const daemon = await startDaemonOnSmallVm(scope, LOW_HEAP, {
        maximumDescriptors: MAXIMUM_DESCRIPTORS,
        requestsInProgress: 16,
      });
      const held: Array<() => void> = [];
      daemon.store.faults.heldTransactions = held;
      const target = ADDRESSES[address](daemon);
      await playCrowd(scope, target, 60, whole[address]);
      daemon.store.faults.heldTransactions = undefined;
      for (const release of held) release();
      await check(daemon);
    });
  }
});
