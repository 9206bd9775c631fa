/**
 * The steps that tests of gang jobs share: bounded load, waiting until the
 * store accounts for every job, and all checks of what the workers ran.
 */

import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {Caller, JobSubmission} from './caller.js';
import {waitUntil} from './example_site.js';
import {
  findPartialGangs,
  findJobsRunAfterFinish,
  findSharedAccelerators,
  findMisrecordedJobs,
  parseJobRecords,
  findJobsNotEnded,
} from './job_reconciler.js';
import type {SiteFixture} from './site_fixture.js';

const JOBS_END_TIMEOUT_MS = 45_000;
const RETRY_DELAY_MS = 100;
const MAXIMUM_SUBMIT_ATTEMPTS = 100;

/** Submits a job until an entry VM accepts it; the key makes it one job. */
export async function submitUntilAccepted(
  scope: CleanupScope,
  caller: Caller,
  job: JobSubmission & {readonly key: string},
) {
  for (let attempt = 0; attempt < MAXIMUM_SUBMIT_ATTEMPTS; attempt += 1) {
    const accepted = await caller.submitJob(job);
    if (accepted) return accepted;
    await scope.sleep(RETRY_DELAY_MS);
  }
  throw new Error(
    `job ${job.key} was not accepted in ${MAXIMUM_SUBMIT_ATTEMPTS} tries`,
  );
}

/** Waits until the store says of every accepted job how it ended. */
export async function waitForJobsToEnd(
  site: SiteFixture,
  callers: readonly Caller[],
): Promise<void> {
  const accepted = callers.flatMap(({jobs}) => jobs.map(({jobId}) => jobId));
  let unended: readonly string[] = [];
  try {
    await waitUntil(
      'all jobs have ended',
      async () => {
        const records = parseJobRecords(await site.platformAdmin.dumpStore());
        unended = findJobsNotEnded(accepted, records).map((jobId) => {
          const record = records.get(jobId);
          return `${jobId} ${record?.state} (${record?.reason})`;
        });
        return unended.length === 0;
      },
      JOBS_END_TIMEOUT_MS,
    );
  } catch (error) {
    throw new Error(`jobs without an end: ${unended.join('; ')}`, {
      cause: error,
    });
  }
}

/** One sentence per broken promise on jobs; empty if all hold. */
export async function findJobViolations(
  site: SiteFixture,
  callers: readonly Caller[],
  partialBoundMs: number,
): Promise<string[]> {
  const events = site.runEvents();
  const accepted = callers.flatMap(({jobs}) => jobs.map(({jobId}) => jobId));
  const records = parseJobRecords(await site.platformAdmin.dumpStore());
  return [
    ...findSharedAccelerators(events, site.workerKillTimes),
    ...findPartialGangs(events, partialBoundMs, site.workerKillTimes),
    ...findJobsRunAfterFinish(events),
    ...findMisrecordedJobs(accepted, records, events),
  ];
}
