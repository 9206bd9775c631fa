/**
 * Kinds of work that slow each other down: which pairs are found on seeded
 * loads, which are believed wrongly, and how placement keeps them apart.
 */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {Job} from '../src/leader/jobs/jobs.js';
import {planRound} from '../src/leader/planning/placement.js';
import type {KnownInterference} from '../src/leader/workers/interference.js';
import {instant, trustedId} from '../src/model/ids.js';
import type {WorkKind} from '../src/model/ids.js';
import {InterferenceSite, playInterference} from './interference_load.js';
import type {InterferenceLoad} from './interference_load.js';
import {step, submission} from './leader_fixture.js';
import {LoadReplay} from './leader_load.js';
import {overloadedSite} from './leader_loads.js';

const SEEDS = [31, 32, 33];
const HALF_CHANGED_MS = 240_000;
const USUAL = {job: 0.5, task: 0.3, estimate: 0.5};
const NOISY = {job: 0.8, task: 0.5, estimate: 0.9};
const TRUE_PAIRS = ['a<b', 'c<c'];

const pairs = (slowed: string, beside: string) =>
  TRUE_PAIRS.includes(`${slowed}<${beside}`) ? 1.6 : 1;
const uneven = (index: number) => [0.6, 1, 1.6][index % 3] ?? 1;

function play(seed: number, changes: Partial<InterferenceLoad>) {
  return playInterference({
    seed,
    seconds: 240,
    images: ['a', 'b', 'c', 'd', 'e'],
    jobsPerSecond: 4,
    spread: USUAL,
    slowdown: () => 1,
    workerFactor: () => 1,
    ...changes,
  });
}

describe('learning from the ends of runs', () => {
  const withoutPairs: ReadonlyArray<
    readonly [string, Partial<InterferenceLoad>]
  > = [
    ['alike workers', {}],
    ['uneven workers', {workerFactor: uneven}],
    ['noisy run times and estimates', {spread: NOISY}],
    [
      'a kind that is pinned to slow workers',
      {
        workerFactor: (index) => (index < 20 ? 0.8 : 1.6),
        pinned: new Set(['d']),
      },
    ],
  ];
  for (const [name, changes] of withoutPairs) {
    it(`believes nothing without interference: ${name}`, () => {
      for (const seed of SEEDS) {
        assert.deepEqual(play(seed, changes).everBelieved, [], `seed ${seed}`);
      }
    });
  }

  it('finds pairs that take 1.6 times as long, and no others', () => {
    for (const workerFactor of [() => 1, uneven]) {
      const found = SEEDS.map((seed) => {
        const {everBelieved} = play(seed, {slowdown: pairs, workerFactor});
        const wrong = everBelieved.filter((pair) => !TRUE_PAIRS.includes(pair));
        assert.deepEqual(wrong, [], `seed ${seed}`);
        return everBelieved.length;
      });
      const total = found.reduce((sum, count) => sum + count, 0);
      assert.ok(total >= SEEDS.length * 2 - 1, `found ${found.join(', ')}`);
    }
  });

  it('finds the new pair and drops the old ones after a change', () => {
    for (const seed of SEEDS) {
      const {known} = play(seed, {
        seconds: 660,
        slowdown: (slowed, beside, now) => {
          if (now < HALF_CHANGED_MS) return pairs(slowed, beside);
          return slowed === 'd' && beside === 'e' ? 1.6 : 1;
        },
      });
      assert.deepEqual(known, ['d<e'], `seed ${seed}`);
    }
  });

  it('shortens the runs that were slowed, and delays none', () => {
    for (const seed of SEEDS) {
      const together = play(seed, {slowdown: pairs});
      const apart = play(seed, {slowdown: pairs, keepsApart: true});
      const stretchOf = ({stretch}: typeof apart) =>
        (stretch.get('a') ?? 0) + (stretch.get('c') ?? 0);
      assert.ok(stretchOf(apart) < stretchOf(together), `seed ${seed}`);
      assert.ok(apart.meanWaitMs <= together.meanWaitMs + 50, `seed ${seed}`);
    }
  });
});

describe('keeping kinds of work apart', () => {
  const [a, b] = [trustedId<WorkKind>('a'), trustedId<WorkKind>('b')];
  const known: KnownInterference = {
    conflictsOf: (kind) =>
      kind === a ? new Set([b]) : new Set(kind === b ? [a] : []),
  };
  const gang = (image: string, taskCount: number, accelerators = 1) =>
    new Job(
      submission({
        steps: [
          step({
            image,
            taskCount,
            gang: true,
            sameRack: true,
            shape: {
              processorMillicores: 1_000,
              memoryMegabytes: 1_000,
              accelerators,
            },
          }),
        ],
      }),
      instant(0),
    );

  it('takes another worker where there is room, in the same rack', () => {
    const site = new InterferenceSite();
    const [first] = site.plan([gang('b', 4)], known);
    site.start(first);
    const [second] = site.plan([gang('a', 4)], known);
    assert.equal(second?.workers.length, 4);
    for (const worker of second?.workers ?? []) {
      assert.equal(first?.workers.includes(worker), false);
      assert.equal(worker.entry.rackId, second?.workers[0]?.entry.rackId);
    }
    const [without] = site.plan([gang('a', 4)], undefined);
    assert.ok(without?.workers.every((each) => first?.workers.includes(each)));
  });

  it('leaves a quarter of the workers vacant, and waits for nothing', () => {
    const site = new InterferenceSite();
    for (let index = 0; index < 4; index += 1) {
      for (const placement of site.plan([gang('b', 8, 8)], known)) {
        site.start(placement);
      }
    }
    const [small] = site.plan([gang('b', 4)], known);
    site.start(small);
    const [placed] = site.plan([gang('a', 4)], known);
    assert.deepEqual(placed?.workers, small?.workers);
  });

  it('plans a recorded load alike without a known pair', () => {
    const load = overloadedSite(0.2);
    const none = {conflictsOf: () => new Set<WorkKind>()};
    new LoadReplay(load, 1, (view) => {
      const plan = planRound(view);
      const other = planRound({...view, interference: none});
      assert.deepEqual(
        other.placements.map(({unit, workers}) => [unit, workers]),
        plan.placements.map(({unit, workers}) => [unit, workers]),
      );
      assert.deepEqual(other.preemptions, plan.preemptions);
      return plan;
    }).run();
  });
});
