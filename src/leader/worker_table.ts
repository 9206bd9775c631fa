/**
 * The workers of a site as the leader believes them to be, and what becomes
 * of runs when a worker falls silent, starts again, leaves or stands still.
 */

import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {SteadyTime} from '../lifecycle/clock.js';
import {steadyNow, steadyTime} from '../lifecycle/clock.js';
import type {VmId, WorkerId} from '../model/ids.js';
import {trustedId} from '../model/ids.js';
import type {TaskWorkerClient, WorkerEntry} from '../parties/task_worker.js';
import type {WorkerChange} from '../parties/worker_directory.js';
import type {Run} from './jobs.js';
import type {LeaderLog} from './leader_log.js';
import type {Authority} from './session.js';
import {WorkerLink} from './worker_link.js';
import type {LinkEvents} from './worker_link.js';
import {WorkerState, longestLapseMs} from './worker_state.js';

/**
 * Without progress for this long a task stands still. A task of 11 s on a
 * worker 8 times slower takes 0.9 s for a percent, and a look sees it up to
 * 0.8 s later.
 */
const STANDSTILL_MS = 2_600;

/** Time that a checkpointing task is stopped before its worker leaves. */
const EVACUATION_MS = 900;

/** Why VMs get no new runs. */
export type ClosePurpose = 'maintenance' | 'move';

export interface TableOptions {
  readonly client: TaskWorkerClient;
  readonly authority: Authority;
  readonly holdMaximumMs: number;
  readonly scope: CleanupScope;
  readonly events: LinkEvents;
  readonly log: LeaderLog;
}

export class WorkerTable {
  private readonly states = new Map<WorkerId, WorkerState>();
  private readonly closedVms = new Map<ClosePurpose, ReadonlySet<VmId>>();
  private readonly links = new Map<WorkerId, WorkerLink>();

  constructor(private readonly options: TableOptions) {}

  get workers(): ReadonlyMap<WorkerId, WorkerState> {
    return this.states;
  }

  get(workerId: WorkerId): WorkerState | undefined {
    return this.states.get(workerId);
  }

  /**
   * Workers by their VM. One that is not in the directory may still run tasks;
   * one that is goes before it.
   */
  workersByVm(): ReadonlyMap<VmId, WorkerState> {
    const byVm = new Map<VmId, WorkerState>();
    for (const worker of this.states.values()) {
      const {vmId} = worker.entry;
      if (vmId === undefined) continue;
      if (worker.isListed || !byVm.has(vmId)) byVm.set(vmId, worker);
    }
    return byVm;
  }

  /** Workers on these VMs get no new runs until the purpose names others. */
  closeVms(purpose: ClosePurpose, vmIds: ReadonlySet<VmId>): void {
    this.closedVms.set(purpose, vmIds);
    for (const worker of this.states.values()) {
      worker.isClosed = this.isClosed(worker.entry);
    }
  }

  private isClosed({vmId}: WorkerEntry): boolean {
    if (vmId === undefined) return false;
    return [...this.closedVms.values()].some((vmIds) => vmIds.has(vmId));
  }

  get runCount(): number {
    let runs = 0;
    for (const worker of this.states.values()) runs += worker.runs.size;
    return runs;
  }

  // The directory.

  replace(entries: readonly WorkerEntry[]): void {
    const present = new Set(entries.map(({workerId}) => workerId));
    for (const workerId of [...this.states.keys()]) {
      if (!present.has(workerId)) this.absent(workerId);
    }
    for (const entry of entries) this.present(entry);
  }

  apply(changes: readonly WorkerChange[]): void {
    for (const change of changes) {
      if (change.kind === 'present') this.present(change.entry);
      else this.absent(change.workerId);
    }
  }

  private present(entry: WorkerEntry): void {
    const worker = this.states.get(entry.workerId);
    if (worker === undefined) {
      const added = new WorkerState(entry);
      added.isClosed = this.isClosed(entry);
      this.states.set(entry.workerId, added);
      return;
    }
    const reborn = worker.update(entry, steadyNow());
    if (worker.runs.size === 0) return;
    const link = this.linkTo(worker);
    if (reborn) {
      // An order may have reached the new life already; its list decides.
      this.assumeLeases(worker);
      link.lookAgain();
    }
    link.watch();
  }

  private absent(workerId: WorkerId): void {
    const worker = this.states.get(workerId);
    if (worker === undefined) return;
    worker.isListed = false;
    if (worker.runs.size > 0) return;
    this.states.delete(workerId);
    this.links.get(workerId)?.close();
    this.links.delete(workerId);
    this.options.client.closeConnections(worker.entry);
  }

  // Runs.

  /** The run may be on its worker until the worker says otherwise. */
  adopt(run: Run): void {
    let worker = this.states.get(run.workerId);
    if (worker === undefined) {
      worker = new WorkerState(absentEntry(run));
      worker.isListed = false;
      this.states.set(run.workerId, worker);
    }
    if (worker.isKnown) this.assumeLeases(worker);
    worker.add(run);
    if (worker.isListed) this.linkTo(worker).watch();
  }

  /** Sends the start of a run whose placement is durable. */
  start(run: Run): void {
    const worker = this.states.get(run.workerId);
    if (worker !== undefined) this.linkTo(worker).start(run);
  }

  stop(run: Run): void {
    if (run.phase === 'stopping') return;
    const worker = this.states.get(run.workerId);
    if (worker === undefined) return;
    if (run.phase === 'planned') {
      // Nothing was sent; the start is dropped when its commit returns.
      worker.remove(run);
      run.unit.removeRun(run);
      return;
    }
    this.linkTo(worker).stop(run);
  }

  /** Lets a run work at a share of its speed. */
  pace(run: Run, percent: number): void {
    const worker = this.states.get(run.workerId);
    if (worker !== undefined) this.linkTo(worker).pace(run, percent);
  }

  stopUnit(run: Run): void {
    for (const member of [...run.unit.runs]) this.stop(member);
  }

  // Time.

  /** Handles what only the passing of time shows. */
  tick(steady: SteadyTime): void {
    for (const worker of [...this.states.values()]) {
      if (worker.runs.size === 0) {
        if (!worker.isListed) this.absent(worker.workerId);
        else if (!worker.isKnown) worker.becomeKnown(0);
        continue;
      }
      if (steady >= worker.lapsesAt()) this.lapse(worker);
      else this.inspect(worker, steady);
    }
  }

  /** All leases on the worker have lapsed, so nothing of ours runs there. */
  private lapse(worker: WorkerState): void {
    // A run that waits for the worker's clock needs no lease yet.
    const sent = [...worker.runs.values()].filter(({wasSent}) => wasSent);
    if (sent.length === 0) return;
    this.options.log.leasesLapsed(worker, sent.length);
    worker.becomeUnknown();
    for (const run of sent) {
      worker.remove(run);
      this.options.events.runLost(run, 'its lease has lapsed');
    }
  }

  private inspect(worker: WorkerState, steady: SteadyTime): void {
    const {log} = this.options;
    const remainingMs = worker.remainingMs(steady);
    const leaves = remainingMs !== undefined && remainingMs < EVACUATION_MS;
    for (const run of [...worker.runs.values()]) {
      if (run.phase !== 'running') continue;
      if (leaves && run.step.checkpointing === true) {
        log.stopped(run, 'its worker leaves');
        this.stopUnit(run);
      } else if (worker.silentLooks === 0 && standsStill(run)) {
        worker.quarantine(steady);
        run.unit.avoid(worker.workerId);
        log.quarantined(worker, `${run.task} stands still`);
        const atPercent = `${run.percent}% for ${run.stillMs} ms`;
        log.stopped(run, `it makes no progress: ${atPercent}`);
        this.stopUnit(run);
      }
    }
  }

  private assumeLeases(worker: WorkerState): void {
    const lapseMs = longestLapseMs(this.options.holdMaximumMs);
    worker.assumeLeasesUntil(steadyTime(steadyNow() + lapseMs));
  }

  private linkTo(worker: WorkerState): WorkerLink {
    let link = this.links.get(worker.workerId);
    if (link === undefined) {
      const {client, authority, holdMaximumMs, scope, events, log} =
        this.options;
      link = new WorkerLink(
        worker,
        client,
        authority,
        holdMaximumMs,
        scope,
        events,
        log,
      );
      this.links.set(worker.workerId, link);
    }
    return link;
  }
}

function standsStill(run: Run): boolean {
  const {longRunning, usesSpareProcessor} = run.step;
  // Work on spare processors may be slowed down to nothing.
  if (longRunning === true || usesSpareProcessor === true) return false;
  if (run.stillMs < STANDSTILL_MS) return false;
  return run.unit.runs.every(({phase}) => phase === 'running');
}

/** Stands for a worker that a record names and the directory does not. */
function absentEntry(run: Run): WorkerEntry {
  return {
    workerId: run.workerId,
    incarnation: run.life,
    address: undefined,
    serviceId: run.unit.job.serviceId,
    zone: trustedId('unknown'),
    rackId: undefined,
    labels: new Set(),
    capacity: {processorMillicores: 0, memoryMegabytes: 0, accelerators: 0},
    isDraining: false,
    remainingMs: undefined,
  };
}
