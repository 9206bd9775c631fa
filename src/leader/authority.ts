/**
 * A leader's proof that it may act. The session of a term grants it to the
 * parts that send orders or write records.
 */

import type {SteadyTime} from '../lifecycle/clock.js';

/**
 * Proof that this daemon is certainly the only leader. It must be checked
 * before each action.
 */
export interface Authority {
  readonly term: number;
  /** Revision of the leader's key in the store in this term. */
  readonly leaderRevision: number;
  mayAct(now: SteadyTime): boolean;
  /** Ends the term because another leader was elected. */
  leadershipLost(reason: string): void;
}
