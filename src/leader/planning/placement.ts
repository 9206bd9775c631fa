/**
 * Plans one scheduling round: which units start on which workers, and which
 * runs are preempted for a customer's guaranteed work. Pure: the plan depends
 * only on the leader's cached view.
 */

import type {Instant} from '../../model/ids.js';
import {instant} from '../../model/ids.js';
import {findDoomedRuns} from './doomed_units.js';
import type {FreeCapacity, FreeCapacityTable} from './free_capacity.js';
import {FreeCapacityTables} from './free_capacity.js';
import {ExhaustedShapes} from './exhausted_shapes.js';
import {holdVacating, mayIsolate, mayShareWorkers} from './isolation.js';
import type {Job, Unit} from '../jobs/jobs.js';
import type {Run} from '../jobs/runs.js';
import type {PlanningView} from './planning_view.js';
import {selectVictims} from './preemption.js';
import {coreSecondsOf} from './preemption_policy.js';
import type {VictimSelection} from './preemption.js';
import type {Rank} from './queue_order.js';
import type {Reservation} from './reservation.js';
import type {ConsideredBatch} from './round_observer.js';
import {applyReservation, findReservation} from './reservation.js';
import type {RankedBatch} from './unit_ranking.js';
import {rankBatches} from './unit_ranking.js';
import {
  CROSS_RACK_SLOWDOWN,
  candidateGroups,
  isMostlyIdleService,
  wantsRack,
} from './worker_groups.js';
import {WorkerChoice} from './worker_choice.js';
import type {WorkerState} from '../workers/worker_state.js';

/** A unit and the worker of each of its tasks, in order of index. */
export interface Placement {
  readonly unit: Unit;
  readonly workers: readonly WorkerState[];
  /** No other unit may be placed on these workers. */
  readonly isIsolated: boolean;
}

export interface RoundPlan {
  readonly placements: readonly Placement[];
  /** Runs of whole units to stop. */
  readonly preemptions: readonly Run[];
  /** The unit that each of these runs is stopped for. */
  readonly beneficiaries: ReadonlyMap<Run, Unit>;
  /** Runs of whole units that would be lost with workers that are leaving. */
  readonly doomed: readonly Run[];
  /** Units that were not placed; some may first need admission tickets. */
  readonly waiting: readonly Unit[];
  /** Earliest time at which a unit becomes ready without any other event. */
  readonly nextDueAt: Instant | undefined;
}

/** Limit of reservations, so that small jobs still find free capacity. */
const MAXIMUM_RESERVATIONS = 8;

/** Limit of searches for capacity to reserve, each over all workers. */
const MAXIMUM_RESERVATION_SEARCHES = 12;

/** Expected ends may come later than this by chance. */
const RESERVATION_MARGIN_MS = 300;

export function planRound(view: PlanningView): RoundPlan {
  return new SchedulingRound(view).plan();
}

/**
 * Which runs may be preempted for a batch:
 * - `checkpointing`: those with checkpoints in queues below the highest priority;
 * - `lowerPriority`: all in these queues;
 * - `unguaranteed`: urgent work beyond the guarantees too.
 */
type PreemptibleRuns =
  'none' | 'checkpointing' | 'lowerPriority' | 'unguaranteed';

interface PreemptionRequest {
  readonly batch: RankedBatch;
  readonly table: FreeCapacityTable;
  readonly preemptible: PreemptibleRuns;
}

class SchedulingRound {
  private readonly placements: Placement[] = [];
  private readonly beneficiaries = new Map<Run, Unit>();
  private readonly waiting: Unit[] = [];
  private readonly tables: FreeCapacityTables;
  private reservationCount = 0;
  private reservationSearches = 0;
  private readonly exhausted = new ExhaustedShapes();
  private ranks: ReadonlyMap<Job, Rank> = new Map();

  constructor(private readonly view: PlanningView) {
    this.tables = new FreeCapacityTables(view);
  }

  plan(): RoundPlan {
    const {batches, ranks, nextDueAt} = rankBatches(this.view, this.tables);
    this.ranks = ranks;
    for (const batch of batches) this.place(batch);
    return {
      placements: this.placements,
      preemptions: [...this.beneficiaries.keys()],
      beneficiaries: this.beneficiaries,
      doomed: this.doomedRuns(),
      waiting: this.waiting,
      nextDueAt,
    };
  }

  private doomedRuns(): readonly Run[] {
    const {preemption, workers, runTimes, now, steady} = this.view;
    if (!preemption.stopsDoomedRuns) return [];
    return findDoomedRuns(workers.values(), runTimes, now, steady);
  }

  private place(batch: RankedBatch): void {
    const {unit} = batch;
    const {now, observer} = this.view;
    const table = this.tables.tableFor(unit);
    if (this.exhausted.covers(batch, table)) {
      observer?.batchPassedOver(this.consider(batch, table));
      this.waiting.push(...batch.units);
      return;
    }
    const considered = this.consider(batch, table);
    const {choice, candidates} = considered;
    observer?.batchReached(considered);
    const {crossRack} = candidates;
    const racks = choice.orderGroups(candidates.racks);
    if (unit.crashes.isSuspect) {
      const groups = [...racks, ...crossRack];
      if (this.placeAlone(batch, choice, groups, table)) return;
      const isMostlyIdle = isMostlyIdleService(table);
      if (!mayShareWorkers(unit, batch.rank, isMostlyIdle, now)) {
        this.waiting.push(unit);
        observer?.vacancyAwaited(considered);
        const eligible = groups.map((group) => table.eligible(group, unit));
        holdVacating(unit, eligible, this.view.runTimes, now);
        return;
      }
    }
    let units = this.tryPlace(batch.units, choice, racks, table);
    if (units.length === 0) return;
    if (units.length === batch.units.length) this.exhausted.add(batch, table);
    const reservation = this.mayReserve(batch, table)
      ? this.findReservation(unit, table, racks)
      : undefined;
    const request = {
      batch,
      table,
      preemptible: this.preemptibleFor(batch, reservation),
    };
    const preferred = wantsRack(unit) ? racks : [];
    if (this.preemptInRack(request, preferred)) return;
    units = this.tryPlace(units, choice, crossRack, table);
    const groups = wantsRack(unit) ? crossRack : [...racks, ...crossRack];
    units = units.filter((each) => !this.preempt(each, request, groups));
    if (request.preemptible === 'lowerPriority') {
      const wider = {...request, preemptible: 'unguaranteed'} as const;
      units = units.filter((each) => !this.preempt(each, wider, groups));
    }
    if (units.length === 0) return;
    this.waiting.push(...units);
    if (!this.mayReserve(batch, table)) return;
    this.reserve(
      unit,
      reservation ?? this.findReservation(unit, table, crossRack),
    );
  }

  private consider(
    batch: RankedBatch,
    table: FreeCapacityTable,
  ): ConsideredBatch {
    return {
      batch,
      table,
      choice: new WorkerChoice(batch, table, this.view),
      candidates: candidateGroups(batch, table, this.view.now),
    };
  }

  /** Places a suspect on vacant workers, if it fits there. */
  private placeAlone(
    batch: RankedBatch,
    choice: WorkerChoice,
    groups: ReadonlyArray<readonly FreeCapacity[]>,
    table: FreeCapacityTable,
  ): boolean {
    if (!mayIsolate(batch.unit, table)) return false;
    const vacant = groups.map((group) =>
      group.filter(({isVacant}) => isVacant),
    );
    const left = this.tryPlace(batch.units, choice, vacant, table, true);
    return left.length === 0;
  }

  /**
   * Allocates the first group of workers that a gang fits into, or as many
   * single tasks as fit. Returns the units that were not placed.
   */
  private tryPlace(
    units: readonly Unit[],
    choice: WorkerChoice,
    groups: ReadonlyArray<readonly FreeCapacity[]>,
    table: FreeCapacityTable,
    isIsolated = false,
  ): readonly Unit[] {
    const {unit} = choice;
    let remaining = units;
    for (const group of groups) {
      if (remaining.length === 0) break;
      const chosen = choice.choose(
        remaining.length * unit.taskCount,
        table.eligible(group, unit),
      );
      const fitting = Math.floor(chosen.length / unit.taskCount);
      remaining.slice(0, fitting).forEach((each, position) => {
        const first = position * unit.taskCount;
        const capacities = chosen.slice(first, first + unit.taskCount);
        const endsAt = choice.endOn(capacities);
        for (const capacity of capacities) {
          capacity.allocate(each, 1, endsAt);
          if (isIsolated) capacity.isolate(each);
        }
        this.placements.push({
          unit: each,
          workers: capacities.map(({worker}) => worker),
          isIsolated,
        });
      });
      remaining = remaining.slice(fitting);
    }
    return remaining;
  }

  // Reservations.

  /**
   * Late results do not justify idle workers, except for urgent work. Beside
   * idle workers a small job that waits for a gang counts as lost after 3 s.
   */
  private mayReserve(
    {unit, rank, timeliness}: RankedBatch,
    table: FreeCapacityTable,
  ): boolean {
    const isSmall = unit.taskCount === 1 && unit.step.shape.accelerators <= 1;
    if (isSmall || this.reservationCount >= MAXIMUM_RESERVATIONS) return false;
    if (rank !== 'other') return true;
    return timeliness === 'inTime' && !isMostlyIdleService(table);
  }

  private findReservation(
    unit: Unit,
    table: FreeCapacityTable,
    groups: ReadonlyArray<readonly FreeCapacity[]>,
  ): Reservation | undefined {
    const {runTimes, now} = this.view;
    const isLimitReached =
      this.reservationSearches >= MAXIMUM_RESERVATION_SEARCHES;
    if (isLimitReached || groups.length === 0) return undefined;
    this.reservationSearches += 1;
    const eligible = groups.map((group) => table.eligible(group, unit));
    return findReservation(unit, eligible, runTimes, now);
  }

  /** Beyond a guarantee, late results do not justify repeated work. */
  private preemptibleFor(
    batch: RankedBatch,
    reservation: Reservation | undefined,
  ): PreemptibleRuns {
    switch (batch.rank) {
      case 'guaranteed':
        return this.canWaitFor(reservation, batch)
          ? 'checkpointing'
          : 'lowerPriority';
      case 'urgent':
        return batch.timeliness === 'inTime' ? 'checkpointing' : 'none';
      case 'other':
        return 'none';
    }
  }

  /** True if guaranteed work starts soon enough without losing any work. */
  private canWaitFor(
    reservation: Reservation | undefined,
    {unit, timeliness, deadlines}: RankedBatch,
  ): boolean {
    if (reservation === undefined) return false;
    const readySince = unit.readySince ?? this.view.now;
    const latestAt = Math.min(
      timeliness === 'inTime' ? deadlines.inTime : Infinity,
      readySince + this.view.preemption.maximumGuaranteedWaitMs,
    );
    return reservation.startsAt + RESERVATION_MARGIN_MS <= latestAt;
  }

  private reserve(unit: Unit, reservation: Reservation | undefined): void {
    if (reservation === undefined) return;
    const {runTimes, now, observer} = this.view;
    this.reservationCount += 1;
    observer?.capacityReserved(unit, reservation);
    applyReservation(unit, reservation, runTimes, now);
  }

  // Preemption.

  /**
   * Preempts runs in one rack if that loses no more work than the unit would
   * waste by running spread across racks.
   */
  private preemptInRack(
    request: PreemptionRequest,
    racks: ReadonlyArray<readonly FreeCapacity[]>,
  ): boolean {
    const {unit} = request.batch;
    const selection = this.selectVictimsFor(unit, request, racks);
    const crossRackWork = coreSecondsOf(
      unit,
      unit.step.estimatedMs * (CROSS_RACK_SLOWDOWN - 1),
    );
    if (selection === undefined || selection.cost > crossRackWork) return false;
    this.applyVictims(unit, request, selection);
    return true;
  }

  private preempt(
    unit: Unit,
    request: PreemptionRequest,
    groups: ReadonlyArray<readonly FreeCapacity[]>,
  ): boolean {
    const selection = this.selectVictimsFor(unit, request, groups);
    if (selection !== undefined) this.applyVictims(unit, request, selection);
    return selection !== undefined;
  }

  private selectVictimsFor(
    unit: Unit,
    request: PreemptionRequest,
    groups: ReadonlyArray<readonly FreeCapacity[]>,
  ): VictimSelection | undefined {
    if (request.preemptible === 'none') return undefined;
    // A reservation belongs to work that comes before this unit.
    const eligible = groups.map((group) =>
      request.table.eligible(group, unit).filter(({isHeld}) => !isHeld),
    );
    return selectVictims(
      unit,
      eligible,
      (run) => this.isPreemptible(run, request),
      this.view.preemption,
      this.view.now,
    );
  }

  /** Preempts the victims and allocates their capacity to the unit. */
  private applyVictims(
    unit: Unit,
    {batch}: PreemptionRequest,
    selection: VictimSelection,
  ): void {
    const {victims, allocations} = selection;
    this.view.observer?.stopsPlanned(unit, selection);
    const endsAt = instant(this.view.now + batch.expectedMs);
    this.waiting.push(unit);
    for (const run of victims) this.beneficiaries.set(run, unit);
    for (const {capacity, count} of allocations) {
      capacity.allocate(unit, count, endsAt);
    }
  }

  private isPreemptible(run: Run, {preemptible}: PreemptionRequest): boolean {
    const {job, step} = run.unit;
    const queue = this.view.configuration.queue(job.queueId);
    if (step.longRunning === true) return false;
    if (queue !== undefined && queue.priority === 0) {
      return preemptible === 'unguaranteed' && this.ranks.get(job) === 'urgent';
    }
    return step.checkpointing === true || preemptible !== 'checkpointing';
  }
}
