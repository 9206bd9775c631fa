/**
 * Tests that a start which waits for its turn, or gets no answer, is not sent
 * once what made it right has changed. Without a network.
 */

import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {DaemonLog} from '../src/daemon/log.js';
import {TaskWorkerClient} from '../src/interfaces/task_worker.js';
import type {
  LeaseRenewalOutcome,
  LeaseRenewalRequest,
  OrderOutcome,
  StartOrder,
  WorkerEntry,
} from '../src/interfaces/task_worker.js';
import {Job} from '../src/leader/jobs/jobs.js';
import {planRuns} from '../src/leader/jobs/planned_runs.js';
import type {Run} from '../src/leader/jobs/runs.js';
import {LeaderLog} from '../src/leader/leader_log.js';
import {WorkerFences} from '../src/leader/workers/worker_fences.js';
import {WorkerLink} from '../src/leader/workers/worker_link.js';
import type {WorkerState} from '../src/leader/workers/worker_state.js';
import {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import {steadyNow} from '../src/lifecycle/clock.js';
import {instant} from '../src/model/ids.js';
import {idleWorker, step, submission} from './leader_fixture.js';

const HOLD_MAXIMUM_MS = 4_000;
const TERM = 100;
const LABEL = 'kind';

/** More than are sent at a time. */
const TASKS = 5;
const SENT_AT_A_TIME = 2;

/** A worker whose answers to starts the test gives. */
class HeldWorker extends TaskWorkerClient {
  readonly starts: StartOrder[] = [];
  private readonly held: Array<(outcome: OrderOutcome) => void> = [];

  /** The starts that were sent get no answer. */
  loseAnswers(): void {
    for (const answer of this.held.splice(0)) {
      answer({kind: 'unknown', detail: 'no answer'});
    }
  }

  override start(
    _worker: WorkerEntry,
    order: StartOrder,
  ): Promise<OrderOutcome> {
    this.starts.push(order);
    return new Promise((answer) => this.held.push(answer));
  }

  override renewLease(
    {incarnation}: WorkerEntry,
    {waitMs}: LeaseRenewalRequest,
  ): Promise<LeaseRenewalOutcome> {
    // Nothing ends while a renewal waits.
    if (waitMs > 0) return new Promise(() => {});
    const clockMs = Math.floor(performance.now());
    const lists = {running: [], ended: []};
    return Promise.resolve({kind: 'seen', clockMs, incarnation, ...lists});
  }

  override stop = (): Promise<OrderOutcome> => new Promise(() => {});
  override pace = this.stop;
  override closeConnections = (): void => {};
}

describe('starts that wait', () => {
  let scope: CleanupScope;
  let worker: WorkerState;
  let client: HeldWorker;
  let link: WorkerLink;
  let runs: readonly Run[];
  let mayAct: boolean;
  let lost: Run[];

  const change = (changes: Partial<WorkerEntry>) =>
    worker.update({...worker.entry, ...changes}, steadyNow());

  beforeEach(async () => {
    scope = new CleanupScope();
    worker = idleWorker('worker-1', 1);
    const {shape} = step();
    change({
      labels: new Set([LABEL]),
      capacity: {
        processorMillicores: shape.processorMillicores * TASKS,
        memoryMegabytes: shape.memoryMegabytes * TASKS,
        accelerators: shape.accelerators * TASKS,
      },
    });
    worker.recordAnswer(Math.floor(performance.now()), steadyNow());
    client = new HeldWorker();
    mayAct = true;
    lost = [];
    link = new WorkerLink(
      worker,
      client,
      {
        term: TERM,
        leaderRevision: 1,
        mayAct: () => mayAct,
        leadershipLost: (reason) => assert.fail(reason),
      },
      new WorkerFences(TERM),
      HOLD_MAXIMUM_MS,
      scope,
      {
        runEnded: () => assert.fail('no run ends'),
        runLost: (run) => lost.push(run),
        runsLostWithWorker: () => assert.fail('no worker is lost'),
        workerSilent: () => assert.fail('the worker answers'),
        runStarted: () => assert.fail('no start is answered'),
        paceChangesFor: () => [],
        whenDurable: (then) => then(),
        capacityChanged: () => {},
        now: () => instant(Date.now()),
        withholdStart: () => undefined,
        ticketFor: () => undefined,
        ticketRejected: () => {},
      },
      new LeaderLog(new DaemonLog('leader', 'fatal')),
    );
    const job = new Job(
      submission({steps: [step({taskCount: TASKS, requiredLabel: LABEL})]}),
      instant(0),
    );
    runs = job.units.flatMap((unit) =>
      planRuns({unit, workers: [worker], isIsolated: false}, 1, instant(0)),
    );
    for (const run of runs) link.start(run);
    await setImmediate();
    assert.equal(client.starts.length, SENT_AT_A_TIME);
  });

  afterEach(() => scope.close());

  const changes: ReadonlyArray<readonly [string, () => unknown]> = [
    ['is draining', () => change({isDraining: true, remainingMs: 10_000})],
    ['has restarted', () => change({incarnation: 2})],
    ['has lost the label', () => change({labels: new Set(['other'])})],
    ['has left the directory', () => (worker.isListed = false)],
    ['has been replaced', () => (worker.isReplaced = true)],
    ['is closed to new runs', () => (worker.isClosedToNewRuns = true)],
    [
      'has less room',
      () => change({capacity: {...worker.entry.capacity, accelerators: 0}}),
    ],
    ['is led by another leader', () => (mayAct = false)],
  ];
  for (const [what, happen] of changes) {
    // Guards against starts on a worker that has announced its end, among others.
    it(`are not sent or repeated once their worker ${what}`, async () => {
      happen();
      client.loseAnswers();
      for (let turn = 0; turn < 20; turn += 1) await setImmediate();
      assert.equal(client.starts.length, SENT_AT_A_TIME, 'starts');
      // What may have started is stopped, and the others are placed again.
      const stopped = runs.filter(({phase}) => phase === 'stopping');
      assert.equal(stopped.length, SENT_AT_A_TIME, 'stops');
      assert.equal(lost.length, TASKS - SENT_AT_A_TIME, 'runs given back');
    });
  }

  it('are given back at once when their worker is draining', () => {
    change({isDraining: true, remainingMs: 10_000});
    link.reviewWaitingStarts(steadyNow());
    assert.equal(lost.length, TASKS - SENT_AT_A_TIME);
    assert.equal(client.starts.length, SENT_AT_A_TIME);
  });

  it('are sent while nothing has changed', async () => {
    link.reviewWaitingStarts(steadyNow());
    client.loseAnswers();
    for (let turn = 0; turn < 20; turn += 1) await setImmediate();
    assert.ok(client.starts.length > SENT_AT_A_TIME);
    assert.deepEqual(lost, []);
  });
});
