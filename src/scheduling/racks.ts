/**
 * The workers of a zone at their places in the row of accelerators. Racks may
 * be incomplete and workers may have fewer accelerators than 8.
 */

import type {RackId, VmId} from '../model/ids.js';
import {
  ACCELERATORS_PER_RACK,
  ACCELERATORS_PER_WORKER,
} from '../model/shapes.js';
import type {Cell} from './cells.js';
import {enclosingCell} from './cells.js';
import type {PlannedWorker} from './zone_planner.js';

export class Racks {
  private readonly rackNumbers = new Map<RackId, number>();
  private readonly slots = new Map<number, PlannedWorker>();
  private readonly slotOfWorker = new Map<VmId, number>();

  get workers(): Iterable<PlannedWorker> {
    return this.slots.values();
  }

  get rackCount(): number {
    return this.rackNumbers.size;
  }

  worker(workerId: VmId): PlannedWorker | undefined {
    const slot = this.slotOfWorker.get(workerId);
    return slot === undefined ? undefined : this.slots.get(slot);
  }

  /** The worker whose accelerators include this number. */
  workerAt(position: number): PlannedWorker | undefined {
    return this.slots.get(Math.floor(position / ACCELERATORS_PER_WORKER));
  }

  /** All numbers that belong to the worker's place, usable or not. */
  cellOfWorker(workerId: VmId): Cell | undefined {
    const slot = this.slotOfWorker.get(workerId);
    if (slot === undefined) return undefined;
    return enclosingCell(
      slot * ACCELERATORS_PER_WORKER,
      ACCELERATORS_PER_WORKER,
    );
  }

  /**
   * Adds or replaces a worker and returns its place. A worker at a place that
   * another one holds takes it over.
   */
  set(worker: PlannedWorker): Cell {
    const slot = this.slotFor(worker);
    const previous = this.slots.get(slot);
    if (previous !== undefined) this.slotOfWorker.delete(previous.workerId);
    this.slots.set(slot, worker);
    this.slotOfWorker.set(worker.workerId, slot);
    return enclosingCell(
      slot * ACCELERATORS_PER_WORKER,
      ACCELERATORS_PER_WORKER,
    );
  }

  remove(workerId: VmId): void {
    const slot = this.slotOfWorker.get(workerId);
    if (slot === undefined) return;
    this.slotOfWorker.delete(workerId);
    this.slots.delete(slot);
  }

  /** True if the accelerator exists and its worker takes new tasks. */
  isUsable(position: number): boolean {
    const worker = this.workerAt(position);
    if (worker?.acceptsTasks !== true) return false;
    return position % ACCELERATORS_PER_WORKER < worker.accelerators;
  }

  /** True if the accelerator exists, whatever its worker's state. */
  exists(position: number): boolean {
    const worker = this.workerAt(position);
    if (worker === undefined) return false;
    return position % ACCELERATORS_PER_WORKER < worker.accelerators;
  }

  private slotFor(worker: PlannedWorker): number {
    let rack = this.rackNumbers.get(worker.rackId);
    if (rack === undefined) {
      rack = this.rackNumbers.size;
      this.rackNumbers.set(worker.rackId, rack);
    }
    const workersPerRack = ACCELERATORS_PER_RACK / ACCELERATORS_PER_WORKER;
    return rack * workersPerRack + worker.rackPosition;
  }
}
