/**
 * Free room of the workers during one planning round. A room shrinks as units
 * are placed, so that one round cannot place two units on the same room.
 */

import type {SteadyTime} from '../lifecycle/clock.js';
import type {RackId, ServiceId} from '../model/ids.js';
import type {TaskShape} from '../model/submissions.js';
import type {Run, Unit} from './jobs.js';
import type {WorkerState} from './worker_state.js';

export class Room {
  private processorMillicores: number;
  private memoryMegabytes: number;
  private accelerators: number;
  /** What is left if all tasks use the processors that they ask for. */
  private spareProcessor: number;
  /** Tasks placed in this round, by step and occurrence. */
  private readonly placed = new Map<string, number>();

  constructor(readonly worker: WorkerState) {
    const free = worker.freeCapacity();
    this.processorMillicores = free.processorMillicores;
    this.memoryMegabytes = free.memoryMegabytes;
    this.accelerators = free.accelerators;
    this.spareProcessor = free.processorMillicores;
    for (const {step} of worker.runs.values()) {
      if (step.usesSpareProcessor !== true) continue;
      this.spareProcessor -= step.shape.processorMillicores;
    }
  }

  get spareProcessorMillicores(): number {
    return this.spareProcessor;
  }

  get freeAccelerators(): number {
    return this.accelerators;
  }

  get freeProcessor(): number {
    return this.processorMillicores;
  }

  /** Returns how many tasks of the unit's step fit, with `extra` room. */
  slots(unit: Unit, extra?: TaskShape): number {
    const {step} = unit;
    const {shape} = step;
    let slots = Math.min(
      ratio(
        this.memoryMegabytes + (extra?.memoryMegabytes ?? 0),
        shape.memoryMegabytes,
      ),
      ratio(this.accelerators + (extra?.accelerators ?? 0), shape.accelerators),
    );
    if (step.usesSpareProcessor !== true) {
      const processor =
        this.processorMillicores + (extra?.processorMillicores ?? 0);
      slots = Math.min(slots, ratio(processor, shape.processorMillicores));
    }
    if (step.maximumPerWorker !== undefined) {
      const left = step.maximumPerWorker - this.tasksOf(unit);
      slots = Math.min(slots, Math.max(0, left));
    }
    return slots;
  }

  /** Takes the room of `count` tasks; it may become negative. */
  take(unit: Unit, count: number): void {
    const {step} = unit;
    const key = spreadKey(unit);
    this.placed.set(key, (this.placed.get(key) ?? 0) + count);
    const processor = step.shape.processorMillicores * count;
    this.spareProcessor -= processor;
    if (step.usesSpareProcessor !== true) this.processorMillicores -= processor;
    this.memoryMegabytes -= step.shape.memoryMegabytes * count;
    this.accelerators -= step.shape.accelerators * count;
  }

  /** Tasks of the unit's step and occurrence on the worker. */
  private tasksOf(unit: Unit): number {
    const key = spreadKey(unit);
    let count = this.placed.get(key) ?? 0;
    for (const run of this.worker.runs.values()) {
      if (run.unit.job === unit.job && spreadKey(run.unit) === key) count += 1;
    }
    return count;
  }
}

/** Adds the shape of a run to `sum`. */
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

/** Rooms of one service, by rack. */
export class RoomTable {
  readonly rooms: Room[] = [];
  private readonly byRack = new Map<RackId | undefined, Room[]>();
  private readonly reservedRacks = new Set<RackId | undefined>();
  /** Share of the accelerators that were in use when the round began. */
  readonly usedShare: number;

  constructor(
    workers: Iterable<WorkerState>,
    readonly serviceId: ServiceId,
    now: SteadyTime,
    private readonly admits: (unit: Unit, worker: WorkerState) => boolean,
  ) {
    for (const worker of workers) {
      if (worker.entry.serviceId !== serviceId || !worker.accepts(now)) {
        continue;
      }
      const room = new Room(worker);
      this.rooms.push(room);
      const {rackId} = worker.entry;
      const rack = this.byRack.get(rackId) ?? [];
      rack.push(room);
      this.byRack.set(rackId, rack);
    }
    let all = 0;
    let free = 0;
    for (const room of this.rooms) {
      all += room.worker.entry.capacity.accelerators;
      free += Math.max(0, room.freeAccelerators);
    }
    this.usedShare = all === 0 ? 1 : 1 - free / all;
  }

  racks(): Room[][] {
    return [...this.byRack.values()];
  }

  /** Keeps later units of this round off a rack. */
  reserve(rackId: RackId | undefined): void {
    this.reservedRacks.add(rackId);
  }

  get reservedCount(): number {
    return this.reservedRacks.size;
  }

  /** Rooms that the step may use, without those of reserved racks. */
  usable(rooms: readonly Room[], unit: Unit): Room[] {
    const {requiredLabel} = unit.step;
    return rooms.filter(({worker}) => {
      const {entry} = worker;
      if (this.reservedRacks.has(entry.rackId)) return false;
      if (unit.avoidedWorkers.has(worker.workerId)) return false;
      if (requiredLabel !== undefined && !entry.labels.has(requiredLabel)) {
        return false;
      }
      return this.admits(unit, worker);
    });
  }
}

function ratio(free: number, needed: number): number {
  return needed <= 0 ? Infinity : Math.max(0, Math.floor(free / needed));
}

/** Names the tasks among which a step limits how many share a worker. */
function spreadKey({job, occurrence, stepIndex}: Unit): string {
  return `${job.id}.${occurrence}.${stepIndex}`;
}
