/**
 * A short seeded soak: guards against faults that make real daemon processes
 * violate a documented rule or lose an accepted job.
 */

import assert from 'node:assert/strict';
import {it} from 'node:test';
import {soak} from '../soak/soak.js';

const SEED = 5;
const FAULTS_MS = 8_000;

it('a short soak violates no rule', async () => {
  const report = await soak({
    seed: SEED,
    faultsMs: FAULTS_MS,
    daemons: 3,
    racks: 2,
    workersPerRack: 4,
  });
  assert.deepEqual(report.violations, [], report.faults.join(', '));
  assert.ok(report.counts.accepted > 0, 'no job was accepted');
  assert.ok(report.faults.length > 0, 'no fault was injected');
});
