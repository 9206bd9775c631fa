/**
 * Guards against a waiting request that is refused only long after its
 * deadline, and against a short timer that keeps waking an idle daemon.
 */

import assert from 'node:assert/strict';
import {mock, test} from 'node:test';
import {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import {FakeSite, submission, waitUntil} from './requests_fakes.js';

const DEADLINE_MS = 10_000;
const EXPIRY_INTERVAL_MS = 20;

test('an expired request is refused while its minion is unresponsive', async (t) => {
  mock.timers.enable({apis: ['setTimeout', 'setInterval']});
  t.after(() => mock.timers.reset());
  const scope = new CleanupScope();
  t.after(() => scope.close());
  const site = new FakeSite();
  let openGate = () => {};
  site.minions.gate = new Promise<void>((resolve) => (openGate = resolve));
  const daemon = site.addDaemon('one', 1);
  daemon.start(scope);

  const running = daemon.submit(submission('check', 'a'));
  await waitUntil(() => site.minions.callCount === 1);
  const waiting = daemon.submit(submission('check', 'b'));
  await waitUntil(() => daemon.queueLengths()[0]?.queued === 2);
  site.clock.advance(DEADLINE_MS);
  mock.timers.tick(EXPIRY_INTERVAL_MS);

  const outcome = await waiting.outcome;
  assert.equal(outcome.outcome, 'notRun');
  assert.equal(outcome.reason, 'deadline-passed');
  openGate();
  assert.equal((await running.outcome).outcome, 'answered');
});

test('a daemon without waiting requests has no short timer', async (t) => {
  const started = mock.method(globalThis, 'setTimeout');
  const repeated = mock.method(globalThis, 'setInterval');
  t.after(() => mock.restoreAll());
  const scope = new CleanupScope();
  t.after(() => scope.close());
  const site = new FakeSite();
  site.addDaemon('one', 1).start(scope);
  const intervals = [...started.mock.calls, ...repeated.mock.calls].map(
    ({arguments: [, delayMs]}) => Number(delayMs),
  );
  assert.ok(intervals.length > 0);
  assert.ok(intervals.every((delayMs) => delayMs >= 1_000));
});
