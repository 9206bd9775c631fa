/**
 * The leader's queue of record writes: with a store that answers slowly, starts
 * must not wait for the records of unrelated jobs.
 */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setImmediate, setTimeout as delay} from 'node:timers/promises';
import {Result} from 'true-myth';
import {CommitQueue} from '../src/leader/jobs/commit_queue.js';
import {Job} from '../src/leader/jobs/jobs.js';
import {planRuns} from '../src/leader/jobs/planned_runs.js';
import {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import {CoordinationStore} from '../src/interfaces/coordination_store.js';
import type {
  StoreTransaction,
  TransactionOutcome,
} from '../src/interfaces/coordination_store.js';
import type {UnknownEffectError} from '../src/model/errors.js';
import {instant} from '../src/model/ids.js';
import {idleWorker, step, submission} from './leader_fixture.js';

type Answer = Result<TransactionOutcome, UnknownEffectError>;

/** A store whose transactions stay under way until the test answers them. */
class HeldStore extends CoordinationStore {
  readonly held: Array<{
    transaction: StoreTransaction;
    answer: (answer: Answer) => void;
  }> = [];
  private revision = 10;

  override transact(transaction: StoreTransaction): Promise<Answer> {
    return new Promise((answer) => this.held.push({transaction, answer}));
  }

  commitNext(): void {
    this.revision += 1;
    const next = this.held.shift();
    next?.answer(Result.ok({kind: 'committed', revision: this.revision}));
  }

  override get(): never {
    throw new Error('the commit queue reads nothing');
  }

  override list = this.get;
  override watch = this.get;
  override grantLease = this.get;
  override renewLease = this.get;
  override endLease = this.get;
}

function keysOf({puts}: StoreTransaction): string[] {
  return puts.map(({key}) => key);
}

function withQueue(
  test: (
    queue: CommitQueue,
    store: HeldStore,
    scope: CleanupScope,
  ) => Promise<void>,
): () => Promise<void> {
  return async () => {
    const scope = new CleanupScope();
    const store = new HeldStore();
    const queue = new CommitQueue(store, 1, scope, {
      leadershipLost: () => assert.fail('the leader key did not change'),
      delayed: (reason) => assert.fail(reason),
    });
    await test(queue, store, scope);
    await scope.close();
  };
}

function jobs(count: number): Job[] {
  return Array.from({length: count}, () => new Job(submission(), instant(0)));
}

describe('the commit queue', () => {
  it(
    'writes the records of many jobs in parallel transactions',
    withQueue(async (queue, store) => {
      const durable = new Set<Job>();
      const all = jobs(40);
      for (const job of all) queue.write(job, () => durable.add(job));
      await setImmediate();
      await setImmediate();
      assert.equal(store.held.length, 4);
      const keys = store.held.flatMap(({transaction}) => keysOf(transaction));
      assert.equal(new Set(keys).size, all.length);
      store.commitNext();
      await setImmediate();
      assert.equal(durable.size, 10);
    }),
  );

  it(
    'does not hold a later change back while the store is slow',
    withQueue(async (queue, store) => {
      const [first, second] = jobs(2);
      assert.ok(first !== undefined && second !== undefined);
      queue.write(first);
      await setImmediate();
      queue.write(second);
      await delay(100);
      assert.equal(store.held.length, 2);
    }),
  );

  it(
    'never writes a record in two transactions at a time',
    withQueue(async (queue, store) => {
      const [job] = jobs(1);
      assert.ok(job !== undefined);
      let durable = 0;
      queue.write(job, () => (durable += 1));
      await setImmediate();
      queue.write(job, () => (durable += 1));
      await delay(100);
      assert.equal(store.held.length, 1);
      store.commitNext();
      await setImmediate();
      assert.equal(durable, 1);
      assert.equal(store.held.length, 1);
      const [condition] = store.held[0]?.transaction.conditions.slice(1) ?? [];
      assert.equal(condition?.revision, 11);
    }),
  );

  it(
    'leaves no timer behind when the term ends with changes unwritten',
    withQueue(async (queue, store, scope) => {
      const [first, second] = jobs(2);
      assert.ok(first !== undefined && second !== undefined);
      queue.write(first);
      await setImmediate();
      queue.write(second);
      await setImmediate();
      await scope.close();
      store.commitNext();
      await delay(100);
      const resources = process.getActiveResourcesInfo();
      assert.ok(!resources.includes('Timeout'), resources.join());
    }),
  );

  it(
    'reports earlier changes as durable only after all of them are',
    withQueue(async (queue, store) => {
      let isDurable = false;
      for (const job of jobs(30)) queue.write(job);
      await setImmediate();
      await setImmediate();
      queue.afterPending(() => (isDurable = true));
      for (const expected of [false, false, true]) {
        store.commitNext();
        await setImmediate();
        assert.equal(isDurable, expected);
      }
    }),
  );

  // Guards against a leader that ends at its heap limit beside a slow store.
  it(
    'holds the texts of a few wide records at a time, and writes all',
    withQueue(async (queue, store) => {
      const wide = Array.from({length: 20}, () => wideJob());
      let durable = 0;
      for (const job of wide) queue.write(job, () => (durable += 1));
      let most = 0;
      while (durable < wide.length) {
        await delay(40);
        const texts = store.held.flatMap(({transaction}) => transaction.puts);
        const bytes = texts.reduce((sum, {value}) => sum + value.length, 0);
        most = Math.max(most, bytes);
        if (durable === wide.length) break;
        assert.ok(store.held.length > 0, 'a transaction is under way');
        while (store.held.length > 0) store.commitNext();
      }
      const [record] = wide.map((job) => JSON.stringify(job.toRecord()).length);
      assert.ok(most < 1_048_576 + (record ?? 0) * 2, `${most} bytes`);
    }),
  );

  it(
    'calls those who wait when all earlier changes are durable, and no later',
    withQueue(async (queue, store) => {
      const [first, second, third] = jobs(3);
      assert.ok(first && second && third);
      const calls: string[] = [];
      queue.write(first);
      await setImmediate();
      queue.write(second);
      queue.write(first);
      queue.afterPending(() => calls.push('both'));
      await delay(100);
      assert.equal(store.held.length, 2);
      queue.write(third);
      await delay(100);
      assert.equal(store.held.length, 3);
      // The second one's record and the third one's; the first one's is older.
      store.held.push(...store.held.splice(0, 1));
      store.commitNext();
      store.commitNext();
      await delay(100);
      assert.deepEqual(calls, []);
      store.commitNext();
      await delay(100);
      assert.deepEqual(calls, []);
      store.commitNext();
      await delay(100);
      assert.deepEqual(calls, ['both']);
    }),
  );
});

/** A job whose record takes about 400 KB. */
function wideJob(): Job {
  const steps = [step({taskCount: 2_500})];
  const job = new Job(submission({steps}), instant(0));
  const worker = idleWorker('worker-1', 1);
  for (const unit of job.units) {
    planRuns({unit, workers: [worker], isIsolated: false}, 1_001, instant(0));
  }
  return job;
}
