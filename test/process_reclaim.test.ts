/**
 * Reclaim through real daemon processes: all capacity of a zone is lent, and
 * its owner gets the guaranteed shape within the bound, while the borrower
 * keeps the work of its last checkpoint. The workers' run logs are the truth.
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
/** Remove, hold, read back and release follow the checkpoint in turn. */
const WORKER_CALLS = 4;
/** The record of the job, and that of its start. */
const STORE_CALLS = 2;
const RECLAIM_LIMIT_MS =
  TIMINGS.reclaimBoundMs +
  WORKER_CALLS * TIMINGS.workerCallTimeoutMs +
  STORE_CALLS * TIMINGS.storeCallTimeoutMs;
/** The successor reads the lists within the skew bound. */
const TAKEOVER_LIMIT_MS = TIMINGS.peerTimeoutMs + TIMINGS.gangSkewBoundMs;
/** Members of a gang are checkpointed and stopped within this time. */
const PARTIAL_BOUND_MS = RECLAIM_LIMIT_MS + TAKEOVER_LIMIT_MS;

const CHECKPOINT_MS = 200;
const BORROWED_RUN_MS = 5_000;
const OWNED_RUN_MS = 500;

const scope = new CleanupScope();
let site: SiteFixture;
let caller: Caller;
let jobNumber = 0;

before(async () => {
  site = await startSmallSite(scope, {timings: TIMINGS});
  const [daemon] = site.daemons;
  assert.ok(daemon);
  // One cell of all 16 accelerators of the zone.
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
  await setCheckpointTime(0);
});

function workers() {
  return site.workers.filter(({vm}) => vm.availabilityZone === ZONE_A);
}

async function setCheckpointTime(checkpointMs: number): Promise<void> {
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

/** Lends all accelerators of the zone as one gang or as two. */
async function lendAll(workClassId: 'pair' | 'worker', runTimeMs: number) {
  const count = workClassId === 'pair' ? 1 : 2;
  const jobs: AcceptedJob[] = [];
  for (let n = 0; n < count; n += 1) {
    jobs.push(await submit(BORROWER, workClassId, runTimeMs));
  }
  for (const {jobId} of jobs) await waitForTasks('released', jobId, 2 / count);
  return jobs;
}

/** Submits the owner's guaranteed shape; returns it with its time to start. */
async function askForGuarantee() {
  const askedAt = Date.now();
  const {jobId} = await submit(OWNER, 'pair', OWNED_RUN_MS);
  await waitForTasks('released', jobId, 2);
  const times = taskEvents('released', jobId).map(({at}) => at);
  return {jobId, startedAfterMs: Math.max(...times) - askedAt};
}

function assertWithin(actualMs: number, limitMs: number): void {
  assert.ok(actualMs <= limitMs, `took ${actualMs} ms of ${limitMs} ms`);
}

/** Tasks that were stopped; those that did their work are removed as well. */
function stoppedTasks(jobId: string): TaskEvent[] {
  const finished = new Set(
    taskEvents('finished', jobId).map(({taskId}) => taskId),
  );
  return taskEvents('removed', jobId).filter(
    ({taskId}) => !finished.has(taskId),
  );
}

/** Each stopped task has a checkpoint from before the stop. */
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

/** The second attempt's members start where the first one's stopped. */
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
  // Borrowers that were stopped wait for a while before they are lent capacity
  // again, so that the last test waits for all of them at once.
  const stoppedBorrowers: AcceptedJob[] = [];

  it('starts in time after the borrowers are checkpointed', async () => {
    await setCheckpointTime(CHECKPOINT_MS);
    const borrowers = await lendAll('worker', BORROWED_RUN_MS);
    const {startedAfterMs} = await askForGuarantee();
    assertWithin(startedAfterMs, RECLAIM_LIMIT_MS);
    for (const {jobId} of borrowers) assertCheckpointedBeforeStop(jobId);
    stoppedBorrowers.push(...borrowers);
  });

  it('takes a lent gang back as a whole', async () => {
    await setCheckpointTime(CHECKPOINT_MS);
    const borrowers = await lendAll('pair', BORROWED_RUN_MS);
    const {startedAfterMs} = await askForGuarantee();
    assertWithin(startedAfterMs, RECLAIM_LIMIT_MS);
    for (const {jobId} of borrowers) assertCheckpointedBeforeStop(jobId);
    stoppedBorrowers.push(...borrowers);
  });

  it('does not wait for a checkpoint that takes too long', async () => {
    await setCheckpointTime(60_000);
    await lendAll('worker', BORROWED_RUN_MS);
    const {startedAfterMs} = await askForGuarantee();
    assertWithin(startedAfterMs, RECLAIM_LIMIT_MS);
  });

  it('starts when the scheduler is killed during the reclaim', async () => {
    await setCheckpointTime(CHECKPOINT_MS);
    const borrowers = await lendAll('worker', BORROWED_RUN_MS);
    const scheduler = await waitForScheduler(site, ZONE_A);
    const others = site
      .daemonsInZone(ZONE_A)
      .filter((one) => one !== scheduler);
    caller.setAddresses(others.map((daemon) => daemon.callers));
    const start = askForGuarantee();
    await Promise.any(
      borrowers.map(({jobId}) => waitForTasks('checkpointed', jobId, 1)),
    );
    await scheduler.process.kill();
    const {startedAfterMs} = await start;
    assertWithin(startedAfterMs, TAKEOVER_LIMIT_MS + RECLAIM_LIMIT_MS);
  });

  it('leaves borrowers that resume from their checkpoints', async () => {
    await waitForJobsToEnd(site, [caller]);
    assert.ok(stoppedBorrowers.length > 0);
    for (const {jobId} of stoppedBorrowers) assertResumed(jobId);
    assert.deepEqual(
      await findJobViolations(site, [caller], PARTIAL_BOUND_MS),
      [],
    );
  });
});
