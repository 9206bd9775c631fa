/**
 * The full view: which accelerators are free, held by a gang, or kept for a
 * job that waits for its cell. Borrowers count here.
 */

import type {Cell} from './cells.js';
import {cellEnd, partsWhere} from './cells.js';
import {FreeCells} from './free_cells.js';
import type {VisitCounter} from './free_cells.js';
import type {PlannedJob} from './planned_job.js';
import {partsTaken} from './planned_job.js';
import type {Racks} from './racks.js';

export class OccupancyView {
  readonly free: FreeCells;
  private readonly gangs: Array<PlannedJob | undefined> = [];
  private readonly reserved: Array<PlannedJob | undefined> = [];

  constructor(
    private readonly racks: Racks,
    private readonly visits: VisitCounter,
  ) {
    this.free = new FreeCells(visits);
  }

  gangAt(position: number): PlannedJob | undefined {
    return this.gangs[position];
  }

  reservationAt(position: number): PlannedJob | undefined {
    return this.reserved[position];
  }

  /** Works out again what is free within a cell. */
  refresh(cell: Cell): void {
    this.visits.visited += cell.size;
    this.free.allocateFreeParts(cell);
    const parts = partsWhere(
      cell,
      (at) =>
        this.gangs[at] === undefined &&
        this.reserved[at] === undefined &&
        this.racks.isUsable(at),
    );
    for (const part of parts) this.free.release(part);
  }

  /**
   * Marks the gang's accelerators as held. Accelerators that another gang
   * holds stay with that gang.
   */
  occupy(job: PlannedJob, parts: readonly Cell[]): void {
    for (const position of positionsOf(parts)) {
      this.gangs[position] ??= job;
    }
    for (const part of parts) this.refresh(part);
  }

  vacate(job: PlannedJob, parts: readonly Cell[]): void {
    for (const position of positionsOf(parts)) {
      if (this.gangs[position] === job) this.gangs[position] = undefined;
    }
    for (const part of parts) this.refresh(part);
  }

  /** Keeps what the job needs of the cell from all other jobs. */
  reserve(job: PlannedJob, cell: Cell): void {
    for (const position of positionsOf(partsTaken(job, cell))) {
      this.reserved[position] = job;
    }
    this.refresh(cell);
  }

  releaseReservation(job: PlannedJob, cell: Cell): void {
    for (const position of positionsOf([cell])) {
      if (this.reserved[position] === job) this.reserved[position] = undefined;
    }
    this.refresh(cell);
  }

  /** Gangs on the accelerators that the job needs of the cell. */
  conflictingGangs(job: PlannedJob, cell: Cell): ReadonlySet<PlannedJob> {
    const gangs = new Set<PlannedJob>();
    for (const position of positionsOf(partsTaken(job, cell))) {
      this.visits.visited += 1;
      const gang = this.gangs[position];
      if (gang !== undefined) gangs.add(gang);
    }
    return gangs;
  }

  /** Other jobs for which accelerators of the cell are kept. */
  conflictingReservations(
    job: PlannedJob,
    cell: Cell,
  ): ReadonlySet<PlannedJob> {
    const keepers = new Set<PlannedJob>();
    for (const position of positionsOf(partsTaken(job, cell))) {
      const keeper = this.reserved[position];
      if (keeper !== undefined && keeper !== job) keepers.add(keeper);
    }
    return keepers;
  }
}

function* positionsOf(parts: readonly Cell[]): Generator<number> {
  for (const part of parts) {
    for (let at = part.position; at < cellEnd(part); at += 1) yield at;
  }
}
