/**
 * Shapes of accelerator capacity. A cell is an aligned block of accelerators
 * within one rack whose size is a power of two. A gang shape is a number of
 * identical tasks that need adjacent accelerators.
 */

import {z} from 'zod';

export const ACCELERATORS_PER_WORKER = 8;
export const WORKERS_PER_RACK = 8;
export const ACCELERATORS_PER_RACK = 64;

/** Cell sizes in accelerators, from one accelerator to a whole rack. */
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
/** Shape of a gang of identical tasks; each task runs on a single worker. */
export type GangShape = z.infer<typeof gangShapeSchema>;

/**
 * Returns the smallest cell size that fits the gang, or undefined if the gang
 * does not fit into a rack. The accelerators of each task are rounded up to a
 * power of two, so that no task spans two workers.
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
