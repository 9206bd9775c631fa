/**
 * Following a key prefix of the store: how soon the cached view is confirmed as
 * current after an outage.
 */

import assert from 'node:assert/strict';
import {it} from 'node:test';
import {setImmediate, setTimeout as delay} from 'node:timers/promises';
import {Result} from 'true-myth';
import {PrefixFollower} from '../src/leader/prefix_follower.js';
import {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import {steadyNow} from '../src/lifecycle/clock.js';
import {PauseDetector} from '../src/lifecycle/pause_detector.js';
import {ProtocolError, UnavailableError} from '../src/model/errors.js';
import {MovableClock} from './movable_clock.js';

/** Retry delay after a failed poll, with a margin for the next answer. */
const RECOVERY_LIMIT_MS = 500;

it('is current soon after an outage even if nothing changed', async () => {
  // Guards against a long poll of 2 s right after an outage: daemons refused to
  // answer for that long although the store was available again.
  const scope = new CleanupScope();
  let isDown = false;
  const follower = new PrefixFollower<undefined, never>(
    {
      list: () => Promise.resolve(Result.ok({state: undefined, revision: 1})),
      watch: async (_revision, waitMs) => {
        if (isDown) return Result.err(new UnavailableError('down', 'wait'));
        const until = Date.now() + waitMs;
        while (Date.now() < until && !isDown) await delay(5);
        return isDown
          ? Result.err(new UnavailableError('down', 'wait'))
          : Result.ok({kind: 'changes', changes: [], revision: 1});
      },
    },
    scope,
    () => undefined,
  );
  await follower.start(
    () => undefined,
    () => undefined,
  );
  isDown = true;
  await delay(1_000);
  isDown = false;
  const endedAt = steadyNow();
  await delay(RECOVERY_LIMIT_MS);
  const now = steadyNow();
  const ageMs = follower.ageMs(now);
  await scope.close();
  // A poll just after the end leaves a view that is as old as the wait.
  assert.ok(
    ageMs <= now - endedAt,
    `the cached view is ${ageMs} ms old, ${now - endedAt} ms after the outage`,
  );
});

/** Follows a source whose polls stay open until the test answers them. */
async function followHeldPolls() {
  const scope = new CleanupScope();
  const clock = new MovableClock();
  const waits: number[] = [];
  let answerPoll: () => void = () => undefined;
  const follower = new PrefixFollower<undefined, never>(
    {
      list: () => Promise.resolve(Result.ok({state: undefined, revision: 1})),
      watch: (_revision, waitMs, signal) => {
        waits.push(waitMs);
        return new Promise((resolve) => {
          answerPoll = () =>
            resolve(Result.ok({kind: 'changes', changes: [], revision: 1}));
          signal.addEventListener('abort', () =>
            resolve(Result.err(new UnavailableError('aborted', 'retry'))),
          );
        });
      },
    },
    scope,
    () => undefined,
    {pauses: new PauseDetector(clock, scope)},
  );
  await follower.start(
    () => undefined,
    () => undefined,
  );
  return {scope, clock, waits, follower, answerPoll: () => answerPoll()};
}

it('does not rely on what it knew before the VM was suspended', async () => {
  // The steady clock does not count a suspension, so that a withdrawn key
  // looked as if it had just been confirmed.
  const {scope, clock, waits, follower, answerPoll} = await followHeldPolls();
  assert.ok(follower.ageMs(steadyNow()) < RECOVERY_LIMIT_MS);
  clock.movedByMs = 5_000;
  assert.equal(follower.ageMs(steadyNow()), Infinity);
  await setImmediate();
  assert.equal(waits.at(-1), 0);
  answerPoll();
  await setImmediate();
  const ageMs = follower.ageMs(steadyNow());
  await scope.close();
  assert.ok(ageMs < RECOVERY_LIMIT_MS, `the cached view is ${ageMs} ms old`);
});

it('does not take an answer for new that waited while it was paused', async () => {
  const {scope, waits, follower, answerPoll} = await followHeldPolls();
  answerPoll();
  // Blocks the event loop, so that the answer is read only afterwards.
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 1_000);
  await setImmediate();
  assert.equal(follower.ageMs(steadyNow()), Infinity);
  assert.equal(waits.at(-1), 0);
  answerPoll();
  await setImmediate();
  assert.ok(follower.ageMs(steadyNow()) < RECOVERY_LIMIT_MS);
  await scope.close();
});

it('lists again if the events since its last poll cannot be read', async () => {
  // Guards against a leader that never hears of a worker again.
  const scope = new CleanupScope();
  let revision = 1;
  const listed: number[] = [];
  const follower = new PrefixFollower<number, never>(
    {
      list: () => Promise.resolve(Result.ok({state: revision, revision})),
      watch: async (after, waitMs) => {
        await delay(Math.min(waitMs, 5));
        return after === 1
          ? Result.err(new ProtocolError('too large', 'ask for less'))
          : Result.ok({kind: 'changes', changes: [], revision: after});
      },
    },
    scope,
    () => undefined,
  );
  await follower.start(
    (state) => listed.push(state),
    () => undefined,
  );
  revision = 2;
  await delay(RECOVERY_LIMIT_MS);
  await scope.close();
  assert.deepEqual(listed, [1, 2]);
});
