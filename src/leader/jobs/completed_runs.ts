/**
 * Run times of finished runs, as far as they tell how fast a worker does its
 * work. A run that was restored, adopted or only partly observed says nothing
 * about that, although its task is done.
 */

import type {RunEnding} from '../../interfaces/task_worker.js';
import type {Instant} from '../../model/ids.js';
import type {Run} from './runs.js';

/** A run that did the whole work of its task while its worker was in contact. */
export interface CompletedRun {
  readonly run: Run;
  /** From the start of the work until its end, in milliseconds. */
  readonly ranMs: number;
  readonly endedAt: Instant;
}

/** A start or an end that is known less exactly distorts short run times. */
const MAXIMUM_UNCERTAINTY_MS = 100;

/**
 * Returns the run time of a run whose end was just read, or undefined if the
 * run time is not known or is not that of the whole work. The members of a gang
 * work from the start of the last one until the slowest has finished. Work on
 * several racks, or away from its data, counts like any other.
 */
export function completedRun(
  run: Run,
  ending: RunEnding,
  now: Instant,
): CompletedRun | undefined {
  if (ending !== 'done' || run.phase !== 'running') return undefined;
  const {longRunning, usesSpareProcessor} = run.step;
  // Such tasks have no fixed amount of work, or are slowed down on purpose.
  if (longRunning === true || usesSpareProcessor === true) return undefined;
  if (run.unobservedMs > MAXIMUM_UNCERTAINTY_MS) return undefined;
  let startedAt = -Infinity;
  for (const member of run.members) {
    const {confirmedAt, firstSentAt} = member;
    if (member.wasAdopted || member.isRestored || member.mayStartLate) {
      return undefined;
    }
    if (confirmedAt === undefined || firstSentAt === undefined) {
      return undefined;
    }
    if (confirmedAt - firstSentAt > MAXIMUM_UNCERTAINTY_MS) return undefined;
    startedAt = Math.max(startedAt, confirmedAt);
  }
  const ranMs = now - startedAt;
  return ranMs > 0 ? {run, ranMs, endedAt: now} : undefined;
}
