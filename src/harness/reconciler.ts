/**
 * Checks the outcomes that callers received for their requests against the
 * minions' run logs. Reports of the daemons are not used, because the daemons
 * are under test.
 */

import type {RequestId} from '../model/ids.js';
import type {RunEvent} from '../standins/run_log.js';
import {isCorrectAnswer} from './caller.js';
import type {RequestRecord} from './caller.js';

/** Number of requests of one site by outcome, and the violations found. */
export interface Reconciliation {
  readonly answered: number;
  readonly notRun: number;
  readonly unknown: number;
  /** Requests whose call failed before a valid answer arrived. */
  readonly unanswered: number;
  /** One message per violation; empty if there is none. */
  readonly violations: readonly string[];
}

/** Returns true if requests of the customer's class may run more than once. */
export type RepeatableCheck = (
  customerId: string,
  workClassId: string,
) => boolean;

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
  const runCount = runs.get(requestId) ?? 0;
  if (outcome.outcome === 'notRun' && runCount > 0) {
    return [
      `request ${requestId} was reported as not run, but ran ${runCount} times`,
    ];
  }
  if (outcome.outcome === 'answered' && !isCorrectAnswer(record)) {
    return [`request ${requestId} got an incorrect answer`];
  }
  return [];
}

/** Returns a message per request of an at-most-once class that ran twice. */
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

/**
 * Returns a message per key of an at-most-once class under which several
 * requests ran.
 */
function findRepeatedKeys(
  records: readonly RequestRecord[],
  runs: ReadonlyMap<RequestId, number>,
  isRepeatable: RepeatableCheck,
): string[] {
  const requestIdsByKey = new Map<string, Set<RequestId>>();
  for (const {customerId, workClassId, key, outcome} of records) {
    if (key === undefined || isRepeatable(customerId, workClassId)) continue;
    if (outcome === undefined || !runs.has(outcome.requestId)) continue;
    const name = `${customerId} ${key}`;
    requestIdsByKey.set(
      name,
      (requestIdsByKey.get(name) ?? new Set()).add(outcome.requestId),
    );
  }
  return [...requestIdsByKey]
    .filter(([, requestIds]) => requestIds.size > 1)
    .map(([name, ids]) => `key ${name} ran under ${ids.size} request ids`);
}
