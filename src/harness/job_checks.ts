/**
 * Helpers for tests of gang jobs: submitting a job with retries, waiting until
 * the store records how every job ended, and checking what the workers ran.
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

/**
 * Submits a job until an entry VM accepts it. All attempts send the same key,
 * so that they create one job at most. Throws after the last attempt.
 */
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
    `job ${job.key} was not accepted in ${MAXIMUM_SUBMIT_ATTEMPTS} attempts`,
  );
}

/**
 * Waits until the store records an end of every accepted job. On timeout throws
 * an error that lists the state of the others.
 */
export async function waitForJobsToEnd(
  site: SiteFixture,
  callers: readonly Caller[],
): Promise<void> {
  const accepted = callers.flatMap(({jobs}) => jobs.map(({jobId}) => jobId));
  let notEnded: readonly string[] = [];
  try {
    await waitUntil(
      'all jobs have ended',
      async () => {
        const records = parseJobRecords(await site.platformAdmin.dumpStore());
        notEnded = findJobsNotEnded(accepted, records).map((jobId) => {
          const record = records.get(jobId);
          return `${jobId} ${record?.state} (${record?.reason})`;
        });
        return notEnded.length === 0;
      },
      JOBS_END_TIMEOUT_MS,
    );
  } catch (error) {
    throw new Error(`jobs that have not ended: ${notEnded.join('; ')}`, {
      cause: error,
    });
  }
}

/**
 * Returns one message per violation that the run logs and the store show.
 * `partialBoundMs` limits how long a gang may run with tasks missing.
 */
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
