/**
 * Losses in the record of a job: that a wide job whose workers crash again and
 * again fits into a value of the store, and that the next leader reads what the
 * former one knew.
 */

import assert from 'node:assert/strict';
import {it} from 'node:test';
import {Job} from '../src/leader/jobs/jobs.js';
import {
  decodeRecord,
  progressKey,
  progressSchema,
} from '../src/leader/jobs/records.js';
import type {WorkerLoss} from '../src/leader/jobs/records.js';
import {Run} from '../src/leader/jobs/runs.js';
import {instant, trustedId} from '../src/model/ids.js';
import type {VmId, WorkerId} from '../src/model/ids.js';
import {MAXIMUM_STARTED_TASKS} from '../src/model/submissions.js';
import {step, submission} from './leader_fixture.js';

const NOW = instant(1_000);
const BORN = 1_789_204_836_594;
const WORKERS = 33;

/** Starts that users accept of a task that crashes each of its workers. */
const LOSSES = 5;

/** Bytes that the platform's store accepts for one value. */
const MAXIMUM_VALUE_BYTES = 1_048_576;

function crashOf(task: number, run: number): WorkerLoss {
  const worker = (task + run) % WORKERS;
  return {
    run: 63_000 + run,
    tasks: [0],
    workerId: trustedId<WorkerId>(`i-0000000${worker}`),
    life: BORN + run,
    vmId: trustedId<VmId>(`m-000${worker}`),
    isCrash: true,
    hasEnded: true,
    wasUnanswered: task % 7 === 0,
    wasAtWork: true,
    wasAtWorkAtEnd: true,
    isAlone: false,
    isWidespread: true,
    isEarly: false,
  };
}

/** A job whose started tasks all lost `LOSSES` workers and run once more. */
function crashedJob(): Job {
  const steps = [step({taskCount: MAXIMUM_STARTED_TASKS})];
  const job = new Job(submission({steps}), NOW);
  job.units.forEach((unit, task) => {
    for (let run = 1; run <= LOSSES; run += 1) {
      unit.crashes.record(crashOf(task, run));
    }
    unit.lastRun = 63_000 + LOSSES + 1;
    const {workerId, vmId} = crashOf(task, 0);
    unit.addRuns([new Run(unit, 0, unit.lastRun, workerId, BORN, NOW, vmId)]);
  });
  return job;
}

function textOf(job: Job): string {
  return JSON.stringify(job.toRecord());
}

function lossesOf(job: Job): WorkerLoss[][] {
  return job.units.map(({crashes}) => [...crashes.toRecord()]);
}

// Guards against a record that the store refuses for ever: nothing of the job
// runs again, and no end of any run is noted.
it('a wide job that lost all its workers fits into a value of the store', () => {
  const job = crashedJob();
  const text = textOf(job);
  assert.ok(text.length < MAXIMUM_VALUE_BYTES, `${text.length} bytes`);
});

it('the next leader knows the same losses', () => {
  const job = crashedJob();
  const record = decodeRecord(progressKey(job.id), textOf(job), progressSchema);
  const adopted = new Job(job.submission, NOW);
  adopted.restore(record.unwrapOrElse(assert.fail), NOW);
  assert.deepEqual(lossesOf(adopted), lossesOf(job));
  assert.equal(adopted.hasSuspects, true);
});

it('losses in records of earlier versions are read', () => {
  const steps = [step({taskCount: 1})];
  const job = new Job(submission({steps}), NOW);
  const [unit] = job.units;
  assert.ok(unit !== undefined);
  unit.lastRun = 1;
  const losses = [crashOf(0, 1), crashOf(0, 2)];
  const {open, ...rest} = job.toRecord();
  const earlier = {...rest, open: open.map((saved) => ({...saved, losses}))};
  const key = progressKey(job.id);
  const record = decodeRecord(key, JSON.stringify(earlier), progressSchema);
  job.restore(record.unwrapOrElse(assert.fail), NOW);
  assert.deepEqual(lossesOf(job), [losses]);
});

it('a record without a loss that a task refers to is not read', () => {
  const job = crashedJob();
  const {sharedLosses = [], ...rest} = job.toRecord();
  const shortened = {...rest, sharedLosses: sharedLosses.slice(1)};
  const key = progressKey(job.id);
  const record = decodeRecord(key, JSON.stringify(shortened), progressSchema);
  assert.equal(record.isErr, true);
});
