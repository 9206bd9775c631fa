/** Lost workers, an absent store, takeovers and concurrent schedulers. */

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

/** Puts a gang on workers as another scheduler left it. */
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

// Guards against a gang that runs on without a member, and against tasks of a
// worker that comes back and is given new work on top of them.
test('the gang of a silent worker moves; leftovers are removed', async () => {
  const scheduler = await startJob({workerLostAfterMs: 50});
  workers.fault = (_, worker) => (worker === w0 ? 'requestLost' : undefined);
  await waitUntil('the gang moved', () => store.record(jobId)?.attempts === 2);
  workers.fault = () => undefined;
  await waitUntil('the leftover is gone', () => workers.isRunning(jobId, 2));
  await waitUntil('the worker is used again', () => {
    return scheduler.planner.workers.get(vms[0]!.vmId)?.acceptsTasks === true;
  });
});

// Guards against a connection that stays open and never answers.
test('a worker that leaves its watch open is lost', async () => {
  const scheduler = addScheduler({workerLostAfterMs: 20, watchOverrunMs: 20});
  workers.fault = () => 'silent';
  scheduler.controller.start();
  await waitUntil('the worker is lost', () => scheduler.hasEvent('workerLost'));
});

// Guards against gangs that wait for a VM which the platform has given up.
test('a gang moves when the VM list says that a worker is gone', async () => {
  const scheduler = await startJob();
  workers.fault = (_, worker) => (worker === w0 ? 'silent' : undefined);
  scheduler.controller.setWorkers(vms.slice(1));
  await waitUntil('the gang moved', () => store.record(jobId)?.attempts === 2);
  assert.ok(scheduler.hasEvent('workerLost'));
});

// Guards against work that is cut when its VM leaves, and against new work on
// a VM that is leaving.
test('a gang on a leaving worker is set aside and moves', async () => {
  const scheduler = await startJob();
  workers.announceLeaving(vms[0]!.vmId);
  await waitUntil('the gang moved', () => store.record(jobId)?.attempts === 2);
  await waitUntil('it runs', () => workers.isRunning(jobId, 2));
  assert.equal(workers.worker(vms[0]!.vmId).tasks.size, 0);
  assert.equal(scheduler.planner.ends[0]?.kind, 'setAside');
  assert.ok(store.record(jobId)?.checkpoint);
});

// Guards against a lost end: without the store the tasks on the worker are the
// only proof. Guards the returning store against a surge.
test('ends are kept while the store is away and written after', async () => {
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

// Guards against jobs that run only while the store is there, and against
// accepted jobs that are never written.
test('a job that is handed over during an outage runs', async () => {
  store.unavailable = true;
  const scheduler = addScheduler();
  scheduler.controller.start();
  assert.ok(scheduler.controller.submitJob(job).isOk);
  assert.ok(scheduler.controller.submitJob(job).isOk);
  await waitUntil('the gang runs', () => workers.isRunning(jobId, 2));
  store.unavailable = false;
  await waitUntil('it is written', () => isStored('running'));
});

// Guards against a lost answer that is taken for a failed write, after which
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

// Guards against a start that is left half done when its scheduler ends.
for (const call of ['hold', 'list', 'release'] as const) {
  test(`a takeover at the first ${call} leaves one whole gang`, async () => {
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

// Guards against a scheduler that goes on deciding after it lost the zone,
// and against running work that is cut with it.
test('a stopped scheduler makes no call; its tasks run on', async () => {
  const scheduler = await startJob();
  scheduler.controller.stop();
  await new Promise(setImmediate);
  await waitUntil('no call is left', () => workers.callsInProgress === 0);
  let calls = 0;
  workers.fault = () => {
    calls += 1;
    return undefined;
  };
  const waiting = vms.map(({vmId}) => workers.worker(vmId).waiters.size);
  assert.deepEqual(waiting, [0, 0, 0, 0]);
  workers.endTasks(jobId, 'failed', 1);
  for (let turn = 0; turn < 50; turn += 1) await new Promise(setImmediate);
  assert.equal(calls, 0);
  assert.equal(workers.tasksOf(jobId).length, 2);
  assert.ok(scheduler.controller.cancelJob(jobId).isErr);
});

// Guards against an old term that cuts the next one off from its records.
test('a scheduler that loses and regains the zone goes on', async () => {
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

// Guards against a planned stop that cuts a start or drops a record.
test('a graceful stop completes the start under way', async () => {
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
  test(`tasks seen ${state} go before a queued record`, async () => {
    placeGang('gang-1', [state, state]);
    store.seed(job);
    const scheduler = addScheduler();
    scheduler.controller.start();
    await waitUntil('the state is stored', () => isStored(state));
    assert.equal(scheduler.planner.adopted.length, 1);
    assert.deepEqual(workers.releases, []);
  });
}

// Guards against a second run of a finished job whose removal was cut short
// while the record is out of reach.
test('a half removed gang is not run again without its record', async () => {
  placeGang('gang-1', ['finished', 'absent']);
  store.seed({...job, state: 'finished', sequence: 3});
  store.unavailable = true;
  const scheduler = addScheduler();
  scheduler.controller.start();
  await waitUntil('the tasks were judged', () => scheduler.hasEvent('placing'));
  await waitUntil(
    'the job is known',
    () => scheduler.controller.jobs().length === 1,
  );
  for (let turn = 0; turn < 50; turn += 1) await new Promise(setImmediate);
  assert.deepEqual(scheduler.planner.queue, []);
  assert.equal(scheduler.planner.placements.size, 0);
  store.unavailable = false;
  await waitUntil(
    'the rest is removed',
    () => workers.tasksOf(jobId).length === 0,
  );
  assert.equal(scheduler.state(jobId), 'finished');
  assert.equal(store.written.length, 0);
});

// Guards against a second run on a worker that could not be read: the job may
// run there already. Without the store that holds for queued jobs too.
for (const [state, storeDown] of [
  ['running', false],
  ['queued', true],
] as const) {
  test(`a ${state} job waits for a worker that may run it`, async () => {
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

// Guards against two starts of a job that the store would have told apart, and
// against a queued record of a job of which something is held.
test('a gang is held only after its record is stored', async () => {
  store.writeDurationMs = 20;
  const seen: unknown[] = [];
  workers.fault = (call) => {
    if (call === 'hold') seen.push(store.record(jobId)?.state);
    return undefined;
  };
  await startJob();
  assert.deepEqual(seen, ['starting', 'starting']);
});

// Guards against two gangs of one job that run on after a partition. All
// schedulers have to keep the same one.
for (const [gang, kept] of [
  ['a-gang', 'the found'],
  ['z-gang', 'the own'],
] as const) {
  test(`of ${gang} and an own gang, ${kept} one runs on`, async () => {
    const scheduler = await startJob();
    placeGang(gang, ['running', 'running'], 2);
    await waitUntil('one is left', () => workers.tasksOf(jobId).length === 2);
    const isFound = workers.tasksOf(jobId)[0]?.gangId === gang;
    assert.equal(isFound, kept === 'the found');
    await waitUntil('the planner counts it', () => {
      return scheduler.planner.placements.size === 1;
    });
    assert.ok(workers.isRunning(jobId, 2));
  });
}

// Guards against two schedulers that run one job twice although the store
// could tell them apart.
test('two schedulers with the store run each job once', async () => {
  const jobs = Array.from({length: 6}, (_, index) =>
    jobRecord(`job-${index}`, 1 + (index % 3)),
  );
  jobs.forEach((record) => store.seed(record));
  // A scheduler that judges the other's start lost after gangSkewBoundMs may
  // run the job again; the bound does not pass here.
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

// Guards against two schedulers without a store that leave two gangs of a job,
// or a part of one, running for good.
test('two schedulers without the store agree once one stops', async () => {
  store.unavailable = true;
  const jobs = [0, 1, 2].map((index) => jobRecord(`job-${index}`, 2));
  const options = {gangSkewBoundMs: 50};
  const [first, second] = [addScheduler(options), addScheduler(options)];
  for (const {controller} of [first, second]) {
    controller.start();
    jobs.forEach((record) => controller.submitJob(record));
  }
  await waitUntil('something runs', () => workers.releases.length >= 2);
  first.controller.stop();
  await waitUntil('the workers hold whole gangs of different jobs', () => {
    const running = jobs.filter(({jobId: id}) => workers.isRunning(id, 2));
    const tasks = jobs.flatMap(({jobId: id}) => workers.tasksOf(id));
    return running.length === 2 && tasks.length === 4;
  });
});
