/**
 * State of the stand-in for the VM list: each VM with the version of its last
 * change. Removed VMs are kept as `gone`, so that watches report the removal.
 */

import type {VmId} from '../model/ids.js';
import type {Vm, VmListBatch} from '../interfaces/vm_list.js';

/** Above 0, so that a watch from version 0 returns immediately. */
const FIRST_VERSION = 1;

export class VmListState {
  private readonly entries = new Map<VmId, {vm: Vm; version: number}>();
  private version = FIRST_VERSION;

  set(vm: Vm): void {
    this.version += 1;
    this.entries.set(vm.vmId, {vm, version: this.version});
  }

  remove(vmId: VmId): void {
    const entry = this.entries.get(vmId);
    if (entry !== undefined) this.set({...entry.vm, state: 'gone'});
  }

  /**
   * Returns the changes after a version, or undefined if there are none. An
   * unknown version gets the complete list.
   */
  changesAfter(afterVersion: number): VmListBatch | undefined {
    const {version} = this;
    if (afterVersion < FIRST_VERSION || afterVersion > version) {
      return {version, vms: this.presentVms(), complete: true};
    }
    if (afterVersion === version) return undefined;
    const vms = [...this.entries.values()]
      .filter((known) => known.version > afterVersion)
      .map((known) => known.vm);
    return {version, vms, complete: false};
  }

  /** Result of a watch that timed out without a change. */
  unchangedBatch(): VmListBatch {
    return {version: this.version, vms: [], complete: false};
  }

  private presentVms(): Vm[] {
    return [...this.entries.values()]
      .map((known) => known.vm)
      .filter((vm) => vm.state !== 'gone');
  }
}
