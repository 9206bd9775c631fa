/**
 * Whether the site has room for work that a caller hands in. The leader knows
 * what all jobs take of its memory and decides; while none answers, a daemon
 * accepts a small share by itself.
 */

import type {SteadyTime} from '../lifecycle/clock.js';
import type {CustomerId, JobId} from '../model/ids.js';
import {submittedKey} from '../leader/jobs/records.js';
import type {CoordinationStore} from '../interfaces/coordination_store.js';
import type {CallerAnswer, LeaderQuery, LeaderReply} from './calls.js';
import {UnconfirmedWork} from './unconfirmed_work.js';

/** Room comes with the end of jobs and their records, not within a second. */
const FULL_RETRY_AFTER_MS = 5_000;

/** A new leader is elected and answers within seconds. */
const NO_LEADER_RETRY_AFTER_MS = 1_000;

/** What accepted work may take, in bytes. */
export interface WorkLimits {
  /** Memory of a leader for all jobs of the site. */
  readonly maximumWorkBytes: number;
  /** Largest value that the store accepts. */
  readonly maximumValueBytes: number;
}

/** Work as the leader counts it. */
export interface OfferedWork {
  readonly jobId: JobId;
  /** Undefined for work that no customer is charged with. */
  readonly customerId: CustomerId | undefined;
  readonly bytes: number;
}

export type Refusal = Extract<CallerAnswer, {kind: 'notAccepted'}>;

const REFUSALS = {
  siteFull: {
    kind: 'notAccepted',
    reason: "the site's jobs take all that a leader can hold",
    retryAfterMs: FULL_RETRY_AFTER_MS,
  },
  shareUsed: {
    kind: 'notAccepted',
    reason: "the customer's jobs take as much as is left for all",
    retryAfterMs: FULL_RETRY_AFTER_MS,
    isOwnShare: true,
  },
  noLeader: {
    kind: 'notAccepted',
    reason: 'no leader answers whether there is room',
    retryAfterMs: NO_LEADER_RETRY_AFTER_MS,
  },
} as const satisfies Record<string, Refusal>;

export class WorkAdmission {
  private readonly unconfirmed: UnconfirmedWork;

  constructor(
    private readonly store: CoordinationStore,
    private readonly askLeader: (
      query: LeaderQuery,
    ) => Promise<LeaderReply | undefined>,
    private readonly countDaemons: () => number,
    {maximumWorkBytes}: WorkLimits,
  ) {
    this.unconfirmed = new UnconfirmedWork(maximumWorkBytes);
  }

  /** Returns undefined if the work may be stored. */
  async refusalOf(
    {jobId, customerId, bytes}: OfferedWork,
    now: SteadyTime,
  ): Promise<Refusal | undefined> {
    const reply = await this.askLeader({
      kind: 'admission',
      jobId,
      bytes,
      ...(customerId === undefined ? {} : {customerId}),
    });
    if (reply?.kind === 'admission') {
      return reply.verdict === 'admitted' ? undefined : REFUSALS[reply.verdict];
    }
    if (this.unconfirmed.accept(bytes, this.countDaemons(), now)) {
      return undefined;
    }
    // An earlier attempt may have been stored without an answer. A leader knows
    // it, a daemon by itself has to look.
    const stored = await this.store.get(submittedKey(jobId));
    const isStored = stored.isOk && stored.value !== undefined;
    return isStored ? undefined : REFUSALS.noLeader;
  }
}
