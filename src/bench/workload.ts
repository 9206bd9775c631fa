/**
 * A workload is a list of events that is replayed with every policy:
 * submissions of jobs, cancellations, faults of workers and changes of the
 * power supply. The same seed yields the same events.
 */

import type {Configuration, PowerState} from '../model/configuration.js';
import type {AvailabilityZone, Instant, JobId, VmId} from '../model/ids.js';
import type {JobRecord} from '../model/jobs.js';
import type {PlannedWorker} from '../scheduling/zone_planner.js';

/** A job with its actual behaviour, which the planner does not see. */
export interface WorkloadJob {
  readonly record: JobRecord;
  /** Actual run time at full speed in milliseconds. */
  readonly runTimeMs: number;
  /** Interval of the job's periodic checkpoints. */
  readonly checkpointIntervalMs: number;
  /** Duration of a requested checkpoint; may exceed the reclaim bound. */
  readonly checkpointMs: number;
  /** If defined, every attempt fails this long after its start. */
  readonly failsAfterMs: number | undefined;
  /** If defined, the customer cancels the job then unless it has ended. */
  readonly cancelAt: Instant | undefined;
}

export type WorkloadEvent =
  | {readonly kind: 'submit'; readonly at: Instant; readonly job: WorkloadJob}
  | {readonly kind: 'cancel'; readonly at: Instant; readonly jobId: JobId}
  | {
      /** Begin or end of a period in which tasks started on the worker fail. */
      readonly kind: 'workerFault';
      readonly at: Instant;
      readonly workerId: VmId;
      readonly failsTasks: boolean;
    }
  | {
      readonly kind: 'power';
      readonly at: Instant;
      readonly power: PowerState;
    };

export interface Workload {
  readonly name: string;
  readonly seed: number;
  readonly availabilityZone: AvailabilityZone;
  readonly configuration: Configuration;
  readonly workers: readonly PlannedWorker[];
  /** Sorted by time. */
  readonly events: readonly WorkloadEvent[];
  readonly startsAt: Instant;
  /** End of the submission period and of time-weighted averages. */
  readonly endsAt: Instant;
}

/** True if the job neither fails by itself nor is cancelled. */
export function shouldFinish(job: WorkloadJob): boolean {
  return job.failsAfterMs === undefined && job.cancelAt === undefined;
}
