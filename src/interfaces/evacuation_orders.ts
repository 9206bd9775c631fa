/**
 * Operators' orders to evacuate availability zones. While a zone's order
 * stands, no run may be started on the workers of that zone.
 */

import type {Result} from 'true-myth';
import type {AvailabilityZone} from '../model/ids.js';
import type {ChangeBatch, StoreReadFailure} from './coordination_store.js';

export interface EvacuationChange {
  readonly kind: 'ordered' | 'takenBack';
  readonly zone: AvailabilityZone;
}

export interface EvacuationListing {
  readonly zones: readonly AvailabilityZone[];
  readonly revision: number;
}

export abstract class EvacuationOrders {
  abstract list(): Promise<Result<EvacuationListing, StoreReadFailure>>;

  /** Waits at most `waitMs` for changes after a revision. */
  abstract watch(
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<ChangeBatch<EvacuationChange>, StoreReadFailure>>;
}
