/**
 * Checks the properties of workers that the gang protocol relies on, and guards
 * against failed calls to workers that are reported as the wrong kind of error.
 */

import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import type {Result} from 'true-myth';
import {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import {hadNoEffect} from '../src/model/errors.js';
import type {CallError} from '../src/model/errors.js';
import {trustedId} from '../src/model/ids.js';
import type {TaskId} from '../src/model/ids.js';
import type {TaskList, TaskSpecification} from '../src/model/jobs.js';
import type {WorkerVm} from '../src/interfaces/vm_list.js';
import {NO_LIST_VERSION} from '../src/interfaces/worker_client.js';
import {WorkerAdmin} from '../src/standins/admin_client.js';
import {StandinProcess} from '../src/standins/launcher.js';
import {HttpWorkerClient} from '../src/transport/http_worker_client.js';
import {TrafficCounter} from '../src/transport/traffic_counter.js';
import {
  LONG_TIMEOUT_MS,
  SHORT_TIMEOUT_MS,
  taskSpecification,
  workerVm,
} from './standins_support.js';

/** Longer than any test. */
const ENDLESS = {runTimeMs: 600_000};

let scope: CleanupScope;
let standin: StandinProcess;
let admin: WorkerAdmin;
let worker: WorkerVm;
let client: HttpWorkerClient;

beforeEach(async () => {
  scope = new CleanupScope();
  standin = await StandinProcess.start(scope, 'worker', {
    workerId: 'worker-1',
  });
  admin = new WorkerAdmin(scope, standin.adminAddress);
  worker = workerVm(standin.address);
  client = new HttpWorkerClient(scope, {callTimeoutMs: LONG_TIMEOUT_MS});
});

afterEach(() => scope.close());

async function expectOk<T>(call: Promise<Result<T, CallError>>): Promise<T> {
  return (await call).unwrapOrElse((error) => {
    throw error;
  });
}

async function expectError<T>(
  call: Promise<Result<T, CallError>>,
): Promise<CallError> {
  const result = await call;
  assert.ok(result.isErr, 'the call succeeded');
  return result.error;
}

async function holdAndRelease(task: TaskSpecification): Promise<void> {
  await expectOk(client.hold(worker, task));
  assert.equal(await expectOk(client.release(worker, task.taskId)), true);
}

/** Returns the events of a task so far. */
function eventsOf(taskId: TaskId): string[] {
  return standin.events.flatMap((event) =>
    'taskId' in event && event.taskId === taskId ? [event.event] : [],
  );
}

async function waitForTaskEvent(taskId: TaskId, event: string): Promise<void> {
  await standin.waitForEvent(
    (known) =>
      'taskId' in known && known.taskId === taskId && known.event === event,
  );
}

describe('holds', () => {
  it('a held task is listed immediately and runs only when released', async () => {
    const task = taskSpecification({runTimeMs: 1});
    await expectOk(client.hold(worker, task));
    const held = await expectOk(client.listTasks(worker));
    assert.deepEqual(held.tasks, [{...task, state: 'held'}]);
    assert.equal(held.drawWatts, 400);
    assert.equal(await expectOk(client.release(worker, task.taskId)), true);
    await waitForTaskEvent(task.taskId, 'finished');
    const list = await expectOk(client.listTasks(worker));
    assert.equal(list.tasks[0]?.state, 'finished');
    assert.deepEqual(eventsOf(task.taskId), ['held', 'released', 'finished']);
  });

  it('an id that was held or removed is refused permanently', async () => {
    const task = taskSpecification(ENDLESS);
    await expectOk(client.hold(worker, task));
    assert.equal(
      (await expectError(client.hold(worker, task))).kind,
      'refused',
    );
    await expectOk(client.remove(worker, task.taskId));
    assert.equal(
      (await expectError(client.hold(worker, task))).kind,
      'refused',
    );
    // The same holds for an id that was removed before its hold arrived.
    const late = taskSpecification(ENDLESS);
    await expectOk(client.remove(worker, late.taskId));
    assert.equal(
      (await expectError(client.hold(worker, late))).kind,
      'refused',
    );
    assert.equal(await expectOk(client.release(worker, late.taskId)), false);
    assert.deepEqual((await admin.tasks()).tasks, []);
  });

  it('a hold whose answer is lost is listed and reported as an unknown effect', async () => {
    await admin.setFaults({loseWriteAnswers: 1});
    const task = taskSpecification(ENDLESS);
    const error = await expectError(client.hold(worker, task));
    assert.equal(error.kind, 'unknown-effect');
    assert.equal(hadNoEffect(error), false);
    const list = await expectOk(client.listTasks(worker));
    assert.equal(list.tasks[0]?.taskId, task.taskId);
  });

  it('an unresponsive worker is a timeout, a stopped or leaving one had no effect', async () => {
    const shortTimeoutClient = new HttpWorkerClient(scope, {
      callTimeoutMs: SHORT_TIMEOUT_MS,
    });
    await admin.setFaults({silent: true});
    const held = shortTimeoutClient.hold(worker, taskSpecification());
    assert.equal((await expectError(held)).kind, 'timeout');
    await admin.setFaults({});
    await admin.setBehaviour({leaving: true});
    const refused = client.hold(worker, taskSpecification());
    assert.equal((await expectError(refused)).kind, 'refused');
    assert.equal((await expectOk(client.listTasks(worker))).leaving, true);
    await standin.kill();
    const stoppedWorker = {...worker, address: standin.address};
    const stopped = client.hold(stoppedWorker, taskSpecification());
    const error = await expectError(stopped);
    // A pooled connection may break during the call; a new one cannot open.
    if (error.kind !== 'unavailable') {
      assert.equal(error.kind, 'unknown-effect');
      const again = client.hold(stoppedWorker, taskSpecification());
      assert.equal((await expectError(again)).kind, 'unavailable');
    }
  });

  it('capacity is not checked: two tasks on the same accelerators both run', async () => {
    const tasks = [taskSpecification(ENDLESS), taskSpecification(ENDLESS)];
    for (const task of tasks) await holdAndRelease(task);
    const list = await expectOk(client.listTasks(worker));
    assert.deepEqual(
      list.tasks.map((task) => task.state),
      ['running', 'running'],
    );
    assert.equal(list.drawWatts, 400 + 4 * 350);
  });
});

describe('lists', () => {
  it('a list of another worker at the same address is rejected', async () => {
    const other = workerVm(standin.address, 'worker-2');
    const error = await expectError(client.listTasks(other));
    assert.equal(error.kind, 'protocol');
  });

  it('a watch returns on a change, and immediately if its version is not current', async () => {
    const watch = (after: number): Promise<Result<TaskList, CallError>> =>
      client.watchTasks(
        worker,
        after,
        LONG_TIMEOUT_MS,
        LONG_TIMEOUT_MS,
        scope.signal,
      );
    const before = await expectOk(client.listTasks(worker));
    const waiting = expectOk(watch(before.version));
    await expectOk(client.hold(worker, taskSpecification(ENDLESS)));
    const list = await waiting;
    assert.equal(list.tasks.length, 1);
    // A restarted worker counts from 0, so a version may be ahead of the list.
    assert.deepEqual(await expectOk(watch(list.version + 9)), list);
  });
});

describe('tasks', () => {
  it('fail at the end if the payload says so, immediately on a faulty worker', async () => {
    const bad = taskSpecification({runTimeMs: 1, fail: true});
    await holdAndRelease(bad);
    await waitForTaskEvent(bad.taskId, 'failed');
    await admin.setBehaviour({failTasks: true});
    const good = taskSpecification(ENDLESS);
    await holdAndRelease(good);
    await waitForTaskEvent(good.taskId, 'failed');
  });

  it('make no progress at share 0 and continue at a higher share', async () => {
    const task = taskSpecification({runTimeMs: 60_000});
    await holdAndRelease(task);
    await expectOk(client.throttle(worker, task.taskId, 0));
    const first = await expectOk(
      client.checkpoint(worker, task.taskId, LONG_TIMEOUT_MS),
    );
    await new Promise((resolve) => setTimeout(resolve, SHORT_TIMEOUT_MS));
    const next = await expectOk(
      client.checkpoint(worker, task.taskId, LONG_TIMEOUT_MS),
    );
    assert.equal(next, first);
    assert.equal((await admin.tasks()).drawWatts, 400);
    await expectOk(client.throttle(worker, task.taskId, 1));
    assert.equal((await admin.tasks()).drawWatts, 400 + 2 * 350);
  });

  it('resume from a checkpoint with the remaining run time', async () => {
    const task = taskSpecification({runTimeMs: 60_000});
    await holdAndRelease(task);
    const checkpoint = await expectOk(
      client.checkpoint(worker, task.taskId, LONG_TIMEOUT_MS),
    );
    await expectOk(client.remove(worker, task.taskId));
    await waitForTaskEvent(task.taskId, 'removed');
    assert.deepEqual(eventsOf(task.taskId), [
      'held',
      'released',
      'checkpointed',
      'removed',
    ]);
    // The checkpoint's name includes the remaining time, so that any worker can
    // resume it.
    const remaining = Number(checkpoint.split(':').at(-1));
    assert.ok(remaining > 0 && remaining <= 60_000, checkpoint);
    const short = taskSpecification(ENDLESS, {
      checkpoint: checkpoint.replace(String(remaining), '1'),
    });
    await holdAndRelease(short);
    await waitForTaskEvent(short.taskId, 'finished');
  });

  it('an unknown task cannot be checkpointed or throttled', async () => {
    const id = trustedId<TaskId>('task-unknown');
    const checkpoint = client.checkpoint(worker, id, LONG_TIMEOUT_MS);
    assert.equal((await expectError(checkpoint)).kind, 'not-found');
    const throttle = client.throttle(worker, id, 0.5);
    assert.equal((await expectError(throttle)).kind, 'not-found');
  });

  it('a checkpoint that takes longer than its limit is a timeout', async () => {
    await admin.setBehaviour({checkpointMs: LONG_TIMEOUT_MS});
    const task = taskSpecification(ENDLESS);
    await holdAndRelease(task);
    const checkpoint = client.checkpoint(worker, task.taskId, SHORT_TIMEOUT_MS);
    assert.equal((await expectError(checkpoint)).kind, 'timeout');
  });
});

describe('leases', () => {
  it('a lapse checkpoints running tasks and stops running and held ones', async () => {
    const running = taskSpecification(ENDLESS);
    const held = taskSpecification(ENDLESS);
    await holdAndRelease(running);
    await expectOk(client.hold(worker, held));
    const {signal} = scope;
    await expectOk(client.watchTasks(worker, 0, 0, SHORT_TIMEOUT_MS, signal));
    await waitForTaskEvent(running.taskId, 'leaseLapsed');
    await waitForTaskEvent(held.taskId, 'leaseLapsed');
    assert.deepEqual(eventsOf(running.taskId).slice(2), [
      'checkpointed',
      'leaseLapsed',
    ]);
    const list = await expectOk(client.listTasks(worker));
    assert.deepEqual(
      list.tasks.map((task) => task.state),
      ['failed', 'failed'],
    );
    assert.match(list.tasks[0]?.checkpoint ?? '', /^checkpoint:/);
    assert.equal(await expectOk(client.release(worker, held.taskId)), true);
    assert.deepEqual(eventsOf(held.taskId), ['held', 'leaseLapsed']);
  });

  it('a renewed lease does not lapse at its previous end', async () => {
    const leaseMs = 2_000;
    const task = taskSpecification({runTimeMs: leaseMs + SHORT_TIMEOUT_MS});
    await holdAndRelease(task);
    const {signal} = scope;
    await expectOk(client.watchTasks(worker, 0, 0, leaseMs, signal));
    await expectOk(client.watchTasks(worker, 0, 0, LONG_TIMEOUT_MS, signal));
    await waitForTaskEvent(task.taskId, 'finished');
  });
});

describe('a worker that has not run a task yet', () => {
  it('answers the first watch immediately, so that a takeover can proceed', async () => {
    const {signal} = new AbortController();
    const list = await expectOk(
      client.watchTasks(
        worker,
        NO_LIST_VERSION,
        LONG_TIMEOUT_MS,
        LONG_TIMEOUT_MS,
        signal,
      ),
    );
    assert.deepEqual(list.tasks, []);
  });
});

describe('a client that counts its traffic', () => {
  it('reports a stopped worker as unavailable and does not crash', async () => {
    const counted = new HttpWorkerClient(scope, {
      callTimeoutMs: LONG_TIMEOUT_MS,
      traffic: new TrafficCounter(),
    });
    await standin.kill();
    const error = await expectError(counted.listTasks(worker));
    assert.equal(error.kind, 'unavailable');
  });
});
