/**
 * Outcomes of keyed requests, retained for `claimRetentionMs` so that
 * duplicates and later queries get the outcome of the original request. The
 * number of entries and the total size of the retained answers are bounded.
 */

import {after} from '../model/ids.js';
import type {Instant, RequestId} from '../model/ids.js';
import type {Outcome} from '../model/requests.js';
import {unknown} from './exchange.js';

/** An entry takes about 400 bytes without its answer. */
const MAXIMUM_ENTRIES = 50_000;

/** Total length of the retained answers; a daemon has 256 MB of memory. */
const MAXIMUM_ANSWER_CHARACTERS = 33_554_432;

interface OutcomeEntry {
  /** Undefined while the request is in progress. */
  outcome: Outcome | undefined;
  expiresAt: Instant;
}

export class RequestOutcomes {
  /** In order of the start of the requests. */
  private readonly entries = new Map<RequestId, OutcomeEntry>();
  /** Lengths in characters of the retained answers, oldest first. */
  private readonly answerSizes = new Map<RequestId, number>();
  private answerCharacters = 0;

  constructor(
    private readonly retentionMs: number,
    private readonly maximumEntries = MAXIMUM_ENTRIES,
    private readonly maximumAnswerCharacters = MAXIMUM_ANSWER_CHARACTERS,
  ) {}

  get size(): number {
    return this.entries.size;
  }

  start(requestId: RequestId, now: Instant): void {
    this.evictOldestIfFull();
    this.entries.set(requestId, {
      outcome: undefined,
      expiresAt: after(now, this.retentionMs),
    });
  }

  settle(outcome: Outcome, now: Instant): void {
    const entry = this.entries.get(outcome.requestId);
    if (!entry) return;
    entry.outcome = outcome;
    entry.expiresAt = after(now, this.retentionMs);
    if (outcome.outcome !== 'answered') return;
    this.answerSizes.set(outcome.requestId, outcome.answer.length);
    this.answerCharacters += outcome.answer.length;
    this.evictOldAnswers();
  }

  /**
   * The outcome, or `unknown` with `in-progress` until the request is settled.
   * Undefined if the request is unknown or no longer retained.
   */
  find(requestId: RequestId): Outcome | undefined {
    const entry = this.entries.get(requestId);
    if (!entry) return undefined;
    return (
      entry.outcome ??
      unknown(requestId, 'in-progress', 'the request is in progress')
    );
  }

  removeExpired(now: Instant): void {
    for (const [requestId, entry] of this.entries) {
      if (entry.outcome && now >= entry.expiresAt) this.remove(requestId);
    }
  }

  /** Evicts the oldest settled entry if the maximum number is reached. */
  private evictOldestIfFull(): void {
    if (this.entries.size < this.maximumEntries) return;
    for (const [requestId, entry] of this.entries) {
      if (!entry.outcome) continue;
      this.remove(requestId);
      return;
    }
  }

  private evictOldAnswers(): void {
    for (const requestId of this.answerSizes.keys()) {
      if (this.answerCharacters <= this.maximumAnswerCharacters) return;
      const entry = this.entries.get(requestId);
      this.dropAnswer(requestId);
      if (entry) {
        entry.outcome = unknown(
          requestId,
          'duplicate',
          'the request was answered; its answer is no longer held',
        );
      }
    }
  }

  private remove(requestId: RequestId): void {
    this.dropAnswer(requestId);
    this.entries.delete(requestId);
  }

  private dropAnswer(requestId: RequestId): void {
    this.answerCharacters -= this.answerSizes.get(requestId) ?? 0;
    this.answerSizes.delete(requestId);
  }
}
