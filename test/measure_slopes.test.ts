/**
 * Tests the tools behind the figures of `docs/CAPACITY.md`: the line fit, the
 * metrics parser, which must not read a misspelt gauge as 0, and the synthetic
 * workers and gangs, which must be those of the measured site.
 */

import assert from 'node:assert/strict';
import {test} from 'node:test';
import {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import {fitLine} from '../src/measure/fit.js';
import {MetricsText} from '../src/measure/metrics_text.js';
import {
  MEASURED_ZONE,
  syntheticConfiguration,
  syntheticGangs,
  syntheticWorkers,
} from '../src/measure/synthetic_zone.js';
import {configurationSchema} from '../src/model/configuration.js';
import {WorkerFleetAdmin} from '../src/standins/admin_client.js';
import {StandinProcess} from '../src/standins/launcher.js';
import {HttpWorkerClient} from '../src/transport/http_worker_client.js';
import {taskSpecification, workerVm} from './standins_support.js';

test('the line fit separates the idle base from the slope', () => {
  const exact = fitLine([2, 4, 9].map((x) => ({x, y: 7 + 3 * x})));
  assert.ok(Math.abs(exact.base - 7) < 1e-9);
  assert.ok(Math.abs(exact.slope - 3) < 1e-9);
  assert.ok(exact.residual < 1e-9);
  const bent = fitLine([
    {x: 0, y: 0},
    {x: 1, y: 3},
    {x: 2, y: 0},
  ]);
  assert.deepEqual([bent.base, bent.slope], [1, 0]);
  assert.ok(Math.abs(bent.residual - Math.sqrt(2)) < 1e-9);
  assert.throws(() => fitLine([{x: 1, y: 1}]), /two different sizes/);
});

test('metrics are read by name and labels, and unknown gauges throw', () => {
  const metrics = new MetricsText(
    '# HELP size Size.\nsize 12.5\ncalls{party="store",result="ok"} 3e2\n\n',
  );
  assert.equal(metrics.gauge('size'), 12.5);
  assert.equal(metrics.counter('calls{party="store",result="ok"}'), 300);
  assert.equal(metrics.counter('calls{party="peer",result="ok"}'), 0);
  assert.throws(() => metrics.gauge('sise'), /sise/);
  assert.throws(() => new MetricsText('no sample here'), /no sample/);
});

test('the synthetic zone has the requested size and no shared accelerator', () => {
  const {gangs, records} = syntheticGangs(2_200);
  const tasks = gangs.flat();
  assert.equal(tasks.length, 2_200);
  assert.equal(records.length, gangs.length);
  const placements = tasks.map(({taskId, members, accelerators}) => {
    const own = members.find((member) => member.taskId === taskId);
    return `${own?.workerId} ${accelerators.join()}`;
  });
  assert.equal(new Set(placements).size, tasks.length);
  const workerIds = new Set<string>(
    syntheticWorkers(540).map(({vmId}) => vmId),
  );
  assert.ok(
    placements.every((placement) =>
      workerIds.has(placement.split(' ')[0] ?? ''),
    ),
  );
  const configuration = syntheticConfiguration(700);
  assert.equal(configurationSchema.parse(configuration).customers.length, 700);
});

test('one process serves several workers, each with its own tasks', async (t) => {
  const scope = new CleanupScope();
  t.after(() => scope.close());
  const workerIds = ['worker-1', 'worker-2', 'worker-3'];
  const fleet = await StandinProcess.start(scope, 'workerFleet', {workerIds});
  const admin = new WorkerFleetAdmin(scope, fleet.adminAddress);
  const task = taskSpecification({runTimeMs: 1e12});
  await admin.runTasks([task]);
  const client = new HttpWorkerClient(scope);
  const lists = await Promise.all(
    workerIds.map(async (vmId) => {
      const list = await client.listTasks(
        workerVm(fleet.linkAddress(vmId), vmId),
      );
      return list.unwrapOrElse((error) => assert.fail(error.message));
    }),
  );
  assert.deepEqual(
    lists.map(({workerId}) => workerId),
    workerIds,
  );
  assert.deepEqual(
    lists.map(({tasks}) => tasks.map(({taskId, state}) => [taskId, state])),
    [[[task.taskId, 'running']], [], []],
  );
  const taskWithoutMembers = {...task, members: []};
  await assert.rejects(admin.runTasks([taskWithoutMembers]));
  assert.equal(syntheticWorkers(1)[0]?.availabilityZone, MEASURED_ZONE);
});
