/**
 * Waves of maintenance that the operators ask for. Each wave names VMs; every
 * one of them has its maintenance once, and few of them at a time.
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
  /** Time in which the whole wave should be over, in milliseconds. */
  readonly durationMs: number;
  /** Most VMs of the wave that may be down for it at the same time. */
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

  /** The write that tells the operators, for a transaction of the caller. */
  abstract statusPut(waveId: number, status: WaveStatus): StorePut;
}
