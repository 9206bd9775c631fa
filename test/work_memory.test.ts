/**
 * Tests that work never takes more of a leader's memory than it is counted with
 * when it is admitted, in each state that it passes through, so that the limit
 * of work keeps a leader below its heap limit.
 */

import assert from 'node:assert/strict';
import {afterEach, before, beforeEach, describe, it} from 'node:test';
import {MeasuredLeader} from './leader_memory.js';

/** Few wide jobs, and many small ones; as many tasks as a worker has room for. */
const WIDE_JOBS = {jobs: 2, tasks: 2_400};
const SMALL_JOBS = {jobs: 2_000, tasks: 1};

// Code that is compiled when it first runs counts for no work.
before(async () => {
  const load = new MeasuredLeader();
  try {
    await load.lead();
    await load.submit(20, 20);
    await load.until('running');
    await load.replaceWorkers();
    await load.until('running');
    await load.lead();
    await load.until('ordered');
    await load.cancelAll();
  } finally {
    await load.close();
  }
});

for (const [name, {jobs, tasks}] of [
  ['wide jobs', WIDE_JOBS],
  ['small jobs', SMALL_JOBS],
] as const) {
  describe(`memory of a leader with ${name}`, () => {
    let load: MeasuredLeader;

    beforeEach(async () => {
      load = new MeasuredLeader();
      await load.lead();
    });

    afterEach(() => load.close());

    // Guards against a leader that ends at its heap limit with admitted work.
    it('is what they count for while they wait for room', async () => {
      load.hasRoom = false;
      await load.submit(jobs, tasks);
      checkMemory(load);
    });

    it('is what they count for while their starts wait', async () => {
      load.answersStarts = false;
      await load.submit(jobs, tasks);
      await load.until('ordered');
      checkMemory(load);
    });

    it('is what they count for while a slow store holds their records', async () => {
      load.answersWrites = false;
      await load.submit(jobs, tasks);
      await load.until('planned');
      checkMemory(load);
    });

    it('is what they count for while they are at work', async () => {
      await load.submit(jobs, tasks);
      await load.until('running');
      checkMemory(load);
    });

    it('is what they count for after takeovers in a row', async () => {
      await load.submit(jobs, tasks);
      await load.until('running');
      for (let takeover = 0; takeover < 3; takeover += 1) {
        await load.lead();
        await load.until('ordered');
        checkMemory(load);
      }
    });

    it('is what they count for after they were lost with their workers', async () => {
      await load.submit(jobs, tasks);
      await load.until('running');
      await load.replaceWorkers();
      await load.until('running');
      checkMemory(load);
    });

    it('is what they count for while workers do not answer their stops', async () => {
      await load.submit(jobs, tasks);
      await load.until('running');
      await load.cancelAll();
      checkMemory(load);
    });
  });
}

function checkMemory(load: MeasuredLeader): void {
  const {countedBytes, usedBytes, tasks} = load.measure();
  assert.ok(
    usedBytes <= countedBytes,
    `${usedBytes} bytes of the heap are used by work that counts for ` +
      `${countedBytes}, ${Math.round(usedBytes / tasks)} a task`,
  );
}
