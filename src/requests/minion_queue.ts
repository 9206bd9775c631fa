/**
 * The home daemon's queue for one minion. It sends at most as many concurrent
 * requests as the minion has slots, refuses requests early that cannot be run
 * before their deadline, and is fair between customers.
 */

import PQueue from 'p-queue';
import type {Clock} from '../lifecycle/clock.js';
import type {CustomerId, Instant} from '../model/ids.js';
import type {NotRun, Outcome, ServiceRequest} from '../model/requests.js';
import type {MinionClient, MinionResult} from '../interfaces/minion_client.js';
import type {MinionVm} from '../interfaces/vm_list.js';
import {notRun, unknown} from './exchange.js';
import {FairQueue} from './fair_queue.js';
import type {FairQueueOptions} from './fair_queue.js';

/** More waiting requests would wait for over four service times. */
const MAXIMUM_WAITING_PER_SLOT = 4;

/** Weight of the newest sample in the moving average of service times. */
const SERVICE_TIME_WEIGHT = 0.2;

/** Suggested retry delay while no service time has been measured. */
const DEFAULT_RETRY_MS = 100;

/** Number of waiting and running requests at which a minion is full. */
export function queueLimit(minion: MinionVm): number {
  return minion.slots * (1 + MAXIMUM_WAITING_PER_SLOT);
}

interface WaitingRequest {
  readonly request: ServiceRequest;
  /** By this daemon's clock. */
  readonly deadline: Instant;
  /** Aborted to remove the request from the queue. */
  readonly removal: AbortController;
  readonly answer: (outcome: Outcome) => void;
}

/** Whether a request is refused, or which waiting one makes room for it. */
interface Admission {
  readonly refusal?: NotRun;
  readonly evicted?: WaitingRequest;
}

export interface QueuePreview {
  readonly refusal: NotRun | undefined;
  /** Customer whose newest waiting request would be refused instead. */
  readonly displaced: CustomerId | undefined;
  /** Waiting requests that would be sent first. */
  readonly ahead: number;
  /** 0 if a slot is free or no service time has been measured. */
  readonly expectedWaitMs: number;
}

export class MinionQueue {
  private readonly queue: PQueue<FairQueue, FairQueueOptions>;
  /** Requests that were not sent to the minion yet, oldest first. */
  private readonly waiting = new Set<WaitingRequest>();
  private running = 0;
  private meanServiceMs: number | undefined;
  private closeReason: Pick<NotRun, 'reason' | 'message'> | undefined;

  constructor(
    private currentMinion: MinionVm,
    private readonly client: MinionClient,
    private readonly clock: Clock,
  ) {
    this.queue = new PQueue<FairQueue, FairQueueOptions>({
      concurrency: currentMinion.slots,
      queueClass: FairQueue,
    });
  }

  get minion(): MinionVm {
    return this.currentMinion;
  }

  /** Number of waiting and running requests. */
  get length(): number {
    return this.waiting.size + this.running;
  }

  /** True if a request was not sent to the minion yet. */
  get hasWaiting(): boolean {
    return this.waiting.size > 0;
  }

  get closed(): boolean {
    return this.closeReason !== undefined;
  }

  /** Applies a new number of slots or other change from the VM list. */
  update(minion: MinionVm): void {
    if (minion === this.currentMinion) return;
    this.currentMinion = minion;
    this.queue.concurrency = minion.slots;
  }

  /**
   * Queues the request and returns its outcome. `notRun` means that it was not
   * sent or that the minion reported so. Aborting `signal` removes a waiting
   * request and has no effect on one that was sent to the minion.
   */
  run(
    request: ServiceRequest,
    deadline: Instant,
    signal?: AbortSignal,
  ): Promise<Outcome> {
    const admission = this.admission(request, deadline, signal);
    if (admission.refusal) return Promise.resolve(admission.refusal);
    if (admission.evicted) this.evict(admission.evicted);
    return new Promise((resolve) => {
      const removal = new AbortController();
      const entry: WaitingRequest = {
        request,
        deadline,
        removal,
        answer: (outcome) => {
          signal?.removeEventListener('abort', cancel);
          resolve(outcome);
        },
      };
      const cancel = () => this.remove(entry, cancelled(request));
      signal?.addEventListener('abort', cancel);
      this.enqueue(entry);
    });
  }

  /** What `run` would do with the request now; changes nothing. */
  preview(request: ServiceRequest, deadline: Instant): QueuePreview {
    const {refusal, evicted} = this.admission(request, deadline, undefined);
    return {
      refusal,
      displaced: evicted?.request.customerId,
      ahead: this.waitingAhead(request.customerId),
      expectedWaitMs: this.predictedWaitMs(request.customerId),
    };
  }

  /** Refuses waiting requests whose deadline is not after `now`. */
  expire(now: Instant): void {
    for (const entry of this.waiting) {
      if (now >= entry.deadline) this.remove(entry, deadlinePassed(entry));
    }
  }

  /**
   * Refuses waiting and later requests with `reason`. Requests that were sent
   * to the minion continue.
   */
  close(reason: NotRun['reason'], message: string): void {
    this.closeReason = {reason, message};
    for (const entry of this.waiting) {
      this.remove(entry, notRun(entry.request.requestId, reason, message));
    }
  }

  /** Resolves when no request waits or runs. */
  async idle(): Promise<void> {
    await this.queue.onIdle();
  }

  private enqueue(entry: WaitingRequest): void {
    this.waiting.add(entry);
    this.queue
      .add(() => this.sendToMinion(entry), {
        customerId: entry.request.customerId,
        signal: entry.removal.signal,
      })
      // Only `remove` makes this reject, and it settles the request itself.
      .catch(() => undefined);
  }

  private remove(entry: WaitingRequest, outcome: NotRun): void {
    if (!this.waiting.delete(entry)) return;
    entry.removal.abort();
    entry.answer(outcome);
  }

  private async sendToMinion(entry: WaitingRequest): Promise<void> {
    if (!this.waiting.delete(entry)) return;
    const startedAt = this.clock.now();
    const remainingMs = entry.deadline - startedAt;
    if (remainingMs <= 0) {
      entry.answer(deadlinePassed(entry));
      return;
    }
    this.running += 1;
    const result = await this.runOnMinion(entry.request, remainingMs);
    this.running -= 1;
    this.recordServiceTime(result, this.clock.now() - startedAt);
    entry.answer(toOutcome(entry.request, result));
    if (result.kind !== 'unknown' && result.leaving) {
      this.close('minion-refused', 'the minion is leaving');
    }
  }

  private async runOnMinion(
    request: ServiceRequest,
    timeoutMs: number,
  ): Promise<MinionResult> {
    try {
      return await this.client.run(this.currentMinion, request, timeoutMs);
    } catch (error) {
      // The client may have sent the request before it failed.
      const detail = error instanceof Error ? error.message : String(error);
      return {kind: 'unknown', reason: 'connection-lost', message: detail};
    }
  }

  private recordServiceTime(result: MinionResult, elapsedMs: number): void {
    // The duration of a refused request is no typical service time.
    if (result.kind === 'notRun') return;
    const mean = this.meanServiceMs ?? elapsedMs;
    this.meanServiceMs = mean + (elapsedMs - mean) * SERVICE_TIME_WEIGHT;
  }

  private admission(
    request: ServiceRequest,
    deadline: Instant,
    signal: AbortSignal | undefined,
  ): Admission {
    const {requestId, customerId} = request;
    if (signal?.aborted) return {refusal: cancelled(request)};
    if (this.closeReason) {
      const {reason, message} = this.closeReason;
      return {refusal: notRun(requestId, reason, message)};
    }
    const remainingMs = deadline - this.clock.now();
    if (remainingMs <= 0) return {refusal: deadlinePassed({request})};
    const waitMs = this.predictedWaitMs(customerId);
    if (waitMs > 0 && waitMs + (this.meanServiceMs ?? 0) > remainingMs) {
      const message = 'the queue is too long for the deadline';
      return {refusal: this.overloaded(request, message)};
    }
    const maximumWaiting = this.currentMinion.slots * MAXIMUM_WAITING_PER_SLOT;
    if (this.waiting.size < maximumWaiting) return {};
    const evicted = this.requestToEvictFor(customerId);
    if (evicted) return {evicted};
    const message = 'the queue of the minion is full';
    return {refusal: this.overloaded(request, message)};
  }

  private overloaded(request: ServiceRequest, message: string): NotRun {
    return notRun(
      request.requestId,
      'overloaded',
      message,
      this.drainTimeMs() ?? DEFAULT_RETRY_MS,
    );
  }

  /** Estimated time until all waiting requests were sent to the minion. */
  private drainTimeMs(): number | undefined {
    if (this.meanServiceMs === undefined) return undefined;
    const rounds = (this.waiting.size + 1) / this.currentMinion.slots;
    return rounds * this.meanServiceMs;
  }

  /**
   * Expected wait of the customer's next request; 0 if a slot is free or no
   * service time has been measured.
   */
  private predictedWaitMs(customerId: CustomerId): number {
    const slots = this.currentMinion.slots;
    if (this.length < slots || this.meanServiceMs === undefined) return 0;
    const ahead = this.waitingAhead(customerId);
    return ((ahead + 1) / slots) * this.meanServiceMs;
  }

  /** Waiting requests that are sent before the customer's next one. */
  private waitingAhead(customerId: CustomerId): number {
    const counts = this.waitingPerCustomer();
    const own = counts.get(customerId) ?? 0;
    counts.delete(customerId);
    // Round robin sends at most own + 1 requests of each other customer first.
    let ahead = own;
    for (const count of counts.values()) ahead += Math.min(count, own + 1);
    return ahead;
  }

  /**
   * The newest request of the customer with the most waiting requests, so that
   * one customer cannot occupy the whole queue. Undefined if that customer has
   * at most one more than `customerId`.
   */
  private requestToEvictFor(
    customerId: CustomerId,
  ): WaitingRequest | undefined {
    const counts = this.waitingPerCustomer();
    const own = counts.get(customerId) ?? 0;
    const [largest, most] = [...counts].reduce((a, b) => (b[1] > a[1] ? b : a));
    if (most <= own + 1) return undefined;
    return [...this.waiting]
      .filter((entry) => entry.request.customerId === largest)
      .at(-1);
  }

  private evict(entry: WaitingRequest): void {
    this.remove(
      entry,
      this.overloaded(entry.request, 'other customers need the queue'),
    );
  }

  private waitingPerCustomer(): Map<CustomerId, number> {
    const counts = new Map<CustomerId, number>();
    for (const {request} of this.waiting) {
      counts.set(request.customerId, (counts.get(request.customerId) ?? 0) + 1);
    }
    return counts;
  }
}

function cancelled(request: ServiceRequest): NotRun {
  return notRun(request.requestId, 'cancelled', 'the caller disconnected');
}

function deadlinePassed(entry: Pick<WaitingRequest, 'request'>): NotRun {
  return notRun(
    entry.request.requestId,
    'deadline-passed',
    'the deadline passed in the queue of the minion',
  );
}

function toOutcome(request: ServiceRequest, result: MinionResult): Outcome {
  const {requestId} = request;
  switch (result.kind) {
    case 'answered':
      return {outcome: 'answered', requestId, answer: result.answer};
    case 'notRun':
      return notRun(requestId, `minion-${result.reason}`, result.message);
    case 'unknown':
      return unknown(requestId, result.reason, result.message);
  }
}
