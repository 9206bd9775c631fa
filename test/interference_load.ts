/**
 * Plays a load with known interference through the planner and the learner in
 * virtual time. Each worker has a speed, and tasks of some images slow down
 * others beside them.
 */

import {completedRun} from '../src/leader/jobs/completed_runs.js';
import {Job} from '../src/leader/jobs/jobs.js';
import type {Unit} from '../src/leader/jobs/jobs.js';
import {RunTimeTable} from '../src/leader/jobs/run_times.js';
import {Run} from '../src/leader/jobs/runs.js';
import {ImmediatePreemption} from '../src/leader/planning/preemption_policy.js';
import {planRound} from '../src/leader/planning/placement.js';
import type {Placement} from '../src/leader/planning/placement.js';
import {InterferenceTable} from '../src/leader/workers/interference.js';
import type {
  InterferingPair,
  KnownInterference,
} from '../src/leader/workers/interference.js';
import {WorkerState} from '../src/leader/workers/worker_state.js';
import {steadyTime} from '../src/lifecycle/clock.js';
import {SeededRandom} from '../src/lifecycle/random.js';
import {instant, trustedId} from '../src/model/ids.js';
import type {RackId, WorkerId} from '../src/model/ids.js';
import {configuration, step, submission} from './leader_fixture.js';

const STEP_MS = 50;
const RACKS = 5;
const WORKERS_PER_RACK = 8;
const ACCELERATORS = 8;
const MEAN_WORK_MS = 4_000;

export interface InterferenceLoad {
  readonly seed: number;
  readonly seconds: number;
  readonly images: readonly string[];
  /** Of all images together; each job has 8 tasks on average. */
  readonly jobsPerSecond: number;
  /** Spread of the logarithm of the work of jobs, tasks and estimates. */
  readonly spread: {job: number; task: number; estimate: number};
  /** Factor of the run time of one image beside another. */
  slowdown(slowed: string, beside: string, now: number): number;
  /** Factor of the run time on a worker. */
  workerFactor(index: number): number;
  /** Images that only the second half of the workers may run. */
  readonly pinned?: ReadonlySet<string>;
  readonly keepsApart?: boolean;
}

export interface InterferenceOutcome {
  /** `slowed<beside`, as believed at the end. */
  readonly known: readonly string[];
  readonly everBelieved: readonly string[];
  readonly dropped: readonly string[];
  readonly pairs: readonly InterferingPair[];
  /** Mean run time relative to the work, by image. */
  readonly stretch: ReadonlyMap<string, number>;
  readonly meanWaitMs: number;
  /** Mean share of workers without runs. */
  readonly vacantShare: number;
  readonly roundMs: number;
  readonly learningMs: number;
}

interface Active {
  readonly run: Run;
  readonly unit: Unit;
  readonly image: string;
  readonly workMs: number;
  remainingMs: number;
}

export function playInterference(load: InterferenceLoad): InterferenceOutcome {
  return new Replay(load).play();
}

/** 5 racks of 8 workers with 8 accelerators each. */
export class InterferenceSite {
  readonly workers = new Map<WorkerId, WorkerState>();

  constructor() {
    const count = RACKS * WORKERS_PER_RACK;
    for (let index = 0; index < count; index += 1) {
      const workerId = trustedId<WorkerId>(`w${index}`);
      const rackId = trustedId<RackId>(`rack-${index % RACKS}`);
      const half = index * 2 < count ? 'first' : 'second';
      const state = new WorkerState({
        workerId,
        incarnation: 1,
        address: 'host:1',
        serviceId: trustedId('service'),
        zone: trustedId('zone'),
        rackId,
        labels: new Set([rackId, half]),
        capacity: {
          processorMillicores: 64_000,
          memoryMegabytes: 65_536,
          accelerators: ACCELERATORS,
        },
        isDraining: false,
        remainingMs: undefined,
      });
      this.workers.set(workerId, state);
    }
  }

  plan(
    jobs: Iterable<Job>,
    interference?: KnownInterference,
    runTimes = new RunTimeTable(),
    now = 0,
  ): readonly Placement[] {
    return planRound({
      jobs,
      workers: this.workers,
      configuration: configuration(),
      runTimes,
      preemption: new ImmediatePreemption(),
      now: instant(now),
      steady: steadyTime(now),
      isCalm: true,
      interference,
      admits: () => true,
    }).placements;
  }

  /** Starts the unit's tasks at once. */
  start(placement: Placement | undefined, now = 0): readonly Run[] {
    if (placement === undefined) return [];
    const {unit, workers} = placement;
    unit.lastRun = 1;
    return workers.map((worker, offset) => {
      const index = unit.firstIndex + offset;
      const {workerId} = worker;
      const run = new Run(unit, index, 1, workerId, 1, instant(now));
      run.phase = 'running';
      run.firstSentAt = instant(now);
      run.confirmedAt = instant(now);
      unit.runs.push(run);
      worker.add(run);
      return run;
    });
  }
}

class Replay {
  private readonly site = new InterferenceSite();
  private readonly random: SeededRandom;
  private readonly factors = new Map<WorkerId, number>();
  private readonly open = new Set<Job>();
  private readonly workOf = new Map<Unit, number>();
  private readonly active = new Map<WorkerId, Active[]>();
  private readonly runTimes = new RunTimeTable();
  private readonly everBelieved = new Set<string>();
  private readonly dropped: string[] = [];
  private readonly stretches = new Map<string, number[]>();
  private readonly waits: number[] = [];
  private readonly vacantShares: number[] = [];
  private learningMs = 0;
  private roundMs = 0;
  private readonly table = new InterferenceTable(this.runTimes, {
    interferenceFound: (pair) => this.everBelieved.add(nameOf(pair)),
    interferenceGone: (pair) => this.dropped.push(nameOf(pair)),
  });

  constructor(private readonly load: InterferenceLoad) {
    this.random = new SeededRandom(load.seed);
    [...this.site.workers.keys()].forEach((workerId, index) => {
      this.factors.set(workerId, load.workerFactor(index));
      this.active.set(workerId, []);
    });
  }

  play(): InterferenceOutcome {
    const {load, random} = this;
    let nextAt = 0;
    for (let now = 0; now < load.seconds * 1_000; now += STEP_MS) {
      for (; nextAt <= now;) {
        this.open.add(this.createJob(now));
        const gapS = -Math.log(1 - random.next()) / load.jobsPerSecond;
        nextAt += gapS * 1_000;
      }
      this.work(now);
      this.runRound(now);
    }
    const rounds = load.seconds * (1_000 / STEP_MS);
    const pairs = this.table.believedPairs();
    return {
      known: pairs.map(nameOf).sort(),
      everBelieved: [...this.everBelieved].sort(),
      dropped: this.dropped,
      pairs,
      stretch: new Map(
        [...this.stretches].map(([image, values]) => [image, mean(values)]),
      ),
      meanWaitMs: mean(this.waits),
      vacantShare: mean(this.vacantShares),
      roundMs: this.roundMs / rounds,
      learningMs: this.learningMs / rounds,
    };
  }

  private createJob(now: number): Job {
    const {random, load} = this;
    const {spread} = load;
    const image = load.images[random.nextBelow(load.images.length)] ?? '';
    const meanMs = this.spread(MEAN_WORK_MS, spread.job);
    const job = new Job(
      submission({
        steps: [
          step({
            image,
            taskCount: 1 + random.nextBelow(15),
            estimatedMs: this.spread(meanMs, spread.estimate),
            ...(load.pinned?.has(image) === true
              ? {requiredLabel: 'second'}
              : {}),
          }),
        ],
      }),
      instant(now),
    );
    for (const unit of job.units) {
      this.workOf.set(unit, this.spread(meanMs, spread.task));
    }
    return job;
  }

  private spread(middle: number, spread: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.random.next()));
    const angle = 2 * Math.PI * this.random.next();
    return middle * Math.exp(spread * radius * Math.cos(angle));
  }

  private work(now: number): void {
    let vacant = 0;
    for (const [workerId, active] of this.active) {
      if (active.length === 0) vacant += 1;
      const images = new Map<string, number>();
      for (const {image} of active) {
        images.set(image, (images.get(image) ?? 0) + 1);
      }
      for (const each of [...active]) {
        let factor = this.factors.get(workerId) ?? 1;
        for (const [beside, count] of images) {
          if (beside === each.image && count === 1) continue;
          factor *= this.load.slowdown(each.image, beside, now);
        }
        each.remainingMs -= STEP_MS / factor;
        if (each.remainingMs <= 0) this.end(workerId, each, now);
      }
    }
    this.vacantShares.push(vacant / this.active.size);
  }

  private end(workerId: WorkerId, ended: Active, now: number): void {
    const {run, unit, image, workMs} = ended;
    const {job} = unit;
    const others = (this.active.get(workerId) ?? []).filter(
      (other) => other !== ended,
    );
    this.active.set(workerId, others);
    this.site.workers.get(workerId)?.remove(run);
    const completed = completedRun(run, 'done', instant(now));
    const startedAt = performance.now();
    this.table.runEnded(run, instant(now), completed);
    this.learningMs += performance.now() - startedAt;
    job.runEnded(run, 'done', '', 3, instant(now));
    this.runTimes.recordDone(run, instant(now));
    if (job.isEnded) this.open.delete(job);
    const stretches = this.stretches.get(image) ?? [];
    stretches.push((now - run.plannedAt) / workMs);
    this.stretches.set(image, stretches);
  }

  private runRound(now: number): void {
    const startedAt = performance.now();
    const placements = this.site.plan(
      this.open,
      this.load.keepsApart === true ? this.table : undefined,
      this.runTimes,
      now,
    );
    this.roundMs += performance.now() - startedAt;
    for (const placement of placements) this.place(placement, now);
  }

  private place(placement: Placement, now: number): void {
    const {unit} = placement;
    this.waits.push(now - unit.job.acceptedAt);
    for (const run of this.site.start(placement, now)) {
      const startedAt = performance.now();
      this.table.runStarted(run, instant(now));
      this.learningMs += performance.now() - startedAt;
      const workMs = this.workOf.get(unit) ?? 0;
      this.active.get(run.workerId)?.push({
        run,
        unit,
        image: unit.step.image ?? '',
        workMs,
        remainingMs: workMs,
      });
    }
  }
}

function nameOf({slowed, beside}: InterferingPair): string {
  return `${slowed}<${beside}`;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
