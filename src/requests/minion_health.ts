/**
 * One entry daemon's view of the health of minions, from the outcomes of its
 * recent attempts. A minion that failed is on probation: it gets a small share
 * of the traffic until it answers or the probation ends.
 */

import {after} from '../model/ids.js';
import type {Instant, VmId} from '../model/ids.js';
import type {Outcome} from '../model/requests.js';

/** Each further failure without a success in between doubles the probation. */
const FIRST_PROBATION_MS = 1_000;
const LONGEST_PROBATION_MS = 30_000;

/** Probability that a minion on probation is considered for an attempt. */
export const PROBATION_SHARE = 0.05;

/**
 * Time without traffic after a refusal. It only has to last until the VM list
 * shows that the minion is leaving.
 */
const REFUSAL_PAUSE_MS = 1_000;

/**
 * A time-out after less than this is no evidence of a failure: a caller with
 * short deadlines must not put minions on probation for other callers.
 */
const MINIMUM_CONCLUSIVE_ATTEMPT_MS = 500;

const MAXIMUM_MINIONS = 10_000;

interface MinionRecord {
  failures: number;
  probationUntil: Instant;
  pausedUntil: Instant;
}

export type MinionHealthStatus = 'good' | 'probation' | 'paused';

export class MinionHealth {
  /** Minions without a recent failure or refusal are absent. */
  private readonly records = new Map<VmId, MinionRecord>();

  status(minionId: VmId, now: Instant): MinionHealthStatus {
    const record = this.records.get(minionId);
    if (!record) return 'good';
    if (now < record.pausedUntil) return 'paused';
    return now < record.probationUntil ? 'probation' : 'good';
  }

  /** Records the outcome of an attempt that took `elapsedMs`. */
  record(
    minionId: VmId,
    outcome: Outcome,
    elapsedMs: number,
    now: Instant,
  ): void {
    switch (classifyOutcome(outcome, elapsedMs)) {
      case 'success':
        this.records.delete(minionId);
        return;
      case 'failure':
        this.recordFailure(minionId, now);
        return;
      case 'refusal':
        this.getOrCreateRecord(minionId).pausedUntil = after(
          now,
          REFUSAL_PAUSE_MS,
        );
        return;
      case 'none':
    }
  }

  private recordFailure(minionId: VmId, now: Instant): void {
    const record = this.getOrCreateRecord(minionId);
    const length = Math.min(
      LONGEST_PROBATION_MS,
      FIRST_PROBATION_MS * 2 ** record.failures,
    );
    record.failures += 1;
    record.probationUntil = after(now, length);
  }

  private getOrCreateRecord(minionId: VmId): MinionRecord {
    let record = this.records.get(minionId);
    if (!record) {
      if (this.records.size >= MAXIMUM_MINIONS) this.records.clear();
      const never = 0 as Instant;
      record = {failures: 0, probationUntil: never, pausedUntil: never};
      this.records.set(minionId, record);
    }
    return record;
  }
}

function classifyOutcome(
  outcome: Outcome,
  elapsedMs: number,
): 'success' | 'failure' | 'refusal' | 'none' {
  if (outcome.outcome === 'answered') return 'success';
  switch (outcome.reason) {
    case 'minion-unreachable':
    case 'connection-lost':
    case 'malformed-answer':
    case 'peer-lost':
      return 'failure';
    case 'no-answer-in-time':
      return elapsedMs >= MINIMUM_CONCLUSIVE_ATTEMPT_MS ? 'failure' : 'none';
    case 'minion-refused':
    case 'shutting-down':
      return 'refusal';
    default:
      return 'none';
  }
}
