/**
 * What earlier calls have shown about the other daemons. Tells which of them
 * may serve a call that this daemon cannot serve, and whether the store is
 * unavailable to the whole site, for outages in which forwarding only delays
 * the refusal.
 */

import type {SteadyTime} from '../lifecycle/clock.js';
import type {RandomSource} from '../lifecycle/random.js';

/** Peers tried for one call; each attempt may take its whole timeout. */
const FORWARD_ATTEMPTS = 2;

/** How long a peer that did not answer receives no further calls. */
const SILENCE_BACKOFF_MS = 1_500;

/** A peer probes the store every 250 ms while it is unavailable. */
const REFUSAL_BACKOFF_MS = 500;

/** Refusing peers that show that the store is unavailable to the site. */
const SITE_OUTAGE_REFUSALS = 3;

export class PeerAvailability {
  private readonly silentSince = new Map<string, SteadyTime>();
  private readonly refusedAt = new Map<string, SteadyTime>();

  /** The peer did not answer, or accepted no connection. */
  recordSilence(address: string, now: SteadyTime): void {
    this.silentSince.set(address, now);
  }

  /** The peer answered that it cannot serve a call either. */
  recordRefusal(address: string, now: SteadyTime): void {
    this.refusedAt.set(address, now);
  }

  /** The peer served a call, so the store is available to a part of the site. */
  recordService(address: string): void {
    this.silentSince.delete(address);
    this.refusedAt.clear();
  }

  isSilent(address: string, now: SteadyTime): boolean {
    return isWithin(this.silentSince.get(address), SILENCE_BACKOFF_MS, now);
  }

  /** True while calls are to be refused without trying a peer. */
  isSiteOutage(now: SteadyTime): boolean {
    for (const [address, at] of this.refusedAt) {
      if (!isWithin(at, REFUSAL_BACKOFF_MS, now)) {
        this.refusedAt.delete(address);
      }
    }
    return this.refusedAt.size >= SITE_OUTAGE_REFUSALS;
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
    if (this.isSiteOutage(now)) return [];
    const remaining = members.filter(
      (address) => !this.isSilent(address, now) && !this.refusedAt.has(address),
    );
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

function isWithin(
  since: SteadyTime | undefined,
  durationMs: number,
  now: SteadyTime,
): boolean {
  return since !== undefined && now - since < durationMs;
}
