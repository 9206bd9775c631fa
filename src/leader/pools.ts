/**
 * Moves VMs between the pools of services. Only sites with a standby pool have
 * VMs to move; elsewhere nothing is asked of the platform.
 */

import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {Clock} from '../lifecycle/clock.js';
import {steadyNow} from '../lifecycle/clock.js';
import type {Instant, VmId} from '../model/ids.js';
import type {HostedConfiguration} from '../model/queues.js';
import type {VmService} from '../parties/vm_service.js';
import type {Unit} from './jobs.js';
import type {LeaderLog} from './leader_log.js';
import {moveKey, planPoolMoves} from './pool_plan.js';
import type {PoolMove} from './pool_plan.js';
import type {Authority} from './session.js';
import type {VmTable} from './vm_table.js';
import type {WorkerTable} from './worker_table.js';

/** How often a shortage or an idle VM is looked for. */
const STEP_MS = 500;

/** Age of the list of VMs, while nothing waits for room and while work does. */
const CALM_LIST_AGE_MS = 10_000;
const SHORT_LIST_AGE_MS = 1_000;

export interface PoolParties {
  readonly vmService: VmService;
  readonly vms: VmTable;
  readonly clock: Clock;
  readonly log: LeaderLog;
  readonly configuration: () => HostedConfiguration | undefined;
  /** Units that found no room in the last round. */
  readonly waiting: () => readonly Unit[];
}

export class PoolController {
  private readonly idleSince = new Map<VmId, Instant>();
  private readonly impossible = new Set<string>();
  /** Orders that may still be carried out; they are repeated. */
  private readonly undecided = new Map<VmId, PoolMove>();
  private readonly startedAt = steadyNow();
  private isStepping = false;

  constructor(
    private readonly parties: PoolParties,
    /** Name of this daemon towards the platform, and its wait after election. */
    private readonly settings: {holder: VmId; handoverMs: number},
    private readonly authority: Authority,
    private readonly table: WorkerTable,
    private readonly scope: CleanupScope,
  ) {}

  start(): void {
    this.scope.every(STEP_MS, () => {
      if (this.isStepping) return;
      this.isStepping = true;
      void this.step().finally(() => {
        this.isStepping = false;
      });
    });
  }

  private async step(): Promise<void> {
    const configuration = this.parties.configuration();
    if (configuration === undefined) return;
    if (configuration.standbyPools.size === 0) return;
    const now = steadyNow();
    if (now - this.startedAt < this.settings.handoverMs) return;
    if (!this.authority.mayAct(now)) return;
    const units = this.parties.waiting();
    const age = units.length > 0 ? SHORT_LIST_AGE_MS : CALM_LIST_AGE_MS;
    if (!(await this.parties.vms.refresh(age))) return;
    this.noteIdle();
    const planned = planPoolMoves({
      vms: this.parties.vms.all,
      standbyPools: configuration.standbyPools,
      waiting: units.flatMap((unit) => {
        const serviceId = configuration.queue(unit.job.queueId)?.serviceId;
        return serviceId === undefined ? [] : [{unit, serviceId}];
      }),
      workers: this.table.workersByVm(),
      idleSince: this.idleSince,
      guaranteedAccelerators: configuration.guaranteedAccelerators,
      impossible: this.impossible,
      now: this.parties.clock.now(),
    });
    const fresh = planned.filter(({vmId}) => !this.undecided.has(vmId));
    for (const move of fresh) this.undecided.set(move.vmId, move);
    // Closed before the order is sent, so that nothing starts on the VM.
    this.table.closeVmsToNewRuns('move', new Set(this.undecided.keys()));
    for (const move of [...this.undecided.values()]) await this.order(move);
    this.table.closeVmsToNewRuns('move', new Set(this.undecided.keys()));
  }

  private noteIdle(): void {
    const now = this.parties.clock.now();
    for (const [vmId, worker] of this.table.workersByVm()) {
      if (worker.runs.size > 0) this.idleSince.delete(vmId);
      else if (!this.idleSince.has(vmId)) this.idleSince.set(vmId, now);
    }
    for (const vmId of [...this.idleSince.keys()]) {
      if (!this.parties.vms.all.has(vmId)) this.idleSince.delete(vmId);
    }
  }

  private async order(move: PoolMove): Promise<void> {
    if (this.scope.closed || !this.authority.mayAct(steadyNow())) return;
    const outcome = await this.parties.vmService.move(move.vmId, move.to, {
      holder: this.settings.holder,
      term: this.authority.term,
    });
    if (this.scope.closed) return;
    this.parties.log.moveRequested(move, outcome);
    switch (outcome.kind) {
      case 'done':
      case 'busy':
        this.undecided.delete(move.vmId);
        this.idleSince.delete(move.vmId);
        await this.parties.vms.refresh(0);
        return;
      case 'impossible':
      case 'notRequested':
        this.undecided.delete(move.vmId);
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
