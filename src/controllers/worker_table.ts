/**
 * The workers of a zone during one term as scheduler: their VMs, their latest
 * task lists, and the state reported to the planner.
 */

import type PQueue from 'p-queue';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {Clock} from '../lifecycle/clock.js';
import type {RandomSource} from '../lifecycle/random.js';
import type {GangId, Instant, VmId} from '../model/ids.js';
import type {TaskList, TaskStatus} from '../model/jobs.js';
import type {WorkerVm} from '../interfaces/vm_list.js';
import type {WorkerClient} from '../interfaces/worker_client.js';
import {occupiesAccelerators} from '../scheduling/gang_adoption.js';
import type {PlannedWorker, ZonePlanner} from '../scheduling/zone_planner.js';
import {WorkerWatcher} from './worker_watcher.js';
import type {ZoneControllerOptions, ZoneListener} from './zone_options.js';

interface WorkerEntry {
  vm: WorkerVm;
  readonly watcher: WorkerWatcher;
  readonly scope: CleanupScope;
  state: 'unread' | 'read' | 'lost';
  list: TaskList | undefined;
  /** The state last reported to the planner. */
  planned: PlannedWorker | undefined;
  leavingSince: Instant | undefined;
}

export interface WorkerTableDependencies {
  readonly client: WorkerClient;
  readonly queue: PQueue;
  readonly planner: ZonePlanner;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly options: ZoneControllerOptions;
  readonly listener: ZoneListener;
  readonly scope: CleanupScope;
}

export interface WorkerTableListener {
  /** `changed`: the tasks or the worker's state differ from the last list. */
  handleList(list: TaskList, requestedAt: Instant, changed: boolean): void;
  workerLost(workerId: VmId): void;
  /** True if this scheduler is starting, monitoring or stopping the gang. */
  isManaged(gangId: GangId): boolean;
}

export class WorkerTable {
  private readonly workers = new Map<VmId, WorkerEntry>();
  private vmListReceived = false;

  constructor(
    private readonly dependencies: WorkerTableDependencies,
    private readonly listener: WorkerTableListener,
  ) {}

  /** Applies the complete list of the zone's workers. */
  setVms(vms: readonly WorkerVm[]): void {
    this.vmListReceived = true;
    const present = new Map(vms.map((vm) => [vm.vmId, vm]));
    for (const workerId of [...this.workers.keys()]) {
      const vm = present.get(workerId);
      if (vm === undefined || vm.state === 'gone') this.removeVm(workerId);
    }
    for (const vm of vms) {
      if (vm.state !== 'gone') this.setVm(vm);
    }
  }

  /** True if the VM list is known and every worker was read or is lost. */
  get allRead(): boolean {
    return this.vmListReceived && this.unreadCount === 0;
  }

  /** True once the VM list has been received. */
  get vmsKnown(): boolean {
    return this.vmListReceived;
  }

  get unreadCount(): number {
    return this.countIn('unread');
  }

  get readCount(): number {
    return this.countIn('read');
  }

  isUnread(workerId: VmId): boolean {
    return this.workers.get(workerId)?.state === 'unread';
  }

  /** Undefined for a worker that is lost or unknown. */
  vm(workerId: VmId): WorkerVm | undefined {
    const entry = this.workers.get(workerId);
    return entry?.state === 'lost' ? undefined : entry?.vm;
  }

  lists(): readonly TaskList[] {
    return [...this.workers.values()].flatMap((entry) => entry.list ?? []);
  }

  /** Drops tasks from the cached lists that were removed since the read. */
  dropTasks(removed: (task: TaskStatus) => boolean): void {
    for (const entry of this.workers.values()) {
      if (entry.list === undefined || !entry.list.tasks.some(removed)) continue;
      const tasks = entry.list.tasks.filter((task) => !removed(task));
      entry.list = {...entry.list, tasks};
    }
  }

  /** Leaving workers, each with the time at which that was first observed. */
  leavingWorkers(): ReadonlyArray<{workerId: VmId; since: Instant}> {
    return [...this.workers.values()].flatMap((entry) =>
      entry.leavingSince === undefined
        ? []
        : [{workerId: entry.vm.vmId, since: entry.leavingSince}],
    );
  }

  /** Reports changed workers to the planner. */
  updatePlanner(now: Instant): void {
    for (const entry of this.workers.values()) {
      if (entry.state !== 'read') continue;
      const planned = this.plannedWorker(entry);
      if (isSameWorker(planned, entry.planned)) continue;
      entry.planned = planned;
      this.dependencies.planner.setWorker(planned, now);
    }
  }

  private countIn(state: WorkerEntry['state']): number {
    return [...this.workers.values()].filter((entry) => entry.state === state)
      .length;
  }

  private setVm(vm: WorkerVm): void {
    const known = this.workers.get(vm.vmId);
    const entry = known ?? this.addVm(vm);
    entry.vm = vm;
    entry.watcher.update(vm);
    this.markLeaving(entry, vm.state === 'leaving');
  }

  private addVm(vm: WorkerVm): WorkerEntry {
    const {client, clock, random, options, queue} = this.dependencies;
    const scope = this.dependencies.scope.child();
    const watcher = new WorkerWatcher(
      vm,
      {
        client,
        clock,
        random,
        options,
        listener: {
          handleList: (id, list, at) => this.handleList(id, list, at),
          unresponsive: (id) => this.markLost(id, 'silent'),
        },
        runLimited: async (call) => await queue.add(call),
      },
      scope,
    );
    const entry: WorkerEntry = {
      vm,
      watcher,
      scope,
      state: 'unread',
      list: undefined,
      planned: undefined,
      leavingSince: undefined,
    };
    this.workers.set(vm.vmId, entry);
    void watcher.run();
    return entry;
  }

  private removeVm(workerId: VmId): void {
    const entry = this.workers.get(workerId);
    if (entry === undefined) return;
    void entry.scope.close();
    this.markLost(workerId, 'gone');
    this.workers.delete(workerId);
  }

  private markLost(workerId: VmId, cause: 'gone' | 'silent'): void {
    const entry = this.workers.get(workerId);
    if (entry === undefined || entry.state === 'lost') return;
    entry.state = 'lost';
    entry.list = undefined;
    entry.planned = undefined;
    this.dependencies.planner.removeWorker(
      workerId,
      this.dependencies.clock.now(),
    );
    this.dependencies.listener.zoneEvent({kind: 'workerLost', workerId, cause});
    this.listener.workerLost(workerId);
  }

  private handleList(
    workerId: VmId,
    list: TaskList,
    requestedAt: Instant,
  ): void {
    const entry = this.workers.get(workerId);
    if (entry === undefined) return;
    if (entry.state === 'lost') {
      this.dependencies.listener.zoneEvent({kind: 'workerReturned', workerId});
    }
    const changed =
      entry.state !== 'read' ||
      entry.list?.tasks !== list.tasks ||
      entry.list.leaving !== list.leaving;
    entry.state = 'read';
    entry.list = list;
    this.markLeaving(entry, list.leaving);
    this.listener.handleList(list, requestedAt, changed);
  }

  private markLeaving(entry: WorkerEntry, leaving: boolean): void {
    if (leaving) entry.leavingSince ??= this.dependencies.clock.now();
  }

  /**
   * A worker with a task that this scheduler does not manage accepts no new
   * task until that task is adopted or removed.
   */
  private plannedWorker(entry: WorkerEntry): PlannedWorker {
    const {vmId, rackId, rackPosition, accelerators} = entry.vm;
    const tasks = entry.list?.tasks ?? [];
    const hasForeignTask = tasks.some(
      (task) =>
        occupiesAccelerators(task) && !this.listener.isManaged(task.gangId),
    );
    return {
      workerId: vmId,
      rackId,
      rackPosition,
      accelerators,
      acceptsTasks: entry.leavingSince === undefined && !hasForeignTask,
    };
  }
}

function isSameWorker(first: PlannedWorker, second?: PlannedWorker): boolean {
  return (
    second !== undefined &&
    first.rackId === second.rackId &&
    first.rackPosition === second.rackPosition &&
    first.accelerators === second.accelerators &&
    first.acceptsTasks === second.acceptsTasks
  );
}
