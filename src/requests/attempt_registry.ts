/**
 * Deduplicates dispatches in the home daemon, so that a delayed or duplicated
 * message never sends a request to its minion a second time.
 */

import {after} from '../model/ids.js';
import type {Instant, RequestId} from '../model/ids.js';
import type {Outcome, ServiceRequest} from '../model/requests.js';
import {notRun, unknown} from './exchange.js';

/**
 * Largest clock difference between two daemons that is tolerated. A dispatch
 * that arrives later than this after its deadline counts as delayed.
 */
export const MAXIMUM_CLOCK_SKEW_MS = 500;

/**
 * Attempts are retained for this time after their deadline, so that the
 * outcome of a duplicate message never contradicts that of the first one.
 */
const RETENTION_AFTER_DEADLINE_MS = 60_000;

/** Bounds memory use; an attempt takes about 200 bytes. */
const MAXIMUM_ATTEMPTS = 100_000;

interface KnownAttempt {
  readonly attempt: number;
  readonly expiresAt: Instant;
  outcome: Promise<Outcome>;
  settledNotRun: boolean;
}

export class AttemptRegistry {
  private readonly attempts = new Map<RequestId, KnownAttempt>();
  /** Until this time, requests that are not repeatable are refused. */
  private refusingUntil: Instant | undefined;

  constructor(private readonly maximumAttempts = MAXIMUM_ATTEMPTS) {}

  get size(): number {
    return this.attempts.size;
  }

  /**
   * Calls `run` at most once for each recorded attempt. A duplicate gets the
   * outcome of that call, or `unknown` once it was answered. An attempt older
   * than the recorded one, or a further attempt of a non-repeatable request
   * that may have run, gets `unknown`. While the registry is full, repeatable
   * requests run unrecorded and others are refused.
   */
  runOnce(
    request: ServiceRequest,
    attempt: number,
    now: Instant,
    run: () => Promise<Outcome>,
  ): Promise<Outcome> {
    const known = this.attempts.get(request.requestId);
    if (known?.attempt === attempt) return known.outcome;
    if (known && !mayRunAgain(request, known, attempt)) {
      return Promise.resolve(duplicateOutcome(request.requestId));
    }
    if (!known && this.isFull(now)) {
      if (request.repeatable) return run();
      return Promise.resolve(this.refuse(request));
    }
    return this.record(request, attempt, now, run);
  }

  removeExpired(now: Instant): void {
    for (const [requestId, known] of this.attempts) {
      if (now >= known.expiresAt) this.attempts.delete(requestId);
    }
  }

  private async record(
    request: ServiceRequest,
    attempt: number,
    now: Instant,
    run: () => Promise<Outcome>,
  ): Promise<Outcome> {
    const lastUse = Math.max(now, request.deadline) as Instant;
    const known: KnownAttempt = {
      attempt,
      expiresAt: after(
        lastUse,
        MAXIMUM_CLOCK_SKEW_MS + RETENTION_AFTER_DEADLINE_MS,
      ),
      outcome: Promise.resolve(duplicateOutcome(request.requestId)),
      settledNotRun: false,
    };
    this.attempts.set(request.requestId, known);
    known.outcome = run();
    const outcome = await known.outcome;
    known.settledNotRun = outcome.outcome === 'notRun';
    // Answers can be large and are rarely requested again after completion.
    if (outcome.outcome === 'answered') {
      known.outcome = Promise.resolve(duplicateOutcome(request.requestId));
    }
    return outcome;
  }

  private isFull(now: Instant): boolean {
    if (this.refusingUntil !== undefined && now < this.refusingUntil) {
      return true;
    }
    return this.attempts.size >= this.maximumAttempts;
  }

  /**
   * A refused request is not recorded, so a duplicate of its message must be
   * refused too. New non-repeatable requests are therefore refused until such
   * a duplicate would arrive after its deadline.
   */
  private refuse(request: ServiceRequest): Outcome {
    const lateAt = request.deadline + MAXIMUM_CLOCK_SKEW_MS;
    this.refusingUntil = Math.max(this.refusingUntil ?? 0, lateAt) as Instant;
    return notRun(
      request.requestId,
      'overloaded',
      'the daemon keeps track of as many requests as it may',
    );
  }
}

function mayRunAgain(
  request: ServiceRequest,
  known: KnownAttempt,
  attempt: number,
): boolean {
  if (attempt < known.attempt) return false;
  return request.repeatable || known.settledNotRun;
}

function duplicateOutcome(requestId: RequestId): Outcome {
  return unknown(
    requestId,
    'duplicate',
    'this dispatch was received before and may have been handed over',
  );
}
