/** The availability zones of an emulated site, which operators may evacuate. */

import {trustedId} from '../src/model/ids.js';
import type {AvailabilityZone, VmId} from '../src/model/ids.js';
import type {Ledger} from './ledger.js';
import type {StoreState} from './store_state.js';

const EVACUATION_PREFIX = 'op/evacuate/';
const DEFAULT_ZONE = trustedId<AvailabilityZone>('zone-1');

export class EmulatedZones {
  constructor(
    private readonly store: StoreState,
    private readonly ledger: Ledger,
    readonly names: readonly AvailabilityZone[] = [DEFAULT_ZONE],
  ) {}

  /** Each rack is in one zone; the zones alternate. */
  zoneOf(vmId: VmId): AvailabilityZone {
    const [, rack, index] = vmId.split('-');
    const position = Number(rack === 'standby' ? index : rack);
    return this.names[position % this.names.length] ?? DEFAULT_ZONE;
  }

  /** Writes an order as operators do, with a value that cannot be decoded. */
  evacuate(zone: AvailabilityZone): void {
    this.store.put(`${EVACUATION_PREFIX}${zone}`, '{');
    this.ledger.zoneEvacuated(zone, Date.now());
  }

  takeBack(zone: AvailabilityZone): void {
    this.ledger.zoneTakenBack(zone);
    this.store.removeKey(`${EVACUATION_PREFIX}${zone}`);
  }
}
