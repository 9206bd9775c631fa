/**
 * Client interface to the workers of a hosted site. A worker runs tasks under a
 * lease measured on its own monotonic clock, checks the fencing token of each
 * order and rejects a run number that has already ended on it.
 */

import type {
  AvailabilityZone,
  RackId,
  ServiceId,
  VmId,
  WorkerId,
} from '../model/ids.js';
import type {TaskShape} from '../model/submissions.js';

/** A worker's self-description in the directory. */
export interface WorkerEntry {
  readonly workerId: WorkerId;
  /** Unix milliseconds at which this incarnation of the worker started. */
  readonly incarnation: number;
  /** Undefined for a worker that appears only in stored records. */
  readonly address: string | undefined;
  readonly serviceId: ServiceId;
  readonly zone: AvailabilityZone;
  readonly rackId: RackId | undefined;
  /** All labels, including the rack's. */
  readonly labels: ReadonlySet<string>;
  readonly capacity: TaskShape;
  readonly isDraining: boolean;
  /** Minimum time until a draining worker leaves, if it announces one. */
  readonly remainingMs: number | undefined;
  /** How much longer the worker is slow after its start, in milliseconds. */
  readonly warmInMs?: number | undefined;
  /** The VM that hosts the worker; it outlives the worker. */
  readonly vmId?: VmId | undefined;
}

/** Identifies one run of a task on a worker. */
export interface RunName {
  /** The task's name as workers know it, see `taskName`. */
  readonly task: string;
  readonly run: number;
}

export interface StartOrder extends RunName {
  readonly specification: string;
  readonly checkpoint: string;
  /** End of the worker's lease, on the worker's clock. */
  readonly leaseUntilMs: number;
  /** Fencing token; the worker rejects calls with a lower one. */
  readonly fence: number;
  /** Proof that the worker may run the step, if the queue requires one. */
  readonly ticket?: string | undefined;
}

export interface PaceOrder extends RunName {
  /** Percentage of full speed, 0 to 100. */
  readonly percent: number;
  readonly fence: number;
}

/**
 * - `started`: the run is present, from this or an earlier order;
 * - `outdated`: this run or a later one has ended or was stopped on the worker;
 * - `leasePassed`: the lease in the order has expired;
 * - `noRoom`: the worker lacks free capacity and did nothing;
 * - `unhealthy`, `notAdmitted`: the worker did nothing;
 * - `superseded`: the worker has seen a higher fencing token;
 * - `otherLife`: another incarnation of the worker answered;
 * - `rejected`: refused for a reason not listed here;
 * - `unknown`: no answer; the order may take effect, possibly seconds later.
 */
export type OrderOutcome =
  | {
      readonly kind:
        'started' | 'stopped' | 'paced' | 'outdated' | 'leasePassed';
      readonly clockMs: number;
    }
  | {readonly kind: 'noRoom' | 'notAdmitted'; readonly clockMs: number}
  | {readonly kind: 'superseded' | 'unhealthy' | 'otherLife'}
  | {readonly kind: 'rejected'; readonly detail: string}
  | {readonly kind: 'unknown'; readonly detail: string};

export interface RunningTask extends RunName {
  /** Latest checkpoint, empty if there is none. */
  readonly checkpoint: string;
  /** Percentage of the work completed, 0 to 100. */
  readonly percent: number;
  /**
   * Measured over about the last half second: tail response time in
   * milliseconds for a serving task, otherwise processor use in millicores.
   */
  readonly recentMetric?: number | undefined;
}

export type RunEnding =
  'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

export interface EndedRun extends RunName {
  /** Number of this end within the worker's incarnation, from 1. */
  readonly sequence: number;
  readonly ending: RunEnding;
  readonly checkpoint: string;
}

export interface LeaseRenewalRequest {
  readonly fence: number;
  /** Ends up to this sequence number are durable; the worker discards them. */
  readonly acknowledgedSequence: number;
  readonly leaseUntilMs: number | undefined;
  /** Longest time the worker may wait for a run to end before it answers. */
  readonly waitMs: number;
}

/**
 * - `seen`: the worker processed the call;
 * - `superseded`: the worker has seen a higher fencing token;
 * - `otherLife`: another incarnation of the worker answered;
 * - `gone`: no process listens at the worker's address;
 * - `unanswered`: no valid answer.
 */
export type LeaseRenewalOutcome =
  | {
      readonly kind: 'seen';
      readonly clockMs: number;
      readonly incarnation: number;
      readonly running: readonly RunningTask[];
      readonly ended: readonly EndedRun[];
    }
  | {readonly kind: 'superseded'}
  | {readonly kind: 'otherLife'}
  | {readonly kind: 'gone' | 'unanswered'; readonly detail: string};

/** Orders to workers. Implementations do not retry. */
export abstract class TaskWorkerClient {
  abstract start(worker: WorkerEntry, order: StartOrder): Promise<OrderOutcome>;

  abstract stop(
    worker: WorkerEntry,
    run: RunName,
    fence: number,
  ): Promise<OrderOutcome>;

  /** Limits a run to a share of its full speed; a start resets it to 100. */
  abstract pace(worker: WorkerEntry, order: PaceOrder): Promise<OrderOutcome>;

  /** Renews the worker's lease and returns its running and ended runs. */
  abstract renewLease(
    worker: WorkerEntry,
    request: LeaseRenewalRequest,
    signal: AbortSignal,
  ): Promise<LeaseRenewalOutcome>;

  /** Closes the connections to a worker that has left. */
  abstract closeConnections(worker: WorkerEntry): void;
}
