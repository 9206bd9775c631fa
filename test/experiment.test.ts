/**
 * A short seeded scenario on the emulator: guards against changes of leader,
 * late orders, lost writes and unreachable workers that violate a documented
 * rule or leave a job open.
 */

import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import {it} from 'node:test';
import {scenarioSchema} from '../emulator/day.js';
import {Experiment} from '../emulator/experiment.js';

const SCENARIO_FILE = 'emulator/days/takeovers.json';
const SEED = 7;

it('a scenario with takeovers violates no rule and ends all jobs', async () => {
  const scenario = scenarioSchema.parse(
    JSON.parse(await readFile(SCENARIO_FILE, 'utf8')),
  );
  const report = await new Experiment(scenario, SEED).run();
  assert.deepEqual(report.violations, []);
  for (const {queue, asked, open} of report.queues) {
    assert.ok(asked > 0, `${queue} has no load`);
    assert.equal(open, 0, `open jobs of ${queue}`);
  }
});
