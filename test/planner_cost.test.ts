/**
 * Guards against decisions whose cost is linear in the number of racks. The
 * cost is measured in visited cells, so it does not depend on the machine.
 */

import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandom} from '../src/lifecycle/random.js';
import {PlannerWorld, customer, workers} from './planner_world.js';

/** Allowed cost in visited cells: fixed, per log2 of workers, per accelerator. */
const FIXED_COST = 600;
const COST_PER_LEVEL = 40;
const COST_PER_ACCELERATOR = 60;

/** Highest ratio of actual to allowed cost of a submission in a busy zone. */
function worstCostRatio(workerCount: number): number {
  const customers = [
    customer('owner', [[8, Math.floor(workerCount / 2)]]),
    customer('borrower', []),
  ];
  const world = new PlannerWorld(customers, workers(workerCount));
  const random = new SeededRandom(workerCount);
  for (let count = 0; count < workerCount * 4; count += 1) {
    world.submit('borrower', 1, 2);
  }
  world.planUntilStable();
  for (const jobId of [...world.placed.keys()]) {
    if (random.next() < 0.1) world.end(jobId, {kind: 'finished'});
  }
  let worst = 0;
  for (let count = 0; count < 60; count += 1) {
    world.advance(1_000);
    const tasks = 2 ** random.nextBelow(5);
    const customerId = random.next() < 0.5 ? 'owner' : 'borrower';
    const before = world.planner.visitedCells;
    world.submit(customerId, customerId === 'owner' ? 1 : tasks, 8);
    world.plan();
    const cost = world.planner.visitedCells - before;
    const accelerators = customerId === 'owner' ? 8 : 8 * tasks;
    const allowed =
      FIXED_COST +
      COST_PER_LEVEL * Math.log2(workerCount) +
      COST_PER_ACCELERATOR * accelerators;
    worst = Math.max(worst, cost / allowed);
  }
  return worst;
}

test('the cost of a decision grows with the logarithm of the workers', () => {
  for (const workerCount of [30, 540, 6_500]) {
    const worst = worstCostRatio(workerCount);
    assert.ok(
      worst <= 1,
      `${workerCount} workers: ${worst} times the allowed cost`,
    );
  }
});
