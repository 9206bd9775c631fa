/**
 * Simulated zone for planner tests. It executes the planner's actions and
 * checks after each one that no two gangs use the same accelerator.
 */

import assert from 'node:assert/strict';
import type {Customer} from '../src/model/configuration.js';
import {EMPTY_CONFIGURATION} from '../src/model/configuration.js';
import type {JobId, VmId} from '../src/model/ids.js';
import {after, instant, trustedId} from '../src/model/ids.js';
import type {JobRecord} from '../src/model/jobs.js';
import type {CellSize} from '../src/model/shapes.js';
import {nextPowerOfTwo} from '../src/model/shapes.js';
import {CellZonePlanner} from '../src/scheduling/cell_zone_planner.js';
import type {
  AdoptedGang,
  GangEnd,
  GangPlacement,
  PlannedWorker,
} from '../src/scheduling/zone_planner.js';

export const ZONE = trustedId<JobRecord['availabilityZone']>('zone');
export const STARVATION_BOUND_MS = 600_000;

/** A customer with guaranteed cells, as pairs of cell size and count. */
export function customer(
  id: string,
  cells: ReadonlyArray<readonly [CellSize, number]>,
  acceleratorCeiling = 100_000,
): Customer {
  return {
    id: trustedId(id),
    name: id,
    guarantees: cells.map(([cellSize, count]) => ({
      availabilityZone: ZONE,
      cellSize,
      cells: count,
    })),
    acceleratorCeiling,
    weight: 1,
    requestLimits: {requestsPerSecond: 1, burst: 1, concurrency: 1},
  };
}

/** Workers in racks of eight; the last rack may be incomplete. */
export function workers(count: number): PlannedWorker[] {
  return Array.from({length: count}, (_, index) => ({
    workerId: trustedId<VmId>(`worker-${index}`),
    rackId: trustedId(`rack-${Math.floor(index / 8)}`),
    rackPosition: index % 8,
    accelerators: 8,
    acceptsTasks: true,
  }));
}

export interface JobOptions {
  readonly declaredRunTimeMs?: number;
  /** Prefix of the job's id, `job` by default. */
  readonly prefix?: string;
}

export class PlannerWorld {
  readonly planner = new CellZonePlanner({
    availabilityZone: ZONE,
    starvationBoundMs: STARVATION_BOUND_MS,
  });
  now = instant(1_000_000);
  readonly queued = new Map<JobId, JobRecord>();
  readonly placed = new Map<JobId, GangPlacement>();
  readonly records = new Map<JobId, JobRecord>();
  /** Jobs preempted by the last `planUntilStable`. */
  preempted: JobId[] = [];
  private readonly workers = new Map<VmId, PlannedWorker>();
  private readonly jobsByKey = new Map<string, JobId>();
  private jobCount = 0;

  constructor(customers: readonly Customer[], fleet: readonly PlannedWorker[]) {
    this.configure(customers);
    for (const worker of fleet) this.setWorker(worker);
  }

  setWorker(worker: PlannedWorker): void {
    this.workers.set(worker.workerId, worker);
    this.planner.setWorker(worker, this.now);
  }

  configure(customers: readonly Customer[]): void {
    this.planner.configure({
      ...EMPTY_CONFIGURATION,
      customers: [...customers],
    });
  }

  submit(
    customerId: string,
    tasks: number,
    acceleratorsPerTask: number,
    options: JobOptions = {},
  ): JobId {
    this.jobCount += 1;
    const record: JobRecord = {
      jobId: trustedId<JobId>(`${options.prefix ?? 'job'}-${this.jobCount}`),
      customerId: trustedId(customerId),
      workClassId: trustedId('class'),
      availabilityZone: ZONE,
      shape: {tasks, acceleratorsPerTask},
      urgency: 'normal',
      declaredRunTimeMs: options.declaredRunTimeMs ?? 600_000,
      payload: '',
      submittedAt: this.now,
      state: 'queued',
      reason: '',
      sequence: 0,
      attempts: 0,
    };
    this.records.set(record.jobId, record);
    this.enqueue(record.jobId);
    return record.jobId;
  }

  enqueue(jobId: JobId): void {
    const record = this.records.get(jobId);
    assert.ok(record !== undefined);
    this.queued.set(jobId, record);
    this.planner.enqueue(record, this.now);
  }

  /** Hands a running gang to the planner. */
  adopt(record: JobRecord, gang: AdoptedGang): void {
    this.records.set(record.jobId, record);
    this.occupy(gang);
    this.planner.adopt(record, gang, this.now);
  }

  cancelQueued(jobId: JobId): void {
    this.queued.delete(jobId);
    this.planner.dequeue(jobId);
  }

  /**
   * Ends the job's gang and queues the job again if it has to run again.
   * Returns true if the planner finds the job at fault.
   */
  end(jobId: JobId, end: GangEnd): boolean {
    const placement = this.placed.get(jobId);
    assert.ok(placement !== undefined, `${jobId} is not placed`);
    this.placed.delete(jobId);
    for (const key of acceleratorKeysOf(placement)) this.jobsByKey.delete(key);
    const isJobAtFault = this.planner.gangEnded(jobId, end, this.now);
    const runsAgain = end.kind !== 'finished' && end.kind !== 'cancelled';
    if (runsAgain && !isJobAtFault) this.enqueue(jobId);
    return isJobAtFault;
  }

  /** Plans once and starts the placed gangs; preempted gangs keep running. */
  plan(): {started: GangPlacement[]; preempted: JobId[]} {
    const started: GangPlacement[] = [];
    const preempted: JobId[] = [];
    for (const action of this.planner.plan(this.now)) {
      if (action.kind === 'preempt') preempted.push(action.jobId);
      else started.push(action.placement);
    }
    for (const placement of started) this.start(placement);
    return {started, preempted};
  }

  /**
   * Stops preempted gangs one by one, with a planning pass after each, until
   * nothing is preempted any more. Returns the gangs started up to the end of
   * the first round of preemptions. A preempted job may restart in its own
   * guarantee and preempt another borrower; no job is preempted twice.
   */
  planUntilStable(): GangPlacement[] {
    let {started, preempted: round} = this.plan();
    const inFirstRound = started;
    this.preempted = [...round];
    for (let rounds = 1; round.length > 0; rounds += 1) {
      const gangs = round.map((jobId) => this.placed.get(jobId));
      const next: JobId[] = [];
      started = [];
      for (const jobId of round) {
        this.end(jobId, {kind: 'setAside'});
        const plan = this.plan();
        started.push(...plan.started);
        next.push(...plan.preempted);
      }
      this.checkReclaimedCells(gangs, started);
      if (rounds === 1) inFirstRound.push(...started);
      this.preempted.push(...next);
      assert.equal(new Set(this.preempted).size, this.preempted.length);
      round = next;
    }
    return inFirstRound;
  }

  advance(milliseconds: number): void {
    this.now = after(this.now, milliseconds);
  }

  loseWorker(workerId: VmId): void {
    this.workers.delete(workerId);
    for (const jobId of this.planner.removeWorker(workerId, this.now)) {
      this.end(jobId, {kind: 'lost'});
    }
  }

  private start(placement: GangPlacement): void {
    const record = this.queued.get(placement.jobId);
    assert.ok(record !== undefined, `${placement.jobId} was not queued`);
    assert.equal(placement.tasks.length, record.shape.tasks);
    for (const {workerId, accelerators} of placement.tasks) {
      const worker = this.workers.get(workerId);
      assert.ok(worker?.acceptsTasks === true, `${workerId} accepts no tasks`);
      assert.ok(Math.max(...accelerators) < worker.accelerators);
    }
    this.queued.delete(placement.jobId);
    this.occupy(placement);
    this.planner.gangStarted(placement.jobId, this.now);
  }

  private occupy(placement: GangPlacement): void {
    for (const key of acceleratorKeysOf(placement)) {
      const user = this.jobsByKey.get(key);
      assert.equal(user, undefined, `${key} is used by ${user}`);
      this.jobsByKey.set(key, placement.jobId);
    }
    this.placed.set(placement.jobId, placement);
  }

  /** Checks that a guaranteed gang replaced each preempted one. */
  private checkReclaimedCells(
    gangs: ReadonlyArray<GangPlacement | undefined>,
    started: readonly GangPlacement[],
  ): void {
    const reclaimed = new Set(
      started.filter((each) => each.guaranteed).flatMap(occupiedKeysOf),
    );
    for (const gang of gangs) {
      assert.ok(gang !== undefined);
      assert.ok(
        occupiedKeysOf(gang).some((key) => reclaimed.has(key)),
        `${gang.jobId} was preempted, but no guaranteed job took its place`,
      );
    }
  }
}

function acceleratorKeysOf(placement: GangPlacement): string[] {
  return placement.tasks.flatMap((task) =>
    task.accelerators.map((index) => `${task.workerId}/${index}`),
  );
}

/** Accelerators that a gang occupies, including those its tasks leave idle. */
function occupiedKeysOf(placement: GangPlacement): string[] {
  return placement.tasks.flatMap(({workerId, accelerators}) => {
    const first = accelerators[0] ?? 0;
    const taken = nextPowerOfTwo(accelerators.length);
    return Array.from({length: taken}, (_, i) => `${workerId}/${first + i}`);
  });
}
