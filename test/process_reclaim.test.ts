/**
 * Reclaim of lent capacity through real daemon processes: all capacity of a
 * zone is lent, its owner gets the guaranteed shape within the bound, and the
 * borrower resumes from its last checkpoint. The results are checked against
 * the workers' run logs.
 */

import assert from 'node:assert/strict';
import {after, afterEach, before, describe, it} from 'node:test';
import {Caller} from '../src/harness/caller.js';
import type {AcceptedJob} from '../src/harness/caller.js';
import {
  BORROWER,
  OWNER,
  ZONE_A,
  applyQuestionnaire,
  customerQuestionnaire,
  waitForScheduler,
  startSmallSite,
  waitForVersion,
  waitUntil,
} from '../src/harness/example_site.js';
import {
  findJobViolations,
  submitUntilAccepted,
  waitForJobsToEnd,
} from '../src/harness/job_checks.js';
import type {SiteFixture} from '../src/harness/site_fixture.js';
import {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import type {RunEvent, TaskEvent} from '../src/standins/run_log.js';

const TIMINGS = {
  heartbeatIntervalMs: 250,
  peerTimeoutMs: 1_500,
  gangSkewBoundMs: 2_000,
  reclaimBoundMs: 1_000,
  workerCallTimeoutMs: 1_000,
  storeCallTimeoutMs: 1_000,
};
/** After the checkpoint: remove, hold, read back and release, in turn. */
const WORKER_CALLS = 4;
/** Writes of the job's record and of its start. */
const STORE_CALLS = 2;
const RECLAIM_LIMIT_MS =
  TIMINGS.reclaimBoundMs +
  WORKER_CALLS * TIMINGS.workerCallTimeoutMs +
  STORE_CALLS * TIMINGS.storeCallTimeoutMs;
/** The successor reads the workers' task lists within the skew bound. */
const TAKEOVER_LIMIT_MS = TIMINGS.peerTimeoutMs + TIMINGS.gangSkewBoundMs;
/** Time within which all members of a gang are checkpointed and stopped. */
const PARTIAL_GANG_BOUND_MS = RECLAIM_LIMIT_MS + TAKEOVER_LIMIT_MS;

const CHECKPOINT_MS = 200;
const BORROWER_RUN_TIME_MS = 5_000;
const OWNER_RUN_TIME_MS = 500;

const scope = new CleanupScope();
let site: SiteFixture;
let caller: Caller;
let jobNumber = 0;

before(async () => {
  site = await startSmallSite(scope, {timings: TIMINGS});
  const [daemon] = site.daemons;
  assert.ok(daemon);
  // A single cell covers all 16 accelerators of the zone.
  const applied = await applyQuestionnaire(
    daemon,
    customerQuestionnaire(OWNER, 16, 16),
  );
  assert.ok(applied.isOk);
  const {version} = applied.value;
  await Promise.all(site.daemons.map((one) => waitForVersion(one, version)));
  caller = new Caller(
    scope,
    site.daemonsInZone(ZONE_A).map((daemon) => daemon.callers),
  );
});
after(() => scope.close());
afterEach(async () => {
  await setCheckpointDuration(0);
});

function workers() {
  return site.workers.filter(({vm}) => vm.availabilityZone === ZONE_A);
}

async function setCheckpointDuration(checkpointMs: number): Promise<void> {
  await Promise.all(
    workers().map(({admin}) => admin.setBehaviour({checkpointMs})),
  );
}

function submit(customerId: string, workClassId: string, runTimeMs: number) {
  jobNumber += 1;
  return submitUntilAccepted(scope, caller, {
    customerId,
    workClassId,
    payload: JSON.stringify({runTimeMs}),
    key: `reclaim-${jobNumber}`,
    availabilityZone: ZONE_A,
  });
}

function taskEvents(event: RunEvent['event'], jobId: string): TaskEvent[] {
  return site
    .runEvents()
    .flatMap((entry) =>
      'taskId' in entry && entry.event === event && entry.jobId === jobId
        ? [entry]
        : [],
    );
}

function waitForTasks(event: RunEvent['event'], jobId: string, count: number) {
  return waitUntil(
    `${count} tasks of ${jobId} are ${event}`,
    () => taskEvents(event, jobId).length >= count,
  );
}

/** Lends all accelerators of the zone to one gang or to two. */
async function lendAll(workClassId: 'pair' | 'worker', runTimeMs: number) {
  const count = workClassId === 'pair' ? 1 : 2;
  const jobs: AcceptedJob[] = [];
  for (let n = 0; n < count; n += 1) {
    jobs.push(await submit(BORROWER, workClassId, runTimeMs));
  }
  for (const {jobId} of jobs) await waitForTasks('released', jobId, 2 / count);
  return jobs;
}

/**
 * Submits a gang of the owner's guaranteed shape; returns its id and the time
 * until all its tasks run.
 */
async function startGuaranteedGang() {
  const submittedAt = Date.now();
  const {jobId} = await submit(OWNER, 'pair', OWNER_RUN_TIME_MS);
  await waitForTasks('released', jobId, 2);
  const times = taskEvents('released', jobId).map(({at}) => at);
  return {jobId, startedAfterMs: Math.max(...times) - submittedAt};
}

function assertWithin(actualMs: number, limitMs: number): void {
  assert.ok(actualMs <= limitMs, `took ${actualMs} ms, limit ${limitMs} ms`);
}

/** Removed tasks that had not finished; finished tasks are removed as well. */
function stoppedTasks(jobId: string): TaskEvent[] {
  const finished = new Set(
    taskEvents('finished', jobId).map(({taskId}) => taskId),
  );
  return taskEvents('removed', jobId).filter(
    ({taskId}) => !finished.has(taskId),
  );
}

/** Asserts that each stopped task wrote a checkpoint before the stop. */
function assertCheckpointedBeforeStop(jobId: string): void {
  const stopped = stoppedTasks(jobId);
  assert.ok(stopped.length > 0, `${jobId} was not stopped`);
  for (const {taskId, at} of stopped) {
    const checkpoint = taskEvents('checkpointed', jobId).find(
      (event) => event.taskId === taskId && event.at <= at,
    );
    assert.ok(checkpoint, `${taskId} was stopped without a checkpoint`);
  }
}

/** Asserts that the next attempt starts from a checkpoint that was written. */
function assertResumed(jobId: string): void {
  const written = taskEvents('checkpointed', jobId).map(
    ({checkpoint}) => checkpoint,
  );
  const stoppedAt = Math.max(...stoppedTasks(jobId).map(({at}) => at));
  const resumed = taskEvents('released', jobId).filter(
    ({at}) => at >= stoppedAt,
  );
  assert.ok(resumed.length > 0, `${jobId} did not resume`);
  for (const {checkpoint} of resumed) {
    assert.ok(written.includes(checkpoint), `resumed from ${checkpoint}`);
  }
}

describe('a guarantee whose capacity is lent', () => {
  // A stopped borrower has to wait before it is lent capacity again, so the last
  // test waits for all of them together.
  const stoppedBorrowers: AcceptedJob[] = [];

  it('starts in time after the borrowers are checkpointed', async () => {
    await setCheckpointDuration(CHECKPOINT_MS);
    const borrowers = await lendAll('worker', BORROWER_RUN_TIME_MS);
    const {startedAfterMs} = await startGuaranteedGang();
    assertWithin(startedAfterMs, RECLAIM_LIMIT_MS);
    for (const {jobId} of borrowers) assertCheckpointedBeforeStop(jobId);
    stoppedBorrowers.push(...borrowers);
  });

  it('reclaims the capacity of a lent gang as a whole', async () => {
    await setCheckpointDuration(CHECKPOINT_MS);
    const borrowers = await lendAll('pair', BORROWER_RUN_TIME_MS);
    const {startedAfterMs} = await startGuaranteedGang();
    assertWithin(startedAfterMs, RECLAIM_LIMIT_MS);
    for (const {jobId} of borrowers) assertCheckpointedBeforeStop(jobId);
    stoppedBorrowers.push(...borrowers);
  });

  it('does not wait for a checkpoint that takes too long', async () => {
    await setCheckpointDuration(60_000);
    await lendAll('worker', BORROWER_RUN_TIME_MS);
    const {startedAfterMs} = await startGuaranteedGang();
    assertWithin(startedAfterMs, RECLAIM_LIMIT_MS);
  });

  it('starts when the scheduler is killed during the reclaim', async () => {
    await setCheckpointDuration(CHECKPOINT_MS);
    const borrowers = await lendAll('worker', BORROWER_RUN_TIME_MS);
    const scheduler = await waitForScheduler(site, ZONE_A);
    const others = site
      .daemonsInZone(ZONE_A)
      .filter((one) => one !== scheduler);
    caller.setAddresses(others.map((daemon) => daemon.callers));
    const start = startGuaranteedGang();
    await Promise.any(
      borrowers.map(({jobId}) => waitForTasks('checkpointed', jobId, 1)),
    );
    await scheduler.process.kill();
    const {startedAfterMs} = await start;
    assertWithin(startedAfterMs, TAKEOVER_LIMIT_MS + RECLAIM_LIMIT_MS);
  });

  it('lets the borrowers resume from their checkpoints', async () => {
    await waitForJobsToEnd(site, [caller]);
    assert.ok(stoppedBorrowers.length > 0);
    for (const {jobId} of stoppedBorrowers) assertResumed(jobId);
    assert.deepEqual(
      await findJobViolations(site, [caller], PARTIAL_GANG_BOUND_MS),
      [],
    );
  });
});
