/**
 * Cells of a zone. The accelerators of all racks are numbered in one row, 64
 * to a rack and 8 to a worker; a cell is an aligned block of that row whose
 * size is a power of two and that stays within one rack.
 */

import type {CellSize, GangShape} from '../model/shapes.js';
import {CELL_SIZES, nextPowerOfTwo} from '../model/shapes.js';

export interface Cell {
  /** Number of the first accelerator; a multiple of `size`. */
  readonly position: number;
  readonly size: CellSize;
}

/** Levels are logarithms of cell sizes: 0 for one accelerator, 6 for 64. */
export const CELL_LEVELS: number = CELL_SIZES.length;
export const RACK_LEVEL = CELL_LEVELS - 1;

export function levelOf(size: CellSize): number {
  return 31 - Math.clz32(size);
}

export function sizeOfLevel(level: number): CellSize {
  const size = CELL_SIZES[level];
  if (size === undefined) throw new RangeError(`no cell has level ${level}`);
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

/** A number that is different for each cell of a zone. */
export function cellKey(cell: Cell): number {
  return cell.position * CELL_LEVELS + levelOf(cell.size);
}

/** The two halves of a cell of at least two accelerators. */
export function halvesOf(cell: Cell): readonly [Cell, Cell] {
  const size = sizeOfLevel(levelOf(cell.size) - 1);
  return [
    {position: cell.position, size},
    {position: cell.position + size, size},
  ];
}

/** Splits the row from `start` up to `end` into the fewest cells. */
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

/** The parts of a cell whose accelerators all meet the condition. */
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

/** Accelerators that a gang takes of its cell, counted from the start. */
export function acceleratorsTaken(shape: GangShape): number {
  return shape.tasks * nextPowerOfTwo(shape.acceleratorsPerTask);
}
