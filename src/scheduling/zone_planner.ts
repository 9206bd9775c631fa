/**
 * The planner decides which jobs of one availability zone start, where, and
 * which running gangs make room. It holds the zone's state and makes no call
 * to the outside; the zone controller carries its actions out and reports
 * back what became of them.
 */

import type {Result} from 'true-myth';
import type {Configuration} from '../model/configuration.js';
import type {InvalidInputError, RefusedError} from '../model/errors.js';
import type {GangId, Instant, JobId, RackId, VmId} from '../model/ids.js';
import type {JobRecord, TaskSpecification} from '../model/jobs.js';
import type {JobExplanation} from '../parties/peer_client.js';

/** A worker as the planner sees it. */
export interface PlannedWorker {
  readonly workerId: VmId;
  readonly rackId: RackId;
  /** 0 to 7. */
  readonly rackPosition: number;
  /** Usable accelerators, counted from index 0. */
  readonly accelerators: number;
  /** False if it takes no new task: leaving, silent or quarantined. */
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
  /** True if it takes a guaranteed cell of its customer. */
  readonly guaranteed: boolean;
}

/** A gang that runs already, found on the workers after a takeover. */
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

/** How the attempt to run a gang ended. */
export type GangEnd =
  | {readonly kind: 'finished'}
  /** Never ran: a hold failed or another scheduler was first. */
  | {readonly kind: 'withdrawn'; readonly suspectWorkers: readonly VmId[]}
  /** Ran and was checkpointed and stopped on purpose. */
  | {readonly kind: 'setAside'}
  /** A task failed by itself on this worker. */
  | {readonly kind: 'failed'; readonly workerId: VmId}
  /** A worker was lost. */
  | {readonly kind: 'lost'}
  | {readonly kind: 'cancelled'};

export abstract class ZonePlanner {
  /** Takes customers, guarantees, classes and weights of a new version. */
  abstract configure(configuration: Configuration): void;

  abstract setWorker(worker: PlannedWorker, now: Instant): void;

  /** Returns the jobs whose gangs had a task on the removed worker. */
  abstract removeWorker(workerId: VmId, now: Instant): readonly JobId[];

  /** Checks a new job; an error names why it can never run. */
  abstract check(
    record: JobRecord,
  ): Result<void, InvalidInputError | RefusedError>;

  /** Adds a job to the queue; an id that is known already is ignored. */
  abstract enqueue(record: JobRecord, now: Instant): void;

  /** Counts a gang that was found running, before anything is placed. */
  abstract adopt(record: JobRecord, gang: AdoptedGang, now: Instant): void;

  /** Takes a job that does not run out of the queue. */
  abstract dequeue(jobId: JobId): void;

  /** All members of the job's gang were released. */
  abstract gangStarted(jobId: JobId, now: Instant): void;

  /** The job has a checkpoint that its next gang resumes from. */
  abstract checkpointed(jobId: JobId, now: Instant): void;

  /**
   * The job's gang is off all its workers. The controller enqueues the job
   * again where it has to run again. Returns what the planner concluded: true
   * if the job itself is to blame and must not be tried again.
   */
  abstract gangEnded(jobId: JobId, end: GangEnd, now: Instant): boolean;

  /**
   * Returns the actions to take now. A placement counts as occupied from here
   * on until `gangEnded`; a preempted gang counts as leaving.
   */
  abstract plan(now: Instant): readonly PlanAction[];

  /** When `plan` could decide otherwise without any new event. */
  abstract nextDecisionAt(now: Instant): Instant | undefined;

  /** Expected run time in milliseconds; as declared if nothing was learned. */
  estimatedRunTimeMs(record: JobRecord): number {
    return record.declaredRunTimeMs;
  }

  abstract explain(jobId: JobId, now: Instant): JobExplanation | undefined;

  /** Workers that are quarantined now. */
  abstract quarantined(now: Instant): readonly VmId[];
}

/** Tasks of a placement with the ids of one attempt. */
export type GangTasks = ReadonlyArray<{
  readonly workerId: VmId;
  readonly task: TaskSpecification;
}>;
