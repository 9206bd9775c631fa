/**
 * One service request on its way through the filter chain of the entry
 * daemon, and the base class of the filters; see `docs/design.md`, sections
 * 3.5 and 3.6.
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

/** The state of one request in its entry daemon. */
export class Exchange {
  /** Set by the check filter. */
  private acceptedRequest: ServiceRequest | undefined;
  /** Set by the route filter, anew for each attempt. */
  private chosenTarget: MinionCandidate | undefined;
  /** Dispatches that were started; numbers the dispatch messages. */
  private attemptCount = 0;
  /** Minions that earlier attempts of this request were sent to. */
  readonly triedMinions = new Set<VmId>();

  constructor(
    readonly requestId: RequestId,
    readonly submission: RequestSubmission,
    readonly receivedAt: Instant,
    readonly clock: Clock,
    /** Aborted when the caller no longer waits for the answer. */
    readonly signal: AbortSignal = new AbortController().signal,
  ) {}

  get customerId(): CustomerId {
    return this.submission.customerId;
  }

  get request(): ServiceRequest {
    if (!this.acceptedRequest) throw new Error('the request is not checked');
    return this.acceptedRequest;
  }

  accept(request: ServiceRequest): void {
    this.acceptedRequest = request;
  }

  get target(): MinionCandidate {
    if (!this.chosenTarget) throw new Error('the request is not routed');
    return this.chosenTarget;
  }

  route(target: MinionCandidate): void {
    this.chosenTarget = target;
  }

  /** Dispatches that were started so far. */
  get attempts(): number {
    return this.attemptCount;
  }

  /** Number of the attempt that starts now, from 1. */
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
   * Returns why the request must not be handed over any more: its caller is
   * gone or its deadline has passed. For use before a hand-over only.
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

/** The rest of the chain. */
export type Next = () => Promise<Outcome>;

/** One step of the chain; it answers itself or calls `next`. */
export abstract class RequestFilter {
  abstract handle(exchange: Exchange, next: Next): Promise<Outcome>;
}

/** Runs the filters in order; the last one has to answer. */
export async function runFilters(
  filters: readonly RequestFilter[],
  exchange: Exchange,
): Promise<Outcome> {
  const [first, ...rest] = filters;
  if (!first) throw new Error('the last filter called next');
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
