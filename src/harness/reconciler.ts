/**
 * Compares what callers were told with what the stand-ins ran. The stand-ins'
 * run logs are the truth; what a daemon says counts for nothing here.
 */

import type {RequestId, TaskId, VmId} from '../model/ids.js';
import type {RunEvent, TaskEvent} from '../standins/run_log.js';
import {isRightAnswer} from './caller.js';
import type {RequestRecord} from './caller.js';

/** Outcomes of one site's requests and what is wrong with them. */
export interface Reconciliation {
  readonly answered: number;
  readonly notRun: number;
  readonly unknown: number;
  /** Requests whose connection broke before an answer. */
  readonly unanswered: number;
  /** One sentence per broken promise; empty if all hold. */
  readonly violations: readonly string[];
}

/** Says which customers' classes run at most once. */
export type RepeatableCheck = (
  customerId: string,
  workClassId: string,
) => boolean;

/** Checks all requests of callers against the minions' run logs. */
export function reconcileRequests(
  records: readonly RequestRecord[],
  events: readonly RunEvent[],
  isRepeatable: RepeatableCheck,
): Reconciliation {
  const runs = countRuns(events);
  const violations = [
    ...records.flatMap((record) => findRequestViolations(record, runs)),
    ...findRepeatedRuns(events, isRepeatable),
    ...findRepeatedKeys(records, runs, isRepeatable),
  ];
  const count = (outcome: string | undefined) =>
    records.filter((record) => record.outcome?.outcome === outcome).length;
  return {
    answered: count('answered'),
    notRun: count('notRun'),
    unknown: count('unknown'),
    unanswered: count(undefined),
    violations,
  };
}

function countRuns(
  events: readonly RunEvent[],
): ReadonlyMap<RequestId, number> {
  const runs = new Map<RequestId, number>();
  for (const event of events) {
    if (event.event !== 'runStarted') continue;
    runs.set(event.requestId, (runs.get(event.requestId) ?? 0) + 1);
  }
  return runs;
}

function findRequestViolations(
  record: RequestRecord,
  runs: ReadonlyMap<RequestId, number>,
): string[] {
  const {outcome} = record;
  if (outcome === undefined) return [];
  const {requestId} = outcome;
  const ran = runs.get(requestId) ?? 0;
  if (outcome.outcome === 'notRun' && ran > 0) {
    return [`request ${requestId} was told "not run" and ran ${ran} times`];
  }
  if (outcome.outcome === 'answered' && !isRightAnswer(record)) {
    return [`request ${requestId} got an answer that is not its own`];
  }
  return [];
}

/** No request id of a non-idempotent class runs twice. */
function findRepeatedRuns(
  events: readonly RunEvent[],
  isRepeatable: RepeatableCheck,
): string[] {
  const seen = new Set<RequestId>();
  const violations: string[] = [];
  for (const event of events) {
    if (event.event !== 'runStarted') continue;
    if (isRepeatable(event.customerId, event.workClassId)) continue;
    if (seen.has(event.requestId)) {
      violations.push(`request ${event.requestId} ran more than once`);
    }
    seen.add(event.requestId);
  }
  return violations;
}

/** No key of a non-idempotent class runs under two request ids. */
function findRepeatedKeys(
  records: readonly RequestRecord[],
  runs: ReadonlyMap<RequestId, number>,
  isRepeatable: RepeatableCheck,
): string[] {
  const ranBy = new Map<string, Set<RequestId>>();
  for (const {customerId, workClassId, key, outcome} of records) {
    if (key === undefined || isRepeatable(customerId, workClassId)) continue;
    if (outcome === undefined || !runs.has(outcome.requestId)) continue;
    const name = `${customerId} ${key}`;
    ranBy.set(name, (ranBy.get(name) ?? new Set()).add(outcome.requestId));
  }
  return [...ranBy]
    .filter(([, requestIds]) => requestIds.size > 1)
    .map(([name, ids]) => `key ${name} ran ${ids.size} times`);
}

/** Periods in which one task ran, from the workers' run logs. */
interface TaskRun {
  readonly event: TaskEvent;
  readonly endedAt: number;
}

const TASK_ENDS: ReadonlySet<RunEvent['event']> = new Set([
  'removed',
  'finished',
  'failed',
  'leaseLapsed',
]);

function taskRuns(events: readonly RunEvent[]): TaskRun[] {
  const started = new Map<TaskId, TaskEvent>();
  const runs: TaskRun[] = [];
  for (const event of events) {
    if (event.event === 'released') started.set(event.taskId, event);
    if (!isTaskEvent(event) || !TASK_ENDS.has(event.event)) continue;
    const start = started.get(event.taskId);
    if (!start) continue;
    runs.push({event: start, endedAt: event.at});
    started.delete(event.taskId);
  }
  for (const event of started.values()) {
    runs.push({event, endedAt: Number.POSITIVE_INFINITY});
  }
  return runs;
}

function isTaskEvent(event: RunEvent): event is TaskEvent {
  return 'taskId' in event;
}

/** Returns a sentence for each pair of tasks that shared an accelerator. */
export function findSharedAccelerators(events: readonly RunEvent[]): string[] {
  const byWorker = new Map<VmId, TaskRun[]>();
  for (const run of taskRuns(events)) {
    const runs = byWorker.get(run.event.workerId) ?? [];
    byWorker.set(run.event.workerId, [...runs, run]);
  }
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
  const inTime =
    first.event.at < second.endedAt && second.event.at < first.endedAt;
  const inSpace = first.event.accelerators.some((index) =>
    second.event.accelerators.includes(index),
  );
  return inTime && inSpace;
}

/** How long parts of gangs ran without the whole, at most, in milliseconds. */
export function longestPartialRunMs(
  events: readonly RunEvent[],
  gangSizes: ReadonlyMap<string, number>,
): number {
  const byGang = new Map<string, TaskRun[]>();
  for (const run of taskRuns(events)) {
    const runs = byGang.get(run.event.gangId) ?? [];
    byGang.set(run.event.gangId, [...runs, run]);
  }
  let longest = 0;
  for (const [gangId, runs] of byGang) {
    const size = gangSizes.get(gangId) ?? runs.length;
    const starts = runs.map((run) => run.event.at);
    const ends = runs.map((run) => run.endedAt);
    const whole = runs.length === size;
    const startSkew = whole
      ? Math.max(...starts) - Math.min(...starts)
      : Math.max(...ends) - Math.min(...starts);
    longest = Math.max(longest, startSkew);
  }
  return longest;
}
