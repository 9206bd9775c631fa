/**
 * Runs the whole system under one fixed schedule of faults, shorter than that
 * of `npm run prove`. Guards against violations that occur only when faults of
 * several components overlap.
 */

import assert from 'node:assert/strict';
import {after, it} from 'node:test';
import {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import {runFaultTest} from '../src/prove/prove_site.js';

const SEED = 7;
const FAULT_MS = 12_000;

const scope = new CleanupScope();
after(() => scope.close());

it(`has no violations under the faults of seed ${SEED}`, async () => {
  const report = await runFaultTest(scope, {seed: SEED, faultMs: FAULT_MS});
  const faults = `seed ${SEED}: ${report.faults.join('; ')}`;
  assert.deepEqual(report.violations, [], faults);
  assert.ok(report.requests.answered > 0, faults);
  assert.ok(report.jobs > 0, faults);
});
