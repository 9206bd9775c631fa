/**
 * Why a round leaves out workers for a batch, by the rules of the round itself.
 */

import type {WorkerReview} from './explanation.js';
import type {FreeCapacity, Shortage, WorkerExclusion} from './free_capacity.js';
import type {PlanningView} from './planning_view.js';
import type {ConsideredBatch} from './round_observer.js';
import type {UnusableReason, WorkerState} from '../workers/worker_state.js';

/** Rules in the order in which they apply to a worker. */
export type WorkerRule =
  | UnusableReason
  | 'quarantined'
  /** It is in no group of workers that the unit may use. */
  | 'otherRack'
  | WorkerExclusion
  | Shortage
  /** Something runs there, and the unit waits for vacant workers. */
  | 'occupied';

/** With `needsVacant`, only vacant workers have room. */
export function reviewWorkers(
  considered: ConsideredBatch,
  view: PlanningView,
  needsVacant: boolean,
): WorkerReview {
  return new Review(considered, view, needsVacant).result();
}

class Review {
  private readonly groups: ReadonlyArray<readonly FreeCapacity[]>;
  private readonly usable = new Map<WorkerState, FreeCapacity>();
  /** Tasks that fit on each worker that is not ruled out. */
  private readonly slots = new Map<FreeCapacity, number>();

  constructor(
    private readonly considered: ConsideredBatch,
    private readonly view: PlanningView,
    private readonly needsVacant: boolean,
  ) {
    const {racks, crossRack} = considered.candidates;
    this.groups = [...racks, ...crossRack];
    for (const capacity of this.groups.flat()) {
      this.usable.set(capacity.worker, capacity);
    }
  }

  result(): WorkerReview {
    const ruledOut = new Map<WorkerRule, number>();
    let count = 0;
    for (const worker of this.view.workers.values()) {
      if (worker.entry.serviceId !== this.considered.table.serviceId) continue;
      count += 1;
      const rule = this.ruleAgainst(worker);
      if (rule !== undefined) ruledOut.set(rule, (ruledOut.get(rule) ?? 0) + 1);
    }
    return {
      considered: count,
      ruledOut: [...ruledOut]
        .map(([rule, workers]) => ({rule, workers}))
        .sort((a, b) => b.workers - a.workers),
      withRoom: {
        workers: this.slots.size,
        tasks: this.tasksOn([...this.slots.keys()]),
        tasksTogether: Math.max(
          0,
          ...this.groups.map((group) => this.tasksOn(group)),
        ),
      },
    };
  }

  private ruleAgainst(worker: WorkerState): WorkerRule | undefined {
    const {batch, table, choice} = this.considered;
    const {unit} = batch;
    if (worker.unusableReason !== undefined) return worker.unusableReason;
    const capacity = this.usable.get(worker);
    if (capacity === undefined) {
      const isQuarantined = worker.isQuarantined(this.view.steady);
      return isQuarantined ? 'quarantined' : 'otherRack';
    }
    const endsAt = choice.endOn([capacity]);
    const rule =
      table.exclusionOf(capacity, unit) ?? capacity.shortageUntil(unit, endsAt);
    if (rule !== undefined) return rule;
    if (this.needsVacant && !capacity.isVacant) return 'occupied';
    this.slots.set(capacity, capacity.slotsUntil(unit, endsAt));
    return undefined;
  }

  private tasksOn(capacities: readonly FreeCapacity[]): number {
    const {units, unit} = this.considered.batch;
    let tasks = 0;
    for (const each of capacities) tasks += this.slots.get(each) ?? 0;
    return Math.min(tasks, units.length * unit.taskCount);
  }
}
