/** Guards against wrong adoption decisions from the lists read at a takeover. */

import assert from 'node:assert/strict';
import {test} from 'node:test';
import {trustedId} from '../src/model/ids.js';
import type {GangId, JobId, TaskId, VmId} from '../src/model/ids.js';
import type {TaskList, TaskState, TaskStatus} from '../src/model/jobs.js';
import {findGangs, verifyHeldTask} from '../src/scheduling/gang_adoption.js';

type ObservedState = TaskState | 'absent' | 'unread';

const WORKERS = ['w0', 'w1'].map((id) => trustedId<VmId>(id));

function task(gang: string, index: number, state: TaskState): TaskStatus {
  return {
    taskId: trustedId<TaskId>(`${gang}.${index}`),
    gangId: trustedId<GangId>(gang),
    jobId: trustedId<JobId>('job'),
    customerId: trustedId('customer'),
    workClassId: trustedId('class'),
    members: WORKERS.map((workerId, member) => ({
      taskId: trustedId<TaskId>(`${gang}.${member}`),
      workerId,
    })),
    accelerators: [0],
    guaranteed: false,
    payload: '',
    state,
  };
}

function listsOf(gangs: Readonly<Record<string, readonly ObservedState[]>>) {
  return WORKERS.flatMap((workerId, index): TaskList[] => {
    const tasks = Object.entries(gangs).flatMap(([gang, states]) => {
      const state = states[index] ?? 'absent';
      if (state === 'absent' || state === 'unread') return [];
      return [task(gang, index, state)];
    });
    const unread = Object.values(gangs).some((s) => s[index] === 'unread');
    return unread ? [] : [{workerId, version: 1, leaving: false, tasks}];
  });
}

const cases: ReadonlyArray<readonly [ObservedState, ObservedState, string]> = [
  ['running', 'running', 'running'],
  ['running', 'finished', 'running'],
  ['finished', 'finished', 'finished'],
  ['running', 'held', 'finishRelease'],
  ['finished', 'held', 'finishRelease'],
  ['held', 'held', 'undo'],
  ['held', 'absent', 'undo'],
  ['running', 'absent', 'stop'],
  ['running', 'failed', 'stop'],
  ['failed', 'unread', 'stop'],
  ['running', 'unread', 'wait'],
  ['held', 'unread', 'wait'],
];
for (const [first, second, decision] of cases) {
  test(`a gang with members ${first} and ${second}: ${decision}`, () => {
    const lists = listsOf({a: [first, second]});
    const isUnread = () => true;
    assert.deepEqual(
      findGangs(lists, isUnread).map((gang) => gang.decision),
      [decision],
    );
  });
}

// Guards against waiting for a worker that is lost.
test('a member on a lost worker counts as absent', () => {
  const lists = listsOf({a: ['running', 'unread']});
  const [gang] = findGangs(lists, () => false);
  assert.equal(gang?.decision, 'stop');
});

// Guards against two gangs of one job that keep running after a partition.
test('of two gangs of one job the one with the lower id is kept', () => {
  const lists = listsOf({b: ['running', 'running'], a: ['running', 'running']});
  const decisions = findGangs(lists, () => false).map(
    ({gangId, decision}) => `${gangId} ${decision}`,
  );
  assert.deepEqual(decisions.sort(), ['a running', 'b stop']);
});

// Guards against a release onto an accelerator that another task holds.
test('a held member that no longer fits is not released', () => {
  const lists = listsOf({a: ['running', 'held'], b: ['absent', 'held']});
  const gangs = findGangs(lists, () => false);
  assert.equal(gangs.find(({gangId}) => gangId === 'a')?.decision, 'stop');
});

// Guards against two schedulers that both withdraw or both proceed.
test('running tasks have precedence, then the lower id; ended have none', () => {
  const verification = (state: TaskState, other: TaskStatus) =>
    verifyHeldTask([task('b', 0, state), other], trustedId<TaskId>('b.0'));
  assert.equal(verification('held', task('a', 0, 'finished')), 'fits');
  assert.equal(verification('held', task('a', 0, 'held')), 'loses');
  assert.equal(verification('held', task('c', 0, 'held')), 'wins');
  assert.equal(verification('held', task('c', 0, 'running')), 'loses');
  assert.equal(verification('finished', task('a', 0, 'held')), 'absent');
  const elsewhere = {...task('a', 0, 'held'), accelerators: [1]};
  assert.equal(verification('held', elsewhere), 'fits');
});
