/**
 * The emulated platform itself, where tests of the leader rely on it.
 */

import assert from 'node:assert/strict';
import {it} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {EmulatedSite} from '../emulator/site.js';
import {taskName} from '../src/model/submissions.js';
import {step, submission} from './leader_fixture.js';

/** Longer than the VM of a crashed worker takes to have a new one. */
const RECOVERY_MS = 600;

it('a worker is newer than one that restarted on its VM before', async () => {
  const site = new EmulatedSite({
    racks: 1,
    workersPerRack: 1,
    acceleratorsPerWorker: 8,
    holdMaximumMs: 1_000,
  });
  const [vm] = site.vms.list();
  assert.ok(vm?.workerId !== undefined);
  site.restart(vm.workerId);
  site.restart(vm.workerId);
  const former = site.workerOn(vm.vmId)?.entry.incarnation ?? 0;
  site.vms.crash(vm.vmId);
  await delay(RECOVERY_MS);
  const incarnation = site.workerOn(vm.vmId)?.entry.incarnation ?? 0;
  site.close();
  assert.ok(incarnation > former, `${incarnation} follows ${former}`);
});

it('counts no crash under a task whose run had lapsed before', () => {
  const site = new EmulatedSite({
    racks: 1,
    workersPerRack: 1,
    acceleratorsPerWorker: 8,
    holdMaximumMs: 1_000,
  });
  const [worker] = site.workers.values();
  assert.ok(worker !== undefined);
  const job = submission({steps: [step({})]});
  site.ledger.jobSubmitted(job, 1_000);
  const task = taskName(job.jobId, 0, 0, 0);
  for (let run = 1; run <= 2; run += 1) {
    const now = Date.now();
    const order = {task, run, specification: '', checkpoint: '', fence: 1};
    const started = worker.start({...order, leaseUntilMs: 5}, now);
    assert.equal(started.kind, 'started');
    // The event loop is busy, so that no timer ends the run.
    while (Date.now() < now + 10);
    site.restart(worker.entry.workerId);
  }
  site.close();
  assert.equal(site.ledger.mayBeGivenUp(job.jobId), false);
});

it('counts no crash under a member of a gang whose run was broken before', () => {
  const site = new EmulatedSite({
    racks: 1,
    workersPerRack: 2,
    acceleratorsPerWorker: 8,
    holdMaximumMs: 1_000,
  });
  const {ledger} = site;
  const workers = [...site.workers.values()];
  const job = submission({steps: [step({taskCount: 2, gang: true})]});
  ledger.jobSubmitted(job, 1_000);
  const startAndCrash = (run: number, order: typeof workers) => {
    workers.forEach((worker, index) => {
      const task = taskName(job.jobId, 0, 0, index);
      const name = {task, run, specification: '', checkpoint: '', fence: 1};
      worker.start({...name, leaseUntilMs: 1_000}, Date.now());
    });
    for (const {entry} of order) site.restart(entry.workerId);
  };
  startAndCrash(1, workers);
  startAndCrash(2, [...workers].reverse());
  ledger.checkFailedJob(job.jobId, 1);
  assert.equal(ledger.violations.length, 1, 'one crash under each task');
  assert.match(ledger.violations[0] ?? '', /^LOST: /);
  startAndCrash(3, workers);
  site.close();
  ledger.checkFailedJob(job.jobId, 1);
  assert.equal(ledger.violations.length, 1, 'two crashes under one task');
});

it('allows two starts after the third crash under a task', () => {
  const site = new EmulatedSite({
    racks: 1,
    workersPerRack: 1,
    acceleratorsPerWorker: 8,
    holdMaximumMs: 1_000,
  });
  const {ledger} = site;
  const [worker] = site.workers.values();
  assert.ok(worker !== undefined);
  const job = submission();
  ledger.jobSubmitted(job, 1_000);
  const task = taskName(job.jobId, 0, 0, 0);
  ledger.markCrashing(task);
  const start = (run: number) => {
    const order = {task, run, specification: '', checkpoint: '', fence: 1};
    worker.start({...order, leaseUntilMs: 1_000}, Date.now());
  };
  start(1);
  worker.stop({task, run: 1}, 1, Date.now());
  for (let run = 2; run <= 6; run += 1) {
    start(run);
    site.restart(worker.entry.workerId);
  }
  assert.deepEqual(ledger.violations, []);
  start(7);
  site.close();
  assert.equal(ledger.violations.length, 1);
  assert.match(ledger.violations[0] ?? '', /^BUDGET: /);
});
