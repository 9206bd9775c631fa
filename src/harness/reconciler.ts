/**
 * Compares what callers were told of requests with what the minions ran. The stand-ins'
 * run logs are the truth; what a daemon says counts for nothing here.
 */

import type {RequestId} from '../model/ids.js';
import type {RunEvent} from '../standins/run_log.js';
import {isCorrectAnswer} from './caller.js';
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
  if (outcome.outcome === 'answered' && !isCorrectAnswer(record)) {
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
