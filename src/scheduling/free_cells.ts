/**
 * A buddy allocator that keeps the free cells in one ordered list per size.
 * Each operation visits at most a few cells per size, so its cost does not
 * grow with the number of racks. Visits are counted for benchmarks.
 */

import type {CellSize} from '../model/shapes.js';
import type {Cell} from './cells.js';
import {
  CELL_LEVELS,
  RACK_LEVEL,
  enclosingCell,
  cellContains,
  halvesOf,
  levelOf,
  sameCell,
  sizeOfLevel,
} from './cells.js';
import {IndexSet} from './index_set.js';

/** Counts the cells that planning decisions visit. */
export class VisitCounter {
  visited = 0;
}

export class FreeCells {
  private readonly lists = Array.from(
    {length: CELL_LEVELS},
    () => new IndexSet(),
  );

  constructor(private readonly visits: VisitCounter) {}

  /** Number of free cells by level; free cells do not overlap. */
  counts(): readonly number[] {
    return this.lists.map((list) => list.size);
  }

  /** The free cell that contains `cell`; undefined if part of it is in use. */
  enclosingFreeCell(cell: Cell): Cell | undefined {
    for (let level = levelOf(cell.size); level < CELL_LEVELS; level += 1) {
      this.visits.visited += 1;
      const around = enclosingCell(cell.position, sizeOfLevel(level));
      if (this.listOf(level).has(around.position / around.size)) return around;
    }
    return undefined;
  }

  /** Free cells of exactly this size, in order of position. */
  *ofSize(size: CellSize): Generator<Cell> {
    const list = this.listOf(levelOf(size));
    let next = list.firstFrom(0);
    while (next !== undefined) {
      this.visits.visited += 1;
      yield {position: next * size, size};
      next = list.firstFrom(next + 1);
    }
  }

  /** The smallest size, at least `size`, that has a free cell. */
  bestFitSize(size: CellSize): CellSize | undefined {
    for (let level = levelOf(size); level < CELL_LEVELS; level += 1) {
      this.visits.visited += 1;
      if (this.listOf(level).size > 0) return sizeOfLevel(level);
    }
    return undefined;
  }

  /** The largest size that has a free cell. */
  largestSize(): CellSize | undefined {
    for (let level = CELL_LEVELS - 1; level >= 0; level -= 1) {
      if (this.listOf(level).size > 0) return sizeOfLevel(level);
    }
    return undefined;
  }

  /**
   * Allocates a free cell, splitting the larger free cell that contains it.
   * Throws if a part of the cell is in use.
   */
  allocate(cell: Cell): void {
    let around = this.enclosingFreeCell(cell);
    if (around === undefined) {
      throw new Error(`cell ${cell.position}/${cell.size} is not free`);
    }
    this.remove(around);
    while (!sameCell(around, cell)) {
      const [left, right]: readonly [Cell, Cell] = halvesOf(around);
      const isInLeft = cellContains(left, cell);
      this.insert(isInLeft ? right : left);
      around = isInLeft ? left : right;
    }
  }

  /** Allocates all free parts of `cell` and returns them. */
  allocateFreeParts(cell: Cell): readonly Cell[] {
    if (this.enclosingFreeCell(cell) !== undefined) {
      this.allocate(cell);
      return [cell];
    }
    if (cell.size === 1) return [];
    const [left, right] = halvesOf(cell);
    return [...this.allocateFreeParts(left), ...this.allocateFreeParts(right)];
  }

  /**
   * Frees a cell and merges it with its free buddies up to size `limit`.
   * Throws if the cell is free already.
   */
  release(cell: Cell, limit: CellSize = sizeOfLevel(RACK_LEVEL)): void {
    if (this.enclosingFreeCell(cell) !== undefined) {
      throw new Error(`cell ${cell.position}/${cell.size} is free already`);
    }
    let merged = cell;
    while (merged.size < limit) {
      const parent = enclosingCell(
        merged.position,
        sizeOfLevel(levelOf(merged.size) + 1),
      );
      const [left, right] = halvesOf(parent);
      const buddy = sameCell(left, merged) ? right : left;
      const list = this.listOf(levelOf(buddy.size));
      if (!list.has(buddy.position / buddy.size)) break;
      this.remove(buddy);
      merged = parent;
    }
    this.insert(merged);
  }

  private insert(cell: Cell): void {
    this.visits.visited += 1;
    this.listOf(levelOf(cell.size)).add(cell.position / cell.size);
  }

  private remove(cell: Cell): void {
    this.visits.visited += 1;
    this.listOf(levelOf(cell.size)).delete(cell.position / cell.size);
  }

  private listOf(level: number): IndexSet {
    const list = this.lists[level];
    if (list === undefined) throw new RangeError(`unknown cell level ${level}`);
    return list;
  }
}
