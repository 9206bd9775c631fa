/**
 * A short seeded soak: real daemons as processes under faults break none of
 * the users' rules, and accepted jobs end.
 */

import assert from 'node:assert/strict';
import {it} from 'node:test';
import {soak} from '../soak/soak.js';

const SEED = 5;
const FAULTS_MS = 8_000;

it('a short soak breaks no rule', async () => {
  const report = await soak({
    seed: SEED,
    faultsMs: FAULTS_MS,
    daemons: 3,
    racks: 2,
    workersPerRack: 4,
  });
  assert.deepEqual(report.violations, [], report.faults.join(', '));
  assert.ok(report.counts.accepted > 0, 'no job was accepted');
  assert.ok(report.faults.length > 0, 'no fault was played');
});
