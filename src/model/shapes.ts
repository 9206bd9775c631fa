/**
 * Shapes of accelerator capacity. A cell is an aligned block of accelerators
 * within one rack whose size is a power of two; a gang shape is a number of
 * equal tasks that need adjacent accelerators.
 */

import {z} from 'zod';

export const ACCELERATORS_PER_WORKER = 8;
export const WORKERS_PER_RACK = 8;
export const ACCELERATORS_PER_RACK = 64;

/** Sizes in accelerators, from one accelerator to a whole rack. */
export const CELL_SIZES = [1, 2, 4, 8, 16, 32, 64] as const;

export const cellSizeSchema = z.union([
  z.literal(1),
  z.literal(2),
  z.literal(4),
  z.literal(8),
  z.literal(16),
  z.literal(32),
  z.literal(64),
]);
export type CellSize = z.infer<typeof cellSizeSchema>;

export const gangShapeSchema = z.object({
  tasks: z.int().min(1).max(ACCELERATORS_PER_RACK),
  acceleratorsPerTask: z.int().min(1).max(ACCELERATORS_PER_WORKER),
});
/** A gang of equal tasks; every task runs on one worker. */
export type GangShape = z.infer<typeof gangShapeSchema>;

/**
 * Returns the smallest cell that holds the gang, or undefined if no rack can.
 * Each task takes the next power of two of its accelerators, so that no task
 * spans two workers.
 */
export function cellSizeFor(shape: GangShape): CellSize | undefined {
  const needed = shape.tasks * nextPowerOfTwo(shape.acceleratorsPerTask);
  return CELL_SIZES.find((size) => size >= needed);
}

/** Returns the smallest power of two that is at least `value`. */
export function nextPowerOfTwo(value: number): number {
  let power = 1;
  while (power < value) power *= 2;
  return power;
}
