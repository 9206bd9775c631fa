/**
 * Guards against two tasks on one accelerator, and against a part of a gang
 * that runs for good or a start that never ends, in any order of messages.
 */

import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Scenario} from './gang_exploration.js';
import {explore} from './gang_exploration.js';

const undisturbed: Scenario = {
  schedulers: 2,
  faults: 0,
  crashes: 0,
  stops: 0,
  readBack: true,
};

const scenarios: ReadonlyArray<readonly [string, Scenario]> = [
  ['two owners', undisturbed],
  ['two owners, one stop', {...undisturbed, stops: 1}],
  [
    'two owners, one message lost, late or doubled',
    {...undisturbed, faults: 1},
  ],
  ['two owners, the first dies, a third adopts', {...undisturbed, crashes: 1}],
  // An owner dies at each step of a start and of a stop.
  [
    'one owner that stops and dies, one fault, another adopts',
    {...undisturbed, schedulers: 1, faults: 1, crashes: 1, stops: 1},
  ],
];

for (const [name, scenario] of scenarios) {
  test(`no interleaving breaks a gang: ${name}`, (context) => {
    const {states, fullGangRuns, violation} = explore(scenario);
    context.diagnostic(`${states} states explored`);
    assert.equal(violation, undefined);
    assert.ok(fullGangRuns > 0, 'no interleaving runs a whole gang');
  });
}

// Guards the exploration itself: it has to find what it looks for.
test('without the read-back two tasks run on one accelerator', (context) => {
  const {states, violation} = explore({...undisturbed, readBack: false});
  context.diagnostic(`${states} states explored until the violation`);
  assert.match(violation ?? '', /two tasks run on one accelerator/);
});

// Shows that the protocol needs the refusal of removed ids that WorkerClient
// promises.
test('workers that take removed ids again break a gang', (context) => {
  const {states, violation} = explore({
    ...undisturbed,
    schedulers: 1,
    faults: 2,
    stops: 1,
    refusesRemoved: false,
  });
  context.diagnostic(`${states} states explored until the violation`);
  assert.ok(violation !== undefined);
});
