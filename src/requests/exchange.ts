/**
 * The state of one service request in the filter chain of its entry daemon,
 * and the base class of the filters; see `docs/design.md`, sections 3.5 and
 * 3.6.
 */

import type {Clock} from '../lifecycle/clock.js';
import type {CustomerId, Instant, RequestId, VmId} from '../model/ids.js';
import type {
  NotRun,
  NotRunReason,
  Outcome,
  RequestSubmission,
  ServiceRequest,
  Unknown,
  UnknownReason,
} from '../model/requests.js';
import type {MinionCandidate} from './directory.js';

/** A request in its entry daemon, from submission to outcome. */
export class Exchange {
  /** Set by the check filter. */
  private acceptedRequest: ServiceRequest | undefined;
  /** Set by the route filter for each attempt. */
  private chosenTarget: MinionCandidate | undefined;
  /** Number of dispatches started; each message carries its number. */
  private attemptCount = 0;
  /** Minions that attempts of this request were sent to. */
  readonly triedMinions = new Set<VmId>();

  constructor(
    readonly requestId: RequestId,
    readonly submission: RequestSubmission,
    readonly receivedAt: Instant,
    readonly clock: Clock,
    /** Aborted when the caller disconnects. */
    readonly signal: AbortSignal = new AbortController().signal,
  ) {}

  get customerId(): CustomerId {
    return this.submission.customerId;
  }

  get request(): ServiceRequest {
    if (!this.acceptedRequest) throw new Error('request is not accepted yet');
    return this.acceptedRequest;
  }

  accept(request: ServiceRequest): void {
    this.acceptedRequest = request;
  }

  get target(): MinionCandidate {
    if (!this.chosenTarget) throw new Error('request is not routed yet');
    return this.chosenTarget;
  }

  route(target: MinionCandidate): void {
    this.chosenTarget = target;
  }

  /** Number of dispatches started so far. */
  get attempts(): number {
    return this.attemptCount;
  }

  /** Returns the number of the attempt that starts now, from 1. */
  startAttempt(): number {
    this.attemptCount += 1;
    this.triedMinions.add(this.target.minion.vmId);
    return this.attemptCount;
  }

  now(): Instant {
    return this.clock.now();
  }

  remainingMs(): number {
    return this.request.deadline - this.now();
  }

  /**
   * Returns a `notRun` outcome if the caller has disconnected or the deadline
   * has passed. The outcome is untrue, and must not be returned, once an
   * attempt of the request may have run.
   */
  reasonToStop(): NotRun | undefined {
    if (this.signal.aborted) {
      return notRun(this.requestId, 'cancelled', 'the caller disconnected');
    }
    if (this.remainingMs() <= 0) {
      return notRun(
        this.requestId,
        'deadline-passed',
        'the deadline passed before the request was handed over',
      );
    }
    return undefined;
  }
}

/** Runs the rest of the chain. */
export type Next = () => Promise<Outcome>;

/** One step of the chain. It returns an outcome itself or calls `next`. */
export abstract class RequestFilter {
  abstract handle(exchange: Exchange, next: Next): Promise<Outcome>;
}

/** Runs the filters in order; the last one must not call `next`. */
export async function runFilters(
  filters: readonly RequestFilter[],
  exchange: Exchange,
): Promise<Outcome> {
  const [first, ...rest] = filters;
  if (!first) throw new Error('the last filter of the chain called next');
  return first.handle(exchange, () => runFilters(rest, exchange));
}

export function notRun(
  requestId: RequestId,
  reason: NotRunReason,
  message: string,
  retryAfterMs?: number,
): NotRun {
  const outcome = {outcome: 'notRun', requestId, reason, message} as const;
  if (retryAfterMs === undefined) return outcome;
  return {...outcome, retryAfterMs: Math.max(0, Math.ceil(retryAfterMs))};
}

export function unknown(
  requestId: RequestId,
  reason: UnknownReason,
  message: string,
): Unknown {
  return {outcome: 'unknown', requestId, reason, message};
}
