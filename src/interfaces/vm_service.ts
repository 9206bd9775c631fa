/**
 * Client interface to the platform's service for the VMs that host workers. A
 * VM belongs to a pool, and a worker ends when its VM goes down. Orders carry a
 * fencing token, which the service checks per VM.
 */

import type {Result} from 'true-myth';
import type {
  RefusedError,
  TimeoutError,
  UnavailableError,
  ProtocolError,
} from '../model/errors.js';
import type {
  AvailabilityZone,
  ServiceId,
  VmId,
  WorkerId,
} from '../model/ids.js';
import type {TaskShape} from '../model/submissions.js';

/** `maintenance`: down for its maintenance; `moving`: between two pools. */
export type WorkerVmState = 'up' | 'moving' | 'maintenance' | 'down';

export interface WorkerVm {
  readonly vmId: VmId;
  /** Service to whose pool the VM belongs. */
  readonly poolId: ServiceId;
  readonly state: WorkerVmState;
  readonly zone: AvailabilityZone;
  readonly labels: ReadonlySet<string>;
  readonly capacity: TaskShape;
  /** Undefined while no worker runs on the VM. */
  readonly workerId: WorkerId | undefined;
}

/** Issuer of an order, for the service's fencing check. */
export interface OrderAuthority {
  /** VM of the daemon that issues the order. */
  readonly holder: VmId;
  readonly term: number;
}

/**
 * - `done`: carried out by this or an earlier call;
 * - `busy`: the VM is not up or is leaving; nothing was done;
 * - `notRequested`: the wave does not include the VM;
 * - `impossible`: the VM does not exist, or the pool does not accept it;
 * - `superseded`: the service has seen a higher term;
 * - `refused`: too many calls or service unavailable; nothing was done;
 * - `unknown`: no answer; the order may take effect, possibly seconds later.
 */
export type VmOrderOutcome =
  | {
      readonly kind:
        'done' | 'busy' | 'notRequested' | 'impossible' | 'superseded';
    }
  | {readonly kind: 'refused' | 'unknown'; readonly detail: string};

/** True if the service did nothing and will do nothing because of the order. */
export function isRejection({kind}: VmOrderOutcome): boolean {
  switch (kind) {
    case 'busy':
    case 'notRequested':
    case 'impossible':
    case 'refused':
      return true;
    case 'done':
    case 'superseded':
    case 'unknown':
      return false;
  }
}

export type VmListFailure =
  RefusedError | TimeoutError | UnavailableError | ProtocolError;

/** Implementations do not retry. */
export abstract class VmService {
  abstract list(): Promise<Result<readonly WorkerVm[], VmListFailure>>;

  /** Stops everything on the VM and moves it to another pool. */
  abstract move(
    vmId: VmId,
    poolId: ServiceId,
    authority: OrderAuthority,
  ): Promise<VmOrderOutcome>;

  /** Stops everything on the VM and starts its maintenance for the wave. */
  abstract maintain(
    vmId: VmId,
    waveId: number,
    authority: OrderAuthority,
  ): Promise<VmOrderOutcome>;
}
