/**
 * Which other daemons may serve a call that this daemon cannot serve, as far as
 * earlier calls to them have shown.
 */

import type {SteadyTime} from '../lifecycle/clock.js';
import type {RandomSource} from '../lifecycle/random.js';

/** Peers tried for one call; each attempt may take its whole timeout. */
const FORWARD_ATTEMPTS = 2;

/** How long a peer that did not answer receives no further calls. */
const SILENCE_BACKOFF_MS = 1_500;

export class PeerAvailability {
  private readonly silentSince = new Map<string, SteadyTime>();

  /** The peer did not answer, or accepted no connection. */
  recordSilence(address: string, now: SteadyTime): void {
    this.silentSince.set(address, now);
  }

  isSilent(address: string, now: SteadyTime): boolean {
    const since = this.silentSince.get(address);
    return since !== undefined && now - since < SILENCE_BACKOFF_MS;
  }

  /**
   * Returns the peers to try for one call, in order. Prefers the leader, which
   * can reach the store, to random members.
   */
  candidates(
    members: readonly string[],
    leader: string | undefined,
    random: RandomSource,
    now: SteadyTime,
  ): string[] {
    const remaining = members.filter((address) => !this.isSilent(address, now));
    const chosen: string[] = [];
    const choose = (index: number) => {
      chosen.push(...remaining.splice(index, 1));
    };
    if (leader !== undefined && remaining.includes(leader)) {
      choose(remaining.indexOf(leader));
    }
    while (chosen.length < FORWARD_ATTEMPTS && remaining.length > 0) {
      choose(random.nextBelow(remaining.length));
    }
    return chosen;
  }
}
