/**
 * Guards against a queue that lets one customer delay the others, hands over
 * late requests, accepts what it cannot run, or loses requests at a stop.
 */

import assert from 'node:assert/strict';
import {beforeEach, describe, test} from 'node:test';
import {after, instant, trustedId} from '../src/model/ids.js';
import type {CustomerId, RequestId} from '../src/model/ids.js';
import type {Outcome, ServiceRequest} from '../src/model/requests.js';
import {AttemptRegistry} from '../src/requests/attempt_register.js';
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
  let open: (value?: unknown) => void;

  beforeEach(() => {
    clock = new FakeClock();
    minions = new FakeMinions();
    queue = new MinionQueue(minion, minions, clock);
    minions.gate = new Promise((resolve) => (open = resolve));
  });

  const run = (customer: string, id: string, limitMs = MANY) =>
    queue.run(request(customer, id), after(clock.now(), limitMs));
  const ids = () => minions.ran.map((ran) => ran.payload);

  /** Lets one request take 100 ms, so that the queue knows service times. */
  async function measure(): Promise<void> {
    const measured = run('club', 'measured');
    clock.advance(100);
    open();
    await measured;
    minions.gate = new Promise((resolve) => (open = resolve));
  }

  test('takes customers in turn', async () => {
    const large = ['a1', 'a2', 'a3', 'a4'].map((id) => run('large', id));
    const small = run('small', 'b1');
    open();
    await Promise.all([...large, small]);
    assert.deepEqual(ids(), ['a1', 'a2', 'b1', 'a3', 'a4']);
  });

  test('full of one customer, makes room for another', async () => {
    const full = queueLimit(minion);
    const large = Array.from({length: full}, (_, i) => run('large', `a${i}`));
    const late = await run('large', 'late');
    assert.equal(late.outcome === 'notRun' && late.reason, 'overloaded');
    const small = run('small', 'b');
    assert.equal((await large.at(-1))?.outcome, 'notRun');
    open();
    assert.equal((await small).outcome, 'answered');
    await queue.idle();
    assert.equal(queue.length, 0);
    assert.equal(minions.callCount, full);
  });

  test('refuses at once what it cannot run in time', async () => {
    await measure();
    const running = run('club', 'running');
    await waitUntil(() => minions.callCount === 2);
    const refused = await run('club', 'refused', 150);
    assert.ok(refused.outcome === 'notRun');
    assert.equal(refused.reason, 'overloaded');
    assert.equal(refused.retryAfterMs, 100);
    const queued = run('club', 'queued', 250);
    open();
    await Promise.all([running, queued]);
    assert.deepEqual(ids(), ['measured', 'running', 'queued']);
  });

  test('never hands over after the deadline', async () => {
    const running = run('club', 'running');
    const swept = run('club', 'swept', 10);
    const dequeued = run('club', 'dequeued', 20);
    clock.advance(10);
    queue.expire(clock.now());
    const first = await swept;
    assert.equal(first.outcome === 'notRun' && first.reason, 'deadline-passed');
    clock.advance(10);
    open();
    await running;
    const second = await dequeued;
    assert.equal(
      second.outcome === 'notRun' && second.reason,
      'deadline-passed',
    );
    assert.deepEqual(ids(), ['running']);
  });

  test('hands nothing to a minion that said it is leaving', async () => {
    minions.faults = ['leaving'];
    const running = run('club', 'running');
    const waiting = run('club', 'waiting');
    open();
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
  test('answers what runs and reroutes what waits', async () => {
    const site = new FakeSite();
    const entry = site.addDaemon('one');
    const home = site.addDaemon('two', 1);
    let open: (value?: unknown) => void = () => undefined;
    site.minions.gate = new Promise((resolve) => (open = resolve));
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
    // Reported as full, so that no daemon prefers a queue that takes nothing.
    assert.equal(home.queueLengths()[0]?.queued, queueLimit(minion));
    open();
    await drained;
    for (const one of sent) {
      assert.equal((await one.outcome).outcome, 'answered');
    }
    assert.equal(site.minions.callCount, 3);
  });
});

describe('the register of attempts', () => {
  test('full, refuses every copy of a request that it refused', async () => {
    const register = new AttemptRegistry(1);
    let runs = 0;
    const run = async (): Promise<Outcome> => {
      runs += 1;
      return notRun(trustedId('a'), 'overloaded', '');
    };
    const now = instant(0);
    const first = {...request('club', 'a'), deadline: instant(10)};
    const second = {...request('club', 'b'), deadline: instant(100_000)};
    await register.runOnce(first, 1, now, run);
    await register.runOnce(second, 1, now, run);
    register.removeExpired(instant(90_000));
    assert.equal(register.size, 0);
    await register.runOnce(second, 1, instant(90_000), run);
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
    // Two from the burst, one per 100 ms, then three are in progress.
    assert.deepEqual(admitted, [true, true, false, false, true, false, false]);
    all.release(CUSTOMER_ID);
    assert.equal(admit(all, 200).admitted, true);
  });

  test('keep a bounded number of customers', () => {
    const all = new CustomerLimits(10);
    for (let index = 0; index < 100; index += 1) {
      const customer = trustedId<CustomerId>(`club-${index}`);
      admit(all, index, customer);
      all.release(customer);
    }
    assert.equal(all.trackedCustomers, 10);
  });
});

test('a deadline counts from arrival at each daemon, not by its clock', async () => {
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
  // A message that was held up for longer than clocks may differ.
  assert.equal((await dispatch(-500, 100)).outcome, 'notRun');
  assert.equal((await dispatch(100, 0)).outcome, 'notRun');
});
