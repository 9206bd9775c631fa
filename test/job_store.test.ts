/**
 * Guards against an unwritten decision that overwrites another scheduler's
 * record of the job, after which both schedulers run it.
 */

import assert from 'node:assert/strict';
import {test} from 'node:test';
import {JobStore} from '../src/controllers/job_store.js';
import {DEFAULT_ZONE_OPTIONS} from '../src/controllers/zone_options.js';
import {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import {SeededRandom} from '../src/lifecycle/random.js';
import {trustedId} from '../src/model/ids.js';
import type {JobRecord} from '../src/model/jobs.js';
import {FakeStore, ZONE} from './zone_fakes.js';
import {jobRecord} from './zone_fixture.js';

function startingRecord(record: JobRecord, gangId: string): JobRecord {
  const gang = {gangId: trustedId<NonNullable<JobRecord['gangId']>>(gangId)};
  return {...record, ...gang, state: 'starting', sequence: 1};
}

test('an unwritten start yields to a start that a watch returns', async () => {
  const scope = new CleanupScope();
  const store = new FakeStore();
  const random = new SeededRandom(1);
  const jobs = new JobStore(ZONE, store, random, scope, DEFAULT_ZONE_OPTIONS);
  const other = jobRecord('other', 1);
  const contested = jobRecord('contested', 1);
  store.seed(contested);
  await jobs.readAll();

  // Writes are sequential, so the second record stays unwritten.
  store.writeDurationMs = 200;
  jobs.put(other);
  jobs.put(startingRecord(contested, 'gang-own'));
  const settled = jobs.waitForWrite(contested.jobId, 60_000);
  store.seed(startingRecord(contested, 'gang-of-other-scheduler'));
  const list = await store.list(`jobs/${ZONE}/contested`);
  const [entry] = list.unwrapOr({revision: 0, entries: []}).entries;
  assert.ok(entry);
  jobs.applyWatchedEntry(entry);

  assert.equal(await settled, 'overruled');
  const stored = store.record(contested.jobId);
  assert.equal(stored?.gangId, 'gang-of-other-scheduler');
  await scope.close();
});

test('a watch that returns an own write does not overrule it', async () => {
  const scope = new CleanupScope();
  const store = new FakeStore();
  const random = new SeededRandom(1);
  const jobs = new JobStore(ZONE, store, random, scope, DEFAULT_ZONE_OPTIONS);
  store.writeDurationMs = 20;
  const own = jobs.put(startingRecord(jobRecord('job', 1), 'gang-own'));
  const settled = jobs.waitForWrite(own.jobId, 60_000);
  const key = `jobs/${ZONE}/${own.jobId}`;
  jobs.applyWatchedEntry({key, value: JSON.stringify(own), revision: 1});
  assert.equal(await settled, 'stored');
  await scope.close();
});
