/**
 * Workers that became silent or ended lately. If many do so at about the same
 * time, the cause is the site and not the work: their losses say nothing about
 * the tasks that were on them, and what is started next will probably be lost
 * as well.
 */

import type {Instant, WorkerId} from '../../model/ids.js';
import type {Unit} from '../jobs/jobs.js';
import type {WorkerState} from '../workers/worker_state.js';

/** Outages within this time of each other have a common cause. */
const COMMON_CAUSE_MS = 1_000;

/** Widespread outages are at least this many, and this share of the workers. */
const MINIMUM_WIDESPREAD = 3;
const WIDESPREAD_SHARE = 1 / 8;

/** The site is calm this long after the last widespread outages. */
const CALM_AFTER_MS = 3_000;

/** Outages are remembered for as long as a loss may be found after them. */
const REMEMBERED_MS = 15_000;

interface Outage {
  readonly workerId: WorkerId;
  readonly at: Instant;
  /** The only unit on the worker, which may have caused the outage. */
  readonly onlyUnit: Unit | undefined;
}

export class WorkerOutages {
  private outages: readonly Outage[] = [];
  private lastWidespreadAt: Instant | undefined;

  constructor(private readonly listedWorkers: () => number) {}

  /** The worker has become silent or has ended. */
  record(worker: WorkerState, now: Instant): void {
    const {workerId, incarnation, runs} = worker;
    if (worker.wasEndExpected(incarnation)) return;
    const sent = [...runs.values()].filter(({wasStartSent}) => wasStartSent);
    const units = new Set(sent.map(({unit}) => unit));
    const [onlyUnit] = units.size === 1 ? units : [];
    // The unit is the more probable cause, and waits until the site is calm.
    if (onlyUnit?.crashes.mustRunAlone === true) return;
    this.outages = [
      ...this.outages.filter(({at}) => now - at <= REMEMBERED_MS),
      {workerId, at: now, onlyUnit},
    ];
    if (this.isWidespreadAt(now)) this.lastWidespreadAt = now;
  }

  /** True if many workers had outages at about that time. */
  isWidespreadAt(time: Instant): boolean {
    const causes = new Set<Unit | WorkerId>();
    for (const {workerId, at, onlyUnit} of this.outages) {
      if (Math.abs(at - time) > COMMON_CAUSE_MS) continue;
      causes.add(onlyUnit ?? workerId);
    }
    const share = Math.ceil(this.listedWorkers() * WIDESPREAD_SHARE);
    return causes.size >= Math.max(MINIMUM_WIDESPREAD, share);
  }

  /** False during widespread outages and shortly after. */
  isCalm(now: Instant): boolean {
    const {lastWidespreadAt} = this;
    return (
      lastWidespreadAt === undefined || now - lastWidespreadAt >= CALM_AFTER_MS
    );
  }
}
