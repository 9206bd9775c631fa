/**
 * Cells of a zone. Accelerators are numbered consecutively across all racks,
 * 64 per rack and 8 per worker. A cell is an aligned range of these numbers
 * whose size is a power of two; it never crosses a rack boundary.
 */

import type {CellSize, GangShape} from '../model/shapes.js';
import {CELL_SIZES, nextPowerOfTwo} from '../model/shapes.js';

export interface Cell {
  /** Number of the first accelerator; a multiple of `size`. */
  readonly position: number;
  readonly size: CellSize;
}

/** A level is the base-2 logarithm of a cell size: 0 for 1, 6 for 64. */
export const CELL_LEVELS: number = CELL_SIZES.length;
export const RACK_LEVEL = CELL_LEVELS - 1;

export function levelOf(size: CellSize): number {
  return 31 - Math.clz32(size);
}

export function sizeOfLevel(level: number): CellSize {
  const size = CELL_SIZES[level];
  if (size === undefined) throw new RangeError(`unknown cell level ${level}`);
  return size;
}

/** The cell of the given size that contains `position`. */
export function enclosingCell(position: number, size: CellSize): Cell {
  return {position: position - (position % size), size};
}

export function cellEnd(cell: Cell): number {
  return cell.position + cell.size;
}

export function cellContains(outer: Cell, inner: Cell): boolean {
  return outer.position <= inner.position && cellEnd(inner) <= cellEnd(outer);
}

export function cellsOverlap(one: Cell, other: Cell): boolean {
  return one.position < cellEnd(other) && other.position < cellEnd(one);
}

export function sameCell(one: Cell, other: Cell): boolean {
  return one.position === other.position && one.size === other.size;
}

/** Unique key of a cell within a zone. */
export function cellKey(cell: Cell): number {
  return cell.position * CELL_LEVELS + levelOf(cell.size);
}

/** Splits a cell of at least two accelerators into its two halves. */
export function halvesOf(cell: Cell): readonly [Cell, Cell] {
  const size = sizeOfLevel(levelOf(cell.size) - 1);
  return [
    {position: cell.position, size},
    {position: cell.position + size, size},
  ];
}

/** Splits the range [start, end) into the smallest number of cells. */
export function cellsOfRange(start: number, end: number): readonly Cell[] {
  const cells: Cell[] = [];
  let position = start;
  while (position < end) {
    let level = RACK_LEVEL;
    while (
      position % sizeOfLevel(level) !== 0 ||
      position + sizeOfLevel(level) > end
    ) {
      level -= 1;
    }
    cells.push({position, size: sizeOfLevel(level)});
    position += sizeOfLevel(level);
  }
  return cells;
}

/** The largest subcells of `cell` whose accelerators all meet `condition`. */
export function partsWhere(
  cell: Cell,
  condition: (position: number) => boolean,
): readonly Cell[] {
  const parts: Cell[] = [];
  let start = cell.position;
  for (let position = start; position <= cellEnd(cell); position += 1) {
    if (position < cellEnd(cell) && condition(position)) continue;
    parts.push(...cellsOfRange(start, position));
    start = position + 1;
  }
  return parts;
}

/** Accelerators that a gang occupies, counted from the start of its cell. */
export function acceleratorsTaken(shape: GangShape): number {
  return shape.tasks * nextPowerOfTwo(shape.acceleratorsPerTask);
}
