/**
 * What the explanation of a job says against what the scheduler then does, that
 * asking changes nothing, and what cannot be explained.
 */

import assert from 'node:assert/strict';
import {createHash} from 'node:crypto';
import {describe, it} from 'node:test';
import {decodeJob} from '../platform/ingress.js';
import {DaemonLog} from '../src/daemon/log.js';
import {explainSubmission} from '../src/entry/explanations.js';
import type {SubmissionQuery} from '../src/entry/explanations.js';
import {JobExplainer} from '../src/leader/explainer.js';
import {JobRegistry} from '../src/leader/jobs/job_registry.js';
import {Job} from '../src/leader/jobs/jobs.js';
import {submittedKey} from '../src/leader/jobs/records.js';
import {RunTimeTable} from '../src/leader/jobs/run_times.js';
import {Run} from '../src/leader/jobs/runs.js';
import {LeaderLog} from '../src/leader/leader_log.js';
import {explanationSchema} from '../src/leader/planning/explanation.js';
import type {Explanation} from '../src/leader/planning/explanation.js';
import {explainJob} from '../src/leader/planning/job_explanation.js';
import {planRound} from '../src/leader/planning/placement.js';
import type {RoundPlan} from '../src/leader/planning/placement.js';
import type {PlanningView} from '../src/leader/planning/planning_view.js';
import {
  EconomicalPreemption,
  ImmediatePreemption,
} from '../src/leader/planning/preemption_policy.js';
import {WorkerState} from '../src/leader/workers/worker_state.js';
import {steadyTime} from '../src/lifecycle/clock.js';
import {instant, trustedId} from '../src/model/ids.js';
import type {JobId, RackId, WorkerId} from '../src/model/ids.js';
import type {Step, Submission} from '../src/model/submissions.js';
import {configuration, step, submission} from './leader_fixture.js';
import {LoadReplay} from './leader_load.js';
import {competingSite, overloadedSite, unevenSite} from './leader_loads.js';
import type {Load} from './leader_loads.js';

/** Larger answers would be a burden for the leader. */
const MAXIMUM_ANSWER_BYTES = 1_048_576;

/** Asks about jobs in one round of this many. */
const ROUNDS_PER_QUESTION = 20;
const JOBS_PER_QUESTION = 6;

/** Compares what was said about the job with the round that came then. */
function assertCameTrue(job: Job, said: Explanation, plan: RoundPlan): void {
  explanationSchema.parse(JSON.parse(JSON.stringify(said)));
  const placed = plan.placements.filter(({unit}) => unit.job === job);
  const awaited = new Set(
    [...plan.beneficiaries.values()].filter((unit) => unit.job === job),
  );
  const waiting = plan.waiting.filter((unit) => unit.job === job);
  const sum = (count: (group: Explanation['groups'][number]) => number) =>
    said.groups.reduce((total, group) => total + count(group), 0);
  if (said.omittedGroups === 0) {
    assert.equal(
      sum(({placedUnits}) => placedUnits),
      placed.length,
    );
    assert.equal(
      sum((group) => group.unitsAfterStops + (group.waiting?.units ?? 0)),
      waiting.length,
    );
    const stops = said.groups.flatMap(({afterStops}) => afterStops);
    assert.equal(
      stops.filter(({runCount}) => runCount > 0).length,
      awaited.size,
    );
  }
  for (const told of said.groups.flatMap((group) => group.placed)) {
    const found = placed.find(
      ({unit: {occurrence, stepIndex, firstIndex}}) =>
        told.unit === `${occurrence}.${stepIndex}.${firstIndex}`,
    );
    const names = new Set(found?.workers.map(({workerId}) => workerId));
    assert.equal(told.workerCount, names.size);
    for (const {workerId} of told.workers) {
      assert.ok(names.has(workerId as WorkerId));
    }
  }
  for (const {runs} of said.groups.flatMap((group) => group.afterStops)) {
    for (const {task, workerId} of runs) {
      const run = plan.preemptions.find((each) => each.task === task);
      assert.equal(run?.workerId, workerId);
      const beneficiary = run && plan.beneficiaries.get(run);
      assert.equal(beneficiary?.job, job);
    }
  }
}

interface Replayed {
  readonly decisions: string;
  readonly explanations: readonly Explanation[];
}

/** With `asks`, some rounds come after questions about jobs that are open. */
function replay(load: Load, asks: boolean, isEconomical: boolean): Replayed {
  const decisions = createHash('sha256');
  const explanations: Explanation[] = [];
  let rounds = 0;
  const planner = (view: PlanningView): RoundPlan => {
    rounds += 1;
    const isAsked = asks && rounds % ROUNDS_PER_QUESTION === 0;
    const jobs = isAsked ? [...view.jobs].slice(-JOBS_PER_QUESTION) : [];
    const said = jobs.map((job) => explainJob(job, view));
    const [some] = jobs;
    if (some !== undefined) {
      // As if this job came once more, asked between two rounds.
      const askedAt = instant(view.now - 25);
      const copy = new Job(some.submission, askedAt);
      const trial = {...view, now: askedAt, jobs: [...view.jobs, copy]};
      explainJob(copy, trial);
    }
    const plan = planRound(view);
    jobs.forEach((job, index) => {
      const explanation = said[index];
      assert.ok(explanation !== undefined);
      assertCameTrue(job, explanation, plan);
    });
    explanations.push(...said);
    decisions.update(describePlan(plan));
    return plan;
  };
  const preemption = isEconomical
    ? new EconomicalPreemption({reclaimMs: 3_000, stopMs: 60, restoreMs: 100})
    : new ImmediatePreemption();
  new LoadReplay(load, 1, planner, preemption, load.speedFactors !== undefined)
    // The replay's own measures hold times, which differ.
    .run();
  return {decisions: decisions.digest('hex'), explanations};
}

function describePlan(plan: RoundPlan): string {
  const placements = plan.placements.map(({unit, workers}) => [
    unit.job.id,
    unit.firstIndex,
    ...workers.map(({workerId}) => workerId),
  ]);
  const stops = plan.preemptions.map(({task, runNumber}) => [task, runNumber]);
  const waiting = plan.waiting.map(({job, firstIndex}) => [job.id, firstIndex]);
  return JSON.stringify([placements, stops, waiting, plan.nextDueAt]);
}

describe('explanations on recorded loads', () => {
  const loads = [
    {name: 'overloaded', load: overloadedSite(0.3), isEconomical: false},
    {name: 'competing', load: competingSite(0.4), isEconomical: true},
    {name: 'uneven', load: unevenSite(), isEconomical: false},
  ];
  for (const {name, load, isEconomical} of loads) {
    it(`come true and change nothing on the ${name} site`, () => {
      const asked = replay(load, true, isEconomical);
      const unasked = replay(load, false, isEconomical);
      assert.equal(asked.decisions, unasked.decisions);
      const groups = asked.explanations.flatMap((each) => each.groups);
      const some = (what: string, isSo: boolean) =>
        assert.ok(isSo, `no explanation had ${what}`);
      some(
        'a unit that is placed',
        groups.some(({placedUnits}) => placedUnits > 0),
      );
      if (name !== 'uneven') {
        some(
          'a unit that waits',
          groups.some(({waiting}) => waiting !== undefined),
        );
      }
      if (name === 'competing') {
        some(
          'runs to be stopped',
          groups.some(({unitsAfterStops}) => unitsAfterStops > 0),
        );
      }
    });
  }
});

describe('the explanation of one job', () => {
  const now = instant(10_000);

  function workers(): Map<WorkerId, WorkerState> {
    const states = [0, 1, 2, 3, 4, 5].map((index) => {
      const workerId = trustedId<WorkerId>(`w${index}`);
      return new WorkerState({
        workerId,
        incarnation: 1,
        address: 'host:1',
        serviceId: trustedId('service'),
        zone: trustedId('zone'),
        rackId: trustedId<RackId>(`rack-${index % 2}`),
        labels: new Set(index === 5 ? [] : ['kind']),
        capacity: {
          processorMillicores: 32_000,
          memoryMegabytes: 65_536,
          accelerators: 8,
        },
        isDraining: index === 4,
        remainingMs: undefined,
      });
    });
    return new Map(states.map((state) => [state.workerId, state]));
  }

  function viewOf(
    jobs: Iterable<Job>,
    changes: Partial<PlanningView> = {},
  ): PlanningView {
    return {
      jobs,
      workers: workers(),
      configuration: configuration(),
      runTimes: new RunTimeTable(),
      preemption: new ImmediatePreemption(),
      now,
      steady: steadyTime(now),
      isCalm: true,
      admits: () => true,
      ...changes,
    };
  }

  function job(changes: Partial<Submission>): Job {
    return new Job(submission(changes), now);
  }

  function shaped(accelerators: number, changes: Partial<Step> = {}): Step {
    const shape = {processorMillicores: 1, memoryMegabytes: 1, accelerators};
    return step({shape, ...changes});
  }

  function occupy(
    states: ReadonlyMap<WorkerId, WorkerState>,
    name: string,
    {units}: Job,
  ): void {
    const [unit] = units;
    assert.ok(unit !== undefined);
    const run = new Run(unit, 0, 1, trustedId(name), 1, now);
    unit.runs.push(run);
    states.get(trustedId(name))?.add(run);
  }

  function rulesOf({groups}: Explanation): Record<string, number> {
    const [group] = groups;
    const rules = group?.workers.ruledOut ?? [];
    return Object.fromEntries(rules.map(({rule, workers: n}) => [rule, n]));
  }

  it('counts each worker for the first rule that ruled it out', () => {
    const running = job({steps: [shaped(8)]});
    const states = workers();
    occupy(states, 'w0', running);
    states.get(trustedId('w1'))?.quarantine(steadyTime(now));
    const gang = job({
      steps: [shaped(8, {taskCount: 4, gang: true, requiredLabel: 'kind'})],
    });
    const said = explainJob(gang, viewOf([running, gang], {workers: states}));
    assert.deepEqual(rulesOf(said), {
      draining: 1,
      quarantined: 1,
      labelMissing: 1,
      accelerators: 1,
    });
    const [group] = said.groups;
    assert.deepEqual(group?.workers.withRoom, {
      workers: 2,
      tasks: 2,
      tasksTogether: 2,
    });
    assert.deepEqual(group.waiting, {units: 1, cause: 'room'});
    assert.deepEqual(group.place, {jobsAhead: 0, unitsAhead: 0, unitsReady: 1});
  });

  it('tells the guarantee and what the customer holds of it', () => {
    const urgent = {
      queueId: trustedId<Submission['queueId']>('urgent'),
      customerId: trustedId<NonNullable<Submission['customerId']>>('owner'),
    };
    const first = job({...urgent, steps: [shaped(8)]});
    const states = workers();
    occupy(states, 'w0', first);
    const second = job({...urgent, steps: [shaped(8, {taskCount: 2})]});
    const view = viewOf([first, second], {workers: states});
    const {customer, rank, queue} = explainJob(second, view);
    assert.deepEqual(customer, {
      customerId: 'owner',
      guaranteedAccelerators: 16,
      heldAccelerators: 8,
      claimedAccelerators: 24,
    });
    assert.equal(rank, 'urgent');
    assert.equal(queue?.queueId, 'urgent');
  });

  it('tells what units that are not ready wait for', () => {
    const chain = job({
      steps: [shaped(1), shaped(1, {taskCount: 3, after: [0]})],
    });
    const said = explainJob(chain, viewOf([chain]));
    assert.deepEqual(said.units, {done: 0, placed: 0, ready: 1, notReady: 3});
    assert.deepEqual(said.notReady, [
      {obstacle: 'earlierSteps', units: 3, firstUnit: '0.1.0'},
    ]);
    const later = job({
      steps: [shaped(1)],
      occurrences: 2,
      firstDueAt: now + 500,
      intervalMs: 100,
    });
    const [waits] = explainJob(later, viewOf([later])).notReady;
    assert.deepEqual(waits, {
      obstacle: 'notDue',
      units: 2,
      firstUnit: '0.0.0',
      inMs: 500,
    });
  });

  it('names tickets, a gang without one rack, and a service without workers', () => {
    const causeOf = (each: Job, changes: Partial<PlanningView> = {}) =>
      explainJob(each, viewOf([each], changes)).groups[0]?.waiting?.cause;
    const single = job({steps: [shaped(1)]});
    assert.equal(causeOf(single, {admits: () => false}), 'tickets');
    assert.equal(causeOf(single, {workers: new Map()}), 'noWorker');
    const gang = shaped(8, {taskCount: 3, gang: true, sameRack: true});
    const states = workers();
    occupy(states, 'w1', job({steps: [shaped(8)]}));
    const confined = job({steps: [gang]});
    // The three workers of one rack have room if they are empty; two are.
    assert.equal(causeOf(confined, {workers: states}), 'rack');
  });

  it('stays within its size for the largest jobs', () => {
    const wide = [
      job({steps: [shaped(0, {taskCount: 20_000})]}),
      job({
        steps: Array.from({length: 100}, () =>
          shaped(8, {taskCount: 3, gang: true}),
        ),
      }),
    ];
    for (const each of wide) {
      const said = explainJob(each, viewOf(wide));
      assert.ok(JSON.stringify(said).length < MAXIMUM_ANSWER_BYTES);
      assert.ok(said.units.ready > 0);
    }
  });

  it('leaves units and workers as they were', () => {
    const jobs = [job({steps: [shaped(8, {taskCount: 9})]})];
    const view = viewOf(jobs);
    const [each] = jobs;
    assert.ok(each !== undefined);
    explainJob(each, view);
    for (const unit of each.units) {
      assert.equal(unit.readySince, undefined);
      assert.equal(unit.runs.length, 0);
    }
    assert.equal(each.isChanged, false);
    planRound(view);
    assert.equal(each.units[0]?.readySince, now);
  });

  describe('errors', () => {
    const registry = new JobRegistry(
      new LeaderLog(new DaemonLog('x', 'fatal')),
    );
    const explainer = new JobExplainer(registry, () => viewOf(registry.open));
    const stored = submission();
    registry.applyInboxItems(
      [
        {
          key: submittedKey(stored.jobId),
          value: JSON.stringify(stored),
          revision: 1,
        },
      ],
      new Map(),
      'watched',
      now,
    );
    const ask = (query: SubmissionQuery) =>
      explainSubmission(query, explainer, configuration(), decodeJob, now);
    const body = {spec: '', steps: [{count: 2, gpu: 1}]};
    const queueId = trustedId<Submission['queueId']>('urgent');

    it('name an unknown or ended job, and a leader that may not place', () => {
      const unknown = explainer.explainJob('00000000000000ff' as JobId);
      assert.ok(unknown.isErr);
      assert.match(unknown.error.message, /knows no such job; check the id/);
      const idle = new JobExplainer(registry, () => undefined);
      const early = idle.explainJob(stored.jobId);
      assert.equal(early.isErr && early.error.kind, 'unavailable');
      assert.ok(explainer.explainJob(stored.jobId).isOk);
      const [open] = registry.open;
      open?.end('cancelled', now);
      const ended = explainer.explainJob(stored.jobId);
      assert.ok(ended.isErr);
      assert.match(ended.error.message, /is cancelled, .*see site job/);
    });

    it('name an unknown queue, key or customer, and an invalid job', () => {
      const other = trustedId<Submission['queueId']>('none');
      const guest = trustedId<NonNullable<Submission['customerId']>>('none');
      const key = 'owner-key';
      const failures: ReadonlyArray<[SubmissionQuery, string, RegExp]> = [
        [{queueId: other, key, body}, 'not-found', /no such queue/],
        [{host: 'x', path: '/', key, body}, 'not-found', /no such queue/],
        [{queueId, key: 'x', body}, 'not-found', /no customer has this key/],
        [{queueId, body}, 'not-found', /no customer is named/],
        [{queueId, customerId: guest, body}, 'not-found', /no such customer/],
        [{queueId, key, body: {}}, 'invalid-input', /no job in the format/],
        [
          {queueId, key, body: {...body, repeats: 20_000}},
          'invalid-input',
          /split it up/,
        ],
        [{queueId, key, body: {...body, steps: []}}, 'conflict', /complete/],
      ];
      for (const [query, kind, message] of failures) {
        const result = ask(query);
        assert.ok(result.isErr, String(message));
        assert.equal(result.error.kind, kind);
        assert.match(result.error.message, message);
      }
      const found = ask({
        host: 'urgent.example',
        path: '/jobs/',
        key,
        body,
      });
      assert.ok(found.isOk);
      assert.equal(found.value.customer?.customerId, 'owner');
      assert.equal(found.value.groups[0]?.placedUnits, 2);
    });
  });
});
