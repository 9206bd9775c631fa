/**
 * Guards against full task lists in answers of worker watches that changed
 * nothing, which would exceed a daemon's traffic budget at the target size, and
 * against a list that is mistaken for one of another run of the worker.
 */

import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {TestContext} from 'node:test';
import PQueue from 'p-queue';
import {WorkerTable} from '../src/controllers/worker_table.js';
import {DEFAULT_ZONE_OPTIONS} from '../src/controllers/zone_options.js';
import {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import {SystemClock} from '../src/lifecycle/clock.js';
import {SeededRandom} from '../src/lifecycle/random.js';
import {trustedId} from '../src/model/ids.js';
import type {TaskId, VmId} from '../src/model/ids.js';
import type {TaskList} from '../src/model/jobs.js';
import {CellZonePlanner} from '../src/scheduling/cell_zone_planner.js';
import {StandinProcess} from '../src/standins/launcher.js';
import {HttpWorkerClient} from '../src/transport/http_worker_client.js';
import {
  encodeTaskList,
  taskListMessageSchema,
} from '../src/transport/http_protocol.js';
import {TrafficCounter} from '../src/transport/traffic_counter.js';
import {
  LONG_TIMEOUT_MS,
  taskSpecification,
  workerVm,
} from './standins_support.js';

const OTHER_TASKS = 40;

async function startWorker(t: TestContext) {
  const scope = new CleanupScope();
  t.after(() => scope.close());
  const standin = await StandinProcess.start(scope, 'worker', {
    workerId: 'worker-1',
  });
  const traffic = new TrafficCounter();
  const client = new HttpWorkerClient(scope, {
    callTimeoutMs: LONG_TIMEOUT_MS,
    traffic,
  });
  const worker = workerVm(standin.address);
  for (let index = 0; index < OTHER_TASKS; index += 1) {
    (await client.hold(worker, taskSpecification())).unwrapOrElse(fail);
  }
  const watch = async (known: TaskList) => {
    const {version} = known;
    const list = client.watchTasks(
      worker,
      version,
      1,
      LONG_TIMEOUT_MS,
      scope.signal,
      known,
    );
    return (await list).unwrapOrElse(fail);
  };
  const list = (await client.listTasks(worker)).unwrapOrElse(fail);
  return {scope, client, worker, traffic, watch, list};
}

function fail(error: Error): never {
  throw error;
}

test('a watch omits a list that the caller already has', async (t) => {
  const {client, worker, traffic, watch, list} = await startWorker(t);
  const before = traffic.totals().receivedBytes;
  const again = await watch(list);
  assert.ok(traffic.totals().receivedBytes - before < 500);
  assert.equal(again.tasks, list.tasks);
  assert.deepEqual(again, list);
  (await client.hold(worker, taskSpecification())).unwrapOrElse(fail);
  assert.equal((await watch(list)).tasks.length, OTHER_TASKS + 1);
});

test('a watch sends the list if the same version is of another run', async (t) => {
  const {watch, list} = await startWorker(t);
  const ofFormerRun = {...list, runId: 'former-run', tasks: []};
  assert.deepEqual(await watch(ofFormerRun), list);
});

test('a watch that ends without a change is reported as unchanged', async (t) => {
  const {scope, client, worker} = await startWorker(t);
  const seen: boolean[] = [];
  const table = new WorkerTable(
    {
      client,
      queue: new PQueue(),
      planner: new CellZonePlanner({
        availabilityZone: trustedId('zone-a'),
        starvationBoundMs: LONG_TIMEOUT_MS,
      }),
      clock: new SystemClock(),
      random: new SeededRandom(1),
      options: {...DEFAULT_ZONE_OPTIONS, watchWaitMs: 1},
      listener: {zoneEvent: () => {}},
      scope,
    },
    {
      handleList: (_list, _requestedAt, changed) => seen.push(changed),
      workerLost: () => assert.fail('the worker is present'),
      isManaged: () => true,
    },
  );
  table.setVms([worker]);
  while (seen.length < 3) await scope.sleep(1);
  const before = seen.length;
  (await client.hold(worker, taskSpecification())).unwrapOrElse(fail);
  while (!seen.slice(before).includes(true)) await scope.sleep(1);
  assert.equal(seen.filter((changed) => changed).length, 2);
  assert.equal(seen[0], true);
});

test('members are sent once per gang and restored for each task', () => {
  const members = Array.from({length: 64}, (_, index) => ({
    taskId: trustedId<TaskId>(`task-${index}`),
    workerId: trustedId<VmId>('worker-1'),
  }));
  const tasks = members.slice(0, 8).map(({taskId}) => ({
    ...taskSpecification({}, {taskId, members: structuredClone(members)}),
    state: 'running' as const,
  }));
  const heldTask = {...taskSpecification(), state: 'held' as const};
  const list: TaskList = {
    workerId: trustedId('worker-1'),
    version: 1,
    leaving: false,
    // One gang id with two member lists is malformed but must survive as is.
    tasks: [heldTask, ...tasks],
  };
  const sent = JSON.stringify(encodeTaskList(list));
  assert.ok(sent.length < JSON.stringify(list).length / 4);
  const read = taskListMessageSchema.parse(JSON.parse(sent));
  assert.deepEqual(read, list);
  assert.equal(read.tasks[1]?.members, read.tasks[8]?.members);
  assert.deepEqual(taskListMessageSchema.parse(list), list);
  const withoutMembers = {...list, tasks: [{...heldTask, members: undefined}]};
  assert.equal(taskListMessageSchema.safeParse(withoutMembers).success, false);
});
