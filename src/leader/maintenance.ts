/**
 * Carries out waves of maintenance: records each step before it is ordered, so
 * that the next leader repeats an order instead of losing count of the VMs
 * that are down.
 */

import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {Clock, SteadyTime} from '../lifecycle/clock.js';
import {steadyNow} from '../lifecycle/clock.js';
import type {Instant, VmId} from '../model/ids.js';
import type {CoordinationStore} from '../parties/coordination_store.js';
import {NO_REVISION} from '../parties/coordination_store.js';
import type {
  MaintenanceRequests,
  MaintenanceWave,
} from '../parties/maintenance_requests.js';
import type {VmOrderOutcome, VmService} from '../parties/vm_service.js';
import type {LeaderLog} from './leader_log.js';
import {planMaintenance, progressOf} from './maintenance_plan.js';
import type {
  MaintenanceOrder,
  VmProgress,
  WaveState,
} from './maintenance_plan.js';
import {PrefixFollower} from './prefix_follower.js';
import type {WaveRecord} from './records.js';
import {
  LEADER_KEY,
  MAINTENANCE_PREFIX,
  decodeRecord,
  maintenanceKey,
  waveRecordSchema,
} from './records.js';
import type {Authority} from './session.js';
import type {VmTable} from './vm_table.js';
import type {WorkerTable} from './worker_table.js';

/** Waves take tens of seconds; a wave is noticed at its next poll. */
const WAVE_POLL_MS = 10_000;

/** How often a wave is moved on. */
const STEP_MS = 500;

/** A list of VMs that is this old is read again. */
const LIST_AGE_MS = 400;

/** Wait between attempts to write while the store does not answer. */
const RETRY_MS = 250;

export interface MaintenanceSettings {
  /** Name of this daemon towards the platform's service. */
  readonly holder: VmId;
  /** Time that one maintenance takes, in milliseconds. */
  readonly maintenanceMs: number;
  /** After this time at work a task counts as back, in milliseconds. */
  readonly noticeMs: number;
  /**
   * A new leader orders nothing for this time, so that two daemons do not take
   * turns at one VM, in milliseconds.
   */
  readonly handoverMs: number;
}

export interface MaintenanceParties {
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
  /** Confirmed orders, with the time of the answer. */
  readonly begunAt: Map<VmId, SteadyTime>;
}

export class MaintenanceController {
  private readonly waves = new Map<number, OpenWave>();
  private readonly closedSince = new Map<VmId, Instant>();
  private readonly startedAt = steadyNow();
  private isRunning = false;

  constructor(
    private readonly parties: MaintenanceParties,
    private readonly settings: MaintenanceSettings,
    private readonly authority: Authority,
    private readonly table: WorkerTable,
    private readonly scope: CleanupScope,
  ) {}

  async start(): Promise<void> {
    const {requests, log} = this.parties;
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
      WAVE_POLL_MS,
    );
    const open = (waves: readonly MaintenanceWave[]) => {
      for (const wave of waves) void this.open(wave);
    };
    await follower.start(open, open);
  }

  /** Reads what earlier leaders did in the wave, then moves it on. */
  private async open(wave: MaintenanceWave): Promise<void> {
    if (this.waves.has(wave.waveId)) return;
    const key = maintenanceKey(wave.waveId);
    const item = await this.read(key);
    if (item === undefined || this.waves.has(wave.waveId)) return;
    let record: WaveRecord = {
      startedAt: this.parties.clock.now(),
      isComplete: false,
      vms: [],
    };
    if (item.value !== '') {
      const decoded = decodeRecord(key, item.value, waveRecordSchema);
      if (decoded.isOk) record = decoded.value;
      else this.parties.log.unreadableRecord(decoded.error.message);
    }
    if (record.isComplete) return;
    this.waves.set(wave.waveId, {
      wave,
      record,
      revision: item.revision,
      begunAt: new Map(),
    });
    this.parties.log.waveStarted(wave);
    void this.run();
  }

  private async read(
    key: string,
  ): Promise<{value: string; revision: number} | undefined> {
    while (!this.scope.closed) {
      const item = await this.parties.store.get(key);
      if (item.isOk) return item.value ?? {value: '', revision: NO_REVISION};
      this.parties.log.requestFailed(MAINTENANCE_PREFIX, item.error.message);
      await this.scope.sleep(RETRY_MS);
    }
    return undefined;
  }

  private async run(): Promise<void> {
    if (this.isRunning) return;
    this.isRunning = true;
    while (this.waves.size > 0 && !this.scope.closed) {
      const now = steadyNow();
      const mayOrder = now - this.startedAt >= this.settings.handoverMs;
      if (mayOrder && this.authority.mayAct(now)) await this.step();
      await this.scope.sleep(STEP_MS);
    }
    this.isRunning = false;
  }

  private async step(): Promise<void> {
    if (!(await this.parties.vms.refresh(LIST_AGE_MS))) return;
    for (const open of [...this.waves.values()]) await this.takeNote(open);
    const plan = planMaintenance({
      waves: [...this.waves.values()],
      vms: this.parties.vms.all,
      workers: this.table.workersByVm(),
      now: this.parties.clock.now(),
      maintenanceMs: this.settings.maintenanceMs,
      noticeMs: this.settings.noticeMs,
      closedSince: this.closedSince,
    });
    this.close(plan.closed);
    for (const run of plan.stops) {
      this.parties.log.stopRequested(
        run,
        'the VM of its worker has maintenance',
      );
      this.table.stopUnit(run);
    }
    const repeated = [...this.waves.values()].flatMap((open) =>
      vmsWith(open, 'ordered').map((vmId) => ({
        waveId: open.wave.waveId,
        vmId,
      })),
    );
    for (const order of [...repeated, ...plan.orders]) await this.order(order);
  }

  /** Finds VMs that came back or are gone, and the end of the wave. */
  private async takeNote(open: OpenWave): Promise<void> {
    const {wave} = open;
    const {vms} = this.parties;
    const done: VmId[] = [];
    for (const vmId of wave.vmIds) {
      const progress = progressOf(open.record, vmId);
      const vm = vms.all.get(vmId);
      if (vm === undefined && progress !== 'done') done.push(vmId);
      if (progress !== 'begun' || vm?.state !== 'up') continue;
      // A list that was asked for before the answer shows an older state. A
      // leader that did not order itself trusts its first list.
      const begunAt = open.begunAt.get(vmId) ?? this.startedAt;
      if (vms.isNewerThan(begunAt)) done.push(vmId);
    }
    if (done.length > 0) await this.write(open, done, 'done');
    const isOver = wave.vmIds.every(
      (vmId) => progressOf(open.record, vmId) === 'done',
    );
    if (isOver) await this.complete(open);
  }

  private close(closed: ReadonlySet<VmId>): void {
    const now = this.parties.clock.now();
    for (const vmId of [...this.closedSince.keys()]) {
      if (!closed.has(vmId)) this.closedSince.delete(vmId);
    }
    for (const vmId of closed) {
      if (!this.closedSince.has(vmId)) this.closedSince.set(vmId, now);
    }
    this.table.closeVmsToNewRuns('maintenance', closed);
  }

  private async order({waveId, vmId}: MaintenanceOrder): Promise<void> {
    const open = this.waves.get(waveId);
    if (open === undefined) return;
    if (progressOf(open.record, vmId) === 'waiting') {
      if (!(await this.write(open, [vmId], 'ordered'))) return;
    }
    if (!this.authority.mayAct(steadyNow())) return;
    const outcome = await this.parties.vmService.maintain(vmId, waveId, {
      holder: this.settings.holder,
      term: this.authority.term,
    });
    if (this.scope.closed) return;
    this.parties.log.maintenanceRequested(waveId, vmId, outcome);
    await this.answered(open, vmId, outcome);
  }

  private async answered(
    open: OpenWave,
    vmId: VmId,
    outcome: VmOrderOutcome,
  ): Promise<void> {
    switch (outcome.kind) {
      case 'done':
        open.begunAt.set(vmId, steadyNow());
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
        // Stays ordered, so that it counts as down, and is ordered again.
        return;
    }
  }

  private async complete(open: OpenWave): Promise<void> {
    const {waveId} = open.wave;
    if (!(await this.write(open, [], 'done', true))) return;
    this.waves.delete(waveId);
    this.parties.log.waveComplete(waveId);
    if (this.waves.size === 0) this.close(new Set());
  }

  /**
   * Writes the wave's record and its status for the operators. Returns false
   * if this leader may write no more.
   */
  private async write(
    open: OpenWave,
    vmIds: readonly VmId[],
    progress: VmProgress,
    isComplete = false,
  ): Promise<boolean> {
    const {store, requests, log} = this.parties;
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
        await this.scope.sleep(RETRY_MS);
        continue;
      }
      if (outcome.value.kind === 'committed') {
        open.revision = outcome.value.revision;
        open.record = record;
        return true;
      }
      const held = outcome.value.items.find((item) => item.key === key);
      const leader = outcome.value.items.find(
        (item) => item.key === LEADER_KEY,
      );
      if (leader?.revision !== this.authority.leaderRevision) {
        this.authority.leadershipLost('another leader holds the key');
        return false;
      }
      // An earlier attempt without an answer was carried out.
      open.revision = held?.revision ?? NO_REVISION;
      if (held?.value === value) {
        open.record = record;
        return true;
      }
    }
    return false;
  }
}

function vmsWith({wave, record}: OpenWave, progress: VmProgress): VmId[] {
  return wave.vmIds.filter((vmId) => progressOf(record, vmId) === progress);
}
