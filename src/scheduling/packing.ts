/**
 * Checks whether guaranteed cells fit into free capacity. Cells are aligned
 * powers of two, so a set of cells packs into the free cells if and only if,
 * for every size, the requested cells of at least that size have no more
 * accelerators in total than the free cells of at least that size.
 */

import type {Customer} from '../model/configuration.js';
import type {AvailabilityZone} from '../model/ids.js';
import type {CellSize} from '../model/shapes.js';
import {CELL_LEVELS, levelOf, partsWhere, sizeOfLevel} from './cells.js';
import {FreeCells, VisitCounter} from './free_cells.js';
import {Racks} from './racks.js';
import type {PlannedWorker} from './zone_planner.js';

/** Numbers of cells by level. */
export type CellCounts = readonly number[];

export interface Shortfall {
  /** Largest cell size for which capacity is missing. */
  readonly cellSize: CellSize;
  /** Accelerators that are missing in cells of at least this size. */
  readonly missingAccelerators: number;
}

/** Returns the first shortfall, or undefined if the requested cells pack. */
export function shortfallOf(
  requested: CellCounts,
  free: CellCounts,
): Shortfall | undefined {
  let missing = 0;
  for (let level = CELL_LEVELS - 1; level >= 0; level -= 1) {
    const cellSize = sizeOfLevel(level);
    missing += ((requested[level] ?? 0) - (free[level] ?? 0)) * cellSize;
    if (missing > 0) return {cellSize, missingAccelerators: missing};
  }
  return undefined;
}

export function packs(requested: CellCounts, free: CellCounts): boolean {
  return shortfallOf(requested, free) === undefined;
}

/** Free cells after a cell of level `allocated` is split off one of `from`. */
export function countsAfterAllocation(
  free: CellCounts,
  from: number,
  allocated: number,
): CellCounts {
  return free.map((count, level) => {
    if (level === from) return count - 1;
    return level >= allocated && level < from ? count + 1 : count;
  });
}

/** Guaranteed cells of one customer in one zone, by level. */
export function guaranteedCounts(
  customer: Customer,
  availabilityZone: AvailabilityZone,
): CellCounts {
  const counts = new Array<number>(CELL_LEVELS).fill(0);
  for (const guarantee of customer.guarantees) {
    if (guarantee.availabilityZone !== availabilityZone) continue;
    const level = levelOf(guarantee.cellSize);
    counts[level] = (counts[level] ?? 0) + guarantee.cells;
  }
  return counts;
}

/**
 * Checks that the guaranteed cells of all customers in a zone pack into the
 * accelerators of the zone's workers that accept tasks. Returns undefined if
 * they do. `workers` are the workers of that zone only.
 */
export function guaranteeShortfall(
  customers: readonly Customer[],
  workers: readonly PlannedWorker[],
  availabilityZone: AvailabilityZone,
): Shortfall | undefined {
  const racks = new Racks();
  const free = new FreeCells(new VisitCounter());
  const workerCells = workers.map((worker) => racks.set(worker));
  for (const workerCell of workerCells) {
    for (const part of partsWhere(workerCell, (at) => racks.isUsable(at))) {
      if (free.enclosingFreeCell(part) === undefined) free.release(part);
    }
  }
  const requested = new Array<number>(CELL_LEVELS).fill(0);
  for (const customer of customers) {
    for (const [level, count] of guaranteedCounts(
      customer,
      availabilityZone,
    ).entries()) {
      requested[level] = (requested[level] ?? 0) + count;
    }
  }
  return shortfallOf(requested, free.counts());
}
