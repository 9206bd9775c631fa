/**
 * Which kinds of work were beside a run on its worker in its first part. Later
 * neighbours don't count: a run that takes longer for any reason meets more of
 * them. Kinds are counted per worker, so that the cost of a start and
 * of an end doesn't grow with the pairs of runs.
 */

import type {Instant, WorkerId, WorkKind} from '../../model/ids.js';
import {instant, trustedId} from '../../model/ids.js';
import type {Unit} from '../jobs/jobs.js';
import type {Run} from '../jobs/runs.js';

/** Share of its usual time after which a run's neighbours are noted. */
const NOTED_SHARE = 0.3;

/** Beside more kinds, none of them can be told apart from the others. */
const MAXIMUM_KINDS = 16;

/** Tasks of one image behave alike, or else those of one step of a queue. */
export function kindOf({job, step, stepIndex}: Unit): WorkKind {
  return trustedId<WorkKind>(step.image ?? `${job.queueId} step ${stepIndex}`);
}

export class NeighbourTable {
  private readonly workers = new Map<WorkerId, WorkerNeighbours>();

  /** Notes that the run is on its worker, usually for `expectedMs`. */
  runStarted(run: Run, expectedMs: number, now: Instant): void {
    let worker = this.workers.get(run.workerId);
    if (worker === undefined) {
      worker = new WorkerNeighbours();
      this.workers.set(run.workerId, worker);
    }
    worker.add(run, instant(now + NOTED_SHARE * expectedMs), now);
  }

  /**
   * Notes that the run is no longer on its worker. Returns the kinds that were
   * beside it, or undefined if they are too many or it ended too early.
   */
  runEnded(run: Run, now: Instant): ReadonlySet<WorkKind> | undefined {
    const worker = this.workers.get(run.workerId);
    const neighbours = worker?.remove(run, now);
    if (worker?.isVacant === true) this.workers.delete(run.workerId);
    return neighbours;
  }
}

interface PresentRun {
  readonly kind: WorkKind;
  readonly notedAt: Instant;
  neighbours: ReadonlySet<WorkKind> | undefined;
}

class WorkerNeighbours {
  private readonly runs = new Map<Run, PresentRun>();
  private readonly runsByKind = new Map<WorkKind, number>();
  /** Runs whose neighbours are still to be noted, in order of that time. */
  private unsettled: PresentRun[] = [];

  get isVacant(): boolean {
    return this.runs.size === 0;
  }

  add(run: Run, notedAt: Instant, now: Instant): void {
    if (this.runs.has(run)) return;
    this.settle(now);
    const present: PresentRun = {
      kind: kindOf(run.unit),
      notedAt,
      neighbours: undefined,
    };
    this.runs.set(run, present);
    const later = this.unsettled.findIndex((other) => other.notedAt > notedAt);
    this.unsettled.splice(
      later < 0 ? this.unsettled.length : later,
      0,
      present,
    );
    this.count(present.kind, 1);
  }

  remove(run: Run, now: Instant): ReadonlySet<WorkKind> | undefined {
    this.settle(now);
    const present = this.runs.get(run);
    if (present === undefined) return undefined;
    this.runs.delete(run);
    if (present.notedAt > now) {
      this.unsettled = this.unsettled.filter((other) => other !== present);
    }
    this.count(present.kind, -1);
    return present.neighbours;
  }

  /** The runs have been the same since the last call. */
  private settle(now: Instant): void {
    const settled = this.unsettled.findIndex(({notedAt}) => notedAt > now);
    const due = this.unsettled.splice(
      0,
      settled < 0 ? this.unsettled.length : settled,
    );
    for (const present of due) present.neighbours = this.kindsBeside(present);
  }

  private kindsBeside({kind}: PresentRun): ReadonlySet<WorkKind> | undefined {
    if (this.runsByKind.size > MAXIMUM_KINDS) return undefined;
    const kinds = new Set(this.runsByKind.keys());
    if (this.runsByKind.get(kind) === 1) kinds.delete(kind);
    return kinds;
  }

  private count(kind: WorkKind, change: number): void {
    const count = (this.runsByKind.get(kind) ?? 0) + change;
    if (count > 0) this.runsByKind.set(kind, count);
    else this.runsByKind.delete(kind);
  }
}
