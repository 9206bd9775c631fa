/**
 * Plans one step of the maintenance waves: which VMs are closed to new runs,
 * which runs are stopped, and which VMs go into maintenance. Pure: the plan
 * depends only on the leader's cached view, and nothing is ordered here.
 */

import type {Instant, VmId} from '../../model/ids.js';
import type {MaintenanceWave} from '../../interfaces/maintenance_requests.js';
import type {WorkerVm} from '../../interfaces/vm_service.js';
import type {Run} from '../jobs/runs.js';
import type {WaveRecord} from '../jobs/records.js';
import type {WorkerState} from '../workers/worker_state.js';

/**
 * Tasks of a long-running step without its own limit that may be down at the
 * same time.
 */
const DEFAULT_MAXIMUM_UNAVAILABLE = 1;

/** Share of a wave's duration that is reserved for repeating failed orders. */
const WAVE_RESERVE_SHARE = 0.2;

/**
 * State of a VM in a wave:
 * - `waiting`: no order has been sent;
 * - `ordered`: an order is recorded and may have been sent, but is unconfirmed;
 * - `begun`: the platform confirmed the order;
 * - `done`: the VM is up again, or gets no maintenance in this wave.
 */
export type VmProgress = 'waiting' | 'ordered' | 'begun' | 'done';

export interface WaveState {
  readonly wave: MaintenanceWave;
  readonly record: WaveRecord;
}

export interface MaintenanceView {
  readonly waves: readonly WaveState[];
  readonly vms: ReadonlyMap<VmId, WorkerVm>;
  /** Workers by the VM that hosts them. */
  readonly workers: ReadonlyMap<VmId, WorkerState>;
  readonly now: Instant;
  /** Duration of the maintenance of one VM, in milliseconds. */
  readonly maintenanceMs: number;
  /**
   * A restarted task counts as available after it has worked for this time, in
   * milliseconds.
   */
  readonly noticeMs: number;
  /** Time since which a VM has been closed to new runs. */
  readonly closedSince: ReadonlyMap<VmId, Instant>;
}

export interface MaintenanceOrder {
  readonly waveId: number;
  readonly vmId: VmId;
}

export interface MaintenancePlan {
  /** VMs on which no new runs may start. */
  readonly closedVms: ReadonlySet<VmId>;
  readonly stops: readonly Run[];
  /** VMs without runs whose maintenance may begin now, or is ordered again. */
  readonly orders: readonly MaintenanceOrder[];
}

export function planMaintenance(view: MaintenanceView): MaintenancePlan {
  const closed = new Set<VmId>();
  const stops: Run[] = [];
  const orders: MaintenanceOrder[] = [];
  const unavailable = new UnavailableTaskCounter(view);
  for (const state of view.waves) {
    const waiting = vmsIn(state, 'waiting').filter((vmId) =>
      isUp(view.vms.get(vmId)),
    );
    const ordered = vmsIn(state, 'ordered');
    const down = ordered.length + vmsIn(state, 'begun').length;
    const openSlots = Math.max(0, state.wave.maximumDown - down);
    const next = chooseNextVms(view, waiting, openSlots);
    const maximumWaitMs = maximumWaitForRuns(view, state, waiting.length);
    // Runs may have started on an ordered VM before this leader closed it.
    for (const vmId of [...ordered, ...next]) {
      closed.add(vmId);
      const runs = runsOn(view, vmId);
      if (runs.length === 0) {
        orders.push({waveId: state.wave.waveId, vmId});
        continue;
      }
      const closedMs = view.now - (view.closedSince.get(vmId) ?? view.now);
      stops.push(...runsToStop(runs, closedMs >= maximumWaitMs, unavailable));
    }
  }
  return {closedVms: closed, stops, orders};
}

/** Returns the state of a VM in a wave; a VM without an entry is `waiting`. */
export function progressOf(record: WaveRecord, vmId: VmId): VmProgress {
  return record.vms.find((entry) => entry.vmId === vmId)?.progress ?? 'waiting';
}

function vmsIn({wave, record}: WaveState, progress: VmProgress): VmId[] {
  return wave.vmIds.filter((vmId) => progressOf(record, vmId) === progress);
}

function isUp(vm: WorkerVm | undefined): boolean {
  return vm?.state === 'up';
}

/**
 * Prefers VMs that are already closed to new runs, then those whose runs have
 * the least remaining work.
 */
function chooseNextVms(
  view: MaintenanceView,
  waiting: readonly VmId[],
  openSlots: number,
): VmId[] {
  const cost = (vmId: VmId) =>
    runsOn(view, vmId).reduce((sum, run) => sum + remainingWork(run), 0);
  return [...waiting]
    .sort(
      (a, b) =>
        Number(view.closedSince.has(b)) - Number(view.closedSince.has(a)) ||
        cost(a) - cost(b),
    )
    .slice(0, openSlots);
}

/**
 * Estimated remaining work of a run, as its resources times milliseconds. Zero
 * for long-running steps, because waiting for them is pointless.
 */
function remainingWork({step, progressPercent: percent}: Run): number {
  if (step.longRunning === true) return 0;
  const resources = step.shape.processorMillicores + step.shape.accelerators;
  return resources * step.estimatedMs * (1 - percent / 100);
}

/**
 * Milliseconds that a closed VM may wait for its runs to end by themselves
 * without delaying the end of the wave.
 */
function maximumWaitForRuns(
  view: MaintenanceView,
  {wave, record}: WaveState,
  waiting: number,
): number {
  const endsAt = record.startedAt + wave.durationMs * (1 - WAVE_RESERVE_SHARE);
  const batches = Math.max(1, Math.ceil(waiting / wave.maximumDown));
  const batchMs = (endsAt - view.now) / batches;
  return Math.max(0, batchMs - view.maintenanceMs);
}

function runsOn(view: MaintenanceView, vmId: VmId): Run[] {
  return [...(view.workers.get(vmId)?.runs.values() ?? [])];
}

/**
 * Until the maximum wait is over, waits for runs that would lose their work.
 * Checkpointing and long-running runs are stopped once only such runs remain.
 */
function runsToStop(
  runs: readonly Run[],
  hasWaitedLongEnough: boolean,
  unavailable: UnavailableTaskCounter,
): Run[] {
  const running = runs.filter(({phase}) => phase === 'running');
  const keepsWork = ({step}: Run) =>
    step.longRunning === true || step.checkpointing === true;
  if (!hasWaitedLongEnough && !running.every(keepsWork)) return [];
  return running.filter((run) => unavailable.tryStop(run));
}

/** Enforces the number of tasks that a long-running step may miss at a time. */
class UnavailableTaskCounter {
  private readonly stopped = new Map<string, number>();

  constructor(private readonly view: MaintenanceView) {}

  /**
   * Returns true if the run may be stopped, and counts it as stopped. Always
   * true for steps that are not long-running.
   */
  tryStop(run: Run): boolean {
    const {unit, step} = run;
    if (step.longRunning !== true) return true;
    const key = `${unit.job.id}.${unit.occurrence}.${unit.stepIndex}`;
    const stopped = this.stopped.get(key) ?? 0;
    const limit = step.maximumAway ?? DEFAULT_MAXIMUM_UNAVAILABLE;
    if (this.unavailableTasks(run) + stopped >= limit) return false;
    this.stopped.set(key, stopped + 1);
    return true;
  }

  /**
   * Counts other tasks of the step that are unavailable. A task that restarted
   * less than `noticeMs` ago still counts.
   */
  private unavailableTasks({unit}: Run): number {
    const {now, noticeMs} = this.view;
    let count = 0;
    for (const other of unit.job.openUnits) {
      const isSameStep =
        other !== unit &&
        other.occurrence === unit.occurrence &&
        other.stepIndex === unit.stepIndex;
      if (!isSameStep) continue;
      const isAvailable = other.runs.some((run) =>
        run.isAvailable(noticeMs, now),
      );
      if (!isAvailable) count += other.taskCount;
    }
    return count;
  }
}
