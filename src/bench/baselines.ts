/**
 * Baseline policies that the production planner is compared with. They neither
 * lend guaranteed capacity nor preempt. A gang occupies adjacent accelerators
 * of one rack, without alignment to cells. Workers are quarantined and failures
 * attributed to jobs as in the production planner, so that failing workers do
 * not distort the comparison.
 */

import {Result} from 'true-myth';
import type {Configuration, Customer} from '../model/configuration.js';
import type {InvalidInputError} from '../model/errors.js';
import {RefusedError} from '../model/errors.js';
import type {
  AvailabilityZone,
  CustomerId,
  Instant,
  JobId,
  VmId,
} from '../model/ids.js';
import type {JobRecord} from '../model/jobs.js';
import type {GangShape} from '../model/shapes.js';
import {
  ACCELERATORS_PER_RACK,
  ACCELERATORS_PER_WORKER,
  CELL_SIZES,
  cellSizeFor,
} from '../model/shapes.js';
import {enclosingCell} from '../scheduling/cells.js';
import {FreeCells, VisitCounter} from '../scheduling/free_cells.js';
import {Racks} from '../scheduling/racks.js';
import {WorkerHealth} from '../scheduling/worker_health.js';
import {ZonePlanner} from '../scheduling/zone_planner.js';
import type {
  AdoptedGang,
  GangEnd,
  GangPlacement,
  PlanAction,
  PlannedWorker,
  TaskPlacement,
} from '../scheduling/zone_planner.js';

/** Both limits are those of the production planner. */
const EARLY_FAILURE_MS = 60_000;
const FAILED_WORKERS_LIMIT = 3;

export interface BaselineOptions {
  readonly availabilityZone: AvailabilityZone;
  /**
   * `strict`: the first job that cannot be placed blocks all later ones;
   * `skip`: later jobs are tried.
   */
  readonly order: 'strict' | 'skip';
  readonly fit: 'first' | 'best';
  /** True if customers use only their guaranteed cells, urgent jobs first. */
  readonly isPartitioned: boolean;
}

/** Adjacent free accelerators of one rack: `start` to `end`, exclusive. */
interface FreeSpan {
  readonly start: number;
  readonly end: number;
}

interface Gang {
  readonly record: JobRecord;
  readonly placement: GangPlacement;
  startedAt: Instant | undefined;
}

export class BaselinePlanner extends ZonePlanner {
  private readonly racks = new Racks();
  private readonly health = new WorkerHealth();
  private readonly workers = new Map<VmId, PlannedWorker>();
  private readonly customers = new Map<CustomerId, Customer>();
  private readonly gangs = new Map<JobId, Gang>();
  private readonly failedOn = new Map<JobId, Set<VmId>>();
  private readonly busy = new Set<number>();
  /** If partitioned, the guaranteed cell at each position; one object each. */
  private readonly partitions: Array<{owner: CustomerId} | undefined> = [];
  /** If partitioned, the accelerator positions of each customer's cells. */
  private readonly owned = new Map<CustomerId, number[]>();
  /** Number of accelerators that each customer's gangs occupy. */
  private readonly inUse = new Map<CustomerId, number>();
  private queue: JobRecord[] = [];

  constructor(private readonly options: BaselineOptions) {
    super();
  }

  override configure(configuration: Configuration): void {
    this.customers.clear();
    for (const customer of configuration.customers) {
      this.customers.set(customer.id, customer);
    }
    this.partition();
  }

  override setWorker(worker: PlannedWorker): void {
    this.workers.set(worker.workerId, worker);
    this.racks.set(worker);
    this.partition();
  }

  override removeWorker(workerId: VmId): readonly JobId[] {
    this.workers.delete(workerId);
    this.racks.remove(workerId);
    return [...this.gangs.values()]
      .filter(({placement}) =>
        placement.tasks.some((task) => task.workerId === workerId),
      )
      .map(({record}) => record.jobId);
  }

  override check(
    record: JobRecord,
  ): Result<void, InvalidInputError | RefusedError> {
    if (cellSizeFor(record.shape) !== undefined) return Result.ok(undefined);
    return Result.err(
      new RefusedError('the gang exceeds a rack', 'submit a smaller gang'),
    );
  }

  override enqueue(record: JobRecord): void {
    this.queue.push(record);
    this.queue.sort((one, other) => this.compare(one, other));
  }

  override adopt(record: JobRecord, gang: AdoptedGang): void {
    this.occupy(record, gang);
  }

  override dequeue(jobId: JobId): void {
    this.queue = this.queue.filter((record) => record.jobId !== jobId);
  }

  override gangStarted(jobId: JobId, now: Instant): void {
    const gang = this.gangs.get(jobId);
    if (gang !== undefined) gang.startedAt = now;
  }

  override checkpointed(): void {
    // Checkpoints only affect preemption, which the baselines do not use.
  }

  override gangEnded(jobId: JobId, end: GangEnd, now: Instant): boolean {
    const gang = this.gangs.get(jobId);
    if (gang === undefined) return false;
    this.gangs.delete(jobId);
    this.countUse(gang.record, -1);
    for (const position of this.positionsOf(gang.placement)) {
      this.busy.delete(position);
    }
    if (end.kind === 'finished') {
      for (const task of gang.placement.tasks) {
        this.health.recordSuccess(task.workerId);
      }
    }
    if (end.kind !== 'failed') return false;
    const ranMs = now - (gang.startedAt ?? now);
    if (ranMs < EARLY_FAILURE_MS) {
      this.health.recordFailure(end.workerId, jobId);
    }
    const failedOn = this.failedOn.get(jobId) ?? new Set();
    this.failedOn.set(jobId, failedOn.add(end.workerId));
    if (failedOn.size < FAILED_WORKERS_LIMIT) return false;
    this.health.discardFailuresOf(jobId);
    return true;
  }

  override plan(now: Instant): readonly PlanAction[] {
    this.updateHealth(now);
    const actions: PlanAction[] = [];
    const unplaceableShapes = new Set<string>();
    for (const record of [...this.queue]) {
      if (!this.isWithinCeiling(record)) continue;
      const key = this.shapeKey(record);
      if (unplaceableShapes.has(key)) continue;
      const tasks = this.place(record);
      if (tasks === undefined) {
        if (this.options.order === 'strict') break;
        if (!this.failedOn.has(record.jobId)) unplaceableShapes.add(key);
        continue;
      }
      const {jobId} = record;
      const guaranteed = this.options.isPartitioned;
      const placement = {jobId, tasks, guaranteed};
      this.dequeue(jobId);
      this.occupy(record, placement);
      actions.push({kind: 'start', placement});
    }
    return actions;
  }

  override nextDecisionAt(now: Instant): Instant | undefined {
    const next = this.health.nextQuarantineEnd();
    return next !== undefined && next > now ? next : undefined;
  }

  override explain(): undefined {
    return undefined;
  }

  override quarantined(): readonly VmId[] {
    return this.health.quarantined();
  }

  private compare(one: JobRecord, other: JobRecord): number {
    if (this.options.isPartitioned && one.urgency !== other.urgency) {
      return one.urgency === 'urgent' ? -1 : 1;
    }
    const byAge = one.submittedAt - other.submittedAt;
    return byAge !== 0 ? byAge : one.jobId < other.jobId ? -1 : 1;
  }

  private shapeKey({customerId, shape}: JobRecord): string {
    const owner = this.options.isPartitioned ? customerId : '';
    return `${owner}/${shape.tasks}x${shape.acceleratorsPerTask}`;
  }

  private isWithinCeiling({customerId, shape}: JobRecord): boolean {
    const inUse = this.inUse.get(customerId) ?? 0;
    const ceiling = this.customers.get(customerId)?.acceleratorCeiling;
    return inUse + acceleratorsOf(shape) <= (ceiling ?? Infinity);
  }

  private countUse({customerId, shape}: JobRecord, sign: 1 | -1): void {
    const before = this.inUse.get(customerId) ?? 0;
    this.inUse.set(customerId, before + sign * acceleratorsOf(shape));
  }

  private place(record: JobRecord): readonly TaskPlacement[] | undefined {
    let best: readonly TaskPlacement[] | undefined;
    let bestLength = Infinity;
    for (const span of this.freeSpans(record)) {
      if (span.end - span.start >= bestLength) continue;
      const tasks = this.placeIn(span, record.shape);
      if (tasks === undefined) continue;
      if (this.options.fit === 'first') return tasks;
      best = tasks;
      bestLength = span.end - span.start;
    }
    return best;
  }

  private placeIn(
    span: FreeSpan,
    {tasks, acceleratorsPerTask}: GangShape,
  ): readonly TaskPlacement[] | undefined {
    const placed: TaskPlacement[] = [];
    let at = span.start;
    while (placed.length < tasks) {
      const left = ACCELERATORS_PER_WORKER - (at % ACCELERATORS_PER_WORKER);
      if (left < acceleratorsPerTask) at += left;
      if (at + acceleratorsPerTask > span.end) return undefined;
      const worker = this.racks.workerAt(at);
      if (worker === undefined) return undefined;
      const first = at % ACCELERATORS_PER_WORKER;
      placed.push({
        workerId: worker.workerId,
        accelerators: Array.from(
          {length: acceleratorsPerTask},
          (_, index) => first + index,
        ),
      });
      at += acceleratorsPerTask;
    }
    return placed;
  }

  private *freeSpans(record: JobRecord): Generator<FreeSpan> {
    let span: {start: number; end: number} | undefined;
    for (const at of this.positionsFor(record.customerId)) {
      const continues =
        span?.end === at &&
        at % ACCELERATORS_PER_RACK !== 0 &&
        this.partitions[at] === this.partitions[span.start];
      const isFree = this.isFreeFor(record, at);
      if (span !== undefined && continues && isFree) {
        span.end = at + 1;
        continue;
      }
      if (span !== undefined) yield span;
      span = isFree ? {start: at, end: at + 1} : undefined;
    }
    if (span !== undefined) yield span;
  }

  private positionsFor(customerId: CustomerId): Iterable<number> {
    if (this.options.isPartitioned) return this.owned.get(customerId) ?? [];
    const length = this.racks.rackCount * ACCELERATORS_PER_RACK;
    return Array.from({length}, (_, position) => position);
  }

  private isFreeFor(record: JobRecord, position: number): boolean {
    if (this.busy.has(position) || !this.racks.isUsable(position)) return false;
    // A customer's cells may all be on one worker, so it cannot be avoided.
    if (this.options.isPartitioned) return true;
    const failedOn = this.failedOn.get(record.jobId);
    if (failedOn === undefined) return true;
    const worker = this.racks.workerAt(position);
    return worker === undefined || !failedOn.has(worker.workerId);
  }

  private occupy(record: JobRecord, placement: GangPlacement): void {
    this.gangs.set(record.jobId, {record, placement, startedAt: undefined});
    this.countUse(record, 1);
    for (const position of this.positionsOf(placement)) {
      this.busy.add(position);
    }
  }

  private positionsOf(placement: GangPlacement): readonly number[] {
    return placement.tasks.flatMap(({workerId, accelerators}) => {
      const first = this.racks.cellOfWorker(workerId)?.position ?? 0;
      return accelerators.map((index) => first + index);
    });
  }

  private updateHealth(now: Instant): void {
    for (const workerId of this.health.update(this.workers, now)) {
      const worker = this.workers.get(workerId);
      if (worker === undefined) continue;
      const isQuarantined = this.health.isQuarantined(workerId);
      const acceptsTasks = worker.acceptsTasks && !isQuarantined;
      this.racks.set({...worker, acceptsTasks});
    }
  }

  /** Allocates every customer's guaranteed cells, the largest first. */
  private partition(): void {
    if (!this.options.isPartitioned) return;
    this.partitions.length = 0;
    this.owned.clear();
    const free = new FreeCells(new VisitCounter());
    for (const {workerId} of this.workers.values()) {
      const workerCell = this.racks.cellOfWorker(workerId);
      if (workerCell !== undefined) free.release(workerCell);
    }
    for (const size of [...CELL_SIZES].reverse()) {
      for (const customer of this.customers.values()) {
        for (const {availabilityZone, cellSize, cells} of customer.guarantees) {
          if (availabilityZone !== this.options.availabilityZone) continue;
          if (cellSize !== size) continue;
          for (let cell = 0; cell < cells; cell += 1) {
            this.allocateCell(free, size, customer.id);
          }
        }
      }
    }
  }

  private allocateCell(
    free: FreeCells,
    size: (typeof CELL_SIZES)[number],
    owner: CustomerId,
  ): void {
    const from = free.bestFitSize(size);
    if (from === undefined) return;
    const [freeCell] = free.ofSize(from);
    if (freeCell === undefined) return;
    const cell = enclosingCell(freeCell.position, size);
    free.allocate(cell);
    const region = {owner};
    const owned = this.owned.get(owner) ?? [];
    this.owned.set(owner, owned);
    for (let at = cell.position; at < cell.position + size; at += 1) {
      this.partitions[at] = region;
      owned.push(at);
    }
  }
}

function acceleratorsOf({tasks, acceleratorsPerTask}: GangShape): number {
  return tasks * acceleratorsPerTask;
}
