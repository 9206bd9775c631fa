/**
 * Evaluates the task lists of workers: whether a held task fits on its
 * accelerators and, after a takeover, what to do with the gangs that are found
 * on the workers. See `docs/design.md`, section 3.2. All functions are pure.
 */

import type {GangId, JobId, TaskId, VmId} from '../model/ids.js';
import type {
  TaskList,
  TaskSpecification,
  TaskState,
  TaskStatus,
} from '../model/jobs.js';

export function occupiesAccelerators(task: TaskStatus): boolean {
  return task.state === 'held' || task.state === 'running';
}

export type Verification =
  /** No other task occupies an accelerator of the task. */
  | 'fits'
  /** The task has precedence; conflicting ones are expected to be removed. */
  | 'wins'
  /** A conflicting task has precedence. */
  | 'loses'
  /** The task is not held on the worker. */
  | 'absent';

/**
 * Checks a held task against the list of its worker. A running task has
 * precedence over a held one, and of two held tasks the lower id has it.
 */
export function verifyHeldTask(
  tasks: readonly TaskStatus[],
  taskId: TaskId,
): Verification {
  const own = tasks.find((task) => task.taskId === taskId);
  if (own === undefined || !occupiesAccelerators(own)) return 'absent';
  const conflicts = tasks.filter(
    (task) => task !== own && occupiesAccelerators(task) && overlaps(task, own),
  );
  if (conflicts.length === 0) return 'fits';
  return conflicts.every((task) => hasPrecedence(own, task)) ? 'wins' : 'loses';
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

/** State of a member of a gang that was found on the workers. */
export type ObservedMemberState =
  | TaskState
  /** The worker's list was read without the task, or the worker is lost. */
  | 'absent'
  /** The worker's list was not read yet. */
  | 'unread';

export interface FoundMember {
  readonly taskId: TaskId;
  readonly workerId: VmId;
  readonly observedState: ObservedMemberState;
  /** Undefined if no list shows the member. */
  readonly status: TaskStatus | undefined;
}

export type AdoptionDecision =
  /** All members run or have finished, and at least one runs. */
  | 'running'
  /** All members have finished. */
  | 'finished'
  /** Some members have run and the held ones may be released. */
  | 'finishRelease'
  /** No member has run: remove the gang from its workers. */
  | 'undo'
  /** Only a part of the gang has run and the rest cannot: remove the gang. */
  | 'stop'
  /** The list of a worker with a member was not read yet. */
  | 'wait';

export interface FoundGang {
  readonly gangId: GangId;
  readonly jobId: JobId;
  readonly decision: AdoptionDecision;
  /** Any member that a list shows; holds what all members have in common. */
  readonly specification: TaskSpecification;
  /** In the order of the gang's member list. */
  readonly members: readonly FoundMember[];
}

/**
 * Decides on every gang in the lists, except those for which `skip` is true.
 * `isUnread` is true for workers whose list was not read yet; a worker that is
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
    const unlisted =
      list === undefined && isUnread(member.workerId) ? 'unread' : 'absent';
    return {...member, observedState: status?.state ?? unlisted, status};
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
  const states = members.map((member) => member.observedState);
  const hasRun = states.some(
    (state) =>
      state === 'running' || state === 'finished' || state === 'failed',
  );
  if (states.includes('failed')) return 'stop';
  if (states.includes('absent')) return hasRun ? 'stop' : 'undo';
  if (states.includes('unread')) return 'wait';
  if (!hasRun) return 'undo';
  if (states.every((state) => state === 'finished')) return 'finished';
  const held = members.filter((member) => member.observedState === 'held');
  if (held.length === 0) return 'running';
  const fits = held.every((member) => {
    const tasks = byWorker.get(member.workerId)?.tasks ?? [];
    return verifyHeldTask(tasks, member.taskId) === 'fits';
  });
  return fits ? 'finishRelease' : 'stop';
}
