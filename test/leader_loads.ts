/** Loads of the planner's tests, after the heaviest days of large sites. */

/** Jobs of one queue. Ratios and shares are between 0 and 1. */
export interface QueueLoad {
  readonly name: string;
  readonly priority: number;
  readonly jobsPerSecond: number;
  readonly meanTasks: number;
  readonly maximumTasks: number;
  readonly acceleratorChoices: readonly number[];
  readonly processorMillicores: number;
  readonly memoryMegabytes: number;
  readonly meanWorkMs: number;
  readonly maximumWorkMs: number;
  readonly isGang: boolean;
  /** Share of the units whose first run breaks off halfway. */
  readonly breakingShare: number;
  /** Share of the jobs whose tasks have to run in one rack. */
  readonly sameRackShare: number;
  readonly checkpointingShare: number;
  /** Standard deviation of the logarithm of estimate / actual duration. */
  readonly estimateSpread: number;
  readonly objectiveFactor: number;
  readonly targetLatencyMs: number;
}

/** More jobs of one queue for some time. */
export interface Burst {
  readonly queue: string;
  readonly factor: number;
  readonly fromMs: number;
  readonly toMs: number;
}

/** Some workers are away for a time, and their runs are lost. */
export interface Absence {
  readonly share: number;
  readonly fromMs: number;
  readonly toMs: number;
}

export interface Load {
  readonly racks: number;
  readonly workersPerRack: number;
  readonly processorMillicores: number;
  readonly memoryMegabytes: number;
  readonly acceleratorsPerWorker: number;
  readonly customers: number;
  /** Share of the accelerators that is guaranteed to customers in total. */
  readonly guaranteedShare: number;
  readonly lengthMs: number;
  /** Time after the load in which open jobs may still end. */
  readonly finishMs: number;
  readonly queues: readonly QueueLoad[];
  readonly bursts: readonly Burst[];
  readonly absences: readonly Absence[];
  /** Run time of a worker as a multiple of the usual one; absent: all alike. */
  readonly speedFactors?: readonly number[];
}

/** Long gangs that may wait; they need many accelerators at once. */
const BAKE: QueueLoad = {
  name: 'bake',
  priority: 1,
  jobsPerSecond: 3.5,
  meanTasks: 13,
  maximumTasks: 76,
  acceleratorChoices: [1, 2, 4, 8, 8],
  processorMillicores: 13_000,
  memoryMegabytes: 38_000,
  meanWorkMs: 6_800,
  maximumWorkMs: 11_000,
  breakingShare: 0.15,
  isGang: true,
  sameRackShare: 0.6,
  checkpointingShare: 0.45,
  estimateSpread: 0.9,
  objectiveFactor: 3,
  targetLatencyMs: 1_000,
};

/** Short gangs whose callers watch the result. */
const CHECK: QueueLoad = {
  name: 'check',
  priority: 0,
  jobsPerSecond: 8.9,
  meanTasks: 5.3,
  maximumTasks: 32,
  acceleratorChoices: [1, 2, 4, 8, 8],
  processorMillicores: 3_700,
  memoryMegabytes: 20_000,
  meanWorkMs: 2_500,
  maximumWorkMs: 8_000,
  breakingShare: 0.05,
  isGang: true,
  sameRackShare: 0.8,
  checkpointingShare: 0,
  estimateSpread: 0.2,
  objectiveFactor: 1.5,
  targetLatencyMs: 300,
};

/** Many single tasks without a hurry. */
const SCAN: QueueLoad = {
  name: 'scan',
  priority: 2,
  jobsPerSecond: 5,
  meanTasks: 38,
  maximumTasks: 230,
  acceleratorChoices: [1],
  processorMillicores: 2_800,
  memoryMegabytes: 15_000,
  meanWorkMs: 6_100,
  maximumWorkMs: 11_000,
  breakingShare: 0.02,
  isGang: false,
  sameRackShare: 0,
  checkpointingShare: 0.45,
  estimateSpread: 0.5,
  objectiveFactor: 3,
  targetLatencyMs: 3_000,
};

/**
 * The heaviest day of a site with 380 workers: a burst of quick checks and one
 * of scans, and workers that are taken away, on top of a load that leaves little
 * room for wide gangs. `share` scales the site and its load, not the width of
 * the jobs.
 */
export function overloadedSite(share: number): Load {
  return {
    racks: Math.round(19 * share),
    workersPerRack: 20,
    processorMillicores: 32_000,
    memoryMegabytes: 131_072,
    acceleratorsPerWorker: 8,
    customers: Math.round(24 * share),
    guaranteedShare: 0.62,
    lengthMs: 41_000,
    finishMs: 14_000,
    queues: [BAKE, CHECK, SCAN].map((queue) => ({
      ...queue,
      jobsPerSecond: queue.jobsPerSecond * share,
    })),
    bursts: [
      {queue: 'bake', factor: 8, fromMs: 0, toMs: 1_000},
      {queue: 'scan', factor: 6, fromMs: 0, toMs: 1_000},
      {queue: 'check', factor: 2, fromMs: 1_500, toMs: 7_500},
      {queue: 'scan', factor: 2.9, fromMs: 3_000, toMs: 6_600},
    ],
    absences: [
      {share: 0.12, fromMs: 6_700, toMs: 11_700},
      {share: 0.1, fromMs: 8_800, toMs: 14_800},
      {share: 0.09, fromMs: 10_200, toMs: 15_200},
      {share: 0.1, fromMs: 25_600, toMs: 31_600},
    ],
  };
}

/**
 * A site with room for all its work, on which one worker of three is fast and
 * one is slow, so that most gangs meet a slow one by chance.
 */
export function unevenSite(): Load {
  return {
    ...overloadedSite(0.5),
    queues: [
      {...BAKE, jobsPerSecond: 1},
      {...CHECK, jobsPerSecond: 5},
      {...SCAN, jobsPerSecond: 1.5},
    ],
    bursts: [],
    absences: [],
    speedFactors: [0.6, 1, 1.6],
  };
}
