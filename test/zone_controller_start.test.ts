/** Starts, ends and cancellations of gangs, with failing worker calls. */

import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import type {ZoneControllerOptions} from '../src/controllers/zone_options.js';
import {instant, trustedId} from '../src/model/ids.js';
import {FakeStore, FakeWorkers, waitUntil} from './zone_fakes.js';
import type {Fault} from './zone_fakes.js';
import {TestScheduler, jobRecord, workerVm} from './zone_fixture.js';

const job = jobRecord('job-1', 2);
const {jobId} = job;
const vms = [workerVm('w0'), workerVm('w1')];
let workers: FakeWorkers;
let store: FakeStore;
let scheduler: TestScheduler;

beforeEach(() => {
  workers = new FakeWorkers();
  store = new FakeStore();
  scheduler = new TestScheduler(workers, store);
  scheduler.controller.setWorkers(vms);
});

afterEach(async () => {
  await scheduler.scope.close();
  assert.deepEqual(workers.violations, []);
  assert.deepEqual(workers.duplicateRuns, []);
});

/** Makes the first call of a kind fail, and counts the calls of that kind. */
function failFirst(call: string, fault: Fault): {calls: number} {
  const counter = {calls: 0};
  workers.fault = (kind) => {
    if (kind !== call) return undefined;
    counter.calls += 1;
    return counter.calls === 1 ? fault : undefined;
  };
  return counter;
}

async function startJob(
  options: Partial<ZoneControllerOptions> = {},
): Promise<void> {
  scheduler = new TestScheduler(workers, store, 1, options);
  scheduler.controller.setWorkers(vms);
  store.seed(job);
  scheduler.controller.start();
  await waitUntil('the gang runs', () => workers.isRunning(jobId, 2));
  await waitUntil('the start is stored', () => {
    return store.record(jobId)?.state === 'running';
  });
}

// Guards against ends that are not recorded, tasks that are removed before the
// end is stored, and sequences that do not increase.
test('the end of a gang is stored before its tasks are removed', async () => {
  await startJob();
  workers.endTasks(jobId, 'finished');
  await waitUntil('a task is removed', () => workers.tasksOf(jobId).length < 2);
  assert.equal(store.record(jobId)?.state, 'finished');
  await waitUntil('all are removed', () => workers.tasksOf(jobId).length === 0);
  assert.equal(scheduler.state(jobId), 'finished');
  const sequences = store.written.map((record) => record.sequence);
  const states = store.written.map((record) => record.state);
  assert.deepEqual(states, ['starting', 'running', 'finished']);
  assert.deepEqual(sequences, [1, 2, 3]);
});

// Guards against jobs that reach the store but no scheduler.
test('a job that is only in the store is found by the watch', async () => {
  scheduler.controller.start();
  await waitUntil('placing begins', () => scheduler.hasEvent('placing'));
  store.seed(job);
  await waitUntil('the gang runs', () => workers.isRunning(jobId, 2));
});

// Guards against a second run of a job whose caller, or the daemon that took it,
// repeats the submission to the successor of the scheduler that ended it.
test('a submission that arrives after the end of its job is not run', async () => {
  const ended = {...job, state: 'finished', sequence: 3} as const;
  store.seed(ended);
  scheduler.controller.start();
  await waitUntil('placing begins', () => scheduler.hasEvent('placing'));
  assert.ok(scheduler.controller.submitJob(job).isOk);
  const next = jobRecord('job-2', 2);
  assert.ok(scheduler.controller.submitJob(next).isOk);
  await waitUntil('the next job runs', () => workers.isRunning(next.jobId, 2));
  assert.deepEqual(workers.tasksOf(jobId), []);
  assert.equal(store.record(jobId)?.state, 'finished');
});

// Guards against a second hold for a member whose hold took effect.
test('a lost answer to a hold is resolved by reading the list', async () => {
  const holds = failFirst('hold', 'answerLost');
  await startJob();
  assert.equal(holds.calls, 2);
  assert.equal(store.record(jobId)?.attempts, 1);
});

// Guards against reuse of capacity that a delayed hold could still occupy: the
// task id is removed first, so that the worker refuses a later hold.
test('a hold that never arrived is removed before the next attempt', async () => {
  failFirst('hold', 'requestLost');
  await startJob();
  assert.equal(store.record(jobId)?.attempts, 2);
  assert.equal(workers.removals.length, 2);
  assert.equal(workers.worker(workerVm('w0').vmId).refused.size, 2);
});

// Guards against gangs that stay partially released.
for (const fault of ['requestLost', 'answerLost'] as const) {
  test(`a release is completed after: ${fault}`, async () => {
    failFirst('release', fault);
    await startJob();
    assert.equal(workers.releases.length, 2);
  });
}

// Guards against a cancelled job that keeps running or occupies a worker.
for (const call of ['hold', 'list', 'release'] as const) {
  test(`a cancellation during the first ${call} takes effect`, async () => {
    workers.fault = (kind) => {
      if (kind === call) scheduler.controller.cancelJob(jobId);
      return undefined;
    };
    store.seed(job);
    scheduler.controller.start();
    await waitUntil('the end is stored', () => {
      return store.record(jobId)?.state === 'cancelled';
    });
    assert.deepEqual(workers.tasksOf(jobId), []);
    if (call !== 'release') assert.deepEqual(workers.releases, []);
  });
}

// Guards against a preempted gang that loses its checkpoint.
test('a preempted gang resumes from its checkpoint', async () => {
  await startJob();
  const [first] = workers.tasksOf(jobId);
  scheduler.planner.preemptions.push(jobId);
  scheduler.controller.configure({
    version: 1,
    customers: [],
    workClasses: [],
    power: {supply: 'grid'},
  });
  await waitUntil('it runs again', () => store.record(jobId)?.attempts === 2);
  await waitUntil('the gang runs', () => workers.isRunning(jobId, 2));
  const resumed = workers.tasksOf(jobId)[0];
  assert.equal(resumed?.checkpoint, `checkpoint-of-${first?.taskId}`);
  assert.equal(scheduler.planner.ends[0]?.kind, 'setAside');
});

// Guards against guaranteed work that waits indefinitely for a checkpoint.
test('an unanswered checkpoint does not delay the stop', async () => {
  await startJob({reclaimBoundMs: 20});
  workers.fault = (call) => (call === 'checkpoint' ? 'silent' : undefined);
  scheduler.planner.preemptions.push(jobId);
  scheduler.controller.setWorkers(vms);
  await waitUntil('it runs again', () => store.record(jobId)?.attempts === 2);
  assert.equal(store.record(jobId)?.checkpoint, undefined);
});

// Guards against gangs that keep running in part, and against endless retries.
test('a failed task stops the gang; the third failure is final', async () => {
  await startJob();
  for (let attempt = 1; attempt <= 3; attempt += 1) {
    await waitUntil('the gang runs', () => workers.isRunning(jobId, 2));
    workers.endTasks(jobId, 'failed', 1);
    await waitUntil('the gang is stopped', () => {
      return scheduler.planner.ends.length === attempt;
    });
  }
  await waitUntil('it fails', () => store.record(jobId)?.state === 'failed');
  await waitUntil(
    'all tasks are removed',
    () => workers.tasksOf(jobId).length === 0,
  );
});

// Guards against a store that fills with records of ended jobs, and against the
// deletion of a record that is still needed.
test('expired records of ended jobs are deleted', async () => {
  const ended = {...jobRecord('job-old', 1), state: 'finished'} as const;
  store.seed({...ended, endedAt: instant(1)});
  store.seed({
    ...ended,
    jobId: trustedId('job-new'),
    endedAt: currentInstant(),
  });
  await startJob({cleanupIntervalMs: 5, endedRecordRetentionMs: 600_000});
  await waitUntil('the old record is deleted', () => {
    return store.record(ended.jobId) === undefined;
  });
  assert.ok(store.record(trustedId('job-new')));
  assert.ok(store.record(jobId));
});

function currentInstant() {
  return instant(Date.now());
}
