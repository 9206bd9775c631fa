/**
 * The full view: which accelerators are free, held by a gang, or kept for a
 * job that waits for its cell. Borrowers count here.
 */

import type {Cell} from './cells.js';
import {cellEnd, partsWhere} from './cells.js';
import {FreeCells} from './free_cells.js';
import type {VisitCounter} from './free_cells.js';
import type {PlannedJob} from './planned_job.js';
import {cellsOccupiedAt} from './planned_job.js';
import type {Racks} from './racks.js';

export class FullView {
  readonly free: FreeCells;
  private readonly gangAt: Array<PlannedJob | undefined> = [];
  private readonly keptFor: Array<PlannedJob | undefined> = [];

  constructor(
    private readonly racks: Racks,
    private readonly visits: VisitCounter,
  ) {
    this.free = new FreeCells(visits);
  }

  gangOn(position: number): PlannedJob | undefined {
    return this.gangAt[position];
  }

  keeperOf(position: number): PlannedJob | undefined {
    return this.keptFor[position];
  }

  /** Works out again what is free within a cell. */
  refresh(cell: Cell): void {
    this.visits.visited += cell.size;
    this.free.takeFreeParts(cell);
    const parts = partsWhere(
      cell,
      (at) =>
        this.gangAt[at] === undefined &&
        this.keptFor[at] === undefined &&
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
      this.gangAt[position] ??= job;
    }
    for (const part of parts) this.refresh(part);
  }

  vacate(job: PlannedJob, parts: readonly Cell[]): void {
    for (const position of positionsOf(parts)) {
      if (this.gangAt[position] === job) this.gangAt[position] = undefined;
    }
    for (const part of parts) this.refresh(part);
  }

  /** Keeps what the job needs of the cell from all other jobs. */
  keep(job: PlannedJob, cell: Cell): void {
    for (const position of positionsOf(cellsOccupiedAt(job, cell))) {
      this.keptFor[position] = job;
    }
    this.refresh(cell);
  }

  unkeep(job: PlannedJob, cell: Cell): void {
    for (const position of positionsOf([cell])) {
      if (this.keptFor[position] === job) this.keptFor[position] = undefined;
    }
    this.refresh(cell);
  }

  /** Gangs on the accelerators that the job needs of the cell. */
  gangsInTheWay(job: PlannedJob, cell: Cell): ReadonlySet<PlannedJob> {
    const gangs = new Set<PlannedJob>();
    for (const position of positionsOf(cellsOccupiedAt(job, cell))) {
      this.visits.visited += 1;
      const gang = this.gangAt[position];
      if (gang !== undefined) gangs.add(gang);
    }
    return gangs;
  }

  /** Other jobs for which accelerators of the cell are kept. */
  keepersInTheWay(job: PlannedJob, cell: Cell): ReadonlySet<PlannedJob> {
    const keepers = new Set<PlannedJob>();
    for (const position of positionsOf(cellsOccupiedAt(job, cell))) {
      const keeper = this.keptFor[position];
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
