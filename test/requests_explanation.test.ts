/**
 * Guards against an explanation of a service request that differs from what
 * the daemon then does with the request, or that changes anything.
 */

import assert from 'node:assert/strict';
import {beforeEach, describe, test} from 'node:test';
import {trustedId} from '../src/model/ids.js';
import type {AvailabilityZone, CustomerId} from '../src/model/ids.js';
import type {NotRun, Outcome} from '../src/model/requests.js';
import type {MinionCandidate} from '../src/requests/directory.js';
import {requestExplanationSchema} from '../src/requests/request_explanation.js';
import type {RequestService} from '../src/requests/request_service.js';
import {
  candidate,
  CUSTOMER_ID,
  FakeSite,
  siteConfiguration,
  submission,
  waitUntil,
} from './requests_fakes.js';

const OTHER_ZONE = trustedId<AvailabilityZone>('zone-b');
const OTHER_CUSTOMER = trustedId<CustomerId>('bank');

describe('the explanation of a request', () => {
  let site: FakeSite;
  let entry: RequestService;

  beforeEach(() => {
    site = new FakeSite();
    entry = site.addDaemon('one');
  });

  function ask(workClass: 'check' | 'scan' = 'check') {
    const query = {
      customerId: CUSTOMER_ID,
      workClassId: trustedId<never>(workClass),
    };
    const explanation = entry.explain(query).unwrapOrElse((error) => {
      throw error;
    });
    return requestExplanationSchema.parse(explanation);
  }

  const send = (workClass: 'check' | 'scan' = 'check') =>
    entry.submit(submission(workClass, '')).outcome;

  function add(name: string, change: Partial<MinionCandidate> = {}): void {
    site.candidates.push({...candidate(name, 'one', 1), ...change});
  }

  const reported = (queued: number) => ({
    home: {daemonId: trustedId<never>('two'), address: 'two'},
    reported: {queued, at: site.clock.now()},
  });

  function assertRefusedAs(
    outcome: Outcome,
    refused: Partial<NotRun> | undefined,
  ) {
    assert.ok(outcome.outcome === 'notRun' && refused);
    const {reason, message, retryAfterMs} = outcome;
    assert.deepEqual(
      [refused.reason, refused.message, refused.retryAfterMs],
      [reason, message, retryAfterMs],
    );
  }

  test('names the shares that the router then keeps to', async () => {
    site.addDaemon('two');
    for (const [index, queued] of [3, 0, 1].entries()) {
      add(`m${index}`, reported(queued));
    }
    const told = ask();
    assert.equal(told.refused, undefined);
    const shares = told.considered.map(({minionId, share}) => [
      minionId,
      share,
    ]);
    assert.deepEqual(shares, [
      ['m1', 2 / 3],
      ['m2', 1 / 3],
      ['m0', 0],
    ]);
    const count = 600;
    for (let sent = 0; sent < count; sent += 1) await send();
    for (const {minionId, share} of told.considered) {
      const {calledMinions} = site.minions;
      const got = calledMinions.filter((id) => id === minionId).length / count;
      assert.ok(Math.abs(got - share) < 0.06, `${minionId} ${got} ${share}`);
    }
  });

  test('counts each minion for the rule that the router applies', async () => {
    site.addDaemon('two');
    const {minion} = candidate('leaving', 'one', 1);
    add('leaving', {minion: {...minion, state: 'leaving'}});
    add('suspect', {suspect: true});
    add('full', reported(5));
    site.candidates.push(candidate('far', 'one', 1, OTHER_ZONE));
    const onlyFar = ask();
    assert.deepEqual(onlyFar.ruledOut, [
      {rule: 'notLive', count: 1},
      {rule: 'suspect', count: 1},
      {rule: 'full', count: 1},
    ]);
    assert.equal(onlyFar.considered[0]?.minionId, 'far');
    await send();
    assert.deepEqual(site.minions.calledMinions, ['far']);

    add('near');
    assert.ok(ask().ruledOut.some(({rule}) => rule === 'otherZone'));
    assert.equal(ask().considered[0]?.minionId, 'near');
    await send();
    assert.equal(site.minions.calledMinions.at(-1), 'near');

    // The first attempt fails, and the retry goes elsewhere.
    site.minions.faults = ['lost-answer'];
    await send();
    assert.ok(ask().ruledOut.some(({rule}) => rule === 'probation'));
    assert.equal(ask().considered[0]?.minionId, 'far');
  });

  test('tells the refusal of the router and of a stopping daemon', async () => {
    assert.equal(ask().refused?.check, 'route');
    assertRefusedAs(await send(), ask().refused);
    add('full', reported(5));
    assert.equal(ask().refused?.reason, 'overloaded');
    assertRefusedAs(await send(), ask().refused);
    await entry.drain();
    assert.equal(ask().refused?.check, 'stopping');
    assertRefusedAs(await send(), ask().refused);
  });

  test('tells the refusal by a limit and takes no token', async () => {
    add('minion');
    site.configuration = siteConfiguration([CUSTOMER_ID], {
      requestsPerSecond: 2,
      burst: 2,
      concurrency: 9,
    });
    for (let asked = 0; asked < 10; asked += 1) {
      assert.deepEqual(ask().inUse, {inProgress: 0, tokens: 2});
    }
    await send();
    await send();
    assert.equal(ask().refused?.check, 'customerLimit');
    assert.equal(ask().inUse.tokens, 0);
    assertRefusedAs(await send(), ask().refused);
    site.clock.advance(500);
    assert.equal(ask().refused, undefined);
    assert.equal((await send()).outcome, 'answered');
  });

  test('tells the place in the queue, and its refusal', async () => {
    site.configuration = siteConfiguration([CUSTOMER_ID, OTHER_CUSTOMER]);
    add('minion');
    const empty = {kind: 'accepts', ahead: 0, expectedWaitMs: 0};
    assert.deepEqual(ask().considered[0]?.queue, empty);
    let open: (value?: unknown) => void = () => undefined;
    site.minions.gate = new Promise((resolve) => (open = resolve));
    const other = {...submission('scan', ''), customerId: OTHER_CUSTOMER};
    const others = [1, 2, 3, 4].map(() => entry.submit(other).outcome);
    await waitUntil(() => site.minions.callCount === 1);
    // One runs; by round robin one of the three that wait goes first.
    assert.deepEqual(ask().considered[0]?.queue, {...empty, ahead: 1});
    const {estimatedLength} = ask().considered[0] ?? {};
    assert.equal(estimatedLength, 4);
    const own = entry.submit(submission('scan', 'own')).outcome;
    site.clock.advance(9_000);
    open();
    await Promise.all([...others, own]);
    assert.equal(site.minions.ran[2]?.payload, 'own');

    // With a service time, the queue refuses what cannot meet its deadline.
    site.minions.gate = new Promise((resolve) => (open = resolve));
    const running = [1, 2].map(() => entry.submit(other).outcome);
    await waitUntil(() => site.minions.callCount === 6);
    const queue = ask('scan').considered[0]?.queue;
    assert.ok(queue?.kind === 'refuses');
    assertRefusedAs(await send('scan'), queue.refusal);
    open();
    await Promise.all(running);
  });

  test('changes nothing: later requests go as if nobody had asked', async () => {
    const runs = await Promise.all(
      [0, 3].map(async (questions) => {
        const own = new FakeSite();
        const daemon = own.addDaemon('one', 2, 1, 1);
        for (let sent = 0; sent < 100; sent += 1) {
          own.minions.faults = sent % 9 === 0 ? ['unreachable'] : [];
          for (let asked = 0; asked < questions; asked += 1) {
            const workClassId = trustedId<never>('scan');
            daemon.explain({customerId: CUSTOMER_ID, workClassId});
          }
          if (sent === 0) assert.deepEqual(daemon.queueLengths(), []);
          await daemon.submit(submission('scan', `${sent}`, `${sent}`)).outcome;
          own.clock.advance(100);
        }
        return {called: own.minions.calledMinions, writes: own.store.writes};
      }),
    );
    assert.deepEqual(runs[0], runs[1]);
  });

  test('an unknown customer or class is an error with its remedy', () => {
    for (const [customer, workClass] of [
      ['nobody', 'check'],
      ['club', 'nothing'],
    ] as const) {
      const answer = entry.explain({
        customerId: trustedId(customer),
        workClassId: trustedId(workClass),
      });
      assert.ok(answer.isErr);
      assert.equal(answer.error.kind, 'not-found');
      assert.match(answer.error.remedy, /configuration show/);
    }
  });

  test('says that the claim is not asked', () => {
    add('minion');
    assert.equal(ask('scan').claimNotAsked, true);
    assert.equal(ask('check').claimNotAsked, false);
  });
});
