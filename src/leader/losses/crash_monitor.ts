/**
 * Counts the runs that are lost with their workers and ends the jobs of units
 * that have lost too many. A worker that became silent may have crashed or may
 * only be cut off, so its fate is looked up until it is known.
 */

import type {Instant} from '../../model/ids.js';
import type {WorkerFate} from './crash_history.js';
import type {Job, Unit} from '../jobs/jobs.js';
import type {Run} from '../jobs/runs.js';
import type {LeaderLog} from '../leader_log.js';
import type {WorkerLoss} from '../jobs/records.js';
import type {WorkerOutages} from './worker_outages.js';
import type {WorkerState} from '../workers/worker_state.js';

/** Numbers of events in this term. */
export interface CrashCounts {
  readonly workerCrashes: number;
  readonly jobsGivenUp: number;
}

export class CrashMonitor {
  private readonly unitsToResolve = new Set<Unit>();
  private workerCrashes = 0;
  private jobsGivenUp = 0;

  constructor(
    private readonly log: LeaderLog,
    private readonly outages: WorkerOutages,
  ) {}

  get counts(): CrashCounts {
    const {workerCrashes, jobsGivenUp} = this;
    return {workerCrashes, jobsGivenUp};
  }

  /** Follows the units of earlier leaders' jobs. */
  adopt(jobs: Iterable<Job>): void {
    for (const job of jobs) {
      for (const unit of job.openUnits) {
        if (unit.crashes.hasUnknownFate) this.unitsToResolve.add(unit);
      }
    }
  }

  /**
   * Counts runs that were lost with one incarnation of a worker and are no
   * longer on it. Others of the incarnation may remain, if it is open whether
   * they have started.
   */
  recordLosses(
    worker: WorkerState,
    runs: readonly Run[],
    fate: WorkerFate,
    now: Instant,
  ): void {
    const units = unitsOnIncarnation(worker, runs);
    if (fate === 'crashed') this.workerCrashes += 1;
    this.log.workerLost(worker, fate, runs.length, units.size);
    const isBlameless = fate === 'left' || fate === 'answers';
    const endedBefore = (incarnation: number) =>
      worker.goneSince(incarnation) ?? (fate === 'unknown' ? undefined : now);
    for (const run of runs) {
      this.log.lossFacts(run, fate, units.size, endedBefore(run.incarnation));
      if (!isBlameless) continue;
      run.unit.job.runEnded(run, 'lost', run.checkpoint, Infinity, now);
    }
    if (isBlameless) return;
    for (const unit of new Set(runs.map((run) => run.unit))) {
      const lost = runs.filter((run) => run.unit === unit);
      const [first] = lost;
      if (first === undefined) continue;
      const hadOthers =
        worker.incarnationWithUnrecordedRuns === first.incarnation;
      const before = endedBefore(first.incarnation);
      const loss = lossOf(first, lost, fate, {
        isAlone: units.size === 1 && !hadOthers,
        isWidespread: this.outages.isWidespreadAt(before ?? now),
        endedBefore: before,
      });
      const {job} = unit;
      this.update(unit, () => job.runsLostWithWorker(unit, lost, loss, now));
    }
  }

  /**
   * Counts the start of a run that has ended otherwise than with its worker; may
   * end its job.
   */
  recordEnd(run: Run, now: Instant): void {
    const {unit, taskIndex, runNumber} = run;
    if (unit.isDone || unit.job.isEnded || !run.countsAsStart) return;
    this.update(unit, () => {
      unit.crashes.recordOtherStart({task: taskIndex, run: runNumber});
      unit.job.endIfOverCrashLimit(unit, now);
    });
  }

  /** Returns the jobs that have changed, some of which may have ended. */
  resolveFates(
    fateOf: (loss: WorkerLoss) => WorkerFate,
    now: Instant,
  ): ReadonlySet<Job> {
    const changed = new Set<Job>();
    for (const unit of [...this.unitsToResolve]) {
      const {job} = unit;
      if (job.isEnded || unit.isDone) {
        this.unitsToResolve.delete(unit);
        continue;
      }
      this.update(unit, () => {
        if (!unit.crashes.resolve(fateOf)) return;
        job.isChanged = true;
        changed.add(job);
        job.endIfOverCrashLimit(unit, now);
      });
    }
    return changed;
  }

  private update(unit: Unit, change: () => void): void {
    const {job, crashes} = unit;
    const before = crashes.toRecord();
    const wasEnded = job.isEnded;
    change();
    if (crashes.hasUnknownFate) this.unitsToResolve.add(unit);
    else this.unitsToResolve.delete(unit);
    const isGivenUp = job.isEnded && !wasEnded;
    if (crashes.toRecord() === before && !isGivenUp) return;
    if (isGivenUp) this.jobsGivenUp += 1;
    this.log.lossCounted(unit, isGivenUp);
  }
}

function unitsOnIncarnation(
  worker: WorkerState,
  lost: readonly Run[],
): ReadonlySet<Unit> {
  const incarnations = new Set(lost.map(({incarnation}) => incarnation));
  const undecided = [...worker.runs.values()].filter(
    ({incarnation, wasStartSent}) =>
      wasStartSent && incarnations.has(incarnation),
  );
  return new Set([...lost, ...undecided].map(({unit}) => unit));
}

/** Describes the loss of one unit's runs on one worker. */
function lossOf(
  {runNumber, workerId, incarnation, vmId}: Run,
  runs: readonly Run[],
  fate: WorkerFate,
  known: {
    isAlone: boolean;
    isWidespread: boolean;
    endedBefore: Instant | undefined;
  },
): WorkerLoss {
  return {
    run: runNumber,
    tasks: runs.map(({taskIndex}) => taskIndex),
    workerId,
    life: incarnation,
    ...(vmId === undefined ? {} : {vmId}),
    isCrash: fate === 'crashed',
    hasEnded: fate === 'crashed' || fate === 'ended',
    wasUnanswered: runs.some(({mayStartLate}) => mayStartLate),
    wasAtWork: runs.every(({wasSeenAtWork}) => wasSeenAtWork),
    wasAtWorkAtEnd: runs.every((run) => run.wasAtWorkUntil(known.endedBefore)),
    isWidespread: known.isWidespread,
    isAlone: known.isAlone,
    isEarly: runs.every((run) => run.hasEndedEarly(known.endedBefore)),
  };
}
