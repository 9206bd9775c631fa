/**
 * What the path of a request needs to know about the rest of the system: the
 * configuration, the minions of each zone and the daemons of the site.
 */

import type {Configuration} from '../model/configuration.js';
import type {AvailabilityZone, DaemonId, Instant, VmId} from '../model/ids.js';
import type {KeyValueStore} from '../parties/key_value_store.js';
import type {PeerClient} from '../parties/peer_client.js';
import type {MinionVm} from '../parties/vm_list.js';

/** The calls to peers that the path of a request makes. */
export type RequestPeers = Pick<PeerClient, 'dispatch' | 'claimOutcome'>;

/** The calls to the store that claims make. */
export type ClaimStore = Pick<KeyValueStore, 'get' | 'put'>;

/** The daemon that keeps the queue of a minion. */
export interface HomeDaemon {
  readonly daemonId: DaemonId;
  /** Peer address. */
  readonly address: string;
}

/** A minion that a request may be sent to, as far as this daemon knows. */
export interface MinionCandidate {
  /** `state` other than `live` excludes the minion. */
  readonly minion: MinionVm;
  readonly home: HomeDaemon;
  /** True if the minion or its home daemon may be gone. */
  readonly suspect: boolean;
  /** Last queue length that the home daemon reported, if any. */
  readonly reported?: {
    readonly queued: number;
    /** When the report arrived, by this daemon's clock. */
    readonly at: Instant;
  };
}

/** Implemented over the controllers; all calls are local and cheap. */
export abstract class RequestDirectory {
  abstract readonly daemonId: DaemonId;
  abstract readonly availabilityZone: AvailabilityZone;

  abstract configuration(): Configuration;

  /**
   * Minions of a zone that have a home daemon which is not leaving. The array
   * may be shared between calls; it is not changed by the caller.
   */
  abstract candidates(zone: AvailabilityZone): readonly MinionCandidate[];

  /** The site's other zones, in order of preference for spilled requests. */
  abstract otherZones(): readonly AvailabilityZone[];

  /** The minion as the VM list has it, in any zone. */
  abstract minion(minionId: VmId): MinionVm | undefined;

  /** Peer address of a live daemon, or undefined if it is not known. */
  abstract daemonAddress(daemonId: DaemonId): string | undefined;
}
