/**
 * Relayed store calls: sends them to peers while the store is unreachable from
 * this daemon, and runs those that peers send.
 */

import {LEADER_KEY} from '../leader/jobs/records.js';
import type {SiteView} from '../leader/site_view.js';
import {StoreProxy} from '../leader/store_proxy.js';
import type {RandomSource} from '../lifecycle/random.js';
import type {CoordinationStore} from '../interfaces/coordination_store.js';
import type {RelayedCallReply, SitePeers, RelayedStoreCall} from './calls.js';

/** Peers probed in parallel; up to a third may be unable to reach the store. */
const PARALLEL_PROBES = 3;

export class PeerStoreProxy extends StoreProxy {
  constructor(
    private readonly peers: SitePeers,
    private readonly site: SiteView,
    private readonly random: RandomSource,
    private readonly ownAddress: string,
  ) {
    super();
  }

  override async findDaemonWithStoreAccess(): Promise<string | undefined> {
    const others = this.site.memberAddresses(this.ownAddress);
    const asked = new Set<string>();
    while (asked.size < Math.min(PARALLEL_PROBES, others.length)) {
      const address = others[this.random.nextBelow(others.length)];
      if (address !== undefined) asked.add(address);
    }
    const probes = [...asked].map(async (address) => {
      const reply = await this.peers.relay(address, {kind: 'probe'});
      if (reply?.isDone !== true) throw new Error(`${address}: probe failed`);
      return address;
    });
    try {
      return await Promise.any(probes);
    } catch {
      // No probed peer reaches the store; the caller retries after its next
      // lease renewal.
      return undefined;
    }
  }

  override async endLease(address: string, lease: number): Promise<boolean> {
    const reply = await this.peers.relay(address, {kind: 'endLease', lease});
    return reply?.isDone === true;
  }
}

/** Runs a store call for another daemon. */
export async function runRelayedStoreCall(
  store: CoordinationStore,
  call: RelayedStoreCall,
): Promise<RelayedCallReply> {
  switch (call.kind) {
    case 'probe':
      return {isDone: (await store.get(LEADER_KEY)).isOk};
    case 'endLease':
      return {isDone: (await store.endLease(call.lease)).isOk};
  }
}
