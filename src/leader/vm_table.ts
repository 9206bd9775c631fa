/**
 * The VMs of workers as the platform's service last listed them. Readings are
 * limited for the whole site, so controllers share one table.
 */

import type {SteadyTime} from '../lifecycle/clock.js';
import {steadyNow} from '../lifecycle/clock.js';
import type {VmId} from '../model/ids.js';
import type {VmService, WorkerVm} from '../parties/vm_service.js';
import type {LeaderLog} from './leader_log.js';

export class VmTable {
  private vms: ReadonlyMap<VmId, WorkerVm> = new Map();
  private askedAt: SteadyTime | undefined;
  private isFailing = false;

  constructor(
    private readonly service: VmService,
    private readonly log: LeaderLog,
  ) {}

  get all(): ReadonlyMap<VmId, WorkerVm> {
    return this.vms;
  }

  /** True if the list was asked for after `time`. */
  isNewerThan(time: SteadyTime): boolean {
    return this.askedAt !== undefined && this.askedAt > time;
  }

  /** Reads the list unless it is younger; false if it could not be read. */
  async refresh(maximumAgeMs: number): Promise<boolean> {
    const now = steadyNow();
    if (this.askedAt !== undefined && now - this.askedAt < maximumAgeMs) {
      return true;
    }
    const listed = await this.service.list();
    if (listed.isErr) {
      if (!this.isFailing) this.log.vmListFailed(listed.error.message);
      this.isFailing = true;
      return false;
    }
    this.isFailing = false;
    this.vms = new Map(listed.value.map((vm) => [vm.vmId, vm]));
    this.askedAt = now;
    return true;
  }
}
