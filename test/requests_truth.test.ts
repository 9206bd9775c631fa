/**
 * Guards against untrue outcomes under faults: a request that runs twice, one
 * that runs although its outcome is `notRun`, and the answer to another one.
 */

import assert from 'node:assert/strict';
import {describe, test} from 'node:test';
import fc from 'fast-check';
import type {Outcome, RequestSubmission} from '../src/model/requests.js';
import type {StartedRequest} from '../src/requests/request_service.js';
import {answerTo, FakeSite, submission} from './requests_fakes.js';
import type {DispatchFault, MinionFault, WriteFault} from './requests_fakes.js';

const SEED = 20_261_204;

const minionFaults = fc.array(
  fc.constantFrom<MinionFault>(
    'none',
    'refused',
    'unreachable',
    'lost-answer',
    'lost-request',
    'throws',
    'leaving',
  ),
  {maxLength: 8},
);
const dispatchFaults = fc.array(
  fc.constantFrom<DispatchFault>(
    'none',
    'unreachable',
    'lost-answer',
    'doubled',
    'doubled-late',
    'late',
    'restarted',
    'answer-to-another',
    'minion-unknown',
  ),
  {maxLength: 8},
);
const writeFaults = fc.array(
  fc.constantFrom<WriteFault>(
    'none',
    'unavailable',
    'lost-before',
    'lost-after',
    'late',
  ),
  {maxLength: 8},
);
/** Few payloads and keys, so that duplicates occur. */
const requestPlans = fc.array(
  fc.record({
    repeatable: fc.boolean(),
    keyed: fc.boolean(),
    entry: fc.integer({min: 0, max: 1}),
    payload: fc.constantFrom('a', 'b', 'c'),
  }),
  {minLength: 1, maxLength: 8},
);

function checkOutcomes(
  site: FakeSite,
  sent: readonly RequestSubmission[],
  started: readonly StartedRequest[],
  outcomes: readonly Outcome[],
): void {
  outcomes.forEach((outcome, index) => {
    assert.equal(outcome.requestId, started[index]?.requestId);
    const payload = sent[index]?.payload ?? '';
    if (outcome.outcome === 'answered') {
      assert.equal(outcome.answer, answerTo(payload));
    }
    if (outcome.outcome === 'notRun') {
      assert.equal(site.minions.runsOf(outcome.requestId), 0, outcome.reason);
    }
  });
  const single = site.minions.ran.filter((request) => !request.repeatable);
  const ids = single.map((request) => request.requestId);
  assert.equal(new Set(ids).size, ids.length, 'a request ran twice');
  const keys = single.flatMap((request) => request.key ?? []);
  assert.equal(new Set(keys).size, keys.length, 'a key ran twice');
}

describe('outcomes under faults at every hop', () => {
  test('are true, and a non-repeatable request runs at most once', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.scheduler(),
        requestPlans,
        minionFaults,
        dispatchFaults,
        writeFaults,
        fc.boolean(),
        async (scheduler, items, onMinion, onDispatch, onWrite, stops) => {
          const site = new FakeSite();
          const daemons = [
            site.addDaemon('one', 1),
            site.addDaemon('two', 1, 1),
          ];
          const pause = async (label: string) => {
            await scheduler.schedule(Promise.resolve(), label);
          };
          Object.assign(site.minions, {faults: onMinion.slice(), pause});
          Object.assign(site.peers, {faults: onDispatch.slice(), pause});
          Object.assign(site.store, {writeFaults: onWrite.slice(), pause});
          const sent = items.map((item) =>
            submission(
              item.repeatable ? 'check' : 'scan',
              item.payload,
              item.keyed ? `key-${item.payload}` : undefined,
            ),
          );
          const started = sent.flatMap(
            (one, index) =>
              daemons[items[index]?.entry ?? 0]?.submit(one) ?? [],
          );
          if (stops) void pause('stop').then(() => daemons[1]?.drain());
          const outcomes = await scheduler.waitFor(
            Promise.all(started.map((one) => one.outcome)),
          );
          await scheduler.waitFor(site.peers.deliverLate());
          await scheduler.waitIdle();
          checkOutcomes(site, sent, started, outcomes);
        },
      ),
      {seed: SEED, numRuns: 400},
    );
  });
});
