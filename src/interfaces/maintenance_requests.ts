/**
 * Maintenance waves requested by operators. A wave lists VMs; each of them
 * undergoes maintenance once, with a limited number down at a time.
 */

import type {Result} from 'true-myth';
import type {VmId} from '../model/ids.js';
import type {
  ChangeBatch,
  StorePut,
  StoreReadFailure,
} from './coordination_store.js';

export interface MaintenanceWave {
  readonly waveId: number;
  readonly vmIds: readonly VmId[];
  /** Target duration of the whole wave. */
  readonly durationMs: number;
  /** Maximum number of the wave's VMs down for it at the same time. */
  readonly maximumDown: number;
}

export interface WaveListing {
  readonly waves: readonly MaintenanceWave[];
  readonly revision: number;
}

export type WaveStatus = 'running' | 'complete';

export abstract class MaintenanceRequests {
  abstract list(): Promise<Result<WaveListing, StoreReadFailure>>;

  /** Waits at most `waitMs` for new waves after a revision. */
  abstract watch(
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<ChangeBatch<MaintenanceWave>, StoreReadFailure>>;

  /** Write that reports the status; the caller adds it to a transaction. */
  abstract statusPut(waveId: number, status: WaveStatus): StorePut;
}
