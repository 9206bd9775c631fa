/**
 * Which of the workers that a unit fits on it uses. Terms compare two workers
 * one after the other, and the first one that prefers a worker decides.
 */

import type {Instant, WorkKind} from '../../model/ids.js';
import {instant} from '../../model/ids.js';
import type {CrashHistory} from '../losses/crash_history.js';
import type {Unit} from '../jobs/jobs.js';
import type {KnownInterference} from '../workers/interference.js';
import {kindOf} from '../workers/neighbours.js';
import {stepsOf} from '../workers/worker_speeds.js';
import type {WorkerSpeeds} from '../workers/worker_speeds.js';
import type {FreeCapacity, FreeCapacityTable} from './free_capacity.js';

/**
 * Share of the slack that a slow worker may use up; the rest is for run times
 * that vary.
 */
const SPEED_SLACK_SHARE = 0.5;

/** Share of the workers that is not opened to keep kinds of work apart. */
const UNTOUCHED_VACANT_SHARE = 0.25;

/** What a choice of workers is for. */
export interface PlacedWork {
  readonly unit: Unit;
  /** Time that the unit usually takes, in milliseconds. */
  readonly expectedMs: number;
  readonly deadlines: {readonly inTime: Instant};
}

/** What is known about the workers; parts that aren't used are absent. */
export interface WorkerKnowledge {
  readonly speeds?: WorkerSpeeds | undefined;
  readonly interference?: KnownInterference | undefined;
  readonly now: Instant;
}

/** A reason to prefer one worker over another. */
export abstract class WorkerPreference {
  /** The preferred worker compares as less; 0 leaves it to the next term. */
  abstract compare(a: FreeCapacity, b: FreeCapacity): number;
}

/** Cold workers are slow for a while, so warm ones come first. */
class WarmWorker extends WorkerPreference {
  compare(a: FreeCapacity, b: FreeCapacity): number {
    return Number(a.isCold) - Number(b.isCold);
  }
}

/** Best-effort tasks go to the workers with the most spare processors. */
class MostSpareProcessor extends WorkerPreference {
  compare(a: FreeCapacity, b: FreeCapacity): number {
    return b.spareProcessorMillicores - a.spareProcessorMillicores;
  }
}

/** Suspects go to workers that they were not lost with. */
class UnsuspectedWorker extends WorkerPreference {
  constructor(private readonly crashes: CrashHistory) {
    super();
  }

  compare(a: FreeCapacity, b: FreeCapacity): number {
    // Where workers are restarted in turn, the latest one is the last to follow.
    return (
      Number(this.hasLost(a)) - Number(this.hasLost(b)) ||
      a.worker.runs.size - b.worker.runs.size ||
      b.worker.incarnation - a.worker.incarnation
    );
  }

  private hasLost({worker}: FreeCapacity): boolean {
    return this.crashes.hasLost(worker.workerId, worker.entry.vmId);
  }
}

/**
 * Work goes to the slowest workers on which it is still in time, so that faster
 * ones remain for work that needs them; else to the fastest ones.
 */
class SufficientSpeed extends WorkerPreference {
  /** Slowest factor at which the work is expected to be in time. */
  private readonly slowestFactor: number;
  private readonly ranks = new Map<FreeCapacity, number>();

  constructor(
    {expectedMs, deadlines}: PlacedWork,
    private readonly speeds: WorkerSpeeds,
    now: Instant,
  ) {
    super();
    const slackMs = Math.max(0, deadlines.inTime - now);
    this.slowestFactor =
      1 + (SPEED_SLACK_SHARE * slackMs) / Math.max(1, expectedMs);
  }

  compare(a: FreeCapacity, b: FreeCapacity): number {
    return this.rankOf(a) - this.rankOf(b);
  }

  isSufficient({worker}: FreeCapacity): boolean {
    return (
      this.speeds.speedOf(worker.entry).cautiousFactor <= this.slowestFactor
    );
  }

  /** The slowest worker determines when a gang ends. */
  factorOf(capacities: readonly FreeCapacity[]): number {
    return this.speeds.slowestFactorOf(
      capacities.map(({worker}) => worker.entry),
    );
  }

  private rankOf(capacity: FreeCapacity): number {
    let rank = this.ranks.get(capacity);
    if (rank === undefined) {
      const {factor} = this.speeds.speedOf(capacity.worker.entry);
      const step = stepsOf(factor);
      rank = this.isSufficient(capacity) ? -step : TOO_SLOW + step;
      this.ranks.set(capacity, rank);
    }
    return rank;
  }
}

/** Rank that is beyond all workers that are fast enough. */
const TOO_SLOW = 1_000;

/** Fuller workers are used first, so that empty ones remain for large gangs. */
class FullerWorker extends WorkerPreference {
  compare(a: FreeCapacity, b: FreeCapacity): number {
    return (
      a.freeAccelerators - b.freeAccelerators ||
      a.freeProcessorMillicores - b.freeProcessorMillicores
    );
  }
}

class FewerFreeAccelerators extends WorkerPreference {
  compare(a: FreeCapacity, b: FreeCapacity): number {
    return a.freeAccelerators - b.freeAccelerators;
  }
}

/** Work goes where it neither slows other work nor is slowed by it. */
class UndisturbedWorker extends WorkerPreference {
  /** The others stay whole for large gangs. */
  private readonly openable: ReadonlySet<FreeCapacity>;

  constructor(
    private readonly conflicts: ReadonlySet<WorkKind>,
    {capacities}: FreeCapacityTable,
  ) {
    super();
    const vacant = capacities.filter(({isVacant}) => isVacant);
    const untouched = Math.ceil(capacities.length * UNTOUCHED_VACANT_SHARE);
    this.openable = new Set(vacant.slice(untouched));
  }

  /** False if few workers are vacant; then full workers are filled first. */
  get hasRoom(): boolean {
    return this.openable.size > 0;
  }

  compare(a: FreeCapacity, b: FreeCapacity): number {
    return Number(this.isDisturbed(a)) - Number(this.isDisturbed(b));
  }

  isDisturbed(capacity: FreeCapacity): boolean {
    if (capacity.isVacant) return !this.openable.has(capacity);
    return capacity.hasAnyOf(this.conflicts);
  }
}

/** Tasks of a unit that a worker has room for; at least one. */
interface Candidate {
  readonly capacity: FreeCapacity;
  readonly slots: number;
}

/** Chooses among the workers that a unit, or a batch of alike ones, may use. */
export class WorkerChoice {
  private readonly terms: readonly WorkerPreference[];
  private readonly now: Instant;
  private readonly sufficientSpeed: SufficientSpeed | undefined;
  private readonly undisturbed: UndisturbedWorker | undefined;
  /** The unit's tasks slow each other down. */
  private readonly isSlowedByItself: boolean;

  constructor(
    private readonly work: PlacedWork,
    table: FreeCapacityTable,
    {speeds, interference, now}: WorkerKnowledge,
  ) {
    const {unit} = work;
    this.now = now;
    const kind = kindOf(unit);
    const conflicts = interference?.conflictsOf(kind);
    this.isSlowedByItself = conflicts?.has(kind) === true;
    if (conflicts !== undefined && conflicts.size > 0) {
      this.undisturbed = new UndisturbedWorker(conflicts, table);
    }
    if (speeds !== undefined && usesSpeeds(unit)) {
      this.sufficientSpeed = new SufficientSpeed(work, speeds, now);
    }
    const terms = this.termsFor(unit);
    this.terms = table.hasColdWorkers ? [new WarmWorker(), ...terms] : terms;
  }

  private termsFor({step, crashes}: Unit): readonly WorkerPreference[] {
    if (step.usesSpareProcessor === true) return [new MostSpareProcessor()];
    if (crashes.isSuspect) return [new UnsuspectedWorker(crashes)];
    const {sufficientSpeed} = this;
    return sufficientSpeed === undefined
      ? this.packingTerms()
      : [sufficientSpeed, ...this.packingTerms()];
  }

  private packingTerms(): readonly WorkerPreference[] {
    const {undisturbed} = this;
    if (undisturbed === undefined) return [new FullerWorker()];
    return undisturbed.hasRoom
      ? [undisturbed, new FullerWorker()]
      : [new FewerFreeAccelerators(), undisturbed, new FullerWorker()];
  }

  get unit(): Unit {
    return this.work.unit;
  }

  /**
   * Returns the worker's capacity for each of `count` tasks, or for fewer if
   * not all fit.
   */
  choose(
    count: number,
    capacities: readonly FreeCapacity[],
  ): readonly FreeCapacity[] {
    const {unit} = this.work;
    const usualEnd = this.endOn([]);
    const endOn = (capacity: FreeCapacity) =>
      this.sufficientSpeed === undefined ? usualEnd : this.endOn([capacity]);
    const sorted = capacities
      .map((capacity) => ({
        capacity,
        slots: capacity.slotsUntil(unit, endOn(capacity)),
      }))
      .filter(({slots}) => slots > 0)
      .sort((a, b) => this.compare(a.capacity, b.capacity));
    const chosen: FreeCapacity[] = [];
    for (const {capacity, slots} of this.spread(sorted)) {
      const tasks = Math.min(slots, count - chosen.length);
      for (let i = 0; i < tasks; i += 1) chosen.push(capacity);
      if (chosen.length === count) break;
    }
    return chosen;
  }

  /** Tasks that slow each other down first take a worker each. */
  private spread(sorted: readonly Candidate[]): readonly Candidate[] {
    const {undisturbed, sufficientSpeed, isSlowedByItself} = this;
    if (!isSlowedByItself || undisturbed?.hasRoom !== true) return sorted;
    const single = sorted.filter(
      ({capacity}) =>
        !undisturbed.isDisturbed(capacity) &&
        sufficientSpeed?.isSufficient(capacity) !== false,
    );
    const singles = new Set(single);
    return [
      ...single.map(({capacity}) => ({capacity, slots: 1})),
      ...sorted.map((each) =>
        singles.has(each) ? {...each, slots: each.slots - 1} : each,
      ),
    ];
  }

  /** When the unit is expected to end on these workers. */
  endOn(capacities: readonly FreeCapacity[]): Instant {
    const factor = this.sufficientSpeed?.factorOf(capacities) ?? 1;
    return instant(this.now + this.work.expectedMs * factor);
  }

  /** Groups of workers on which the unit is in time come first. */
  orderGroups(
    groups: ReadonlyArray<readonly FreeCapacity[]>,
  ): ReadonlyArray<readonly FreeCapacity[]> {
    const {sufficientSpeed} = this;
    if (sufficientSpeed === undefined || groups.length < 2) return groups;
    const isInTime = (group: readonly FreeCapacity[]) =>
      this.fits(group.filter((each) => sufficientSpeed.isSufficient(each)));
    const inTime = new Set(groups.filter(isInTime));
    return [...inTime, ...groups.filter((group) => !inTime.has(group))];
  }

  private fits(capacities: readonly FreeCapacity[]): boolean {
    const {unit} = this.work;
    let slots = 0;
    for (const capacity of capacities) slots += capacity.slots(unit);
    return slots >= unit.taskCount;
  }

  private compare(a: FreeCapacity, b: FreeCapacity): number {
    for (const term of this.terms) {
      const order = term.compare(a, b);
      if (order !== 0) return order;
    }
    return 0;
  }
}

/** Such tasks have no end that a speed could change, or run alone. */
function usesSpeeds({step, crashes}: Unit): boolean {
  return (
    step.usesSpareProcessor !== true &&
    step.longRunning !== true &&
    !crashes.isSuspect
  );
}
