/**
 * What a worker's own task list says: whether a held task fits, and, after a
 * takeover, what has to happen to the gangs that are found on the workers.
 * See `docs/design.md`, section 3.2. Everything here is pure.
 */

import type {GangId, JobId, TaskId, VmId} from '../model/ids.js';
import type {
  TaskList,
  TaskSpecification,
  TaskState,
  TaskStatus,
} from '../model/jobs.js';

/** True if the task occupies its accelerators. */
export function occupiesAccelerators(task: TaskStatus): boolean {
  return task.state === 'held' || task.state === 'running';
}

export type Verification =
  /** Nothing else occupies an accelerator of the task. */
  | 'fits'
  /** The others have to give way, and are expected to be removed. */
  | 'wins'
  | 'loses'
  /** The task is not held on the worker. */
  | 'absent';

/**
 * Checks a held task against the list of its worker. A running task goes
 * before a held one, and between held tasks the lower id goes first.
 */
export function verifyHeldTask(
  tasks: readonly TaskStatus[],
  taskId: TaskId,
): Verification {
  const own = tasks.find((task) => task.taskId === taskId);
  if (own === undefined || !occupiesAccelerators(own)) return 'absent';
  const rivals = tasks.filter(
    (task) => task !== own && occupiesAccelerators(task) && overlaps(task, own),
  );
  if (rivals.length === 0) return 'fits';
  return rivals.every((rival) => hasPrecedence(own, rival)) ? 'wins' : 'loses';
}

function overlaps(first: TaskStatus, second: TaskStatus): boolean {
  return first.accelerators.some((index) =>
    second.accelerators.includes(index),
  );
}

function hasPrecedence(first: TaskStatus, second: TaskStatus): boolean {
  if (first.state !== second.state) return first.state === 'running';
  return first.taskId < second.taskId;
}

/** What is known of a member of a gang that was found on the workers. */
export type ObservedMemberState =
  | TaskState
  /** The worker was read and does not have the task, or the worker is lost. */
  | 'absent'
  /** The worker has not been read yet. */
  | 'unread';

export interface FoundMember {
  readonly taskId: TaskId;
  readonly workerId: VmId;
  readonly observedState: ObservedMemberState;
  /** Undefined if the member was not seen. */
  readonly status: TaskStatus | undefined;
}

export type AdoptionDecision =
  /** All members run or have finished by themselves. */
  | 'running'
  /** All members have finished. */
  | 'finished'
  /** Some members run and the held ones may be released. */
  | 'finishRelease'
  /** No member has run: take the gang off. */
  | 'undo'
  /** A part of the gang has run and the whole cannot: take the gang off. */
  | 'stop'
  /** A worker that matters has not been read. */
  | 'wait';

export interface FoundGang {
  readonly gangId: GangId;
  readonly jobId: JobId;
  readonly decision: AdoptionDecision;
  /** A member that was seen; it names what all members have in common. */
  readonly specification: TaskSpecification;
  /** In the order of the gang's member list. */
  readonly members: readonly FoundMember[];
}

/**
 * Decides on every gang that the lists show, except those to `skip`.
 * `isUnread` tells which workers have not been read yet; a worker that is
 * neither listed nor unread is lost. If two gangs of one job run, the one with
 * the lower gang id is kept.
 */
export function findGangs(
  lists: readonly TaskList[],
  isUnread: (workerId: VmId) => boolean,
  skip: (gangId: GangId) => boolean = () => false,
): readonly FoundGang[] {
  const byWorker = new Map(lists.map((list) => [list.workerId, list]));
  const seen = new Map<GangId, TaskStatus>();
  for (const list of lists) {
    for (const task of list.tasks) {
      if (!skip(task.gangId)) seen.set(task.gangId, task);
    }
  }
  const gangs = [...seen.values()].map((task) =>
    assessGang(task, byWorker, isUnread),
  );
  return stopDuplicates(gangs);
}

function stopDuplicates(gangs: readonly FoundGang[]): readonly FoundGang[] {
  const kept = new Map<JobId, GangId>();
  for (const {jobId, gangId, decision} of gangs) {
    const known = kept.get(jobId) ?? gangId;
    if (continues(decision)) kept.set(jobId, gangId < known ? gangId : known);
  }
  return gangs.map((gang) => {
    const isKept = kept.get(gang.jobId) === gang.gangId;
    if (isKept || !continues(gang.decision)) return gang;
    return {...gang, decision: 'stop'};
  });
}

function continues(decision: AdoptionDecision): boolean {
  return decision === 'running' || decision === 'finishRelease';
}

function assessGang(
  task: TaskStatus,
  byWorker: ReadonlyMap<VmId, TaskList>,
  isUnread: (workerId: VmId) => boolean,
): FoundGang {
  const members = task.members.map((member): FoundMember => {
    const list = byWorker.get(member.workerId);
    const status = list?.tasks.find((other) => other.taskId === member.taskId);
    const missing =
      list === undefined && isUnread(member.workerId) ? 'unread' : 'absent';
    return {...member, observedState: status?.state ?? missing, status};
  });
  return {
    gangId: task.gangId,
    jobId: task.jobId,
    decision: decide(members, byWorker),
    specification: task,
    members,
  };
}

function decide(
  members: readonly FoundMember[],
  byWorker: ReadonlyMap<VmId, TaskList>,
): AdoptionDecision {
  const sightings = members.map((member) => member.observedState);
  const hasRun = sightings.some(
    (sighting) =>
      sighting === 'running' ||
      sighting === 'finished' ||
      sighting === 'failed',
  );
  if (sightings.includes('failed')) return 'stop';
  if (sightings.includes('absent')) return hasRun ? 'stop' : 'undo';
  if (sightings.includes('unread')) return 'wait';
  if (!hasRun) return 'undo';
  if (sightings.every((sighting) => sighting === 'finished')) return 'finished';
  const held = members.filter((member) => member.observedState === 'held');
  if (held.length === 0) return 'running';
  const fits = held.every((member) => {
    const tasks = byWorker.get(member.workerId)?.tasks ?? [];
    return verifyHeldTask(tasks, member.taskId) === 'fits';
  });
  return fits ? 'finishRelease' : 'stop';
}
