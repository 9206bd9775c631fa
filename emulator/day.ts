/**
 * A day for the emulator: a site, the load of its queues, and faults at set
 * times. Days are JSON files; a wrong field is named with its path.
 */

import {z} from 'zod';

const faultSchema = z.discriminatedUnion('kind', [
  /** The store fails for all daemons, or for the leader only. */
  z.object({
    kind: z.literal('storeDown'),
    atS: z.number(),
    forS: z.number(),
    how: z.enum(['silent', 'refused']),
    leaderOnly: z.boolean().default(false),
  }),
  /** Answers to writes are lost, and the writes are done later. */
  z.object({
    kind: z.literal('lostWrites'),
    atS: z.number(),
    forS: z.number(),
    share: z.number(),
    lateMs: z.number(),
  }),
  /** Orders get no answer and are carried out later. */
  z.object({
    kind: z.literal('lateOrders'),
    atS: z.number(),
    forS: z.number(),
    share: z.number(),
    lateMs: z.number(),
  }),
  /** The leader is killed; a new daemon starts in its place. */
  z.object({kind: z.literal('killLeader'), atS: z.number()}),
  z.object({kind: z.literal('dropHistory'), atS: z.number()}),
  /** Some workers cannot be reached by any daemon. */
  z.object({
    kind: z.literal('cutWorkers'),
    atS: z.number(),
    forS: z.number(),
    count: z.number(),
  }),
  /** Some workers crash and start again under their ids. */
  z.object({
    kind: z.literal('restartWorkers'),
    atS: z.number(),
    count: z.number(),
  }),
  /** Some workers run everything without progress. */
  z.object({
    kind: z.literal('hangWorkers'),
    atS: z.number(),
    forS: z.number(),
    count: z.number(),
  }),
]);
export type ScenarioFault = z.infer<typeof faultSchema>;

const loadSchema = z.object({
  queue: z.string(),
  priority: z.number(),
  jobsPerSecond: z.number(),
  tasks: z.number().int().min(1),
  gang: z.boolean().default(false),
  checkpointing: z.boolean().default(false),
  accelerators: z.number(),
  workMs: z.number(),
  /** Multiple of the work after which an ended job counts as late. */
  objectiveFactor: z.number(),
});
export type ScenarioLoad = z.infer<typeof loadSchema>;

export const scenarioSchema = z.object({
  lengthS: z.number().positive(),
  /** Time after the load in which jobs may still end. */
  finishS: z.number().positive(),
  daemons: z.number().int().min(1),
  racks: z.number().int().min(1),
  workersPerRack: z.number().int().min(1),
  acceleratorsPerWorker: z.number().int().min(1),
  holdMaximumMs: z.number().positive(),
  /** Accelerators that the one customer of the day is guaranteed. */
  guaranteedAccelerators: z.number().min(0),
  load: z.array(loadSchema).min(1),
  faults: z.array(faultSchema),
});
export type Scenario = z.infer<typeof scenarioSchema>;
