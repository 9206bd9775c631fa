/**
 * Guaranteed cells and their late binding. The guaranteed view counts only
 * bound cells and lost accelerators; borrowers do not count. A guaranteed
 * cell is bound when its customer first uses it and unbound when empty.
 *
 * Invariant: the unbound cells of all customers pack into the free cells of
 * the guaranteed view. Binding keeps it, because a cell is only taken out of
 * a free cell of a size for which the rest still packs. Lost workers and
 * configuration changes can break it; it then holds again when enough cells
 * are unbound.
 */

import type {Customer} from '../model/configuration.js';
import type {AvailabilityZone, CustomerId} from '../model/ids.js';
import type {CellSize} from '../model/shapes.js';
import type {Cell} from './cells.js';
import {
  CELL_LEVELS,
  cellAround,
  cellContains,
  cellEnd,
  cellKey,
  levelOf,
  partsWhere,
  sizeOfLevel,
} from './cells.js';
import {FreeCells} from './free_cells.js';
import type {VisitCounter} from './free_cells.js';
import type {CellCounts} from './packing.js';
import {countsAfterTake, guaranteedCounts, packs} from './packing.js';
import type {PlannedJob} from './planned_job.js';
import type {Racks} from './racks.js';

/** A guaranteed cell that is bound to physical accelerators. */
export interface BoundCell {
  readonly cell: Cell;
  /** Guaranteed size that it stands for; larger than a partial cell. */
  readonly counted: CellSize;
  readonly share: CustomerShare;
  /** The customer's jobs in the cell, with the part that each holds. */
  readonly parts: Map<PlannedJob, Cell>;
}

/** Guaranteed cells of one customer. */
export interface CustomerShare {
  readonly customerId: CustomerId;
  /** Number of guaranteed cells by level. */
  guaranteed: CellCounts;
  readonly bound: Map<number, BoundCell>;
  /** Number of bound cells by level. */
  readonly boundCounts: number[];
  /** Free parts of the bound cells; never joined across bound cells. */
  readonly free: FreeCells;
}

/** Where a job fits into its customer's guarantee. */
export type ShareFit =
  /** Into free parts of this size within bound cells. */
  | {readonly kind: 'bound'; readonly size: CellSize}
  /** Into an unbound guaranteed cell of this size. */
  | {readonly kind: 'unbound'; readonly size: CellSize}
  /**
   * Into a cell of this size in place of an unbound one of size `counted`,
   * for which the zone has no room after the loss of workers.
   */
  | {
      readonly kind: 'partial';
      readonly size: CellSize;
      readonly counted: CellSize;
    };

export class Guarantees {
  /** Free cells of the guaranteed view. */
  readonly free: FreeCells;
  private readonly shares = new Map<CustomerId, CustomerShare>();
  private readonly boundAt: Array<BoundCell | undefined> = [];
  /** The guaranteed job whose part of a bound cell includes a number. */
  private readonly heldBy: Array<PlannedJob | undefined> = [];
  /** Bound cells with accelerators that are lost or take no new task. */
  private readonly damaged = new Set<BoundCell>();
  /** Number of unbound guaranteed cells of all customers, by level. */
  private readonly totals = new Array<number>(CELL_LEVELS).fill(0);

  constructor(
    private readonly racks: Racks,
    private readonly visits: VisitCounter,
  ) {
    this.free = new FreeCells(visits);
  }

  /**
   * Takes the guarantees of a new configuration and returns the jobs whose
   * cells are no longer guaranteed.
   */
  configure(
    customers: readonly Customer[],
    availabilityZone: AvailabilityZone,
  ): readonly PlannedJob[] {
    for (const share of this.shares.values()) share.guaranteed = [];
    for (const customer of customers) {
      const share = this.shareOf(customer.id);
      share.guaranteed = guaranteedCounts(customer, availabilityZone);
    }
    const demoted: PlannedJob[] = [];
    for (const share of this.shares.values()) {
      demoted.push(...this.releaseExcess(share));
      if (share.bound.size === 0 && share.guaranteed.length === 0) {
        this.shares.delete(share.customerId);
      }
    }
    // Once for all: a pass for each customer takes 40 ms at 700 customers.
    this.recount();
    return demoted;
  }

  share(customerId: CustomerId): CustomerShare | undefined {
    return this.shares.get(customerId);
  }

  boundCellAt(position: number): BoundCell | undefined {
    return this.boundAt[position];
  }

  /** Number of unbound guaranteed cells of all customers, by level. */
  unboundCounts(): CellCounts {
    return this.totals;
  }

  /**
   * True if all unbound guaranteed cells pack into what is free. Bound cells
   * with lost accelerators count as unbound, because they have to be replaced.
   */
  invariantHolds(): boolean {
    const wanted = [...this.totals];
    for (const {counted} of this.damaged) {
      wanted[levelOf(counted)] = (wanted[levelOf(counted)] ?? 0) + 1;
    }
    return packs(wanted, this.free.counts());
  }

  /**
   * Unbinds the cells that lost accelerators if there is room to bind others,
   * and returns the jobs in them; they go on as borrowers. Without room the
   * customer keeps what is left of its cell.
   */
  giveUpDamaged(): readonly PlannedJob[] {
    if (this.damaged.size === 0 || !this.invariantHolds()) return [];
    const jobs = [...this.damaged].flatMap((bound) => [...bound.parts.keys()]);
    for (const job of jobs) this.unassign(job);
    return jobs;
  }

  /**
   * Where a cell of `size` fits into the customer's guarantee, the smaller
   * choice first. Empty if the guarantee is used up.
   */
  fits(customerId: CustomerId, size: CellSize): readonly ShareFit[] {
    const share = this.shares.get(customerId);
    if (share === undefined) return [];
    const fits: ShareFit[] = [];
    const boundSize = share.free.bestFit(size);
    if (boundSize !== undefined) fits.push({kind: 'bound', size: boundSize});
    const unbound = smallestUnbound(share, size);
    if (unbound !== undefined) fits.push({kind: 'unbound', size: unbound});
    if (unbound !== undefined && this.free.bestFit(unbound) === undefined) {
      const partial = this.partialSize(size, unbound);
      if (partial !== undefined) {
        fits.push({kind: 'partial', size: partial, counted: unbound});
      }
    }
    return fits.sort((one, other) => one.size - other.size);
  }

  /**
   * Sizes of free cells from which an unbound cell of `size` may be taken.
   * While the invariant is broken, the best fit is the only choice.
   */
  sizesToBindFrom(size: CellSize): readonly CellSize[] {
    const best = this.free.bestFit(size);
    if (best === undefined) return [];
    const counts = this.free.counts();
    const level = levelOf(size);
    const wanted = this.totals.map((n, at) => (at === level ? n - 1 : n));
    const sizes: CellSize[] = [];
    for (let from = levelOf(best); from < CELL_LEVELS; from += 1) {
      if ((counts[from] ?? 0) === 0) continue;
      if (packs(wanted, countsAfterTake(counts, from, level))) {
        sizes.push(sizeOfLevel(from));
      }
    }
    return sizes.length > 0 ? sizes : [best];
  }

  /**
   * The largest free size of at least `size` that can stand for a cell of size
   * `counted`, without taking room from guarantees that still fit.
   */
  private partialSize(size: CellSize, counted: CellSize): CellSize | undefined {
    const counts = this.free.counts();
    const largest = this.free.largest() ?? 0;
    const wanted = this.totals.map((count, level) =>
      sizeOfLevel(level) > largest ? 0 : count,
    );
    for (let level = levelOf(counted) - 1; level >= levelOf(size); level -= 1) {
      if ((counts[level] ?? 0) === 0) continue;
      if (packs(wanted, countsAfterTake(counts, level, level))) {
        return sizeOfLevel(level);
      }
    }
    return undefined;
  }

  /**
   * Binds an unbound guaranteed cell of the customer to a free cell, which is
   * smaller than `counted` if the zone has no room for that size.
   */
  bind(customerId: CustomerId, cell: Cell, counted = cell.size): BoundCell {
    const share = this.shareOf(customerId);
    const bound: BoundCell = {cell, counted, share, parts: new Map()};
    if (counted !== cell.size) this.damaged.add(bound);
    this.free.take(cell);
    share.bound.set(cellKey(cell), bound);
    this.countBound(bound, 1);
    this.mark(cell, bound);
    this.refreshShare(bound, cell);
    return bound;
  }

  /** Gives a part of a bound cell to a job of its customer. */
  assign(job: PlannedJob, bound: BoundCell, cell: Cell): void {
    bound.parts.set(job, cell);
    for (let at = cell.position; at < cellEnd(cell); at += 1) {
      this.heldBy[at] = job;
    }
    bound.share.free.takeFreeParts(cell);
    job.boundCell = bound;
  }

  /** Takes back the job's part and unbinds the cell if it is empty. */
  unassign(job: PlannedJob): void {
    const bound = job.boundCell;
    if (bound === undefined) return;
    const part = bound.parts.get(job);
    bound.parts.delete(job);
    job.boundCell = undefined;
    if (part === undefined) return;
    for (let at = part.position; at < cellEnd(part); at += 1) {
      this.heldBy[at] = undefined;
    }
    if (bound.parts.size === 0) this.unbind(bound);
    else this.refreshShare(bound, part);
  }

  /** Works out again what is free at a worker's place. */
  refresh(place: Cell): void {
    this.visits.visited += place.size;
    this.free.takeFreeParts(place);
    const unboundParts = partsWhere(
      place,
      (at) => this.boundAt[at] === undefined && this.racks.isUsable(at),
    );
    for (const part of unboundParts) this.free.release(part);
    const bounds = new Set<BoundCell>();
    for (let at = place.position; at < cellEnd(place); at += 1) {
      const bound = this.boundAt[at];
      if (bound !== undefined) bounds.add(bound);
    }
    for (const bound of bounds) {
      this.refreshShare(bound, overlap(bound.cell, place));
      this.noteDamage(bound);
    }
  }

  /**
   * Counts a job that runs already as guaranteed at its cell, if its
   * customer's guarantee allows this. Returns whether it did.
   */
  assignInPlace(job: PlannedJob, cell: Cell): boolean {
    const customerId = job.record.customerId;
    const share = this.shares.get(customerId);
    if (share === undefined) return false;
    const present = this.boundAt[cell.position];
    if (present?.share === share && cellContains(present.cell, cell)) {
      if (share.free.freeCellAround(cell) === undefined) return false;
      this.assign(job, present, cell);
      return true;
    }
    for (let level = levelOf(cell.size); level < CELL_LEVELS; level += 1) {
      const size = sizeOfLevel(level);
      if (unboundOf(share, size) === 0) continue;
      const target = cellAround(cell.position, size);
      const around = this.free.freeCellAround(target);
      if (around === undefined) return false;
      if (!this.sizesToBindFrom(size).includes(around.size)) continue;
      this.assign(job, this.bind(customerId, target), cell);
      return true;
    }
    return false;
  }

  private unbind(bound: BoundCell): void {
    const {cell, share} = bound;
    share.free.takeFreeParts(cell);
    share.bound.delete(cellKey(cell));
    this.damaged.delete(bound);
    this.countBound(bound, -1);
    this.mark(cell, undefined);
    this.refresh(cell);
  }

  /** Unbinds cells beyond the guarantee, those with the fewest jobs first. */
  private releaseExcess(share: CustomerShare): readonly PlannedJob[] {
    const demoted: PlannedJob[] = [];
    for (let level = 0; level < CELL_LEVELS; level += 1) {
      const size = sizeOfLevel(level);
      const cells = [...share.bound.values()]
        .filter((bound) => bound.counted === size)
        .sort((one, other) => one.parts.size - other.parts.size);
      const excess = cells.length - (share.guaranteed[level] ?? 0);
      for (const bound of cells.slice(0, Math.max(0, excess))) {
        const jobs = [...bound.parts.keys()];
        demoted.push(...jobs);
        for (const job of jobs) this.unassign(job);
      }
    }
    return demoted;
  }

  private recount(): void {
    this.visits.visited += this.shares.size;
    this.totals.fill(0);
    for (const share of this.shares.values()) {
      for (let level = 0; level < CELL_LEVELS; level += 1) {
        const size = sizeOfLevel(level);
        this.addToTotal(size, unboundOf(share, size));
      }
    }
  }

  private countBound(bound: BoundCell, difference: number): void {
    const level = levelOf(bound.counted);
    const {boundCounts} = bound.share;
    boundCounts[level] = (boundCounts[level] ?? 0) + difference;
    this.addToTotal(bound.counted, -difference);
  }

  private addToTotal(size: CellSize, difference: number): void {
    const level = levelOf(size);
    this.totals[level] = (this.totals[level] ?? 0) + difference;
  }

  private mark(cell: Cell, bound: BoundCell | undefined): void {
    this.visits.visited += cell.size;
    for (let at = cell.position; at < cellEnd(cell); at += 1) {
      this.boundAt[at] = bound;
    }
  }

  private noteDamage(bound: BoundCell): void {
    const {cell} = bound;
    this.visits.visited += cell.size;
    const usable = partsWhere(cell, (at) => this.racks.isUsable(at));
    if (usable.length === 1 && usable[0]?.size === bound.counted) {
      this.damaged.delete(bound);
    } else {
      this.damaged.add(bound);
    }
  }

  /** Works out again which of a bound cell's accelerators are unused. */
  private refreshShare(bound: BoundCell, cell: Cell): void {
    const {share} = bound;
    this.visits.visited += cell.size;
    share.free.takeFreeParts(cell);
    const parts = partsWhere(
      cell,
      (at) => this.heldBy[at] === undefined && this.racks.isUsable(at),
    );
    for (const part of parts) share.free.release(part, bound.cell.size);
  }

  private shareOf(customerId: CustomerId): CustomerShare {
    let share = this.shares.get(customerId);
    if (share === undefined) {
      share = {
        customerId,
        guaranteed: [],
        bound: new Map(),
        boundCounts: new Array<number>(CELL_LEVELS).fill(0),
        free: new FreeCells(this.visits),
      };
      this.shares.set(customerId, share);
    }
    return share;
  }
}

/** Unbound guaranteed cells of one customer and size. */
export function unboundOf(share: CustomerShare, size: CellSize): number {
  const level = levelOf(size);
  return (share.guaranteed[level] ?? 0) - (share.boundCounts[level] ?? 0);
}

function smallestUnbound(
  share: CustomerShare,
  size: CellSize,
): CellSize | undefined {
  for (let level = levelOf(size); level < CELL_LEVELS; level += 1) {
    if (unboundOf(share, sizeOfLevel(level)) > 0) return sizeOfLevel(level);
  }
  return undefined;
}

/** Two cells that overlap are nested; returns the smaller one. */
function overlap(one: Cell, other: Cell): Cell {
  return one.size <= other.size ? one : other;
}
