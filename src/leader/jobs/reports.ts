/**
 * Operator reports on the leader's jobs and workers, with the reason why a unit
 * waits.
 */

import {z} from 'zod';
import type {SteadyTime} from '../../lifecycle/clock.js';
import type {Instant} from '../../model/ids.js';
import type {HostedConfiguration} from '../../model/queues.js';
import type {Job, Unit} from './jobs.js';
import type {Machine, WorkerSpeeds} from '../workers/worker_speeds.js';
import type {WorkerState} from '../workers/worker_state.js';

export const jobSummarySchema = z.object({
  jobId: z.string(),
  queueId: z.string(),
  customerId: z.string().optional(),
  state: z.string(),
  /** Unix time in milliseconds. */
  acceptedAt: z.number(),
  /** Number of units by state; a gang is one unit. */
  units: z.object({
    done: z.number(),
    placed: z.number(),
    waiting: z.number(),
  }),
});
export type JobSummary = z.infer<typeof jobSummarySchema>;

export const unitReportSchema = z.object({
  /** `occurrence.step.firstIndex`, as in the names of the unit's tasks. */
  name: z.string(),
  tasks: z.number(),
  failures: z.number(),
  /** Empty while the unit waits. */
  runs: z.array(
    z.object({
      task: z.string(),
      run: z.number(),
      workerId: z.string(),
      phase: z.string(),
      percent: z.number(),
      /** Speed of the run's worker, if the leader uses speeds. */
      speed: z
        .object({
          /** Run time as a multiple of the usual one. */
          factor: z.number(),
          observations: z.number(),
        })
        .optional(),
    }),
  ),
  /** Why the unit waits; absent if it has runs. */
  reason: z.string().optional(),
});

export const jobReportSchema = jobSummarySchema.extend({
  /** The first `MAXIMUM_REPORTED_UNITS` units that are not done. */
  openUnits: z.array(unitReportSchema),
});
export type JobReport = z.infer<typeof jobReportSchema>;

export const workerCountsSchema = z.object({
  total: z.number(),
  accepting: z.number(),
  draining: z.number(),
  silent: z.number(),
  quarantined: z.number(),
  runs: z.number(),
});
export type WorkerCounts = z.infer<typeof workerCountsSchema>;

export const evacuationStatusSchema = z.object({
  /** Availability zones that are evacuated. */
  zones: z.array(z.string()),
  /** Runs that are still on workers of these zones. */
  runs: z.number(),
  /** Attempts to start a run that were withheld in this term. */
  withheldStarts: z.number(),
});
export type EvacuationStatus = z.infer<typeof evacuationStatusSchema>;

/** Limits the size of a report, because a job may have thousands of units. */
const MAXIMUM_REPORTED_UNITS = 50;

export interface ReportView {
  readonly workers: ReadonlyMap<string, WorkerState>;
  readonly configuration: HostedConfiguration | undefined;
  readonly now: Instant;
  readonly steady: SteadyTime;
  readonly speeds?: WorkerSpeeds | undefined;
  /** True if the worker may run the unit by its queue's policy. */
  admits(unit: Unit, worker: WorkerState): boolean;
}

export function summarizeJob(job: Job): JobSummary {
  let placed = 0;
  let waiting = 0;
  for (const unit of job.openUnits) {
    if (unit.runs.length > 0) placed += 1;
    else if (!unit.isDone) waiting += 1;
  }
  return {
    jobId: job.id,
    queueId: job.queueId,
    ...(job.customerId === undefined ? {} : {customerId: job.customerId}),
    state: job.state,
    acceptedAt: job.acceptedAt,
    units: {
      done: job.doneUnitCount,
      placed,
      waiting,
    },
  };
}

export function reportJob(job: Job, view: ReportView): JobReport {
  const open = [...job.openUnits].slice(0, MAXIMUM_REPORTED_UNITS);
  return {
    ...summarizeJob(job),
    openUnits: open.map((unit) => ({
      name: `${unit.occurrence}.${unit.stepIndex}.${unit.firstIndex}`,
      tasks: unit.taskCount,
      failures: unit.failures,
      runs: unit.runs.map((run) => ({
        task: run.task,
        run: run.runNumber,
        workerId: run.workerId,
        phase: run.phase,
        percent: run.progressPercent,
        ...(view.speeds === undefined
          ? {}
          : {speed: reportSpeed(view.speeds, run)}),
      })),
      ...(unit.runs.length > 0 ? {} : {reason: waitingReason(unit, view)}),
    })),
  };
}

function reportSpeed(
  speeds: WorkerSpeeds,
  machine: Machine,
): {factor: number; observations: number} {
  const {factor, observations} = speeds.speedOf(machine);
  return {
    factor: Number(factor.toFixed(2)),
    observations: Math.round(observations),
  };
}

/** Returns one sentence for operators on why a unit has no runs. */
export function waitingReason(unit: Unit, view: ReportView): string {
  const {job, step} = unit;
  const {now} = view;
  if (job.isEnded) return `the job is ${job.state}`;
  const dueMs = job.isScheduled ? job.dueAt(unit.occurrence) - now : 0;
  if (dueMs > 0) return `its time comes in ${dueMs} ms`;
  if (now < unit.retryAt) {
    return `it failed ${unit.failures} times, next run in ${unit.retryAt - now} ms`;
  }
  if (!job.isReady(unit, now)) return 'tasks of earlier steps are not done';
  const queue = view.configuration?.queue(job.queueId);
  if (queue === undefined) return 'its queue is in no configuration';
  const serviceWorkers = [...view.workers.values()].filter(
    ({entry}) => entry.serviceId === queue.serviceId,
  );
  const {requiredLabel} = step;
  const labelled = serviceWorkers.filter(
    ({entry}) => requiredLabel === undefined || entry.labels.has(requiredLabel),
  );
  if (labelled.length === 0) {
    return requiredLabel === undefined
      ? `service ${queue.serviceId} has no worker`
      : `no worker of ${queue.serviceId} has the label ${requiredLabel}`;
  }
  const accepting = labelled.filter((worker) => worker.accepts(view.steady));
  const admitted = accepting.filter((worker) => view.admits(unit, worker));
  if (admitted.length === 0 && accepting.length > 0) {
    return 'the advisor has admitted none of the workers yet';
  }
  return capacityReason(unit, labelled.length, admitted);
}

function capacityReason(
  unit: Unit,
  total: number,
  admitted: readonly WorkerState[],
): string {
  const {shape} = unit.step;
  const fitting = admitted.filter((worker) => {
    const free = worker.freeCapacity();
    return (
      free.accelerators >= shape.accelerators &&
      free.memoryMegabytes >= shape.memoryMegabytes &&
      (unit.step.usesSpareProcessor === true ||
        free.processorMillicores >= shape.processorMillicores)
    );
  });
  return (
    `no room: ${unit.taskCount} tasks of ${shape.accelerators} accelerators; ` +
    `${fitting.length} workers have room for one, ` +
    `${admitted.length} of ${total} take new runs`
  );
}

export function countWorkers(
  workers: Iterable<WorkerState>,
  steady: SteadyTime,
): WorkerCounts {
  const counts = {
    total: 0,
    accepting: 0,
    draining: 0,
    silent: 0,
    quarantined: 0,
    runs: 0,
  };
  for (const worker of workers) {
    counts.total += 1;
    counts.runs += worker.runs.size;
    if (worker.accepts(steady)) counts.accepting += 1;
    if (worker.entry.isDraining) counts.draining += 1;
    if (worker.failedRenewals > 0) counts.silent += 1;
    if (worker.isQuarantined(steady)) counts.quarantined += 1;
  }
  return counts;
}
