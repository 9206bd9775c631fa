/**
 * A workload is a plain list of events that every policy replays: jobs with
 * their actual run times, cancellations, workers that fail what they start,
 * and changes of the power supply. The same seed gives the same events.
 */

import type {Configuration, PowerState} from '../model/configuration.js';
import type {AvailabilityZone, Instant, JobId, VmId} from '../model/ids.js';
import type {JobRecord} from '../model/jobs.js';
import type {PlannedWorker} from '../scheduling/zone_planner.js';

/** A job with what only the workers learn about it. */
export interface WorkloadJob {
  readonly record: JobRecord;
  /** Actual run time at full speed in milliseconds. */
  readonly runTimeMs: number;
  /** Interval of the checkpoints that the job takes by itself. */
  readonly checkpointIntervalMs: number;
  /** Time that a checkpoint on request takes; may exceed the bound. */
  readonly checkpointMs: number;
  /** Each attempt fails this long after its start, on any worker. */
  readonly failsAfterMs: number | undefined;
  /** When the customer cancels it, if it has not ended by then. */
  readonly cancelAt: Instant | undefined;
}

export type WorkloadEvent =
  | {readonly kind: 'submit'; readonly at: Instant; readonly job: WorkloadJob}
  | {readonly kind: 'cancel'; readonly at: Instant; readonly jobId: JobId}
  | {
      /** Tasks that start on the worker from now on fail, or work again. */
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
  /** In order of time. */
  readonly events: readonly WorkloadEvent[];
  readonly startsAt: Instant;
  /** End of the submissions; averages over time end here. */
  readonly endsAt: Instant;
}

/** True if the job is expected to finish under any policy. */
export function shouldFinish(job: WorkloadJob): boolean {
  return job.failsAfterMs === undefined && job.cancelAt === undefined;
}
