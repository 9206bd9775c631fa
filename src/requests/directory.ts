/**
 * The information about the rest of the system that request processing needs:
 * the configuration, the minions of each zone and the daemons of the site.
 */

import type {Configuration} from '../model/configuration.js';
import type {AvailabilityZone, DaemonId, Instant, VmId} from '../model/ids.js';
import type {KeyValueStore} from '../interfaces/key_value_store.js';
import type {PeerClient} from '../interfaces/peer_client.js';
import type {MinionVm} from '../interfaces/vm_list.js';

/** The calls to peers that request processing makes. */
export type RequestPeers = Pick<PeerClient, 'dispatch' | 'claimOutcome'>;

/** The calls to the store that claims make. */
export type ClaimStore = Pick<KeyValueStore, 'get' | 'put'>;

/** The daemon that owns the queue of a minion. */
export interface HomeDaemon {
  readonly daemonId: DaemonId;
  /** Peer address. */
  readonly address: string;
}

/** A minion that requests may be routed to, in this daemon's cached view. */
export interface MinionCandidate {
  /** Only minions in the state `live` are routed to. */
  readonly minion: MinionVm;
  readonly home: HomeDaemon;
  /** True if the minion or its home daemon may have failed. */
  readonly suspect: boolean;
  /** Last queue length that the home daemon reported, if any. */
  readonly reported?: {
    readonly queued: number;
    /** Arrival of the report by this daemon's clock. */
    readonly at: Instant;
  };
}

/** Implementations answer from memory; callers use it for every request. */
export abstract class RequestDirectory {
  abstract readonly daemonId: DaemonId;
  abstract readonly availabilityZone: AvailabilityZone;

  abstract configuration(): Configuration;

  /**
   * Minions of a zone whose home daemon is not leaving. The array may be
   * shared between calls; callers must not modify it.
   */
  abstract candidates(zone: AvailabilityZone): readonly MinionCandidate[];

  /** The site's other zones in order of preference for spillover. */
  abstract otherZones(): readonly AvailabilityZone[];

  /** The VM list's entry of a minion in any zone. */
  abstract minion(minionId: VmId): MinionVm | undefined;

  /** Peer address of a live daemon, or undefined if unknown. */
  abstract daemonAddress(daemonId: DaemonId): string | undefined;
}
