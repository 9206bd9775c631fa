/**
 * Plans one scheduling round: which units start on which workers, and which
 * runs are preempted for a customer's guaranteed work. Pure: the plan depends
 * only on the leader's cached view.
 */

import type {SteadyTime} from '../lifecycle/clock.js';
import type {CustomerId, Instant} from '../model/ids.js';
import type {HostedConfiguration, Queue} from '../model/queues.js';
import type {Job, Run, Unit} from './jobs.js';
import {selectVictims, coreSecondsOf} from './preemption.js';
import type {VictimSelection} from './preemption.js';
import type {FreeCapacity} from './free_capacity.js';
import {FreeCapacityTable} from './free_capacity.js';
import type {WorkerState} from './worker_state.js';

/** A unit and the worker of each of its tasks, in order of index. */
export interface Placement {
  readonly unit: Unit;
  readonly workers: readonly WorkerState[];
}

export interface RoundPlan {
  readonly placements: readonly Placement[];
  /** Runs of whole units to stop. */
  readonly preemptions: readonly Run[];
  /** Units that were not placed; some may first need admission tickets. */
  readonly waiting: readonly Unit[];
  /** Earliest time at which a unit becomes ready without any other event. */
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
 * A gang that waits longer has a rack reserved while the rack empties. Shorter
 * than the objective of the shortest jobs, longer than most of their runs.
 */
const RACK_RESERVATION_WAIT_MS = 4_000;

/** Limit of reserved racks, so that small jobs still find free capacity. */
const MAXIMUM_RESERVED_RACKS = 2;

/**
 * Guaranteed work that waits longer for one rack is spread across racks. This
 * leaves time to preempt within the 2.9 s start bound for guaranteed work.
 */
const GUARANTEED_RACK_WAIT_MS = 1_800;

/** Factor by which a gang with `sameRack` runs longer when spread. */
const CROSS_RACK_SLOWDOWN = 3;

/**
 * Share of its estimated run time that guaranteed work waits for free capacity
 * before it preempts runs without checkpoints; its objective allows half of the
 * estimate as slack. The maximum keeps within the 2.9 s start bound.
 */
const UNSAVED_WAIT_SHARE = 0.35;
const MAXIMUM_UNSAVED_WAIT_MS = 1_200;

/** Waiting for the data's rack is worth up to this many estimated run times. */
const DATA_RACK_WAIT_RUN_TIMES = 1.5;

/**
 * While accelerator utilization is below this share, a unit waits for a rack
 * for a short time only: a job that waits 3 s beside idle workers counts as
 * lost.
 */
const LOW_UTILIZATION_SHARE = 0.5;
const LOW_UTILIZATION_RACK_WAIT_MS = 1_500;

/**
 * - `guaranteed`: within the customer's guarantee, may preempt any run that is
 *   neither urgent nor long-running;
 * - `urgent`: highest priority beyond the guarantee, may preempt only such runs
 *   with checkpoints;
 * - `other`: everything else.
 */
type Rank = 'guaranteed' | 'urgent' | 'other';

interface RankedUnit {
  readonly unit: Unit;
  readonly rank: Rank;
  readonly priority: number;
}

export function planRound(view: PlanningView): RoundPlan {
  return new SchedulingRound(view).plan();
}

class SchedulingRound {
  private readonly placements: Placement[] = [];
  private readonly preemptions = new Set<Run>();
  private readonly waiting: Unit[] = [];
  private readonly tablesByService = new Map<string, FreeCapacityTable>();
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

  /** Returns the ready units, highest rank first. */
  private rankedUnits(): RankedUnit[] {
    const {jobs, configuration} = this.view;
    const requested = new Map<CustomerId, number>();
    const ranked: RankedUnit[] = [];
    for (const job of jobs) {
      if (job.isEnded) continue;
      const queue = configuration.queue(job.queueId);
      const priority = queue?.priority ?? Infinity;
      const rank = this.rankOf(job, queue, requested);
      for (const unit of job.openUnits) {
        if (this.isReady(job, unit)) ranked.push({unit, rank, priority});
      }
    }
    return ranked.sort(compareRanked);
  }

  /**
   * A customer's jobs use up its guarantee in the order of their acceptance.
   */
  private rankOf(
    job: Job,
    queue: Queue | undefined,
    requested: Map<CustomerId, number>,
  ): Rank {
    if (queue === undefined || queue.priority > 0) return 'other';
    const {customerId} = job;
    if (customerId === undefined) return 'urgent';
    const customer = this.view.configuration.customer(customerId);
    const total = (requested.get(customerId) ?? 0) + openAccelerators(job);
    requested.set(customerId, total);
    const guaranteed = customer?.guaranteedAccelerators ?? 0;
    return total <= guaranteed ? 'guaranteed' : 'urgent';
  }

  private isReady(job: Job, unit: Unit): boolean {
    const {now} = this.view;
    if (job.isReady(unit, now)) {
      unit.readySince ??= now;
      return true;
    }
    const eligibleAt = Math.max(
      unit.retryAt,
      job.isScheduled ? job.dueAt(unit.occurrence) : 0,
    ) as Instant;
    const waitsForTime = eligibleAt > now && unit.runs.length === 0;
    if (waitsForTime && eligibleAt < (this.nextDueAt ?? Infinity)) {
      this.nextDueAt = eligibleAt;
    }
    return false;
  }

  private place(ranked: RankedUnit): void {
    const {unit} = ranked;
    const table = this.capacityTableFor(unit);
    const {racks, crossRack} = this.candidateGroups(ranked, table);
    if (this.tryPlace(unit, racks, table)) return;
    const wantsRack = unit.step.sameRack === true && unit.taskCount > 1;
    if (wantsRack && this.preemptInRack(ranked, racks, table)) return;
    if (this.tryPlace(unit, crossRack, table)) return;
    this.waiting.push(unit);
    if (ranked.rank === 'other') this.reserveRack(unit, table);
    else if (!wantsRack) this.preempt(ranked, table, [...racks, ...crossRack]);
    else this.preempt(ranked, table, crossRack);
  }

  /** Allocates the first group of workers that the unit fits into. */
  private tryPlace(
    unit: Unit,
    groups: readonly FreeCapacity[][],
    table: FreeCapacityTable,
  ): boolean {
    for (const group of groups) {
      const chosen = chooseCapacities(unit, table.eligible(group, unit));
      if (chosen === undefined) continue;
      for (const capacity of chosen) capacity.allocate(unit, 1);
      this.placements.push({
        unit,
        workers: chosen.map(({worker}) => worker),
      });
      return true;
    }
    return false;
  }

  /**
   * Preempts runs in one rack if that loses no more work than the unit would
   * waste by running spread across racks.
   */
  private preemptInRack(
    ranked: RankedUnit,
    racks: readonly FreeCapacity[][],
    table: FreeCapacityTable,
  ): boolean {
    const {unit, rank} = ranked;
    if (rank === 'other') return false;
    const selection = this.selectVictimsFor(ranked, table, racks);
    const crossRackWork = coreSecondsOf(
      unit,
      unit.step.estimatedMs * (CROSS_RACK_SLOWDOWN - 1),
    );
    if (selection === undefined || selection.cost > crossRackWork) return false;
    this.waiting.push(unit);
    this.applyVictims(unit, selection);
    return true;
  }

  private capacityTableFor(unit: Unit): FreeCapacityTable {
    const {configuration, workers, steady} = this.view;
    const serviceId =
      configuration.queue(unit.job.queueId)?.serviceId ?? unit.job.serviceId;
    let table = this.tablesByService.get(serviceId);
    if (table === undefined) {
      table = new FreeCapacityTable(
        workers.values(),
        serviceId,
        steady,
        (waiting, worker) => this.view.admits(waiting, worker),
      );
      this.tablesByService.set(serviceId, table);
    }
    return table;
  }

  /**
   * Returns groups of workers to try in order; the unit has to fit into one of
   * them. It may run slower in the groups under `crossRack`.
   */
  private candidateGroups(
    ranked: RankedUnit,
    table: FreeCapacityTable,
  ): {racks: FreeCapacity[][]; crossRack: FreeCapacity[][]} {
    const {unit} = ranked;
    const {step} = unit;
    const waitedMs = this.view.now - (unit.readySince ?? this.view.now);
    const hasIdleWorkers = table.acceleratorUtilization < LOW_UTILIZATION_SHARE;
    if (step.dataRack !== undefined) {
      const onDataRack = table.capacities.filter(
        ({worker}) => worker.entry.rackId === step.dataRack,
      );
      const keepsWaiting =
        ranked.rank === 'guaranteed'
          ? waitedMs < GUARANTEED_RACK_WAIT_MS
          : waitedMs <
            (hasIdleWorkers
              ? LOW_UTILIZATION_RACK_WAIT_MS
              : DATA_RACK_WAIT_RUN_TIMES * step.estimatedMs);
      const crossRack =
        onDataRack.length > 0 && keepsWaiting ? [] : [table.capacities];
      return {racks: [onDataRack], crossRack};
    }
    if (step.sameRack !== true || unit.taskCount <= 1) {
      return {racks: [table.capacities], crossRack: []};
    }
    const racks = racksByFewestSlots(unit, table);
    const fitsIfEmpty = racks.some((rack) => this.fitsIfEmpty(unit, rack));
    const allowsCrossRack =
      !fitsIfEmpty ||
      (hasIdleWorkers && waitedMs >= LOW_UTILIZATION_RACK_WAIT_MS) ||
      (ranked.rank === 'guaranteed' && waitedMs >= GUARANTEED_RACK_WAIT_MS);
    return {racks, crossRack: allowsCrossRack ? [table.capacities] : []};
  }

  /** True if the unit would fit into the rack if the rack were empty. */
  private fitsIfEmpty(unit: Unit, rack: readonly FreeCapacity[]): boolean {
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

  /** Preempts the cheapest runs and allocates their capacity to the unit. */
  private preempt(
    ranked: RankedUnit,
    table: FreeCapacityTable,
    groups: readonly FreeCapacity[][],
  ): void {
    const selection = this.selectVictimsFor(ranked, table, groups);
    if (selection !== undefined) this.applyVictims(ranked.unit, selection);
  }

  private selectVictimsFor(
    {unit, rank}: RankedUnit,
    table: FreeCapacityTable,
    groups: readonly FreeCapacity[][],
  ): VictimSelection | undefined {
    return selectVictims(
      unit,
      groups.map((group) => table.eligible(group, unit)),
      (run) => this.isPreemptible(run, unit, rank),
      this.view.now,
    );
  }

  private applyVictims(
    unit: Unit,
    {victims, allocations}: VictimSelection,
  ): void {
    for (const run of victims) this.preemptions.add(run);
    for (const {capacity, count} of allocations) capacity.allocate(unit, count);
  }

  /** Runs without checkpoints become preemptible only after a minimum wait. */
  private isPreemptible(run: Run, unit: Unit, rank: Rank): boolean {
    const {job, step} = run.unit;
    const queue = this.view.configuration.queue(job.queueId);
    if (queue !== undefined && queue.priority === 0) return false;
    if (step.longRunning === true) return false;
    if (step.checkpointing === true) return true;
    const waitedMs = this.view.now - (unit.readySince ?? this.view.now);
    const minimumWaitMs = Math.min(
      unit.step.estimatedMs * UNSAVED_WAIT_SHARE,
      MAXIMUM_UNSAVED_WAIT_MS,
    );
    return rank === 'guaranteed' && waitedMs >= minimumWaitMs;
  }

  /** Reserves the rack with the most free slots for a gang that waits long. */
  private reserveRack(unit: Unit, table: FreeCapacityTable): void {
    const {now} = this.view;
    const waitedMs = now - (unit.readySince ?? now);
    if (unit.taskCount <= 1 || waitedMs < RACK_RESERVATION_WAIT_MS) return;
    if (table.reservedRackCount >= MAXIMUM_RESERVED_RACKS) return;
    let best: readonly FreeCapacity[] | undefined;
    let bestSlots = -1;
    for (const rack of table.racks()) {
      if (!this.fitsIfEmpty(unit, rack)) continue;
      const slots = totalSlots(unit, table.eligible(rack, unit));
      if (slots > bestSlots) [best, bestSlots] = [rack, slots];
    }
    const [capacity] = best ?? [];
    if (capacity !== undefined) table.reserveRack(capacity.worker.entry.rackId);
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

/** Returns the most accelerators that an open step needs concurrently. */
function openAccelerators(job: Job): number {
  const byStep = new Map<string, number>();
  let maximum = 0;
  for (const unit of job.openUnits) {
    const key = `${unit.occurrence}.${unit.stepIndex}`;
    const requested = unit.taskCount * unit.step.shape.accelerators;
    const total = (byStep.get(key) ?? 0) + requested;
    byStep.set(key, total);
    maximum = Math.max(maximum, total);
  }
  return maximum;
}

function totalSlots(unit: Unit, capacities: readonly FreeCapacity[]): number {
  return capacities.reduce(
    (total, capacity) => total + capacity.slots(unit),
    0,
  );
}

/** Racks with the fewest free slots for the unit come first (best fit). */
function racksByFewestSlots(
  unit: Unit,
  table: FreeCapacityTable,
): FreeCapacity[][] {
  return table
    .racks()
    .map((rack) => ({
      rack,
      slots: totalSlots(unit, table.eligible(rack, unit)),
    }))
    .sort((a, b) => a.slots - b.slots)
    .map(({rack}) => rack);
}

/**
 * Returns the worker's capacity for each task, or undefined if the unit does
 * not fit. Fuller workers are used first, so that empty workers remain for
 * large gangs; best-effort tasks go to the workers with the most spare
 * processors.
 */
function chooseCapacities(
  unit: Unit,
  capacities: readonly FreeCapacity[],
): FreeCapacity[] | undefined {
  const sorted = capacities
    .map((capacity) => ({capacity, slots: capacity.slots(unit)}))
    .filter(({slots}) => slots > 0)
    .sort((a, b) =>
      unit.step.usesSpareProcessor === true
        ? b.capacity.spareProcessorMillicores -
          a.capacity.spareProcessorMillicores
        : a.capacity.freeAccelerators - b.capacity.freeAccelerators ||
          a.capacity.freeProcessorMillicores -
            b.capacity.freeProcessorMillicores,
    );
  const chosen: FreeCapacity[] = [];
  for (const {capacity, slots} of sorted) {
    const count = Math.min(slots, unit.taskCount - chosen.length);
    for (let i = 0; i < count; i += 1) chosen.push(capacity);
    if (chosen.length === unit.taskCount) return chosen;
  }
  return undefined;
}
