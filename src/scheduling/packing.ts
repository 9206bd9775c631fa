/**
 * Whether guaranteed cells fit. Cells are aligned powers of two, so a set of
 * cells packs into free cells exactly if, for every size, the accelerators of
 * all wanted cells of at least that size are no more than those of all free
 * cells of at least that size.
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
  /** Largest size at which the cells do not fit. */
  readonly cellSize: CellSize;
  /** Accelerators that are missing in cells of at least this size. */
  readonly missingAccelerators: number;
}

/** Returns where the wanted cells do not pack, or undefined if they do. */
export function shortfallOf(
  wanted: CellCounts,
  free: CellCounts,
): Shortfall | undefined {
  let missing = 0;
  for (let level = CELL_LEVELS - 1; level >= 0; level -= 1) {
    const cellSize = sizeOfLevel(level);
    missing += ((wanted[level] ?? 0) - (free[level] ?? 0)) * cellSize;
    if (missing > 0) return {cellSize, missingAccelerators: missing};
  }
  return undefined;
}

export function packs(wanted: CellCounts, free: CellCounts): boolean {
  return shortfallOf(wanted, free) === undefined;
}

/** Free cells after one of level `from` was split to take one of `taken`. */
export function countsAfterAllocation(
  free: CellCounts,
  from: number,
  taken: number,
): CellCounts {
  return free.map((count, level) => {
    if (level === from) return count - 1;
    return level >= taken && level < from ? count + 1 : count;
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
 * accelerators of its workers that accept tasks. Returns undefined if they
 * do. `workers` are the workers of that zone.
 */
export function guaranteeShortfall(
  customers: readonly Customer[],
  workers: readonly PlannedWorker[],
  availabilityZone: AvailabilityZone,
): Shortfall | undefined {
  const racks = new Racks();
  const free = new FreeCells(new VisitCounter());
  const places = workers.map((worker) => racks.set(worker));
  for (const place of places) {
    for (const part of partsWhere(place, (at) => racks.isUsable(at))) {
      if (free.enclosingFreeCell(part) === undefined) free.release(part);
    }
  }
  const wanted = new Array<number>(CELL_LEVELS).fill(0);
  for (const customer of customers) {
    for (const [level, count] of guaranteedCounts(
      customer,
      availabilityZone,
    ).entries()) {
      wanted[level] = (wanted[level] ?? 0) + count;
    }
  }
  return shortfallOf(wanted, free.counts());
}
