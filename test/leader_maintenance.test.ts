/**
 * Maintenance waves and moves between pools, on an emulated site whose ledger
 * checks the users' rules, and the pure planner of pool moves.
 */

import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {STANDBY_POOL} from '../emulator/site.js';
import {Job} from '../src/leader/jobs/jobs.js';
import {planMaintenance} from '../src/leader/vms/maintenance_plan.js';
import {planPoolMoves} from '../src/leader/vms/pool_plan.js';
import type {PoolView} from '../src/leader/vms/pool_plan.js';
import {maintenanceKey} from '../src/leader/jobs/records.js';
import type {WaveRecord} from '../src/leader/jobs/records.js';
import {Run} from '../src/leader/jobs/runs.js';
import type {WorkerState} from '../src/leader/workers/worker_state.js';
import {instant, trustedId} from '../src/model/ids.js';
import type {JobId, ServiceId, VmId} from '../src/model/ids.js';
import type {WorkerVm} from '../src/interfaces/vm_service.js';
import {
  LeaderFixture,
  idleWorker,
  step,
  submission,
  until,
} from './leader_fixture.js';

const VM_IDS = ['vm-0-0', 'vm-0-1', 'vm-1-0', 'vm-1-1'].map((id) =>
  trustedId<VmId>(id),
);

describe('a maintenance wave', () => {
  let fixture: LeaderFixture;

  beforeEach(() => {
    fixture = new LeaderFixture();
  });

  afterEach(async () => {
    const {violations} = fixture.site.ledger;
    await fixture.close();
    assert.deepEqual(violations, []);
  });

  const request = (maximumDown: number, durationMs: number) =>
    fixture.site.vms.requestMaintenance({
      waveId: 1,
      vmIds: VM_IDS,
      durationMs,
      maximumDown,
    });

  const untilComplete = () =>
    until(
      'the wave is complete',
      () => fixture.site.vms.statusOf(1) === 'complete',
    );

  it('takes every VM down once, within the limit of concurrent VMs', async () => {
    await fixture.startLeader();
    request(2, 10_000);
    await untilComplete();
    assert.deepEqual([...fixture.site.vms.maintained].sort(), VM_IDS);
  });

  it('waits for runs without checkpoints while time remains', async () => {
    const leader = await fixture.startLeader();
    const jobId = fixture.submit(
      submission({steps: [step({taskCount: 4, maximumPerWorker: 1})]}),
      1_200,
    );
    await until('all tasks run', () => runCount(fixture) === 4);
    request(4, 20_000);
    await untilComplete();
    assert.equal(leader.leadership.session?.stateOf(jobId), 'complete');
    assert.equal(fixture.site.ledger.counts.wastedRuns, 0);
  });

  it('stops runs that would delay the end of the wave', async () => {
    await fixture.startLeader();
    fixture.submit(
      submission({steps: [step({taskCount: 4, maximumPerWorker: 1})]}),
      60_000,
    );
    await until('all tasks run', () => runCount(fixture) === 4);
    const startedAt = Date.now();
    request(2, 4_000);
    await untilComplete();
    const tookMs = Date.now() - startedAt;
    assert.ok(tookMs < 6_000, `the wave of 4 s took ${tookMs} ms`);
  });

  it('never takes down more tasks of a long-running step than it may miss', async () => {
    // The ledger reports AVAIL if a second task is taken down before the first
    // one is available again.
    await fixture.startLeader('first', 300);
    const jobId = fixture.submit(
      submission({
        steps: [
          step({
            taskCount: 4,
            maximumPerWorker: 2,
            longRunning: true,
            maximumAway: 1,
          }),
        ],
      }),
      1,
    );
    await until('all tasks run', () => runCount(fixture) === 4);
    await delay(1_500);
    request(2, 1_000);
    await untilComplete();
    await until('all tasks run again', () => runCount(fixture) === 4);
    fixture.cancel(jobId);
  });

  // Guards against tasks that count as down since the time of day was set.
  it('ends although the leader’s time of day is set back', async () => {
    const leader = await fixture.startLeader('first', 300);
    const steps = [
      step({
        taskCount: 4,
        maximumPerWorker: 1,
        longRunning: true,
        maximumAway: 1,
      }),
    ];
    const jobId = fixture.submit(submission({steps}), 1);
    await until('all tasks run', () => runCount(fixture) === 4);
    leader.clock.offsetMs = -60_000;
    await delay(1_500);
    request(2, 1_000);
    await untilComplete();
    fixture.cancel(jobId);
  });

  it('continues under the next leader without repeating maintenance', async () => {
    const first = await fixture.startLeader('first');
    const second = fixture.addDaemon('second');
    request(1, 20_000);
    await until(
      'two VMs went down',
      () => fixture.site.vms.maintained.length === 2,
    );
    await first.kill();
    await until('the second leads', () => second.isLeader);
    await untilComplete();
    assert.deepEqual([...fixture.site.vms.maintained].sort(), VM_IDS);
  });

  it('counts a VM as down while its order is unanswered', async () => {
    const leader = await fixture.startLeader();
    leader.vmFaults.lateShare = 0.6;
    leader.vmFaults.lateMs = 700;
    request(1, 20_000);
    await untilComplete();
    assert.equal(fixture.site.vms.maintained.length, VM_IDS.length);
  });

  // Guards against AVAIL, as below: until its first step the new leader kept
  // no tasks from the VM.
  it('starts nothing on a VM that an earlier leader has ordered down', async () => {
    const [vmId] = VM_IDS;
    assert.ok(vmId !== undefined);
    const vms = [{vmId, progress: 'ordered'}];
    const record = {startedAt: Date.now(), isComplete: false, vms};
    fixture.site.store.put(maintenanceKey(1), JSON.stringify(record));
    const leader = fixture.addDaemon('first', 0, 60_000);
    request(1, 60_000);
    await until('it leads', () => leader.isLeader);
    const shape = {
      processorMillicores: 1_000,
      memoryMegabytes: 1_000,
      accelerators: 8,
    };
    const steps = [step({shape, taskCount: 4, longRunning: true})];
    fixture.submit(submission({steps}), 60_000);
    await until('three tasks run', () => fixture.runCount === 3);
    await delay(1_000);
    assert.equal(fixture.runCount, 3);
    assert.equal(fixture.site.vms.maintained.length, 0);
  });
});

/** A long-running step that may miss one task, with a task on each of two VMs. */
function twoTasksAtWork() {
  const steps = [step({taskCount: 2, longRunning: true, maximumAway: 1})];
  const job = new Job(submission({steps}), instant(0));
  const workers = new Map<VmId, WorkerState>();
  const runs = job.units.map((unit, index) => {
    const worker = idleWorker(`worker-${index}`, 1);
    const {workerId, entry} = worker;
    const run = new Run(unit, index, 1, workerId, 1, instant(0), entry.vmId);
    run.phase = 'running';
    run.fullyActiveSince = instant(1_000);
    unit.runs.push(run);
    worker.add(run);
    workers.set(trustedId(`vm-${index}`), worker);
    return run;
  });
  const [first, second] = runs;
  const [vmId] = workers.keys();
  assert.ok(first && second && vmId !== undefined);
  const now = instant(20_000);
  const planIfSeenAt = (seenAt: number, vms: WaveRecord['vms'] = []) => {
    first.atWorkAt = now;
    second.atWorkAt = instant(seenAt);
    const wave = {waveId: 1, vmIds: [vmId], durationMs: 1, maximumDown: 1};
    return planMaintenance({
      waves: [{wave, record: {startedAt: 0, isComplete: false, vms}}],
      vms: new Map([[vmId, {state: 'up'} as WorkerVm]]),
      workers,
      now,
      maintenanceMs: 2_000,
      noticeMs: 4_500,
      closedSince: new Map(),
    });
  };
  return {first, vmId, workers, now, planIfSeenAt};
}

// Guards against AVAIL: an end that was not read counts as none.
it('stops no task while another one of its step is not seen at work', () => {
  const {first, now, planIfSeenAt} = twoTasksAtWork();
  assert.deepEqual(planIfSeenAt(now - 1_700).stops, [first]);
  assert.deepEqual(planIfSeenAt(now - 5_000).stops, []);
});

// Guards against AVAIL: a new leader placed tasks on a VM whose order had no
// answer, and repeated the order under them.
it('does not repeat an order for a VM on which tasks work', () => {
  const {first, vmId, workers, now, planIfSeenAt} = twoTasksAtWork();
  const ordered = [{vmId, progress: 'ordered' as const}];
  const busy = planIfSeenAt(now - 5_000, ordered);
  assert.deepEqual([busy.orders, busy.stops], [[], []]);
  assert.ok(busy.closedVms.has(vmId));
  assert.deepEqual(planIfSeenAt(now - 1_700, ordered).stops, [first]);
  workers.get(vmId)?.remove(first);
  const empty = planIfSeenAt(now - 1_700, ordered);
  assert.deepEqual(empty.orders, [{waveId: 1, vmId}]);
});

describe('moves between pools', () => {
  it('bring VMs from standby when work finds no free capacity', async () => {
    const fixture = new LeaderFixture(1, 1, 2);
    const leader = await fixture.startLeader();
    const shape = {
      processorMillicores: 1_000,
      memoryMegabytes: 1_000,
      accelerators: 8,
    };
    const jobId = fixture.submit(
      submission({steps: [step({taskCount: 2, shape})]}),
      3_000,
    );
    await until('a VM was moved', () => fixture.site.vms.moves > 0);
    await until('both tasks run', () => runCount(fixture) === 2);
    await untilDone(
      leader.leadership.session?.stateOf.bind(leader.leadership.session),
      jobId,
    );
    const {violations} = fixture.site.ledger;
    await fixture.close();
    assert.deepEqual(violations, []);
  });

  const service = trustedId<ServiceId>('service');

  function vm(name: string, poolId: ServiceId): [VmId, WorkerVm] {
    const vmId = trustedId<VmId>(name);
    return [
      vmId,
      {
        vmId,
        poolId,
        state: 'up',
        zone: trustedId('zone'),
        labels: new Set(),
        capacity: {
          processorMillicores: 32_000,
          memoryMegabytes: 65_536,
          accelerators: 8,
        },
        workerId: undefined,
      },
    ];
  }

  function view(changes: Partial<PoolView>): PoolView {
    return {
      vms: new Map([vm('a', service), vm('b', STANDBY_POOL)]),
      standbyPools: new Set([STANDBY_POOL]),
      waiting: [],
      workers: new Map(),
      idleSince: new Map(),
      guaranteedAccelerators: 0,
      impossible: new Set(),
      now: instant(100_000),
      ...changes,
    };
  }

  it('leave VMs on standby for work that has waited only briefly', () => {
    const [unit] = new Job(submission(), instant(0)).units;
    assert.ok(unit !== undefined);
    unit.readySince = instant(99_500);
    const waiting = [{unit, serviceId: service}];
    assert.deepEqual(planPoolMoves(view({waiting})), []);
    unit.readySince = instant(98_000);
    assert.deepEqual(planPoolMoves(view({waiting})), [
      {vmId: 'b', from: STANDBY_POOL, to: service},
    ]);
  });

  it('keep capacity for the guarantees when VMs are idle', () => {
    const idle = {
      workers: new Map([[trustedId<VmId>('a'), {runs: new Map()} as never]]),
      idleSince: new Map([[trustedId<VmId>('a'), instant(0)]]),
    };
    const kept = view({...idle, guaranteedAccelerators: 8});
    assert.deepEqual(planPoolMoves(kept), []);
    assert.equal(planPoolMoves(view(idle)).length, 1);
  });
});

async function untilDone(
  stateOf: ((jobId: JobId) => string | undefined) | undefined,
  jobId: JobId,
): Promise<void> {
  await until('the job is complete', () => stateOf?.(jobId) === 'complete');
}

function runCount(fixture: LeaderFixture): number {
  let count = 0;
  for (const worker of fixture.site.workers.values()) {
    count += worker.runNames.length;
  }
  return count;
}
