/**
 * Guards against two tasks on one accelerator, a partial gang that keeps
 * running, and a start that never completes, for any order of messages.
 */

import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Scenario} from './gang_exploration.js';
import {explore} from './gang_exploration.js';

const withoutFaults: Scenario = {
  schedulers: 2,
  faults: 0,
  crashes: 0,
  stops: 0,
  readBack: true,
};

const scenarios: ReadonlyArray<readonly [string, Scenario]> = [
  ['two schedulers', withoutFaults],
  ['two schedulers, one stop', {...withoutFaults, stops: 1}],
  [
    'two schedulers, one message lost, delayed or duplicated',
    {...withoutFaults, faults: 1},
  ],
  [
    'two schedulers, the first crashes, a third adopts',
    {...withoutFaults, crashes: 1},
  ],
  // A scheduler crashes at each step of a start and of a stop.
  [
    'one scheduler that stops its gang and crashes, one fault, another adopts',
    {...withoutFaults, schedulers: 1, faults: 1, crashes: 1, stops: 1},
  ],
];

for (const [name, scenario] of scenarios) {
  test(`no interleaving violates the gang protocol: ${name}`, (context) => {
    const {states, fullGangRuns, violation} = explore(scenario);
    context.diagnostic(`${states} states explored`);
    assert.equal(violation, undefined);
    assert.ok(fullGangRuns > 0, 'no interleaving starts a complete gang');
  });
}

// Guards against a model checker that cannot find a violation.
test('without reading the list back two tasks run on one accelerator', (context) => {
  const {states, violation} = explore({...withoutFaults, readBack: false});
  context.diagnostic(`${states} states explored until the violation`);
  assert.match(violation ?? '', /two tasks run on one accelerator/);
});

// Shows that the protocol depends on the contract of WorkerClient that removed
// ids are refused.
test('workers that accept removed ids violate the gang protocol', (context) => {
  const {states, violation} = explore({
    ...withoutFaults,
    schedulers: 1,
    faults: 2,
    stops: 1,
    refusesRemoved: false,
  });
  context.diagnostic(`${states} states explored until the violation`);
  assert.ok(violation !== undefined);
});
