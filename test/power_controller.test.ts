/**
 * Guards against jobs that lose their work because they are still running when
 * the generator's fuel is used up.
 */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {PowerController} from '../src/controllers/power_controller.js';
import type {PowerCandidate} from '../src/controllers/power_controller.js';
import {instant} from '../src/model/ids.js';
import {jobRecordSchema, taskListSchema} from '../src/model/jobs.js';
import type {TaskList} from '../src/model/jobs.js';

const MINUTE_MS = 60_000;
const NOW = instant(10_000_000);

function job(
  jobId: string,
  runTimeMs: number,
  guaranteed = false,
): PowerCandidate {
  const record = jobRecordSchema.parse({
    jobId,
    customerId: 'owner',
    workClassId: 'bake',
    availabilityZone: 'zone-a',
    shape: {tasks: 1, acceleratorsPerTask: 8},
    urgency: 'normal',
    declaredRunTimeMs: runTimeMs,
    payload: '',
    submittedAt: NOW,
    state: 'running',
    reason: 'started',
    sequence: 1,
    attempts: 1,
    startedAt: NOW,
  });
  return {record, guaranteed};
}

/** A worker that runs the job on 8 accelerators, and one that is idle. */
function lists(jobIds: readonly string[], busyWatts: number): TaskList[] {
  const task = (jobId: string) => ({
    taskId: `task-${jobId}`,
    gangId: `gang-${jobId}`,
    jobId,
    customerId: 'owner',
    workClassId: 'bake',
    members: [{taskId: `task-${jobId}`, workerId: 'worker-1'}],
    accelerators: [0, 1, 2, 3, 4, 5, 6, 7],
    guaranteed: false,
    payload: '',
    state: 'running',
  });
  const busy = jobIds.map((jobId) => ({
    workerId: `worker-${jobId}`,
    version: 1,
    leaving: false,
    tasks: [task(jobId)],
    drawWatts: busyWatts,
  }));
  const idle = {workerId: 'idle', version: 1, leaving: false, tasks: []};
  return [...busy, {...idle, drawWatts: 400}].map((list) =>
    taskListSchema.parse(list),
  );
}

function controller(fuelKilowattHours: number, fuelShare = 1) {
  const power = new PowerController({
    checkpointMs: 1_000,
    estimateRunTimeMs: (record) => record.declaredRunTimeMs,
    fuelShare: () => fuelShare,
  });
  power.setPower({supply: 'generator', fuelKilowattHours, measuredAt: NOW});
  return power;
}

describe('power controller on the generator', () => {
  it('preempts the job that cannot finish and keeps the other', () => {
    const running = [job('short', 5 * MINUTE_MS), job('long', 600 * MINUTE_MS)];
    const preempted = controller(3).jobsToPreempt(
      running,
      lists(['short', 'long'], 3_200),
      NOW,
    );
    assert.deepEqual(preempted, ['long']);
  });

  it('reserves scarce fuel for the guaranteed job', () => {
    const running = [
      job('borrower', 20 * MINUTE_MS),
      job('owner', 20 * MINUTE_MS, true),
    ];
    const preempted = controller(3.2).jobsToPreempt(
      running,
      lists(['borrower', 'owner'], 3_200),
      NOW,
    );
    assert.deepEqual(preempted, ['borrower']);
  });

  it('uses only the fuel share of the zone', () => {
    const running = [job('short', 5 * MINUTE_MS)];
    const seen = lists(['short'], 3_200);
    assert.equal(controller(3).jobsToPreempt(running, seen, NOW).length, 0);
    const quarter = controller(3, 0.25).jobsToPreempt(running, seen, NOW);
    assert.deepEqual(quarter, ['short']);
  });

  it('does not start a job that the fuel does not suffice for', () => {
    const power = controller(3);
    power.jobsToPreempt([], lists([], 0), NOW);
    assert.equal(power.mayStart(job('long', 600 * MINUTE_MS), NOW), false);
    assert.equal(power.mayStart(job('longer', 900 * MINUTE_MS), NOW), false);
    assert.equal(power.mayStart(job('short', 5 * MINUTE_MS), NOW), true);
  });

  it('replans only after the plan interval', () => {
    const power = controller(3);
    power.jobsToPreempt([], lists([], 0), NOW);
    const next = power.nextPlanAt();
    assert.ok(next !== undefined && next > NOW);
    const long = [job('long', 600 * MINUTE_MS)];
    const seen = lists(['long'], 3_200);
    assert.deepEqual(power.jobsToPreempt(long, seen, NOW), []);
    assert.deepEqual(power.jobsToPreempt(long, seen, next), ['long']);
  });
});

describe('power controller on the grid', () => {
  it('neither preempts nor holds back jobs', () => {
    const power = controller(0);
    power.setPower({supply: 'grid'});
    const long = job('long', 600 * MINUTE_MS);
    assert.deepEqual(power.jobsToPreempt([long], [], NOW), []);
    assert.equal(power.mayStart(long, NOW), true);
    assert.equal(power.nextPlanAt(), undefined);
  });
});
