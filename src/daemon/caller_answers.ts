/**
 * Responses of the HTTP interface for callers: status codes, remedies and JSON
 * bodies. They are documented in `docs/api.md`.
 */

import type {ServerResponse} from 'node:http';
import type {ErrorKind, ErrorReport, SystemError} from '../model/errors.js';
import type {NotRunReason, Outcome, UnknownReason} from '../model/requests.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Body of an error response. */
export interface ErrorAnswer {
  readonly error: ErrorReport;
}

/** An outcome with the remedy for the caller, unless it is `answered`. */
export type OutcomeAnswer = Outcome & {readonly remedy?: string};

export function statusOfOutcome(outcome: Outcome): number {
  if (outcome.outcome === 'answered') return 200;
  if (outcome.outcome === 'unknown') return 504;
  switch (outcome.reason) {
    case 'invalid':
      return 400;
    case 'key-reused':
      return 409;
    case 'customer-limit':
      return 429;
    default:
      return 503;
  }
}

export function statusOfError(kind: ErrorKind): number {
  switch (kind) {
    case 'invalid-input':
      return 400;
    case 'not-found':
      return 404;
    case 'conflict':
    case 'refused':
      return 409;
    case 'unavailable':
      return 503;
    case 'timeout':
    case 'unknown-effect':
    case 'protocol':
      return 504;
  }
}

export function withRemedy(outcome: Outcome): OutcomeAnswer {
  switch (outcome.outcome) {
    case 'answered':
      return outcome;
    case 'notRun':
      return {...outcome, remedy: NOT_RUN_REMEDIES[outcome.reason]};
    case 'unknown':
      return {...outcome, remedy: UNKNOWN_REMEDIES[outcome.reason]};
  }
}

export function sendOutcome(
  response: ServerResponse,
  status: number,
  outcome: Outcome,
): void {
  if (outcome.outcome === 'notRun' && outcome.retryAfterMs !== undefined) {
    setRetryAfter(response, outcome.retryAfterMs);
  }
  sendJson(response, status, withRemedy(outcome));
}

export function sendError(
  response: ServerResponse,
  error: SystemError,
  status = statusOfError(error.kind),
): void {
  const answer: ErrorAnswer = {error: error.report()};
  sendJson(response, status, answer);
}

export function setRetryAfter(
  response: ServerResponse,
  milliseconds: number,
): void {
  const seconds = Math.max(
    1,
    Math.ceil(milliseconds / MILLISECONDS_PER_SECOND),
  );
  response.setHeader('Retry-After', String(seconds));
}

export function sendJson<T extends object>(
  response: ServerResponse,
  status: number,
  body: T,
): void {
  if (response.headersSent || response.destroyed) return;
  const text = JSON.stringify(body);
  response.statusCode = status;
  response.setHeader('Content-Type', 'application/json; charset=utf-8');
  response.setHeader('Content-Length', Buffer.byteLength(text));
  response.end(text);
}

const NOT_RUN_REMEDIES: Record<NotRunReason, string> = {
  invalid: 'correct the request and send it again',
  'customer-limit': 'wait for the time in Retry-After and send it again',
  overloaded: 'wait for the time in Retry-After and send it again',
  'deadline-passed': 'send it again with more time, or later',
  'no-minion': 'send it again later; tell the operator if it persists',
  'minion-refused': 'send it again',
  'minion-unreachable': 'send it again',
  'store-unavailable': 'send it again later with the same key',
  'claims-full': 'wait for the time in Retry-After and send it again',
  'key-reused': 'use a new key for a new request',
  'shutting-down': 'send it again; another entry VM takes it',
  cancelled: 'send it again if it is still needed',
};

const UNKNOWN_REMEDIES: Record<UnknownReason, string> = {
  'no-answer-in-time': 'send it again with the same key to learn more',
  'connection-lost': 'send it again with the same key to learn more',
  'malformed-answer': 'send it again with the same key to learn more',
  'peer-lost': 'send it again with the same key to learn more',
  duplicate: 'find out at the service itself whether the request took effect',
  'in-progress': 'send it again with the same key a little later',
  'internal-error': 'tell the operator the request id',
};
