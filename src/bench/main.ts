/**
 * `npm run bench`: replays a workload with every policy and prints the results
 * as tables or, with `--json`, as one JSON value.
 */

import {parseArgs} from 'node:util';
import {POLICY_NAMES} from './policies.js';
import {replay} from './replay.js';
import {jsonReport, textReport} from './report.js';
import {WORKLOAD_NAMES, createWorkload} from './workloads.js';

const USAGE =
  'usage: npm run bench -- [--workload NAME] [--seed N] [--hours N] [--json]';
const DEFAULT_SEED = '1';
const DEFAULT_HOURS = '168';
const MAXIMUM_HOURS = 1_000;

function main(): void {
  const {values} = parseArgs({
    options: {
      workload: {type: 'string', default: 'kettleby'},
      seed: {type: 'string', default: DEFAULT_SEED},
      hours: {type: 'string', default: DEFAULT_HOURS},
      json: {type: 'boolean', default: false},
    },
  });
  const name = WORKLOAD_NAMES.find((each) => each === values.workload);
  const seed = Number(values.seed);
  const hours = Number(values.hours);
  const areHoursValid = hours > 0 && hours <= MAXIMUM_HOURS;
  if (name === undefined || !Number.isInteger(seed) || !areHoursValid) {
    process.stderr.write(`${USAGE}\nworkloads: ${WORKLOAD_NAMES.join(', ')}\n`);
    process.exitCode = 2;
    return;
  }
  const workload = createWorkload(name, {seed, hours});
  const results = POLICY_NAMES.map((policy) => replay(workload, policy));
  const report = values.json ? jsonReport : textReport;
  process.stdout.write(`${report(workload, results)}\n`);
}

main();
