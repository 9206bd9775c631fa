/**
 * Errands at the store: what this daemon asks of others while the store turns
 * it away, and what it does for them.
 */

import {LEADER_KEY} from '../leader/records.js';
import type {SiteView} from '../leader/site_view.js';
import {StoreProxy} from '../leader/store_proxy.js';
import type {RandomSource} from '../lifecycle/random.js';
import type {CoordinationStore} from '../parties/coordination_store.js';
import type {RelayedCallReply, SitePeers, RelayedStoreCall} from './calls.js';

/** Daemons that are asked at once; the store may turn away a third of them. */
const ASKED_AT_ONCE = 3;

export class PeerStoreProxy extends StoreProxy {
  constructor(
    private readonly peers: SitePeers,
    private readonly site: SiteView,
    private readonly random: RandomSource,
    private readonly ownAddress: string,
  ) {
    super();
  }

  override async findServed(): Promise<string | undefined> {
    const others = this.site.memberAddresses(this.ownAddress);
    const asked = new Set<string>();
    while (asked.size < Math.min(ASKED_AT_ONCE, others.length)) {
      const address = others[this.random.nextBelow(others.length)];
      if (address !== undefined) asked.add(address);
    }
    const probes = [...asked].map(async (address) => {
      const reply = await this.peers.relay(address, {kind: 'probe'});
      if (reply?.isDone !== true) throw new Error(`${address} is not served`);
      return address;
    });
    try {
      return await Promise.any(probes);
    } catch {
      // None of them is served; the caller asks again after its next renewal.
      return undefined;
    }
  }

  override async endLease(address: string, lease: number): Promise<boolean> {
    const reply = await this.peers.relay(address, {kind: 'endLease', lease});
    return reply?.isDone === true;
  }
}

/** Does an errand for another daemon. */
export async function runRelayedStoreCall(
  store: CoordinationStore,
  errand: RelayedStoreCall,
): Promise<RelayedCallReply> {
  switch (errand.kind) {
    case 'probe':
      return {isDone: (await store.get(LEADER_KEY)).isOk};
    case 'endLease':
      return {isDone: (await store.endLease(errand.lease)).isOk};
  }
}
