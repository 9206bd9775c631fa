/**
 * Caches the platform's latest list of worker VMs. The platform limits the rate
 * of list calls for the whole site, so all controllers share one table.
 */

import type {SteadyTime} from '../../lifecycle/clock.js';
import {steadyNow} from '../../lifecycle/clock.js';
import type {VmId} from '../../model/ids.js';
import type {VmService, WorkerVm} from '../../interfaces/vm_service.js';
import type {LeaderLog} from '../leader_log.js';

export class VmTable {
  private vms: ReadonlyMap<VmId, WorkerVm> = new Map();
  private requestedAt: SteadyTime | undefined;
  private isListFailing = false;

  constructor(
    private readonly service: VmService,
    private readonly log: LeaderLog,
  ) {}

  get all(): ReadonlyMap<VmId, WorkerVm> {
    return this.vms;
  }

  /** True if the cached list was requested after `time`. */
  wasRequestedAfter(time: SteadyTime): boolean {
    return this.requestedAt !== undefined && this.requestedAt > time;
  }

  /**
   * Fetches the list unless the cached one is younger than `maximumAgeMs`.
   * Returns false if the call failed.
   */
  async refresh(maximumAgeMs: number): Promise<boolean> {
    const now = steadyNow();
    if (
      this.requestedAt !== undefined &&
      now - this.requestedAt < maximumAgeMs
    ) {
      return true;
    }
    const listed = await this.service.list();
    if (listed.isErr) {
      if (!this.isListFailing) this.log.vmListFailed(listed.error.message);
      this.isListFailing = true;
      return false;
    }
    this.isListFailing = false;
    this.vms = new Map(listed.value.map((vm) => [vm.vmId, vm]));
    this.requestedAt = now;
    return true;
  }
}
