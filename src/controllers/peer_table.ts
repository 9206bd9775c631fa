/**
 * What a daemon has heard from its peers, and when.
 */

import {after} from '../model/ids.js';
import type {AvailabilityZone, DaemonId, Instant, VmId} from '../model/ids.js';
import type {Heartbeat} from '../parties/peer_client.js';

/** Time without a heartbeat after which a peer is forgotten. */
const PEER_EXPIRY_MS = 60_000;
/** Ids of earlier runs that are remembered, to ignore late heartbeats. */
const MAXIMUM_REPLACED_IDS = 256;

/** One peer as its last heartbeat described it. */
export interface KnownPeer {
  readonly daemonId: DaemonId;
  readonly vmId: VmId;
  readonly availabilityZone: AvailabilityZone;
  readonly address: string;
  readonly leaving: boolean;
  readonly configurationVersion: number;
  readonly firstHeardAt: Instant;
  readonly heardAt: Instant;
  /** Queued requests by minion, as far as the peer reported them. */
  readonly queueLengths: ReadonlyMap<VmId, number>;
}

export class PeerTable {
  private readonly peers = new Map<DaemonId, KnownPeer>();
  private readonly replacedIds = new Set<DaemonId>();

  /** Takes a heartbeat; returns false for one of a replaced run. */
  record(heartbeat: Heartbeat, now: Instant): boolean {
    if (this.replacedIds.has(heartbeat.daemonId)) return false;
    const before = this.peers.get(heartbeat.daemonId);
    if (!before) this.replaceIncarnationAt(heartbeat.address);
    const queueLengths = new Map(before?.queueLengths);
    for (const {minionId, queued} of heartbeat.queueLengths) {
      queueLengths.set(minionId, queued);
    }
    this.peers.set(heartbeat.daemonId, {
      daemonId: heartbeat.daemonId,
      vmId: heartbeat.vmId,
      availabilityZone: heartbeat.availabilityZone,
      address: heartbeat.address,
      leaving: heartbeat.leaving,
      configurationVersion: heartbeat.configurationVersion,
      firstHeardAt: before?.firstHeardAt ?? now,
      heardAt: now,
      queueLengths,
    });
    return true;
  }

  get(daemonId: DaemonId): KnownPeer | undefined {
    return this.peers.get(daemonId);
  }

  /** The daemon that last announced this address. */
  byAddress(address: string): KnownPeer | undefined {
    return this.all().find((peer) => peer.address === address);
  }

  all(): KnownPeer[] {
    return [...this.peers.values()];
  }

  /**
   * Moves all times by a jump of the clock, so that neither a pause of this
   * process nor a corrected clock counts as silence of its peers.
   */
  shiftTimes(milliseconds: number): void {
    for (const peer of this.all()) {
      this.peers.set(peer.daemonId, {
        ...peer,
        heardAt: after(peer.heardAt, milliseconds),
        firstHeardAt: after(peer.firstHeardAt, milliseconds),
      });
    }
  }

  removeExpired(now: Instant): void {
    for (const peer of this.all()) {
      if (now - peer.heardAt > PEER_EXPIRY_MS) {
        this.peers.delete(peer.daemonId);
      }
    }
  }

  /** An address belongs to one run; a new run there ends the one before. */
  private replaceIncarnationAt(address: string): void {
    const earlier = this.byAddress(address);
    if (!earlier) return;
    this.peers.delete(earlier.daemonId);
    this.replacedIds.add(earlier.daemonId);
    for (const oldest of this.replacedIds) {
      if (this.replacedIds.size <= MAXIMUM_REPLACED_IDS) break;
      this.replacedIds.delete(oldest);
    }
  }
}
