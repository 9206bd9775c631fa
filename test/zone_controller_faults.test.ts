/** Lost workers, store outages, takeovers and concurrent schedulers. */

import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import type {ZoneControllerOptions} from '../src/controllers/zone_options.js';
import type {JobId, TaskId} from '../src/model/ids.js';
import {trustedId} from '../src/model/ids.js';
import type {JobRecord, TaskState} from '../src/model/jobs.js';
import {FakeStore, FakeWorkers, waitUntil} from './zone_fakes.js';
import {TestScheduler, jobRecord, workerVm} from './zone_fixture.js';

const job = jobRecord('job-1', 2);
const {jobId} = job;
const vms = ['w0', 'w1', 'w2', 'w3'].map((name) => workerVm(name));
const [w0] = vms.map((vm) => vm.vmId);
let workers: FakeWorkers;
let store: FakeStore;
let schedulers: TestScheduler[];

beforeEach(() => {
  workers = new FakeWorkers();
  store = new FakeStore();
  schedulers = [];
});

afterEach(async () => {
  for (const scheduler of schedulers) await scheduler.scope.close();
  assert.deepEqual(workers.violations, []);
});

function addScheduler(
  options: Partial<ZoneControllerOptions> = {},
): TestScheduler {
  const seed = schedulers.length + 1;
  const scheduler = new TestScheduler(workers, store, seed, options);
  scheduler.controller.setWorkers(vms);
  schedulers.push(scheduler);
  return scheduler;
}

async function startJob(
  options: Partial<ZoneControllerOptions> = {},
): Promise<TestScheduler> {
  const scheduler = addScheduler(options);
  store.seed(job);
  scheduler.controller.start();
  await waitUntil('the gang runs', () => workers.isRunning(jobId, 2));
  await waitUntil('the start is stored', () => isStored('running'));
  return scheduler;
}

function isStored(state: JobRecord['state'], id: JobId = jobId): boolean {
  return store.record(id)?.state === state;
}

/** Puts a gang on workers in the states in which another scheduler left it. */
function placeGang(
  gang: string,
  states: ReadonlyArray<TaskState | 'absent'>,
  firstWorker = 0,
): void {
  const members = states.map((_, index) => ({
    taskId: trustedId<TaskId>(`${gang}.${index}`),
    workerId: vms[firstWorker + index]?.vmId ?? trustedId('none'),
  }));
  members.forEach(({taskId, workerId}, index) => {
    const state = states[index];
    if (state === undefined || state === 'absent') return;
    const task = {
      taskId,
      gangId: trustedId<NonNullable<JobRecord['gangId']>>(gang),
      jobId,
      customerId: job.customerId,
      workClassId: job.workClassId,
      members,
      accelerators: [0, 1, 2, 3, 4, 5, 6, 7],
      guaranteed: false,
      payload: '',
    };
    workers.placeTask(workerId, task, state);
  });
}

// Guards against a gang that keeps running without a member, and against new
// work on a returning worker that still has tasks of the former gang.
test('the gang of an unreachable worker moves; leftover tasks are removed', async () => {
  const scheduler = await startJob({workerLostAfterMs: 50});
  workers.fault = (_, worker) => (worker === w0 ? 'requestLost' : undefined);
  await waitUntil('the gang moved', () => store.record(jobId)?.attempts === 2);
  workers.fault = () => undefined;
  await waitUntil('the leftover task is removed', () =>
    workers.isRunning(jobId, 2),
  );
  await waitUntil('the worker is used again', () => {
    return scheduler.planner.workers.get(vms[0]!.vmId)?.acceptsTasks === true;
  });
});

// Guards against a second run of a job whose first gang has finished, if a worker
// of that gang is slow to answer and the start was not recorded in time.
test('a job is not started while a worker of its former gang is unread', async () => {
  placeGang('gang-1', ['finished', 'finished']);
  store.seed(job);
  let unread = true;
  workers.fault = (_, worker) =>
    unread && worker === w0 ? 'requestLost' : undefined;
  const other = jobRecord('job-2', 1);
  store.seed(other);
  const scheduler = addScheduler({adoptionBoundMs: 20});
  scheduler.controller.start();
  await waitUntil('other work runs', () => workers.isRunning(other.jobId, 1));
  unread = false;
  await waitUntil('the end is stored', () => isStored('finished'));
  assert.deepEqual(workers.releases, [workers.tasksOf(other.jobId)[0]?.taskId]);
});

// Guards against a connection that stays open without ever answering.
test('a worker that does not answer its watch is lost', async () => {
  const scheduler = addScheduler({workerLostAfterMs: 20, watchOverrunMs: 20});
  workers.fault = () => 'silent';
  scheduler.controller.start();
  await waitUntil('the worker is lost', () => scheduler.hasEvent('workerLost'));
});

// Guards against gangs that wait for a VM that no longer exists.
test('a gang moves when the VM list no longer contains its worker', async () => {
  const scheduler = await startJob();
  workers.fault = (_, worker) => (worker === w0 ? 'silent' : undefined);
  scheduler.controller.setWorkers(vms.slice(1));
  await waitUntil('the gang moved', () => store.record(jobId)?.attempts === 2);
  assert.ok(scheduler.hasEvent('workerLost'));
});

// Guards against work that is lost when its VM leaves, and against new work on
// a leaving VM.
test('a gang on a leaving worker is set aside and moves', async () => {
  const scheduler = await startJob();
  workers.announceLeaving(vms[0]!.vmId);
  await waitUntil('the gang moved', () => store.record(jobId)?.attempts === 2);
  await waitUntil('it runs', () => workers.isRunning(jobId, 2));
  assert.equal(workers.worker(vms[0]!.vmId).tasks.size, 0);
  assert.equal(scheduler.planner.ends[0]?.kind, 'setAside');
  assert.ok(store.record(jobId)?.checkpoint);
});

// Guards against the loss of a job's end: during a store outage, the tasks on
// the worker are its only evidence. Guards the recovering store against a burst
// of concurrent writes.
test('ends are kept during a store outage and written afterwards', async () => {
  const jobs = [0, 1, 2, 3].map((index) => jobRecord(`job-${index}`, 1));
  jobs.forEach((record) => store.seed(record));
  const scheduler = addScheduler();
  scheduler.controller.start();
  await waitUntil('all run', () => {
    return jobs.every((record) => isStored('running', record.jobId));
  });
  store.unavailable = true;
  jobs.forEach((record) => workers.endTasks(record.jobId, 'finished'));
  await waitUntil('the ends are known', () => {
    return jobs.every(({jobId: id}) => scheduler.state(id) === 'finished');
  });
  await waitUntil('the outage is noticed', () => scheduler.hasEvent('store'));
  assert.ok(jobs.every(({jobId: id}) => workers.tasksOf(id).length === 1));
  store.unavailable = false;
  await waitUntil('the tasks are removed', () => {
    return jobs.every(({jobId: id}) => workers.tasksOf(id).length === 0);
  });
  assert.ok(jobs.every(({jobId: id}) => isStored('finished', id)));
  assert.equal(store.maximumConcurrentWrites, 1);
});

// Guards against jobs that run only while the store is available, and against
// accepted jobs that are never written.
test('a job that is submitted during a store outage runs', async () => {
  store.unavailable = true;
  const scheduler = addScheduler();
  scheduler.controller.start();
  assert.ok(scheduler.controller.submitJob(job).isOk);
  assert.ok(scheduler.controller.submitJob(job).isOk);
  await waitUntil('the gang runs', () => workers.isRunning(jobId, 2));
  store.unavailable = false;
  await waitUntil('it is written', () => isStored('running'));
});

// Guards against a lost answer that is mistaken for a failed write, after which
// the own record looks like another scheduler's.
for (const fault of ['answerLost', 'requestLost'] as const) {
  test(`each record is written once after: ${fault}`, async () => {
    const failed = new Set<number>();
    store.writeFault = (_, {sequence}) => {
      if (failed.has(sequence)) return undefined;
      failed.add(sequence);
      return fault;
    };
    await startJob();
    workers.endTasks(jobId, 'finished');
    await waitUntil('the end is stored', () => isStored('finished'));
    const states = store.written.map((record) => record.state);
    assert.deepEqual(states, [...new Set(states)]);
    assert.equal(states.at(-1), 'finished');
    assert.equal(store.record(jobId)?.attempts, 1);
  });
}

// Guards against a start that stays incomplete when its scheduler stops.
for (const call of ['hold', 'list', 'release'] as const) {
  test(`a takeover at the first ${call} leaves one complete gang`, async () => {
    const first = addScheduler();
    store.seed(job);
    let calls = 0;
    workers.fault = (kind) => {
      if (kind === call && calls++ === 0) first.controller.stop();
      return undefined;
    };
    first.controller.start();
    await waitUntil('the first stops', () => !first.controller.active);
    addScheduler().controller.start();
    await waitUntil('the start is stored', () => isStored('running'));
    await waitUntil('one gang runs', () => workers.isRunning(jobId, 2));
    assert.deepEqual(workers.duplicateRuns, []);
  });
}

// Guards against a scheduler that keeps scheduling after it lost the zone, and
// against running tasks that are stopped together with it.
test('a stopped scheduler makes no call; its tasks keep running', async () => {
  const scheduler = await startJob();
  scheduler.controller.stop();
  await new Promise(setImmediate);
  await waitUntil(
    'no call is in progress',
    () => workers.callsInProgress === 0,
  );
  let calls = 0;
  workers.fault = () => {
    calls += 1;
    return undefined;
  };
  const watchCounts = vms.map(({vmId}) => workers.worker(vmId).waiters.size);
  assert.deepEqual(watchCounts, [0, 0, 0, 0]);
  workers.endTasks(jobId, 'failed', 1);
  for (let turn = 0; turn < 50; turn += 1) await new Promise(setImmediate);
  assert.equal(calls, 0);
  assert.equal(workers.tasksOf(jobId).length, 2);
  assert.ok(scheduler.controller.cancelJob(jobId).isErr);
});

// Guards against an old term that removes the next term's store listener.
test('a scheduler that loses and regains the zone continues', async () => {
  const scheduler = await startJob();
  scheduler.controller.stop();
  scheduler.controller.start();
  await waitUntil(
    'it is adopted',
    () => scheduler.planner.adopted.length === 1,
  );
  store.unavailable = true;
  workers.endTasks(jobId, 'finished');
  await waitUntil('the outage is reported', () => scheduler.hasEvent('store'));
  store.unavailable = false;
  await waitUntil('the end is stored', () => isStored('finished'));
});

// Guards against a planned stop that aborts a start or drops a record.
test('a graceful stop completes a start in progress', async () => {
  const scheduler = addScheduler();
  store.seed(job);
  let stopped: Promise<void> | undefined;
  workers.fault = (call) => {
    if (call === 'hold') stopped ??= scheduler.controller.stopGracefully(5_000);
    return undefined;
  };
  scheduler.controller.start();
  await waitUntil('the stop was asked for', () => stopped !== undefined);
  await stopped;
  assert.ok(workers.isRunning(jobId, 2));
  assert.ok(isStored('running'));
});

// Guards against a second run of a job whose record is older than its tasks.
for (const state of ['running', 'finished'] as const) {
  test(`tasks seen ${state} take precedence over a queued record`, async () => {
    placeGang('gang-1', [state, state]);
    store.seed(job);
    const scheduler = addScheduler();
    scheduler.controller.start();
    await waitUntil('the state is stored', () => isStored(state));
    assert.equal(scheduler.planner.adopted.length, 1);
    assert.deepEqual(workers.releases, []);
  });
}

// Guards against a second run of a finished job whose removal was interrupted
// while the record is unavailable.
test('a partially removed gang is not run again without its record', async () => {
  placeGang('gang-1', ['finished', 'absent']);
  store.seed({...job, state: 'finished', sequence: 3});
  store.unavailable = true;
  const scheduler = addScheduler();
  scheduler.controller.start();
  await waitUntil('adoption has ended', () => scheduler.hasEvent('placing'));
  await waitUntil(
    'the job is known',
    () => scheduler.controller.jobs().length === 1,
  );
  for (let turn = 0; turn < 50; turn += 1) await new Promise(setImmediate);
  assert.deepEqual(scheduler.planner.queue, []);
  assert.equal(scheduler.planner.placements.size, 0);
  store.unavailable = false;
  await waitUntil(
    'the remaining task is removed',
    () => workers.tasksOf(jobId).length === 0,
  );
  assert.equal(scheduler.state(jobId), 'finished');
  assert.equal(store.written.length, 0);
});

// Guards against a second run of a job that may already be running on a worker
// that could not be read. Without the store, this includes queued jobs.
for (const [state, storeDown] of [
  ['running', false],
  ['queued', true],
] as const) {
  test(`a ${state} job waits for an unread worker that may be running it`, async () => {
    placeGang('gang-1', ['running']);
    const shape = {tasks: 1, acceleratorsPerTask: 8};
    const record: JobRecord = {...job, shape, state};
    if (!storeDown) store.seed(record);
    store.unavailable = storeDown;
    workers.fault = (_, worker) => (worker === w0 ? 'requestLost' : undefined);
    const scheduler = addScheduler({adoptionBoundMs: 20});
    scheduler.controller.start();
    scheduler.controller.submitJob(record);
    await waitUntil('placing begins', () => scheduler.hasEvent('placing'));
    for (let turn = 0; turn < 50; turn += 1) await new Promise(setImmediate);
    assert.equal(scheduler.planner.placements.size, 0);
    workers.fault = () => undefined;
    await waitUntil(
      'it is adopted',
      () => scheduler.planner.adopted.length === 1,
    );
    assert.deepEqual(workers.releases, []);
  });
}

// Guards against two starts of a job that the store would have prevented, and
// against a queued record of a job that has held tasks.
test('a gang is held only after its record is stored', async () => {
  store.writeDurationMs = 20;
  const statesAtHold: unknown[] = [];
  workers.fault = (call) => {
    if (call === 'hold') statesAtHold.push(store.record(jobId)?.state);
    return undefined;
  };
  await startJob();
  assert.deepEqual(statesAtHold, ['starting', 'starting']);
});

// Guards against two gangs of one job that both keep running after a partition.
// All schedulers must keep the same one.
for (const [gang, kept] of [
  ['a-gang', 'the found'],
  ['z-gang', 'the own'],
] as const) {
  test(`of ${gang} and an own gang, ${kept} one keeps running`, async () => {
    const scheduler = await startJob();
    placeGang(gang, ['running', 'running'], 2);
    await waitUntil('one is left', () => workers.tasksOf(jobId).length === 2);
    const isFound = workers.tasksOf(jobId)[0]?.gangId === gang;
    assert.equal(isFound, kept === 'the found');
    await waitUntil('the planner accounts for one gang', () => {
      return scheduler.planner.placements.size === 1;
    });
    assert.ok(workers.isRunning(jobId, 2));
  });
}

// Guards against two schedulers that both run a job although the store is
// available to arbitrate.
test('two schedulers with the store run each job once', async () => {
  const jobs = Array.from({length: 6}, (_, index) =>
    jobRecord(`job-${index}`, 1 + (index % 3)),
  );
  jobs.forEach((record) => store.seed(record));
  // A scheduler that gives up on the other's start after gangSkewBoundMs may run
  // the job again; the test options keep that bound from expiring.
  for (let index = 0; index < 2; index += 1) {
    addScheduler().controller.start();
  }
  await waitUntil('all jobs have finished', () => {
    jobs.forEach(({jobId: id, shape}) => {
      if (workers.isRunning(id, shape.tasks)) workers.endTasks(id, 'finished');
    });
    return jobs.every(({jobId: id}) => isStored('finished', id));
  });
  assert.deepEqual(workers.duplicateRuns, []);
});

// Guards against two schedulers without a store that permanently leave two gangs
// of a job, or an incomplete gang, running.
test('two schedulers without the store converge once one stops', async () => {
  store.unavailable = true;
  const jobs = [0, 1, 2].map((index) => jobRecord(`job-${index}`, 2));
  const options = {gangSkewBoundMs: 50};
  const [first, second] = [addScheduler(options), addScheduler(options)];
  for (const {controller} of [first, second]) {
    controller.start();
    jobs.forEach((record) => controller.submitJob(record));
  }
  await waitUntil(
    'at least two tasks were released',
    () => workers.releases.length >= 2,
  );
  first.controller.stop();
  await waitUntil('the workers run complete gangs of different jobs', () => {
    const running = jobs.filter(({jobId: id}) => workers.isRunning(id, 2));
    const tasks = jobs.flatMap(({jobId: id}) => workers.tasksOf(id));
    return running.length === 2 && tasks.length === 4;
  });
});
