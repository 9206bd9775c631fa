/**
 * Guards against traffic to minions that are leaving, suspect, failing or
 * full, and against retries that multiply the load during an outage.
 */

import assert from 'node:assert/strict';
import {beforeEach, describe, test} from 'node:test';
import {instant, trustedId} from '../src/model/ids.js';
import type {AvailabilityZone, VmId} from '../src/model/ids.js';
import type {MinionCandidate} from '../src/requests/directory.js';
import {unknown} from '../src/requests/exchange.js';
import {MinionHealth} from '../src/requests/minion_health.js';
import type {RequestService} from '../src/requests/request_service.js';
import {candidate, FakeSite, submission} from './requests_fakes.js';

const OTHER_ZONE = trustedId<AvailabilityZone>('zone-b');

describe('routing', () => {
  let site: FakeSite;
  let entry: RequestService;

  beforeEach(() => {
    site = new FakeSite();
    entry = site.addDaemon('one');
  });

  /** Sends requests one after the other; `share` counts them per minion. */
  async function send(count: number, workClass: 'check' | 'scan' = 'check') {
    const before = site.minions.calledMinions.length;
    const outcomes: string[] = [];
    for (let index = 0; index < count; index += 1) {
      const {outcome} = entry.submit(submission(workClass, `${index}`));
      outcomes.push((await outcome).outcome);
    }
    const handedTo = site.minions.calledMinions.slice(before);
    const share = (name: string) => handedTo.filter((id) => id === name).length;
    return {outcomes, handedTo, share};
  }

  function add(name: string, change: Partial<MinionCandidate> = {}): void {
    const added = candidate(name, 'one', 1);
    site.candidates.push({...added, ...change});
  }

  const reported = (queued: number, ageMs: number) => ({
    home: {daemonId: trustedId<never>('two'), address: 'two'},
    reported: {queued, at: timeBefore(ageMs)},
  });
  const timeBefore = (ageMs: number) => (site.clock.now() - ageMs) as never;

  test('excludes minions that are leaving or suspect', async () => {
    add('good');
    add('suspect', {suspect: true});
    const {minion} = candidate('leaving', 'one', 1);
    add('leaving', {...reported(0, 0), minion: {...minion, state: 'leaving'}});
    let dispatches = 0;
    site.peers.pause = async () => {
      dispatches += 1;
    };
    assert.equal((await send(50)).share('good'), 50);
    assert.equal(dispatches, 0);
  });

  test('spills to another zone only without free capacity in its own', async () => {
    site.addDaemon('two');
    const far = candidate('far', 'two', 1, OTHER_ZONE);
    add('near', reported(0, 0));
    add('far', {...far, ...reported(0, 0)});
    assert.equal((await send(20)).share('near'), 20);
    site.candidates = [];
    add('near', reported(100, 0));
    add('far', {...far, ...reported(0, 0)});
    assert.equal((await send(20)).share('far'), 20);
    site.candidates.pop();
    const full = await send(1);
    assert.deepEqual([full.outcomes, full.handedTo], [['notRun'], []]);
  });

  test('prefers the shorter queue and discounts old reports', async () => {
    site.addDaemon('two');
    add('long', reported(4, 0));
    add('short', reported(0, 0));
    assert.equal((await send(50)).share('short'), 50);
    site.candidates = [];
    // An old report of an empty queue against recent reports of 2 and 4.
    add('old', reported(0, 60_000));
    add('long', reported(4, 0));
    add('short', reported(1, 0));
    const {share} = await send(100);
    assert.ok(share('short') > share('old') && share('old') > share('long'));
  });

  test('sends few requests to a failed minion until it answers', async () => {
    add('good');
    add('bad');
    site.minions.faults = Array(40).fill('none');
    const firstBad = (await send(40)).handedTo.indexOf(trustedId('bad'));
    assert.ok(firstBad >= 0);
    site.minions.run = withUnreachable(site, 'bad');
    await send(40);
    const {share} = await send(200);
    assert.ok(share('bad') < 30, `${share('bad')} of 200`);
    delete (site.minions as Partial<typeof site.minions>).run;
    site.clock.advance(60_000);
    assert.ok((await send(8)).share('bad') > 2);
  });

  test('retries cannot multiply the load during a total outage', async () => {
    add('bad-1');
    add('bad-2');
    site.minions.faults = Array(1_000).fill('unreachable');
    assert.equal((await send(200)).handedTo.length, 205);
    site.minions.faults = [];
    await send(100);
    site.minions.faults = Array(1_000).fill('lost-answer');
    assert.equal((await send(200)).handedTo.length, 210);
  });

  test('a request that the home daemon did not send is routed again', async () => {
    // Requests without any available minion must not consume the retry budget.
    await send(20);
    site.addDaemon('two', 1, 1);
    for (const workClass of ['check', 'scan'] as const) {
      site.peers.faults = ['minion-unknown'];
      assert.deepEqual((await send(1, workClass)).outcomes, ['answered']);
    }
    assert.equal(site.minions.callCount, 2);
  });

  test('a failed attempt is retried on another minion if repeatable', async () => {
    add('a');
    add('b');
    // A lost answer puts the minion on probation; a time-out after 0 ms does
    // not, so that only `triedMinions` prevents a second attempt there.
    for (let count = 0; count < 20; count += 1) {
      site.minions.faults = [count === 0 ? 'lost-answer' : 'no-answer'];
      const check = await send(1);
      assert.deepEqual(check.outcomes, ['answered']);
      assert.equal(new Set(check.handedTo).size, 2);
      await send(10);
    }
    site.minions.faults = ['lost-answer'];
    const scan = await send(1, 'scan');
    assert.deepEqual(scan.outcomes, ['unknown']);
    assert.equal(scan.handedTo.length, 1);
  });
});

test('a time-out with a short deadline puts no minion on probation', () => {
  const health = new MinionHealth();
  const late = unknown(trustedId('request-1'), 'no-answer-in-time', '');
  const minionId = trustedId<VmId>('minion');
  health.record(minionId, late, 499, instant(0));
  assert.equal(health.status(minionId, instant(0)), 'good');
  health.record(minionId, late, 500, instant(0));
  assert.equal(health.status(minionId, instant(0)), 'probation');
});

/** A replacement for `FakeMinions.run` with one unreachable minion. */
function withUnreachable(
  site: FakeSite,
  name: string,
): FakeSite['minions']['run'] {
  const run = site.minions.run.bind(site.minions);
  return (minion, request) => {
    if (minion.vmId === name) site.minions.faults = ['unreachable'];
    return run(minion, request);
  };
}
