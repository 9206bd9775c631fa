/** Loads of the planner's tests, after the heaviest days of large sites. */

import type {Load, QueueLoad} from './leader_load.js';

/** Long gangs that may wait; they need many accelerators at once. */
const BAKE: QueueLoad = {
  name: 'bake',
  priority: 1,
  jobsPerSecond: 3.3,
  meanTasks: 13,
  maximumTasks: 76,
  acceleratorChoices: [1, 2, 4, 8, 8],
  processorMillicores: 13_000,
  memoryMegabytes: 38_000,
  meanWorkMs: 6_800,
  maximumWorkMs: 11_000,
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
  jobsPerSecond: 8.5,
  meanTasks: 5.3,
  maximumTasks: 32,
  acceleratorChoices: [1, 2, 4, 8, 8],
  processorMillicores: 3_700,
  memoryMegabytes: 20_000,
  meanWorkMs: 2_500,
  maximumWorkMs: 8_000,
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
  jobsPerSecond: 3.2,
  meanTasks: 38,
  maximumTasks: 230,
  acceleratorChoices: [1],
  processorMillicores: 2_800,
  memoryMegabytes: 15_000,
  meanWorkMs: 6_100,
  maximumWorkMs: 11_000,
  isGang: false,
  sameRackShare: 0,
  checkpointingShare: 0.45,
  estimateSpread: 0.5,
  objectiveFactor: 3,
  targetLatencyMs: 3_000,
};

/**
 * The heaviest day of a site with 380 workers, of which 60 are away: a burst of
 * quick checks and one of scans, on top of a load that leaves little room for
 * wide gangs. `share` scales the site and its load, not the width of the jobs.
 */
export function overloadedSite(share: number): Load {
  return {
    racks: Math.round(16 * share),
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
      {queue: 'check', factor: 2, fromMs: 1_500, toMs: 7_500},
      {queue: 'scan', factor: 2.9, fromMs: 3_000, toMs: 6_600},
    ],
  };
}
