/**
 * Conversions between job records, placements, tasks and found gangs.
 */

import type {AvailabilityZone, GangId, Instant} from '../model/ids.js';
import {randomId, trustedId} from '../model/ids.js';
import type {JobRecord, TaskSpecification, TaskStatus} from '../model/jobs.js';
import type {FoundGang} from '../scheduling/gang_adoption.js';
import type {AdoptedGang, GangPlacement} from '../scheduling/zone_planner.js';

/** Assumed run time of a job whose record is unavailable. */
const ASSUMED_RUN_TIME_MS = 3_600_000;

/** Creates the tasks of a new attempt, with new ids. */
export function gangTasks(
  record: JobRecord,
  placement: GangPlacement,
): {readonly gangId: GangId; readonly tasks: readonly TaskSpecification[]} {
  const gangId = randomId<GangId>('gang');
  const members = placement.tasks.map(({workerId}, index) => ({
    taskId: trustedId<TaskSpecification['taskId']>(`${gangId}.${index}`),
    workerId,
  }));
  const checkpoints = splitCheckpoint(record);
  const tasks = members.map(({taskId}, index): TaskSpecification => {
    const checkpoint = checkpoints[index];
    return {
      taskId,
      gangId,
      jobId: record.jobId,
      customerId: record.customerId,
      workClassId: record.workClassId,
      members,
      accelerators: [...(placement.tasks[index]?.accelerators ?? [])],
      guaranteed: placement.guaranteed,
      payload: record.payload,
      ...(checkpoint === undefined ? {} : {checkpoint}),
    };
  });
  return {gangId, tasks};
}

/**
 * Joins the members' checkpoint references into the single string of a job
 * record: the reference itself for one task, a JSON array for several.
 */
export function joinCheckpoints(checkpoints: readonly string[]): string {
  const [only] = checkpoints;
  if (checkpoints.length === 1 && only !== undefined) return only;
  return JSON.stringify(checkpoints);
}

function splitCheckpoint(record: JobRecord): readonly string[] {
  const {checkpoint} = record;
  if (checkpoint === undefined) return [];
  if (record.shape.tasks === 1) return [checkpoint];
  return JSON.parse(checkpoint) as string[];
}

/** Rebuilds a record from a task, for a job whose record is unavailable. */
export function recordFromTask(
  gang: FoundGang,
  zone: AvailabilityZone,
  now: Instant,
): JobRecord {
  const task = gang.specification;
  return {
    jobId: task.jobId,
    customerId: task.customerId,
    workClassId: task.workClassId,
    availabilityZone: zone,
    shape: {
      tasks: task.members.length,
      acceleratorsPerTask: task.accelerators.length,
    },
    urgency: 'normal',
    declaredRunTimeMs: ASSUMED_RUN_TIME_MS,
    payload: task.payload,
    submittedAt: now,
    state: 'starting',
    reason: 'found on workers',
    sequence: 0,
    attempts: 1,
    gangId: task.gangId,
  };
}

/** Converts a found gang to the form that the planner adopts. */
export function adoptedGang(found: FoundGang, now: Instant): AdoptedGang {
  const started = found.members.flatMap(
    (member) => member.status?.startedAt ?? [],
  );
  return {
    jobId: found.jobId,
    gangId: found.gangId,
    guaranteed: found.specification.guaranteed,
    startedAt: started.length === 0 ? now : earliest(started),
    tasks: found.members.map((member) => ({
      workerId: member.workerId,
      accelerators: member.status?.accelerators ?? [],
    })),
  };
}

function earliest(instants: readonly Instant[]): Instant {
  return instants.reduce((first, next) => (next < first ? next : first));
}

/** True if the task ended by itself and can be removed. */
export function hasEndedByItself(task: TaskStatus): boolean {
  return task.state === 'finished' || task.state === 'failed';
}
