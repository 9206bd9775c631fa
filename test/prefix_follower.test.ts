/**
 * Following a key prefix of the store: how soon the cached view is confirmed as
 * current after an outage.
 */

import assert from 'node:assert/strict';
import {it} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {Result} from 'true-myth';
import {PrefixFollower} from '../src/leader/prefix_follower.js';
import {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import {steadyNow} from '../src/lifecycle/clock.js';
import {UnavailableError} from '../src/model/errors.js';

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
  await delay(RECOVERY_LIMIT_MS);
  const ageMs = follower.ageMs(steadyNow());
  await scope.close();
  assert.ok(ageMs < RECOVERY_LIMIT_MS, `the cached view is ${ageMs} ms old`);
});
