/**
 * VMs that leave while the VM list lags, and a zone that is cut off from the
 * platform, with real daemon processes: a leaving VM gets no new work after
 * the bound, work in progress is not interrupted, and no accepted job is lost.
 */

import assert from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';
import {request} from 'undici';
import {Caller} from '../src/harness/caller.js';
import {
  BORROWER,
  OWNER,
  SMALL_FLEET,
  ZONE_A,
  ZONE_B,
  isRepeatable,
  waitForScheduler,
  startSmallSite,
  waitUntil,
} from '../src/harness/example_site.js';
import {
  findJobViolations,
  submitUntilAccepted,
  waitForJobsToEnd,
} from '../src/harness/job_checks.js';
import {reconcileRequests} from '../src/harness/reconciler.js';
import type {DaemonProcess, SiteFixture} from '../src/harness/site_fixture.js';
import {CleanupScope} from '../src/lifecycle/cleanup_scope.js';

const VM_LIST_LAG_MS = 1_000;
/** Design bound, counted from when the VM list shows the change. */
const NO_NEW_WORK_BOUND_MS = 5_000;
const NO_NEW_WORK_AFTER_MS = VM_LIST_LAG_MS + NO_NEW_WORK_BOUND_MS;
/** Duration of the load; outlasts the bound, so that late work would show. */
const LOAD_DURATION_MS = NO_NEW_WORK_AFTER_MS + 2_000;
/** Covers a takeover after the scheduler is killed. */
const PARTIAL_GANG_BOUND_MS = 12_000;

const scope = new CleanupScope();
const callers: Caller[] = [];
let site: SiteFixture;
let workNumber = 0;

before(async () => {
  site = await startSmallSite(
    scope,
    {useFaultProxy: true, vmListLagMs: VM_LIST_LAG_MS},
    {
      ...SMALL_FLEET,
      zones: SMALL_FLEET.zones.map((zone) => ({
        ...zone,
        entryVms: zone.name === ZONE_A ? 3 : 2,
      })),
    },
  );
});
after(() => scope.close());

function newCaller(zone: string): Caller {
  const daemons = site
    .daemonsInZone(zone)
    .filter((daemon) => daemon.process.isRunning);
  const addresses = daemons.map((daemon) => daemon.callers);
  const caller = new Caller(scope, addresses);
  callers.push(caller);
  return caller;
}

function scanRequest(serviceTimeMs: number) {
  workNumber += 1;
  const key = `leaving-${workNumber}`;
  const payload = JSON.stringify({serviceTimeMs, key});
  return {customerId: OWNER, workClassId: 'scan', payload, key};
}

function checkRequest(serviceTimeMs: number) {
  workNumber += 1;
  const payload = JSON.stringify({serviceTimeMs, workNumber});
  return {customerId: OWNER, workClassId: 'check', payload};
}

function gangJob(zone: string, runTimeMs: number, workClassId = 'single') {
  workNumber += 1;
  return {
    customerId: BORROWER,
    workClassId,
    payload: JSON.stringify({runTimeMs}),
    key: `leaving-${workNumber}`,
    availabilityZone: zone,
  };
}

/** Starts a step every `intervalMs` for `LOAD_DURATION_MS` and waits for all. */
async function repeat(intervalMs: number, step: () => Promise<unknown>) {
  const steps: Array<Promise<unknown>> = [];
  for (let n = 0; n * intervalMs < LOAD_DURATION_MS; n += 1) {
    steps.push(step());
    await scope.sleep(intervalMs);
  }
  await Promise.all(steps);
}

async function isReady(daemon: DaemonProcess): Promise<boolean> {
  try {
    const answer = await request(`http://${daemon.callers}/ready`);
    await answer.body.dump();
    return answer.statusCode === 200;
  } catch {
    return false;
  }
}

function waitForTask(event: 'released' | 'finished', jobId: string) {
  return waitUntil(`a task of ${jobId} is ${event}`, () =>
    site
      .runEvents()
      .some((entry) => entry.event === event && entry.jobId === jobId),
  );
}

async function assertInvariants(): Promise<void> {
  await waitForJobsToEnd(site, callers);
  const records = callers.flatMap(({requests}) => requests);
  const result = reconcileRequests(records, site.runEvents(), isRepeatable);
  assert.deepEqual(result.violations, []);
  assert.equal(result.unanswered, 0, 'requests without an answer');
  assert.deepEqual(
    await findJobViolations(site, callers, PARTIAL_GANG_BOUND_MS),
    [],
  );
}

describe('a VM that the VM list shows as leaving', () => {
  it('of a minion gets no new request, and none is interrupted', async () => {
    const caller = newCaller(ZONE_A);
    const minion = site.minions.find(({vm}) => vm.availabilityZone === ZONE_A);
    assert.ok(minion);
    const load = repeat(40, () => caller.send(scanRequest(100)));
    await minion.process.waitForEvent(({event}) => event === 'runStarted');
    const leavingSince = Date.now();
    await site.setVmState(minion.vm, 'leaving');
    await load;
    const late = minion.process.events.filter(
      ({event, at}) =>
        event === 'runStarted' && at > leavingSince + NO_NEW_WORK_AFTER_MS,
    );
    assert.deepEqual(late, []);
    for (const {outcome} of caller.requests) {
      assert.equal(outcome?.outcome, 'answered', JSON.stringify(outcome));
    }
    await assertInvariants();
    await site.setVmState(minion.vm, 'live');
  });

  it('of a worker gets no new task, and the running task finishes', async () => {
    const caller = newCaller(ZONE_A);
    const long = await submitUntilAccepted(
      scope,
      caller,
      gangJob(ZONE_A, LOAD_DURATION_MS - 1_000),
    );
    await waitForTask('released', long.jobId);
    const worker = site.workers.find(({process}) =>
      process.events.some(
        (event) => event.event === 'released' && event.jobId === long.jobId,
      ),
    );
    assert.ok(worker);
    const leavingSince = Date.now();
    await site.setVmState(worker.vm, 'leaving');
    await repeat(250, () =>
      submitUntilAccepted(scope, caller, gangJob(ZONE_A, 200)),
    );
    const late = worker.process.events.filter(
      ({event, at}) =>
        event === 'held' && at > leavingSince + NO_NEW_WORK_AFTER_MS,
    );
    assert.deepEqual(late, []);
    await assertInvariants();
    const attempts = site
      .runEvents()
      .filter(
        (event) => event.event === 'released' && event.jobId === long.jobId,
      );
    assert.equal(attempts.length, 1, 'the running task was interrupted');
    await site.setVmState(worker.vm, 'live');
  });

  it('of an entry VM leaves the load balancer, and its daemon exits', async () => {
    const [leaving, ...others] = site.daemonsInZone(ZONE_A);
    assert.ok(leaving);
    const caller = newCaller(ZONE_A);
    const load = repeat(40, () => caller.send(scanRequest(300)));
    await site.setVmState(
      {
        role: 'entry',
        vmId: leaving.vmId,
        availabilityZone: leaving.availabilityZone,
        address: leaving.peers,
        state: 'leaving',
      },
      'leaving',
    );
    const leavingSince = Date.now();
    while (await isReady(leaving)) {
      const passedMs = Date.now() - leavingSince;
      assert.ok(
        passedMs <= NO_NEW_WORK_AFTER_MS,
        'the daemon still reports ready',
      );
      await scope.sleep(50);
    }
    caller.setAddresses(others.map((daemon) => daemon.callers));
    const exit = await leaving.process.exited;
    assert.equal(exit.code, 0);
    await load;
    await assertInvariants();
  });
});

describe('a zone that is cut off from the platform', () => {
  it('serves requests and jobs, and writes all jobs to the store later', async () => {
    const zone = site.daemonsInZone(ZONE_B);
    const setFaults = (freeze: 'both' | 'none') =>
      Promise.all(
        zone.map(({vmId}) =>
          site.faultProxy.setFaults(`platform-${vmId}`, {freeze}),
        ),
      );
    const caller = newCaller(ZONE_B);
    await setFaults('both');
    const requests = await Promise.all(
      Array.from({length: 20}, () => caller.send(checkRequest(20))),
    );
    for (const {outcome} of requests) {
      assert.equal(outcome?.outcome, 'answered', JSON.stringify(outcome));
    }
    const jobs = await Promise.all(
      Array.from({length: 6}, () =>
        submitUntilAccepted(scope, caller, gangJob(ZONE_B, 300, 'pair')),
      ),
    );
    for (const {durability} of jobs) assert.equal(durability, 'memory');
    const [first] = jobs;
    assert.ok(first);
    // Jobs run while the zone is still cut off.
    await waitForTask('finished', first.jobId);
    const scheduler = await waitForScheduler(site, ZONE_B);
    await scheduler.process.kill();
    await setFaults('none');
    await assertInvariants();
  });
});
