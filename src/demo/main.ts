/**
 * Runs the demo: starts each example site in turn, with its daemons, workers
 * and minions as processes on this machine. Exits with 0 only if every answer
 * was correct and no violation was found.
 */

import {CleanupScope} from '../lifecycle/cleanup_scope.js';
import {runSiteDemo} from './demo_site.js';
import type {DemoSummary} from './demo_site.js';

const SITES = ['kettleby', 'iloilo'];
const MILLISECONDS_PER_SECOND = 1_000;

function printSummary(summary: DemoSummary, elapsedMs: number): void {
  const {requests, jobs, largestGang, violations} = summary;
  const finished = jobs.filter((job) => job.state === 'finished').length;
  const seconds = (elapsedMs / MILLISECONDS_PER_SECOND).toFixed(1);
  console.log(`\n${summary.site} (${summary.processes} processes)`);
  console.log(
    `  requests     ${requests.answered} answered, ${requests.notRun} not ` +
      `run, ${requests.unknown} unknown, ${requests.unanswered} interrupted`,
  );
  console.log(`  gang jobs    ${finished} of ${jobs.length} finished`);
  console.log(`  largest gang ${largestGang.join(' ')}`);
  console.log(`  drained      ${summary.drainedVm}`);
  console.log(`  violations   ${violations.length || 'none'}`);
  for (const violation of violations) console.log(`    ${violation}`);
  console.log(`  elapsed      ${seconds} s\n`);
}

async function runSite(name: string): Promise<boolean> {
  const scope = new CleanupScope();
  const interrupt = () => void scope.close().then(() => process.exit(1));
  process.once('SIGINT', interrupt);
  process.once('SIGTERM', interrupt);
  const startedAt = performance.now();
  try {
    console.log(`starting the site ${name}`);
    const summary = await runSiteDemo(scope, name);
    printSummary(summary, performance.now() - startedAt);
    return summary.violations.length === 0;
  } finally {
    await scope.close();
    process.off('SIGINT', interrupt);
    process.off('SIGTERM', interrupt);
  }
}

let allPassed = true;
for (const name of SITES) allPassed = (await runSite(name)) && allPassed;
process.exitCode = allPassed ? 0 : 1;
