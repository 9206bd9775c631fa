/**
 * Guards against a new scheduler that places jobs on accelerators of running
 * gangs, drops the guarantee of those gangs, or cannot explain why a job waits.
 */

import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandom} from '../src/lifecycle/random.js';
import type {GangId} from '../src/model/ids.js';
import {trustedId} from '../src/model/ids.js';
import {PlannerWorld, customer, workers} from './planner_world.js';

const CUSTOMERS = [
  customer('a', [[64, 1]]),
  customer('b', [[8, 4]]),
  customer('none', []),
];

/** Creates a zone with gangs of all customers and some free capacity. */
function createBusyWorld(seed: number): PlannerWorld {
  const world = new PlannerWorld(CUSTOMERS, workers(24));
  const random = new SeededRandom(seed);
  for (let count = 0; count < 30; count += 1) {
    const customerId = ['a', 'b', 'none'][random.nextBelow(3)] ?? 'none';
    world.submit(customerId, 1 + random.nextBelow(3), 1 + random.nextBelow(8));
    world.planUntilStable();
    world.advance(1_000);
  }
  for (const jobId of [...world.queued.keys()]) world.cancelQueued(jobId);
  return world;
}

test('adopted gangs keep their accelerators and their guarantee', () => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const world = createBusyWorld(seed);
    const placements = [...world.placed.values()];
    const successor = new PlannerWorld(CUSTOMERS, workers(24));
    for (const placement of placements) {
      const record = world.records.get(placement.jobId);
      assert.ok(record !== undefined);
      successor.adopt(record, {
        ...placement,
        gangId: trustedId<GangId>(`gang-${placement.jobId}`),
        startedAt: world.now,
      });
    }
    assert.ok(successor.planner.guaranteesPack());
    for (const {jobId, guaranteed} of placements) {
      const explained = successor.planner.explain(jobId, successor.now);
      const isGuaranteed = /as guaranteed/.test(explained?.summary ?? '');
      assert.ok(isGuaranteed || !guaranteed, `${jobId} of seed ${seed}`);
    }
    for (let count = 0; count < 40; count += 1) {
      // The prefix keeps the ids of new and adopted jobs distinct.
      successor.submit('none', 1, 1 + (count % 8), {prefix: 'new'});
    }
    // `planUntilStable` fails if a gang starts on accelerators in use.
    successor.planUntilStable();
    assert.deepEqual(successor.preempted, []);
  }
});

test('an explanation names the blocking gangs and what frees capacity', () => {
  const world = new PlannerWorld(CUSTOMERS, workers(8));
  const holder = world.submit('none', 8, 8);
  world.planUntilStable();
  const waiting = world.submit('none', 1, 8);
  const owner = world.submit('a', 8, 8);
  const {preempted} = world.plan();
  assert.deepEqual(preempted, [holder]);
  const explained = world.planner.explain(waiting, world.now);
  assert.match(explained?.summary ?? '', /waits for a free cell of 8/);
  assert.ok((explained?.freedBy.length ?? 0) > 0);
  const reclaiming = world.planner.explain(owner, world.now);
  assert.match(reclaiming?.heldBy.join() ?? '', new RegExp(`${holder} of`));
  assert.match(reclaiming?.freedBy.join() ?? '', /checkpointed and stopped/);
  assert.equal(world.planner.explain(trustedId('other'), world.now), undefined);
});

test('an explanation distinguishes a too small guarantee from one in use', () => {
  const world = new PlannerWorld([customer('b', [[8, 4]])], workers(2));
  world.submit('b', 2, 8);
  world.planUntilStable();
  const waiting = world.submit('b', 2, 8);
  world.planUntilStable();
  const explained = world.planner.explain(waiting, world.now);
  assert.match(explained?.summary ?? '', /guarantee has cells of 8 at most/);
});
