/**
 * Options of the zone controller and the events that it reports.
 */

import type {GangId, JobId, VmId} from '../model/ids.js';
import type {JobState} from '../model/jobs.js';
import type {GangEnd} from '../scheduling/zone_planner.js';

export interface ZoneControllerOptions {
  /**
   * Maximum concurrent calls to workers, not counting long polls. Must be at
   * least the task count of the largest gang, so that all its tasks checkpoint
   * at the same time. An unanswered call occupies its slot, so clients need a
   * timeout.
   */
  readonly workerCallConcurrency: number;
  /** Maximum wait of one watch of a worker's task list. */
  readonly watchWaitMs: number;
  /** Lease granted by each watch; several times `watchWaitMs`. */
  readonly leaseMs: number;
  /** Time past the wait of a watch after which it times out. */
  readonly watchOverrunMs: number;
  /** A worker whose watches fail for this long counts as lost. */
  readonly workerLostAfterMs: number;
  /** After a takeover, placing waits at most this long for unread workers. */
  readonly adoptionBoundMs: number;
  /** Time for a checkpoint, after which a gang is stopped without one. */
  readonly reclaimBoundMs: number;
  /** Time after which an incomplete gang of another scheduler is removed. */
  readonly gangSkewBoundMs: number;
  /** Running gangs on a leaving worker are preempted after this time. */
  readonly leavingGracePeriodMs: number;
  /** Maximum wait of one watch of the job records. */
  readonly storeWatchWaitMs: number;
  /** A start waits at most this long for its record to be written. */
  readonly recordWriteTimeoutMs: number;
  /** A submitted job that the store still lacks after this time is written. */
  readonly missingRecordCheckDelayMs: number;
  /** Mean time between two writes after the store was unavailable. */
  readonly recoveryWriteIntervalMs: number;
  /** First backoff between retries of a call; doubles, with full jitter. */
  readonly initialRetryDelayMs: number;
  readonly maximumRetryDelayMs: number;
  /** Time for which ended jobs stay in memory to answer callers. */
  readonly endedJobRetentionMs: number;
  /**
   * Time for which records of ended jobs stay in the store. A job key that is
   * reused later starts a new job.
   */
  readonly endedRecordRetentionMs: number;
  /** Time between two passes that evict and delete expired entries. */
  readonly cleanupIntervalMs: number;
}

/** Defaults for a site of current size; settings may override them. */
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

/** A scheduling decision, or a change that caused one. */
export type ZoneEvent =
  | {readonly kind: 'scheduling'; readonly active: boolean}
  /** Adoption has ended and jobs are being placed. */
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
      /** Number of records that exist only in memory. */
      readonly unwritten: number;
    };

/** Receives events in order; must not throw or block. */
export interface ZoneListener {
  zoneEvent(event: ZoneEvent): void;
}
