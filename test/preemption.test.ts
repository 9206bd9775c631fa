/**
 * Which runs pay for guaranteed work where customers compete for whole workers,
 * and that sites whose settings do not ask for it are served as before.
 */

import assert from 'node:assert/strict';
import {createHash} from 'node:crypto';
import {describe, it} from 'node:test';
import {Job} from '../src/leader/jobs/jobs.js';
import {LostWork} from '../src/leader/jobs/lost_work.js';
import {RunTimeTable} from '../src/leader/jobs/run_times.js';
import {Run} from '../src/leader/jobs/runs.js';
import {planRound} from '../src/leader/planning/placement.js';
import type {RoundPlan} from '../src/leader/planning/placement.js';
import type {PlanningView} from '../src/leader/planning/planning_view.js';
import {
  EconomicalPreemption,
  ImmediatePreemption,
  createPreemptionPolicy,
} from '../src/leader/planning/preemption_policy.js';
import type {PreemptionPolicy} from '../src/leader/planning/preemption_policy.js';
import {WorkerState} from '../src/leader/workers/worker_state.js';
import {steadyTime} from '../src/lifecycle/clock.js';
import {instant, trustedId} from '../src/model/ids.js';
import type {CustomerId, RackId, WorkerId} from '../src/model/ids.js';
import type {Step, Submission} from '../src/model/submissions.js';
import {configuration, step, submission} from './leader_fixture.js';
import {LoadReplay} from './leader_load.js';
import {competingSite, overloadedSite} from './leader_loads.js';

const BOUNDS = {reclaimMs: 2_700, stopMs: 200, restoreMs: 100};

/** Start bound of guaranteed work, less 0.4 s for a store and a worker. */
const GUARANTEED_WAIT_LIMIT_MS = 2_300;

/** Decisions on the recorded load before policies existed, on 7b8aea4. */
const DECISIONS_BEFORE = '8f0ae0442bef5d49';

/** Workers with eight accelerators; one leaves after `leavesInMs`, if given. */
class Workers {
  readonly states = new Map<WorkerId, WorkerState>();

  constructor(...names: string[]) {
    for (const name of names) this.add(name);
  }

  add(name: string, leavesInMs?: number): void {
    const workerId = trustedId<WorkerId>(name);
    const state = new WorkerState({
      workerId,
      incarnation: 1,
      address: 'host:1',
      serviceId: trustedId('service'),
      zone: trustedId('zone'),
      rackId: trustedId<RackId>('rack'),
      labels: new Set(),
      capacity: {
        processorMillicores: 32_000,
        memoryMegabytes: 65_536,
        accelerators: 8,
      },
      isDraining: false,
      remainingMs: undefined,
    });
    this.states.set(workerId, state);
    if (leavesInMs === undefined) return;
    const {entry} = state;
    const leaving = {...entry, isDraining: true, remainingMs: leavesInMs};
    state.update(leaving, steadyTime(0));
  }

  /** Starts a unit of one task on each of these workers. */
  occupy(names: string[], startedAt: number, changes: Partial<Step>): Run[] {
    const {job} = waiting({taskCount: names.length, gang: true, ...changes});
    const [unit] = job.units;
    assert.ok(unit !== undefined);
    return names.map((name, index) => {
      const workerId = trustedId<WorkerId>(name);
      const run = new Run(unit, index, 1, workerId, 1, instant(startedAt));
      run.phase = 'running';
      unit.runs.push(run);
      this.states.get(workerId)?.add(run);
      return run;
    });
  }

  plan(job: Job, now: number, preemption: PreemptionPolicy): RoundPlan {
    return planRound({
      jobs: [job],
      workers: this.states,
      configuration: configuration(),
      runTimes: new RunTimeTable(),
      preemption,
      now: instant(now),
      steady: steadyTime(now),
      isCalm: true,
      admits: () => true,
    });
  }
}

function waiting(
  changes: Partial<Step>,
  submissionChanges: Partial<Submission> = {},
): {job: Job} {
  const shape = {
    processorMillicores: 1_000,
    memoryMegabytes: 1_000,
    accelerators: 8,
  };
  const steps = [step({shape, estimatedMs: 60_000, ...changes})];
  return {job: new Job(submission({steps, ...submissionChanges}), instant(0))};
}

function guaranteed(): Job {
  return waiting(
    {},
    {queueId: trustedId('urgent'), customerId: trustedId<CustomerId>('owner')},
  ).job;
}

describe('guaranteed work that finds all workers taken', () => {
  const taken = () => {
    const workers = new Workers('saving', 'losing');
    const [saving] = workers.occupy(['saving'], 0, {checkpointing: true});
    const [losing] = workers.occupy(['losing'], 4_500, {});
    return {workers, saving, losing};
  };

  it('stops the run whose state is saved at the stop', () => {
    const {workers, saving, losing} = taken();
    const plan = (policy: PreemptionPolicy) =>
      workers.plan(guaranteed(), 5_000, policy).preemptions;
    assert.deepEqual(plan(new EconomicalPreemption(BOUNDS)), [saving]);
    assert.deepEqual(plan(new ImmediatePreemption()), [losing]);
  });

  it('spares a unit that was stopped for others before', () => {
    const {workers, saving, losing} = taken();
    assert.ok(saving !== undefined);
    saving.unit.preemptions = 3;
    const {preemptions, beneficiaries} = workers.plan(
      guaranteed(),
      5_000,
      new EconomicalPreemption(BOUNDS),
    );
    assert.deepEqual(preemptions, [losing]);
    assert.equal(beneficiaries.size, 1);
  });

  it('stops no second run while the first one does not stop in time', () => {
    const {workers, saving} = taken();
    assert.ok(saving !== undefined);
    saving.phase = 'stopping';
    const policy = new EconomicalPreemption(BOUNDS);
    assert.equal(
      workers.plan(guaranteed(), 6_000, policy).preemptions.length,
      0,
    );
  });

  it('stops another run if the worker is lost after the stop', () => {
    const {workers, saving, losing} = taken();
    assert.ok(saving !== undefined);
    saving.phase = 'stopping';
    const worker = workers.states.get(saving.workerId);
    assert.ok(worker !== undefined);
    worker.isListed = false;
    const policy = new EconomicalPreemption(BOUNDS);
    const {preemptions} = workers.plan(guaranteed(), 6_000, policy);
    assert.deepEqual(preemptions, [losing]);
  });

  it('stops a run whose stop an earlier leader may have sent', () => {
    const {workers, saving} = taken();
    assert.ok(saving !== undefined);
    saving.unit.preemptions = 0;
    saving.phase = 'ordered';
    saving.wasAdopted = true;
    const policy = new EconomicalPreemption(BOUNDS);
    const {preemptions} = workers.plan(guaranteed(), 5_000, policy);
    assert.deepEqual(preemptions, [saving]);
  });
});

describe('a unit with a member on a worker that leaves', () => {
  const doomed = (changes: Partial<Step>, leavesInMs = 2_000) => {
    const workers = new Workers('stays');
    workers.add('leaves', leavesInMs);
    const started = workers.occupy(['stays', 'leaves'], 0, changes);
    const none = waiting({}).job;
    none.end('complete', instant(0));
    const economical = new EconomicalPreemption(BOUNDS);
    const {doomed: stopped} = workers.plan(none, 0, economical);
    assert.equal(
      workers.plan(none, 0, new ImmediatePreemption()).doomed.length,
      0,
    );
    return {stopped, started};
  };

  it('is stopped as a whole if it cannot end before', () => {
    const {stopped, started} = doomed({estimatedMs: 8_000});
    assert.deepEqual(stopped, started);
  });

  it('goes on if it may end before, saves its state, or runs for good', () => {
    const cases: Array<Partial<Step>> = [
      {estimatedMs: 2_500},
      {estimatedMs: 8_000, checkpointing: true},
      {estimatedMs: 8_000, longRunning: true},
    ];
    for (const changes of cases) {
      assert.equal(doomed(changes).stopped.length, 0);
    }
  });
});

it('counts lost work by cause, less what a stop saves', () => {
  const workers = new Workers('a', 'b', 'c');
  const [saving] = workers.occupy(['a'], 0, {checkpointing: true});
  const [losing] = workers.occupy(['b'], 0, {});
  const [done] = workers.occupy(['c'], 0, {});
  assert.ok(saving && losing && done);
  const lost = new LostWork(500);
  for (const run of [saving, losing, done]) run.confirmedAt = instant(0);
  saving.stopCause = 'preempted';
  lost.record(saving, 'stopped', instant(2_000));
  lost.record(losing, 'broken', instant(2_000));
  lost.record(done, 'done', instant(2_000));
  // One core and eight accelerators of eight cores each, for 2 s.
  const broken = {runs: 1, coreSeconds: 130};
  assert.deepEqual(
    [...lost.counts],
    [
      ['preempted', {runs: 1, coreSeconds: 0}],
      ['gangBroken', broken],
    ],
  );
  saving.stopCause = undefined;
  lost.record(saving, 'lost', instant(2_000));
  const {coreSeconds} = lost.counts.get('workerLost') ?? {coreSeconds: 0};
  assert.equal(coreSeconds, 32.5);
});

describe('the policy of a site', () => {
  const settings = {
    ...BOUNDS,
    policy: 'auto',
    checkpointIntervalS: 0.5,
  } as const;

  it('is economical on request, and with frequent checkpoints', () => {
    const cases = [
      [settings, EconomicalPreemption],
      [{...settings, checkpointIntervalS: 1}, ImmediatePreemption],
      [{...settings, stopMs: 900, restoreMs: 600}, ImmediatePreemption],
      [{...settings, policy: 'immediate'}, ImmediatePreemption],
      [
        {...settings, policy: 'economical', checkpointIntervalS: 2},
        EconomicalPreemption,
      ],
      [undefined, ImmediatePreemption],
    ] as const;
    for (const [given, expected] of cases) {
      assert.ok(createPreemptionPolicy(given) instanceof expected);
    }
  });

  it('leaves the decisions of the other sites as they were', () => {
    const digest = createHash('sha256');
    const recording = (view: PlanningView): RoundPlan => {
      const plan = planRound(view);
      for (const {unit, workers} of plan.placements) {
        const {job, occurrence, stepIndex, firstIndex} = unit;
        const name = `${job.id}.${occurrence}.${stepIndex}.${firstIndex}`;
        const names = workers.map(({workerId}) => workerId).join(',');
        digest.update(`${view.now} start ${name} ${names}\n`);
      }
      for (const {task} of plan.preemptions) {
        digest.update(`${view.now} stop ${task}\n`);
      }
      return plan;
    };
    const policy = createPreemptionPolicy({
      ...settings,
      checkpointIntervalS: 1,
    });
    new LoadReplay(overloadedSite(0.25), 3, recording, policy).run();
    assert.equal(digest.digest('hex').slice(0, 16), DECISIONS_BEFORE);
  });
});

it('starts guaranteed work within its bound where customers compete', () => {
  const policy = new EconomicalPreemption(BOUNDS);
  const load = competingSite(0.4);
  const {longestGuaranteedWaitMs, queues} = new LoadReplay(
    load,
    1,
    planRound,
    policy,
  ).run();
  assert.ok(
    longestGuaranteedWaitMs <= GUARANTEED_WAIT_LIMIT_MS,
    `${longestGuaranteedWaitMs} ms`,
  );
  const share = queues.get('check')?.onTime ?? 0;
  assert.ok(share >= 0.75, `${share}`);
});
