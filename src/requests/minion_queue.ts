/**
 * The home daemon's queue for one minion. It hands over at most as many
 * requests at once as the minion has slots, refuses early what cannot be run
 * in time, and is fair between customers.
 */

import PQueue from 'p-queue';
import type {Clock} from '../lifecycle/clock.js';
import type {CustomerId, Instant} from '../model/ids.js';
import type {NotRun, Outcome, ServiceRequest} from '../model/requests.js';
import type {MinionClient, MinionResult} from '../parties/minion_client.js';
import type {MinionVm} from '../parties/vm_list.js';
import {notRun, unknown} from './exchange.js';
import {FairQueue} from './fair_queue.js';
import type {FairQueueOptions} from './fair_queue.js';

/** Waiting requests per slot; more would wait for over four service times. */
const MAXIMUM_WAITING_PER_SLOT = 4;

/** Weight of the newest service time in the running mean. */
const SERVICE_TIME_WEIGHT = 0.2;

/** Suggested wait while no service time has been measured. */
const DEFAULT_RETRY_MS = 100;

/** Requests waiting or running at which a minion takes no more. */
export function queueLimit(minion: MinionVm): number {
  return minion.slots * (1 + MAXIMUM_WAITING_PER_SLOT);
}

interface WaitingRequest {
  readonly request: ServiceRequest;
  /** By this daemon's clock. */
  readonly deadline: Instant;
  /** Aborted to take the request out of the waiting list. */
  readonly removal: AbortController;
  readonly answer: (outcome: Outcome) => void;
}

export class MinionQueue {
  private readonly queue: PQueue<FairQueue, FairQueueOptions>;
  /** Requests that were not handed over yet, oldest first. */
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

  /** Requests waiting or running. */
  get length(): number {
    return this.waiting.size + this.running;
  }

  /** True if a request was not handed over yet. */
  get hasWaiting(): boolean {
    return this.waiting.size > 0;
  }

  get closed(): boolean {
    return this.closeReason !== undefined;
  }

  /** Takes over a new address or number of slots from the VM list. */
  update(minion: MinionVm): void {
    if (minion === this.currentMinion) return;
    this.currentMinion = minion;
    this.queue.concurrency = minion.slots;
  }

  /**
   * Runs the request in its turn. `notRun` means that it was not handed over
   * or that the minion said so. Aborting `signal` takes a waiting request out
   * and has no effect on one that was handed over.
   */
  run(
    request: ServiceRequest,
    deadline: Instant,
    signal?: AbortSignal,
  ): Promise<Outcome> {
    const refusal = this.refusal(request, deadline, signal);
    if (refusal) return Promise.resolve(refusal);
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

  /** Refuses waiting requests whose deadline has passed. */
  expire(now: Instant): void {
    for (const entry of this.waiting) {
      if (now >= entry.deadline) this.remove(entry, deadlinePassed(entry));
    }
  }

  /**
   * Refuses what waits and what arrives later with `reason`. Requests that
   * were handed over run on.
   */
  close(reason: NotRun['reason'], message: string): void {
    this.closeReason = {reason, message};
    for (const entry of this.waiting) {
      this.remove(entry, notRun(entry.request.requestId, reason, message));
    }
  }

  /** Resolves when everything that was handed over has ended. */
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
      // Rejected only by `remove`, which has answered the request.
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
    // A refused request occupied its slot for no typical time.
    if (result.kind === 'notRun') return;
    const mean = this.meanServiceMs ?? elapsedMs;
    this.meanServiceMs = mean + (elapsedMs - mean) * SERVICE_TIME_WEIGHT;
  }

  private refusal(
    request: ServiceRequest,
    deadline: Instant,
    signal: AbortSignal | undefined,
  ): NotRun | undefined {
    const {requestId, customerId} = request;
    if (signal?.aborted) return cancelled(request);
    if (this.closeReason) {
      return notRun(
        requestId,
        this.closeReason.reason,
        this.closeReason.message,
      );
    }
    const remainingMs = deadline - this.clock.now();
    if (remainingMs <= 0) return deadlinePassed({request});
    const waitMs = this.predictedWaitMs(customerId);
    if (waitMs > 0 && waitMs + (this.meanServiceMs ?? 0) > remainingMs) {
      return this.overloaded(request, 'the queue is too long for the deadline');
    }
    const maximumWaiting = this.currentMinion.slots * MAXIMUM_WAITING_PER_SLOT;
    if (
      this.waiting.size < maximumWaiting ||
      this.evictRequestFor(customerId)
    ) {
      return undefined;
    }
    return this.overloaded(request, 'the queue of the minion is full');
  }

  private overloaded(request: ServiceRequest, message: string): NotRun {
    return notRun(
      request.requestId,
      'overloaded',
      message,
      this.drainTimeMs() ?? DEFAULT_RETRY_MS,
    );
  }

  /** Time until the present waiting list is handed over. */
  private drainTimeMs(): number | undefined {
    if (this.meanServiceMs === undefined) return undefined;
    const turns = (this.waiting.size + 1) / this.currentMinion.slots;
    return turns * this.meanServiceMs;
  }

  /** Expected wait of the customer's next request; 0 if a slot is free. */
  private predictedWaitMs(customerId: CustomerId): number {
    const slots = this.currentMinion.slots;
    if (this.length < slots || this.meanServiceMs === undefined) return 0;
    const counts = this.waitingPerCustomer();
    const own = counts.get(customerId) ?? 0;
    counts.delete(customerId);
    // Round robin hands over this many requests of others before.
    let ahead = own;
    for (const count of counts.values()) ahead += Math.min(count, own + 1);
    return ((ahead + 1) / slots) * this.meanServiceMs;
  }

  /**
   * Refuses the newest request of the customer that waits with the most, so
   * that one customer cannot fill the queue for all.
   */
  private evictRequestFor(customerId: CustomerId): boolean {
    const counts = this.waitingPerCustomer();
    const own = counts.get(customerId) ?? 0;
    const [longest, most] = [...counts].reduce((a, b) => (b[1] > a[1] ? b : a));
    if (most <= own + 1) return false;
    const newest = [...this.waiting]
      .filter((entry) => entry.request.customerId === longest)
      .at(-1);
    if (!newest) return false;
    this.remove(
      newest,
      this.overloaded(newest.request, 'other customers need the queue'),
    );
    return true;
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
