/**
 * Guards against keyed requests that run twice, that stay refused without
 * need, or that overload the store.
 */

import assert from 'node:assert/strict';
import {beforeEach, describe, test} from 'node:test';
import {after, trustedId} from '../src/model/ids.js';
import type {Outcome} from '../src/model/requests.js';
import {MAXIMUM_VALUE_BYTES} from '../src/interfaces/key_value_store.js';
import {ClaimBucket} from '../src/requests/claim_bucket.js';
import type {Claim} from '../src/requests/claim_bucket.js';
import type {RequestService} from '../src/requests/request_service.js';
import {
  answerTo,
  CUSTOMER_ID,
  FakeSite,
  submission,
  waitUntil,
} from './requests_fakes.js';

const RETENTION_MS = 3_600_000;

describe('claims', () => {
  let site: FakeSite;
  let one: RequestService;
  let two: RequestService;

  beforeEach(() => {
    site = new FakeSite();
    one = site.addDaemon('one', 2);
    two = site.addDaemon('two', 2);
  });

  const send = (daemon: RequestService, payload = 'a'): Promise<Outcome> =>
    daemon.submit(submission('scan', payload, 'key')).outcome;
  const reasonOf = (outcome: Outcome) =>
    outcome.outcome === 'answered' ? outcome.answer : outcome.reason;
  const claims = (): number =>
    [...site.store.entries.values()]
      .map((entry) => JSON.parse(entry.value) as {claims: object[]})
      .reduce((sum, bucket) => sum + bucket.claims.length, 0);
  const claim = (name: string): Claim => ({
    customerId: CUSTOMER_ID,
    key: trustedId(name),
    requestId: trustedId(`request-${name}`),
    daemonId: trustedId('one'),
    contentDigest: 'x'.repeat(22),
    expiresAt: after(site.clock.now(), RETENTION_MS),
  });

  test('a duplicate gets the first answer, other content is refused', async () => {
    await send(one);
    assert.equal(reasonOf(await send(two)), answerTo('a'));
    assert.equal(reasonOf(await send(one)), answerTo('a'));
    assert.equal(reasonOf(await send(two, 'b')), 'key-reused');
    assert.equal(site.minions.ran.length, 1);
  });

  test('of two concurrent requests one runs and one is in progress', async () => {
    let openGate: (value?: unknown) => void = () => undefined;
    site.minions.gate = new Promise((resolve) => (openGate = resolve));
    const both = [send(one), send(two)];
    assert.equal(reasonOf(await Promise.race(both)), 'in-progress');
    openGate();
    const reasons = (await Promise.all(both)).map(reasonOf).sort();
    assert.deepEqual(reasons, [answerTo('a'), 'in-progress']);
    assert.equal(site.minions.ran.length, 1);
  });

  test('an unconfirmed claim is read back and the request runs', async () => {
    for (const fault of ['lost-after', 'lost-before', 'late'] as const) {
      site.store.writeFaults = [fault];
      const {outcome} = one.submit(submission('scan', fault, fault));
      assert.equal(reasonOf(await outcome), answerTo(fault));
    }
  });

  test('without the store no request is sent, and its key stays usable', async () => {
    site.store.unavailable = true;
    assert.equal(reasonOf(await send(one)), 'store-unavailable');
    assert.equal(site.minions.callCount, 0);
    site.store.unavailable = false;
    assert.equal(reasonOf(await send(two)), answerTo('a'));
  });

  /** Leaves a claim whose write and release could not be confirmed. */
  async function claimWithoutConfirmation(fault: 'lost-after' | 'late') {
    site.store.writeFaults = [fault];
    site.store.writes = 0;
    site.store.pause = async (label) => {
      site.store.unavailable = label === 'store get' && site.store.writes > 0;
    };
    assert.equal(reasonOf(await send(one)), 'store-unavailable');
    site.store.pause = () => Promise.resolve();
    assert.equal(site.minions.callCount, 0);
    site.store.unavailable = false;
  }

  test('an unconfirmed claim is replaced on a retry', async () => {
    await claimWithoutConfirmation('lost-after');
    assert.equal(claims(), 1);
    assert.equal(reasonOf(await send(two)), answerTo('a'));
  });

  test('an unconfirmed claim is released, even if its write arrives later', async () => {
    for (const fault of ['lost-after', 'late'] as const) {
      await claimWithoutConfirmation(fault);
      await one.maintainClaims();
      site.store.deliverLateWrites();
      assert.equal(claims(), 0, fault);
    }
    site.peers.services.delete('one');
    assert.equal(reasonOf(await send(two)), answerTo('a'));
  });

  test('a claim that is written after the deadline is released', async () => {
    let openGate: (value?: unknown) => void = () => undefined;
    const gate = new Promise((resolve) => (openGate = resolve));
    site.store.pause = async (label) => {
      if (label === 'store put') await gate;
    };
    const late = {...submission('scan', 'a', 'key'), deadlineMs: 1};
    const {outcome} = one.submit(late);
    assert.equal(reasonOf(await outcome), 'store-unavailable');
    openGate();
    await waitUntil(() => site.store.writes === 2 && claims() === 0);
    assert.equal(site.minions.callCount, 0);
  });

  test('without the claiming daemon a key is unknown until the claim expires', async () => {
    await send(one);
    site.peers.services.delete('one');
    site.candidates = site.candidates.filter((c) => c.home.address === 'two');
    assert.equal(reasonOf(await send(two)), 'duplicate');
    site.clock.advance(RETENTION_MS + 10_000);
    assert.equal(reasonOf(await send(two)), answerTo('a'));
  });

  test('claims are batched with one write in flight', async () => {
    const bucket = new ClaimBucket('claims/0', site.store, site.clock);
    const results = await Promise.all(
      Array.from({length: 500}, (_, index) =>
        bucket.submit({kind: 'claim', claim: claim(`k${index}`)}),
      ),
    );
    assert.ok(results.every((result) => result.kind === 'done'));
    assert.equal(site.store.mostWritesInFlight, 1);
    assert.equal(site.store.writes, 2);
  });

  test('a bucket is full before it exceeds the value limit of the store', async () => {
    const bucket = new ClaimBucket('claims/0', site.store, site.clock);
    const longId = 'x'.repeat(100);
    const kinds = new Set<string>();
    for (let batch = 0; batch < 8; batch += 1) {
      const results = await Promise.all(
        Array.from({length: 1_500}, (_, index) =>
          bucket.submit({
            kind: 'claim',
            claim: claim(`${batch}.${index}${longId}`),
          }),
        ),
      );
      for (const result of results) kinds.add(result.kind);
    }
    assert.deepEqual(kinds, new Set(['done', 'full']));
    const value = site.store.entries.get('claims/0')?.value ?? '';
    assert.ok(Buffer.byteLength(value) < MAXIMUM_VALUE_BYTES);
    site.clock.advance(RETENTION_MS);
    const later = await bucket.submit({kind: 'claim', claim: claim('later')});
    assert.equal(later.kind, 'done');
  });
});
