/**
 * Counting of runs that are lost with their workers: against which units a
 * crash counts as their own, and when a unit is given up.
 */

import assert from 'node:assert/strict';
import {it} from 'node:test';
import {DaemonLog} from '../src/daemon/log.js';
import {CrashMonitor} from '../src/leader/losses/crash_monitor.js';
import {Job} from '../src/leader/jobs/jobs.js';
import {Run} from '../src/leader/jobs/runs.js';
import {LeaderLog} from '../src/leader/leader_log.js';
import {runsByIncarnation} from '../src/leader/workers/worker_state.js';
import {WorkerOutages} from '../src/leader/losses/worker_outages.js';
import type {WorkerState} from '../src/leader/workers/worker_state.js';
import {steadyTime} from '../src/lifecycle/clock.js';
import {progressSchema} from '../src/leader/jobs/records.js';
import {instant} from '../src/model/ids.js';
import {checkTarget} from './known_red.js';
import {idleWorker, step, submission} from './leader_fixture.js';

const NOW = instant(1_000);
const INCARNATION = 1;

/** Places a task of the job on the worker, which has confirmed the start. */
function startOn(
  worker: WorkerState,
  job: Job,
  runNumber: number,
  task = 0,
): Run {
  const [unit] = job.units;
  assert.ok(unit !== undefined);
  const {workerId, incarnation} = worker;
  const run = new Run(unit, task, runNumber, workerId, incarnation, NOW);
  run.wasStartSent = true;
  run.firstSentAt = NOW;
  run.confirmedAt = NOW;
  run.atWorkAt = NOW;
  unit.runs.push(run);
  unit.lastRun = runNumber;
  worker.add(run);
  return run;
}

/** Number of listed workers. */
const WORKERS = 8;

function monitor(outages = new WorkerOutages(() => WORKERS)): CrashMonitor {
  const log = new LeaderLog(new DaemonLog('test', 'fatal'));
  return new CrashMonitor(log, outages);
}

it('never gives up a task whose workers are only silent', () => {
  const crashMonitor = monitor();
  const job = new Job(submission(), NOW);
  for (let number = 1; number <= 6; number += 1) {
    const worker = idleWorker(`worker-${number}`, INCARNATION);
    const run = startOn(worker, job, number);
    worker.remove(run);
    crashMonitor.recordLosses(worker, [run], 'unknown', NOW);
    assert.equal(job.isEnded, false, `after ${number} silent workers`);
  }
  crashMonitor.resolveFates(() => 'crashed', NOW);
  assert.equal(job.state, 'failed');
});

it('does not count a crash as a task’s own beside an unanswered start', () => {
  const crashMonitor = monitor();
  const job = new Job(submission(), NOW);
  for (let number = 1; number <= 2; number += 1) {
    const worker = idleWorker(`worker-${number}`, INCARNATION);
    const run = startOn(worker, job, number);
    startOn(worker, new Job(submission(), NOW), 1).confirmedAt = undefined;
    worker.remove(run);
    crashMonitor.recordLosses(worker, [run], 'crashed', NOW);
    assert.equal(job.isEnded, false, `after ${number} crashes`);
  }
});

/** Crashes one worker for each entry of `tasks` under that task of a gang. */
function crashUnderGang(tasks: readonly number[]): Job {
  const crashMonitor = monitor();
  const steps = [step({taskCount: 4, gang: true})];
  const job = new Job(submission({steps}), NOW);
  tasks.forEach((task, position) => {
    const worker = idleWorker(`worker-${position}`, INCARNATION);
    const run = startOn(worker, job, position + 1, task);
    worker.remove(run);
    crashMonitor.recordLosses(worker, [run], 'crashed', NOW);
  });
  return job;
}

it('counts crashes for each task of a gang, not for the gang', () => {
  assert.equal(crashUnderGang([0, 1, 2, 3]).isEnded, false);
  assert.equal(crashUnderGang([0, 1, 2, 1]).state, 'failed');
});

it('counts crashes of several members of a gang in one run', () => {
  const crashMonitor = monitor();
  const steps = [step({taskCount: 4, gang: true})];
  const job = new Job(submission({steps}), NOW);
  for (const runNumber of [1, 2]) {
    for (const task of [0, 1]) {
      const worker = idleWorker(`worker-${runNumber}-${task}`, INCARNATION);
      const run = startOn(worker, job, runNumber, task);
      worker.remove(run);
      crashMonitor.recordLosses(worker, [run], 'crashed', NOW);
    }
  }
  assert.equal(job.state, 'failed');
});

it('gives up a task that crashes its workers late in its work', () => {
  const crashMonitor = monitor();
  const job = new Job(submission(), NOW);
  let crashes = 0;
  while (!job.isEnded) {
    crashes += 1;
    assert.ok(crashes <= 5, 'the users’ bound on its starts');
    const worker = idleWorker(`worker-${crashes}`, INCARNATION);
    const run = startOn(worker, job, crashes);
    const seen = {task: run.task, run: crashes, percent: 60, checkpoint: ''};
    run.updateFromList(seen, instant(NOW + 5_000));
    worker.remove(run);
    crashMonitor.recordLosses(worker, [run], 'crashed', instant(NOW + 5_000));
  }
  assert.ok(crashes > 2, 'two crashes in the middle do not end a job');
});

/** A later leader's view of the job, read from its record. */
function adopt(job: Job, now = NOW): {adopted: Job; runs: Run[]} {
  const adopted = new Job(job.submission, NOW);
  const record: unknown = JSON.parse(JSON.stringify(job.toRecord()));
  return {adopted, runs: adopted.restore(progressSchema.parse(record), now)};
}

// Guards against a job that is given up for runs that were never started.
checkTarget('does not blame a task for a crash if its start is unknown', () => {
  const crashMonitor = monitor();
  let job = new Job(submission(), NOW);
  for (let number = 1; number <= 3; number += 1) {
    const worker = idleWorker(`worker-${number}`, INCARNATION);
    const run = startOn(worker, job, number);
    run.confirmedAt = undefined;
    worker.remove(run);
    const {adopted, runs} = adopt(job);
    crashMonitor.recordLosses(worker, runs, 'crashed', NOW);
    assert.equal(adopted.isEnded, false, `after ${number} takeovers`);
    job = adopted;
  }
});

it('limits the starts of a task although no crash under it is known', () => {
  const crashMonitor = monitor();
  let job = new Job(submission(), NOW);
  for (let number = 1; number <= 5; number += 1) {
    assert.equal(job.isEnded, false, `after ${number - 1} takeovers`);
    const worker = idleWorker(`worker-${number}`, INCARNATION);
    const run = startOn(worker, job, number);
    run.confirmedAt = undefined;
    worker.remove(run);
    const {adopted, runs} = adopt(job);
    crashMonitor.recordLosses(worker, runs, 'ended', NOW);
    job = adopted;
  }
  assert.equal(job.state, 'failed');
});

// Guards against a job that is given up for crashes after long cuts of links.
it('does not take a crash as early if the worker was silent before', () => {
  const crashMonitor = monitor();
  const job = new Job(submission(), NOW);
  for (let number = 1; number <= 3; number += 1) {
    const worker = idleWorker(`worker-${number}`, INCARNATION);
    const run = startOn(worker, job, number);
    worker.remove(run);
    crashMonitor.recordLosses(worker, [run], 'crashed', instant(NOW + 3_000));
    assert.equal(job.isEnded, false, `after ${number} crashes`);
  }
});

it('takes a crash as early if its address refused calls soon after', () => {
  const crashMonitor = monitor();
  const job = new Job(submission(), NOW);
  for (let number = 1; number <= 2; number += 1) {
    const worker = idleWorker(`worker-${number}`, INCARNATION);
    const run = startOn(worker, job, number);
    run.atWorkAt = instant(NOW + 200);
    worker.markGone(instant(NOW + 300));
    worker.remove(run);
    crashMonitor.recordLosses(worker, [run], 'crashed', instant(NOW + 3_000));
  }
  assert.equal(job.state, 'failed');
});

const unknownLoss = {
  run: 0,
  tasks: [0],
  workerId: idleWorker('silent', INCARNATION).workerId,
  life: INCARNATION,
  isCrash: false,
  hasEnded: false,
  wasUnanswered: false,
  wasAtWork: false,
  wasAtWorkAtEnd: false,
  isWidespread: false,
  isAlone: false,
  isEarly: false,
};

// Guards against a long-running job whose history starts anew with each leader.
it('counts the time of a long-running task across takeovers', () => {
  const crashMonitor = monitor();
  const steps = [step({longRunning: true})];
  const job = new Job(submission({steps}), NOW);
  const worker = idleWorker('worker', INCARNATION);
  worker.remove(startOn(worker, job, 1));
  const {adopted, runs} = adopt(job, instant(NOW + 30_000));
  adopted.units[0]?.crashes.record(unknownLoss);
  const [run] = runs;
  assert.ok(run !== undefined);
  const seen = {task: run.task, run: 1, percent: 100, checkpoint: ''};
  run.updateFromList(seen, instant(NOW + 70_000));
  crashMonitor.recordLosses(worker, runs, 'crashed', instant(NOW + 70_150));
  assert.deepEqual(adopted.units[0]?.crashes.toRecord(), []);
});

// Guards against a job that is given up for a run that its leader cannot know.
it('does not take a task as alone beside a run without a record', () => {
  const crashMonitor = monitor();
  const job = new Job(submission(), NOW);
  for (let number = 1; number <= 3; number += 1) {
    const worker = idleWorker(`worker-${number}`, INCARNATION);
    const run = startOn(worker, job, number);
    worker.incarnationWithUnrecordedRuns = INCARNATION;
    worker.remove(run);
    crashMonitor.recordLosses(worker, [run], 'crashed', NOW);
    assert.equal(job.isEnded, false, `after ${number} crashes`);
  }
});

// Guards against a job that is given up for runs that were done before a takeover.
it('does not blame a task for a crash if its run may have ended before', () => {
  const crashMonitor = monitor();
  let job = new Job(submission({steps: [step({longRunning: true})]}), NOW);
  for (let number = 1; number <= 4; number += 1) {
    const worker = idleWorker(`worker-${number}`, INCARNATION);
    worker.remove(startOn(worker, job, number));
    const {adopted, runs} = adopt(job);
    crashMonitor.recordLosses(worker, runs, 'crashed', NOW);
    assert.equal(adopted.isEnded, false, `after ${number} takeovers`);
    job = adopted;
  }
});

it('keeps the crashes of a long-running task that may have ended early', () => {
  const crashMonitor = monitor();
  const steps = [step({longRunning: true})];
  const job = new Job(submission({steps}), NOW);
  const worker = idleWorker('worker', INCARNATION);
  worker.remove(startOn(worker, job, 1));
  const {adopted, runs} = adopt(job, instant(NOW + 70_000));
  crashMonitor.recordLosses(worker, runs, 'crashed', instant(NOW + 70_150));
  assert.equal(adopted.units[0]?.crashes.possibleCrashCount, 1);
});

// Guards against a unit that waits because the clock of an earlier leader was ahead.
it('takes a recorded start in the future for the time of the takeover', () => {
  const steps = [step({longRunning: true})];
  const job = new Job(submission({steps}), NOW);
  startOn(idleWorker('worker', INCARNATION), job, 1);
  const {runs} = adopt(job, instant(NOW - 500));
  assert.equal(runs[0]?.confirmedAt, NOW - 500);
});

// Guards against a job that is given up for what is open after two crashes.
it('does not add losses of unknown cause to two crashes', () => {
  const crashMonitor = monitor();
  const job = new Job(submission(), NOW);
  for (let number = 1; number <= 4; number += 1) {
    const worker = idleWorker(`worker-${number}`, INCARNATION);
    const run = startOn(worker, job, number);
    worker.remove(run);
    const fate = number <= 2 ? 'crashed' : 'unknown';
    crashMonitor.recordLosses(worker, [run], fate, instant(NOW + 3_000));
    assert.equal(job.isEnded, false, `after ${number} losses`);
  }
});

// Guards against a sixth start while it is open what became of a worker.
it('limits the starts of a task beside a worker that is silent', () => {
  const crashMonitor = monitor();
  const job = new Job(submission(), NOW);
  for (let number = 1; number <= 5; number += 1) {
    assert.equal(job.isEnded, false, `after ${number - 1} losses`);
    const worker = idleWorker(`worker-${number}`, INCARNATION);
    const run = startOn(worker, job, number);
    run.confirmedAt = undefined;
    worker.remove(run);
    const fate = number <= 4 ? 'crashed' : 'unknown';
    crashMonitor.recordLosses(worker, [run], fate, instant(NOW + 3_000));
  }
  assert.equal(job.state, 'failed');
});

// Guards against a sixth start if one was carried out without being counted.
it('allows one start less after two crashes if a start had no answer', () => {
  const crashMonitor = monitor();
  const job = new Job(submission(), NOW);
  for (let number = 1; number <= 4; number += 1) {
    assert.equal(job.isEnded, false, `after ${number - 1} losses`);
    const worker = idleWorker(`worker-${number}`, INCARNATION);
    const run = startOn(worker, job, number);
    if (number > 2) run.confirmedAt = undefined;
    run.mayStartLate = number === 4;
    worker.remove(run);
    crashMonitor.recordLosses(worker, [run], 'crashed', instant(NOW + 3_000));
  }
  assert.equal(job.state, 'failed');
});

// Guards against long work that seems short, as its first answer was lost.
it('measures an early end from the first attempt to start', () => {
  const run = startOn(
    idleWorker('worker', INCARNATION),
    new Job(submission(), NOW),
    1,
  );
  run.confirmedAt = instant(NOW + 1_200);
  assert.equal(run.hasEndedEarly(instant(NOW + 2_000)), false);
  assert.equal(run.hasEndedEarly(instant(NOW + 900)), true);
  assert.equal(run.hasEndedEarly(instant(NOW - 5_000)), false, 'before it');
});

// Guards against one fate for runs of two incarnations.
it('tells the runs of a worker’s incarnations apart', () => {
  const worker = idleWorker('worker', INCARNATION);
  const first = startOn(worker, new Job(submission(), NOW), 1);
  worker.update(
    {...worker.entry, incarnation: INCARNATION + 1},
    steadyTime(NOW),
  );
  const second = startOn(worker, new Job(submission(), NOW), 1);
  assert.deepEqual(
    [...runsByIncarnation([second, first])],
    [
      [INCARNATION + 1, [second]],
      [INCARNATION, [first]],
    ],
  );
  assert.equal(worker.isKnownToEnd(INCARNATION), true);
  assert.equal(worker.isKnownToEnd(INCARNATION + 1), false);
});

// Guards against a job that is given up before two crashes are known.
it('allows five starts before two crashes are known', () => {
  const crashMonitor = monitor();
  const job = new Job(submission(), NOW);
  for (let number = 1; number <= 4; number += 1) {
    const worker = idleWorker(`worker-${number}`, INCARNATION);
    const run = startOn(worker, job, number);
    if (number > 1) run.confirmedAt = undefined;
    run.mayStartLate = number === 4;
    worker.remove(run);
    crashMonitor.recordLosses(worker, [run], 'crashed', instant(NOW + 3_000));
    assert.equal(job.isEnded, false, `after ${number} losses`);
  }
});

// Guards against crashes that count under runs that were stopped before, unread.
checkTarget('does not blame a task for crashes after orders to stop it', () => {
  const crashMonitor = monitor();
  const job = new Job(submission(), NOW);
  for (let number = 1; number <= 3; number += 1) {
    const worker = idleWorker(`worker-${number}`, INCARNATION);
    const run = startOn(worker, job, number);
    run.phase = 'stopping';
    worker.remove(run);
    crashMonitor.recordLosses(worker, [run], 'crashed', instant(NOW + 100));
    assert.equal(job.isEnded, false, `after ${number} crashes`);
  }
});

// Guards against crashes that count under adopted runs whose end was not read.
checkTarget('does not blame an adopted run that may have ended since', () => {
  const crashMonitor = monitor();
  let job = new Job(submission(), NOW);
  for (let number = 1; number <= 4; number += 1) {
    const worker = idleWorker(`worker-${number}`, INCARNATION);
    worker.remove(startOn(worker, job, number));
    const {adopted, runs} = adopt(job);
    for (const run of runs) {
      const seen = {task: run.task, run: number, percent: 5, checkpoint: ''};
      run.updateFromList(seen, NOW);
    }
    crashMonitor.recordLosses(worker, runs, 'crashed', instant(NOW + 400));
    assert.equal(adopted.isEnded, false, `after ${number} takeovers`);
    job = adopted;
  }
});

/** Loses runs 1 to 3 of a job with their workers. */
function crashThreeTimes(crashMonitor: CrashMonitor, job: Job): void {
  for (let number = 1; number <= 3; number += 1) {
    const worker = idleWorker(`worker-${number}`, INCARNATION);
    const run = startOn(worker, job, number);
    worker.remove(run);
    crashMonitor.recordLosses(worker, [run], 'crashed', instant(NOW + 3_000));
  }
}

/** Ends a run of the job as broken, if its start was confirmed. */
function breakRun(
  crashMonitor: CrashMonitor,
  job: Job,
  number: number,
  {isStarted = true, isEndListed = false, seenMs = 0} = {},
): void {
  const run = startOn(idleWorker('worker', INCARNATION), job, number);
  const seen = {task: run.task, run: number, percent: 5, checkpoint: ''};
  run.updateFromList(seen, instant(NOW + seenMs));
  if (!isStarted) run.confirmedAt = undefined;
  run.isEndListed = isEndListed;
  job.runEnded(run, 'broken', '', Infinity, NOW);
  crashMonitor.recordEnd(run, NOW);
}

// Guards against a sixth start, as runs that ended otherwise were not counted.
it('limits the starts after three crashes, however their runs end', () => {
  const crashMonitor = monitor();
  const job = new Job(submission(), NOW);
  crashThreeTimes(crashMonitor, job);
  breakRun(crashMonitor, job, 4);
  const {adopted} = adopt(job);
  assert.equal(adopted.isEnded, false);
  breakRun(crashMonitor, adopted, 5);
  assert.equal(adopted.state, 'failed');
});

// Guards against a sixth start, as a gang broke before the start was confirmed.
it('counts a start whose end is listed before it is confirmed', () => {
  const crashMonitor = monitor();
  const job = new Job(submission(), NOW);
  crashThreeTimes(crashMonitor, job);
  for (const number of [4, 5]) {
    assert.equal(job.isEnded, false);
    breakRun(crashMonitor, job, number, {isStarted: false, isEndListed: true});
  }
  assert.equal(job.state, 'failed');
});

// Guards against a job that is given up for starts that prove nothing against it.
it('counts no starts that were refused or have proven to run', () => {
  const crashMonitor = monitor();
  const job = new Job(submission(), NOW);
  crashThreeTimes(crashMonitor, job);
  breakRun(crashMonitor, job, 4, {isStarted: false});
  breakRun(crashMonitor, job, 5, {seenMs: 1_000});
  breakRun(crashMonitor, job, 6);
  assert.equal(job.isEnded, false);
});

// Guards against crashes that count under members whose order to stop broke their gang.
checkTarget('does not blame a gang for crashes after its preemption', () => {
  const crashMonitor = monitor();
  const steps = [step({taskCount: 2, gang: true})];
  const job = new Job(submission({steps}), NOW);
  for (let number = 1; number <= 3; number += 1) {
    const crashing = idleWorker(`worker-${number}a`, INCARNATION);
    const other = idleWorker(`worker-${number}b`, INCARNATION);
    const lost = startOn(crashing, job, number);
    const broken = startOn(other, job, number, 1);
    for (const run of [lost, broken]) run.phase = 'stopping';
    other.remove(broken);
    job.runEnded(broken, 'broken', '', 3, NOW);
    crashing.remove(lost);
    crashMonitor.recordLosses(crashing, [lost], 'crashed', instant(NOW + 100));
    assert.equal(job.isEnded, false, `after ${number} crashes`);
  }
});

// Guards against a task that is given up for losses before it ran for minutes.
checkTarget('forgets the losses of a long-running task that then works', () => {
  const crashMonitor = monitor();
  const job = new Job(submission({steps: [step({longRunning: true})]}), NOW);
  for (let number = 1; number <= 6; number += 1) {
    const worker = idleWorker(`worker-${number}`, INCARNATION);
    const run = startOn(worker, job, number * 2);
    worker.remove(run);
    crashMonitor.recordLosses(worker, [run], 'ended', instant(NOW + 400));
    assert.equal(job.isEnded, false, `after ${number} losses`);
    const proven = startOn(worker, job, number * 2 + 1);
    const {task, runNumber} = proven;
    const seen = {task, run: runNumber, percent: 100, checkpoint: ''};
    proven.updateFromList(seen, instant(NOW + 300_000));
    worker.remove(proven);
    job.runEnded(proven, 'failed', '', 3, instant(NOW + 300_000));
  }
});
