/**
 * Faults of workers, faults of tasks that look like them, and changes of a
 * worker's capacity. The ledger of the emulated site checks the rules.
 */

import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import type {EmulatedDaemon} from '../emulator/daemon.js';
import {setTimeout as delay} from 'node:timers/promises';
import {steadyNow, steadyTime} from '../src/lifecycle/clock.js';
import type {WorkerState} from '../src/leader/workers/worker_state.js';
import {trustedId} from '../src/model/ids.js';
import {taskName} from '../src/model/submissions.js';
import type {Submission} from '../src/model/submissions.js';
import {
  LeaderFixture,
  idleWorker,
  step,
  submission,
  until,
} from './leader_fixture.js';

describe('a leader and its workers', () => {
  let fixture: LeaderFixture;

  beforeEach(() => {
    fixture = new LeaderFixture();
  });

  afterEach(async () => {
    const {violations} = fixture.site.ledger;
    await fixture.close();
    assert.deepEqual(violations, []);
  });

  it('moves a stalled task to another worker', async () => {
    const leader = await fixture.startLeader();
    const jobId = fixture.submit(submission(), 300);
    await until('the task runs', () => fixture.runCount === 1);
    const [workerId] = fixture.busyWorkers();
    const worker = fixture.site.workers.get(workerId ?? trustedId(''));
    assert.ok(worker !== undefined);
    worker.faults.hangs = true;
    await fixture.untilState(leader, jobId, 'complete');
  });

  it('keeps using the workers that reject one task', async () => {
    const leader = await fixture.startLeader();
    const job = submission();
    const {rejectedTasks} = leader.orderFaults;
    rejectedTasks.add(taskName(job.jobId, 0, 0, 0));
    fixture.submit(job, 100);
    const endsAt = Date.now() + 3_000;
    await until('three seconds have passed', () => {
      const {session} = leader.leadership;
      const counts = session?.workerCounts(steadyNow());
      assert.ok((counts?.quarantined ?? 0) <= 1, 'one quarantined worker');
      return Date.now() > endsAt;
    });
    rejectedTasks.clear();
    await fixture.untilState(leader, job.jobId, 'complete');
  });

  it('keeps using the workers on which one task makes no progress', async () => {
    const leader = await fixture.startLeader();
    const jobId = fixture.submit(submission(), 1e12);
    await until('the task was started a third time', () => {
      const {session} = leader.leadership;
      const counts = session?.workerCounts(steadyNow());
      assert.ok((counts?.quarantined ?? 0) <= 1, 'one quarantined worker');
      return fixture.site.ledger.counts.starts === 3;
    });
    fixture.cancel(jobId);
    await fixture.untilState(leader, jobId, 'cancelled');
  });

  // Guards against a job that is failed early while a leader lacks its queue.
  it('allows all attempts of a job whose queue is not configured', async () => {
    const leader = await fixture.startLeader();
    const job = submission({
      queueId: trustedId<Submission['queueId']>('dropped'),
      maximumAttempts: 4,
    });
    const jobId = fixture.submit(job, 20, 0);
    await fixture.untilState(leader, jobId, 'failed');
    assert.equal(fixture.site.ledger.mostFailures(jobId), 4);
  });

  it('stops using a worker on which all runs fail', async () => {
    const leader = await fixture.startLeader();
    const worker = fixture.site.workers.get(trustedId('worker-0-0'));
    assert.ok(worker !== undefined);
    worker.faults.failsAll = true;
    const jobs = Array.from({length: 8}, () =>
      fixture.submit(submission({steps: [step({taskCount: 3})]}), 50),
    );
    for (const jobId of jobs) {
      await fixture.untilState(leader, jobId, 'complete');
    }
  });

  it('keeps the runs of a worker that answers beside its successor', async () => {
    const leader = await fixture.startLeader();
    const jobId = fixture.submit(submission(), 1_500);
    await fixture.untilState(leader, jobId, 'running');
    const [busyId] = fixture.busyWorkers();
    const vmId = fixture.site.workers.get(busyId ?? trustedId(''))?.entry.vmId;
    assert.ok(vmId !== undefined);
    fixture.site.addWorker(vmId, trustedId('service'), 2);
    await fixture.untilState(leader, jobId, 'complete');
    assert.equal(fixture.site.ledger.counts.starts, 1);
  });

  it('sends no start to a worker whose capacity was reduced meanwhile', async () => {
    const leader = await fixture.startLeader();
    const {site} = fixture;
    const {capacity} = site;
    leader.storeFaults.slowMs = 600;
    const jobId = fixture.submit(submission(), 50);
    await delay(100);
    for (const workerId of site.workers.keys()) {
      site.setCapacity(workerId, {...capacity, accelerators: 0});
    }
    await delay(1_500);
    assert.equal(site.ledger.counts.starts, 0, 'starts');
    leader.storeFaults.slowMs = 0;
    for (const workerId of site.workers.keys()) {
      site.setCapacity(workerId, capacity);
    }
    await fixture.untilState(leader, jobId, 'complete');
  });
});

describe('a leader with one worker that it has just heard from', () => {
  let fixture: LeaderFixture;
  let leader: EmulatedDaemon;

  async function runJob(): Promise<void> {
    const jobId = fixture.submit(submission(), 100);
    await fixture.untilState(leader, jobId, 'complete');
  }

  beforeEach(async () => {
    fixture = new LeaderFixture(1, 1);
    leader = await fixture.startLeader();
    for (let job = 0; job < 3; job += 1) await runJob();
  });

  afterEach(async () => {
    const {violations} = fixture.site.ledger;
    await fixture.close();
    assert.deepEqual(violations, []);
  });

  it('no end of a worker that restarted unnoticed is lost', async () => {
    const [worker] = fixture.site.workers.values();
    worker?.endNow(Date.now());
    worker?.startAgain(Date.now());
    await runJob();
  });

  // Guards against a done task that starts again (TWICE).
  it('no end is discarded by a renewal that a frozen link delivers late', async () => {
    const [worker] = fixture.site.workers.values();
    assert.ok(worker !== undefined);
    const {workerId} = worker.entry;
    const jobId = fixture.submit(submission(), 200);
    await until('the task runs', () => fixture.runCount === 1);
    const held: Array<() => void> = [];
    leader.orderFaults.heldRenewals = held;
    await until('a renewal is held', () => held.length > 0);
    fixture.site.restart(workerId);
    leader.orderFaults.heldRenewals = undefined;
    const restarted = () => fixture.site.workers.get(workerId);
    await until('the task runs again', () => {
      return restarted()?.runNames.length === 1;
    });
    leader.orderFaults.heldRenewals = [];
    const hasUnreadEnd = () => {
      restarted()?.advance(Date.now());
      return restarted()?.unacknowledgedEnds.length === 1;
    };
    await until('the task is done again', hasUnreadEnd);
    for (const deliver of held) deliver();
    assert.equal(hasUnreadEnd(), true, 'the end was discarded unread');
    leader.orderFaults.heldRenewals = undefined;
    await fixture.untilState(leader, jobId, 'complete');
  });

  it('no end is discarded by a renewal that its successor receives', async () => {
    const [worker] = fixture.site.workers.values();
    fixture.submit(submission(), 5_000);
    await until('a long task runs', () => fixture.runCount === 1);
    // Then the next renewal is under way for long enough to arrive too late.
    await delay(1_000);
    leader.orderFaults.renewalTransitMs = 1_500;
    await delay(900);
    worker?.endNow(Date.now());
    worker?.startAgain(Date.now());
    await runJob();
  });

  it('no end is discarded by an acknowledgement that waits at its successor', async () => {
    const [worker] = fixture.site.workers.values();
    fixture.submit(submission(), 5_000);
    await until('a long task runs', () => fixture.runCount === 1);
    leader.orderFaults.renewalTransitMs = 300;
    await runJob();
    // The acknowledgement is under way, and arrives before the next job ends.
    await delay(100);
    worker?.endNow(Date.now());
    worker?.startAgain(Date.now());
    const jobId = fixture.submit(submission(), 400);
    await fixture.untilState(leader, jobId, 'complete');
  });

  it('a gang whose worker crashes before all members are sent runs again', async () => {
    const gang = step({taskCount: 4, gang: true});
    leader.storeFaults.slowMs = 100;
    const jobId = fixture.submit(submission({steps: [gang]}), 100);
    await until('the gang is placed', () => {
      return leader.leadership.session?.reportJob(jobId)?.units.placed === 1;
    });
    const {vms} = fixture.site;
    for (const {vmId} of vms.list()) vms.crash(vmId);
    leader.storeFaults.slowMs = 0;
    await fixture.untilState(leader, jobId, 'complete');
  });
});

describe('the end of a worker whose VM is due for maintenance', () => {
  const incarnation = 7;

  it('is a crash before the maintenance is ordered', () => {
    const worker = idleWorker('worker', incarnation);
    worker.isClosedToNewRuns = true;
    assert.equal(worker.wasEndExpected(incarnation), false);
  });

  it('may be a crash if the worker was silent when it was ordered', () => {
    const worker = idleWorker('worker', incarnation);
    worker.failedRenewals = 1;
    worker.expectEnd();
    assert.equal(worker.wasEndExpected(incarnation), false);
    assert.equal(worker.fateOfEnded(incarnation), 'ended');
  });

  it('is a crash if the leader has followed its entry', () => {
    const worker = idleWorker('worker', incarnation);
    assert.equal(worker.fateOfEnded(incarnation), 'crashed');
  });

  // Guards against ordered ends that a later leader takes for crashes.
  it('may be no crash if only an earlier leader has followed its entry', () => {
    const worker = idleWorker('worker', incarnation);
    assert.equal(worker.fateOfEnded(incarnation - 1), 'ended');
  });

  // Guards against starts that no limit counts.
  it('may be a crash if the order was rejected', () => {
    const worker = idleWorker('worker', incarnation);
    worker.expectEnd();
    worker.withdrawExpectedEnd();
    assert.equal(worker.fateOfEnded(incarnation), 'ended');
  });

  it('is expected after the order', () => {
    const worker = idleWorker('worker', incarnation);
    worker.expectEnd();
    assert.equal(worker.wasEndExpected(incarnation), true);
    assert.equal(worker.wasEndExpected(incarnation + 1), false);
  });
});

describe('the ends that a worker may discard', () => {
  const incarnation = 7;
  let worker: WorkerState;

  beforeEach(() => {
    worker = idleWorker('worker', incarnation);
    worker.recordIncarnation(incarnation, steadyTime(0));
    worker.recordAnswer(500, steadyTime(1_000));
    worker.durableSequence = 3;
  });

  it('are acknowledged after a start that the same incarnation answered', () => {
    worker.recordStartAnswer(1_490, steadyTime(2_000), steadyTime(2_001));
    assert.equal(worker.acknowledgeableSequence, 3);
  });

  // Guards against ends of a restarted worker that are discarded unread (TWICE).
  it('are not acknowledged to an incarnation that has listed none', () => {
    worker.update(
      {...worker.entry, incarnation: incarnation + 1},
      steadyTime(2_000),
    );
    assert.equal(worker.acknowledgeableSequence, 0);
  });

  it('are acknowledged although answers overtake each other', () => {
    worker.recordStartAnswer(495, steadyTime(990), steadyTime(1_002));
    assert.equal(worker.acknowledgeableSequence, 3);
  });

  it('are none after a start that an incarnation with a new clock answered', () => {
    worker.recordStartAnswer(700, steadyTime(2_000), steadyTime(2_001));
    assert.equal(worker.acknowledgeableSequence, 0);
  });

  it('are none after a start without an answer, until the next list', () => {
    worker.recordUnansweredStart(steadyTime(2_000));
    worker.recordIncarnation(incarnation, steadyTime(1_999));
    assert.equal(worker.acknowledgeableSequence, 0);
    worker.recordIncarnation(incarnation, steadyTime(2_000));
    assert.equal(worker.acknowledgeableSequence, 3);
  });
});
