/**
 * Widespread outages of workers: when they are recognized, and what becomes of
 * the work whose workers are lost in them.
 */

import assert from 'node:assert/strict';
import {it} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import type {EmulatedDaemon} from '../emulator/daemon.js';
import {Job} from '../src/leader/jobs/jobs.js';
import {Run} from '../src/leader/jobs/runs.js';
import {WorkerOutages} from '../src/leader/losses/worker_outages.js';
import {steadyTime} from '../src/lifecycle/clock.js';
import {instant} from '../src/model/ids.js';
import type {JobId} from '../src/model/ids.js';
import {taskName} from '../src/model/submissions.js';
import {
  LeaderFixture,
  idleWorker,
  step,
  submission,
  until,
} from './leader_fixture.js';

const NOW = instant(10_000);
const WORKERS = 32;

/** Records outages of workers that have a run of each of the jobs. */
function outagesOf(
  count: number,
  gapMs: number,
  jobs: readonly Job[] = [],
): WorkerOutages {
  const outages = new WorkerOutages(() => WORKERS);
  for (let index = 0; index < count; index += 1) {
    const worker = idleWorker(`worker-${index}`, 1);
    for (const job of jobs) {
      const [unit] = job.units;
      assert.ok(unit !== undefined);
      const run = new Run(unit, index, 1, worker.workerId, 1, NOW);
      run.wasStartSent = true;
      worker.add(run);
    }
    outages.record(worker, instant(NOW + index * gapMs));
  }
  return outages;
}

it('takes outages of an eighth of the workers at once as widespread', () => {
  assert.equal(outagesOf(3, 10).isWidespreadAt(NOW), false);
  const outages = outagesOf(4, 10);
  assert.equal(outages.isWidespreadAt(NOW), true);
  assert.equal(outages.isWidespreadAt(instant(NOW + 2_000)), false);
});

it('does not take outages in turn as widespread', () => {
  const outages = outagesOf(12, 700);
  assert.equal(outages.isWidespreadAt(NOW), false);
  assert.equal(outages.isCalm(instant(NOW + 8_000)), true);
});

it('is calm three seconds after widespread outages', () => {
  const outages = outagesOf(4, 0);
  assert.equal(outages.isCalm(instant(NOW + 2_999)), false);
  assert.equal(outages.isCalm(instant(NOW + 3_000)), true);
});

// Guards against long-running tasks that wait while workers restart as announced.
it('does not take announced ends as outages', () => {
  const outages = new WorkerOutages(() => WORKERS);
  for (let index = 0; index < WORKERS; index += 1) {
    const worker = idleWorker(`worker-${index}`, 1);
    if (index % 2 === 0) worker.expectEnd();
    else worker.update({...worker.entry, isDraining: true}, steadyTime(0));
    outages.record(worker, NOW);
  }
  assert.equal(outages.isWidespreadAt(NOW), false);
  assert.equal(outages.isCalm(NOW), true);
});

// Guards against a gang that crashes its workers and is not blamed for it.
it('does not take the outages of one gang as widespread', () => {
  const steps = [step({taskCount: 8, gang: true})];
  const gang = new Job(submission({steps}), NOW);
  assert.equal(outagesOf(8, 0, [gang]).isWidespreadAt(NOW), false);
  const beside = [gang, new Job(submission(), NOW)];
  assert.equal(outagesOf(8, 0, beside).isWidespreadAt(NOW), true);
});

// Guards against several crashing tasks that excuse each other.
it('does not take crashes under units with two crashes as widespread', () => {
  const outages = new WorkerOutages(() => WORKERS);
  for (let index = 0; index < WORKERS; index += 1) {
    const [unit] = new Job(submission(), NOW).units;
    assert.ok(unit !== undefined);
    const worker = idleWorker(`worker-${index}`, 1);
    const {workerId} = worker;
    for (const number of [1, 2]) {
      unit.crashes.record({
        run: number,
        tasks: [0],
        workerId,
        life: number,
        isCrash: true,
        hasEnded: true,
        wasUnanswered: false,
        wasAtWork: true,
        wasAtWorkAtEnd: true,
        isWidespread: true,
        isAlone: true,
        isEarly: true,
      });
    }
    const run = new Run(unit, 0, 3, workerId, 1, NOW);
    run.wasStartSent = true;
    worker.add(run);
    outages.record(worker, NOW);
  }
  assert.equal(outages.isWidespreadAt(NOW), false);
});

/** Crashes all workers again and again. */
async function crashInWaves(fixture: LeaderFixture): Promise<void> {
  const {vms} = fixture.site;
  for (let wave = 0; wave < 6; wave += 1) {
    await delay(600);
    for (const {vmId} of vms.list()) vms.crash(vmId);
  }
}

async function withLeader(
  body: (fixture: LeaderFixture, leader: EmulatedDaemon) => Promise<void>,
): Promise<void> {
  const fixture = new LeaderFixture(2, 4);
  try {
    await body(fixture, await fixture.startLeader());
    assert.deepEqual(fixture.site.ledger.violations, []);
  } finally {
    await fixture.close();
  }
}

function stateOf(leader: EmulatedDaemon, jobId: JobId): string | undefined {
  return leader.leadership.session?.stateOf(jobId);
}

// Guards against jobs that are given up as most workers crash again and again.
it('work completes after waves of crashes', () =>
  withLeader(async (fixture, leader) => {
    const jobs = Array.from({length: 8}, () =>
      fixture.submit(submission(), 2_000),
    );
    await until('the jobs run', () => fixture.runCount === jobs.length);
    await crashInWaves(fixture);
    for (const jobId of jobs) {
      await until('the jobs are complete', () => {
        const state = stateOf(leader, jobId);
        assert.notEqual(state, 'failed', 'a job was given up');
        return state === 'complete';
      });
    }
  }));

// Guards against starts without a limit while other workers crash, too.
it('a task that crashes its workers is given up amid waves of crashes', () =>
  withLeader(async (fixture, leader) => {
    const neighbours = Array.from({length: 8}, () =>
      fixture.submit(submission(), 2_000),
    );
    const job = submission();
    fixture.site.ledger.markCrashing(taskName(job.jobId, 0, 0, 0));
    await until('the others run', () => fixture.runCount > 0);
    const jobId = fixture.submit(job, 60_000);
    await crashInWaves(fixture);
    await until('the job has failed', () => {
      return stateOf(leader, jobId) === 'failed';
    });
    for (const neighbour of neighbours) {
      await until('the others have ended', () => {
        return stateOf(leader, neighbour) === 'complete';
      });
    }
  }));
