/**
 * Submissions in the store that a leader cannot carry out, and cancellations
 * without a submission. None of them may end a leader or stay for ever.
 */

import assert from 'node:assert/strict';
import {it} from 'node:test';
import {DaemonLog} from '../src/daemon/log.js';
import {JobRegistry} from '../src/leader/jobs/job_registry.js';
import {LeaderLog} from '../src/leader/leader_log.js';
import {Job} from '../src/leader/jobs/jobs.js';
import {Run} from '../src/leader/jobs/runs.js';
import {
  cancelledKey,
  progressKey,
  submittedKey,
} from '../src/leader/jobs/records.js';
import {instant, trustedId} from '../src/model/ids.js';
import type {
  CustomerId,
  QueueId,
  ServiceId,
  VmId,
  WorkerId,
} from '../src/model/ids.js';
import {step, submission} from './leader_fixture.js';

it('a stored job that is too large fails without exhausting the leader', () => {
  const registry = new JobRegistry(new LeaderLog(new DaemonLog('a', 'fatal')));
  const job = submission({
    steps: [step({taskCount: 1_000})],
    occurrences: 1_000_000,
  });
  const item = {
    key: submittedKey(job.jobId),
    value: JSON.stringify(job),
    revision: 1,
  };
  const effects = registry.applyInboxItems(
    [item],
    new Map(),
    'listed',
    instant(1_000),
  );
  assert.deepEqual(
    effects.unrecordedEnds.map(({id, state}) => ({id, state})),
    [{id: job.jobId, state: 'failed'}],
  );
  assert.equal(registry.open.size, 0);
});

it('a cancellation is removed in time if its job was never stored', () => {
  const registry = new JobRegistry(new LeaderLog(new DaemonLog('a', 'fatal')));
  const stored = submission();
  const neverStored = submission();
  const items = [
    {key: cancelledKey(stored.jobId), value: '{}', revision: 1},
    {key: cancelledKey(neverStored.jobId), value: '{}', revision: 2},
    {
      key: submittedKey(stored.jobId),
      value: JSON.stringify(stored),
      revision: 3,
    },
  ];
  registry.applyInboxItems(items, new Map(), 'listed', instant(1_000));
  assert.deepEqual(registry.neverStoredBefore(instant(1_000)), []);
  const expired = registry.neverStoredBefore(instant(1_001));
  assert.deepEqual(expired, [neverStored.jobId]);
  registry.forget(neverStored.jobId);
  assert.deepEqual(registry.neverStoredBefore(instant(1_001)), []);
});

// Guards against accepted jobs that the leader drops for their names.
it('reads jobs and progress whatever names the site uses', () => {
  const name = 'Abbotsford Mod Club / Zürich #1';
  const job = submission({
    customerId: trustedId<CustomerId>(name),
    queueId: trustedId<QueueId>(name),
    serviceId: trustedId<ServiceId>(name),
  });
  const submitted = {
    key: submittedKey(job.jobId),
    value: JSON.stringify(job),
    revision: 1,
  };
  const placed = new Job(job, instant(1_000));
  const [unit] = placed.units;
  assert.ok(unit !== undefined);
  const run = new Run(
    unit,
    0,
    1,
    trustedId<WorkerId>(name),
    1,
    instant(1_000),
    trustedId<VmId>(name),
  );
  unit.lastRun = 1;
  unit.runs.push(run);
  const progress = {
    key: progressKey(job.jobId),
    value: JSON.stringify(placed.toRecord()),
    revision: 2,
  };
  const registry = new JobRegistry(new LeaderLog(new DaemonLog('a', 'fatal')));
  const effects = registry.applyInboxItems(
    [submitted],
    new Map([[progress.key, progress]]),
    'listed',
    instant(2_000),
  );
  assert.equal(registry.open.size, 1, 'the submission was read');
  assert.equal(effects.placed.length, 1, 'the progress record was read');
});
