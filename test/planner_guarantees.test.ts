/**
 * Checks guarantees over random sequences of events. Guards against lent
 * capacity that cannot be reclaimed, gangs that share an accelerator, and
 * preemption that no guarantee requires.
 */

import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import type {Customer} from '../src/model/configuration.js';
import type {JobId} from '../src/model/ids.js';
import {trustedId} from '../src/model/ids.js';
import type {CellSize} from '../src/model/shapes.js';
import {cellSizeFor} from '../src/model/shapes.js';
import {guaranteeShortfall} from '../src/scheduling/packing.js';
import type {PlannedWorker} from '../src/scheduling/zone_planner.js';
import {PlannerWorld, ZONE, customer, workers} from './planner_world.js';

const SEED = 20_261_204;
const RUNS = 150;

/** Three racks: one complete, one incomplete, one with smaller workers. */
const SMALL_ZONE: readonly PlannedWorker[] = workers(24)
  .filter((_, index) => index !== 13 && index !== 14)
  .map((worker, index) =>
    index === 18 || index === 20 ? {...worker, accelerators: 5} : worker,
  );

const GUARANTEES: ReadonlyArray<readonly Customer[]> = [
  [
    customer('a', [[64, 1]]),
    customer('b', [
      [8, 3],
      [2, 4],
    ]),
    customer('c', [[16, 2]]),
    customer('none', []),
  ],
  [
    customer('a', [
      [32, 1],
      [4, 3],
    ]),
    customer('b', [[64, 1]]),
    customer('c', [[8, 2]]),
    customer('none', []),
  ],
  // Guarantees every accelerator of the zone.
  [
    customer('a', [[64, 1]]),
    customer('b', [
      [8, 4],
      [4, 2],
      [1, 2],
    ]),
    customer('c', [[32, 2]]),
    customer('none', []),
  ],
];

type Step =
  | {kind: 'submit'; customerId: string; tasks: number; accelerators: number}
  | {kind: 'finish' | 'cancel' | 'checkpoint'; index: number}
  | {kind: 'lose' | 'leave' | 'return'; index: number}
  | {kind: 'configure'; index: number};

const index = fc.nat({max: 1_000});
const submit = fc.record({
  kind: fc.constant('submit' as const),
  customerId: fc.constantFrom('a', 'b', 'c', 'none'),
  tasks: fc.constantFrom(1, 1, 1, 2, 3, 4, 7, 8),
  accelerators: fc.constantFrom(1, 2, 3, 4, 8, 8),
});
const ending = fc.record({
  kind: fc.constantFrom('finish', 'finish', 'cancel', 'checkpoint'),
  index,
}) as fc.Arbitrary<Step>;
const workerChange = fc.record({
  kind: fc.constantFrom('lose', 'leave', 'return'),
  index,
}) as fc.Arbitrary<Step>;
const configure = fc.record({kind: fc.constant('configure' as const), index});

const START = fc.constantFrom(...GUARANTEES);
const JOB_STEPS = fc.array(
  fc.oneof({arbitrary: submit, weight: 3}, {arbitrary: ending, weight: 2}),
  {minLength: 20, maxLength: 120},
);
const ALL_STEPS = fc.array(
  fc.oneof(
    {arbitrary: submit, weight: 8},
    {arbitrary: ending, weight: 5},
    {arbitrary: workerChange, weight: 2},
    {arbitrary: configure, weight: 1},
  ),
  {minLength: 20, maxLength: 120},
);

class Scenario {
  readonly world: PlannerWorld;
  private readonly zone = new Map(
    SMALL_ZONE.map((worker) => [worker.workerId, worker]),
  );

  constructor(private customers: readonly Customer[]) {
    this.world = new PlannerWorld(customers, SMALL_ZONE);
  }

  apply(step: Step): void {
    const {world} = this;
    world.advance(5_000);
    const mustStart =
      step.kind === 'submit' && this.isOutstanding(step) ? step : undefined;
    const submitted = this.execute(step);
    const started = world.planUntilStable().map((placement) => placement.jobId);
    if (mustStart !== undefined && submitted !== undefined) {
      assert.ok(
        started.includes(submitted),
        `${JSON.stringify(mustStart)} is guaranteed but was not started`,
      );
    }
  }

  /** Executes the step; returns the id of a submitted job. */
  private execute(step: Step): JobId | undefined {
    const {world} = this;
    switch (step.kind) {
      case 'submit':
        return world.submit(step.customerId, step.tasks, step.accelerators);
      case 'finish': {
        const jobId = pick([...world.placed.keys()], step.index);
        if (jobId !== undefined) world.end(jobId, {kind: 'finished'});
        return undefined;
      }
      case 'cancel': {
        const jobId = pick([...world.queued.keys()], step.index);
        if (jobId !== undefined) world.cancelQueued(jobId);
        return undefined;
      }
      case 'checkpoint': {
        const jobId = pick([...world.placed.keys()], step.index);
        if (jobId !== undefined) world.planner.checkpointed(jobId, world.now);
        return undefined;
      }
      case 'configure':
        this.configure(pick(GUARANTEES, step.index) ?? []);
        return undefined;
      default:
        this.changeWorker(step.kind, step.index);
        return undefined;
    }
  }

  private configure(customers: readonly Customer[]): void {
    const present = [...this.zone.values()];
    if (guaranteeShortfall(customers, present, ZONE) !== undefined) return;
    this.customers = customers;
    this.world.configure(customers);
  }

  private changeWorker(kind: 'lose' | 'leave' | 'return', at: number): void {
    const worker = pick(SMALL_ZONE, at);
    if (worker === undefined) return;
    const {world, zone} = this;
    if (kind === 'lose') {
      zone.delete(worker.workerId);
      world.loseWorker(worker.workerId);
      return;
    }
    const changed = {...worker, acceptsTasks: kind === 'return'};
    zone.set(worker.workerId, changed);
    world.setWorker(changed);
  }

  /**
   * True if the customer has fewer jobs than guaranteed cells of at least the
   * needed size, so that at least one of these cells is unused.
   */
  private isOutstanding(step: Extract<Step, {kind: 'submit'}>): boolean {
    const {planner, placed, records, queued} = this.world;
    if (!planner.guaranteesPack()) return false;
    const size = cellSizeFor({
      tasks: step.tasks,
      acceleratorsPerTask: step.accelerators,
    });
    if (size === undefined) return false;
    const owner = this.customers.find((each) => each.id === step.customerId);
    const cells = (owner?.guarantees ?? [])
      .filter((guarantee) => guarantee.cellSize >= size)
      .reduce((sum, guarantee) => sum + guarantee.cells, 0);
    const belongsToCustomer = (jobId: JobId) =>
      records.get(jobId)?.customerId === step.customerId;
    const gangs = [...placed.keys()].filter(belongsToCustomer).length;
    const waiting = [...queued.keys()].filter(belongsToCustomer).length;
    return gangs + waiting < cells;
  }
}

function pick<T>(items: readonly T[], position: number): T | undefined {
  return items[position % Math.max(1, items.length)];
}

test('guarantees hold over submissions, ends and cancellations of jobs', () => {
  fc.assert(
    fc.property(START, JOB_STEPS, (customers, steps) => {
      const scenario = new Scenario(customers);
      for (const step of steps) {
        scenario.apply(step);
        assert.ok(
          scenario.world.planner.guaranteesPack(),
          'the unbound guaranteed cells no longer pack',
        );
      }
    }),
    {seed: SEED, numRuns: RUNS},
  );
});

test('guarantees hold over lost workers and configuration changes', () => {
  fc.assert(
    fc.property(START, ALL_STEPS, (customers, steps) => {
      const scenario = new Scenario(customers);
      let packed = true;
      for (const step of steps) {
        scenario.apply(step);
        const packs = scenario.world.planner.guaranteesPack();
        const mayBreak = ['lose', 'leave', 'configure'].includes(step.kind);
        assert.ok(packs || !packed || mayBreak, `${step.kind} broke packing`);
        packed = packs;
      }
    }),
    {seed: SEED, numRuns: RUNS},
  );
});

test('without guarantees nothing is preempted', () => {
  fc.assert(
    fc.property(JOB_STEPS, (steps) => {
      const ids = ['a', 'b', 'c', 'none'];
      const scenario = new Scenario(ids.map((id) => customer(id, [])));
      for (const step of steps) {
        scenario.apply(step);
        assert.deepEqual(scenario.world.preempted, []);
      }
    }),
    {seed: SEED, numRuns: 50},
  );
});

test('a guaranteed cell that lost a worker is replaced', () => {
  const world = new PlannerWorld([customer('a', [[64, 1]])], workers(16));
  const small = world.submit('a', 1, 8);
  const [placement] = world.planUntilStable();
  const other = `worker-${placement?.tasks[0]?.workerId === 'worker-0' ? 1 : 0}`;
  world.loseWorker(trustedId(other));
  assert.ok(world.planner.guaranteesPack());
  const large = world.submit('a', 8, 8);
  world.planUntilStable();
  assert.equal(world.placed.get(large)?.guaranteed, true);
  assert.ok(world.placed.has(small), 'the small job was stopped without need');
});

test('a guarantee that lacks capacity gets the largest remaining cell', () => {
  const world = new PlannerWorld(
    [customer('a', [[64, 1]]), customer('b', [[32, 1]]), customer('c', [])],
    workers(9),
  );
  world.loseWorker(trustedId('worker-0'));
  assert.ok(!world.planner.guaranteesPack());
  for (let count = 0; count < 8; count += 1) world.submit('c', 1, 8);
  world.planUntilStable();
  const isGuaranteed = (jobId: JobId) =>
    world.placed.get(jobId)?.guaranteed === true;
  // 32 accelerators are outstanding for b, so a's largest cell has 16.
  const own = [1, 2, 3].map(() => world.submit('a', 1, 8));
  world.planUntilStable();
  assert.equal(own.filter(isGuaranteed).length, 2);
  const other = world.submit('b', 4, 8);
  world.planUntilStable();
  assert.ok(isGuaranteed(other));
});

test('the shortfall of guarantees is exact for each cell size', () => {
  const zone = workers(12);
  const shortfall = (cells: ReadonlyArray<readonly [CellSize, number]>) =>
    guaranteeShortfall([customer('a', cells)], zone, ZONE);
  assert.equal(shortfall([[32, 3]]), undefined);
  assert.deepEqual(shortfall([[64, 2]]), {
    cellSize: 64,
    missingAccelerators: 64,
  });
  assert.deepEqual(
    shortfall([
      [64, 1],
      [32, 1],
      [1, 1],
    ]),
    {cellSize: 1, missingAccelerators: 1},
  );
});
