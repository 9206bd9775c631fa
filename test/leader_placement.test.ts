/**
 * The scheduling round planner of a hosted site: placement of units, waiting
 * for a rack, and preemption for guaranteed work.
 */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {Job} from '../src/leader/jobs/jobs.js';
import {Run} from '../src/leader/jobs/runs.js';
import {ImmediatePreemption} from '../src/leader/planning/preemption_policy.js';
import {planRound} from '../src/leader/planning/placement.js';
import type {RoundPlan} from '../src/leader/planning/placement.js';
import type {WorkerLoss} from '../src/leader/jobs/records.js';
import {RunTimeTable} from '../src/leader/jobs/run_times.js';
import {WorkerState} from '../src/leader/workers/worker_state.js';
import {steadyTime} from '../src/lifecycle/clock.js';
import {instant, trustedId} from '../src/model/ids.js';
import type {RackId, VmId, WorkerId} from '../src/model/ids.js';
import {MAXIMUM_STARTED_TASKS} from '../src/model/submissions.js';
import type {Step, Submission} from '../src/model/submissions.js';
import {configuration, step, submission} from './leader_fixture.js';

const RACKS = 3;
const WORKERS_PER_RACK = 2;

function workers(): Map<WorkerId, WorkerState> {
  const states = new Map<WorkerId, WorkerState>();
  for (let rack = 0; rack < RACKS; rack += 1) {
    for (let index = 0; index < WORKERS_PER_RACK; index += 1) {
      const workerId = trustedId<WorkerId>(`w${rack}${index}`);
      const rackId = trustedId<RackId>(`rack-${rack}`);
      const state = new WorkerState({
        workerId,
        incarnation: 1,
        address: 'host:1',
        serviceId: trustedId('service'),
        zone: trustedId('zone'),
        rackId,
        labels: new Set(['kind', rackId]),
        capacity: {
          processorMillicores: 32_000,
          memoryMegabytes: 65_536,
          accelerators: 8,
        },
        isDraining: false,
        remainingMs: undefined,
      });
      states.set(workerId, state);
    }
  }
  return states;
}

function shaped(accelerators: number, changes: Partial<Step> = {}): Step {
  return step({
    shape: {processorMillicores: 1_000, memoryMegabytes: 1_000, accelerators},
    ...changes,
  });
}

function job(changes: Partial<Submission>, acceptedAt = 0): Job {
  return new Job(submission(changes), instant(acceptedAt));
}

/** Adds a running task of another job to the worker. */
function occupy(
  states: Map<WorkerId, WorkerState>,
  name: string,
  accelerators: number,
  checkpointing = false,
  changes: Partial<Submission> = {},
): Run {
  const occupyingJob = job({
    steps: [shaped(accelerators, {checkpointing})],
    ...changes,
  });
  const [unit] = occupyingJob.units;
  assert.ok(unit !== undefined);
  const workerId = trustedId<WorkerId>(name);
  const run = new Run(unit, 0, 1, workerId, 1, instant(0));
  run.phase = 'running';
  unit.runs.push(run);
  states.get(workerId)?.add(run);
  return run;
}

function plan(
  jobs: readonly Job[],
  states: Map<WorkerId, WorkerState>,
  now: number,
): RoundPlan {
  return planRound({
    jobs,
    workers: states,
    configuration: configuration(),
    runTimes: new RunTimeTable(),
    preemption: new ImmediatePreemption(),
    now: instant(now),
    steady: steadyTime(now),
    isCalm: true,
    admits: () => true,
  });
}

const URGENT_GUARANTEED = {
  queueId: trustedId<Submission['queueId']>('urgent'),
  customerId: trustedId<NonNullable<Submission['customerId']>>('owner'),
};

/** Longest time without a run that users accept beside idle workers. */
const LONGEST_WAIT_MS = 14_000;
const LONGEST_WAIT_OF_LONG_RUNNING_MS = 6_000;

const MAXIMUM_ATTEMPTS = 4;

/** Bytes that the platform's store accepts for one value. */
const MAXIMUM_VALUE_BYTES = 1_048_576;

it('never starts more tasks of a job than its record can describe', () => {
  const tiny = {processorMillicores: 1, memoryMegabytes: 1, accelerators: 0};
  const wide = job({steps: [step({taskCount: 10_000, shape: tiny})]});
  const states = workers();
  const placeAll = () => {
    for (const {unit, workers: chosen} of plan([wide], states, 10).placements) {
      const [worker] = chosen;
      assert.ok(worker !== undefined);
      unit.lastRun = 1_001;
      const vmId = trustedId<VmId>('vm-of-a-worker');
      const {workerId} = worker;
      const born = 1_789_204_836_594;
      const run = new Run(unit, 0, 1_001, workerId, born, instant(10), vmId);
      unit.runs.push(run);
      worker.add(run);
    }
  };
  placeAll();
  placeAll();
  const started = wide.units.filter(({lastRun}) => lastRun > 0);
  assert.equal(started.length, MAXIMUM_STARTED_TASKS);
  const record = JSON.stringify(wide.toRecord());
  assert.ok(record.length < MAXIMUM_VALUE_BYTES, `${record.length} bytes`);
});

describe('the planner', () => {
  it('waits for the rack of its data only briefly beside idle workers', () => {
    // Guards against a gang that waits over 10 s for its rack while most workers
    // are idle.
    const states = workers();
    occupy(states, 'w00', 8);
    occupy(states, 'w01', 8);
    const waiting = job({
      steps: [shaped(8, {dataRack: 'rack-0', estimatedMs: 11_000})],
    });
    assert.equal(plan([waiting], states, 10).placements.length, 0);
    assert.equal(plan([waiting], states, 1_000).placements.length, 0);
    assert.equal(plan([waiting], states, 1_600).placements.length, 1);
  });

  it('spreads a gang across racks beside idle workers when no rack fits it', () => {
    const states = workers();
    for (let rack = 0; rack < RACKS; rack += 1) occupy(states, `w${rack}0`, 1);
    const gang = job({
      steps: [shaped(8, {gang: true, sameRack: true, taskCount: 2})],
    });
    assert.equal(plan([gang], states, 10).placements.length, 0);
    const [placement] = plan([gang], states, 1_600).placements;
    const racks = placement?.workers.map(({entry}) => entry.rackId);
    assert.equal(new Set(racks).size, 2);
  });

  it('waits for a rack while most accelerators are in use', () => {
    const states = workers();
    for (let rack = 0; rack < RACKS; rack += 1) {
      occupy(states, `w${rack}0`, 8);
    }
    occupy(states, 'w01', 1);
    const gang = job({
      steps: [shaped(8, {gang: true, sameRack: true, taskCount: 2})],
    });
    plan([gang], states, 10);
    assert.equal(plan([gang], states, 1_600).placements.length, 0);
  });

  it('keeps a gang in one rack and off capacity used by another job', () => {
    const states = workers();
    occupy(states, 'w00', 4);
    const gang = job({
      steps: [shaped(4, {gang: true, sameRack: true, taskCount: 3})],
    });
    const [placement] = plan([gang], states, 10).placements;
    const racks = placement?.workers.map(({entry}) => entry.rackId);
    assert.deepEqual(new Set(racks), new Set(['rack-0']));
  });

  it('places no part of a gang that does not fit as a whole', () => {
    const states = workers();
    const gang = job({
      steps: [shaped(8, {gang: true, taskCount: 7})],
    });
    assert.equal(plan([gang], states, 10).placements.length, 0);
  });

  it('preempts in one rack for a guaranteed gang when little work is lost', () => {
    // Spread across racks, the gang would run three times as long and be late.
    const states = workers();
    for (const name of ['w00', 'w10', 'w20']) occupy(states, name, 8, true);
    const gang = job({
      ...URGENT_GUARANTEED,
      steps: [
        shaped(8, {
          gang: true,
          sameRack: true,
          taskCount: 2,
          estimatedMs: 2_500,
        }),
      ],
    });
    const first = plan([gang], states, 10);
    assert.equal(first.placements.length, 0);
    assert.equal(first.preemptions.length, 1);
  });

  it('spreads a guaranteed gang when preemption would lose more work', () => {
    const states = workers();
    for (const name of ['w00', 'w10', 'w20']) occupy(states, name, 8);
    const gang = job({
      ...URGENT_GUARANTEED,
      steps: [
        shaped(8, {
          gang: true,
          sameRack: true,
          taskCount: 2,
          estimatedMs: 900,
        }),
      ],
    });
    plan([gang], states, 40_000);
    const later = plan([gang], states, 41_000);
    assert.equal(later.placements.length, 0, 'it waits for a rack');
    assert.equal(
      later.preemptions.length,
      0,
      'stopping runs of 40 s costs more than spreading',
    );
    const spread = plan([gang], states, 42_000);
    const racks = spread.placements[0]?.workers.map(({entry}) => entry.rackId);
    assert.equal(new Set(racks).size, 2);
  });

  it('preempts runs without checkpoints for guaranteed work only', () => {
    const states = workers();
    for (const name of ['w00', 'w01', 'w10', 'w11', 'w20', 'w21']) {
      occupy(states, name, 8);
    }
    const urgent = {queueId: trustedId<Submission['queueId']>('urgent')};
    const withoutGuarantee = job({...urgent, steps: [shaped(8)]});
    plan([withoutGuarantee], states, 10);
    assert.equal(plan([withoutGuarantee], states, 5_000).preemptions.length, 0);
    const guaranteed = job({
      ...urgent,
      customerId: trustedId<NonNullable<Submission['customerId']>>('owner'),
      steps: [shaped(8)],
    });
    plan([guaranteed], states, 10);
    assert.equal(plan([guaranteed], states, 5_000).preemptions.length, 1);
  });

  /** A gang that needs all six workers while `busyWorkers` of them are full. */
  function planBesideWideGang(busyWorkers: number, smallTaskMs: number) {
    const states = workers();
    const names = [...states.keys()];
    for (const name of names.slice(0, busyWorkers)) {
      const run = occupy(states, name, 8);
      run.progressPercent = 50;
    }
    const gang = job({
      steps: [shaped(8, {gang: true, taskCount: 6, estimatedMs: 10_000})],
    });
    const small = job({steps: [shaped(1, {estimatedMs: smallTaskMs})]}, 1);
    // The runs that started at 0 are halfway and end at 8,000 ms.
    const {placements} = plan([gang, small], states, 4_000);
    return placements.map(({unit}) => unit.job === small);
  }

  it('keeps reserved workers from tasks that would delay a wide gang', () => {
    assert.deepEqual(planBesideWideGang(4, 20_000), []);
  });

  it('lets tasks use reserved workers if they end before its start', () => {
    assert.deepEqual(planBesideWideGang(4, 1_000), [true]);
  });

  it('reserves nothing while most accelerators are idle', () => {
    assert.deepEqual(planBesideWideGang(2, 20_000), [true]);
  });

  it('places work that can still be in time before work that is late', () => {
    const states = workers();
    for (const name of [...states.keys()].slice(1)) occupy(states, name, 8);
    const late = job({steps: [shaped(8, {estimatedMs: 1_000})]}, 0);
    const inTime = job({steps: [shaped(8, {estimatedMs: 1_000})]}, 4_000);
    const {placements} = plan([late, inTime], states, 4_100);
    assert.deepEqual(
      placements.map(({unit}) => unit.job === inTime),
      [true],
    );
  });
});

/** A job whose only task may run on the two workers of one rack. */
function rackJob(changes: Partial<Step> = {}): Job {
  return job({steps: [shaped(1, {requiredLabel: 'rack-0', ...changes})]});
}

describe('a task that failed on every worker that may run it', () => {
  function fail(failing: Job, name: string, now: number): void {
    const [unit] = failing.units;
    assert.ok(unit !== undefined);
    const workerId = trustedId<WorkerId>(name);
    const runNumber = unit.lastRun + 1;
    unit.lastRun = runNumber;
    const run = new Run(unit, 0, runNumber, workerId, 1, instant(now));
    unit.runs.push(run);
    failing.runEnded(run, 'failed', '', MAXIMUM_ATTEMPTS, instant(now));
    unit.readySince = undefined;
  }

  function isPlacedAt(waiting: Job, states: ReturnType<typeof workers>) {
    return (now: number) => plan([waiting], states, now).placements.length > 0;
  }

  // Guards against a job that is never started again after a failure on each
  // worker with the label that it requires.
  it('runs again with an attempt left', () => {
    const failing = rackJob();
    fail(failing, 'w00', 1_000);
    fail(failing, 'w01', 1_600);
    const isPlaced = isPlacedAt(failing, workers());
    assert.ok(!isPlaced(1_700), 'the failures are recent');
    assert.ok(isPlaced(1_600 + LONGEST_WAIT_MS));
  });

  it('runs again soon if it is long-running', () => {
    const failing = rackJob({longRunning: true});
    fail(failing, 'w00', 1_000);
    fail(failing, 'w01', 1_600);
    const isPlaced = isPlacedAt(failing, workers());
    assert.ok(isPlaced(1_600 + LONGEST_WAIT_OF_LONG_RUNNING_MS));
  });

  // Guards against a delay that grows with each failure without a limit.
  it('is retried soon after many failures if it is long-running', () => {
    const failing = rackJob({longRunning: true});
    for (let failures = 0; failures < 200; failures += 1) {
      fail(failing, 'w00', 1_000);
    }
    const isPlaced = isPlacedAt(failing, workers());
    assert.ok(isPlaced(1_000 + LONGEST_WAIT_OF_LONG_RUNNING_MS));
  });

  it('runs again if the other workers with its label are full', () => {
    const states = workers();
    occupy(states, 'w01', 8);
    const failing = rackJob();
    fail(failing, 'w00', 1_000);
    assert.ok(isPlacedAt(failing, states)(1_000 + LONGEST_WAIT_MS));
  });
});

describe('a task whose workers are all quarantined', () => {
  /** Later quarantines last longer. */
  function quarantineRack(states: ReturnType<typeof workers>): void {
    for (const name of ['w00', 'w01']) {
      const worker = states.get(trustedId(name));
      for (let times = 0; times < 4; times += 1) {
        worker?.quarantine(steadyTime(1_000));
      }
    }
  }

  function waitMs(changes: Partial<Step>): number {
    const states = workers();
    quarantineRack(states);
    const waiting = rackJob(changes);
    let waitedMs = 0;
    while (plan([waiting], states, 1_000 + waitedMs).placements.length === 0) {
      waitedMs += 200;
    }
    return waitedMs;
  }

  // Guards against a job that waits a minute beside idle workers.
  it('runs all the same after a time', () => {
    const waitedMs = waitMs({});
    assert.ok(waitedMs >= 5_000, `started after ${waitedMs} ms`);
    assert.ok(waitedMs <= LONGEST_WAIT_MS, `waited ${waitedMs} ms`);
  });

  it('runs soon if it is long-running', () => {
    const waitedMs = waitMs({longRunning: true});
    assert.ok(waitedMs <= LONGEST_WAIT_OF_LONG_RUNNING_MS, `${waitedMs} ms`);
  });

  it('waits for others that it fits, however full they are', () => {
    const states = workers();
    quarantineRack(states);
    for (const name of ['w10', 'w11', 'w20', 'w21']) occupy(states, name, 8);
    const waiting = job({steps: [shaped(1)]});
    plan([waiting], states, 1_000);
    const later = plan([waiting], states, 1_000 + LONGEST_WAIT_MS);
    assert.deepEqual(later.placements, []);
  });
});

/** A worker that crashed under the first task, not soon after its start. */
function knownCrash(run: number): WorkerLoss {
  return {
    run,
    tasks: [0],
    workerId: trustedId(`gone-${run}`),
    life: 1,
    isCrash: true,
    hasEnded: true,
    wasUnanswered: false,
    wasAtWork: true,
    wasAtWorkAtEnd: false,
    isWidespread: false,
    isAlone: false,
    isEarly: false,
  };
}

// Guards against a task that follows the restarts of the workers in turn.
it('a task whose worker crashed runs on the worker that restarted last', () => {
  const states = workers();
  const waiting = job({steps: [shaped(1)]});
  for (const [name, incarnation] of [
    ['w10', 8],
    ['w20', 9],
  ] as const) {
    const worker = states.get(trustedId(name));
    assert.ok(worker !== undefined);
    worker.update({...worker.entry, incarnation}, steadyTime(10));
  }
  const [unit] = waiting.units;
  unit?.crashes.record({...knownCrash(1), workerId: trustedId('w20')});
  const [placement] = plan([waiting], states, 10).placements;
  assert.deepEqual(
    placement?.workers.map(({workerId}) => workerId),
    ['w10'],
    'not on the worker that it was lost with, nor on one that did not restart',
  );
});

// Guards against guaranteed work that waits for workers that suspects keep.
it('guaranteed work reclaims workers from suspects that have proven to run', () => {
  const states = workers();
  for (const name of states.keys()) {
    const run = occupy(states, name, 8);
    run.isIsolated = true;
    run.confirmedAt = instant(0);
    const seen = {task: run.task, run: 1, percent: 10, checkpoint: ''};
    run.updateFromList(seen, instant(1_000));
  }
  const guaranteed = job({steps: [shaped(8)], ...URGENT_GUARANTEED});
  plan([guaranteed], states, 1_010);
  assert.equal(plan([guaranteed], states, 5_000).preemptions.length, 1);
});

// Guards against guaranteed work that waits for a vacant worker (RECLAIM).
it('guaranteed work with two crashes reclaims workers of a busy service', () => {
  const states = workers();
  for (const name of states.keys()) occupy(states, name, 8);
  const waiting = job({steps: [shaped(8)], ...URGENT_GUARANTEED});
  for (const run of [1, 2]) waiting.units[0]?.crashes.record(knownCrash(run));
  assert.equal(plan([waiting], states, 10).preemptions.length, 0);
  assert.equal(plan([waiting], states, 1_600).preemptions.length, 1);
});

// Guards against a guarantee that is used up by jobs that users do not count.
it('a job with two crashes leaves the guarantee to later jobs', () => {
  const states = workers();
  const runs = [...states.keys()].map((name, index) =>
    occupy(states, name, 8, false, index === 0 ? URGENT_GUARANTEED : {}),
  );
  const crashing = runs[0]?.unit;
  assert.ok(crashing !== undefined);
  const gang = shaped(8, {taskCount: 2, gang: true});
  const later = job({steps: [gang], ...URGENT_GUARANTEED}, 10);
  const jobs = [crashing.job, later];
  for (const [run, expected] of [0, 2].entries()) {
    crashing.crashes.record(knownCrash(run + 1));
    crashing.job.endIfOverCrashLimit(crashing, instant(20));
    plan(jobs, states, 20);
    const {preemptions} = plan(jobs, states, 5_000);
    assert.equal(preemptions.length, expected);
  }
});

// Guards against guaranteed work that waits for the urgent work of others.
it('guaranteed work reclaims workers from urgent work beyond the guarantees', () => {
  const states = workers();
  const {queueId} = URGENT_GUARANTEED;
  const [own, ...others] = [...states.keys()].map((name, index) =>
    occupy(states, name, 8, false, index === 0 ? URGENT_GUARANTEED : {queueId}),
  );
  const waiting = job({steps: [shaped(8)], ...URGENT_GUARANTEED}, 10);
  const running = [own, ...others].map((run) => run?.unit.job);
  const jobs = [...running, waiting].filter((each) => each !== undefined);
  plan(jobs, states, 10);
  const {preemptions} = plan(jobs, states, 5_000);
  assert.equal(preemptions.length, 1);
  assert.ok(preemptions.every((run) => others.includes(run)));
});

// Guards against a long-running task that waits for a vacant worker for ever.
it('a long-running task with two crashes shares a worker of a busy service', () => {
  const states = workers();
  for (const name of states.keys()) occupy(states, name, 7);
  const waiting = job({steps: [shaped(1, {longRunning: true})]});
  for (const run of [1, 2]) waiting.units[0]?.crashes.record(knownCrash(run));
  assert.equal(plan([waiting], states, 10).placements.length, 0);
  const later = plan([waiting], states, 10 + LONGEST_WAIT_OF_LONG_RUNNING_MS);
  assert.equal(later.placements.length, 1);
});
