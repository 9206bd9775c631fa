/**
 * Tests of the limit on what accepted work takes of a leader's memory, without
 * a network.
 */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RequestMemory} from '../src/entry/request_memory.js';
import {UnconfirmedWork} from '../src/entry/unconfirmed_work.js';
import {Job} from '../src/leader/jobs/jobs.js';
import {WorkLimit, workBytesOf} from '../src/leader/jobs/work_limit.js';
import {steadyTime} from '../src/lifecycle/clock.js';
import type {CustomerId, JobId} from '../src/model/ids.js';
import {instant, trustedId} from '../src/model/ids.js';
import type {Submission} from '../src/model/submissions.js';
import {MAXIMUM_JOB_TASKS} from '../src/model/submissions.js';

/** Of the old space and of three semi-spaces. */
const DEPLOYED_HEAP_BYTES = 76 * 1_048_576;

const LIMIT = 1_000;
const NOW = steadyTime(0);
const RESERVATIONS_END = steadyTime(10_000);
const CUSTOMER = trustedId<CustomerId>('customer-1');
const OTHER = trustedId<CustomerId>('customer-2');

const job = (name: string) => trustedId<JobId>(name);

describe('limit of work', () => {
  it('leaves half to others, whatever one customer hands in', () => {
    const limit = new WorkLimit(LIMIT);
    let admitted = 0;
    while (limit.admit(job(`${admitted}`), CUSTOMER, 10, NOW) === 'admitted') {
      admitted += 1;
    }
    assert.equal(admitted, 51);
    assert.equal(limit.admit(job('more'), CUSTOMER, 10, NOW), 'shareUsed');
    assert.equal(limit.admit(job('other'), OTHER, 400, NOW), 'admitted');
    assert.equal(limit.admit(job('large'), OTHER, 400, NOW), 'siteFull');
  });

  it('has room for one job of any size', () => {
    const limit = new WorkLimit(LIMIT);
    assert.equal(limit.admit(job('a'), CUSTOMER, LIMIT, NOW), 'admitted');
    assert.equal(limit.admit(job('b'), OTHER, 1, NOW), 'siteFull');
  });

  it('never refuses what it has admitted or holds', () => {
    const limit = new WorkLimit(LIMIT);
    limit.admit(job('a'), CUSTOMER, LIMIT, NOW);
    assert.equal(limit.admit(job('a'), CUSTOMER, LIMIT, NOW), 'admitted');
    limit.hold(job('a'), CUSTOMER, LIMIT);
    const later = RESERVATIONS_END;
    assert.equal(limit.admit(job('a'), CUSTOMER, LIMIT, later), 'admitted');
    assert.equal(limit.usedBytes, LIMIT);
  });

  it('counts work that was never stored for some time only', () => {
    const limit = new WorkLimit(LIMIT);
    limit.admit(job('a'), CUSTOMER, LIMIT, NOW);
    const before = steadyTime(RESERVATIONS_END - 1);
    assert.equal(limit.admit(job('b'), OTHER, 1, before), 'siteFull');
    assert.equal(limit.admit(job('b'), OTHER, 1, RESERVATIONS_END), 'admitted');
  });

  it('counts stored work until it is released', () => {
    const limit = new WorkLimit(LIMIT);
    limit.hold(job('a'), CUSTOMER, 600);
    limit.hold(job('a'), CUSTOMER, 100);
    assert.equal(limit.usedBytes, 100);
    limit.release(job('a'));
    limit.release(job('a'));
    assert.equal(limit.usedBytes, 0);
  });
});

describe('work without a leader', () => {
  it('is a small share for each daemon, which grows slowly', () => {
    const work = new UnconfirmedWork(LIMIT);
    assert.equal(work.accept(26, 10, NOW), false);
    assert.equal(work.accept(25, 10, NOW), true);
    assert.equal(work.accept(1, 10, steadyTime(1_000)), false);
    assert.equal(work.accept(10, 10, steadyTime(24_000)), true);
  });
});

describe('memory of requests', () => {
  it('has room for a large body beside small ones, and for few such', async () => {
    const memory = new RequestMemory(100);
    const held: Array<() => void> = [];
    const hold = () => new Promise<object>((end) => held.push(() => end({})));
    const first = memory.use(40, hold);
    const large = memory.use(500, hold);
    assert.equal(await memory.use(1, hold), undefined);
    for (const end of held) end();
    assert.deepEqual(await first, {});
    assert.deepEqual(await large, {});
    assert.deepEqual(await memory.use(1, () => Promise.resolve({})), {});
  });
});

describe('a job', () => {
  const submission = (changes: Partial<Submission> = {}): Submission => ({
    jobId: job('1'),
    queueId: trustedId('queue-1'),
    serviceId: trustedId('service-1'),
    specification: 'text',
    steps: [],
    occurrences: 0,
    firstDueAt: 0,
    intervalMs: 0,
    submittedAt: 0,
    ...changes,
  });
  const step = (taskCount: number, after: number[] = []) => ({
    taskCount,
    shape: {processorMillicores: 1, memoryMegabytes: 1, accelerators: 0},
    estimatedMs: 0,
    after,
  });

  it('of the largest size fits the default limit of the deployed heap', () => {
    const wide = submission({steps: [step(MAXIMUM_JOB_TASKS)]});
    const timed = submission({
      steps: [step(1)],
      occurrences: MAXIMUM_JOB_TASKS,
    });
    for (const largest of [wide, timed]) {
      assert.ok(workBytesOf(largest) < DEPLOYED_HEAP_BYTES * 0.35);
    }
  });

  it('waits for the earlier steps of its occurrence, and for no others', () => {
    const timed = new Job(
      submission({
        steps: [step(2), step(1), step(1, [0, 0, 1, 7])],
        occurrences: 2,
      }),
      instant(0),
    );
    const now = instant(1);
    const [first, second, third, last] = timed.units;
    assert.ok(first && second && third && last);
    for (const unit of [first, second, third]) {
      assert.equal(timed.obstacleTo(last, now), 'earlierSteps');
      timed.markDone(unit, now);
    }
    assert.equal(timed.obstacleTo(last, now), undefined);
    const other = timed.units.at(-1);
    assert.ok(other);
    assert.equal(timed.obstacleTo(other, now), 'earlierSteps');
    for (const unit of timed.units) timed.markDone(unit, now);
    assert.equal(timed.state, 'complete');
  });

  it('that has ended keeps its counts, and little else', () => {
    const ended = new Job(submission({steps: [step(3)]}), instant(0));
    for (const unit of ended.units) ended.markDone(unit, instant(1));
    const bytes = workBytesOf(ended.submission);
    ended.archive();
    ended.archive();
    assert.equal(ended.state, 'complete');
    assert.equal(ended.doneUnitCount, 3);
    assert.equal(ended.units.length, 0);
    assert.ok(workBytesOf(ended.submission) < bytes);
  });
});
