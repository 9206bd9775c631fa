/**
 * Guards against ownership that differs between daemons, changes without need,
 * or concentrates on one daemon.
 */

import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {rendezvousOwner} from '../src/scheduling/rendezvous.js';

const idOf = (id: string) => id;
const idsArbitrary = fc.uniqueArray(fc.string({minLength: 1, maxLength: 12}), {
  minLength: 2,
  maxLength: 12,
});

test('the owner does not depend on the order of the candidates', () => {
  fc.assert(
    fc.property(fc.string(), idsArbitrary, (subject, ids) => {
      const owner = rendezvousOwner(subject, ids, idOf);
      assert.equal(rendezvousOwner(subject, [...ids].reverse(), idOf), owner);
    }),
    {seed: 21, numRuns: 300},
  );
  assert.equal(rendezvousOwner('zone', [], idOf), undefined);
});

test('a lost candidate reassigns only the subjects that it owned', () => {
  fc.assert(
    fc.property(fc.string(), idsArbitrary, (subject, ids) => {
      const owner = rendezvousOwner(subject, ids, idOf);
      const [lost = ''] = ids;
      const rest = ids.filter((id) => id !== lost);
      const next = rendezvousOwner(subject, rest, idOf);
      if (owner === lost) assert.notEqual(next, lost);
      else assert.equal(next, owner);
    }),
    {seed: 22, numRuns: 300},
  );
});

test('subjects are spread evenly over the candidates', () => {
  const ids = Array.from({length: 9}, (_, i) => `entry-${i}`);
  const counts = new Map(ids.map((id) => [id, 0]));
  const subjects = 9_000;
  for (let i = 0; i < subjects; i += 1) {
    const owner = rendezvousOwner(`minion-${i}`, ids, idOf) ?? '';
    counts.set(owner, (counts.get(owner) ?? 0) + 1);
  }
  // Five standard deviations of the binomial distribution with mean 1,000.
  for (const count of counts.values()) {
    assert.ok(Math.abs(count - 1_000) < 150, `${[...counts.values()]}`);
  }
});

// Daemons of two versions run at the same time during an upgrade.
test('the owner of a known subject does not change between versions', () => {
  const ids = ['entry-1', 'entry-2', 'entry-3'];
  const owners = ['a', 'b', 'c', 'd'].map((s) => rendezvousOwner(s, ids, idOf));
  assert.deepEqual(owners, ['entry-2', 'entry-1', 'entry-3', 'entry-2']);
});
