/**
 * Scenario of the emulator: a site, the load of its queues, and faults at set
 * times. Scenarios are JSON files (`emulator/days`). Fields that end in `S` are
 * in seconds and fields that end in `Ms` in milliseconds. The schema reports an
 * invalid field with its path.
 */

import {z} from 'zod';

const faultSchema = z.discriminatedUnion('kind', [
  /** Store calls fail, for all daemons or for the leader only. */
  z.object({
    kind: z.literal('storeDown'),
    atS: z.number(),
    forS: z.number(),
    how: z.enum(['silent', 'refused']),
    leaderOnly: z.boolean().default(false),
  }),
  /** A share of writes gets no answer and is carried out `lateMs` later. */
  z.object({
    kind: z.literal('lostWrites'),
    atS: z.number(),
    forS: z.number(),
    share: z.number(),
    lateMs: z.number(),
  }),
  /** A share of orders gets no answer and is carried out `lateMs` later. */
  z.object({
    kind: z.literal('lateOrders'),
    atS: z.number(),
    forS: z.number(),
    share: z.number(),
    lateMs: z.number(),
  }),
  /** The leader is killed and a new daemon replaces it. */
  z.object({kind: z.literal('killLeader'), atS: z.number()}),
  /** The store discards past events, so that watches must list again. */
  z.object({kind: z.literal('dropHistory'), atS: z.number()}),
  /** Some workers are unreachable for every daemon. */
  z.object({
    kind: z.literal('cutWorkers'),
    atS: z.number(),
    forS: z.number(),
    count: z.number(),
  }),
  /** Some workers crash and restart under their ids. */
  z.object({
    kind: z.literal('restartWorkers'),
    atS: z.number(),
    count: z.number(),
  }),
  /** Some workers make no progress on their runs. */
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
  /** A job that takes longer than this multiple of `workMs` counts as late. */
  objectiveFactor: z.number(),
});
export type ScenarioLoad = z.infer<typeof loadSchema>;

export const scenarioSchema = z.object({
  lengthS: z.number().positive(),
  /** Time after the load in which open jobs may still end. */
  finishS: z.number().positive(),
  daemons: z.number().int().min(1),
  racks: z.number().int().min(1),
  workersPerRack: z.number().int().min(1),
  acceleratorsPerWorker: z.number().int().min(1),
  holdMaximumMs: z.number().positive(),
  /** Guarantee of the scenario's only customer, in accelerators. */
  guaranteedAccelerators: z.number().min(0),
  load: z.array(loadSchema).min(1),
  faults: z.array(faultSchema),
});
export type Scenario = z.infer<typeof scenarioSchema>;
