/**
 * Selects the cell for a job. Candidates are compared by a score that uses the
 * site's weights; a lower score is better. The number of candidates is
 * bounded, so that the cost of a decision does not grow with the racks.
 */

import type {Site} from '../model/configuration.js';
import type {Instant, VmId} from '../model/ids.js';
import type {CellSize} from '../model/shapes.js';
import {ACCELERATORS_PER_RACK} from '../model/shapes.js';
import type {Cell} from './cells.js';
import {
  CELL_LEVELS,
  enclosingCell,
  cellEnd,
  levelOf,
  sizeOfLevel,
} from './cells.js';
import type {OccupancyView} from './occupancy_view.js';
import type {Guarantees, GuaranteeFit} from './guarantees.js';
import type {PlannedJob} from './planned_job.js';
import {cellsOccupiedAt} from './planned_job.js';
import type {Racks} from './racks.js';

/** Limits per size of free cell; a zone of 30 workers stays below them. */
const MAXIMUM_BEST_FIT_CANDIDATES = 32;
const MAXIMUM_LARGER_CANDIDATES = 8;
/** Limit for a reservation; the candidates are spread over the zone. */
const MAXIMUM_RESERVATION_CANDIDATES = 64;

/** Loss per preemption in addition to the work since the last checkpoint. */
const PREEMPTION_OVERHEAD_MS = 60_000;
const MILLISECONDS_PER_HOUR = 3_600_000;
/** Cost in accelerator hours of lending a part of a bound cell. */
const BOUND_CELL_COST_HOURS = 0.25;
/** Cost in accelerator hours of taking over a starved job's reservation. */
const RESERVATION_COST_HOURS = 4;
/**
 * Cost in accelerator hours of preempting a borrower whose customer has unused
 * guaranteed cells: it would restart there and might preempt others.
 */
const CASCADE_COST_HOURS = 2;
/** Cost in accelerator hours per worker that the job should avoid. */
const AVOIDED_WORKER_COST_HOURS = 8;
/** Wait added to a reservation that conflicts with a guaranteed gang. */
const BOUND_CELL_WAIT_MS = MILLISECONDS_PER_HOUR;

export type PlacementWeights = Pick<
  Site,
  'completionTimeWeight' | 'fragmentationWeight'
>;

export interface Candidate {
  /** Cell in which the gang is placed. */
  readonly cell: Cell;
  /** Guaranteed cell to bind first, if `cell` is not in a bound one. */
  readonly bindCell?: Cell;
  /** Size of the guarantee that a smaller `bindCell` fulfils. */
  readonly guaranteedSize?: CellSize;
  /** Number of times that the free cell is halved to obtain the cell. */
  readonly splitLevels: number;
  /** Borrowers to preempt, each as a whole gang. */
  readonly evicted: ReadonlySet<PlannedJob>;
  /** Work that is lost or put at risk, in accelerator hours. */
  readonly delayHours: number;
}

/** The score of a candidate; lower is better. */
export function placementScore(
  candidate: Pick<Candidate, 'splitLevels' | 'delayHours'>,
  weights: PlacementWeights,
): number {
  return (
    weights.completionTimeWeight * candidate.delayHours +
    weights.fragmentationWeight * candidate.splitLevels
  );
}

/**
 * Work lost by preempting a gang, in accelerator hours. Earlier preemptions
 * raise the cost, so that the same gangs are not preempted repeatedly.
 */
export function preemptionCost(gang: PlannedJob, now: Instant): number {
  if (gang.stage === 'leaving') return 0;
  const overhead = PREEMPTION_OVERHEAD_MS * gang.accelerators;
  const lost = gang.workLost(now) + overhead;
  return (lost * (1 + gang.history.preemptions)) / MILLISECONDS_PER_HOUR;
}

type Proposal = Pick<
  Candidate,
  'cell' | 'bindCell' | 'guaranteedSize' | 'splitLevels'
>;

export class Placer {
  constructor(
    private readonly racks: Racks,
    private readonly full: OccupancyView,
    private readonly guarantees: Guarantees,
    private readonly weights: PlacementWeights,
  ) {}

  /** The best cell for a job within its customer's guarantee. */
  forGuaranteed(
    job: PlannedJob,
    fit: GuaranteeFit,
    now: Instant,
  ): Candidate | undefined {
    let best: Candidate | undefined;
    for (const proposal of this.guaranteedProposals(job, fit)) {
      const candidate = this.assess(job, proposal, now);
      if (candidate === undefined) continue;
      if (best === undefined || this.isBetter(candidate, best)) {
        best = candidate;
      }
    }
    return best;
  }

  /** The best free cell for a borrower. */
  forBorrower(job: PlannedJob): Candidate | undefined {
    let best: Candidate | undefined;
    const size = job.cellSize;
    for (let level = levelOf(size); level < CELL_LEVELS; level += 1) {
      const blocks = this.full.free.ofSize(sizeOfLevel(level));
      const cells = cellsToCompare(
        job,
        firstOf(blocks, MAXIMUM_LARGER_CANDIDATES),
      );
      for (const cell of cells) {
        const isBound =
          this.guarantees.boundCellAt(cell.position) !== undefined;
        const candidate = {
          cell,
          splitLevels: level - levelOf(size),
          evicted: new Set<PlannedJob>(),
          delayHours:
            (isBound ? BOUND_CELL_COST_HOURS * job.accelerators : 0) +
            this.avoidanceCostHours(job, cell),
        };
        if (best === undefined || this.isBetter(candidate, best)) {
          best = candidate;
        }
      }
    }
    return best;
  }

  /**
   * The cell that is expected to become free first if no new job starts in it.
   * `endOf` estimates when a gang ends, as a Unix time in milliseconds.
   */
  forReservation(
    job: PlannedJob,
    endOf: (gang: PlannedJob) => number,
  ): Cell | undefined {
    let best: Cell | undefined;
    let bestReadyAt = Infinity;
    for (const cell of this.spreadCells(job.cellSize)) {
      if (!this.isUsable(job, cell)) continue;
      if (this.full.conflictingReservations(job, cell).size > 0) continue;
      let readyAt = 0;
      for (const gang of this.full.conflictingGangs(job, cell)) {
        const wait = gang.guaranteed ? BOUND_CELL_WAIT_MS : 0;
        readyAt = Math.max(readyAt, endOf(gang) + wait);
      }
      if (readyAt < bestReadyAt) {
        best = cell;
        bestReadyAt = readyAt;
      }
    }
    return best;
  }

  private isBetter(one: Candidate, other: Candidate): boolean {
    const byScore =
      placementScore(one, this.weights) - placementScore(other, this.weights);
    if (byScore !== 0) return byScore < 0;
    return one.delayHours < other.delayHours;
  }

  private *guaranteedProposals(
    job: PlannedJob,
    fit: GuaranteeFit,
  ): Generator<Proposal> {
    if (fit.kind === 'bound') {
      yield* this.boundProposals(job, fit.size);
      return;
    }
    if (fit.kind === 'partial') {
      const blocks = this.guarantees.free.ofSize(fit.size);
      const proposals = unboundProposals(job, fit.size, blocks);
      for (const proposal of firstOf(proposals, MAXIMUM_BEST_FIT_CANDIDATES)) {
        yield {...proposal, guaranteedSize: fit.guaranteedSize};
      }
      return;
    }
    const sizes = this.guarantees.sizesToBindFrom(fit.size);
    yield* this.freeProposals(job, fit.size, sizes);
    let limit = MAXIMUM_BEST_FIT_CANDIDATES;
    for (const from of sizes) {
      const blocks = this.guarantees.free.ofSize(from);
      yield* firstOf(unboundProposals(job, fit.size, blocks), limit);
      limit = MAXIMUM_LARGER_CANDIDATES;
    }
  }

  private *boundProposals(
    job: PlannedJob,
    from: CellSize,
  ): Generator<Proposal> {
    const owner = this.guarantees.ofCustomer(job.record.customerId);
    if (owner === undefined) return;
    const splitLevels = levelOf(from) - levelOf(job.cellSize);
    let limit = MAXIMUM_BEST_FIT_CANDIDATES;
    for (const block of owner.free.ofSize(from)) {
      for (const cell of cellsWithin(block, job.cellSize)) {
        if (limit === 0) return;
        limit -= 1;
        yield {cell, splitLevels};
      }
    }
  }

  /** Cells that are free of borrowers too, so that none is preempted. */
  private *freeProposals(
    job: PlannedJob,
    bindSize: CellSize,
    sizes: readonly CellSize[],
  ): Generator<Proposal> {
    for (let level = levelOf(job.cellSize); level < CELL_LEVELS; level += 1) {
      const blocks = this.full.free.ofSize(sizeOfLevel(level));
      for (const block of firstOf(blocks, MAXIMUM_LARGER_CANDIDATES)) {
        const bindCell = enclosingCell(block.position, bindSize);
        const around = this.guarantees.free.enclosingFreeCell(bindCell);
        if (around === undefined || !sizes.includes(around.size)) continue;
        const cell = enclosingCell(block.position, job.cellSize);
        const splitLevels = levelOf(around.size) - levelOf(bindSize);
        yield {cell, bindCell, splitLevels};
      }
    }
  }

  private assess(
    job: PlannedJob,
    proposal: Proposal,
    now: Instant,
  ): Candidate | undefined {
    let delayHours = this.avoidanceCostHours(job, proposal.cell);
    const evicted = this.full.conflictingGangs(job, proposal.cell);
    for (const gang of evicted) {
      if (gang.guaranteed) return undefined;
      delayHours += preemptionCost(gang, now) + this.cascadeCostHours(gang);
    }
    for (const holder of this.full.conflictingReservations(
      job,
      proposal.cell,
    )) {
      if (holder.stage !== 'reserving') return undefined;
      delayHours += RESERVATION_COST_HOURS;
    }
    return {...proposal, evicted, delayHours};
  }

  private cascadeCostHours(gang: PlannedJob): number {
    const {customerId} = gang.record;
    const fits = this.guarantees.fits(customerId, gang.cellSize);
    return fits.length > 0 ? CASCADE_COST_HOURS : 0;
  }

  private avoidanceCostHours(job: PlannedJob, cell: Cell): number {
    const {workersToAvoid: avoid} = job.history;
    if (avoid.size === 0) return 0;
    const workers = new Set<VmId>();
    for (let at = cell.position; at < cellEnd(cell); at += 1) {
      const workerId = this.racks.workerAt(at)?.workerId;
      if (workerId !== undefined && avoid.has(workerId)) workers.add(workerId);
    }
    return workers.size * AVOIDED_WORKER_COST_HOURS;
  }

  private isUsable(job: PlannedJob, cell: Cell): boolean {
    return cellsOccupiedAt(job, cell).every((part) => {
      for (let at = part.position; at < cellEnd(part); at += 1) {
        if (!this.racks.isUsable(at)) return false;
      }
      return true;
    });
  }

  /** A bounded number of evenly spaced cells of a size. */
  private *spreadCells(size: CellSize): Generator<Cell> {
    const cells = (this.racks.rackCount * ACCELERATORS_PER_RACK) / size;
    const count = Math.min(cells, MAXIMUM_RESERVATION_CANDIDATES);
    for (let index = 0; index < count; index += 1) {
      yield {position: Math.floor((index * cells) / count) * size, size};
    }
  }
}

function* unboundProposals(
  job: PlannedJob,
  bindSize: CellSize,
  blocks: Iterable<Cell>,
): Generator<Proposal> {
  for (const block of blocks) {
    const splitLevels = levelOf(block.size) - levelOf(bindSize);
    for (const bindCell of cellsWithin(block, bindSize)) {
      for (const cell of cellsWithin(bindCell, job.cellSize)) {
        yield {cell, bindCell, splitLevels};
      }
    }
  }
}

/**
 * The first cells of each free block. One per block is enough unless the job
 * avoids workers: other cells of a block then can have a lower cost.
 */
function* cellsToCompare(
  job: PlannedJob,
  blocks: Iterable<Cell>,
): Generator<Cell> {
  const limit = job.history.workersToAvoid.size + 1;
  for (const block of blocks) {
    yield* firstOf(cellsWithin(block, job.cellSize), limit);
  }
}

function* cellsWithin(outer: Cell, size: CellSize): Generator<Cell> {
  for (let at = outer.position; at < cellEnd(outer); at += size) {
    yield {position: at, size};
  }
}

function* firstOf<T>(items: Iterable<T>, limit: number): Generator<T> {
  let remaining = limit;
  for (const item of items) {
    if (remaining === 0) return;
    remaining -= 1;
    yield item;
  }
}
