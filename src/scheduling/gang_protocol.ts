/**
 * Protocol that starts one gang (hold, read the task list back, release) and
 * stops it (checkpoint, remove). It is a pure state machine from events to
 * actions; the caller executes the actions and reports their results as
 * events. See `docs/design.md`, section 3.2.
 *
 * Safety depends on one rule: a member counts as verified once a list of its
 * worker shows it held with no other task on its accelerators. A scheduler that
 * holds later sees the member in its list. If the member was removed in the
 * meantime, its release finds no task. The rule also holds for delayed and
 * duplicated lists.
 */

import type {Instant, TaskId, VmId} from '../model/ids.js';
import {after} from '../model/ids.js';
import type {GangMember, TaskStatus} from '../model/jobs.js';
import type {FoundGang} from './gang_adoption.js';
import {verifyHeldTask} from './gang_adoption.js';
import type {
  GangEvent,
  GangMemberState,
  GangState,
  GangStep,
  MemberPhase,
} from './gang_state.js';
import {allIn, isInactive, withMember, withPhase} from './gang_state.js';
import type {GangEnd} from './zone_planner.js';

/**
 * Reads of one worker's list before a start is abandoned. More reads help only
 * if a competing scheduler withdraws at the same time.
 */
const MAXIMUM_LIST_READS = 4;

/** Starts a new gang by holding every member. */
export function startGang(
  members: readonly GangMember[],
  now: Instant,
  maximumReads = MAXIMUM_LIST_READS,
): GangStep {
  return {
    gang: {
      phase: 'starting',
      maximumListReads: maximumReads,
      listReads: [],
      members: members.map((member) => ({
        taskId: member.taskId,
        workerId: member.workerId,
        phase: 'holding',
        since: now,
      })),
    },
    actions: members.map(({taskId}) => ({kind: 'hold', taskId})),
  };
}

/**
 * Takes over a gang that was found on the workers. Must not be called with the
 * decision `wait`.
 */
export function adoptGang(found: FoundGang, now: Instant): GangStep {
  const gang: GangState = {
    phase: 'releasing',
    maximumListReads: MAXIMUM_LIST_READS,
    listReads: [],
    members: found.members.map((member) => ({
      taskId: member.taskId,
      workerId: member.workerId,
      phase: adoptedPhase(member.observedState),
      since: now,
    })),
  };
  const members = gang.members.filter((member) => member.phase === 'verified');
  switch (found.decision) {
    case 'running':
    case 'finished':
    case 'finishRelease':
      return applyTransitions(releaseMembers(gang, members, now), now);
    default:
      return applyTransitions(
        removeAll(gang, endOfAdoptedGang(found), now),
        now,
      );
  }
}

function adoptedPhase(state: FoundGang['members'][0]['observedState']) {
  switch (state) {
    case 'held':
      return 'verified';
    case 'absent':
    case 'unread':
      // A hold that is still in transit would place the task on the worker.
      return 'maybeHeld';
    default:
      return state;
  }
}

function endOfAdoptedGang(found: FoundGang): GangEnd {
  const failed = found.members.find(
    (member) => member.observedState === 'failed',
  );
  if (failed !== undefined) return {kind: 'failed', workerId: failed.workerId};
  if (found.decision === 'undo') return {kind: 'withdrawn', suspectWorkers: []};
  return {kind: 'lost'};
}

/** Applies one event. Delayed and duplicate events have no effect. */
export function stepGang(
  gang: GangState,
  event: GangEvent,
  now: Instant,
): GangStep {
  if (gang.phase === 'ended') return {gang, actions: []};
  return applyTransitions(applyEvent(gang, event, now), now);
}

function applyEvent(gang: GangState, event: GangEvent, now: Instant): GangStep {
  switch (event.kind) {
    case 'listRead':
      return applyList(gang, event, now);
    case 'listFailed':
      return listAgain(gang, event.workerId, [event.workerId], now);
    case 'stopAsked':
      return applyStop(gang, event, now);
    case 'checkpointDue':
      return applyCheckpointDue(gang, now);
    default:
      return applyMemberEvent(gang, event, now);
  }
}

type MemberEvent = Extract<GangEvent, {readonly taskId: TaskId}>;

function applyMemberEvent(
  gang: GangState,
  event: MemberEvent,
  now: Instant,
): GangStep {
  const member = gang.members.find(({taskId}) => taskId === event.taskId);
  if (member === undefined) return {gang, actions: []};
  const to = (phase: MemberPhase) => withPhase(gang, member, phase, now);
  switch (event.kind) {
    case 'holdAcknowledged':
    case 'holdUnclear':
      if (member.phase !== 'holding') break;
      return listOnceHoldsAnswered(
        to(event.kind === 'holdUnclear' ? 'maybeHeld' : 'held'),
        member.workerId,
      );
    case 'holdFailed':
      if (member.phase !== 'holding') break;
      return removeAll(to('off'), withdrawn([member.workerId]), now);
    case 'holdRefused':
      // A duplicate of a hold is refused although the first copy took effect.
      if (member.phase !== 'holding') break;
      return removeAll(gang, withdrawn([member.workerId]), now);
    case 'released':
      if (member.phase !== 'releasing') break;
      return {gang: to('running'), actions: []};
    case 'releaseNotFound':
      if (member.phase !== 'releasing') break;
      return removeAll(gang, {kind: 'lost'}, now);
    case 'releaseUnclear':
      if (member.phase !== 'releasing') break;
      return retry(gang, 'release', member);
    case 'removed':
      if (member.phase !== 'removing') break;
      return {gang: to('off'), actions: []};
    case 'removeUnclear':
      if (member.phase !== 'removing') break;
      return retry(gang, 'remove', member);
    case 'memberLost':
      if (isInactive(member)) break;
      return removeAll(to('off'), endAfterMemberLoss(gang), now);
    case 'checkpointed':
      return withCheckpoint(gang, member, event.checkpoint);
    case 'checkpointFailed':
      return withCheckpoint(gang, member, null);
  }
  return {gang, actions: []};
}

function retry(
  gang: GangState,
  kind: 'release' | 'remove',
  {taskId}: GangMemberState,
): GangStep {
  return {gang, actions: [{kind, taskId, retry: true}]};
}

/** A gang that loses a member before its first release has never run. */
function endAfterMemberLoss(gang: GangState): GangEnd {
  return gang.phase === 'starting' ? withdrawn([]) : {kind: 'lost'};
}

function withdrawn(suspectWorkers: readonly VmId[]): GangEnd {
  return {kind: 'withdrawn', suspectWorkers};
}

function withCheckpoint(
  gang: GangState,
  member: GangMemberState,
  checkpoint: string | null,
): GangStep {
  if (gang.phase !== 'checkpointing' || member.checkpoint !== undefined) {
    return {gang, actions: []};
  }
  return {gang: withMember(gang, {...member, checkpoint}), actions: []};
}

/** Reads the worker's list once all holds on that worker are answered. */
function listOnceHoldsAnswered(gang: GangState, workerId: VmId): GangStep {
  const isPending = gang.members.some(
    (member) => member.workerId === workerId && member.phase === 'holding',
  );
  if (isPending || gang.phase !== 'starting') return {gang, actions: []};
  return {gang, actions: [{kind: 'list', workerId, retry: false}]};
}

function listAgain(
  gang: GangState,
  workerId: VmId,
  suspectWorkers: readonly VmId[],
  now: Instant,
): GangStep {
  const isPending = gang.members.some(
    (member) =>
      member.workerId === workerId &&
      (member.phase === 'held' || member.phase === 'maybeHeld'),
  );
  if (gang.phase !== 'starting' || !isPending) return {gang, actions: []};
  const read = gang.listReads.find((entry) => entry.workerId === workerId);
  const count = (read?.count ?? 0) + 1;
  if (count >= gang.maximumListReads) {
    return removeAll(gang, withdrawn(suspectWorkers), now);
  }
  const others = gang.listReads.filter((entry) => entry !== read);
  return {
    gang: {...gang, listReads: [...others, {workerId, count}]},
    actions: [{kind: 'list', workerId, retry: true}],
  };
}

type ListEvent = Extract<GangEvent, {readonly kind: 'listRead'}>;

function applyList(gang: GangState, event: ListEvent, now: Instant): GangStep {
  const current = withEndedTasks(gang, event, now);
  const missing = current.members.find(
    (member) => isAffectedBy(member, event) && provesAbsence(member, event),
  );
  if (missing !== undefined) {
    return removeAll(current, endAfterAbsence(current, missing), now);
  }
  return applyVerification(current, event, now);
}

/** Updates the phases of members that the list shows running or ended. */
function withEndedTasks(
  gang: GangState,
  event: ListEvent,
  now: Instant,
): GangState {
  let current = gang;
  for (const member of gang.members) {
    const state = statusIn(event, member)?.state;
    if (!isAffectedBy(member, event) || state === undefined) continue;
    if (state === 'held' || state === member.phase) continue;
    current = withPhase(current, member, state, now);
  }
  return current;
}

function applyVerification(
  gang: GangState,
  event: ListEvent,
  now: Instant,
): GangStep {
  let current = gang;
  let mustListAgain = false;
  for (const member of gang.members) {
    if (!isAffectedBy(member, event) || !awaitsVerification(member)) continue;
    const verification = verifyHeldTask(event.tasks, member.taskId);
    if (verification === 'loses') return removeAll(gang, withdrawn([]), now);
    if (verification === 'wins') mustListAgain = true;
    if (verification === 'fits') {
      current = withPhase(current, member, 'verified', now);
    }
  }
  if (!mustListAgain || !event.answersRead) return {gang: current, actions: []};
  return listAgain(current, event.workerId, [], now);
}

function awaitsVerification(member: GangMemberState): boolean {
  return ['holding', 'maybeHeld', 'held'].includes(member.phase);
}

/** True if the list can change what is known of the member. */
function isAffectedBy(member: GangMemberState, event: ListEvent): boolean {
  return (
    member.workerId === event.workerId &&
    !isInactive(member) &&
    member.phase !== 'removing'
  );
}

function statusIn(
  event: ListEvent,
  member: GangMemberState,
): TaskStatus | undefined {
  return event.tasks.find(({taskId}) => taskId === member.taskId);
}

function provesAbsence(member: GangMemberState, event: ListEvent): boolean {
  if (statusIn(event, member) !== undefined) return false;
  return member.phase !== 'holding' && event.requestedAt >= member.since;
}

function endAfterAbsence(gang: GangState, member: GangMemberState): GangEnd {
  if (gang.phase !== 'starting') return {kind: 'lost'};
  return withdrawn(member.phase === 'maybeHeld' ? [member.workerId] : []);
}

type StopEvent = Extract<GangEvent, {readonly kind: 'stopAsked'}>;

function applyStop(gang: GangState, event: StopEvent, now: Instant): GangStep {
  if (event.end === 'cancelled') {
    const step = removeAll(gang, {kind: 'cancelled'}, now);
    return {...step, gang: {...step.gang, end: {kind: 'cancelled'}}};
  }
  if (gang.phase === 'removing') return {gang, actions: []};
  if (gang.phase === 'starting') return removeAll(gang, withdrawn([]), now);
  if (gang.phase === 'releasing') return removeAll(gang, {kind: 'lost'}, now);
  if (gang.phase !== 'running') return {gang, actions: []};
  const deadline = after(now, event.checkpointMs);
  return {
    gang: {
      ...gang,
      phase: 'checkpointing',
      end: {kind: 'setAside'},
      checkpointDeadline: deadline,
    },
    actions: gang.members
      .filter((member) => member.phase === 'running')
      .map(({taskId}) => ({kind: 'checkpoint', taskId, until: deadline})),
  };
}

function applyCheckpointDue(gang: GangState, now: Instant): GangStep {
  if (gang.phase !== 'checkpointing') return {gang, actions: []};
  if (now < (gang.checkpointDeadline ?? now)) return {gang, actions: []};
  return removeAll(gang, {kind: 'setAside'}, now);
}

function releaseMembers(
  gang: GangState,
  members: readonly GangMemberState[],
  now: Instant,
): GangStep {
  let current: GangState = {...gang, phase: 'releasing'};
  for (const member of members) {
    current = withPhase(current, member, 'releasing', now);
  }
  return {
    gang: current,
    actions: members.map(({taskId}) => ({
      kind: 'release',
      taskId,
      retry: false,
    })),
  };
}

/** Removes every member that is on its worker or could still get there. */
function removeAll(gang: GangState, end: GangEnd, now: Instant): GangStep {
  if (gang.phase === 'removing') return {gang, actions: []};
  const members = gang.members.filter((member) => !isInactive(member));
  let current: GangState = {...gang, phase: 'removing', end};
  for (const member of members) {
    current = withPhase(current, member, 'removing', now);
  }
  return {
    gang: current,
    actions: members.map(({taskId}) => ({
      kind: 'remove',
      taskId,
      retry: false,
    })),
  };
}

/** Applies transitions of the gang until its members' phases allow none. */
function applyTransitions(step: GangStep, now: Instant): GangStep {
  const {gang} = step;
  const next = transition(gang, now);
  if (next === undefined) return step;
  return applyTransitions(
    {gang: next.gang, actions: [...step.actions, ...next.actions]},
    now,
  );
}

function transition(gang: GangState, now: Instant): GangStep | undefined {
  const failed = gang.members.find((member) => member.phase === 'failed');
  if (failed && gang.phase !== 'removing' && gang.phase !== 'ended') {
    return removeAll(gang, {kind: 'failed', workerId: failed.workerId}, now);
  }
  switch (gang.phase) {
    case 'starting':
      if (!allIn(gang, ['verified', 'running', 'finished'])) return undefined;
      return releaseMembers(
        gang,
        gang.members.filter((member) => member.phase === 'verified'),
        now,
      );
    case 'releasing':
      if (!allIn(gang, ['running', 'finished'])) return undefined;
      return {gang: {...gang, phase: 'running'}, actions: [{kind: 'started'}]};
    case 'running':
      if (!allIn(gang, ['finished'])) return undefined;
      return endGang(gang, {kind: 'finished'});
    case 'checkpointing':
      return afterCheckpoints(gang, now);
    case 'removing':
      if (!gang.members.every(isInactive)) return undefined;
      return endGang(gang, gang.end ?? {kind: 'lost'});
    case 'ended':
      return undefined;
  }
}

function endGang(gang: GangState, end: GangEnd): GangStep {
  return {
    gang: {...gang, phase: 'ended', end},
    actions: [{kind: 'ended', end}],
  };
}

function afterCheckpoints(gang: GangState, now: Instant): GangStep | undefined {
  if (allIn(gang, ['finished'])) return endGang(gang, {kind: 'finished'});
  const isIncomplete = gang.members.some(
    (member) => member.phase === 'running' && member.checkpoint === undefined,
  );
  if (isIncomplete) return undefined;
  const step = removeAll(gang, {kind: 'setAside'}, now);
  const checkpoints = gang.members.flatMap((member) => member.checkpoint ?? []);
  // A gang can only resume if every member has a checkpoint.
  if (checkpoints.length < gang.members.length) return step;
  return {
    gang: step.gang,
    actions: [{kind: 'checkpointed', checkpoints}, ...step.actions],
  };
}
