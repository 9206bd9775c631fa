/**
 * Free capacity of the workers during one scheduling round. Placements of the
 * round are deducted, so that no capacity is allocated twice.
 */

import type {SteadyTime} from '../../lifecycle/clock.js';
import type {Instant, RackId, ServiceId, WorkKind} from '../../model/ids.js';
import type {TaskShape} from '../../model/submissions.js';
import {PROVEN_AFTER_MS} from '../jobs/runs.js';
import type {Unit} from '../jobs/jobs.js';
import type {Run} from '../jobs/runs.js';
import type {PlanningView} from './planning_view.js';
import type {RunTimeTable} from '../jobs/run_times.js';
import {kindOf} from '../workers/neighbours.js';
import type {WorkerState} from '../workers/worker_state.js';

export interface ExpectedEnd {
  readonly run: Run;
  readonly at: Instant;
}

/** Capacity that is reserved for a gang from `startsAt` on. */
interface Hold {
  readonly startsAt: Instant;
  /** What is left at that time for runs that have not ended by then. */
  remaining: TaskShape;
}

/** Why a worker is closed to a unit, whatever room it has. */
export type WorkerExclusion =
  /** It runs work apart from all other work. */
  | 'isolated'
  /** The unit failed or stalled there a short time ago. */
  | 'avoided'
  | 'labelMissing'
  /** The queue's advisor has given no ticket for it. */
  | 'notAdmitted';

/** What a worker lacks for one more task of a unit. */
export type Shortage =
  | keyof TaskShape
  /** The step allows no more of its tasks on one worker. */
  | 'tasksPerWorker'
  /** The room is reserved for a gang that comes before the unit. */
  | 'reserved';

export class FreeCapacity {
  private processorMillicores: number;
  private memoryMegabytes: number;
  private accelerators: number;
  /** Millicores left after the requests of all tasks, best-effort included. */
  private spareProcessor: number;
  /** Number of tasks placed in this round, by job, step and occurrence. */
  private readonly placed = new Map<string, number>();
  private reserved: Hold | undefined;
  /** Computed when first needed, as it is the same for the whole round. */
  private ends: readonly ExpectedEnd[] | undefined;
  /** The only unit that may use the worker. */
  private isolatedFor: Unit | undefined;
  /** A unit was placed in this round. */
  private isAllocated = false;
  /** Kinds of work on the worker, computed when first needed. */
  private kinds: Set<WorkKind> | undefined;
  private readonly placedKinds = new Set<WorkKind>();

  constructor(
    readonly worker: WorkerState,
    readonly isCold = false,
  ) {
    const free = worker.freeCapacity();
    this.processorMillicores = free.processorMillicores;
    this.memoryMegabytes = free.memoryMegabytes;
    this.accelerators = free.accelerators;
    this.spareProcessor = free.processorMillicores;
    for (const run of worker.runs.values()) {
      const {step, unit} = run;
      const isIsolated = run.isIsolated || unit.crashes.mustRunAlone;
      const isProven = run.seenForMs >= PROVEN_AFTER_MS;
      if (isIsolated && !isProven) this.isolatedFor = unit;
      if (step.usesSpareProcessor !== true) continue;
      this.spareProcessor -= step.shape.processorMillicores;
    }
  }

  /** True if nothing runs on the worker, and nothing was placed there. */
  get isVacant(): boolean {
    return this.worker.runs.size === 0 && !this.isAllocated;
  }

  get isIsolated(): boolean {
    return this.isolatedFor !== undefined;
  }

  isClosedTo(unit: Unit): boolean {
    return this.isolatedFor !== undefined && this.isolatedFor !== unit;
  }

  /** Keeps all other units from the worker. */
  isolate(unit: Unit): void {
    this.isolatedFor = unit;
  }

  get spareProcessorMillicores(): number {
    return this.spareProcessor;
  }

  get freeAccelerators(): number {
    return this.accelerators;
  }

  get freeProcessorMillicores(): number {
    return this.processorMillicores;
  }

  /** True if a run or a placement on the worker is of one of these kinds. */
  hasAnyOf(kinds: ReadonlySet<WorkKind>): boolean {
    this.kinds ??= new Set(
      [...this.worker.runs.values()].map(({unit}) => kindOf(unit)),
    );
    for (const kind of kinds) {
      if (this.kinds.has(kind) || this.placedKinds.has(kind)) return true;
    }
    return false;
  }

  /** Returns the worker's runs in the order of their expected ends. */
  expectedEnds(runTimes: RunTimeTable, now: Instant): readonly ExpectedEnd[] {
    this.ends ??= [...this.worker.runs.values()]
      .map((run) => ({run, at: runTimes.expectedEnd(run, now)}))
      .sort((a, b) => a.at - b.at);
    return this.ends;
  }

  /** True if a part of the capacity is reserved for a gang. */
  get isHeld(): boolean {
    return this.reserved !== undefined;
  }

  /**
   * Reserves capacity for tasks of a gang that is to start at `startsAt`, when
   * `released` will have become free.
   */
  hold(
    {step: {shape}}: Unit,
    tasks: number,
    startsAt: Instant,
    released: TaskShape,
  ): void {
    this.reserved = {
      startsAt,
      remaining: {
        processorMillicores:
          this.processorMillicores +
          released.processorMillicores -
          shape.processorMillicores * tasks,
        memoryMegabytes:
          this.memoryMegabytes +
          released.memoryMegabytes -
          shape.memoryMegabytes * tasks,
        accelerators:
          this.accelerators +
          released.accelerators -
          shape.accelerators * tasks,
      },
    };
  }

  /**
   * Returns how many tasks of the unit's step can start now and run until
   * `endsAt` without delaying the gang for which capacity is reserved.
   */
  slotsUntil(unit: Unit, endsAt: Instant): number {
    const slots = this.slots(unit);
    if (this.reserved === undefined || endsAt <= this.reserved.startsAt) {
      return slots;
    }
    return Math.min(slots, fittingTasks(unit, this.reserved.remaining));
  }

  /** Returns what the first task of the unit lacks, or undefined. */
  shortageUntil(unit: Unit, endsAt: Instant): Shortage | undefined {
    if (this.slotsUntil(unit, endsAt) > 0) return undefined;
    if (this.slots(unit) > 0) return 'reserved';
    const {accelerators, processorMillicores, memoryMegabytes} = this;
    const free = {accelerators, processorMillicores, memoryMegabytes};
    return (
      RESOURCES.find(
        (name) => fittingTasks(unit, {...PLENTY, [name]: free[name]}) === 0,
      ) ?? 'tasksPerWorker'
    );
  }

  /** Returns how many tasks of the unit's step fit if `extra` were free too. */
  slots(unit: Unit, extra: TaskShape = NO_SHAPE): number {
    const {step} = unit;
    let slots = fittingTasks(unit, {
      processorMillicores: this.processorMillicores + extra.processorMillicores,
      memoryMegabytes: this.memoryMegabytes + extra.memoryMegabytes,
      accelerators: this.accelerators + extra.accelerators,
    });
    if (step.maximumPerWorker !== undefined) {
      const remaining = step.maximumPerWorker - this.tasksOf(unit);
      slots = Math.min(slots, Math.max(0, remaining));
    }
    return slots;
  }

  /**
   * Deducts the requests of `count` tasks that run until `endsAt`; the rest may
   * become negative.
   */
  allocate(unit: Unit, count: number, endsAt: Instant): void {
    const {step} = unit;
    const key = stepKey(unit);
    this.isAllocated = true;
    this.placedKinds.add(kindOf(unit));
    this.placed.set(key, (this.placed.get(key) ?? 0) + count);
    const processor = step.shape.processorMillicores * count;
    this.spareProcessor -= processor;
    if (step.usesSpareProcessor !== true) this.processorMillicores -= processor;
    this.memoryMegabytes -= step.shape.memoryMegabytes * count;
    this.accelerators -= step.shape.accelerators * count;
    const {reserved} = this;
    if (reserved === undefined || endsAt <= reserved.startsAt) return;
    const {remaining} = reserved;
    reserved.remaining = {
      processorMillicores:
        step.usesSpareProcessor === true
          ? remaining.processorMillicores
          : remaining.processorMillicores - processor,
      memoryMegabytes:
        remaining.memoryMegabytes - step.shape.memoryMegabytes * count,
      accelerators: remaining.accelerators - step.shape.accelerators * count,
    };
  }

  /** Counts tasks of the unit's step and occurrence on the worker. */
  private tasksOf(unit: Unit): number {
    const key = stepKey(unit);
    let count = this.placed.get(key) ?? 0;
    for (const run of this.worker.runs.values()) {
      if (run.unit.job === unit.job && stepKey(run.unit) === key) count += 1;
    }
    return count;
  }
}

/** Returns `sum` plus the resources that the run frees when it ends. */
export function addShape(sum: TaskShape, run: Run): TaskShape {
  const {shape, usesSpareProcessor} = run.step;
  const processor = usesSpareProcessor === true ? 0 : shape.processorMillicores;
  return {
    processorMillicores: sum.processorMillicores + processor,
    memoryMegabytes: sum.memoryMegabytes + shape.memoryMegabytes,
    accelerators: sum.accelerators + shape.accelerators,
  };
}

export const NO_SHAPE: TaskShape = {
  processorMillicores: 0,
  memoryMegabytes: 0,
  accelerators: 0,
};

const PLENTY: TaskShape = {
  processorMillicores: Infinity,
  memoryMegabytes: Infinity,
  accelerators: Infinity,
};

const RESOURCES = [
  'accelerators',
  'processorMillicores',
  'memoryMegabytes',
] as const;

/** Free capacities of the workers of one service, grouped by rack. */
export class FreeCapacityTable {
  readonly capacities: FreeCapacity[] = [];
  /** Only for units that no other worker may run. */
  readonly quarantined: FreeCapacity[] = [];
  private readonly byRack = new Map<RackId | undefined, FreeCapacity[]>();
  /** Share of the accelerators in use when the round began, 0 to 1. */
  readonly acceleratorUtilization: number;
  readonly hasColdWorkers: boolean;

  constructor(
    workers: Iterable<WorkerState>,
    readonly serviceId: ServiceId,
    private readonly now: Instant,
    steady: SteadyTime,
    private readonly admits: (unit: Unit, worker: WorkerState) => boolean,
  ) {
    for (const worker of workers) {
      if (worker.entry.serviceId !== serviceId || !worker.isUsable) continue;
      const capacity = new FreeCapacity(worker, worker.isCold(steady));
      if (worker.isQuarantined(steady)) {
        this.quarantined.push(capacity);
        continue;
      }
      this.capacities.push(capacity);
      const {rackId} = worker.entry;
      const rack = this.byRack.get(rackId) ?? [];
      rack.push(capacity);
      this.byRack.set(rackId, rack);
    }
    this.hasColdWorkers = this.capacities.some(({isCold}) => isCold);
    let total = 0;
    let free = 0;
    for (const capacity of this.capacities) {
      total += capacity.worker.entry.capacity.accelerators;
      free += Math.max(0, capacity.freeAccelerators);
    }
    this.acceleratorUtilization = total === 0 ? 1 : 1 - free / total;
  }

  racks(): FreeCapacity[][] {
    return [...this.byRack.values()];
  }

  /** Returns the capacities that the unit may use. */
  eligible(capacities: readonly FreeCapacity[], unit: Unit): FreeCapacity[] {
    return capacities.filter(
      (capacity) => this.exclusionOf(capacity, unit) === undefined,
    );
  }

  /** Returns the first rule by which the unit may not use the capacity. */
  exclusionOf(capacity: FreeCapacity, unit: Unit): WorkerExclusion | undefined {
    const {worker} = capacity;
    const {requiredLabel} = unit.step;
    if (capacity.isClosedTo(unit)) return 'isolated';
    if (unit.avoidedWorkers.has(worker.workerId, this.now)) return 'avoided';
    if (
      requiredLabel !== undefined &&
      !worker.entry.labels.has(requiredLabel)
    ) {
      return 'labelMissing';
    }
    return this.admits(unit, worker) ? undefined : 'notAdmitted';
  }
}

/** The capacity tables of the services in one round. */
export class FreeCapacityTables {
  private readonly byService = new Map<ServiceId, FreeCapacityTable>();

  constructor(private readonly view: PlanningView) {}

  /** Returns the table of the workers that serve the unit's queue. */
  tableFor({job}: Unit): FreeCapacityTable {
    const {configuration, workers, now, steady} = this.view;
    const serviceId =
      configuration.queue(job.queueId)?.serviceId ?? job.serviceId;
    let table = this.byService.get(serviceId);
    if (table === undefined) {
      table = new FreeCapacityTable(
        workers.values(),
        serviceId,
        now,
        steady,
        (unit, worker) => this.view.admits(unit, worker),
      );
      this.byService.set(serviceId, table);
    }
    return table;
  }
}

/** Returns how many tasks of the unit's step fit into the free resources. */
function fittingTasks({step}: Unit, free: TaskShape): number {
  const {shape} = step;
  const slots = Math.min(
    slotsFor(free.memoryMegabytes, shape.memoryMegabytes),
    slotsFor(free.accelerators, shape.accelerators),
  );
  return step.usesSpareProcessor === true
    ? slots
    : Math.min(
        slots,
        slotsFor(free.processorMillicores, shape.processorMillicores),
      );
}

/** Returns how many times `needed` fits into the free amount of a resource. */
function slotsFor(free: number, needed: number): number {
  return needed <= 0 ? Infinity : Math.max(0, Math.floor(free / needed));
}

/** Identifies the tasks that count towards a step's `maximumPerWorker`. */
function stepKey({job, occurrence, stepIndex}: Unit): string {
  return `${job.id}.${occurrence}.${stepIndex}`;
}
