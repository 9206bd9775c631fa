/**
 * The planner's state of a job from `enqueue` or `adopt` to the end of its
 * gang, and the history that is kept between two attempts.
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
  /** Waits and has no cell. */
  | 'queued'
  /** Guaranteed; waits until preempted borrowers have left its cell. */
  | 'reclaiming'
  /** Starved; its cell is reserved while the gangs on it run to their end. */
  | 'reserving'
  /** The controller has been asked to start the gang. */
  | 'starting'
  | 'running'
  /** Preempted; its tasks may still be on the workers. */
  | 'leaving';

/** Results of a job's earlier attempts. */
export interface JobHistory {
  preemptions: number;
  /** Earliest start on lent capacity, after a preemption. */
  notBefore: Instant | undefined;
  /** Workers on which a task of the job failed on its own. */
  readonly failedOn: Set<VmId>;
  /** Workers that did not accept a task of the job or on which one failed. */
  readonly workersToAvoid: Set<VmId>;
  /** Total run time of earlier attempts. */
  runTimeMs: number;
  /** Start of the wait, which continues after a withdrawn attempt. */
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
  /** Set from stage `reclaiming` or `reserving` on. */
  cell: Cell | undefined;
  /** Cells that the gang occupies; set from stage `starting` on. */
  occupiedCells: readonly Cell[] = [];
  /** Set while the job uses a part of its customer's guarantee. */
  boundCell: BoundCell | undefined;
  /** Set from stage `starting` on. */
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

  /** Number of accelerators that its tasks use. */
  get accelerators(): number {
    return this.record.shape.tasks * this.record.shape.acceleratorsPerTask;
  }

  /** True if its gang runs or may run on workers. */
  get placed(): boolean {
    return (
      this.stage === 'starting' ||
      this.stage === 'running' ||
      this.stage === 'leaving'
    );
  }

  /** Work since the last checkpoint in accelerator milliseconds. */
  workLost(now: Instant): number {
    if (this.startedAt === undefined) return 0;
    const since = Math.max(this.startedAt, this.checkpointedAt ?? 0);
    return Math.max(0, now - since) * this.accelerators;
  }
}

/** Workers and accelerators of the gang if it starts at `cell`. */
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

/** Parts of `cell` that the job's gang occupies; the rest stays free. */
export function cellsOccupiedAt(job: PlannedJob, cell: Cell): readonly Cell[] {
  const count = acceleratorsTaken(job.record.shape);
  return cellsOfRange(cell.position, cell.position + count);
}

/** Orders jobs of one customer: urgent first, then by age, then by id. */
export function compareJobs(one: PlannedJob, other: PlannedJob): number {
  if (one.record.urgency !== other.record.urgency) {
    return one.record.urgency === 'urgent' ? -1 : 1;
  }
  const byAge = one.record.submittedAt - other.record.submittedAt;
  if (byAge !== 0) return byAge;
  return one.jobId < other.jobId ? -1 : one.jobId > other.jobId ? 1 : 0;
}
