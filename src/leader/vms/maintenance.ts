/**
 * Carries out maintenance waves. Each order is recorded in the store before it
 * is sent, so that after a change of leader the new leader repeats the order
 * and still counts the VM as down.
 */

import type {CleanupScope} from '../../lifecycle/cleanup_scope.js';
import type {Clock, SteadyTime} from '../../lifecycle/clock.js';
import {steadyNow} from '../../lifecycle/clock.js';
import type {Instant, VmId} from '../../model/ids.js';
import type {CoordinationStore} from '../../interfaces/coordination_store.js';
import {NO_REVISION} from '../../interfaces/coordination_store.js';
import type {
  MaintenanceRequests,
  MaintenanceWave,
} from '../../interfaces/maintenance_requests.js';
import {isRejection} from '../../interfaces/vm_service.js';
import type {VmOrderOutcome, VmService} from '../../interfaces/vm_service.js';
import type {LeaderLog} from '../leader_log.js';
import {planMaintenance, progressOf} from './maintenance_plan.js';
import type {
  MaintenanceOrder,
  VmProgress,
  WaveState,
} from './maintenance_plan.js';
import {PrefixFollower} from '../prefix_follower.js';
import type {WaveRecord} from '../jobs/records.js';
import {
  LEADER_KEY,
  MAINTENANCE_PREFIX,
  decodeRecord,
  maintenanceKey,
  waveRecordSchema,
} from '../jobs/records.js';
import type {Authority} from '../authority.js';
import type {VmTable} from './vm_table.js';
import type {WorkerTable} from '../workers/worker_table.js';

/** Waves take tens of seconds, so noticing one a poll late is acceptable. */
const WAVE_POLL_TIMEOUT_MS = 10_000;

/** Interval between two steps of the control loop. */
const CONTROL_INTERVAL_MS = 500;

/** An older list of VMs is fetched again before a step. */
const VM_LIST_MAX_AGE_MS = 400;

/** Delay between attempts to reach the store while it is unavailable. */
const STORE_RETRY_INTERVAL_MS = 250;

export interface MaintenanceSettings {
  /** Identifies this daemon in orders to the platform's VM service. */
  readonly holder: VmId;
  /** Duration of the maintenance of one VM, in milliseconds. */
  readonly maintenanceMs: number;
  /**
   * A restarted task counts as available after it has worked for this time, in
   * milliseconds.
   */
  readonly noticeMs: number;
  /**
   * Time after its election in which a leader sends no orders, so that orders
   * of two daemons for one VM do not overlap, in milliseconds.
   */
  readonly handoverMs: number;
}

export interface MaintenanceDependencies {
  readonly store: CoordinationStore;
  readonly vmService: VmService;
  readonly vms: VmTable;
  readonly requests: MaintenanceRequests;
  readonly clock: Clock;
  readonly log: LeaderLog;
}

interface OpenWave extends WaveState {
  record: WaveRecord;
  /** Revision of the record in the store. */
  revision: number;
  /** Time at which the platform confirmed the order for a VM. */
  readonly confirmedAt: Map<VmId, SteadyTime>;
}

export class MaintenanceController {
  private readonly waves = new Map<number, OpenWave>();
  private readonly closedSince = new Map<VmId, Instant>();
  private readonly startedAt = steadyNow();
  private isLoopRunning = false;

  constructor(
    private readonly dependencies: MaintenanceDependencies,
    private readonly settings: MaintenanceSettings,
    private readonly authority: Authority,
    private readonly table: WorkerTable,
    private readonly scope: CleanupScope,
  ) {}

  async start(): Promise<void> {
    const {requests, log} = this.dependencies;
    const follower = new PrefixFollower(
      {
        list: async () =>
          (await requests.list()).map(({waves, revision}) => ({
            state: waves,
            revision,
          })),
        watch: (revision, waitMs, signal) =>
          requests.watch(revision, waitMs, signal),
      },
      this.scope,
      (reason) => log.requestFailed('maintenance', reason),
      {waitMs: WAVE_POLL_TIMEOUT_MS},
    );
    const open = (waves: readonly MaintenanceWave[]) => {
      for (const wave of waves) void this.open(wave);
    };
    await follower.start(open, open);
  }

  /** Loads the progress that earlier leaders recorded and resumes the wave. */
  private async open(wave: MaintenanceWave): Promise<void> {
    if (this.waves.has(wave.waveId)) return;
    const key = maintenanceKey(wave.waveId);
    const item = await this.readUntilAnswered(key);
    if (item === undefined || this.waves.has(wave.waveId)) return;
    let record: WaveRecord = {
      startedAt: this.dependencies.clock.now(),
      isComplete: false,
      vms: [],
    };
    if (item.value !== '') {
      const decoded = decodeRecord(key, item.value, waveRecordSchema);
      if (decoded.isOk) record = decoded.value;
      else this.dependencies.log.unreadableRecord(decoded.error.message);
    }
    if (record.isComplete) return;
    this.waves.set(wave.waveId, {
      wave,
      record,
      revision: item.revision,
      confirmedAt: new Map(),
    });
    // An earlier leader's order may still be carried out, and is repeated.
    const ordered = vmsInState({wave, record}, 'ordered');
    for (const vmId of ordered) this.table.expectEnd(vmId);
    this.setClosedVms(new Set([...this.closedSince.keys(), ...ordered]));
    this.dependencies.log.waveStarted(wave);
    void this.runLoop();
  }

  private async readUntilAnswered(
    key: string,
  ): Promise<{value: string; revision: number} | undefined> {
    while (!this.scope.closed) {
      const item = await this.dependencies.store.get(key);
      if (item.isOk) return item.value ?? {value: '', revision: NO_REVISION};
      this.dependencies.log.requestFailed(
        MAINTENANCE_PREFIX,
        item.error.message,
      );
      await this.scope.sleep(STORE_RETRY_INTERVAL_MS);
    }
    return undefined;
  }

  private async runLoop(): Promise<void> {
    if (this.isLoopRunning) return;
    this.isLoopRunning = true;
    while (this.waves.size > 0 && !this.scope.closed) {
      const now = steadyNow();
      const mayOrder = now - this.startedAt >= this.settings.handoverMs;
      if (mayOrder && this.authority.mayAct(now)) await this.runOnce();
      await this.scope.sleep(CONTROL_INTERVAL_MS);
    }
    this.isLoopRunning = false;
  }

  private async runOnce(): Promise<void> {
    if (!(await this.dependencies.vms.refresh(VM_LIST_MAX_AGE_MS))) return;
    for (const open of [...this.waves.values()]) await this.checkProgress(open);
    const plan = planMaintenance({
      waves: [...this.waves.values()],
      vms: this.dependencies.vms.all,
      workers: this.table.workersByVm(),
      now: this.dependencies.clock.now(),
      maintenanceMs: this.settings.maintenanceMs,
      noticeMs: this.settings.noticeMs,
      closedSince: this.closedSince,
    });
    this.setClosedVms(plan.closedVms);
    for (const run of plan.stops) {
      this.dependencies.log.stopRequested(
        run,
        'the VM of its worker is due for maintenance',
      );
      this.table.stopUnit(run, 'maintenance');
    }
    for (const order of plan.orders) await this.order(order);
  }

  /**
   * Marks VMs as done that are up again or no longer listed, and completes the
   * wave once all of its VMs are done.
   */
  private async checkProgress(open: OpenWave): Promise<void> {
    const {wave} = open;
    const {vms} = this.dependencies;
    const done: VmId[] = [];
    for (const vmId of wave.vmIds) {
      const progress = progressOf(open.record, vmId);
      const vm = vms.all.get(vmId);
      if (vm === undefined && progress !== 'done') done.push(vmId);
      if (progress !== 'begun' || vm?.state !== 'up') continue;
      // A list requested before the order was confirmed may show the VM as up
      // from before its maintenance. If an earlier leader sent the order, any
      // list that this leader requested counts as newer.
      const confirmedAt = open.confirmedAt.get(vmId) ?? this.startedAt;
      if (vms.wasRequestedAfter(confirmedAt)) done.push(vmId);
    }
    if (done.length > 0) await this.write(open, done, 'done');
    const isOver = wave.vmIds.every(
      (vmId) => progressOf(open.record, vmId) === 'done',
    );
    if (isOver) await this.complete(open);
  }

  private setClosedVms(closedVms: ReadonlySet<VmId>): void {
    const now = this.dependencies.clock.now();
    for (const vmId of [...this.closedSince.keys()]) {
      if (!closedVms.has(vmId)) this.closedSince.delete(vmId);
    }
    for (const vmId of closedVms) {
      if (!this.closedSince.has(vmId)) this.closedSince.set(vmId, now);
    }
    this.table.closeVmsToNewRuns('maintenance', closedVms);
  }

  private async order({waveId, vmId}: MaintenanceOrder): Promise<void> {
    const open = this.waves.get(waveId);
    if (open === undefined) return;
    if (progressOf(open.record, vmId) === 'waiting') {
      if (!(await this.write(open, [vmId], 'ordered'))) return;
    }
    if (!this.maySend(vmId, steadyNow())) return;
    this.table.expectEnd(vmId);
    const outcome = await this.dependencies.vmService.maintain(vmId, waveId, {
      holder: this.settings.holder,
      term: this.authority.term,
    });
    if (this.scope.closed) return;
    this.dependencies.log.maintenanceRequested(waveId, vmId, outcome);
    if (isRejection(outcome)) this.table.withdrawExpectedEnd(vmId);
    await this.recordOutcome(open, vmId, outcome);
  }

  /** False if the order is no longer right; it is then planned again. */
  private maySend(vmId: VmId, now: SteadyTime): boolean {
    const worker = this.table.workersByVm().get(vmId);
    return this.authority.mayAct(now) && (worker?.runs.size ?? 0) === 0;
  }

  private async recordOutcome(
    open: OpenWave,
    vmId: VmId,
    outcome: VmOrderOutcome,
  ): Promise<void> {
    switch (outcome.kind) {
      case 'done':
        open.confirmedAt.set(vmId, steadyNow());
        await this.write(open, [vmId], 'begun');
        return;
      case 'superseded':
        this.authority.leadershipLost('the VM service has seen a higher term');
        return;
      case 'notRequested':
      case 'impossible':
        await this.write(open, [vmId], 'done');
        return;
      case 'busy':
      case 'refused':
      case 'unknown':
        // The VM stays `ordered`: it counts as down and the order is repeated.
        return;
    }
  }

  private async complete(open: OpenWave): Promise<void> {
    const {waveId} = open.wave;
    if (!(await this.write(open, [], 'done', true))) return;
    this.waves.delete(waveId);
    this.dependencies.log.waveComplete(waveId);
    if (this.waves.size === 0) this.setClosedVms(new Set());
  }

  /**
   * Stores the wave's record and the status that operators see, in one
   * transaction. Returns false if this daemon lost its leadership or is
   * closing.
   */
  private async write(
    open: OpenWave,
    vmIds: readonly VmId[],
    progress: VmProgress,
    isComplete = false,
  ): Promise<boolean> {
    const {store, requests, log} = this.dependencies;
    const {waveId} = open.wave;
    const record: WaveRecord = {
      startedAt: open.record.startedAt,
      isComplete,
      vms: [
        ...open.record.vms.filter(({vmId}) => !vmIds.includes(vmId)),
        ...vmIds.map((vmId) => ({vmId, progress})),
      ],
    };
    const key = maintenanceKey(waveId);
    const value = JSON.stringify(record);
    while (!this.scope.closed) {
      const outcome = await store.transact({
        conditions: [
          {key: LEADER_KEY, revision: this.authority.leaderRevision},
          {key, revision: open.revision},
        ],
        puts: [
          {key, value},
          requests.statusPut(waveId, isComplete ? 'complete' : 'running'),
        ],
        removals: [],
      });
      if (outcome.isErr) {
        log.commitDelayed(outcome.error.message);
        await this.scope.sleep(STORE_RETRY_INTERVAL_MS);
        continue;
      }
      if (outcome.value.kind === 'committed') {
        open.revision = outcome.value.revision;
        open.record = record;
        return true;
      }
      const stored = outcome.value.items.find((item) => item.key === key);
      const leader = outcome.value.items.find(
        (item) => item.key === LEADER_KEY,
      );
      if (leader?.revision !== this.authority.leaderRevision) {
        this.authority.leadershipLost('another leader holds the key');
        return false;
      }
      // An earlier attempt whose answer was lost may have been committed.
      open.revision = stored?.revision ?? NO_REVISION;
      if (stored?.value === value) {
        open.record = record;
        return true;
      }
    }
    return false;
  }
}

function vmsInState({wave, record}: WaveState, progress: VmProgress): VmId[] {
  return wave.vmIds.filter((vmId) => progressOf(record, vmId) === progress);
}
