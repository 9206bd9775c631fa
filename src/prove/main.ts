/**
 * Runs a site under random faults, chosen by `--seed`, for `--seconds` and
 * prints the outcomes and the violations. Exits with 0 only if there are no
 * violations.
 */

import {parseArgs} from 'node:util';
import {CleanupScope} from '../lifecycle/cleanup_scope.js';
import {runFaultTest} from './prove_site.js';
import type {FaultTestReport} from './prove_site.js';

const DEFAULT_FAULT_SECONDS = '35';
const MILLISECONDS_PER_SECOND = 1_000;

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

function printReport(seed: number, report: FaultTestReport): void {
  const {faults, requests, jobs, changes, violations} = report;
  printLine(`seed ${seed}: ${faults.join('; ')}`);
  printLine(
    `  requests   ${requests.answered} answered, ${requests.notRun} not run, ` +
      `${requests.unknown} unknown, ${requests.unanswered} interrupted`,
  );
  printLine(`  gang jobs  ${jobs} accepted, all accounted for if no violation`);
  printLine(`  changes    ${changes} accepted`);
  printLine(`  violations ${violations.length || 'none'}`);
  for (const violation of violations) printLine(`    ${violation}`);
}

const {values} = parseArgs({
  options: {
    seed: {type: 'string', default: '1'},
    seconds: {type: 'string', default: DEFAULT_FAULT_SECONDS},
  },
});
const seed = Number(values.seed);
const faultMs = Number(values.seconds) * MILLISECONDS_PER_SECOND;
const scope = new CleanupScope();
const interrupt = () => void scope.close().then(() => process.exit(1));
process.once('SIGINT', interrupt);
process.once('SIGTERM', interrupt);
try {
  const report = await runFaultTest(scope, {seed, faultMs});
  printReport(seed, report);
  process.exitCode = report.violations.length === 0 ? 0 : 1;
} finally {
  await scope.close();
}
