/** Guards against transitions that only a later read of the list corrects. */

import assert from 'node:assert/strict';
import {test} from 'node:test';
import {instant, trustedId} from '../src/model/ids.js';
import type {TaskId, VmId} from '../src/model/ids.js';
import {stepGang} from '../src/scheduling/gang_protocol.js';
import type {GangState} from '../src/scheduling/gang_state.js';

const now = instant(1);
const [first, second] = ['g.0', 'g.1'].map((id) => trustedId<TaskId>(id));

// Guards against a partial gang that runs until the next list is read.
test('a release that does not find its task stops the gang', () => {
  assert.ok(first !== undefined && second !== undefined);
  const members = [first, second].map((taskId) => ({
    taskId,
    workerId: trustedId<VmId>(`w-${taskId}`),
    phase: 'releasing' as const,
    since: now,
  }));
  const gang: GangState = {
    phase: 'releasing',
    members,
    maximumListReads: 1,
    listReads: [],
  };
  const released = stepGang(gang, {kind: 'released', taskId: first}, now);
  const event = {kind: 'releaseNotFound', taskId: second} as const;
  const {gang: stopped, actions} = stepGang(released.gang, event, now);
  assert.equal(stopped.phase, 'removing');
  assert.deepEqual(
    actions.map(({kind}) => kind),
    ['remove', 'remove'],
  );
});
