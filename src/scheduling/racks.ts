/**
 * Maps the workers of a zone to accelerator numbers. Every worker has a slot of
 * 8 numbers. Racks may be incomplete, and workers may have fewer than 8
 * accelerators.
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

  /** The worker in whose slot this accelerator number lies. */
  workerAt(position: number): PlannedWorker | undefined {
    return this.slots.get(Math.floor(position / ACCELERATORS_PER_WORKER));
  }

  /** All accelerator numbers of the worker's slot, usable or not. */
  cellOfWorker(workerId: VmId): Cell | undefined {
    const slot = this.slotOfWorker.get(workerId);
    if (slot === undefined) return undefined;
    return enclosingCell(
      slot * ACCELERATORS_PER_WORKER,
      ACCELERATORS_PER_WORKER,
    );
  }

  /**
   * Adds or updates a worker and returns the cell of its slot. A worker that
   * is already registered for the same slot is replaced.
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

  /** True if the accelerator exists and its worker accepts new tasks. */
  isUsable(position: number): boolean {
    const worker = this.workerAt(position);
    if (worker?.acceptsTasks !== true) return false;
    return position % ACCELERATORS_PER_WORKER < worker.accelerators;
  }

  /** True if the accelerator exists, even if its worker accepts no tasks. */
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
