/**
 * Guards against jobs that are lost or run twice when a write to the store
 * fails or its answer is lost.
 */

import assert from 'node:assert/strict';
import {describe, test} from 'node:test';
import {Result} from 'true-myth';
import {
  JobHolder,
  JobHolders,
  JobRouter,
} from '../src/controllers/job_router.js';
import {Clock} from '../src/lifecycle/clock.js';
import {customerSchema, workClassSchema} from '../src/model/configuration.js';
import type {Configuration} from '../src/model/configuration.js';
import {
  ConflictError,
  NotFoundError,
  UnavailableError,
  UnknownEffectError,
} from '../src/model/errors.js';
import {instant, trustedId} from '../src/model/ids.js';
import type {AvailabilityZone, JobId} from '../src/model/ids.js';
import type {JobRecord} from '../src/model/jobs.js';
import {jobSubmissionSchema} from '../src/model/jobs.js';
import {KeyValueStore} from '../src/interfaces/key_value_store.js';
import type {StoreEntry} from '../src/interfaces/key_value_store.js';

type Fault =
  | 'none'
  | 'down'
  | 'answer lost after write'
  /** The answer to the write is lost, and reads fail too. */
  | 'lost and down';

/** In-memory store; `fault` determines the outcome of reads and writes. */
class MemoryStore extends KeyValueStore {
  readonly entries = new Map<string, StoreEntry>();
  fault: Fault = 'none';

  override async get(key: string) {
    if (this.fault === 'down' || this.fault === 'lost and down') {
      return Result.err(storeDownError());
    }
    return Result.ok(this.entries.get(key));
  }

  override async put(key: string, value: string) {
    if (this.fault === 'down') return Result.err(storeDownError());
    if (this.entries.has(key)) {
      return Result.err(new ConflictError('exists', 'read it'));
    }
    this.entries.set(key, {key, value, revision: this.entries.size + 1});
    if (this.fault !== 'none') {
      return Result.err(new UnknownEffectError('lost', 'read it back'));
    }
    return Result.ok(this.entries.size);
  }

  override async list() {
    return Result.ok({revision: 0, entries: [...this.entries.values()]});
  }

  override async delete() {
    return Result.ok(undefined);
  }

  override async watch(_prefix: string, revision: number) {
    const batch = {revision, changed: [], deletedKeys: [], compacted: false};
    return Result.ok(batch);
  }
}

function storeDownError(): UnavailableError {
  return new UnavailableError('the store is down', 'wait');
}

class MemoryHolder extends JobHolder {
  readonly records = new Map<JobId, JobRecord>();
  reachable = true;

  override async submitJob(record: JobRecord) {
    if (!this.reachable) return Result.err(storeDownError());
    if (!this.records.has(record.jobId)) this.records.set(record.jobId, record);
    return Result.ok(undefined);
  }

  override async job(jobId: JobId) {
    const record = this.records.get(jobId);
    if (!record || !this.reachable) {
      return Result.err(new NotFoundError('no job', 'check the id'));
    }
    return Result.ok({record, inStore: false});
  }

  override async cancelJob(jobId: JobId) {
    return this.job(jobId);
  }

  override async jobs() {
    return Result.ok([]);
  }
}

class FixedHolders extends JobHolders {
  readonly schedulerHolder = new MemoryHolder();
  readonly otherHolder = new MemoryHolder();

  override scheduler() {
    return this.schedulerHolder;
  }

  override others() {
    return [this.otherHolder];
  }
}

class FixedClock extends Clock {
  override now() {
    return instant(1_000);
  }
}

const configuration: Configuration = {
  version: 1,
  site: {
    name: 'site',
    availabilityZones: [trustedId('zone-1'), trustedId('zone-2')],
    completionTimeWeight: 1,
    fragmentationWeight: 1,
  },
  power: {supply: 'grid'},
  customers: [
    customerSchema.parse({
      id: 'club',
      name: 'Club',
      guarantees: [{availabilityZone: 'zone-2', cellSize: 8, cells: 2}],
      acceleratorCeiling: 16,
      weight: 1,
      requestLimits: {requestsPerSecond: 1, burst: 1, concurrency: 1},
    }),
  ],
  workClasses: [
    jobClass('bake', 2),
    jobClass('too-wide', 9),
    jobClass('over-ceiling', 4),
  ],
};

function jobClass(id: string, tasks: number) {
  return workClassSchema.parse({
    kind: 'job',
    id,
    customerId: 'club',
    shape: {tasks, acceleratorsPerTask: 8},
    declaredRunTimeMs: 1_000,
    urgency: 'normal',
  });
}

function setUp(ownZone = 'zone-1') {
  const store = new MemoryStore();
  const holders = new FixedHolders();
  const router = new JobRouter({
    availabilityZone: trustedId<AvailabilityZone>(ownZone),
    clock: new FixedClock(),
    store,
    holders,
    configuration: () => configuration,
  });
  return {store, holders, router};
}

function submission(fields: object = {}) {
  const required = {customerId: 'club', workClassId: 'bake'};
  return jobSubmissionSchema.parse({...required, ...fields});
}

describe('a job that is accepted', () => {
  test('is in the store before the caller gets its answer', async () => {
    const {store, router} = setUp();
    const accepted = (await router.submit(submission())).unwrapOrElse(fail);
    assert.equal(accepted.storage.durability, 'store');
    assert.equal(store.entries.size, 1);
  });

  test('counts as stored if only the answer to the write was lost', async () => {
    const {store, router} = setUp();
    store.fault = 'answer lost after write';
    const accepted = (await router.submit(submission())).unwrapOrElse(fail);
    assert.equal(accepted.storage.durability, 'store');
  });

  test('is reported as held by two daemons while the store is down', async () => {
    const {store, holders, router} = setUp();
    store.fault = 'down';
    const accepted = (await router.submit(submission())).unwrapOrElse(fail);
    assert.deepEqual(accepted.storage, {durability: 'memory', holders: 2});
    assert.equal(holders.schedulerHolder.records.size, 1);
    assert.equal(holders.otherHolder.records.size, 1);
  });

  test('is refused while neither store nor scheduler is available', async () => {
    const {store, holders, router} = setUp();
    store.fault = 'down';
    holders.schedulerHolder.reachable = false;
    assert.ok((await router.submit(submission())).isErr);
  });
});

describe('a job whose record may be in the store', () => {
  test('is reported with unknown effect if no daemon can hold it', async () => {
    const {store, holders, router} = setUp();
    store.fault = 'lost and down';
    holders.schedulerHolder.reachable = false;
    const submitted = await router.submit(submission());
    assert.ok(submitted.isErr && submitted.error.kind === 'unknown-effect');
  });
});

describe('a job with a key', () => {
  test('keeps its id if a retry reaches a daemon of another zone', async () => {
    const first = setUp('zone-1');
    const second = setUp('zone-2');
    const keyed = submission({key: 'retry-1'});
    const a = (await first.router.submit(keyed)).unwrapOrElse(fail);
    const b = (await second.router.submit(keyed)).unwrapOrElse(fail);
    assert.equal(a.record.jobId, b.record.jobId);
  });

  test('is returned as first accepted when it is submitted again', async () => {
    const {router} = setUp();
    const first = submission({key: 'retry-1', payload: 'first'});
    const second = submission({key: 'retry-1', payload: 'second'});
    await router.submit(first);
    const again = (await router.submit(second)).unwrapOrElse(fail);
    assert.equal(again.record.payload, 'first');
  });
});

describe('a job that can never run', () => {
  test('is refused when it fits no rack', async () => {
    const {store, router} = setUp();
    const wide = submission({workClassId: 'too-wide'});
    const refused = await router.submit(wide);
    assert.ok(refused.isErr && /fit no rack/.test(refused.error.message));
    assert.equal(store.entries.size, 0);
  });

  test('is refused when it exceeds the ceiling', async () => {
    const {router} = setUp();
    const large = submission({workClassId: 'over-ceiling'});
    const refused = await router.submit(large);
    assert.ok(refused.isErr && /ceiling of 16/.test(refused.error.message));
  });

  test('is refused for an unknown zone, class or customer', async () => {
    const {router} = setUp();
    for (const fields of [
      {availabilityZone: 'nowhere'},
      {workClassId: 'nothing'},
      {customerId: 'nobody'},
    ]) {
      const refused = await router.submit(submission(fields));
      assert.ok(refused.isErr && refused.error.kind === 'invalid-input');
    }
  });
});

function fail(error: Error): never {
  throw error;
}
