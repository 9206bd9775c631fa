/**
 * A buddy allocator: the free cells of one view, in one ordered list per
 * size. Each operation visits at most a few cells per size, so its cost does
 * not grow with the number of racks. Visits are counted for benchmarks.
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

/** Counts the cells that decisions look at. */
export class VisitCounter {
  visited = 0;
}

export class FreeCells {
  private readonly lists = Array.from(
    {length: CELL_LEVELS},
    () => new IndexSet(),
  );

  constructor(private readonly visits: VisitCounter) {}

  /** Number of free cells per level; none contains another. */
  counts(): readonly number[] {
    return this.lists.map((list) => list.size);
  }

  /** Returns the free cell that contains `cell`, if all of it is free. */
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

  /** The smallest size of at least `size` of which a cell is free. */
  bestFitSize(size: CellSize): CellSize | undefined {
    for (let level = levelOf(size); level < CELL_LEVELS; level += 1) {
      this.visits.visited += 1;
      if (this.listOf(level).size > 0) return sizeOfLevel(level);
    }
    return undefined;
  }

  /** The largest size of which a cell is free. */
  largestSize(): CellSize | undefined {
    for (let level = CELL_LEVELS - 1; level >= 0; level -= 1) {
      if (this.listOf(level).size > 0) return sizeOfLevel(level);
    }
    return undefined;
  }

  /** Takes a cell that is free, alone or as part of a larger free cell. */
  allocate(cell: Cell): void {
    let around = this.enclosingFreeCell(cell);
    if (around === undefined) {
      throw new Error(`cell ${cell.position}/${cell.size} is not free`);
    }
    this.remove(around);
    while (!sameCell(around, cell)) {
      const [left, right]: readonly [Cell, Cell] = halvesOf(around);
      const leftHolds = cellContains(left, cell);
      this.insert(leftHolds ? right : left);
      around = leftHolds ? left : right;
    }
  }

  /** Takes whatever is free within `cell` and returns it. */
  allocateFreeParts(cell: Cell): readonly Cell[] {
    if (this.enclosingFreeCell(cell) !== undefined) {
      this.allocate(cell);
      return [cell];
    }
    if (cell.size === 1) return [];
    const [left, right] = halvesOf(cell);
    return [...this.allocateFreeParts(left), ...this.allocateFreeParts(right)];
  }

  /** Frees a cell and joins it with its free neighbours up to `limit`. */
  release(cell: Cell, limit: CellSize = sizeOfLevel(RACK_LEVEL)): void {
    if (this.enclosingFreeCell(cell) !== undefined) {
      throw new Error(`cell ${cell.position}/${cell.size} is free already`);
    }
    let joined = cell;
    while (joined.size < limit) {
      const parent = enclosingCell(
        joined.position,
        sizeOfLevel(levelOf(joined.size) + 1),
      );
      const [left, right] = halvesOf(parent);
      const buddy = sameCell(left, joined) ? right : left;
      const list = this.listOf(levelOf(buddy.size));
      if (!list.has(buddy.position / buddy.size)) break;
      this.remove(buddy);
      joined = parent;
    }
    this.insert(joined);
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
    if (list === undefined) throw new RangeError(`no list at level ${level}`);
    return list;
  }
}
