/**
 * A job as the planner keeps it between `enqueue` or `adopt` and the end of
 * its gang, and what is remembered of it between two attempts.
 */

import type {Instant, JobId, VmId} from '../model/ids.js';
import type {JobRecord} from '../model/jobs.js';
import type {CellSize} from '../model/shapes.js';
import {ACCELERATORS_PER_WORKER, nextPowerOfTwo} from '../model/shapes.js';
import type {Cell} from './cells.js';
import {acceleratorsTaken, cellsOfRange} from './cells.js';
import type {BoundCell} from './guarantees.js';
import type {Racks} from './racks.js';
import type {GangPlacement, TaskPlacement} from './zone_planner.js';

export type JobStage =
  /** Waits without a cell. */
  | 'queued'
  /** A guaranteed job whose cell is being reclaimed from borrowers. */
  | 'reclaiming'
  /** A starved job for which the cell is kept free as others end. */
  | 'reserving'
  /** Handed to the controller to be started. */
  | 'starting'
  | 'running'
  /** Preempted; its tasks may still be on the workers. */
  | 'leaving';

/** What is known of a job from its earlier attempts. */
export interface JobHistory {
  preemptions: number;
  /** Not started on lent capacity before this time. */
  notBefore: Instant | undefined;
  /** Workers on which a task of the job failed by itself. */
  readonly failedOn: Set<VmId>;
  /** Workers that did not take a task of the job or failed one. */
  readonly workersToAvoid: Set<VmId>;
  /** Run time of earlier attempts in milliseconds. */
  runTimeMs: number;
  /** Start of the wait that a withdrawn attempt did not end. */
  waitingSince: Instant | undefined;
}

export function emptyHistory(): JobHistory {
  return {
    preemptions: 0,
    notBefore: undefined,
    failedOn: new Set(),
    workersToAvoid: new Set(),
    runTimeMs: 0,
    waitingSince: undefined,
  };
}

export class PlannedJob {
  stage: JobStage = 'queued';
  /** Set from `reclaiming` and `reserving` on. */
  cell: Cell | undefined;
  /** What its gang takes; set from `starting` on. */
  occupiedCells: readonly Cell[] = [];
  /** Set while the job holds a part of its customer's guarantee. */
  boundCell: BoundCell | undefined;
  /** Set from `starting` on. */
  placement: GangPlacement | undefined;
  startedAt: Instant | undefined;
  checkpointedAt: Instant | undefined;

  constructor(
    readonly record: JobRecord,
    readonly cellSize: CellSize,
    readonly waitingSince: Instant,
    readonly history: JobHistory,
  ) {}

  get jobId(): JobId {
    return this.record.jobId;
  }

  get guaranteed(): boolean {
    return this.boundCell !== undefined;
  }

  /** Accelerators that its tasks use. */
  get accelerators(): number {
    return this.record.shape.tasks * this.record.shape.acceleratorsPerTask;
  }

  /** True if its gang is or may be on workers. */
  get placed(): boolean {
    return (
      this.stage === 'starting' ||
      this.stage === 'running' ||
      this.stage === 'leaving'
    );
  }

  /** Accelerator milliseconds that would be lost if it stopped now. */
  workLost(now: Instant): number {
    if (this.startedAt === undefined) return 0;
    const since = Math.max(this.startedAt, this.checkpointedAt ?? 0);
    return Math.max(0, now - since) * this.accelerators;
  }
}

/** The accelerators and workers of a gang that starts at `cell`. */
export function placementAt(
  job: PlannedJob,
  cell: Cell,
  racks: Racks,
): GangPlacement {
  const {tasks, acceleratorsPerTask} = job.record.shape;
  const stride = nextPowerOfTwo(acceleratorsPerTask);
  const placements = Array.from({length: tasks}, (_, task): TaskPlacement => {
    const position = cell.position + task * stride;
    const worker = racks.workerAt(position);
    if (worker === undefined) throw new Error(`no worker at ${position}`);
    const first = position % ACCELERATORS_PER_WORKER;
    return {
      workerId: worker.workerId,
      accelerators: Array.from(
        {length: acceleratorsPerTask},
        (_unused, index) => first + index,
      ),
    };
  });
  return {jobId: job.jobId, tasks: placements, guaranteed: job.guaranteed};
}

/** The parts of a cell that the job's gang takes; the rest stays free. */
export function cellsOccupiedAt(job: PlannedJob, cell: Cell): readonly Cell[] {
  const taken = acceleratorsTaken(job.record.shape);
  return cellsOfRange(cell.position, cell.position + taken);
}

/** Order of two jobs of a customer: urgent first, then by age, then by id. */
export function compareJobs(one: PlannedJob, other: PlannedJob): number {
  if (one.record.urgency !== other.record.urgency) {
    return one.record.urgency === 'urgent' ? -1 : 1;
  }
  const byAge = one.record.submittedAt - other.record.submittedAt;
  if (byAge !== 0) return byAge;
  return one.jobId < other.jobId ? -1 : one.jobId > other.jobId ? 1 : 0;
}
