/**
 * Guards against a queue that lets one customer delay the others, sends
 * requests after their deadline, accepts requests that cannot meet their
 * deadline, or loses requests at a planned stop.
 */

import assert from 'node:assert/strict';
import {beforeEach, describe, test} from 'node:test';
import {after, instant, trustedId} from '../src/model/ids.js';
import type {CustomerId, RequestId} from '../src/model/ids.js';
import type {Outcome, ServiceRequest} from '../src/model/requests.js';
import {AttemptRegistry} from '../src/requests/attempt_registry.js';
import {CustomerLimits} from '../src/requests/customer_limits.js';
import {notRun} from '../src/requests/exchange.js';
import {MinionQueue, queueLimit} from '../src/requests/minion_queue.js';
import {
  answerTo,
  candidate,
  CUSTOMER_ID,
  FakeClock,
  FakeMinions,
  FakeSite,
  submission,
  waitUntil,
} from './requests_fakes.js';

const MANY = 1_000_000;

function request(customer: string, id: string): ServiceRequest {
  return {
    requestId: trustedId<RequestId>(id),
    customerId: trustedId<CustomerId>(customer),
    workClassId: trustedId('scan'),
    repeatable: false,
    receivedAt: instant(0),
    deadline: instant(MANY * 10),
    payload: id,
  };
}

const {minion} = candidate('minion', 'one', 1);

describe('the queue of a minion', () => {
  let clock: FakeClock;
  let minions: FakeMinions;
  let queue: MinionQueue;
  let openGate: (value?: unknown) => void;

  beforeEach(() => {
    clock = new FakeClock();
    minions = new FakeMinions();
    queue = new MinionQueue(minion, minions, clock);
    minions.gate = new Promise((resolve) => (openGate = resolve));
  });

  const run = (customer: string, id: string, limitMs = MANY) =>
    queue.run(request(customer, id), after(clock.now(), limitMs));
  const ids = () => minions.ran.map((ran) => ran.payload);

  /** Runs one request of 100 ms, so that the queue has a service time. */
  async function recordServiceTime(): Promise<void> {
    const measured = run('club', 'measured');
    clock.advance(100);
    openGate();
    await measured;
    minions.gate = new Promise((resolve) => (openGate = resolve));
  }

  test('serves customers round robin', async () => {
    const large = ['a1', 'a2', 'a3', 'a4'].map((id) => run('large', id));
    const small = run('small', 'b1');
    openGate();
    await Promise.all([...large, small]);
    assert.deepEqual(ids(), ['a1', 'a2', 'b1', 'a3', 'a4']);
  });

  test('when full of one customer, evicts a request for another', async () => {
    const full = queueLimit(minion);
    const large = Array.from({length: full}, (_, i) => run('large', `a${i}`));
    const late = await run('large', 'late');
    assert.equal(late.outcome === 'notRun' && late.reason, 'overloaded');
    const preview = (customer: string) =>
      queue.preview(request(customer, 'asked'), after(clock.now(), MANY));
    assert.equal(preview('large').refusal?.reason, 'overloaded');
    assert.equal(preview('small').displaced, 'large');
    assert.equal(queue.length, full);
    const small = run('small', 'b');
    assert.equal((await large.at(-1))?.outcome, 'notRun');
    openGate();
    assert.equal((await small).outcome, 'answered');
    await queue.idle();
    assert.equal(queue.length, 0);
    assert.equal(minions.callCount, full);
  });

  test('refuses a request early that cannot meet its deadline', async () => {
    await recordServiceTime();
    const running = run('club', 'running');
    await waitUntil(() => minions.callCount === 2);
    const refused = await run('club', 'refused', 150);
    assert.ok(refused.outcome === 'notRun');
    assert.equal(refused.reason, 'overloaded');
    assert.equal(refused.retryAfterMs, 100);
    const queued = run('club', 'queued', 250);
    openGate();
    await Promise.all([running, queued]);
    assert.deepEqual(ids(), ['measured', 'running', 'queued']);
  });

  test('never sends a request after its deadline', async () => {
    const running = run('club', 'running');
    const expired = run('club', 'swept', 10);
    const dequeued = run('club', 'dequeued', 20);
    clock.advance(10);
    queue.expire(clock.now());
    const first = await expired;
    assert.equal(first.outcome === 'notRun' && first.reason, 'deadline-passed');
    clock.advance(10);
    openGate();
    await running;
    const second = await dequeued;
    assert.equal(
      second.outcome === 'notRun' && second.reason,
      'deadline-passed',
    );
    assert.deepEqual(ids(), ['running']);
  });

  test('sends nothing to a minion that reported it is leaving', async () => {
    minions.faults = ['leaving'];
    const running = run('club', 'running');
    const waiting = run('club', 'waiting');
    openGate();
    assert.equal((await running).outcome, 'answered');
    const refused = await waiting;
    assert.equal(
      refused.outcome === 'notRun' && refused.reason,
      'minion-refused',
    );
    assert.equal((await run('club', 'later')).outcome, 'notRun');
    assert.equal(minions.callCount, 1);
  });
});

describe('a planned stop of a home daemon', () => {
  test('completes running requests and reroutes waiting ones', async () => {
    const site = new FakeSite();
    const entry = site.addDaemon('one');
    const home = site.addDaemon('two', 1);
    let openGate: (value?: unknown) => void = () => undefined;
    site.minions.gate = new Promise((resolve) => (openGate = resolve));
    const sent = ['a', 'b', 'c'].map((p) =>
      entry.submit(submission('scan', p)),
    );
    await waitUntil(() => home.queueLengths()[0]?.queued === 3);
    site.candidates = [];
    site.addDaemon('three', 8);
    let stopped = false;
    const drained = home.drain().then(() => {
      stopped = true;
    });
    await waitUntil(() => site.minions.ran.length === 3);
    const late = await home.submit(submission('scan', 'late')).outcome;
    assert.equal(late.outcome === 'notRun' && late.reason, 'shutting-down');
    assert.equal(stopped, false);
    // Reported as full, so that no daemon prefers a closed queue.
    assert.equal(home.queueLengths()[0]?.queued, queueLimit(minion));
    openGate();
    await drained;
    for (const one of sent) {
      assert.equal((await one.outcome).outcome, 'answered');
    }
    assert.equal(site.minions.callCount, 3);
  });
});

describe('the attempt registry', () => {
  test('when full, refuses every duplicate of a refused request', async () => {
    const registry = new AttemptRegistry(1);
    let runs = 0;
    const run = async (): Promise<Outcome> => {
      runs += 1;
      return notRun(trustedId('a'), 'overloaded', '');
    };
    const now = instant(0);
    const first = {...request('club', 'a'), deadline: instant(10)};
    const second = {...request('club', 'b'), deadline: instant(100_000)};
    await registry.runOnce(first, 1, now, run);
    await registry.runOnce(second, 1, now, run);
    registry.removeExpired(instant(90_000));
    assert.equal(registry.size, 0);
    await registry.runOnce(second, 1, instant(90_000), run);
    assert.equal(runs, 1);
  });
});

describe('the limits of a customer', () => {
  const limits = {requestsPerSecond: 10, burst: 2, concurrency: 3};
  const admit = (all: CustomerLimits, at: number, customer = CUSTOMER_ID) =>
    all.admit(customer, limits, instant(at));

  test('bound the rate, the burst and the requests in progress', () => {
    const all = new CustomerLimits();
    const admitted = [0, 0, 0, 99, 100, 200, 200].map(
      (at) => admit(all, at).admitted,
    );
    // Two from the burst, then one per 100 ms, until three are in progress.
    assert.deepEqual(admitted, [true, true, false, false, true, false, false]);
    all.release(CUSTOMER_ID);
    assert.equal(admit(all, 200).admitted, true);
  });

  test('hold a bounded number of customers in memory', () => {
    const all = new CustomerLimits(10);
    for (let index = 0; index < 100; index += 1) {
      const customer = trustedId<CustomerId>(`club-${index}`);
      admit(all, index, customer);
      all.release(customer);
    }
    assert.equal(all.trackedCustomers, 10);
  });
});

test('the remaining time counts from arrival, whatever the clock skew', async () => {
  const site = new FakeSite();
  const home = site.addDaemon('two', 1);
  const dispatch = (skewMs: number, remainingMs: number) =>
    home.dispatch({
      minionId: trustedId('two-minion-0'),
      request: {
        ...request('club', `skew${skewMs}`),
        deadline: after(site.clock.now(), skewMs),
      },
      remainingMs,
    });
  const ahead = await dispatch(-400, 100);
  assert.equal(
    ahead.outcome === 'answered' && ahead.answer,
    answerTo('skew-400'),
  );
  // Delayed for longer than the maximum clock skew.
  assert.equal((await dispatch(-500, 100)).outcome, 'notRun');
  assert.equal((await dispatch(100, 0)).outcome, 'notRun');
});
