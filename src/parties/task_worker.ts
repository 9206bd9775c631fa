/**
 * Workers of a hosted site. A worker runs what it is told under a lease on its
 * own steady clock, checks the fencing token of each order and refuses a run
 * number that it has seen end.
 */

import type {
  AvailabilityZone,
  RackId,
  ServiceId,
  VmId,
  WorkerId,
} from '../model/ids.js';
import type {TaskShape} from '../model/submissions.js';

/** What a worker says about itself in the directory. */
export interface WorkerEntry {
  readonly workerId: WorkerId;
  /** Unix milliseconds of its start; another value is another life. */
  readonly incarnation: number;
  /** Undefined for a worker that is known from records only. */
  readonly address: string | undefined;
  readonly serviceId: ServiceId;
  readonly zone: AvailabilityZone;
  readonly rackId: RackId | undefined;
  /** All labels, the rack's among them. */
  readonly labels: ReadonlySet<string>;
  readonly capacity: TaskShape;
  readonly isDraining: boolean;
  /** Least time until a draining worker leaves, if it says so. */
  readonly remainingMs: number | undefined;
  /** The VM that the worker lives on; it outlives the worker. */
  readonly vmId?: VmId | undefined;
}

/** Names one run of a task on a worker. */
export interface RunName {
  /** The task's name towards workers, see `taskName`. */
  readonly task: string;
  readonly run: number;
}

export interface StartOrder extends RunName {
  readonly specification: string;
  readonly checkpoint: string;
  /** Until when the worker may run anything, on the worker's clock. */
  readonly leaseUntilMs: number;
  readonly term: number;
  /** Proof that the worker may run the step, where the queue needs one. */
  readonly ticket?: string | undefined;
}

export interface PaceOrder extends RunName {
  /** Share of full speed, 0 to 100. */
  readonly percent: number;
  readonly term: number;
}

/**
 * - `started`: the run is there, now or since an earlier order;
 * - `outdated`: that run or a higher one has ended or was stopped there;
 * - `leasePassed`: the lease in the order has passed;
 * - `noRoom`, `unhealthy`, `notAdmitted`: the worker did nothing;
 * - `superseded`: the worker has seen a higher term;
 * - `otherLife`: another life of the worker answered;
 * - `unknown`: no answer; the order may be carried out, also seconds later.
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
  /** Share of the work that is done, 0 to 100. */
  readonly percent: number;
  /**
   * Over about the last half second: the tail of a serving task's response
   * times in milliseconds, otherwise the processor use in millicores.
   */
  readonly recentMetric?: number | undefined;
}

export type RunEnding =
  'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

export interface EndedRun extends RunName {
  /** Number of the end in this life of the worker, from 1. */
  readonly sequence: number;
  readonly ending: RunEnding;
  readonly checkpoint: string;
}

export interface LeaseRenewalRequest {
  readonly term: number;
  /** Ends up to this number are durable here; the worker forgets them. */
  readonly acknowledgedSequence: number;
  readonly leaseUntilMs: number | undefined;
  /** How long the worker may wait for an end before it answers. */
  readonly waitMs: number;
}

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
  | {readonly kind: 'unanswered'; readonly detail: string};

/** Orders to workers. Implementations do not retry. */
export abstract class TaskWorkerClient {
  abstract start(worker: WorkerEntry, order: StartOrder): Promise<OrderOutcome>;

  abstract stop(
    worker: WorkerEntry,
    run: RunName,
    term: number,
  ): Promise<OrderOutcome>;

  /** Lets a run work at a share of its speed; a start sets it to 100. */
  abstract pace(worker: WorkerEntry, order: PaceOrder): Promise<OrderOutcome>;

  /** Extends the lease and returns what runs and what ended. */
  abstract renewLease(
    worker: WorkerEntry,
    request: LeaseRenewalRequest,
    signal: AbortSignal,
  ): Promise<LeaseRenewalOutcome>;

  /** Closes the connections to a worker that left. */
  abstract closeConnections(worker: WorkerEntry): void;
}
