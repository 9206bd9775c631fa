/**
 * The leader's cached view of the workers of a site. Decides what happens to
 * runs when a worker becomes unresponsive, restarts, leaves or has a stalled
 * run.
 */

import type {CleanupScope} from '../../lifecycle/cleanup_scope.js';
import type {SteadyTime} from '../../lifecycle/clock.js';
import {steadyNow, steadyTime} from '../../lifecycle/clock.js';
import type {AvailabilityZone, VmId, WorkerId} from '../../model/ids.js';
import {trustedId} from '../../model/ids.js';
import type {
  TaskWorkerClient,
  WorkerEntry,
} from '../../interfaces/task_worker.js';
import type {TaskShape} from '../../model/submissions.js';
import type {WorkerChange} from '../../interfaces/worker_directory.js';
import type {WorkerFate} from '../losses/crash_history.js';
import type {StopCause} from '../jobs/lost_work.js';
import type {Run} from '../jobs/runs.js';
import type {LeaderLog} from '../leader_log.js';
import type {WorkerLoss} from '../jobs/records.js';
import type {Authority} from '../authority.js';
import {WorkerFences} from './worker_fences.js';
import {WorkerLink} from './worker_link.js';
import type {WorkerLinkEvents} from './worker_events.js';
import {
  WorkerState,
  longestLeaseDurationMs,
  runsByIncarnation,
} from './worker_state.js';

/**
 * A task without progress for this long is stalled. A task of 11 s on a worker
 * that is 8 times slower takes 0.9 s for one percent, and a lease renewal
 * reports it up to 0.8 s later.
 */
const STALL_TIMEOUT_MS = 2_600;

/** How long before its worker leaves a checkpointing task is stopped. */
const EVACUATION_LEAD_TIME_MS = 900;

/** Why the workers on some VMs get no new runs. */
export type VmClosureReason = 'maintenance' | 'move';

export interface WorkerTableOptions {
  readonly client: TaskWorkerClient;
  readonly authority: Authority;
  readonly holdMaximumMs: number;
  /** Cold workers are used after those that are warm. */
  readonly prefersWarm: boolean;
  readonly scope: CleanupScope;
  readonly events: WorkerLinkEvents;
  readonly log: LeaderLog;
}

export class WorkerTable {
  private readonly workerStates = new Map<WorkerId, WorkerState>();
  private readonly closedVmsByReason = new Map<
    VmClosureReason,
    ReadonlySet<VmId>
  >();
  private evacuatedZones: ReadonlySet<AvailabilityZone> = new Set();
  private readonly links = new Map<WorkerId, WorkerLink>();

  private readonly fences: WorkerFences;

  constructor(private readonly options: WorkerTableOptions) {
    this.fences = new WorkerFences(options.authority.term);
  }

  get workers(): ReadonlyMap<WorkerId, WorkerState> {
    return this.workerStates;
  }

  get(workerId: WorkerId): WorkerState | undefined {
    return this.workerStates.get(workerId);
  }

  /**
   * Workers by VM. A worker that has left the directory is included, as it may
   * still run tasks, unless a listed worker is on the same VM.
   */
  workersByVm(): ReadonlyMap<VmId, WorkerState> {
    const byVm = new Map<VmId, WorkerState>();
    for (const worker of this.workerStates.values()) {
      const {vmId} = worker.entry;
      if (vmId === undefined) continue;
      if (worker.isListed || !byVm.has(vmId)) byVm.set(vmId, worker);
    }
    return byVm;
  }

  /** Replaces the set of VMs that are closed to new runs for this reason. */
  closeVmsToNewRuns(reason: VmClosureReason, vmIds: ReadonlySet<VmId>): void {
    this.closedVmsByReason.set(reason, vmIds);
    for (const worker of this.workerStates.values()) {
      worker.isClosedToNewRuns = this.isClosedToNewRuns(worker.entry);
      this.reviewWaitingStarts(worker);
    }
  }

  /** Called after what is known of a worker has changed. */
  private reviewWaitingStarts({workerId}: WorkerState): void {
    this.links.get(workerId)?.reviewWaitingStarts(steadyNow());
  }

  /** Replaces the set of zones whose workers get no new runs. */
  setEvacuatedZones(zones: ReadonlySet<AvailabilityZone>): void {
    this.evacuatedZones = new Set(zones);
    for (const worker of this.workerStates.values()) {
      worker.isEvacuated = zones.has(worker.entry.zone);
      this.reviewWaitingStarts(worker);
    }
  }

  /** Number of runs on the workers of evacuated zones. */
  get evacuatedRunCount(): number {
    let runs = 0;
    for (const worker of this.workerStates.values()) {
      if (worker.isEvacuated) runs += worker.runs.size;
    }
    return runs;
  }

  /** Maintenance or a move of the VM is being ordered. */
  expectEnd(vmId: VmId): void {
    this.workersByVm().get(vmId)?.expectEnd();
  }

  /** The order for the VM was rejected. */
  withdrawExpectedEnd(vmId: VmId): void {
    this.workersByVm().get(vmId)?.withdrawExpectedEnd();
  }

  private isClosedToNewRuns({vmId}: WorkerEntry): boolean {
    if (vmId === undefined) return false;
    return [...this.closedVmsByReason.values()].some((vmIds) =>
      vmIds.has(vmId),
    );
  }

  get listedCount(): number {
    return [...this.workerStates.values()].filter(({isListed}) => isListed)
      .length;
  }

  get runCount(): number {
    let runs = 0;
    for (const worker of this.workerStates.values()) runs += worker.runs.size;
    return runs;
  }

  // The directory.

  replace(entries: readonly WorkerEntry[]): void {
    const listed = new Map(entries.map((entry) => [entry.workerId, entry]));
    for (const worker of [...this.workerStates.values()]) {
      const entry = listed.get(worker.workerId);
      // Notices between two listings are not seen.
      if (entry?.incarnation !== worker.incarnation) worker.markUnwatched();
      if (entry === undefined) this.markUnlisted(worker.workerId);
    }
    for (const entry of entries) this.addOrUpdate(entry);
  }

  apply(changes: readonly WorkerChange[]): void {
    for (const change of changes) {
      if (change.kind === 'present') this.applyEntry(change.entry);
      else this.markUnlisted(change.workerId);
    }
  }

  private applyEntry(entry: WorkerEntry): void {
    const {log} = this.options;
    const before = this.workerStates.get(entry.workerId)?.entry;
    this.addOrUpdate(entry);
    const worker = this.workerStates.get(entry.workerId);
    if (worker === undefined) return;
    if (before?.incarnation !== worker.incarnation) log.workerListed(worker);
    else if (!isSameShape(before.capacity, worker.entry.capacity)) {
      log.capacityChanged(worker, before.capacity);
    }
  }

  private addOrUpdate(entry: WorkerEntry): void {
    const worker = this.workerStates.get(entry.workerId);
    if (worker === undefined) {
      const added = new WorkerState(entry);
      added.isClosedToNewRuns = this.isClosedToNewRuns(entry);
      added.isEvacuated = this.evacuatedZones.has(entry.zone);
      if (this.options.prefersWarm) added.recordColdness(steadyNow());
      this.workerStates.set(entry.workerId, added);
      return;
    }
    const hasRestarted = worker.update(entry, steadyNow());
    if (hasRestarted) this.links.get(worker.workerId)?.abortRenewal();
    worker.isEvacuated = this.evacuatedZones.has(worker.entry.zone);
    if (this.options.prefersWarm) worker.recordColdness(steadyNow());
    if (worker.runs.size === 0) return;
    const link = this.linkFor(worker);
    // The new incarnation may have received orders; its list decides.
    if (hasRestarted) this.assumeLeases(worker);
    this.reviewWaitingStarts(worker);
    link.startRenewing();
  }

  private markUnlisted(workerId: WorkerId): void {
    const worker = this.workerStates.get(workerId);
    if (worker === undefined) return;
    if (worker.isListed) this.options.log.workerUnlisted(worker);
    worker.isListed = false;
    this.reviewWaitingStarts(worker);
    if (worker.runs.size > 0) return;
    this.workerStates.delete(workerId);
    this.links.get(workerId)?.close();
    this.links.delete(workerId);
    if (this.isAddressInUse(worker.entry)) return;
    this.options.client.closeConnections(worker.entry);
  }

  /** The worker that replaces another one usually has the same address. */
  private isAddressInUse({address}: WorkerEntry): boolean {
    if (address === undefined) return false;
    return [...this.workerStates.values()].some(
      ({entry}) => entry.address === address,
    );
  }

  // Runs.

  /** Adds a run of an earlier leader, which may still be on its worker. */
  adopt(run: Run): void {
    let worker = this.workerStates.get(run.workerId);
    if (worker === undefined) {
      worker = new WorkerState(placeholderEntry(run));
      worker.isListed = false;
      worker.markUnwatched();
      this.workerStates.set(run.workerId, worker);
    }
    if (worker.hasKnownRuns) this.assumeLeases(worker);
    worker.add(run);
    if (worker.isListed) this.linkFor(worker).startRenewing();
  }

  /** Sends the start of a run whose placement is durable. */
  start(run: Run): void {
    const worker = this.workerStates.get(run.workerId);
    if (worker !== undefined) this.linkFor(worker).start(run);
  }

  /** Without a cause, the run is stopped for the end of another member. */
  stop(run: Run, cause?: StopCause): void {
    run.stopCause ??= cause;
    if (run.phase === 'stopping') return;
    const worker = this.workerStates.get(run.workerId);
    if (worker === undefined) return;
    if (!run.wasStartSent) {
      this.options.log.startDropped(run);
      this.links.get(run.workerId)?.withdraw(run);
      worker.remove(run);
      run.unit.removeRun(run);
      return;
    }
    this.linkFor(worker).stop(run);
  }

  /** Limits a run to a percentage of full speed. */
  setPace(run: Run, percent: number): void {
    const worker = this.workerStates.get(run.workerId);
    if (worker !== undefined) this.linkFor(worker).setPace(run, percent);
  }

  stopUnit(run: Run, cause?: StopCause): void {
    for (const member of [...run.unit.runs]) this.stop(member, cause);
  }

  // Time.

  /** Handles lapsed leases, drains and stalled runs. */
  tick(steady: SteadyTime): void {
    const newest = this.newestIncarnations();
    for (const worker of [...this.workerStates.values()]) {
      if (worker.runs.size === 0) {
        if (!worker.isListed) this.markUnlisted(worker.workerId);
        else if (!worker.hasKnownRuns) worker.markRunsKnown(0);
        continue;
      }
      if (hasEnded(worker, newest)) this.handleWorkerEnd(worker);
      else if (steady >= worker.leasesLapseAt()) this.handleLeaseLapse(worker);
      else this.checkRuns(worker, steady);
    }
  }

  /** What is known about an incarnation of a worker that became silent. */
  fateOf({workerId, life, vmId}: WorkerLoss): WorkerFate {
    const worker = this.workerStates.get(workerId);
    const newest =
      vmId === undefined ? undefined : this.newestIncarnations().get(vmId);
    const hasSuccessor =
      Math.max(newest ?? 0, worker?.incarnation ?? 0) > life ||
      worker?.isReplaced === true;
    if (hasSuccessor) return worker?.fateOfEnded(life) ?? 'ended';
    return worker?.isAnswering(life) === true ? 'answers' : 'unknown';
  }

  /** Latest known incarnation on each VM; a VM hosts one at a time. */
  private newestIncarnations(): ReadonlyMap<VmId, number> {
    const newest = new Map<VmId, number>();
    for (const {entry} of this.workerStates.values()) {
      const {vmId, incarnation} = entry;
      if (vmId === undefined) continue;
      newest.set(vmId, Math.max(incarnation, newest.get(vmId) ?? 0));
    }
    return newest;
  }

  /** The worker's process has ended, and with it all its runs. */
  private handleWorkerEnd(worker: WorkerState): void {
    const sentRuns = [...worker.runs.values()].filter(
      ({wasStartSent}) => wasStartSent,
    );
    if (sentRuns.length === 0) return;
    worker.isReplaced = true;
    for (const run of sentRuns) worker.remove(run);
    for (const [incarnation, runs] of runsByIncarnation(sentRuns)) {
      const fate = worker.fateOfEnded(incarnation);
      this.options.events.runsLostWithWorker(worker, runs, fate);
    }
  }

  /** All leases of the worker have lapsed, so none of its runs is left. */
  private handleLeaseLapse(worker: WorkerState): void {
    // A run that still waits for the worker's clock has no lease yet.
    const sentRuns = [...worker.runs.values()].filter(
      ({wasStartSent}) => wasStartSent,
    );
    if (sentRuns.length === 0) return;
    this.options.log.leasesLapsed(worker, sentRuns.length);
    worker.markRunsUnknown();
    for (const run of sentRuns) worker.remove(run);
    for (const [incarnation, runs] of runsByIncarnation(sentRuns)) {
      const fate = worker.isKnownToEnd(incarnation)
        ? worker.fateOfEnded(incarnation)
        : 'unknown';
      this.options.events.runsLostWithWorker(worker, runs, fate);
    }
  }

  private checkRuns(worker: WorkerState, steady: SteadyTime): void {
    const {log} = this.options;
    const remainingMs = worker.remainingMs(steady);
    const isLeaving =
      remainingMs !== undefined && remainingMs < EVACUATION_LEAD_TIME_MS;
    for (const run of [...worker.runs.values()]) {
      if (run.phase !== 'running') continue;
      if (isLeaving && run.step.checkpointing === true) {
        log.stopRequested(run, 'its worker is leaving');
        this.stopUnit(run, 'workerLeaving');
      } else if (worker.failedRenewals === 0 && isStalled(run)) {
        if (run.unit.blameWorker(worker.workerId, this.options.events.now())) {
          worker.quarantine(steady);
          log.quarantined(worker, `${run.task} is stalled`);
        }
        const atPercent = `${run.progressPercent}% for ${run.stalledMs} ms`;
        log.stopRequested(run, `it makes no progress: ${atPercent}`);
        this.stopUnit(run, 'stalled');
      }
    }
  }

  private assumeLeases(worker: WorkerState): void {
    const lapseMs = longestLeaseDurationMs(this.options.holdMaximumMs);
    worker.assumeLeasesUntil(steadyTime(steadyNow() + lapseMs));
  }

  private linkFor(worker: WorkerState): WorkerLink {
    let link = this.links.get(worker.workerId);
    if (link === undefined) {
      const {client, authority, holdMaximumMs, scope, events, log} =
        this.options;
      link = new WorkerLink(
        worker,
        client,
        authority,
        this.fences,
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

/**
 * True if another worker answers at its address, or if it is silent and another
 * one is on its VM. A successor may be listed before the worker has ended.
 */
function hasEnded(
  {entry, isReplaced, isListed, failedRenewals}: WorkerState,
  newest: ReadonlyMap<VmId, number>,
): boolean {
  const {vmId, incarnation} = entry;
  const onVm = vmId === undefined ? undefined : newest.get(vmId);
  const isSilent = !isListed || failedRenewals > 0;
  return isReplaced || (isSilent && (onVm ?? incarnation) > incarnation);
}

function isStalled(run: Run): boolean {
  const {longRunning, usesSpareProcessor} = run.step;
  // Work on spare processors may be slowed down to 0 %.
  if (longRunning === true || usesSpareProcessor === true) return false;
  if (run.stalledMs < STALL_TIMEOUT_MS) return false;
  return run.unit.runs.every(({phase}) => phase === 'running');
}

function isSameShape(a: TaskShape, b: TaskShape): boolean {
  return (
    a.processorMillicores === b.processorMillicores &&
    a.memoryMegabytes === b.memoryMegabytes &&
    a.accelerators === b.accelerators
  );
}

/** Entry for a worker that a record names but the directory does not list. */
function placeholderEntry(run: Run): WorkerEntry {
  return {
    workerId: run.workerId,
    incarnation: run.incarnation,
    address: undefined,
    serviceId: run.unit.job.serviceId,
    zone: trustedId('unknown'),
    rackId: undefined,
    labels: new Set(),
    capacity: {processorMillicores: 0, memoryMegabytes: 0, accelerators: 0},
    isDraining: false,
    remainingMs: undefined,
    vmId: run.vmId,
  };
}
