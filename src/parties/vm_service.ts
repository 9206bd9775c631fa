/**
 * The platform's service for the VMs that workers live on. A VM belongs to a
 * pool; a worker is one life of its VM. Orders carry a fencing token, which the
 * service checks for each VM by itself.
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
  /** Undefined while no worker lives on the VM. */
  readonly workerId: WorkerId | undefined;
}

/** Who gives an order, as the service's fence sees it. */
export interface OrderAuthority {
  /** Name of the daemon that orders. */
  readonly holder: VmId;
  readonly term: number;
}

/**
 * - `done`: carried out now, or by an earlier call;
 * - `busy`: the VM is not up, or leaves; nothing was done;
 * - `notRequested`: the wave does not name the VM;
 * - `impossible`: there is no such VM, or the pool takes other VMs;
 * - `superseded`: the service has seen a higher term;
 * - `refused`: too many calls, nothing was done;
 * - `unknown`: no answer; the order may be carried out, also seconds later.
 */
export type VmOrderOutcome =
  | {
      readonly kind:
        'done' | 'busy' | 'notRequested' | 'impossible' | 'superseded';
    }
  | {readonly kind: 'refused' | 'unknown'; readonly detail: string};

export type VmListFailure =
  RefusedError | TimeoutError | UnavailableError | ProtocolError;

/** Implementations do not retry. */
export abstract class VmService {
  abstract list(): Promise<Result<readonly WorkerVm[], VmListFailure>>;

  /** Ends what runs on the VM and puts it into another pool. */
  abstract move(
    vmId: VmId,
    poolId: ServiceId,
    authority: OrderAuthority,
  ): Promise<VmOrderOutcome>;

  /** Ends what runs on the VM and begins its maintenance in the wave. */
  abstract maintain(
    vmId: VmId,
    waveId: number,
    authority: OrderAuthority,
  ): Promise<VmOrderOutcome>;
}
