/**
 * Tracks which accelerators of a zone are occupied, to measure fragmentation.
 * It depends only on the placements and is independent of the policy's planner.
 */

import type {VmId} from '../model/ids.js';
import type {CellSize} from '../model/shapes.js';
import {
  ACCELERATORS_PER_RACK,
  ACCELERATORS_PER_WORKER,
  CELL_SIZES,
} from '../model/shapes.js';
import {Racks} from '../scheduling/racks.js';
import type {GangPlacement, PlannedWorker} from '../scheduling/zone_planner.js';

interface RackOccupancy {
  free: number;
  /** Number of disjoint free blocks, by index of their size in CELL_SIZES. */
  blocks: readonly number[];
}

export class Occupancy {
  private readonly racks = new Racks();
  private readonly inUse = new Set<number>();
  private readonly unavailable = new Set<VmId>();
  /** Cache by rack index; entries are dropped when the rack changes. */
  private readonly rackOccupancies = new Map<number, RackOccupancy>();

  /**
   * `isAligned` is true for policies that place gangs on aligned cells only;
   * the others can use any adjacent accelerators of a rack.
   */
  constructor(
    workers: readonly PlannedWorker[],
    private readonly isAligned: boolean,
  ) {
    for (const worker of workers) this.racks.set(worker);
  }

  occupy(placement: GangPlacement): void {
    for (const position of this.positionsOf(placement)) {
      this.inUse.add(position);
    }
  }

  release(placement: GangPlacement): void {
    for (const position of this.positionsOf(placement)) {
      this.inUse.delete(position);
    }
  }

  /** Replaces the set of quarantined workers, which count as not free. */
  setUnavailable(workerIds: readonly VmId[]): void {
    if (
      workerIds.length === this.unavailable.size &&
      workerIds.every((workerId) => this.unavailable.has(workerId))
    ) {
      return;
    }
    this.unavailable.clear();
    for (const workerId of workerIds) this.unavailable.add(workerId);
    this.rackOccupancies.clear();
  }

  /** Number of accelerators occupied by gangs. */
  get used(): number {
    return this.inUse.size;
  }

  get free(): number {
    return this.occupancyOfRacks().reduce((sum, rack) => sum + rack.free, 0);
  }

  /** Number of free accelerators that gangs of this cell size can use. */
  usableBy(size: CellSize): number {
    const level = CELL_SIZES.indexOf(size);
    return this.occupancyOfRacks().reduce(
      (sum, rack) => sum + size * (rack.blocks[level] ?? 0),
      0,
    );
  }

  /** Racks with at least one free block of this size. */
  racksAbleToHost(size: CellSize): number {
    const level = CELL_SIZES.indexOf(size);
    return this.occupancyOfRacks().filter(
      (rack) => (rack.blocks[level] ?? 0) > 0,
    ).length;
  }

  private occupancyOfRacks(): readonly RackOccupancy[] {
    return Array.from({length: this.racks.rackCount}, (_, rack) => {
      const cached = this.rackOccupancies.get(rack);
      if (cached !== undefined) return cached;
      const use = this.occupancyOfRack(rack);
      this.rackOccupancies.set(rack, use);
      return use;
    });
  }

  private occupancyOfRack(rack: number): RackOccupancy {
    const start = rack * ACCELERATORS_PER_RACK;
    const free = Array.from({length: ACCELERATORS_PER_RACK}, (_, index) =>
      this.isFree(start + index),
    );
    return {
      free: free.filter((isFree) => isFree).length,
      blocks: CELL_SIZES.map((size) => this.countBlocks(free, size)),
    };
  }

  private countBlocks(free: readonly boolean[], size: CellSize): number {
    const step = this.isAligned
      ? size
      : Math.min(size, ACCELERATORS_PER_WORKER);
    let blocks = 0;
    let at = 0;
    while (at + size <= free.length) {
      const isBlock = free.slice(at, at + size).every((isFree) => isFree);
      if (isBlock) blocks += 1;
      at += isBlock ? size : step;
    }
    return blocks;
  }

  private isFree(position: number): boolean {
    const worker = this.racks.workerAt(position);
    if (worker === undefined || !this.racks.isUsable(position)) return false;
    return !this.unavailable.has(worker.workerId) && !this.inUse.has(position);
  }

  /** Also drops the cached occupancy of the racks concerned. */
  private positionsOf(placement: GangPlacement): readonly number[] {
    return placement.tasks.flatMap(({workerId, accelerators}) => {
      const first = this.racks.cellOfWorker(workerId)?.position ?? 0;
      this.rackOccupancies.delete(Math.floor(first / ACCELERATORS_PER_RACK));
      return accelerators.map((index) => first + index);
    });
  }
}
