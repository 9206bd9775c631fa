/**
 * The state of one gang while it is started, runs and is stopped, with the
 * events and actions of `gang_protocol.ts`.
 */

import type {Instant, TaskId, VmId} from '../model/ids.js';
import type {GangMember, TaskStatus} from '../model/jobs.js';
import type {GangEnd} from './zone_planner.js';

export type MemberPhase =
  /** The hold was sent and has not been answered. */
  | 'holding'
  /** The answer to the hold was lost. */
  | 'maybeHeld'
  | 'held'
  | 'verified'
  /** The release was sent. */
  | 'releasing'
  | 'running'
  /** Ended by itself and stays on the worker's list until it is removed. */
  | 'finished'
  | 'failed'
  /** The remove was sent. */
  | 'removing'
  /** Not on its worker, and no late message can put it there. */
  | 'off';

export interface GangMemberState extends GangMember {
  readonly phase: MemberPhase;
  /** Time of the last change of phase; older lists prove no absence. */
  readonly since: Instant;
  /** Place of the checkpoint; null if the checkpoint failed. */
  readonly checkpoint?: string | null;
}

export type GangPhase =
  'starting' | 'releasing' | 'running' | 'checkpointing' | 'removing' | 'ended';

/** One gang; never changed in place. */
export interface GangState {
  readonly phase: GangPhase;
  readonly members: readonly GangMemberState[];
  /** Why the gang goes off its workers. */
  readonly end?: GangEnd;
  /** When the gang is stopped with or without a checkpoint. */
  readonly checkpointDeadline?: Instant;
  /** Reads of one worker's list before a start is given up. */
  readonly maximumListReads: number;
  /** Reads of each worker's list that showed no result. */
  readonly listReads: ReadonlyArray<{
    readonly workerId: VmId;
    readonly count: number;
  }>;
}

export type GangEvent =
  | {
      readonly kind:
        | 'holdAcknowledged'
        /** The hold never left; no late message can take effect. */
        | 'holdFailed'
        /** The worker refused the hold, maybe after a copy of it. */
        | 'holdRefused'
        /** The hold may have had an effect. */
        | 'holdUnclear'
        | 'released'
        /** The released id is not on the worker. */
        | 'releaseNotFound'
        /** The release may or may not have had an effect. */
        | 'releaseUnclear'
        | 'removed'
        | 'removeUnclear'
        | 'checkpointFailed'
        /** The worker is lost, and its tasks with it. */
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
      /** True if the list answers a `list` action of this gang. */
      readonly answersRead: boolean;
    }
  | {readonly kind: 'listFailed'; readonly workerId: VmId}
  | {
      readonly kind: 'stopAsked';
      /** `setAside` takes a checkpoint first. */
      readonly end: 'setAside' | 'cancelled';
      /** Longest time for the checkpoint. */
      readonly checkpointMs: number;
    }
  /** The time given by `checkpointUntil` has come. */
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
   * No member is held or runs. Members that ended by themselves are still on
   * their workers' lists.
   */
  | {readonly kind: 'ended'; readonly end: GangEnd};

export interface GangStep {
  readonly gang: GangState;
  readonly actions: readonly GangAction[];
}

/** True if the member is neither held nor running, now or later. */
export function isInactive(member: GangMemberState): boolean {
  return ['off', 'finished', 'failed'].includes(member.phase);
}

/** Returns the gang with one member in another phase. */
export function withPhase(
  gang: GangState,
  member: GangMemberState,
  phase: MemberPhase,
  now: Instant,
): GangState {
  return withMember(gang, {...member, phase, since: now});
}

/** Returns the gang with one member changed. */
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
