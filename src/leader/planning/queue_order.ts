/**
 * The order in which waiting work is placed, for loads that exceed the
 * capacity. In order of acceptance, a backlog of jobs that are late already
 * makes every later job late too. Within its priority, a job that can still
 * meet its objective therefore goes first, the one with the least slack before
 * the others; then jobs that are late; and last those whose result would come
 * after three times the objective, when it is worth nothing to its caller.
 */

import type {Instant} from '../../model/ids.js';
import {instant} from '../../model/ids.js';
import type {Queue} from '../../model/queues.js';
import type {Unit} from '../jobs/jobs.js';
import type {RunTimeTable} from '../jobs/run_times.js';

/**
 * - `guaranteed`: within the customer's guarantee, may preempt any run that is
 *   neither guaranteed nor long-running, urgent ones last;
 * - `urgent`: highest priority beyond the guarantee, may preempt only such runs
 *   with checkpoints;
 * - `other`: everything else.
 */
export type Rank = 'guaranteed' | 'urgent' | 'other';

/**
 * Share of the slack that may pass before a start counts as too late. Run times
 * vary, and of a long queue only the work at its end would else be started,
 * all of it just too late.
 */
const SAFE_SLACK_SHARE = 0.85;

/** A result is useless after this multiple of its job's objective. */
const USELESS_AFTER_OBJECTIVES = 3;

/**
 * - `inTime`: a start now is expected to meet the objective;
 * - `late`: it is expected to end after it, but within three times of it;
 * - `useless`: it is expected to end later than that.
 */
export type Timeliness = 'inTime' | 'late' | 'useless';

/** When a unit has to start, by its job's objective. */
export interface StartDeadlines {
  /** Latest start that is expected to meet the objective. */
  readonly inTime: Instant;
  /** Latest start whose result is expected to be of use. */
  readonly useful: Instant;
}

/** Returns no deadlines if the queue is not configured. */
export function startDeadlines(
  unit: Unit,
  queue: Queue | undefined,
  runTimes: RunTimeTable,
  slowdown: number,
): StartDeadlines {
  const {job} = unit;
  if (queue === undefined || unit.step.longRunning === true) {
    return {inTime: instant(Infinity), useful: instant(Infinity)};
  }
  const {steps} = job.submission;
  const chains = steps.map(() => 0);
  // Steps name earlier steps only, so one pass from the end is sufficient.
  let longest = 0;
  for (let index = steps.length - 1; index >= 0; index -= 1) {
    const step = steps[index];
    if (step === undefined) continue;
    const chain = (chains[index] ?? 0) + runTimes.expectedMs(job, step);
    chains[index] = chain;
    longest = Math.max(longest, chain);
    for (const earlier of step.after) {
      chains[earlier] = Math.max(chains[earlier] ?? 0, chain);
    }
  }
  const ownMs = runTimes.expectedMs(job, unit.step);
  const remainingMs = (chains[unit.stepIndex] ?? 0) + ownMs * (slowdown - 1);
  const objectiveMs = queue.objectiveFactor * longest + queue.targetLatencyMs;
  const slackMs = objectiveMs - remainingMs;
  const dueAt = job.dueAt(unit.occurrence);
  return {
    inTime: instant(dueAt + slackMs * SAFE_SLACK_SHARE),
    useful: instant(
      dueAt + objectiveMs * USELESS_AFTER_OBJECTIVES - remainingMs,
    ),
  };
}

export function timelinessAt(
  now: Instant,
  deadlines: StartDeadlines,
): Timeliness {
  if (now <= deadlines.inTime) return 'inTime';
  return now <= deadlines.useful ? 'late' : 'useless';
}

const TIMELINESS_ORDER: Readonly<Record<Timeliness, number>> = {
  inTime: 0,
  late: 1,
  useless: 2,
};

export interface WaitingWork {
  readonly unit: Unit;
  readonly timeliness: Timeliness;
  readonly deadlines: StartDeadlines;
}

/** Orders work of the same rank and priority. */
export function compareByDeadline(a: WaitingWork, b: WaitingWork): number {
  const byTimeliness =
    TIMELINESS_ORDER[a.timeliness] - TIMELINESS_ORDER[b.timeliness];
  if (byTimeliness !== 0) return byTimeliness;
  const byDeadline =
    a.timeliness === 'inTime'
      ? a.deadlines.inTime - b.deadlines.inTime
      : a.deadlines.useful - b.deadlines.useful;
  // The difference of two infinite deadlines is not a number.
  if (byDeadline !== 0 && !Number.isNaN(byDeadline)) return byDeadline;
  return (
    a.unit.job.acceptedAt - b.unit.job.acceptedAt ||
    a.unit.firstIndex - b.unit.firstIndex
  );
}
