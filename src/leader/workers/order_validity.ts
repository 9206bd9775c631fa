/**
 * Whether an order to a worker is still right. Orders wait for durable records,
 * for their turn and for answers, and what they were decided on may change
 * meanwhile. Each order is checked here before each attempt to send it, and
 * those that wait for their turn whenever the worker's entry changes.
 */

import type {SteadyTime} from '../../lifecycle/clock.js';
import type {Run} from '../jobs/runs.js';
import type {Authority} from '../authority.js';
import type {WorkerLinkEvents} from './worker_events.js';
import type {WorkerState} from './worker_state.js';

export interface OutdatedStart {
  readonly run: Run;
  /** Why it must not be sent. */
  readonly obstacle: string;
}

export class OrderValidity {
  constructor(
    private readonly worker: WorkerState,
    private readonly authority: Authority,
    private readonly events: WorkerLinkEvents,
  ) {}

  /** True if orders of this term may be sent at all. */
  mayOrder(now: SteadyTime): boolean {
    return this.authority.mayAct(now);
  }

  /** True if the run is still one of the worker's. */
  isAssigned(run: Run): boolean {
    return this.worker.find(run.task, run.runNumber) === run;
  }

  isStartNeeded(run: Run): boolean {
    return run.phase === 'ordered' && this.isAssigned(run);
  }

  maySendPace(run: Run, now: SteadyTime): boolean {
    return (
      run.phase === 'running' && this.isAssigned(run) && this.mayOrder(now)
    );
  }

  /**
   * Those of the runs that wait for a start and can no longer have it. The room
   * is looked at when their turn comes, as each look takes all of the worker's
   * runs.
   */
  outdatedStarts(runs: Iterable<Run>, now: SteadyTime): OutdatedStart[] {
    // An uncertain leader does not move work either.
    if (!this.mayOrder(now)) return [];
    const outdated: OutdatedStart[] = [];
    for (const run of runs) {
      if (!this.isStartNeeded(run)) continue;
      const obstacle =
        this.workerObstacle(run) ?? this.events.withholdStart(this.worker);
      if (obstacle !== undefined) outdated.push({run, obstacle});
    }
    return outdated;
  }

  /** Returns why a start that is needed must not be sent, if it must not. */
  startObstacle(run: Run, now: SteadyTime): string | undefined {
    if (!this.mayOrder(now)) return 'leadership is uncertain';
    return (
      this.workerObstacle(run) ??
      (this.worker.hasRoomFor(run)
        ? this.events.withholdStart(this.worker)
        : 'the capacity of its worker was reduced')
    );
  }

  /** Returns why the worker is no longer one for the run, whatever its room. */
  private workerObstacle(run: Run): string | undefined {
    const {worker} = this;
    const {isDraining, labels} = worker.entry;
    const {requiredLabel} = run.step;
    if (!worker.isListed) return 'its worker has left the directory';
    if (worker.isReplaced || worker.incarnation !== run.incarnation) {
      return 'its worker has restarted';
    }
    if (isDraining) return 'its worker is draining';
    if (worker.isClosedToNewRuns) return 'its worker is closed to new runs';
    if (requiredLabel !== undefined && !labels.has(requiredLabel)) {
      return `its worker no longer has the label ${requiredLabel}`;
    }
    return undefined;
  }
}
