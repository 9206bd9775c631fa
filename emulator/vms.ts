/**
 * Emulated VM service: maintenance in waves, moves between pools, and a fencing
 * token for each VM. Orders that violate a documented rule are reported to the
 * ledger.
 */

import {Result} from 'true-myth';
import {z} from 'zod';
import type {RandomSource} from '../src/lifecycle/random.js';
import type {ServiceId, VmId, WorkerId} from '../src/model/ids.js';
import type {
  MaintenanceWave,
  WaveStatus,
} from '../src/interfaces/maintenance_requests.js';
import type {WorkerEntry} from '../src/interfaces/task_worker.js';
import {VmService} from '../src/interfaces/vm_service.js';
import type {
  OrderAuthority,
  VmOrderOutcome,
  WorkerVm,
  WorkerVmState,
} from '../src/interfaces/vm_service.js';
import type {EmulatedSite} from './site.js';
import {pause} from './site.js';

/** Store keys of the platform's messages, see `platform/machines.ts`. */
const WAVE_PREFIX = 'op/wave/';
const STATUS_PREFIX = 'status/wave/';

const statusSchema = z.object({state: z.enum(['running', 'complete'])});

/** Time that a VM is down for maintenance or a move to another pool. */
export const MAINTENANCE_MS = 200;

/** Time until the VM of a crashed worker has a new one. */
const CRASH_RECOVERY_MS = 300;

/** Time until the entry of a crashed worker leaves the directory. */
const ENTRY_EXPIRY_MS = 450;

interface EmulatedVm {
  readonly vmId: VmId;
  poolId: ServiceId;
  state: WorkerVmState;
  workerId: WorkerId | undefined;
  /** Highest term seen in an order. */
  term: number;
  incarnations: number;
  readonly maintainedWaves: Set<number>;
  /** Maintenance wave for which the VM is down. */
  downForWave: number | undefined;
}

/** Faults that are injected into one daemon's orders to the VM service. */
export interface VmFaults {
  /** Share of orders, 0 to 1, without an answer; carried out `lateMs` later. */
  lateShare: number;
  lateMs: number;
}

export class EmulatedVms {
  private readonly vms = new Map<VmId, EmulatedVm>();
  private readonly waves = new Map<number, MaintenanceWave>();
  /** VMs in the order in which their maintenance began. */
  readonly maintained: VmId[] = [];
  moves = 0;

  constructor(private readonly site: EmulatedSite) {}

  add(vmId: VmId, poolId: ServiceId, workerId: WorkerId | undefined): void {
    this.vms.set(vmId, {
      vmId,
      poolId,
      state: 'up',
      workerId,
      term: 0,
      incarnations: 1,
      maintainedWaves: new Set(),
      downForWave: undefined,
    });
  }

  requestMaintenance(wave: MaintenanceWave): void {
    this.waves.set(wave.waveId, wave);
    const {waveId, vmIds, durationMs, maximumDown} = wave;
    const message = {
      wave: waveId,
      machines: vmIds,
      durationS: durationMs / 1_000,
      cap: maximumDown,
    };
    this.site.store.put(`${WAVE_PREFIX}${waveId}`, JSON.stringify(message));
  }

  /** Returns the published status of a wave; reports a premature `complete`. */
  statusOf(waveId: number): WaveStatus | undefined {
    const item = this.site.store.get(`${STATUS_PREFIX}${waveId}`);
    if (item === undefined) return undefined;
    const {state} = statusSchema.parse(JSON.parse(item.value));
    if (state !== 'complete') return state;
    for (const vmId of this.waves.get(waveId)?.vmIds ?? []) {
      if (this.vms.get(vmId)?.maintainedWaves.has(waveId) === false) {
        this.reportViolation(
          `MIXED: wave ${waveId} is complete but ${vmId} was not maintained`,
        );
      }
    }
    return state;
  }

  /** Requested waves that are not complete. */
  get openWaves(): number[] {
    return [...this.waves.keys()].filter(
      (waveId) => this.statusOf(waveId) !== 'complete',
    );
  }

  list(): WorkerVm[] {
    return [...this.vms.values()].map((vm) => ({
      vmId: vm.vmId,
      poolId: vm.poolId,
      state: vm.state,
      zone: this.site.zones.zoneOf(vm.vmId),
      labels: new Set(),
      capacity: this.site.capacity,
      workerId: vm.workerId,
    }));
  }

  maintain(vmId: VmId, waveId: number, {term}: OrderAuthority): VmOrderOutcome {
    const vm = this.vms.get(vmId);
    const wave = this.waves.get(waveId);
    if (vm === undefined) return {kind: 'impossible'};
    if (term < vm.term) return {kind: 'superseded'};
    vm.term = term;
    if (wave?.vmIds.includes(vmId) !== true) return {kind: 'notRequested'};
    if (vm.maintainedWaves.has(waveId)) return {kind: 'done'};
    if (vm.state !== 'up') return {kind: 'busy'};
    const down = [...this.vms.values()].filter(
      ({downForWave: downFor}) => downFor === waveId,
    ).length;
    if (down >= wave.maximumDown) {
      this.reportViolation(
        `LIMIT: ${down + 1} VMs of wave ${waveId} are down concurrently`,
      );
    }
    vm.maintainedWaves.add(waveId);
    vm.downForWave = waveId;
    this.maintained.push(vmId);
    this.takeDown(vm, 'maintenance');
    return {kind: 'done'};
  }

  move(vmId: VmId, poolId: ServiceId, {term}: OrderAuthority): VmOrderOutcome {
    const vm = this.vms.get(vmId);
    if (vm === undefined) return {kind: 'impossible'};
    if (term < vm.term) return {kind: 'superseded'};
    vm.term = term;
    if (vm.poolId === poolId) return {kind: 'done'};
    if (vm.state !== 'up') return {kind: 'busy'};
    vm.poolId = poolId;
    this.moves += 1;
    this.takeDown(vm, 'moving');
    return {kind: 'done'};
  }

  /** A worker restarted under its id; later ones on its VM are newer. */
  workerRestarted({vmId, incarnation}: WorkerEntry): void {
    const vm = vmId === undefined ? undefined : this.vms.get(vmId);
    if (vm !== undefined) vm.incarnations = incarnation;
  }

  /** The VM's worker crashes; a new worker with another id follows. */
  crash(vmId: VmId): void {
    const vm = this.vms.get(vmId);
    const crashedId = vm?.workerId;
    if (vm === undefined || crashedId === undefined) return;
    vm.workerId = undefined;
    this.site.crash(crashedId);
    setTimeout(() => {
      // Maintenance or a move that began meanwhile starts the next worker.
      if (vm.state !== 'up' || vm.workerId !== undefined) return;
      vm.incarnations += 1;
      vm.workerId = this.site.addWorker(vm.vmId, vm.poolId, vm.incarnations);
    }, CRASH_RECOVERY_MS);
    setTimeout(() => this.site.forget(crashedId), ENTRY_EXPIRY_MS);
  }

  private takeDown(vm: EmulatedVm, state: WorkerVmState): void {
    vm.state = state;
    if (vm.workerId !== undefined) this.site.removeWorker(vm.workerId);
    vm.workerId = undefined;
    setTimeout(() => {
      vm.state = 'up';
      vm.downForWave = undefined;
      vm.incarnations += 1;
      if (!this.site.standbyPools.has(vm.poolId)) {
        vm.workerId = this.site.addWorker(vm.vmId, vm.poolId, vm.incarnations);
      }
    }, MAINTENANCE_MS);
  }

  private reportViolation(message: string): void {
    this.site.ledger.violations.push(message);
  }
}

/** One daemon's client of the emulated VM service. */
export class EmulatedVmService extends VmService {
  constructor(
    private readonly site: EmulatedSite,
    private readonly faults: VmFaults,
    private readonly random: RandomSource,
  ) {
    super();
  }

  override async list(): Promise<Result<readonly WorkerVm[], never>> {
    await pause(1);
    return Result.ok(this.site.vms.list());
  }

  override move(
    vmId: VmId,
    poolId: ServiceId,
    authority: OrderAuthority,
  ): Promise<VmOrderOutcome> {
    return this.order(() => this.site.vms.move(vmId, poolId, authority));
  }

  override maintain(
    vmId: VmId,
    waveId: number,
    authority: OrderAuthority,
  ): Promise<VmOrderOutcome> {
    return this.order(() => this.site.vms.maintain(vmId, waveId, authority));
  }

  private async order(carryOut: () => VmOrderOutcome): Promise<VmOrderOutcome> {
    await pause(1);
    if (this.random.next() >= this.faults.lateShare) return carryOut();
    setTimeout(carryOut, this.faults.lateMs);
    return {kind: 'unknown', detail: 'no answer from the VM service'};
  }
}
