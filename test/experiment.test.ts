/**
 * A short seeded day on the emulator: takeovers, late orders, lost writes and
 * cut workers break no rule and leave no job open.
 */

import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import {it} from 'node:test';
import {scenarioSchema} from '../emulator/day.js';
import {Experiment} from '../emulator/experiment.js';

const DAY_FILE = 'emulator/days/takeovers.json';
const SEED = 7;

it('a day with takeovers breaks no rule and leaves no job open', async () => {
  const day = scenarioSchema.parse(
    JSON.parse(await readFile(DAY_FILE, 'utf8')),
  );
  const report = await new Experiment(day, SEED).run();
  assert.deepEqual(report.violations, []);
  for (const {queue, asked, open} of report.queues) {
    assert.ok(asked > 0, `${queue} has no load`);
    assert.equal(open, 0, `jobs of ${queue} that stayed open`);
  }
});
