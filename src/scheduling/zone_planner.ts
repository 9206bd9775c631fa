/**
 * Interface of the planner, which decides which jobs of one availability zone
 * start, on which workers, and which running gangs are preempted. It holds the
 * zone's state and does no I/O; the zone controller executes its actions and
 * reports the results back.
 */

import type {Result} from 'true-myth';
import type {Configuration} from '../model/configuration.js';
import type {InvalidInputError, RefusedError} from '../model/errors.js';
import type {GangId, Instant, JobId, RackId, VmId} from '../model/ids.js';
import type {JobRecord, TaskSpecification} from '../model/jobs.js';
import type {JobExplanation} from '../interfaces/peer_client.js';

/** The properties of a worker that the planner uses. */
export interface PlannedWorker {
  readonly workerId: VmId;
  readonly rackId: RackId;
  /** Slot of the worker in its rack, 0 to 7. */
  readonly rackPosition: number;
  /** Usable accelerators, counted from index 0. */
  readonly accelerators: number;
  /** False if it accepts no new task: leaving, unresponsive or quarantined. */
  readonly acceptsTasks: boolean;
}

/** One task of a planned or adopted gang. */
export interface TaskPlacement {
  readonly workerId: VmId;
  /** Indexes of the worker's accelerators. */
  readonly accelerators: readonly number[];
}

export interface GangPlacement {
  readonly jobId: JobId;
  /** One entry per task, in order of rack position. */
  readonly tasks: readonly TaskPlacement[];
  /** True if it occupies a guaranteed cell of its customer. */
  readonly guaranteed: boolean;
}

/** A running gang that was found on the workers after a takeover. */
export interface AdoptedGang extends GangPlacement {
  readonly gangId: GangId;
  readonly startedAt: Instant;
}

export type PlanAction =
  | {readonly kind: 'start'; readonly placement: GangPlacement}
  | {
      /** Checkpoint and stop the gang; its job is queued again. */
      readonly kind: 'preempt';
      readonly jobId: JobId;
      readonly reason: string;
    };

/** Outcome of an attempt to run a gang. */
export type GangEnd =
  | {readonly kind: 'finished'}
  /** Never ran: a hold failed or another scheduler took the accelerators. */
  | {readonly kind: 'withdrawn'; readonly suspectWorkers: readonly VmId[]}
  /** Was checkpointed and stopped on purpose while it ran. */
  | {readonly kind: 'setAside'}
  /** A task failed on its own on this worker. */
  | {readonly kind: 'failed'; readonly workerId: VmId}
  /** A worker was lost. */
  | {readonly kind: 'lost'}
  | {readonly kind: 'cancelled'};

export abstract class ZonePlanner {
  /** Applies customers, guarantees, work classes and weights. */
  abstract configure(configuration: Configuration): void;

  abstract setWorker(worker: PlannedWorker, now: Instant): void;

  /** Returns the jobs whose gangs had a task on the removed worker. */
  abstract removeWorker(workerId: VmId, now: Instant): readonly JobId[];

  /** Checks a new job; the error says why it can never run. */
  abstract check(
    record: JobRecord,
  ): Result<void, InvalidInputError | RefusedError>;

  /** Adds a job to the queue; a known id is ignored. */
  abstract enqueue(record: JobRecord, now: Instant): void;

  /** Adds a gang that was found running; called before the first `plan`. */
  abstract adopt(record: JobRecord, gang: AdoptedGang, now: Instant): void;

  /** Removes a job that is not placed from the queue. */
  abstract dequeue(jobId: JobId): void;

  /** Records that all members of the job's gang were released. */
  abstract gangStarted(jobId: JobId, now: Instant): void;

  /** Records that the job has a checkpoint to resume from. */
  abstract checkpointed(jobId: JobId, now: Instant): void;

  /**
   * Records that the job's gang has left all its workers. The controller
   * enqueues the job again if it has to run again. Returns true if the job
   * itself is at fault and must not be retried.
   */
  abstract gangEnded(jobId: JobId, end: GangEnd, now: Instant): boolean;

  /**
   * Returns the actions to take now. A placement occupies its accelerators
   * from this call until `gangEnded`, also after the gang was preempted.
   */
  abstract plan(now: Instant): readonly PlanAction[];

  /** Next time at which `plan` can decide differently without an event. */
  abstract nextDecisionAt(now: Instant): Instant | undefined;

  /** Expected run time in milliseconds; by default the declared one. */
  estimatedRunTimeMs(record: JobRecord): number {
    return record.declaredRunTimeMs;
  }

  abstract explain(jobId: JobId, now: Instant): JobExplanation | undefined;

  abstract quarantined(now: Instant): readonly VmId[];
}

/** Tasks of one attempt to start a gang, each with its worker. */
export type GangTasks = ReadonlyArray<{
  readonly workerId: VmId;
  readonly task: TaskSpecification;
}>;
