/**
 * The platform's list of live and leaving VMs. The list is seconds behind the
 * actual state.
 */

import type {Result} from 'true-myth';
import {z} from 'zod';
import type {
  ProtocolError,
  RefusedError,
  UnavailableError,
} from '../model/errors.js';
import {
  availabilityZoneSchema,
  rackIdSchema,
  vmIdSchema,
} from '../model/ids.js';

/** IP address and port, for example `10.0.0.1:7000`. */
export const addressSchema = z
  .string()
  .regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/, {
    error: 'write an IP number and a port, for example 10.0.0.1:7000',
  });

const commonVmFields = {
  vmId: vmIdSchema,
  availabilityZone: availabilityZoneSchema,
  address: addressSchema,
  state: z.enum(['live', 'leaving', 'gone']),
};

export const vmSchema = z.discriminatedUnion('role', [
  z.object({role: z.literal('entry'), ...commonVmFields}),
  z.object({
    role: z.literal('worker'),
    ...commonVmFields,
    rackId: rackIdSchema,
    /** Position in the rack, 0 to 7; consecutive positions are adjacent. */
    rackPosition: z.int().min(0).max(7),
    accelerators: z.int().min(0).max(8),
  }),
  z.object({
    role: z.literal('minion'),
    ...commonVmFields,
    /** Maximum number of concurrent requests. */
    slots: z.int().min(1),
    /** Maximum number of connections that it accepts. */
    connections: z.int().min(1),
  }),
]);
/** One VM; `address` of an entry VM is its peer address. */
export type Vm = z.infer<typeof vmSchema>;
export type EntryVm = Extract<Vm, {role: 'entry'}>;
export type WorkerVm = Extract<Vm, {role: 'worker'}>;
export type MinionVm = Extract<Vm, {role: 'minion'}>;

export interface VmListBatch {
  /** Pass as `afterVersion` to the next watch. */
  readonly version: number;
  /** Changed VMs, or all VMs if `complete`. */
  readonly vms: readonly Vm[];
  readonly complete: boolean;
}

export abstract class VmList {
  /**
   * Waits at most `waitMs` for changes after a version. `afterVersion` 0
   * returns the complete list immediately.
   */
  abstract watch(
    afterVersion: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<
    Result<VmListBatch, UnavailableError | RefusedError | ProtocolError>
  >;
}
