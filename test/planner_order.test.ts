/**
 * Guards against unfair lending, starvation of large gangs by small ones,
 * expensive or repeated preemption, and exceeded ceilings.
 */

import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import type {JobId} from '../src/model/ids.js';
import {after} from '../src/model/ids.js';
import {
  PlannerWorld,
  STARVATION_BOUND_MS,
  customer,
  workers,
} from './planner_world.js';

const SEED = 20_261_204;
const MINUTE_MS = 60_000;

test('a large gang starts under a steady load of small jobs', () => {
  const runMinutes = fc.array(fc.integer({min: 5, max: 30}), {
    minLength: 40,
    maxLength: 40,
  });
  fc.assert(
    fc.property(runMinutes, (lengths) => {
      const world = new PlannerWorld(
        [customer('small', []), customer('large', [])],
        workers(30),
      );
      const ends = new Map<JobId, number>();
      const fill = () => {
        while (world.queued.size < 60) world.submit('small', 1, 4);
        for (const {jobId} of world.planUntilStable()) {
          const minutes = lengths[ends.size % lengths.length] ?? 5;
          ends.set(jobId, world.now + minutes * MINUTE_MS);
        }
      };
      fill();
      const large = world.submit('large', 8, 8);
      const latest = world.now + STARVATION_BOUND_MS + 31 * MINUTE_MS;
      while (!world.placed.has(large)) {
        assert.ok(world.now <= latest, 'the large gang did not start in time');
        world.advance(MINUTE_MS);
        for (const jobId of [...world.placed.keys()]) {
          if ((ends.get(jobId) ?? 0) > world.now) continue;
          world.end(jobId, {kind: 'finished'});
        }
        fill();
      }
    }),
    {seed: SEED, numRuns: 10},
  );
});

test('lent capacity is shared by weight', () => {
  const heavy = {...customer('heavy', []), weight: 3};
  const world = new PlannerWorld([heavy, customer('light', [])], workers(8));
  for (let count = 0; count < 16; count += 1) {
    world.submit('light', 1, 4);
    world.submit('heavy', 1, 4);
  }
  const started = world.planUntilStable();
  const heavyJobs = started.filter(
    ({jobId}) => world.records.get(jobId)?.customerId === 'heavy',
  );
  assert.equal(started.length, 16);
  assert.equal(heavyJobs.length, 12);
});

test('a job that waits long precedes a customer that borrows less', () => {
  const world = new PlannerWorld(
    [customer('busy', []), customer('idle', [])],
    workers(2),
  );
  const first = world.submit('busy', 1, 8);
  world.submit('busy', 1, 8);
  world.planUntilStable();
  const longWaiting = world.submit('busy', 1, 8);
  world.advance(4 * 60 * MINUTE_MS);
  const late = world.submit('idle', 1, 8);
  world.end(first, {kind: 'finished'});
  world.planUntilStable();
  assert.ok(world.placed.has(longWaiting));
  assert.ok(world.queued.has(late));
});

test('a customer never exceeds its ceiling', () => {
  const capped = customer('capped', [[8, 2]], 20);
  const world = new PlannerWorld([capped], workers(8));
  for (let count = 0; count < 6; count += 1) world.submit('capped', 1, 8);
  assert.equal(world.planUntilStable().length, 2);
  const record = [...world.records.values()][0];
  assert.ok(record !== undefined);
  const tooLarge = {...record, shape: {tasks: 3, acceleratorsPerTask: 7}};
  assert.ok(world.planner.check(record).isOk);
  assert.ok(world.planner.check(tooLarge).isErr);
});

test('preemption selects the borrowers that lose the least work', () => {
  const world = new PlannerWorld(
    [customer('owner', [[16, 1]]), customer('borrower', [])],
    workers(8),
  );
  const gangs = Array.from({length: 4}, () => world.submit('borrower', 2, 8));
  world.planUntilStable();
  world.advance(60 * MINUTE_MS);
  const cheapest = gangs[2];
  assert.ok(cheapest !== undefined);
  world.planner.checkpointed(cheapest, world.now);
  world.advance(MINUTE_MS);
  world.submit('owner', 2, 8);
  world.planUntilStable();
  assert.deepEqual(world.preempted, [cheapest]);
});

test('the preemption cost of a gang covers the whole gang', () => {
  const world = new PlannerWorld(
    [customer('owner', [[8, 1]]), customer('borrower', [])],
    workers(8),
  );
  world.submit('borrower', 4, 8);
  const alone = Array.from({length: 4}, () => world.submit('borrower', 1, 8));
  world.planUntilStable();
  world.advance(30 * MINUTE_MS);
  world.submit('owner', 1, 8);
  world.planUntilStable();
  assert.equal(world.preempted.length, 1);
  assert.ok(alone.some((jobId) => world.preempted.includes(jobId)));
});

test('the number of preemptions of a borrower is limited', () => {
  const world = new PlannerWorld(
    [customer('owner', [[8, 1]]), customer('borrower', [])],
    workers(1),
  );
  const borrower = world.submit('borrower', 1, 8);
  let preemptions = 0;
  const endAt = after(world.now, 8 * 60 * MINUTE_MS);
  while (world.now < endAt) {
    const owner = world.submit('owner', 1, 8);
    world.planUntilStable();
    assert.ok(world.placed.has(owner));
    if (world.preempted.includes(borrower)) preemptions += 1;
    world.advance(MINUTE_MS);
    world.end(owner, {kind: 'finished'});
    world.planUntilStable();
    world.advance(MINUTE_MS);
  }
  // 240 owner jobs were submitted; the back-off doubles from 30 s to an hour.
  assert.ok(preemptions >= 2 && preemptions <= 16, `${preemptions}`);
});

test('estimated run times follow those observed for the class', () => {
  const world = new PlannerWorld([customer('a', [])], workers(1));
  const declaredRunTimeMs = 60 * MINUTE_MS;
  for (let count = 0; count < 10; count += 1) {
    const jobId = world.submit('a', 1, 1, {declaredRunTimeMs});
    world.planUntilStable();
    world.advance(10 * MINUTE_MS);
    world.end(jobId, {kind: 'finished'});
  }
  const record = [...world.records.values()][0];
  assert.ok(record !== undefined);
  const minutes = world.planner.estimatedRunTimeMs(record) / MINUTE_MS;
  assert.ok(minutes > 9 && minutes < 11, `${minutes}`);
});
