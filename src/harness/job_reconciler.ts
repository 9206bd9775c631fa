/**
 * Checks gang jobs against the workers' run logs and the store. Reports of the
 * daemons are not used, because the daemons are under test.
 */

import type {GangId, JobId, TaskId, VmId} from '../model/ids.js';
import {hasEnded, jobRecordSchema} from '../model/jobs.js';
import type {JobRecord} from '../model/jobs.js';
import type {StoreEntry} from '../interfaces/key_value_store.js';
import type {RunEvent, TaskEvent} from '../standins/run_log.js';

/** Kill time of each killed worker in milliseconds since the Unix epoch. */
export type WorkerKillTimes = ReadonlyMap<VmId, number>;

const NO_KILL_TIMES: WorkerKillTimes = new Map();

/** A period in which one task ran; times are in ms since the Unix epoch. */
interface TaskRun {
  /** The event that started the task. */
  readonly event: TaskEvent;
  /** Infinite if the task was still running at the end of the log. */
  readonly endedAt: number;
  /** True if the task completed its work. */
  readonly finished: boolean;
}

const TASK_END_EVENTS: ReadonlySet<RunEvent['event']> = new Set([
  'removed',
  'finished',
  'failed',
  'leaseLapsed',
]);

function extractTaskRuns(
  events: readonly RunEvent[],
  killTimes: WorkerKillTimes,
): readonly TaskRun[] {
  const started = new Map<TaskId, TaskEvent>();
  const runs: TaskRun[] = [];
  for (const event of events) {
    if (!('taskId' in event)) continue;
    if (event.event === 'released') started.set(event.taskId, event);
    const start = started.get(event.taskId);
    if (!start || !TASK_END_EVENTS.has(event.event)) continue;
    const finished = event.event === 'finished';
    runs.push({event: start, endedAt: event.at, finished});
    started.delete(event.taskId);
  }
  for (const event of started.values()) {
    const endedAt = killTimes.get(event.workerId) ?? Number.POSITIVE_INFINITY;
    runs.push({event, endedAt, finished: false});
  }
  return runs;
}

function groupBy<K>(
  runs: readonly TaskRun[],
  key: (run: TaskRun) => K,
): ReadonlyMap<K, readonly TaskRun[]> {
  const groups = new Map<K, TaskRun[]>();
  for (const run of runs) {
    const group = groups.get(key(run)) ?? [];
    group.push(run);
    groups.set(key(run), group);
  }
  return groups;
}

/** Returns a message for each pair of tasks that shared an accelerator. */
export function findSharedAccelerators(
  events: readonly RunEvent[],
  killTimes: WorkerKillTimes = NO_KILL_TIMES,
): string[] {
  const byWorker = groupBy(
    extractTaskRuns(events, killTimes),
    (run) => run.event.workerId,
  );
  return [...byWorker.values()].flatMap((runs) =>
    runs.flatMap((run, index) =>
      runs
        .slice(index + 1)
        .filter((other) => overlaps(run, other))
        .map(
          (other) =>
            `tasks ${run.event.taskId} and ${other.event.taskId} shared an ` +
            `accelerator of ${run.event.workerId}`,
        ),
    ),
  );
}

function overlaps(first: TaskRun, second: TaskRun): boolean {
  const overlapInTime =
    first.event.at < second.endedAt && second.event.at < first.endedAt;
  const shareAccelerator = first.event.accelerators.some((index) =>
    second.event.accelerators.includes(index),
  );
  return overlapInTime && shareAccelerator;
}

/** Returns a message for each gang that ran incomplete for over `boundMs`. */
export function findPartialGangs(
  events: readonly RunEvent[],
  boundMs: number,
  killTimes: WorkerKillTimes = NO_KILL_TIMES,
): string[] {
  const gangs = groupBy(
    extractTaskRuns(events, killTimes),
    (run) => run.event.gangId,
  );
  return [...gangs].flatMap(([gangId, runs]) => {
    const partialMs = longestPartialRunMs(runs);
    if (partialMs <= boundMs) return [];
    const {jobId, gangSize} = runs[0]?.event ?? {};
    return [
      `gang ${gangId} (job ${jobId}, ${runs.length} of ${gangSize} tasks ` +
        `started) ran incomplete for ${partialMs} ms`,
    ];
  });
}

/** Longest time in ms for which some but not all tasks of one gang ran. */
function longestPartialRunMs(runs: readonly TaskRun[]): number {
  const size = runs[0]?.event.gangSize ?? 0;
  const times = new Set(runs.flatMap((run) => [run.event.at, run.endedAt]));
  let since: number | undefined;
  let longest = 0;
  for (const time of [...times].sort((a, b) => a - b)) {
    if (since !== undefined) longest = Math.max(longest, time - since);
    const started = runs.filter((run) => run.event.at <= time);
    const running = started.filter((run) => time < run.endedAt).length;
    // A finished task does not count as missing while the others still run.
    const finished = started.filter(
      (run) => run.finished && run.endedAt <= time,
    );
    const isPartial = running > 0 && running + finished.length < size;
    since = isPartial ? (since ?? time) : undefined;
  }
  return longest;
}

/** Returns a message for each job that ran again after it had finished. */
export function findJobsRunAfterFinish(events: readonly RunEvent[]): string[] {
  const jobs = groupBy(
    extractTaskRuns(events, NO_KILL_TIMES),
    (run) => run.event.jobId,
  );
  return [...jobs].flatMap(([jobId, runs]) => {
    const finishedAt = finishTime(runs);
    const laterRun = runs.find((run) => run.event.at > finishedAt);
    if (!laterRun) return [];
    return [`job ${jobId} finished and ran again as ${laterRun.event.gangId}`];
  });
}

/** Time at which the first gang of a job finished; infinite if none did. */
function finishTime(runs: readonly TaskRun[]): number {
  const gangs = groupBy(runs, (run) => run.event.gangId);
  const times = [...gangs.values()]
    .filter(isEveryTaskFinished)
    .map((gang) => Math.max(...gang.map((run) => run.endedAt)));
  return Math.min(Number.POSITIVE_INFINITY, ...times);
}

function isEveryTaskFinished(gang: readonly TaskRun[]): boolean {
  const size = gang[0]?.event.gangSize;
  return gang.filter((run) => run.finished).length === size;
}

/** Reads the job records of all zones from the store's entries. */
export function parseJobRecords(
  entries: readonly StoreEntry[],
): ReadonlyMap<JobId, JobRecord> {
  const records = entries
    .filter(({key}) => key.startsWith('jobs/'))
    .map(({value}) => jobRecordSchema.parse(JSON.parse(value)));
  return new Map(records.map((record) => [record.jobId, record]));
}

/**
 * Returns a message for each accepted job without a record, and for each record
 * in state "finished" without a gang of the job in which every task finished.
 */
export function findMisrecordedJobs(
  accepted: readonly JobId[],
  records: ReadonlyMap<JobId, JobRecord>,
  events: readonly RunEvent[],
): string[] {
  const gangs = groupBy(
    extractTaskRuns(events, NO_KILL_TIMES),
    (run) => run.event.gangId,
  );
  const finishedGangs = new Set<GangId>(
    [...gangs]
      .filter(([, runs]) => isEveryTaskFinished(runs))
      .map(([id]) => id),
  );
  const finishedJobs = new Set(
    events.flatMap((event) =>
      'gangId' in event && finishedGangs.has(event.gangId) ? [event.jobId] : [],
    ),
  );
  return accepted.flatMap((jobId) => {
    const record = records.get(jobId);
    if (!record) return [`accepted job ${jobId} is not in the store`];
    if (record.state !== 'finished' || finishedJobs.has(jobId)) return [];
    return [`job ${jobId} is recorded as finished, but no gang of it finished`];
  });
}

/** Returns the accepted jobs without a record of how they ended. */
export function findJobsNotEnded(
  accepted: readonly JobId[],
  records: ReadonlyMap<JobId, JobRecord>,
): readonly JobId[] {
  return accepted.filter((jobId) => {
    const record = records.get(jobId);
    return !record || !hasEnded(record.state);
  });
}
