/**
 * The workers with which runs of a unit were lost. A task may crash every
 * worker that starts it, and each crash also ends the other runs there. A crash
 * counts against each task that was on the worker, not against the other
 * members of its gang. A unit is given up if one of its tasks crashed workers
 * that it had for itself soon after its starts, or was started on many workers
 * that were lost. A worker that is only silent is no reason to give up its work.
 * The history is part of the job's record, so that its limits hold across
 * leaders.
 *
 * A leader may not know whether a run was started or had ended, how long it was
 * at work, or whether its worker's end was announced. A run may have ended with
 * its gang, by itself or by an order without being listed before its worker
 * crashed, and a worker may have crashed for the same reason as many others.
 * Such a loss is a possible crash: it is a reason for caution, and counts only
 * towards the users' limit of starts.
 */

import type {VmId, WorkerId} from '../../model/ids.js';
import type {TaskStart, WorkerLoss} from '../jobs/records.js';

/** Decisive crashes under one task, after which its unit is given up. */
const DECISIVE_CRASH_LIMIT = 2;

/**
 * Starts of a task that users accept if each of them crashes a worker: two more
 * than three.
 */
const START_LIMIT = 5;

/** Crashes under one task, after which users accept its job as failed. */
const ACCEPTED_CRASHES = 2;

/**
 * Starts that users accept after the third worker has crashed under a task,
 * however their runs end.
 */
const CRASHES_BEFORE_LAST_STARTS = 3;
const LAST_STARTS = 2;

/** Older ones are before the third crash. */
const MAXIMUM_OTHER_STARTS = 20;

/** With fewer possible crashes under one task, its starts have no limit. */
const MINIMUM_POSSIBLE_CRASHES = 2;

/** Probable crashes under one task, after which its unit waits to run alone. */
const CRASHES_UNTIL_ISOLATION = 2;

/** Losses of one task, after which its unit waits until the site is calm. */
const LOSSES_UNTIL_CALM = 2;

/**
 * - `answers`: the same incarnation answered again;
 * - `crashed`: it has ended without notice;
 * - `left`: it has ended after a notice, or by an order;
 * - `ended`: it has ended, possibly after a notice that was not seen;
 * - `unknown`: it may still run.
 */
export type WorkerFate = 'answers' | 'crashed' | 'left' | 'ended' | 'unknown';

/** Losses of workers that had one task. */
interface TaskLosses {
  losses: number;
  /** A start may have been carried out once more than there are losses. */
  hasUnanswered: boolean;
  /** Ends of workers that may have crashed with the task. */
  possibleCrashes: number;
  /** Crashes of workers on which the task had been at work. */
  probableCrashes: number;
  /** Crashes that are the task's own: it was alone and had just started. */
  decisiveCrashes: number;
}

/** Shared by the histories without losses, which nearly all are. */
const NO_LOSSES: readonly WorkerLoss[] = [];
const NO_STARTS: readonly TaskStart[] = [];
const NO_TASKS: ReadonlyMap<number, TaskLosses> = new Map();

export class CrashHistory {
  /** One for each run and worker; a gang may lose several workers in a run. */
  private losses = NO_LOSSES;
  /** Starts after the first loss whose runs ended otherwise, and soon. */
  private startsWithoutLoss = NO_STARTS;
  private byTask = NO_TASKS;

  /** True if the unit may have crashed a worker. */
  get isSuspect(): boolean {
    return this.possibleCrashCount > 0;
  }

  get mustRunAlone(): boolean {
    return this.probableCrashCount >= CRASHES_UNTIL_ISOLATION;
  }

  /** True if users, who know of all crashes, may accept the job as failed. */
  get mayBeGivenUp(): boolean {
    return this.possibleCrashCount >= ACCEPTED_CRASHES;
  }

  /** True if the next losses may end the job, whatever their cause. */
  get hasFewStartsLeft(): boolean {
    return this.most(({losses}) => losses) >= LOSSES_UNTIL_CALM;
  }

  get isOverLimit(): boolean {
    return [...this.byTask].some(
      ([
        task,
        {
          losses,
          hasUnanswered,
          possibleCrashes,
          probableCrashes,
          decisiveCrashes,
        },
      ]) => {
        const mayBeGivenUp = probableCrashes >= ACCEPTED_CRASHES;
        const starts = losses + (mayBeGivenUp && hasUnanswered ? 1 : 0);
        return (
          decisiveCrashes >= DECISIVE_CRASH_LIMIT ||
          (starts >= START_LIMIT &&
            possibleCrashes >= MINIMUM_POSSIBLE_CRASHES) ||
          this.lastStarts(task) >= LAST_STARTS
        );
      },
    );
  }

  /** Starts of the task after the third worker may have crashed under it. */
  private lastStarts(task: number): number {
    const losses = this.losses.filter(({tasks}) => tasks.includes(task));
    const crashedRuns = losses
      .filter(isSettled)
      .map(({run}) => run)
      .sort((a, b) => a - b);
    const third = crashedRuns[CRASHES_BEFORE_LAST_STARTS - 1];
    if (third === undefined) return 0;
    const runs = new Set([
      ...losses.map(({run}) => run),
      ...this.startsWithoutLoss
        .filter((run) => run.task === task)
        .map(({run}) => run),
    ]);
    return [...runs].filter((run) => run > third).length;
  }

  /** Possible crashes under the task that had the most of them. */
  get possibleCrashCount(): number {
    return this.most(({possibleCrashes}) => possibleCrashes);
  }

  /** Probable crashes under the task that had the most of them. */
  get probableCrashCount(): number {
    return this.most(({probableCrashes}) => probableCrashes);
  }

  get decisiveCrashCount(): number {
    return this.most(({decisiveCrashes}) => decisiveCrashes);
  }

  /** True if it is open whether a worker has crashed. */
  get hasUnknownFate(): boolean {
    return this.losses.some((loss) => !isSettled(loss));
  }

  /** True if a run was lost with the worker or with another one on its VM. */
  hasLost(workerId: WorkerId, vmId: VmId | undefined): boolean {
    return this.losses.some(
      (loss) =>
        loss.workerId === workerId ||
        (vmId !== undefined && loss.vmId === vmId),
    );
  }

  record(loss: WorkerLoss): void {
    const earlier = this.losses.find((other) => isSameWorker(other, loss));
    const tasks = new Set([...(earlier?.tasks ?? []), ...loss.tasks]);
    const settled =
      earlier !== undefined && isSettled(earlier) ? earlier : undefined;
    if (settled !== undefined && tasks.size === settled.tasks.length) return;
    const merged = {
      ...(settled ?? loss),
      tasks: [...tasks],
      // Known of all tasks only if it is known of each of them.
      wasAtWork: loss.wasAtWork && earlier?.wasAtWork !== false,
      wasAtWorkAtEnd: loss.wasAtWorkAtEnd && earlier?.wasAtWorkAtEnd !== false,
      isWidespread: loss.isWidespread || earlier?.isWidespread === true,
      isAlone: loss.isAlone && earlier?.isAlone !== false,
      isEarly: loss.isEarly && earlier?.isEarly !== false,
    };
    this.replace([...this.losses.filter((other) => other !== earlier), merged]);
  }

  /** Counts a start whose run ended soon, otherwise than with its worker. */
  recordOtherStart(ended: TaskStart): void {
    if (this.losses.length === 0) return;
    this.startsWithoutLoss = [...this.startsWithoutLoss, ended].slice(
      -MAXIMUM_OTHER_STARTS,
    );
  }

  /**
   * Applies what has become known about the workers; returns true if the
   * history has changed.
   */
  resolve(fateOf: (loss: WorkerLoss) => WorkerFate): boolean {
    const before = this.losses;
    const after = before.flatMap((loss) => {
      if (isSettled(loss)) return [loss];
      switch (fateOf(loss)) {
        case 'unknown':
          return [loss];
        case 'crashed':
        case 'ended':
          // It may have run on after the loss, and ended later.
          return [{...loss, hasEnded: true}];
        case 'answers':
        case 'left':
          return [];
      }
    });
    this.replace(after);
    return (
      before.length !== after.length ||
      before.some((loss, index) => loss !== after[index])
    );
  }

  clear(): void {
    this.startsWithoutLoss = NO_STARTS;
    this.replace(NO_LOSSES);
  }

  toRecord(): readonly WorkerLoss[] {
    return this.losses;
  }

  get otherStarts(): readonly TaskStart[] {
    return this.startsWithoutLoss;
  }

  restore(
    losses: readonly WorkerLoss[],
    otherStarts: readonly TaskStart[],
  ): void {
    this.startsWithoutLoss = otherStarts;
    this.replace(losses);
  }

  private replace(losses: readonly WorkerLoss[]): void {
    this.losses = losses;
    if (losses.length === 0) {
      this.byTask = NO_TASKS;
      return;
    }
    const byTask = new Map<number, TaskLosses>();
    this.byTask = byTask;
    for (const loss of losses) {
      const isProbable = loss.isCrash && loss.wasAtWork;
      const isOwn = isProbable && loss.wasAtWorkAtEnd && !loss.isWidespread;
      const isDecisive = isOwn && loss.isAlone && loss.isEarly;
      for (const task of loss.tasks) {
        const counts = byTask.get(task) ?? {
          losses: 0,
          hasUnanswered: false,
          possibleCrashes: 0,
          probableCrashes: 0,
          decisiveCrashes: 0,
        };
        counts.losses += 1;
        counts.hasUnanswered ||= loss.wasUnanswered;
        if (isSettled(loss)) counts.possibleCrashes += 1;
        if (isProbable) counts.probableCrashes += 1;
        if (isDecisive) counts.decisiveCrashes += 1;
        byTask.set(task, counts);
      }
    }
  }

  private most(countOf: (losses: TaskLosses) => number): number {
    let most = 0;
    for (const losses of this.byTask.values()) {
      most = Math.max(most, countOf(losses));
    }
    return most;
  }
}

/**
 * True if nothing more will become known about the worker's end. Records of
 * earlier versions tell crashes only.
 */
function isSettled({isCrash, hasEnded}: WorkerLoss): boolean {
  return isCrash || hasEnded;
}

function isSameWorker(a: WorkerLoss, b: WorkerLoss): boolean {
  return a.run === b.run && a.workerId === b.workerId && a.life === b.life;
}
