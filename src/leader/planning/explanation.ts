/**
 * The explanation of where a job would go now, for operators: what a scheduling
 * round decides about it, and by which rules. Lists are cut off, so that the
 * size of an explanation has a bound.
 */

import {z} from 'zod';

/** Groups of alike units that are explained one by one. */
export const MAXIMUM_GROUPS = 8;

/** Units of a group whose workers or stops are listed. */
export const MAXIMUM_UNITS = 10;

/** Workers of a unit, and runs to be stopped, that are listed. */
export const MAXIMUM_ENTRIES = 20;

const unitWorkerSchema = z.object({
  workerId: z.string(),
  zone: z.string(),
  rackId: z.string().optional(),
  /** Tasks of the unit there. */
  tasks: z.number(),
});
export type UnitWorker = z.infer<typeof unitWorkerSchema>;

const stoppedRunSchema = z.object({
  task: z.string(),
  workerId: z.string(),
  jobId: z.string(),
  queueId: z.string(),
  customerId: z.string().optional(),
});
export type StoppedRun = z.infer<typeof stoppedRunSchema>;

const unitPlacementSchema = z.object({
  /** `occurrence.step.firstIndex`. */
  unit: z.string(),
  workerCount: z.number(),
  /** The first `MAXIMUM_ENTRIES` workers. */
  workers: z.array(unitWorkerSchema),
});
export type UnitPlacement = z.infer<typeof unitPlacementSchema>;

const unitStopsSchema = unitPlacementSchema.extend({
  /** Work lost by the stops as the site values it, in core-seconds. */
  cost: z.number(),
  /** Runs to be stopped; others may be stopping already. */
  runCount: z.number(),
  runs: z.array(stoppedRunSchema),
});
export type UnitStops = z.infer<typeof unitStopsSchema>;

/**
 * - `noWorker`: the queue's service has no worker;
 * - `tickets`: the advisor has to admit workers first;
 * - `vacantWorker`: the unit may crash workers and waits for vacant ones;
 * - `equalWork`: work before it that needs no more found no room;
 * - `reservation`: capacity is reserved for the first unit;
 * - `rack`: there is room, but not in one of the racks that it may use;
 * - `room`: there is not enough room.
 */
export const waitCauseSchema = z.enum([
  'noWorker',
  'tickets',
  'vacantWorker',
  'equalWork',
  'reservation',
  'rack',
  'room',
]);
export type WaitCause = z.infer<typeof waitCauseSchema>;

const workerReviewSchema = z.object({
  /** All workers of the queue's service. */
  considered: z.number(),
  /** Each worker counts for the first rule that ruled it out. */
  ruledOut: z.array(z.object({rule: z.string(), workers: z.number()})),
  /** The workers that are left, when the group's turn came. */
  withRoom: z.object({
    workers: z.number(),
    /** Tasks that fit there, no more than the group has. */
    tasks: z.number(),
    /** Most tasks that fit in one of the sets of workers to be used together. */
    tasksTogether: z.number(),
  }),
});
export type WorkerReview = z.infer<typeof workerReviewSchema>;

/** Units that a round places together: a gang, or alike single tasks. */
const groupExplanationSchema = z.object({
  step: z.number(),
  firstUnit: z.string(),
  units: z.number(),
  /** Tasks of each unit. */
  tasks: z.number(),
  timeliness: z.string(),
  place: z.object({
    jobsAhead: z.number(),
    unitsAhead: z.number(),
    /** All units that are ready, of all jobs. */
    unitsReady: z.number(),
  }),
  workers: workerReviewSchema,
  /** Units that would be placed. */
  placedUnits: z.number(),
  placed: z.array(unitPlacementSchema),
  /** Units that would be placed once the runs have been stopped. */
  unitsAfterStops: z.number(),
  afterStops: z.array(unitStopsSchema),
  waiting: z
    .object({
      units: z.number(),
      cause: waitCauseSchema,
      /** Only with `reservation`: its expected start. */
      startsInMs: z.number().optional(),
    })
    .optional(),
});
export type GroupExplanation = z.infer<typeof groupExplanationSchema>;

export const explanationSchema = z.object({
  /** Absent for a submission. */
  jobId: z.string().optional(),
  /** Absent if the configuration has no such queue. */
  queue: z
    .object({
      queueId: z.string(),
      host: z.string(),
      pathPrefix: z.string(),
      serviceId: z.string(),
      priority: z.number(),
    })
    .optional(),
  customer: z
    .object({
      customerId: z.string(),
      guaranteedAccelerators: z.number(),
      /** Accelerators in use by its jobs within the guarantee. */
      heldAccelerators: z.number(),
      /** Need of its urgent jobs up to this one; absent if it is not urgent. */
      claimedAccelerators: z.number().optional(),
    })
    .optional(),
  rank: z.enum(['guaranteed', 'urgent', 'other']),
  units: z.object({
    done: z.number(),
    placed: z.number(),
    ready: z.number(),
    notReady: z.number(),
  }),
  notReady: z.array(
    z.object({
      obstacle: z.string(),
      units: z.number(),
      firstUnit: z.string(),
      /** Time until the first of them is due again, if a time decides. */
      inMs: z.number().optional(),
    }),
  ),
  /** The first `MAXIMUM_GROUPS` in the order in which they are placed. */
  groups: z.array(groupExplanationSchema),
  omittedGroups: z.number(),
  /** Runs of this job that would be stopped. */
  ownStops: z.object({
    count: z.number(),
    runs: z.array(
      z.object({
        task: z.string(),
        workerId: z.string(),
        /** Absent if its worker leaves. */
        forJobId: z.string().optional(),
      }),
    ),
  }),
});
export type Explanation = z.infer<typeof explanationSchema>;
