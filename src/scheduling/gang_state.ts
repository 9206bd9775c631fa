/**
 * State, events and actions of the state machine in `gang_protocol.ts`, which
 * starts and stops one gang.
 */

import type {Instant, TaskId, VmId} from '../model/ids.js';
import type {GangMember, TaskStatus} from '../model/jobs.js';
import type {GangEnd} from './zone_planner.js';

export type MemberPhase =
  /** The hold was sent and not answered yet. */
  | 'holding'
  /** The hold has no answer, so its effect is unknown. */
  | 'maybeHeld'
  | 'held'
  | 'verified'
  /** The release was sent. */
  | 'releasing'
  | 'running'
  /** Ended on its own; stays in the worker's list until it is removed. */
  | 'finished'
  | 'failed'
  /** The remove was sent. */
  | 'removing'
  /** Not on its worker, and no delayed message can place it there. */
  | 'off';

export interface GangMemberState extends GangMember {
  readonly phase: MemberPhase;
  /** Start of the phase; a list requested earlier does not prove absence. */
  readonly since: Instant;
  /** Location of the checkpoint; null if the checkpoint failed. */
  readonly checkpoint?: string | null;
}

export type GangPhase =
  'starting' | 'releasing' | 'running' | 'checkpointing' | 'removing' | 'ended';

/** Immutable state of one gang. */
export interface GangState {
  readonly phase: GangPhase;
  readonly members: readonly GangMemberState[];
  /** Why the gang leaves its workers. */
  readonly end?: GangEnd;
  /** The gang is stopped at this time even if a checkpoint is missing. */
  readonly checkpointDeadline?: Instant;
  /** Reads of one worker's list before the start is abandoned. */
  readonly maximumListReads: number;
  /** Inconclusive reads of the list of each worker. */
  readonly listReads: ReadonlyArray<{
    readonly workerId: VmId;
    readonly count: number;
  }>;
}

export type GangEvent =
  | {
      readonly kind:
        | 'holdAcknowledged'
        /** The hold was never sent, so it can have no effect. */
        | 'holdFailed'
        /** The worker refused the hold, possibly after a copy took effect. */
        | 'holdRefused'
        /** The hold may have had an effect. */
        | 'holdUnclear'
        | 'released'
        /** The worker does not have the task to release. */
        | 'releaseNotFound'
        /** The release may have had an effect. */
        | 'releaseUnclear'
        | 'removed'
        | 'removeUnclear'
        | 'checkpointFailed'
        /** The worker is lost together with its tasks. */
        | 'memberLost';
      readonly taskId: TaskId;
    }
  | {
      readonly kind: 'checkpointed';
      readonly taskId: TaskId;
      readonly checkpoint: string;
    }
  | {
      readonly kind: 'listRead';
      readonly workerId: VmId;
      readonly requestedAt: Instant;
      readonly tasks: readonly TaskStatus[];
      /** True if the list answers a `list` action of the gang. */
      readonly answersRead: boolean;
    }
  | {readonly kind: 'listFailed'; readonly workerId: VmId}
  | {
      readonly kind: 'stopAsked';
      /** With `setAside` a checkpoint is taken first. */
      readonly end: 'setAside' | 'cancelled';
      /** Time limit for the checkpoint. */
      readonly checkpointMs: number;
    }
  /** The time `checkpointDeadline` has passed. */
  | {readonly kind: 'checkpointDue'};

export type GangAction =
  | {readonly kind: 'hold'; readonly taskId: TaskId}
  | {readonly kind: 'release'; readonly taskId: TaskId; readonly retry: boolean}
  | {readonly kind: 'remove'; readonly taskId: TaskId; readonly retry: boolean}
  | {readonly kind: 'list'; readonly workerId: VmId; readonly retry: boolean}
  | {
      readonly kind: 'checkpoint';
      readonly taskId: TaskId;
      readonly until: Instant;
    }
  /** Every member was released. */
  | {readonly kind: 'started'}
  /** Every member has a checkpoint; in the order of the members. */
  | {readonly kind: 'checkpointed'; readonly checkpoints: readonly string[]}
  /**
   * No member is held or runs. Members that ended on their own are still in
   * their workers' lists.
   */
  | {readonly kind: 'ended'; readonly end: GangEnd};

export interface GangStep {
  readonly gang: GangState;
  readonly actions: readonly GangAction[];
}

/** True if the member is not held or running and never will be again. */
export function isInactive(member: GangMemberState): boolean {
  return ['off', 'finished', 'failed'].includes(member.phase);
}

/** Returns a copy of the gang with `member` in another phase. */
export function withPhase(
  gang: GangState,
  member: GangMemberState,
  phase: MemberPhase,
  now: Instant,
): GangState {
  return withMember(gang, {...member, phase, since: now});
}

/** Returns a copy of the gang with one member replaced, by task id. */
export function withMember(
  gang: GangState,
  changed: GangMemberState,
): GangState {
  return {
    ...gang,
    members: gang.members.map((member) =>
      member.taskId === changed.taskId ? changed : member,
    ),
  };
}

/** True if every member is in one of the phases. */
export function allIn(
  gang: GangState,
  phases: readonly MemberPhase[],
): boolean {
  return gang.members.every((member) => phases.includes(member.phase));
}
