/**
 * Moves VMs between the pools of services. Sites without a standby pool have no
 * VMs to move; there the controller makes no calls to the platform.
 */

import type {CleanupScope} from '../../lifecycle/cleanup_scope.js';
import type {Clock} from '../../lifecycle/clock.js';
import {steadyNow} from '../../lifecycle/clock.js';
import type {AvailabilityZone, Instant, VmId} from '../../model/ids.js';
import type {HostedConfiguration} from '../../model/queues.js';
import {isRejection} from '../../interfaces/vm_service.js';
import type {VmService, WorkerVm} from '../../interfaces/vm_service.js';
import type {Unit} from '../jobs/jobs.js';
import type {LeaderLog} from '../leader_log.js';
import {moveKey, planPoolMoves} from './pool_plan.js';
import type {PoolMove} from './pool_plan.js';
import type {Authority} from '../authority.js';
import type {VmTable} from './vm_table.js';
import type {WorkerTable} from '../workers/worker_table.js';

/** Interval between checks for a capacity shortage or idle VMs. */
const CONTROL_INTERVAL_MS = 500;

/** Maximum age of the VM list; shorter while units wait for capacity. */
const VM_LIST_MAX_AGE_MS = 10_000;
const VM_LIST_MAX_AGE_WAITING_MS = 1_000;

export interface PoolDependencies {
  readonly vmService: VmService;
  readonly vms: VmTable;
  readonly clock: Clock;
  readonly log: LeaderLog;
  readonly configuration: () => HostedConfiguration | undefined;
  /** Units that the last scheduling round could not place. */
  readonly waiting: () => readonly Unit[];
  /** VMs in these zones stay in their pools. */
  readonly evacuatedZones: () => ReadonlySet<AvailabilityZone>;
}

export class PoolController {
  private readonly idleSince = new Map<VmId, Instant>();
  private readonly impossible = new Set<string>();
  /** Orders without a definite outcome; they are repeated. */
  private readonly unconfirmed = new Map<VmId, PoolMove>();
  private readonly startedAt = steadyNow();
  private isStepRunning = false;

  constructor(
    private readonly dependencies: PoolDependencies,
    /**
     * `holder` identifies this daemon in orders to the platform. No order is
     * sent in the first `handoverMs` after the election.
     */
    private readonly settings: {holder: VmId; handoverMs: number},
    private readonly authority: Authority,
    private readonly table: WorkerTable,
    private readonly scope: CleanupScope,
  ) {}

  start(): void {
    this.scope.every(CONTROL_INTERVAL_MS, () => {
      if (this.isStepRunning) return;
      this.isStepRunning = true;
      void this.step().finally(() => {
        this.isStepRunning = false;
      });
    });
  }

  private async step(): Promise<void> {
    const configuration = this.dependencies.configuration();
    if (configuration === undefined) return;
    if (configuration.standbyPools.size === 0) return;
    const now = steadyNow();
    if (now - this.startedAt < this.settings.handoverMs) return;
    if (!this.authority.mayAct(now)) return;
    const units = this.dependencies.waiting();
    const maximumAgeMs =
      units.length > 0 ? VM_LIST_MAX_AGE_WAITING_MS : VM_LIST_MAX_AGE_MS;
    if (!(await this.dependencies.vms.refresh(maximumAgeMs))) return;
    this.updateIdleTimes();
    const planned = planPoolMoves({
      vms: this.movableVms(),
      standbyPools: configuration.standbyPools,
      waiting: units.flatMap((unit) => {
        const serviceId = configuration.queue(unit.job.queueId)?.serviceId;
        return serviceId === undefined ? [] : [{unit, serviceId}];
      }),
      workers: this.table.workersByVm(),
      idleSince: this.idleSince,
      guaranteedAccelerators: configuration.guaranteedAccelerators,
      impossible: this.impossible,
      now: this.dependencies.clock.now(),
    });
    const newMoves = planned.filter(({vmId}) => !this.unconfirmed.has(vmId));
    for (const move of newMoves) this.unconfirmed.set(move.vmId, move);
    // Close the VMs to new runs before the orders are sent.
    this.table.closeVmsToNewRuns('move', new Set(this.unconfirmed.keys()));
    for (const move of [...this.unconfirmed.values()]) await this.order(move);
    this.table.closeVmsToNewRuns('move', new Set(this.unconfirmed.keys()));
  }

  /** The worker of a VM in an evacuated zone could start nothing. */
  private movableVms(): ReadonlyMap<VmId, WorkerVm> {
    const evacuated = this.dependencies.evacuatedZones();
    const {all} = this.dependencies.vms;
    return new Map([...all].filter(([, {zone}]) => !evacuated.has(zone)));
  }

  private updateIdleTimes(): void {
    const now = this.dependencies.clock.now();
    for (const [vmId, worker] of this.table.workersByVm()) {
      // A worker of an evacuated zone is idle by order.
      const isInUse = worker.runs.size > 0 || worker.isEvacuated;
      if (isInUse) this.idleSince.delete(vmId);
      else if (!this.idleSince.has(vmId)) this.idleSince.set(vmId, now);
    }
    for (const vmId of [...this.idleSince.keys()]) {
      if (!this.dependencies.vms.all.has(vmId)) this.idleSince.delete(vmId);
    }
  }

  private async order(move: PoolMove): Promise<void> {
    if (this.scope.closed || !this.authority.mayAct(steadyNow())) return;
    this.table.expectEnd(move.vmId);
    const outcome = await this.dependencies.vmService.move(move.vmId, move.to, {
      holder: this.settings.holder,
      term: this.authority.term,
    });
    if (this.scope.closed) return;
    this.dependencies.log.moveRequested(move, outcome);
    if (isRejection(outcome)) this.table.withdrawExpectedEnd(move.vmId);
    switch (outcome.kind) {
      case 'done':
      case 'busy':
        this.unconfirmed.delete(move.vmId);
        this.idleSince.delete(move.vmId);
        await this.dependencies.vms.refresh(0);
        return;
      case 'impossible':
      case 'notRequested':
        this.unconfirmed.delete(move.vmId);
        this.impossible.add(moveKey(move.vmId, move.to));
        return;
      case 'superseded':
        this.authority.leadershipLost('the VM service has seen a higher term');
        return;
      case 'refused':
      case 'unknown':
        return;
    }
  }
}
