/**
 * Timings of the zone controller, and the events that it reports.
 */

import type {GangId, JobId, VmId} from '../model/ids.js';
import type {JobState} from '../model/jobs.js';
import type {GangEnd} from '../scheduling/zone_planner.js';

export interface ZoneControllerOptions {
  /**
   * Calls to workers at once; waiting watches are not counted. At least the
   * tasks of the largest gang, so that they are checkpointed together. A call
   * that is never answered keeps its place, so clients need a time limit.
   */
  readonly workerCallConcurrency: number;
  /** Longest wait of one watch of a worker's task list. */
  readonly watchWaitMs: number;
  /** Lease that each watch gives the worker; several times the wait. */
  readonly leaseMs: number;
  /** A watch is given up this long after its wait has passed. */
  readonly watchOverrunMs: number;
  /** A worker whose watch fails for longer than this counts as lost. */
  readonly workerLostAfterMs: number;
  /** After a takeover, placing waits at most this long for unread workers. */
  readonly adoptionBoundMs: number;
  /** Longest checkpoint before a gang is stopped without one. */
  readonly reclaimBoundMs: number;
  /** Time after which an incomplete gang of another scheduler is undone. */
  readonly gangSkewBoundMs: number;
  /** Running tasks on a leaving worker are set aside after this time. */
  readonly leavingGracePeriodMs: number;
  /** Longest wait of one watch of the job records. */
  readonly storeWatchWaitMs: number;
  /** A start waits at most this long for its record to be written. */
  readonly recordWriteTimeoutMs: number;
  /** A job that was handed over is written if the store lacks it by then. */
  readonly missingRecordCheckDelayMs: number;
  /** Mean time between two writes after the store was away. */
  readonly recoveryWriteIntervalMs: number;
  /** First wait between retries of a call; doubles with full jitter. */
  readonly initialRetryDelayMs: number;
  readonly maximumRetryDelayMs: number;
  /** Ended jobs stay in memory for callers that ask. */
  readonly endedJobRetentionMs: number;
  /**
   * Records of ended jobs stay in the store for this time; a key that is used
   * again later starts a new job.
   */
  readonly endedRecordRetentionMs: number;
  /** Time between two passes over what may be forgotten. */
  readonly cleanupIntervalMs: number;
}

/** Values for a site of today; the daemon's settings may replace them. */
export const DEFAULT_ZONE_OPTIONS: ZoneControllerOptions = {
  workerCallConcurrency: 128,
  watchWaitMs: 10_000,
  leaseMs: 60_000,
  watchOverrunMs: 2_000,
  workerLostAfterMs: 5_000,
  adoptionBoundMs: 1_000,
  reclaimBoundMs: 1_000,
  gangSkewBoundMs: 5_000,
  leavingGracePeriodMs: 20_000,
  storeWatchWaitMs: 30_000,
  recordWriteTimeoutMs: 200,
  missingRecordCheckDelayMs: 5_000,
  recoveryWriteIntervalMs: 50,
  initialRetryDelayMs: 100,
  maximumRetryDelayMs: 5_000,
  endedJobRetentionMs: 3_600_000,
  endedRecordRetentionMs: 86_400_000,
  cleanupIntervalMs: 60_000,
};

/** A decision, or a change that caused one. */
export type ZoneEvent =
  | {readonly kind: 'scheduling'; readonly active: boolean}
  /** Adoption is over; from here on jobs are placed. */
  | {
      readonly kind: 'placing';
      readonly workersRead: number;
      readonly workersUnread: number;
    }
  | {
      readonly kind: 'adopted';
      readonly jobId: JobId;
      readonly gangId: GangId;
      readonly decision: 'running' | 'releaseFinished' | 'takenOff';
    }
  | {
      readonly kind: 'preempted';
      readonly jobId: JobId;
      readonly reason: string;
    }
  | {
      readonly kind: 'jobChanged';
      readonly jobId: JobId;
      readonly state: JobState;
      readonly reason: string;
    }
  | {
      readonly kind: 'gangEnded';
      readonly jobId: JobId;
      readonly gangId: GangId;
      readonly end: GangEnd;
    }
  | {
      readonly kind: 'workerLost';
      readonly workerId: VmId;
      readonly cause: 'gone' | 'silent';
    }
  | {readonly kind: 'workerReturned'; readonly workerId: VmId}
  | {readonly kind: 'quarantined'; readonly workerId: VmId}
  | {readonly kind: 'quarantineEnded'; readonly workerId: VmId}
  | {
      readonly kind: 'store';
      readonly available: boolean;
      /** Records that are only in memory. */
      readonly unwritten: number;
    };

/** Receives events in order; it must not throw and must return at once. */
export interface ZoneListener {
  zoneEvent(event: ZoneEvent): void;
}
