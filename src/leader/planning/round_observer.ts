/**
 * What a scheduling round tells about its decisions while it makes them, for
 * operators who ask why work goes where it goes. A round decides the same with
 * an observer and without one.
 */

import type {Job, Unit, UnitObstacle} from '../jobs/jobs.js';
import type {FreeCapacityTable} from './free_capacity.js';
import type {VictimSelection} from './preemption.js';
import type {Rank} from './queue_order.js';
import type {Reservation} from './reservation.js';
import type {RankedBatch} from './unit_ranking.js';
import type {WorkerChoice} from './worker_choice.js';
import type {CandidateGroups} from './worker_groups.js';

/**
 * Why a unit is not among those that a round tries to place, beside its own
 * obstacles:
 * - `siteNotCalm`: its next loss would end its job, and workers become silent;
 * - `startedTasks`: the job's record describes no more started tasks;
 * - `crashAllowance`: others of its step have to prove first that they run.
 */
export type RoundObstacle =
  UnitObstacle | 'siteNotCalm' | 'startedTasks' | 'crashAllowance';

/** What the placement of a batch begins with. */
export interface ConsideredBatch {
  readonly batch: RankedBatch;
  readonly table: FreeCapacityTable;
  readonly candidates: CandidateGroups;
  readonly choice: WorkerChoice;
}

/** Nothing that an observer receives may be changed. */
export abstract class RoundObserver {
  /**
   * @param claimed Accelerators that the customer's urgent jobs need, up to and
   *     including this one; undefined if the job claims no guarantee.
   */
  abstract jobRanked(job: Job, rank: Rank, claimed: number | undefined): void;

  abstract unitNotReady(unit: Unit, obstacle: RoundObstacle): void;

  /** All ready work, in the order in which it is placed. */
  abstract batchesRanked(batches: readonly RankedBatch[]): void;

  /** The batch is the next to be placed. */
  abstract batchReached(considered: ConsideredBatch): void;

  /** The batch is not tried, as alike work found no room in this round. */
  abstract batchPassedOver(considered: ConsideredBatch): void;

  /** The batch waits until workers are vacant, as it may crash them. */
  abstract vacancyAwaited(considered: ConsideredBatch): void;

  /** The unit gets the capacity of these runs once they have ended. */
  abstract stopsPlanned(unit: Unit, selection: VictimSelection): void;

  abstract capacityReserved(unit: Unit, reservation: Reservation): void;
}
