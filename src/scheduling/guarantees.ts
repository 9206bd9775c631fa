/**
 * Guaranteed cells and their late binding to accelerators. A guaranteed cell
 * is bound when its customer first uses it and unbound when it is empty. In
 * the guaranteed view, an accelerator is free unless it is in a bound cell or
 * unusable; borrowers are ignored, because they can be preempted.
 *
 * Invariant: the unbound cells of all customers pack into the free cells of
 * the guaranteed view. Binding preserves it, because a cell is split off a
 * free cell only if the remaining unbound cells still pack. Lost workers and
 * configuration changes can break it until enough cells have been unbound.
 */

import type {Customer} from '../model/configuration.js';
import type {AvailabilityZone, CustomerId} from '../model/ids.js';
import type {CellSize} from '../model/shapes.js';
import type {Cell} from './cells.js';
import {
  CELL_LEVELS,
  enclosingCell,
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
import {countsAfterAllocation, guaranteedCounts, packs} from './packing.js';
import type {PlannedJob} from './planned_job.js';
import type {Racks} from './racks.js';

/** A guaranteed cell that is bound to physical accelerators. */
export interface BoundCell {
  readonly cell: Cell;
  /** Size of the guarantee that it fulfils; a partial cell is smaller. */
  readonly guaranteedSize: CellSize;
  readonly owner: CustomerGuarantees;
  /** The customer's jobs in the cell, with the part that each one holds. */
  readonly parts: Map<PlannedJob, Cell>;
}

/** Guaranteed and bound cells of one customer. */
export interface CustomerGuarantees {
  readonly customerId: CustomerId;
  /** Number of guaranteed cells by level. */
  guaranteed: CellCounts;
  readonly bound: Map<number, BoundCell>;
  /** Number of bound cells by level. */
  readonly boundCounts: number[];
  /** Free parts of the bound cells; never merged across bound cells. */
  readonly free: FreeCells;
}

/** How a job fits into its customer's guarantee. */
export type GuaranteeFit =
  /** In a free part of this size within a bound cell. */
  | {readonly kind: 'bound'; readonly size: CellSize}
  /** In an unbound guaranteed cell of this size. */
  | {readonly kind: 'unbound'; readonly size: CellSize}
  /**
   * In a cell of this size instead of an unbound one of `guaranteedSize`, for
   * which the zone lacks capacity after it lost workers.
   */
  | {
      readonly kind: 'partial';
      readonly size: CellSize;
      readonly guaranteedSize: CellSize;
    };

export class Guarantees {
  /** Free cells of the guaranteed view. */
  readonly free: FreeCells;
  private readonly byCustomer = new Map<CustomerId, CustomerGuarantees>();
  private readonly boundAt: Array<BoundCell | undefined> = [];
  /** The guaranteed job that holds each accelerator. */
  private readonly heldBy: Array<PlannedJob | undefined> = [];
  /** Bound cells that are partial or contain unusable accelerators. */
  private readonly damaged = new Set<BoundCell>();
  /** Unbound guaranteed cells of all customers, by level. */
  private readonly unboundCells = new Array<number>(CELL_LEVELS).fill(0);

  constructor(
    private readonly racks: Racks,
    private readonly visits: VisitCounter,
  ) {
    this.free = new FreeCells(visits);
  }

  /**
   * Applies the guarantees of a new configuration and returns the jobs that
   * lost their guarantee.
   */
  configure(
    customers: readonly Customer[],
    availabilityZone: AvailabilityZone,
  ): readonly PlannedJob[] {
    for (const owner of this.byCustomer.values()) owner.guaranteed = [];
    for (const customer of customers) {
      const owner = this.getOrCreate(customer.id);
      owner.guaranteed = guaranteedCounts(customer, availabilityZone);
    }
    const demoted: PlannedJob[] = [];
    for (const owner of this.byCustomer.values()) {
      demoted.push(...this.releaseExcess(owner));
      if (owner.bound.size === 0 && owner.guaranteed.length === 0) {
        this.byCustomer.delete(owner.customerId);
      }
    }
    // One recount for all; one per customer takes 40 ms at 700 customers.
    this.recountUnbound();
    return demoted;
  }

  ofCustomer(customerId: CustomerId): CustomerGuarantees | undefined {
    return this.byCustomer.get(customerId);
  }

  boundCellAt(position: number): BoundCell | undefined {
    return this.boundAt[position];
  }

  /** Number of unbound guaranteed cells of all customers, by level. */
  unboundCounts(): CellCounts {
    return this.unboundCells;
  }

  /**
   * True if all unbound guaranteed cells pack into the free cells. Damaged
   * cells count as unbound, because they have to be replaced.
   */
  invariantHolds(): boolean {
    const wanted = [...this.unboundCells];
    for (const {guaranteedSize} of this.damaged) {
      wanted[levelOf(guaranteedSize)] =
        (wanted[levelOf(guaranteedSize)] ?? 0) + 1;
    }
    return packs(wanted, this.free.counts());
  }

  /**
   * Unbinds the damaged cells if there is free capacity to replace all of
   * them, and returns the jobs in them, which continue as borrowers. Otherwise
   * the customers keep the remaining accelerators of their cells.
   */
  unbindDamagedCells(): readonly PlannedJob[] {
    if (this.damaged.size === 0 || !this.invariantHolds()) return [];
    const jobs = [...this.damaged].flatMap((bound) => [...bound.parts.keys()]);
    for (const job of jobs) this.unassign(job);
    return jobs;
  }

  /**
   * Returns how a cell of `size` fits into the customer's guarantee, smallest
   * choice first. Empty if the guarantee is used up.
   */
  fits(customerId: CustomerId, size: CellSize): readonly GuaranteeFit[] {
    const owner = this.byCustomer.get(customerId);
    if (owner === undefined) return [];
    const fits: GuaranteeFit[] = [];
    const boundSize = owner.free.bestFitSize(size);
    if (boundSize !== undefined) fits.push({kind: 'bound', size: boundSize});
    const unbound = smallestUnbound(owner, size);
    if (unbound !== undefined) fits.push({kind: 'unbound', size: unbound});
    if (unbound !== undefined && this.free.bestFitSize(unbound) === undefined) {
      const partial = this.partialSize(size, unbound);
      if (partial !== undefined) {
        fits.push({kind: 'partial', size: partial, guaranteedSize: unbound});
      }
    }
    return fits.sort((one, other) => one.size - other.size);
  }

  /**
   * Sizes of free cells from which an unbound cell of `size` may be bound.
   * While the invariant is broken, only the best fit is returned.
   */
  sizesToBindFrom(size: CellSize): readonly CellSize[] {
    const best = this.free.bestFitSize(size);
    if (best === undefined) return [];
    const counts = this.free.counts();
    const level = levelOf(size);
    const wanted = this.unboundCells.map((n, at) => (at === level ? n - 1 : n));
    const sizes: CellSize[] = [];
    for (let from = levelOf(best); from < CELL_LEVELS; from += 1) {
      if ((counts[from] ?? 0) === 0) continue;
      if (packs(wanted, countsAfterAllocation(counts, from, level))) {
        sizes.push(sizeOfLevel(from));
      }
    }
    return sizes.length > 0 ? sizes : [best];
  }

  /**
   * The largest free size, at least `size`, that can replace a cell of
   * `guaranteedSize` without taking capacity from guarantees that still fit.
   */
  private partialSize(
    size: CellSize,
    guaranteedSize: CellSize,
  ): CellSize | undefined {
    const counts = this.free.counts();
    const largest = this.free.largestSize() ?? 0;
    const wanted = this.unboundCells.map((count, level) =>
      sizeOfLevel(level) > largest ? 0 : count,
    );
    for (
      let level = levelOf(guaranteedSize) - 1;
      level >= levelOf(size);
      level -= 1
    ) {
      if ((counts[level] ?? 0) === 0) continue;
      if (packs(wanted, countsAfterAllocation(counts, level, level))) {
        return sizeOfLevel(level);
      }
    }
    return undefined;
  }

  /**
   * Binds an unbound guaranteed cell of the customer to a free cell, which is
   * smaller than `guaranteedSize` if the zone lacks capacity for that size.
   */
  bind(
    customerId: CustomerId,
    cell: Cell,
    guaranteedSize = cell.size,
  ): BoundCell {
    const owner = this.getOrCreate(customerId);
    const bound: BoundCell = {
      cell,
      guaranteedSize,
      owner,
      parts: new Map(),
    };
    if (guaranteedSize !== cell.size) this.damaged.add(bound);
    this.free.allocate(cell);
    owner.bound.set(cellKey(cell), bound);
    this.adjustBoundCount(bound, 1);
    this.setBoundCell(cell, bound);
    this.refreshFreeParts(bound, cell);
    return bound;
  }

  /** Assigns a part of a bound cell to a job of its customer. */
  assign(job: PlannedJob, bound: BoundCell, cell: Cell): void {
    bound.parts.set(job, cell);
    for (let at = cell.position; at < cellEnd(cell); at += 1) {
      this.heldBy[at] = job;
    }
    bound.owner.free.allocateFreeParts(cell);
    job.boundCell = bound;
  }

  /** Releases the job's part and unbinds the cell if it is now empty. */
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
    else this.refreshFreeParts(bound, part);
  }

  /** Recomputes which accelerators are free in a worker's slot. */
  refresh(workerCell: Cell): void {
    this.visits.visited += workerCell.size;
    this.free.allocateFreeParts(workerCell);
    const unboundParts = partsWhere(
      workerCell,
      (at) => this.boundAt[at] === undefined && this.racks.isUsable(at),
    );
    for (const part of unboundParts) this.free.release(part);
    const bounds = new Set<BoundCell>();
    for (let at = workerCell.position; at < cellEnd(workerCell); at += 1) {
      const bound = this.boundAt[at];
      if (bound !== undefined) bounds.add(bound);
    }
    for (const bound of bounds) {
      this.refreshFreeParts(bound, overlap(bound.cell, workerCell));
      this.updateDamaged(bound);
    }
  }

  /**
   * Makes a job that already runs in `cell` guaranteed there, if its
   * customer's guarantee allows this. Returns true on success.
   */
  assignInPlace(job: PlannedJob, cell: Cell): boolean {
    const customerId = job.record.customerId;
    const owner = this.byCustomer.get(customerId);
    if (owner === undefined) return false;
    const present = this.boundAt[cell.position];
    if (present?.owner === owner && cellContains(present.cell, cell)) {
      if (owner.free.enclosingFreeCell(cell) === undefined) return false;
      this.assign(job, present, cell);
      return true;
    }
    for (let level = levelOf(cell.size); level < CELL_LEVELS; level += 1) {
      const size = sizeOfLevel(level);
      if (unboundCount(owner, size) === 0) continue;
      const target = enclosingCell(cell.position, size);
      const around = this.free.enclosingFreeCell(target);
      if (around === undefined) return false;
      if (!this.sizesToBindFrom(size).includes(around.size)) continue;
      this.assign(job, this.bind(customerId, target), cell);
      return true;
    }
    return false;
  }

  private unbind(bound: BoundCell): void {
    const {cell, owner} = bound;
    owner.free.allocateFreeParts(cell);
    owner.bound.delete(cellKey(cell));
    this.damaged.delete(bound);
    this.adjustBoundCount(bound, -1);
    this.setBoundCell(cell, undefined);
    this.refresh(cell);
  }

  /** Unbinds cells in excess of the guarantee, those with fewest jobs first. */
  private releaseExcess(owner: CustomerGuarantees): readonly PlannedJob[] {
    const demoted: PlannedJob[] = [];
    for (let level = 0; level < CELL_LEVELS; level += 1) {
      const size = sizeOfLevel(level);
      const cells = [...owner.bound.values()]
        .filter((bound) => bound.guaranteedSize === size)
        .sort((one, other) => one.parts.size - other.parts.size);
      const excess = cells.length - (owner.guaranteed[level] ?? 0);
      for (const bound of cells.slice(0, Math.max(0, excess))) {
        const jobs = [...bound.parts.keys()];
        demoted.push(...jobs);
        for (const job of jobs) this.unassign(job);
      }
    }
    return demoted;
  }

  private recountUnbound(): void {
    this.visits.visited += this.byCustomer.size;
    this.unboundCells.fill(0);
    for (const owner of this.byCustomer.values()) {
      for (let level = 0; level < CELL_LEVELS; level += 1) {
        const size = sizeOfLevel(level);
        this.adjustUnbound(size, unboundCount(owner, size));
      }
    }
  }

  private adjustBoundCount(bound: BoundCell, difference: number): void {
    const level = levelOf(bound.guaranteedSize);
    const {boundCounts} = bound.owner;
    boundCounts[level] = (boundCounts[level] ?? 0) + difference;
    this.adjustUnbound(bound.guaranteedSize, -difference);
  }

  private adjustUnbound(size: CellSize, difference: number): void {
    const level = levelOf(size);
    this.unboundCells[level] = (this.unboundCells[level] ?? 0) + difference;
  }

  private setBoundCell(cell: Cell, bound: BoundCell | undefined): void {
    this.visits.visited += cell.size;
    for (let at = cell.position; at < cellEnd(cell); at += 1) {
      this.boundAt[at] = bound;
    }
  }

  private updateDamaged(bound: BoundCell): void {
    const {cell} = bound;
    this.visits.visited += cell.size;
    const usable = partsWhere(cell, (at) => this.racks.isUsable(at));
    if (usable.length === 1 && usable[0]?.size === bound.guaranteedSize) {
      this.damaged.delete(bound);
    } else {
      this.damaged.add(bound);
    }
  }

  /** Recomputes which accelerators of a bound cell are free within `cell`. */
  private refreshFreeParts(bound: BoundCell, cell: Cell): void {
    const {owner} = bound;
    this.visits.visited += cell.size;
    owner.free.allocateFreeParts(cell);
    const parts = partsWhere(
      cell,
      (at) => this.heldBy[at] === undefined && this.racks.isUsable(at),
    );
    for (const part of parts) owner.free.release(part, bound.cell.size);
  }

  private getOrCreate(customerId: CustomerId): CustomerGuarantees {
    let owner = this.byCustomer.get(customerId);
    if (owner === undefined) {
      owner = {
        customerId,
        guaranteed: [],
        bound: new Map(),
        boundCounts: new Array<number>(CELL_LEVELS).fill(0),
        free: new FreeCells(this.visits),
      };
      this.byCustomer.set(customerId, owner);
    }
    return owner;
  }
}

/** Number of a customer's unbound guaranteed cells of one size. */
export function unboundCount(
  owner: CustomerGuarantees,
  size: CellSize,
): number {
  const level = levelOf(size);
  return (owner.guaranteed[level] ?? 0) - (owner.boundCounts[level] ?? 0);
}

function smallestUnbound(
  owner: CustomerGuarantees,
  size: CellSize,
): CellSize | undefined {
  for (let level = levelOf(size); level < CELL_LEVELS; level += 1) {
    if (unboundCount(owner, sizeOfLevel(level)) > 0) return sizeOfLevel(level);
  }
  return undefined;
}

/** Intersection of two overlapping cells; one always contains the other. */
function overlap(one: Cell, other: Cell): Cell {
  return one.size <= other.size ? one : other;
}
