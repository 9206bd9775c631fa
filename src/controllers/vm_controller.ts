/**
 * Maintains the VMs of the site, from the platform's VM list and from VMs that
 * report that they are leaving. The last list stays in use while the platform
 * is unreachable.
 */

import {Backoff} from '../lifecycle/backoff.js';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {RandomSource} from '../lifecycle/random.js';
import type {AvailabilityZone, VmId} from '../model/ids.js';
import type {
  EntryVm,
  MinionVm,
  Vm,
  VmList,
  VmListBatch,
  WorkerVm,
} from '../interfaces/vm_list.js';
import {Listeners} from './listeners.js';
import type {Listener, LogFunction} from './listeners.js';

const DEFAULT_WATCH_WAIT_MS = 30_000;
/** Added to the wait time of a watch before the call is aborted. */
const WATCH_MARGIN_MS = 5_000;
/**
 * Upper bound of the random pause after a watch without a change. The pause
 * bounds the call rate if the platform answers without waiting.
 */
const MAXIMUM_IDLE_PAUSE_MS = 100;

/** VMs that were added or changed, and VMs that were removed. */
export interface VmsChanged {
  readonly changed: readonly Vm[];
  readonly removed: readonly Vm[];
}

export interface VmControllerOptions {
  readonly vmList: VmList;
  readonly random: RandomSource;
  readonly scope: CleanupScope;
  readonly log: LogFunction;
  readonly watchWaitMs?: number;
}

export class VmController {
  /** State that the platform last reported, without VMs that are gone. */
  private readonly listed = new Map<VmId, Vm>();
  /** VMs that reported that they are leaving. */
  private readonly selfReportedLeaving = new Set<VmId>();
  /** Caches, because requests read far more often than VMs change. */
  private allVms: readonly Vm[] | undefined;
  private readonly views = new Map<string, readonly Vm[]>();
  private readonly changes = new Listeners<VmsChanged>();
  private listReceived = false;

  constructor(private readonly options: VmControllerOptions) {}

  /** True once the platform's list has been received. */
  get loaded(): boolean {
    return this.listReceived;
  }

  /** Watches the list until the scope closes. */
  start(): void {
    void this.follow();
  }

  onChange(listener: Listener<VmsChanged>): () => void {
    return this.changes.add(listener);
  }

  /** Returns the VM, or undefined if it is gone or was never listed. */
  vm(vmId: VmId): Vm | undefined {
    const vm = this.listed.get(vmId);
    if (!vm || vm.state === 'leaving') return vm;
    return this.selfReportedLeaving.has(vmId) ? {...vm, state: 'leaving'} : vm;
  }

  /** All VMs that are live or leaving. */
  vms(): readonly Vm[] {
    this.allVms ??= [...this.listed.keys()].flatMap(
      (vmId) => this.vm(vmId) ?? [],
    );
    return this.allVms;
  }

  /** Workers of a zone that are live or leaving. */
  workers(zone: AvailabilityZone): readonly WorkerVm[] {
    return this.view('worker', zone) as readonly WorkerVm[];
  }

  /** Minions of a zone that are live or leaving. */
  minions(zone: AvailabilityZone): readonly MinionVm[] {
    return this.view('minion', zone) as readonly MinionVm[];
  }

  /** Entry VMs of all zones that are live or leaving. */
  entryVms(): readonly EntryVm[] {
    return this.view('entry') as readonly EntryVm[];
  }

  /**
   * Records that a worker or minion reported that it is leaving. This takes
   * precedence over the lagging VM list until the VM is gone.
   */
  markLeaving(vmId: VmId): void {
    const before = this.vm(vmId);
    if (!before || before.state === 'leaving') return;
    this.selfReportedLeaving.add(vmId);
    this.clearViews();
    const vm = this.vm(vmId) ?? before;
    this.options.log(`[vms] ${vmId} reported that it is leaving`);
    this.changes.emit({changed: [vm], removed: []});
  }

  private view(role: Vm['role'], zone?: AvailabilityZone): readonly Vm[] {
    const key = `${role} ${zone ?? ''}`;
    let view = this.views.get(key);
    if (!view) {
      view = this.vms().filter(
        (vm) =>
          vm.role === role &&
          (zone === undefined || vm.availabilityZone === zone),
      );
      this.views.set(key, view);
    }
    return view;
  }

  private clearViews(): void {
    this.allVms = undefined;
    this.views.clear();
  }

  private async follow(): Promise<void> {
    const {scope, random, log} = this.options;
    const backoff = new Backoff(random);
    let version = 0;
    while (!scope.closed) {
      const batch = await this.watchOnce(version);
      if (scope.closed) return;
      if (batch.isErr) {
        log(
          `[vms] cannot watch the VM list, keeping the last one: ${batch.error.message}`,
        );
        await scope.sleep(backoff.nextWaitMs());
        continue;
      }
      backoff.reset();
      // A lower version means that the platform restarted its version count.
      const restarted = batch.value.version < version && !batch.value.complete;
      version = restarted ? 0 : batch.value.version;
      if (!restarted) this.applyBatch(batch.value);
      if (batch.value.vms.length === 0) {
        await scope.sleep(random.next() * MAXIMUM_IDLE_PAUSE_MS);
      }
    }
  }

  private watchOnce(version: number): ReturnType<VmList['watch']> {
    const waitMs = this.options.watchWaitMs ?? DEFAULT_WATCH_WAIT_MS;
    return this.options.vmList.watch(
      version,
      waitMs,
      AbortSignal.any([
        this.options.scope.signal,
        AbortSignal.timeout(waitMs + WATCH_MARGIN_MS),
      ]),
    );
  }

  private applyBatch(batch: VmListBatch): void {
    const first = !this.listReceived;
    this.listReceived = true;
    this.clearViews();
    const changed: Vm[] = [];
    const removed = batch.complete ? this.removeUnlisted(batch.vms) : [];
    for (const vm of batch.vms) {
      const before = this.vm(vm.vmId);
      if (vm.state === 'gone') {
        if (before) removed.push(this.remove(before));
        continue;
      }
      this.listed.set(vm.vmId, vm);
      const after = this.vm(vm.vmId);
      if (after && !isSameVm(before, after)) changed.push(after);
    }
    this.clearViews();
    if (first || changed.length > 0 || removed.length > 0) {
      this.changes.emit({changed, removed});
    }
  }

  private removeUnlisted(vms: readonly Vm[]): Vm[] {
    const kept = new Set(vms.map(({vmId}) => vmId));
    return this.vms()
      .filter(({vmId}) => !kept.has(vmId))
      .map((vm) => this.remove(vm));
  }

  private remove(vm: Vm): Vm {
    this.listed.delete(vm.vmId);
    this.selfReportedLeaving.delete(vm.vmId);
    return {...vm, state: 'gone'};
  }
}

function isSameVm(before: Vm | undefined, after: Vm): boolean {
  return JSON.stringify(before) === JSON.stringify(after);
}
