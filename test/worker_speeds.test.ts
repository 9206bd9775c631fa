/** Tests of learned worker speeds, and of what callers get by them. */

import assert from 'node:assert/strict';
import {createHash} from 'node:crypto';
import {describe, it} from 'node:test';
import {completedRun} from '../src/leader/jobs/completed_runs.js';
import {Job} from '../src/leader/jobs/jobs.js';
import {Run} from '../src/leader/jobs/runs.js';
import {planRound} from '../src/leader/planning/placement.js';
import {WorkerSpeeds} from '../src/leader/workers/worker_speeds.js';
import {WorkerState} from '../src/leader/workers/worker_state.js';
import {SeededRandom} from '../src/lifecycle/random.js';
import {instant, trustedId} from '../src/model/ids.js';
import type {JobId, VmId, WorkerId} from '../src/model/ids.js';
import {LoadReplay} from './leader_load.js';
import {overloadedSite, unevenSite} from './leader_loads.js';

const SHAPE = {processorMillicores: 1_000, memoryMegabytes: 1, accelerators: 1};
const WORKERS = 60;

/** Hash of the planner's decisions on a load, from before it knew of speeds. */
const RECORDED_DECISIONS = 'a82192049c73450b';

const SEEDS = [1, 2, 3];

/** Workers that always run two tasks of steps of twelve each. */
class SpeedsWorld {
  readonly workers: readonly WorkerState[];
  speeds = new WorkerSpeeds();
  private readonly random: SeededRandom;
  private readonly workMs = new Map<Run, number>();
  private jobCount = 0;
  private waiting: Run[] = [];
  private now = 0;

  constructor(
    seed: number,
    readonly factors: number[],
  ) {
    this.random = new SeededRandom(seed);
    this.workers = factors.map(
      (_, index) =>
        new WorkerState({
          workerId: trustedId<WorkerId>(`w${index}`),
          vmId: trustedId<VmId>(`vm${index}`),
          incarnation: 1,
          address: 'host:1',
          serviceId: trustedId('service'),
          zone: trustedId('zone'),
          rackId: undefined,
          labels: new Set(),
          capacity: SHAPE,
          isDraining: false,
          remainingMs: undefined,
        }),
    );
  }

  run(durationMs: number): void {
    const until = this.now + durationMs;
    for (; this.now < until; this.now += 200) {
      const now = instant(this.now);
      this.workers.forEach((worker, index) => this.work(worker, index));
      this.speeds.observe(this.workers, now);
    }
  }

  /** A new leader knows the runs, but not their progress so far. */
  takeOver(): void {
    this.speeds = new WorkerSpeeds();
    for (const worker of this.workers) {
      for (const run of [...worker.runs.values()]) {
        const {unit, taskIndex, workerId, vmId, progressPercent} = run;
        const adopted = new Run(
          unit,
          taskIndex,
          1,
          workerId,
          1,
          instant(this.now),
          vmId,
        );
        adopted.progressPercent = progressPercent;
        this.workMs.set(adopted, this.workMs.get(run) ?? 0);
        worker.remove(run);
        worker.add(adopted);
      }
    }
  }

  /** Learned factors of the workers whose true factor this is. */
  learned(factor: number): number[] {
    return this.workers
      .filter((_, index) => this.factors[index] === factor)
      .map(({entry}) => this.speeds.speedOf(entry).factor);
  }

  private work(worker: WorkerState, index: number): void {
    for (const run of [...worker.runs.values()]) {
      const totalMs = (this.workMs.get(run) ?? 0) * (this.factors[index] ?? 1);
      const done = (run.progressPercent += (200 / totalMs) * 100);
      run.progress.add(Math.floor(done), this.now);
      if (done < 100) continue;
      worker.remove(run);
      this.speeds.recordEnd(run, worker, undefined, instant(this.now));
    }
    while (worker.runs.size < 2) worker.add(this.nextRun(worker));
  }

  private nextRun({workerId, entry}: WorkerState): Run {
    if (this.waiting.length === 0) this.submit();
    const {unit, taskIndex} = this.waiting.shift() as Run;
    const run = new Run(
      unit,
      taskIndex,
      1,
      workerId,
      1,
      instant(this.now),
      entry.vmId,
    );
    const radius = Math.sqrt(-2 * Math.log(1 - this.random.next()));
    const normal = radius * Math.cos(2 * Math.PI * this.random.next());
    this.workMs.set(run, unit.step.estimatedMs * Math.exp(0.25 * normal));
    return run;
  }

  private submit(): void {
    this.jobCount += 1;
    const {units} = createJob(
      this.jobCount,
      12,
      2_000 + 4_000 * this.random.next(),
    );
    const random = this.random;
    this.waiting = units
      .map((unit) => ({unit, order: random.next()}))
      .sort((a, b) => a.order - b.order)
      .map(({unit}) => createRun(unit, 'w'));
  }
}

function createJob(number: number, tasks: number, workMs: number): Job {
  return new Job(
    {
      jobId: trustedId<JobId>(number.toString(16).padStart(16, '0')),
      queueId: trustedId('queue'),
      serviceId: trustedId('service'),
      specification: '',
      steps: [{taskCount: tasks, shape: SHAPE, estimatedMs: workMs, after: []}],
      occurrences: 0,
      firstDueAt: 0,
      intervalMs: 0,
      submittedAt: 0,
    },
    instant(0),
  );
}

function createRun(unit: Job['units'][number], workerId: string): Run {
  const id = trustedId<WorkerId>(workerId);
  return new Run(unit, unit.firstIndex, 1, id, 1, instant(0));
}

function uneven(): number[] {
  return Array.from(
    {length: WORKERS},
    (_, index) => [0.6, 1, 1.6][index % 3] ?? 1,
  );
}

describe('the speeds of workers', () => {
  for (const seed of SEEDS) {
    it(`are learned in ten seconds of work, seed ${seed}`, () => {
      const world = new SpeedsWorld(seed, uneven());
      world.run(10_000);
      assert.ok(
        Math.max(...world.learned(0.6)) < Math.min(...world.learned(1.6)),
      );
      assert.ok(Math.max(...world.learned(0.6)) < 1);
      assert.ok(Math.min(...world.learned(1.6)) > 1.1);
    });

    it(`are not believed of workers that are alike, seed ${seed}`, () => {
      const world = new SpeedsWorld(
        seed,
        Array.from({length: WORKERS}, () => 1),
      );
      for (let second = 0; second < 60; second += 1) {
        world.run(1_000);
        for (const factor of world.learned(1)) {
          assert.ok(factor > 0.85 && factor < 1.18, `${factor}`);
        }
      }
    });

    it(`follow a worker that changes, seed ${seed}`, () => {
      const world = new SpeedsWorld(seed, uneven());
      world.run(30_000);
      world.factors[0] = 1.601;
      world.run(60_000);
      assert.ok((world.learned(1.601)[0] ?? 0) > 1.1);
    });

    it(`are learned by a new leader from what is at work, seed ${seed}`, () => {
      const world = new SpeedsWorld(seed, uneven());
      world.run(10_000);
      world.takeOver();
      world.run(4_000);
      const slow = world.learned(1.6);
      const fast = world.learned(0.6);
      const mean = (values: number[]) =>
        values.reduce((sum, value) => sum + value, 0) / values.length;
      assert.ok(mean(fast) < mean(slow));
    });
  }
});

describe('the run time of a finished run', () => {
  const finished = (): Run => {
    const [unit] = createJob(1, 1, 1_000).units;
    assert.ok(unit !== undefined);
    const run = createRun(unit, 'w1');
    run.phase = 'running';
    run.firstSentAt = instant(1_000);
    run.confirmedAt = instant(1_010);
    return run;
  };

  it('is known from a start and an end in contact', () => {
    const completed = completedRun(finished(), 'done', instant(3_010));
    assert.equal(completed?.ranMs, 2_000);
  });

  it('is not known if the run was not observed, or not whole', () => {
    const cases: Array<Partial<Run>> = [
      {wasAdopted: true},
      {mayStartLate: true},
      {isRestored: true},
      {unobservedMs: 500},
      {phase: 'stopping'},
      {confirmedAt: instant(2_000)},
      {firstSentAt: undefined},
    ];
    for (const change of cases) {
      const run = Object.assign(finished(), change);
      assert.equal(completedRun(run, 'done', instant(3_010)), undefined);
    }
    assert.equal(completedRun(finished(), 'failed', instant(3_010)), undefined);
  });
});

describe('the planner on a site with uneven workers', () => {
  const onTime = (learnsSpeeds: boolean, queue: string): number => {
    const shares = SEEDS.map((seed) => {
      const replay = new LoadReplay(
        unevenSite(),
        seed,
        planRound,
        learnsSpeeds,
      );
      return replay.run().queues.get(queue)?.onTime ?? 0;
    });
    return shares.reduce((sum, share) => sum + share, 0) / shares.length;
  };

  it('finishes three quarters of the quick checks in time by speeds', () => {
    const share = onTime(true, 'check');
    assert.ok(share >= 0.75, `${share}`);
    assert.ok(share > onTime(false, 'check'));
  });

  it('keeps patient work in time on slow workers', () => {
    assert.ok(onTime(true, 'scan') >= 0.9);
    assert.ok(onTime(true, 'bake') >= onTime(false, 'bake'));
  });

  it('decides as before without speeds', () => {
    const decisions = createHash('sha256');
    new LoadReplay(overloadedSite(0.2), 1, (view) => {
      const plan = planRound(view);
      for (const {unit, workers} of plan.placements) {
        const names = workers.map(({workerId}) => workerId).join();
        decisions.update(`${view.now} ${unit.job.id} ${names}\n`);
      }
      for (const run of plan.preemptions) {
        decisions.update(`${view.now} stop ${run.task}\n`);
      }
      return plan;
    }).run();
    assert.equal(decisions.digest('hex').slice(0, 16), RECORDED_DECISIONS);
  });
});
