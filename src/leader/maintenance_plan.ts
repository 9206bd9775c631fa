/**
 * Decides which VMs of a wave of maintenance get no new runs, which runs are
 * stopped first, and which maintenances begin. Pure: it reads beliefs and
 * returns a plan.
 */

import type {Instant, VmId} from '../model/ids.js';
import type {MaintenanceWave} from '../parties/maintenance_requests.js';
import type {WorkerVm} from '../parties/vm_service.js';
import type {Run} from './jobs.js';
import type {WaveRecord} from './records.js';
import type {WorkerState} from './worker_state.js';

/** A lasting step without a bound of its own misses one task at a time. */
const DEFAULT_MAXIMUM_AWAY = 1;

/** Kept free at the end of a wave for orders that have to be repeated. */
const WAVE_RESERVE_SHARE = 0.2;

/**
 * - `waiting`: nothing was ordered;
 * - `ordered`: an order may have been sent, or was and got no answer;
 * - `begun`: the platform confirmed the order;
 * - `done`: the VM is up again, or will have no maintenance in this wave.
 */
export type VmProgress = 'waiting' | 'ordered' | 'begun' | 'done';

export interface WaveState {
  readonly wave: MaintenanceWave;
  readonly record: WaveRecord;
}

export interface MaintenanceView {
  readonly waves: readonly WaveState[];
  readonly vms: ReadonlyMap<VmId, WorkerVm>;
  /** Workers by the VM that they live on. */
  readonly workers: ReadonlyMap<VmId, WorkerState>;
  readonly now: Instant;
  /** Time that one maintenance takes, in milliseconds. */
  readonly maintenanceMs: number;
  /** A task counts as at work again after this time, in milliseconds. */
  readonly noticeMs: number;
  /** Since when a VM has been kept free of new runs. */
  readonly closedSince: ReadonlyMap<VmId, Instant>;
}

export interface MaintenanceOrder {
  readonly waveId: number;
  readonly vmId: VmId;
}

export interface MaintenancePlan {
  /** VMs that get no new runs. */
  readonly closed: ReadonlySet<VmId>;
  readonly stops: readonly Run[];
  /** VMs on which nothing runs any more and that may go down now. */
  readonly orders: readonly MaintenanceOrder[];
}

export function planMaintenance(view: MaintenanceView): MaintenancePlan {
  const closed = new Set<VmId>();
  const stops: Run[] = [];
  const orders: MaintenanceOrder[] = [];
  const away = new AwayCounter(view);
  for (const state of view.waves) {
    const waiting = vmsIn(state, 'waiting').filter((vmId) =>
      isUp(view.vms.get(vmId)),
    );
    const down = vmsIn(state, 'ordered').length + vmsIn(state, 'begun').length;
    for (const vmId of vmsIn(state, 'ordered')) closed.add(vmId);
    const places = Math.max(0, state.wave.maximumDown - down);
    const next = nextVms(view, waiting, places);
    const patienceMs = patienceOf(view, state, waiting.length);
    for (const vmId of next) {
      closed.add(vmId);
      const runs = runsOn(view, vmId);
      if (runs.length === 0) {
        orders.push({waveId: state.wave.waveId, vmId});
        continue;
      }
      const closedMs = view.now - (view.closedSince.get(vmId) ?? view.now);
      stops.push(...runsToStop(runs, closedMs >= patienceMs, away));
    }
  }
  return {closed, stops, orders};
}

/** Returns the state of a VM in a wave; VMs that are not named are waiting. */
export function progressOf(record: WaveRecord, vmId: VmId): VmProgress {
  return record.vms.find((entry) => entry.vmId === vmId)?.progress ?? 'waiting';
}

function vmsIn({wave, record}: WaveState, progress: VmProgress): VmId[] {
  return wave.vmIds.filter((vmId) => progressOf(record, vmId) === progress);
}

function isUp(vm: WorkerVm | undefined): boolean {
  return vm?.state === 'up';
}

/** VMs that are closed already stay chosen; then those with the least to lose. */
function nextVms(
  view: MaintenanceView,
  waiting: readonly VmId[],
  places: number,
): VmId[] {
  const cost = (vmId: VmId) =>
    runsOn(view, vmId).reduce((sum, run) => sum + remainingWork(run), 0);
  return [...waiting]
    .sort(
      (a, b) =>
        Number(view.closedSince.has(b)) - Number(view.closedSince.has(a)) ||
        cost(a) - cost(b),
    )
    .slice(0, places);
}

/** Runs that last never end by themselves; the others do by their estimate. */
function remainingWork({step, progressPercent: percent}: Run): number {
  if (step.longRunning === true) return 0;
  const cores = step.shape.processorMillicores + step.shape.accelerators;
  return cores * step.estimatedMs * (1 - percent / 100);
}

/** How long a closed VM may wait for its runs to end by themselves. */
function patienceOf(
  view: MaintenanceView,
  {wave, record}: WaveState,
  waiting: number,
): number {
  const endsAt = record.startedAt + wave.durationMs * (1 - WAVE_RESERVE_SHARE);
  const rounds = Math.max(1, Math.ceil(waiting / wave.maximumDown));
  const roundMs = (endsAt - view.now) / rounds;
  return Math.max(0, roundMs - view.maintenanceMs);
}

function runsOn(view: MaintenanceView, vmId: VmId): Run[] {
  return [...(view.workers.get(vmId)?.runs.values() ?? [])];
}

/**
 * While there is time, only waits for runs that would lose work: those that
 * are saved or last are stopped once nothing else is left.
 */
function runsToStop(
  runs: readonly Run[],
  isOverdue: boolean,
  away: AwayCounter,
): Run[] {
  const running = runs.filter(({phase}) => phase === 'running');
  const keepsWork = ({step}: Run) =>
    step.longRunning === true || step.checkpointing === true;
  if (!isOverdue && !running.every(keepsWork)) return [];
  return running.filter((run) => away.mayStop(run));
}

/** Counts the tasks of lasting steps that are not at work. */
class AwayCounter {
  private readonly taken = new Map<string, number>();

  constructor(private readonly view: MaintenanceView) {}

  /** Counts the run as stopped if its step can miss it. */
  mayStop(run: Run): boolean {
    const {unit, step} = run;
    if (step.longRunning !== true) return true;
    const key = `${unit.job.id}.${unit.occurrence}.${unit.stepIndex}`;
    const taken = this.taken.get(key) ?? 0;
    const limit = step.maximumAway ?? DEFAULT_MAXIMUM_AWAY;
    if (this.alreadyAway(run) + taken >= limit) return false;
    this.taken.set(key, taken + 1);
    return true;
  }

  /** A task that has just come back still counts as away. */
  private alreadyAway({unit}: Run): number {
    const {now, noticeMs} = this.view;
    let count = 0;
    for (const other of unit.job.openUnits) {
      const isSameStep =
        other !== unit &&
        other.occurrence === unit.occurrence &&
        other.stepIndex === unit.stepIndex;
      if (!isSameStep) continue;
      const isAtWork = other.runs.some(
        ({phase, fullyActiveSince: atWorkSince}) =>
          phase === 'running' &&
          atWorkSince !== undefined &&
          now - atWorkSince >= noticeMs,
      );
      if (!isAtWork) count += other.taskCount;
    }
    return count;
  }
}
