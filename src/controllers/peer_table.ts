/**
 * Table of the peers that sent heartbeats or answers recently.
 */

import {after} from '../model/ids.js';
import type {AvailabilityZone, DaemonId, Instant, VmId} from '../model/ids.js';
import type {Heartbeat} from '../interfaces/peer_client.js';

/** Time without a heartbeat after which a peer is removed. */
const PEER_EXPIRY_MS = 60_000;
/** Bounds the ids of earlier processes whose late heartbeats are ignored. */
const MAXIMUM_REPLACED_IDS = 256;

/** State of a peer according to its heartbeats. */
export interface KnownPeer {
  readonly daemonId: DaemonId;
  readonly vmId: VmId;
  readonly availabilityZone: AvailabilityZone;
  readonly address: string;
  readonly leaving: boolean;
  readonly configurationVersion: number;
  readonly firstHeardAt: Instant;
  readonly heardAt: Instant;
  /** Queued requests by minion; contains only reported minions. */
  readonly queueLengths: ReadonlyMap<VmId, number>;
}

export class PeerTable {
  private readonly peers = new Map<DaemonId, KnownPeer>();
  private readonly replacedIds = new Set<DaemonId>();

  /** Returns false for a late heartbeat of a replaced process. */
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

  /** The peer whose last heartbeat named this address. */
  byAddress(address: string): KnownPeer | undefined {
    return this.all().find((peer) => peer.address === address);
  }

  all(): KnownPeer[] {
    return [...this.peers.values()];
  }

  /**
   * Shifts all times by a jump of the clock, so that peers do not appear
   * unresponsive after a pause of this process or a clock correction.
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

  /** An address belongs to one process; a new daemon id replaces the old. */
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
