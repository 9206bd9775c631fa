/**
 * Guards against outcomes that use unbounded memory, that are evicted while
 * the request is in progress, or that become untrue when an answer is evicted.
 */

import assert from 'node:assert/strict';
import {test} from 'node:test';
import {instant, trustedId} from '../src/model/ids.js';
import type {RequestId} from '../src/model/ids.js';
import {notRun} from '../src/requests/exchange.js';
import {RequestOutcomes} from '../src/requests/request_outcomes.js';

const id = (index: number) => trustedId<RequestId>(`request-${index}`);

test('outcomes are retained for the retention period within the bounds', () => {
  const outcomes = new RequestOutcomes(1_000, 3, 25);
  const at = instant(0);
  const reasonOf = (index: number) => {
    const found = outcomes.find(id(index));
    return found?.outcome === 'unknown' ? found.reason : found?.outcome;
  };
  for (let index = 0; index < 3; index += 1) {
    outcomes.start(id(index), at);
    if (index === 0) continue;
    const answer = 'x'.repeat(20);
    outcomes.settle({outcome: 'answered', requestId: id(index), answer}, at);
  }
  // Both answers exceed the bound on characters, so the older one is evicted.
  assert.deepEqual([0, 1, 2].map(reasonOf), [
    'in-progress',
    'duplicate',
    'answered',
  ]);
  outcomes.start(id(3), at);
  outcomes.settle(notRun(id(3), 'overloaded', ''), at);
  assert.equal(outcomes.size, 3);
  assert.equal(reasonOf(1), undefined);
  outcomes.removeExpired(instant(999));
  assert.equal(reasonOf(3), 'notRun');
  outcomes.removeExpired(instant(1_000));
  assert.deepEqual([0, 1, 2, 3].map(reasonOf), [
    'in-progress',
    undefined,
    undefined,
    undefined,
  ]);
  // Removed answers no longer count against the bound.
  outcomes.start(id(4), at);
  const rest = {answer: 'x'.repeat(25), requestId: id(4)};
  outcomes.settle({outcome: 'answered', ...rest}, at);
  assert.equal(reasonOf(4), 'answered');
});
