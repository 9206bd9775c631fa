/**
 * Actual occupancy of a zone: which accelerators are free, held by a gang, or
 * reserved for a job that waits for its cell. Unlike the guaranteed view of
 * `Guarantees`, it includes borrowers.
 */

import type {Cell} from './cells.js';
import {cellEnd, partsWhere} from './cells.js';
import {FreeCells} from './free_cells.js';
import type {VisitCounter} from './free_cells.js';
import type {PlannedJob} from './planned_job.js';
import {cellsOccupiedAt} from './planned_job.js';
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

  /** Recomputes which parts of a cell are free. */
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
   * Marks the accelerators as held by the job's gang, except those that
   * another gang already holds.
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

  /** Reserves the accelerators of the cell that the job needs. */
  reserve(job: PlannedJob, cell: Cell): void {
    for (const position of positionsOf(cellsOccupiedAt(job, cell))) {
      this.reserved[position] = job;
    }
    this.refresh(cell);
  }

  unreserve(job: PlannedJob, cell: Cell): void {
    for (const position of positionsOf([cell])) {
      if (this.reserved[position] === job) this.reserved[position] = undefined;
    }
    this.refresh(cell);
  }

  /** Gangs on the accelerators of the cell that the job needs. */
  conflictingGangs(job: PlannedJob, cell: Cell): ReadonlySet<PlannedJob> {
    const gangs = new Set<PlannedJob>();
    for (const position of positionsOf(cellsOccupiedAt(job, cell))) {
      this.visits.visited += 1;
      const gang = this.gangs[position];
      if (gang !== undefined) gangs.add(gang);
    }
    return gangs;
  }

  /** Other jobs with reservations on the accelerators that the job needs. */
  conflictingReservations(
    job: PlannedJob,
    cell: Cell,
  ): ReadonlySet<PlannedJob> {
    const holders = new Set<PlannedJob>();
    for (const position of positionsOf(cellsOccupiedAt(job, cell))) {
      const holder = this.reserved[position];
      if (holder !== undefined && holder !== job) holders.add(holder);
    }
    return holders;
  }
}

function* positionsOf(parts: readonly Cell[]): Generator<number> {
  for (const part of parts) {
    for (let at = part.position; at < cellEnd(part); at += 1) yield at;
  }
}
