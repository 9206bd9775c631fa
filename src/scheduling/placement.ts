/**
 * Where a job goes. Candidates are compared by one explicit score with the
 * site's weights; a lower score is better. The number of candidates is
 * bounded, so that a decision does not get more expensive with more racks.
 */

import type {Site} from '../model/configuration.js';
import type {Instant, VmId} from '../model/ids.js';
import type {CellSize} from '../model/shapes.js';
import {ACCELERATORS_PER_RACK} from '../model/shapes.js';
import type {Cell} from './cells.js';
import {
  CELL_LEVELS,
  cellAround,
  cellEnd,
  levelOf,
  sizeOfLevel,
} from './cells.js';
import type {FullView} from './full_view.js';
import type {Guarantees, ShareFit} from './guarantees.js';
import type {PlannedJob} from './planned_job.js';
import {cellsOccupiedAt} from './planned_job.js';
import type {Racks} from './racks.js';

/** Cells compared per size of free cell; a zone of 30 workers has fewer. */
const CANDIDATES_OF_BEST_FIT = 32;
const CANDIDATES_OF_LARGER = 8;
/** Cells compared for a reservation, spread over the zone. */
const CANDIDATES_FOR_RESERVATION = 64;

/** Lost by each preemption besides the work since the last checkpoint. */
const PREEMPTION_OVERHEAD_MS = 60_000;
const MILLISECONDS_PER_HOUR = 3_600_000;
/** Score in accelerator hours of lending a part of a bound cell. */
const LENT_FROM_BOUND_HOURS = 0.25;
/** Score in accelerator hours of taking a starved job's reservation. */
const RESERVATION_TAKEN_HOURS = 4;
/**
 * Score in accelerator hours of preempting a borrower whose customer has
 * unused guaranteed cells; it would restart there and could preempt others.
 */
const CASCADE_HOURS = 2;
/** Score in accelerator hours of a worker that failed this job before. */
const AVOIDED_WORKER_HOURS = 8;
/** Wait added to a reservation in which other customers' cells are bound. */
const BOUND_CELL_WAIT_MS = MILLISECONDS_PER_HOUR;

export type PlacementWeights = Pick<
  Site,
  'completionTimeWeight' | 'fragmentationWeight'
>;

export interface Candidate {
  /** Where the gang goes. */
  readonly cell: Cell;
  /** Guaranteed cell to bind first, if `cell` is not in a bound one. */
  readonly bindCell?: Cell;
  /** Guaranteed size that a smaller `bindCell` stands for. */
  readonly counted?: CellSize;
  /** Sizes between the free cell that is split and the cell taken. */
  readonly splitLevels: number;
  /** Borrowers that have to go, each as a whole. */
  readonly evicted: ReadonlySet<PlannedJob>;
  /** Lost or endangered work in accelerator hours. */
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
 * Work lost by preempting a gang, in accelerator hours. Gangs that were
 * preempted before cost more, so that it is not always the same ones.
 */
export function preemptionCost(gang: PlannedJob, now: Instant): number {
  if (gang.stage === 'leaving') return 0;
  const overhead = PREEMPTION_OVERHEAD_MS * gang.accelerators;
  const lost = gang.workLost(now) + overhead;
  return (lost * (1 + gang.history.preemptions)) / MILLISECONDS_PER_HOUR;
}

type Proposal = Pick<
  Candidate,
  'cell' | 'bindCell' | 'counted' | 'splitLevels'
>;

export class Placer {
  constructor(
    private readonly racks: Racks,
    private readonly full: FullView,
    private readonly guarantees: Guarantees,
    private readonly weights: PlacementWeights,
  ) {}

  /** The best cell for a job within its customer's guarantee. */
  forGuaranteed(
    job: PlannedJob,
    fit: ShareFit,
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
      const cells = cellsToCompare(job, firstOf(blocks, CANDIDATES_OF_LARGER));
      for (const cell of cells) {
        const lent = this.guarantees.boundCellAt(cell.position) !== undefined;
        const candidate = {
          cell,
          splitLevels: level - levelOf(size),
          evicted: new Set<PlannedJob>(),
          delayHours:
            (lent ? LENT_FROM_BOUND_HOURS * job.accelerators : 0) +
            this.avoidanceHours(job, cell),
        };
        if (best === undefined || this.isBetter(candidate, best)) {
          best = candidate;
        }
      }
    }
    return best;
  }

  /**
   * The cell that is expected to be free first, if nothing new starts there.
   * `endOf` estimates when a gang ends.
   */
  forReservation(
    job: PlannedJob,
    endOf: (gang: PlannedJob) => number,
  ): Cell | undefined {
    let best: Cell | undefined;
    let bestReadyAt = Infinity;
    for (const cell of this.spreadCells(job.cellSize)) {
      if (!this.isUsable(job, cell)) continue;
      if (this.full.keepersInTheWay(job, cell).size > 0) continue;
      let readyAt = 0;
      for (const gang of this.full.gangsInTheWay(job, cell)) {
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
    fit: ShareFit,
  ): Generator<Proposal> {
    if (fit.kind === 'bound') {
      yield* this.boundProposals(job, fit.size);
      return;
    }
    if (fit.kind === 'partial') {
      const blocks = this.guarantees.free.ofSize(fit.size);
      const proposals = unboundProposals(job, fit.size, blocks);
      for (const proposal of firstOf(proposals, CANDIDATES_OF_BEST_FIT)) {
        yield {...proposal, counted: fit.counted};
      }
      return;
    }
    const sizes = this.guarantees.sizesToBindFrom(fit.size);
    yield* this.freeProposals(job, fit.size, sizes);
    let limit = CANDIDATES_OF_BEST_FIT;
    for (const from of sizes) {
      const blocks = this.guarantees.free.ofSize(from);
      yield* firstOf(unboundProposals(job, fit.size, blocks), limit);
      limit = CANDIDATES_OF_LARGER;
    }
  }

  private *boundProposals(
    job: PlannedJob,
    from: CellSize,
  ): Generator<Proposal> {
    const share = this.guarantees.share(job.record.customerId);
    if (share === undefined) return;
    const splitLevels = levelOf(from) - levelOf(job.cellSize);
    let limit = CANDIDATES_OF_BEST_FIT;
    for (const block of share.free.ofSize(from)) {
      for (const cell of cellsWithin(block, job.cellSize)) {
        if (limit === 0) return;
        limit -= 1;
        yield {cell, splitLevels};
      }
    }
  }

  /** Cells that are free in both views, so that nothing is reclaimed. */
  private *freeProposals(
    job: PlannedJob,
    bindSize: CellSize,
    sizes: readonly CellSize[],
  ): Generator<Proposal> {
    for (let level = levelOf(job.cellSize); level < CELL_LEVELS; level += 1) {
      const blocks = this.full.free.ofSize(sizeOfLevel(level));
      for (const block of firstOf(blocks, CANDIDATES_OF_LARGER)) {
        const bindCell = cellAround(block.position, bindSize);
        const around = this.guarantees.free.freeCellAround(bindCell);
        if (around === undefined || !sizes.includes(around.size)) continue;
        const cell = cellAround(block.position, job.cellSize);
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
    let delayHours = this.avoidanceHours(job, proposal.cell);
    const evicted = this.full.gangsInTheWay(job, proposal.cell);
    for (const gang of evicted) {
      if (gang.guaranteed) return undefined;
      delayHours += preemptionCost(gang, now) + this.cascadeHours(gang);
    }
    for (const keeper of this.full.keepersInTheWay(job, proposal.cell)) {
      if (keeper.stage !== 'reserving') return undefined;
      delayHours += RESERVATION_TAKEN_HOURS;
    }
    return {...proposal, evicted, delayHours};
  }

  private cascadeHours(gang: PlannedJob): number {
    const {customerId} = gang.record;
    const fits = this.guarantees.fits(customerId, gang.cellSize);
    return fits.length > 0 ? CASCADE_HOURS : 0;
  }

  private avoidanceHours(job: PlannedJob, cell: Cell): number {
    const {workersToAvoid: avoid} = job.history;
    if (avoid.size === 0) return 0;
    const workers = new Set<VmId>();
    for (let at = cell.position; at < cellEnd(cell); at += 1) {
      const workerId = this.racks.workerAt(at)?.workerId;
      if (workerId !== undefined && avoid.has(workerId)) workers.add(workerId);
    }
    return workers.size * AVOIDED_WORKER_HOURS;
  }

  private isUsable(job: PlannedJob, cell: Cell): boolean {
    return cellsOccupiedAt(job, cell).every((part) => {
      for (let at = part.position; at < cellEnd(part); at += 1) {
        if (!this.racks.isUsable(at)) return false;
      }
      return true;
    });
  }

  /** A bounded number of cells of a size at equal distances. */
  private *spreadCells(size: CellSize): Generator<Cell> {
    const cells = (this.racks.rackCount * ACCELERATORS_PER_RACK) / size;
    const taken = Math.min(cells, CANDIDATES_FOR_RESERVATION);
    for (let index = 0; index < taken; index += 1) {
      yield {position: Math.floor((index * cells) / taken) * size, size};
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
 * The first cell of each free one. Other cells of it are only better for a
 * job that avoids some workers.
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
  let left = limit;
  for (const item of items) {
    if (left === 0) return;
    left -= 1;
    yield item;
  }
}
