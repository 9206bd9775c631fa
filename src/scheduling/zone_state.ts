/**
 * Planning state of one zone: workers, the full and the guaranteed view of the
 * cells, the queue and the placed jobs, with the transitions between the
 * stages of a job.
 */

import type {Configuration, Customer} from '../model/configuration.js';
import type {AvailabilityZone, CustomerId, JobId, VmId} from '../model/ids.js';
import type {CellSize} from '../model/shapes.js';
import {
  ACCELERATORS_PER_RACK,
  CELL_SIZES,
  cellSizeFor,
} from '../model/shapes.js';
import type {Cell} from './cells.js';
import {enclosingCell, cellEnd, cellsOverlap, partsWhere} from './cells.js';
import {CustomerUsage, ceilingAllows} from './customer_usage.js';
import {FreeCells, VisitCounter} from './free_cells.js';
import {OccupancyView} from './occupancy_view.js';
import {Guarantees} from './guarantees.js';
import {JobQueue} from './job_queue.js';
import type {PlacementWeights} from './placement.js';
import {Placer} from './placement.js';
import type {JobHistory, PlannedJob} from './planned_job.js';
import {emptyHistory, cellsOccupiedAt, placementAt} from './planned_job.js';
import {Racks} from './racks.js';
import {RunTimeEstimator} from './run_time_estimator.js';
import {WorkerHealth} from './worker_health.js';
import type {
  AdoptedGang,
  GangPlacement,
  PlannedWorker,
} from './zone_planner.js';

/** Bounds the memory used for jobs that are between two attempts. */
const MAXIMUM_HISTORIES = 10_000;

export class ZoneState {
  readonly visits = new VisitCounter();
  readonly racks = new Racks();
  readonly fullView = new OccupancyView(this.racks, this.visits);
  readonly guarantees = new Guarantees(this.racks, this.visits);
  readonly queue = new JobQueue();
  readonly usage = new CustomerUsage();
  readonly health = new WorkerHealth();
  readonly runTimes = new RunTimeEstimator();
  readonly jobs = new Map<JobId, PlannedJob>();
  /**
   * Jobs in the stages `reclaiming` and `reserving`, whose cell is reserved
   * but not free yet.
   */
  readonly jobsAwaitingCell = new Set<PlannedJob>();
  /** Customers whose guarantee may now cover some of their borrowers. */
  readonly customersToPromote = new Set<CustomerId>();
  readonly customers = new Map<CustomerId, Customer>();
  /** Number of accelerators of all workers, in use or not. */
  accelerators = 0;
  weights: PlacementWeights = {
    completionTimeWeight: 1,
    fragmentationWeight: 1,
  };

  /** Cells that would be free if all workers were idle and accepted tasks. */
  private readonly cellsWhenIdle = new FreeCells(new VisitCounter());
  /** By job that is between two attempts, oldest entry first. */
  private readonly histories = new Map<JobId, JobHistory>();
  /** Workers as last reported, regardless of quarantine. */
  private readonly reportedWorkers = new Map<VmId, PlannedWorker>();
  /** Adopted gangs with tasks on workers that were not reported yet. */
  private readonly gangsByUnknownWorker = new Map<VmId, Set<PlannedJob>>();

  constructor(readonly availabilityZone: AvailabilityZone) {}

  get placer(): Placer {
    return new Placer(this.racks, this.fullView, this.guarantees, this.weights);
  }

  get workers(): ReadonlyMap<VmId, PlannedWorker> {
    return this.reportedWorkers;
  }

  configure(configuration: Configuration): void {
    const {site} = configuration;
    if (site !== undefined) this.weights = site;
    this.customers.clear();
    for (const customer of configuration.customers) {
      this.customers.set(customer.id, customer);
      this.customersToPromote.add(customer.id);
    }
    const demoted = this.guarantees.configure(
      configuration.customers,
      this.availabilityZone,
    );
    this.demote(demoted);
  }

  /** Unbinds guaranteed cells that lost workers if others can replace them. */
  replaceDamagedCells(): void {
    this.demote(this.guarantees.unbindDamagedCells());
  }

  setWorker(worker: PlannedWorker): void {
    const known = this.reportedWorkers.get(worker.workerId);
    if (
      known !== undefined &&
      (known.rackId !== worker.rackId ||
        known.rackPosition !== worker.rackPosition)
    ) {
      this.removeWorker(worker.workerId);
    }
    const before = this.reportedWorkers.get(worker.workerId)?.accelerators ?? 0;
    this.accelerators += worker.accelerators - before;
    this.reportedWorkers.set(worker.workerId, worker);
    this.applyWorker(worker.workerId);
    const waitingGangs = this.gangsByUnknownWorker.get(worker.workerId) ?? [];
    this.gangsByUnknownWorker.delete(worker.workerId);
    for (const job of waitingGangs) this.locate(job);
  }

  /** Updates the cells from the worker's reported state and quarantine. */
  applyWorker(workerId: VmId): void {
    const worker = this.reportedWorkers.get(workerId);
    if (worker === undefined) return;
    const acceptsTasks =
      worker.acceptsTasks && !this.health.isQuarantined(workerId);
    const place = this.racks.set({...worker, acceptsTasks});
    if (!acceptsTasks) this.requeueJobsAwaiting(place);
    this.refresh(place);
  }

  /** Returns the jobs whose gangs had a task on the worker. */
  removeWorker(workerId: VmId): readonly JobId[] {
    this.accelerators -= this.reportedWorkers.get(workerId)?.accelerators ?? 0;
    this.reportedWorkers.delete(workerId);
    const place = this.racks.cellOfWorker(workerId);
    this.racks.remove(workerId);
    if (place !== undefined) {
      this.requeueJobsAwaiting(place);
      this.refresh(place);
    }
    return [...this.jobs.values()]
      .filter((job) => job.placement !== undefined)
      .filter((job) =>
        job.placement?.tasks.some((task) => task.workerId === workerId),
      )
      .map((job) => job.jobId);
  }

  /**
   * Size of the largest cell of any rack, assuming that all its workers accept
   * tasks; a whole rack while no worker is known.
   */
  largestCell(): CellSize {
    return this.cellsWhenIdle.largestSize() ?? ACCELERATORS_PER_RACK;
  }

  /** Removes and returns the history of the job's earlier attempts. */
  takeHistory(jobId: JobId): JobHistory {
    const history = this.histories.get(jobId) ?? emptyHistory();
    this.histories.delete(jobId);
    return history;
  }

  /** Stores the history of a job that may be queued again. */
  keepHistory(job: PlannedJob): void {
    this.histories.set(job.jobId, job.history);
    if (this.histories.size <= MAXIMUM_HISTORIES) return;
    const [oldest] = this.histories.keys();
    if (oldest !== undefined) this.histories.delete(oldest);
  }

  addToQueue(job: PlannedJob): void {
    this.jobs.set(job.jobId, job);
    this.queue.add(job);
  }

  /** Removes a job that is not placed from the planner. */
  withdraw(job: PlannedJob): void {
    this.requeue(job);
    this.queue.remove(job);
    this.jobs.delete(job.jobId);
  }

  /** Releases the reserved cell of a job that is not placed and queues it. */
  requeue(job: PlannedJob): void {
    if (job.stage !== 'reclaiming' && job.stage !== 'reserving') return;
    const {cell} = job;
    job.stage = 'queued';
    job.cell = undefined;
    this.jobsAwaitingCell.delete(job);
    this.guarantees.unassign(job);
    if (cell !== undefined) this.fullView.unreserve(job, cell);
    this.usage.update(job);
    this.queue.add(job);
  }

  /** Reserves a cell for the job until all gangs have left it. */
  reserveCell(
    job: PlannedJob,
    cell: Cell,
    stage: 'reclaiming' | 'reserving',
  ): void {
    job.stage = stage;
    job.cell = cell;
    this.queue.remove(job);
    this.jobsAwaitingCell.add(job);
    this.fullView.reserve(job, cell);
    this.usage.update(job);
  }

  /** Places the job at a cell that no other gang uses. */
  start(job: PlannedJob, cell: Cell): GangPlacement {
    if (this.jobsAwaitingCell.delete(job)) this.fullView.unreserve(job, cell);
    this.queue.remove(job);
    job.stage = 'starting';
    job.cell = cell;
    job.occupiedCells = cellsOccupiedAt(job, cell);
    job.placement = placementAt(job, cell, this.racks);
    this.fullView.occupy(job, job.occupiedCells);
    this.usage.update(job);
    return job.placement;
  }

  /** Frees the accelerators of the job's gang and removes the job. */
  removeGang(job: PlannedJob): void {
    if (job.guaranteed) this.customersToPromote.add(job.record.customerId);
    this.jobs.delete(job.jobId);
    this.usage.remove(job);
    this.guarantees.unassign(job);
    this.fullView.vacate(job, job.occupiedCells);
    for (const jobs of this.gangsByUnknownWorker.values()) jobs.delete(job);
  }

  /** Adds a gang that is already running. */
  adopt(job: PlannedJob, gang: AdoptedGang): void {
    this.jobs.set(job.jobId, job);
    job.stage = 'running';
    job.startedAt = gang.startedAt;
    job.placement = gang;
    this.locate(job);
    if (gang.guaranteed) this.promote(job);
    this.usage.update(job);
  }

  /**
   * Makes a borrower guaranteed at its current cell if its customer's
   * guarantee has free capacity. Returns whether the job is guaranteed.
   */
  promote(job: PlannedJob): boolean {
    if (job.guaranteed) return true;
    if (job.cell === undefined || job.stage === 'leaving') return false;
    const promoted = this.guarantees.assignInPlace(job, job.cell);
    this.usage.update(job);
    return promoted;
  }

  /** False if the gang fits no rack or would exceed the customer's ceiling. */
  mayStart(job: PlannedJob): boolean {
    if (cellSizeFor(job.record.shape) === undefined) return false;
    const {customerId} = job.record;
    const customer = this.customers.get(customerId);
    return ceilingAllows(customer, this.usage.total(customerId), job);
  }

  /** Maps the tasks of an adopted gang to cells of the known workers. */
  private locate(job: PlannedJob): void {
    const parts: Cell[] = [];
    for (const {workerId, accelerators} of job.placement?.tasks ?? []) {
      const place = this.racks.cellOfWorker(workerId);
      if (place === undefined) {
        const gangs = this.gangsByUnknownWorker.get(workerId) ?? new Set();
        this.gangsByUnknownWorker.set(workerId, gangs.add(job));
        continue;
      }
      const part = smallestCellCovering(
        accelerators.map((at) => place.position + at),
      );
      if (part !== undefined) parts.push(part);
    }
    job.occupiedCells = parts;
    const ends = parts.flatMap((part) => [part.position, cellEnd(part) - 1]);
    const cell = ends.length > 0 ? smallestCellCovering(ends) : undefined;
    const isSmall = cell !== undefined && cell.size < job.cellSize;
    job.cell = isSmall ? enclosingCell(cell.position, job.cellSize) : cell;
    this.fullView.occupy(job, parts);
    this.customersToPromote.add(job.record.customerId);
  }

  /** Updates jobs that lost their guaranteed cells; running ones continue. */
  private demote(jobs: readonly PlannedJob[]): void {
    for (const job of jobs) {
      this.customersToPromote.add(job.record.customerId);
      if (job.stage === 'reclaiming') this.requeue(job);
      else this.usage.update(job);
    }
  }

  private refresh(place: Cell): void {
    this.fullView.refresh(place);
    this.guarantees.refresh(place);
    this.cellsWhenIdle.allocateFreeParts(place);
    for (const part of partsWhere(place, (at) => this.racks.exists(at))) {
      this.cellsWhenIdle.release(part);
    }
  }

  private requeueJobsAwaiting(place: Cell): void {
    for (const job of [...this.jobsAwaitingCell]) {
      if (job.cell !== undefined && cellsOverlap(job.cell, place)) {
        this.requeue(job);
      }
    }
  }
}

/** The smallest cell that covers all positions; undefined across racks. */
function smallestCellCovering(positions: readonly number[]): Cell | undefined {
  const first = Math.min(...positions);
  const last = Math.max(...positions);
  return CELL_SIZES.map((size) => enclosingCell(first, size)).find(
    (cell) => cellEnd(cell) > last,
  );
}
