/**
 * Shapes of single tasks for which a scheduling round found no free capacity.
 * Capacity only shrinks during a round, so later tasks that need as much need
 * not be tried on every worker again. This bounds the time of a round when
 * thousands of alike tasks wait.
 */

import type {TaskShape} from '../../model/submissions.js';
import type {FreeCapacityTable} from './free_capacity.js';
import type {Unit} from '../jobs/jobs.js';
import type {RankedBatch} from './unit_ranking.js';

interface ExhaustedShape {
  readonly shape: TaskShape;
  /** Shorter tasks may still fit before a reserved start. */
  readonly expectedMs: number;
}

export class ExhaustedShapes {
  private readonly byTable = new Map<FreeCapacityTable, ExhaustedShape[]>();

  /** Records that no task of the batch could be placed. */
  add({unit, expectedMs}: RankedBatch, table: FreeCapacityTable): void {
    if (!isUnrestricted(unit, table)) return;
    const shapes = this.byTable.get(table) ?? [];
    shapes.push({shape: unit.step.shape, expectedMs});
    this.byTable.set(table, shapes);
  }

  /** True if the batch cannot start and preempts nothing. */
  covers(
    {unit, rank, expectedMs}: RankedBatch,
    table: FreeCapacityTable,
  ): boolean {
    if (rank !== 'other' || !isSingle(unit)) return false;
    const {shape} = unit.step;
    return (this.byTable.get(table) ?? []).some(
      (exhausted) =>
        expectedMs >= exhausted.expectedMs &&
        shape.accelerators >= exhausted.shape.accelerators &&
        shape.processorMillicores >= exhausted.shape.processorMillicores &&
        shape.memoryMegabytes >= exhausted.shape.memoryMegabytes,
    );
  }
}

function isSingle({taskCount, step}: Unit): boolean {
  return taskCount === 1 && step.usesSpareProcessor !== true;
}

/** True if every worker that is open to other units could run the unit. */
function isUnrestricted(unit: Unit, table: FreeCapacityTable): boolean {
  const {dataRack, maximumPerWorker} = unit.step;
  const open = table.capacities.filter(({isIsolated}) => !isIsolated);
  return (
    isSingle(unit) &&
    dataRack === undefined &&
    maximumPerWorker === undefined &&
    table.eligible(open, unit).length === open.length
  );
}
