/**
 * Decides which units start where, and which runs are stopped for a customer's
 * guaranteed work. Pure: it reads the beliefs of the leader and returns a plan.
 */

import type {SteadyTime} from '../lifecycle/clock.js';
import type {CustomerId, Instant} from '../model/ids.js';
import type {HostedConfiguration, Queue} from '../model/queues.js';
import type {Job, Run, Unit} from './jobs.js';
import {cheapestVictims, workOf} from './preemption.js';
import type {VictimChoice} from './preemption.js';
import type {Room} from './rooms.js';
import {RoomTable} from './rooms.js';
import type {WorkerState} from './worker_state.js';

/** A unit and the worker of each of its tasks, in order of index. */
export interface Placement {
  readonly unit: Unit;
  readonly workers: readonly WorkerState[];
}

export interface RoundPlan {
  readonly placements: readonly Placement[];
  /** Runs to stop, whole units of them. */
  readonly preemptions: readonly Run[];
  /** Units that found no worker; those with tickets may need advice. */
  readonly waiting: readonly Unit[];
  /** Earliest time at which a waiting unit becomes ready by time alone. */
  readonly nextDueAt: Instant | undefined;
}

export interface PlanningView {
  readonly jobs: Iterable<Job>;
  readonly workers: ReadonlyMap<string, WorkerState>;
  readonly configuration: HostedConfiguration;
  readonly now: Instant;
  readonly steady: SteadyTime;
  /** True if the worker may run the unit by its queue's policy. */
  admits(unit: Unit, worker: WorkerState): boolean;
}

/**
 * A gang that waits longer gets a rack to itself as it empties. Shorter than
 * the objective of the shortest jobs, longer than most of their runs.
 */
const STARVATION_MS = 4_000;

/** Racks that waiting gangs may hold at once, so that small jobs go on. */
const MAXIMUM_RESERVED_RACKS = 2;

/**
 * Guaranteed work that found no rack in this time is spread over racks, which
 * still leaves time to preempt within the bound for guaranteed work (2.9 s).
 */
const GUARANTEED_RACK_WAIT_MS = 1_800;

/** A gang that wants one rack takes this many times as long on several. */
const SPREAD_SLOWDOWN = 3;

/**
 * Before it stops work that cannot be saved, urgent work waits this share of
 * its estimate for room, as its objective leaves half of it as slack; and at
 * most this long, within the bound for guaranteed work (2.9 s).
 */
const UNSAVED_PATIENCE = 0.35;
const LONGEST_UNSAVED_WAIT_MS = 1_200;

/** Waiting for the rack with the data pays up to this many run times. */
const DATA_RACK_PATIENCE = 1.5;

/**
 * While less than this share of the accelerators is in use, a unit waits for a
 * rack at most this long: a job that waits 3 s beside idle workers counts as
 * lost.
 */
const IDLE_SHARE = 0.5;
const IDLE_RACK_WAIT_MS = 1_500;

/**
 * - `guaranteed`: within the customer's guarantee, may preempt borrowers;
 * - `urgent`: most urgent priority beyond the guarantee;
 * - `other`: everything else.
 */
type Rank = 'guaranteed' | 'urgent' | 'other';

interface RankedUnit {
  readonly unit: Unit;
  readonly rank: Rank;
  readonly priority: number;
}

export function planRound(view: PlanningView): RoundPlan {
  return new Round(view).plan();
}

class Round {
  private readonly placements: Placement[] = [];
  private readonly preemptions = new Set<Run>();
  private readonly waiting: Unit[] = [];
  private readonly tables = new Map<string, RoomTable>();
  private nextDueAt: Instant | undefined;

  constructor(private readonly view: PlanningView) {}

  plan(): RoundPlan {
    for (const ranked of this.rankedUnits()) this.place(ranked);
    return {
      placements: this.placements,
      preemptions: [...this.preemptions],
      waiting: this.waiting,
      nextDueAt: this.nextDueAt,
    };
  }

  /** Ready units, most urgent first. */
  private rankedUnits(): RankedUnit[] {
    const {jobs, configuration} = this.view;
    const needed = new Map<CustomerId, number>();
    const ranked: RankedUnit[] = [];
    for (const job of jobs) {
      if (job.isEnded) continue;
      const queue = configuration.queue(job.queueId);
      const priority = queue?.priority ?? Infinity;
      const rank = this.rankOf(job, queue, needed);
      for (const unit of job.openUnits) {
        if (this.isReady(job, unit)) ranked.push({unit, rank, priority});
      }
    }
    return ranked.sort(compareRanked);
  }

  /** Counts the customer's need in order of acceptance. */
  private rankOf(
    job: Job,
    queue: Queue | undefined,
    needed: Map<CustomerId, number>,
  ): Rank {
    if (queue === undefined || queue.priority > 0) return 'other';
    const {customerId} = job;
    if (customerId === undefined) return 'urgent';
    const customer = this.view.configuration.customer(customerId);
    const sum = (needed.get(customerId) ?? 0) + openAccelerators(job);
    needed.set(customerId, sum);
    const guaranteed = customer?.guaranteedAccelerators ?? 0;
    return sum <= guaranteed ? 'guaranteed' : 'urgent';
  }

  private isReady(job: Job, unit: Unit): boolean {
    const {now} = this.view;
    if (job.isReady(unit, now)) {
      unit.readySince ??= now;
      return true;
    }
    const wakeAt = Math.max(
      unit.retryAt,
      job.isScheduled ? job.dueAt(unit.occurrence) : 0,
    ) as Instant;
    const waitsForTime = wakeAt > now && unit.runs.length === 0;
    if (waitsForTime && wakeAt < (this.nextDueAt ?? Infinity)) {
      this.nextDueAt = wakeAt;
    }
    return false;
  }

  private place(ranked: RankedUnit): void {
    const {unit} = ranked;
    const table = this.tableFor(unit);
    const {racks, spread} = this.candidateGroups(ranked, table);
    if (this.placeIn(unit, racks, table)) return;
    const wantsRack = unit.step.sameRack === true && unit.taskCount > 1;
    if (wantsRack && this.emptyRack(ranked, racks, table)) return;
    if (this.placeIn(unit, spread, table)) return;
    this.waiting.push(unit);
    if (ranked.rank === 'other') this.reserveRack(unit, table);
    else if (!wantsRack) this.preempt(ranked, table, [...racks, ...spread]);
    else this.preempt(ranked, table, spread);
  }

  private placeIn(
    unit: Unit,
    groups: readonly Room[][],
    table: RoomTable,
  ): boolean {
    for (const group of groups) {
      const chosen = chooseRooms(unit, table.usable(group, unit));
      if (chosen === undefined) continue;
      for (const room of chosen) room.take(unit, 1);
      this.placements.push({
        unit,
        workers: chosen.map(({worker}) => worker),
      });
      return true;
    }
    return false;
  }

  /**
   * Makes room in one rack if that loses less work than the unit would do
   * besides on several racks.
   */
  private emptyRack(
    ranked: RankedUnit,
    racks: readonly Room[][],
    table: RoomTable,
  ): boolean {
    const {unit, rank} = ranked;
    if (rank === 'other') return false;
    const choice = this.victimsFor(ranked, table, racks);
    const spreadWork = workOf(
      unit,
      unit.step.estimatedMs * (SPREAD_SLOWDOWN - 1),
    );
    if (choice === undefined || choice.cost > spreadWork) return false;
    this.waiting.push(unit);
    this.take(unit, choice);
    return true;
  }

  private tableFor(unit: Unit): RoomTable {
    const {configuration, workers, steady} = this.view;
    const serviceId =
      configuration.queue(unit.job.queueId)?.serviceId ?? unit.job.serviceId;
    let table = this.tables.get(serviceId);
    if (table === undefined) {
      table = new RoomTable(
        workers.values(),
        serviceId,
        steady,
        (waiting, worker) => this.view.admits(waiting, worker),
      );
      this.tables.set(serviceId, table);
    }
    return table;
  }

  /**
   * Groups of rooms to try in order; the unit goes into one of them. Those
   * under `spread` make it slower.
   */
  private candidateGroups(
    ranked: RankedUnit,
    table: RoomTable,
  ): {racks: Room[][]; spread: Room[][]} {
    const {unit} = ranked;
    const {step} = unit;
    const waitedMs = this.view.now - (unit.readySince ?? this.view.now);
    const isImpatient = table.usedShare < IDLE_SHARE;
    if (step.dataRack !== undefined) {
      const near = table.rooms.filter(
        ({worker}) => worker.entry.rackId === step.dataRack,
      );
      const patient =
        ranked.rank === 'guaranteed'
          ? waitedMs < GUARANTEED_RACK_WAIT_MS
          : waitedMs <
            (isImpatient
              ? IDLE_RACK_WAIT_MS
              : DATA_RACK_PATIENCE * step.estimatedMs);
      const spread = near.length > 0 && patient ? [] : [table.rooms];
      return {racks: [near], spread};
    }
    if (step.sameRack !== true || unit.taskCount <= 1) {
      return {racks: [table.rooms], spread: []};
    }
    const racks = byLeastRoomLeft(unit, table);
    const couldFit = racks.some((rack) => this.couldFit(unit, rack));
    const mustSpread =
      !couldFit ||
      (isImpatient && waitedMs >= IDLE_RACK_WAIT_MS) ||
      (ranked.rank === 'guaranteed' && waitedMs >= GUARANTEED_RACK_WAIT_MS);
    return {racks, spread: mustSpread ? [table.rooms] : []};
  }

  /** True if the rack could hold the unit if it were empty. */
  private couldFit(unit: Unit, rack: readonly Room[]): boolean {
    let slots = 0;
    for (const {worker} of rack) {
      const {capacity} = worker.entry;
      const {shape} = unit.step;
      slots += Math.min(
        shape.accelerators > 0
          ? Math.floor(capacity.accelerators / shape.accelerators)
          : Infinity,
        shape.processorMillicores > 0
          ? Math.floor(capacity.processorMillicores / shape.processorMillicores)
          : Infinity,
        unit.step.maximumPerWorker ?? Infinity,
      );
    }
    return slots >= unit.taskCount;
  }

  /** Stops the cheapest borrowers and keeps their room for the unit. */
  private preempt(
    ranked: RankedUnit,
    table: RoomTable,
    groups: readonly Room[][],
  ): void {
    const choice = this.victimsFor(ranked, table, groups);
    if (choice !== undefined) this.take(ranked.unit, choice);
  }

  private victimsFor(
    {unit, rank}: RankedUnit,
    table: RoomTable,
    groups: readonly Room[][],
  ): VictimChoice | undefined {
    return cheapestVictims(
      unit,
      groups.map((group) => table.usable(group, unit)),
      (run) => this.isBorrower(run, unit, rank),
      this.view.now,
    );
  }

  private take(unit: Unit, {victims, taken}: VictimChoice): void {
    for (const run of victims) this.preemptions.add(run);
    for (const {room, count} of taken) room.take(unit, count);
  }

  private isBorrower(run: Run, unit: Unit, rank: Rank): boolean {
    const {job, step} = run.unit;
    const queue = this.view.configuration.queue(job.queueId);
    if (queue !== undefined && queue.priority === 0) return false;
    if (step.longRunning === true) return false;
    if (step.checkpointing === true) return true;
    const waitedMs = this.view.now - (unit.readySince ?? this.view.now);
    const patienceMs = Math.min(
      unit.step.estimatedMs * UNSAVED_PATIENCE,
      LONGEST_UNSAVED_WAIT_MS,
    );
    return rank === 'guaranteed' && waitedMs >= patienceMs;
  }

  private reserveRack(unit: Unit, table: RoomTable): void {
    const {now} = this.view;
    const waitedMs = now - (unit.readySince ?? now);
    if (unit.taskCount <= 1 || waitedMs < STARVATION_MS) return;
    if (table.reservedCount >= MAXIMUM_RESERVED_RACKS) return;
    let best: readonly Room[] | undefined;
    let bestSlots = -1;
    for (const rack of table.racks()) {
      if (!this.couldFit(unit, rack)) continue;
      const slots = totalSlots(unit, table.usable(rack, unit));
      if (slots > bestSlots) [best, bestSlots] = [rack, slots];
    }
    const [room] = best ?? [];
    if (room !== undefined) table.reserve(room.worker.entry.rackId);
  }
}

const RANK_ORDER: Readonly<Record<Rank, number>> = {
  guaranteed: 0,
  urgent: 1,
  other: 2,
};

function compareRanked(a: RankedUnit, b: RankedUnit): number {
  return (
    RANK_ORDER[a.rank] - RANK_ORDER[b.rank] ||
    a.priority - b.priority ||
    a.unit.job.acceptedAt - b.unit.job.acceptedAt ||
    a.unit.firstIndex - b.unit.firstIndex
  );
}

/** Accelerators that the job needs at once until it ends. */
function openAccelerators(job: Job): number {
  const byStep = new Map<string, number>();
  let most = 0;
  for (const unit of job.openUnits) {
    const key = `${unit.occurrence}.${unit.stepIndex}`;
    const needed = unit.taskCount * unit.step.shape.accelerators;
    const sum = (byStep.get(key) ?? 0) + needed;
    byStep.set(key, sum);
    most = Math.max(most, sum);
  }
  return most;
}

function totalSlots(unit: Unit, rooms: readonly Room[]): number {
  return rooms.reduce((sum, room) => sum + room.slots(unit), 0);
}

/** Racks in which the unit leaves the fewest slots come first. */
function byLeastRoomLeft(unit: Unit, table: RoomTable): Room[][] {
  return table
    .racks()
    .map((rack) => ({rack, slots: totalSlots(unit, table.usable(rack, unit))}))
    .sort((a, b) => a.slots - b.slots)
    .map(({rack}) => rack);
}

/**
 * Returns one room per task, or undefined if the unit does not fit. Fuller
 * rooms are used first, so that empty workers stay whole for large gangs; work
 * on spare processors goes where most of them are left.
 */
function chooseRooms(unit: Unit, rooms: readonly Room[]): Room[] | undefined {
  const sorted = rooms
    .map((room) => ({room, slots: room.slots(unit)}))
    .filter(({slots}) => slots > 0)
    .sort((a, b) =>
      unit.step.usesSpareProcessor === true
        ? b.room.spareProcessorMillicores - a.room.spareProcessorMillicores
        : a.room.freeAccelerators - b.room.freeAccelerators ||
          a.room.freeProcessor - b.room.freeProcessor,
    );
  const chosen: Room[] = [];
  for (const {room, slots} of sorted) {
    const count = Math.min(slots, unit.taskCount - chosen.length);
    for (let i = 0; i < count; i += 1) chosen.push(room);
    if (chosen.length === unit.taskCount) return chosen;
  }
  return undefined;
}
