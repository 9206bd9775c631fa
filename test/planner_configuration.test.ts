/**
 * Guards against configuration changes whose cost is quadratic in the number
 * of customers: with 700 customers a change took 40 ms, at four changes a
 * minute.
 */

import assert from 'node:assert/strict';
import {test} from 'node:test';
import {syntheticConfiguration} from '../src/measure/synthetic_zone.js';
import {trustedId} from '../src/model/ids.js';
import {CellZonePlanner} from '../src/scheduling/cell_zone_planner.js';

function visitsOfChange(customers: number): number {
  const planner = new CellZonePlanner({
    availabilityZone: trustedId('zone-1'),
    starvationBoundMs: 1_000,
  });
  planner.configure(syntheticConfiguration(customers));
  const before = planner.visitedCells;
  planner.configure(syntheticConfiguration(customers));
  return planner.visitedCells - before;
}

test('the cost of a configuration change is linear in customers', () => {
  const few = visitsOfChange(48);
  assert.ok(few > 0);
  assert.ok(visitsOfChange(480) <= 10 * few);
});
