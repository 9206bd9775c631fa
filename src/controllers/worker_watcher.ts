/**
 * Watches one worker: renews its lease and reads its task list with one long
 * poll at a time, and tells when the worker has been silent for too long.
 */

import {Result} from 'true-myth';
import {Backoff} from '../lifecycle/backoff.js';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {Clock} from '../lifecycle/clock.js';
import type {RandomSource} from '../lifecycle/random.js';
import {TimeoutError} from '../model/errors.js';
import type {CallError} from '../model/errors.js';
import type {Instant, VmId} from '../model/ids.js';
import type {TaskList} from '../model/jobs.js';
import type {WorkerVm} from '../parties/vm_list.js';
import {NO_LIST_VERSION} from '../parties/worker_client.js';
import type {WorkerClient} from '../parties/worker_client.js';
import type {ZoneControllerOptions} from './zone_options.js';

/** Shortest watch as a share of the longest, so that polls spread out. */
const SHORTEST_WAIT_SHARE = 0.75;

export interface WorkerWatcherListener {
  listSeen(workerId: VmId, list: TaskList, requestedAt: Instant): void;
  /** Calls have failed for longer than `workerSilentMs`. */
  silent(workerId: VmId): void;
}

export interface WorkerWatcherParts {
  readonly client: WorkerClient;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly options: ZoneControllerOptions;
  readonly listener: WorkerWatcherListener;
  /** Runs the first read, which is bounded together with other calls. */
  readonly bounded: <T>(call: () => Promise<T>) => Promise<T>;
}

export class WorkerWatcher {
  private readonly backoff: Backoff;
  private known: TaskList | undefined;
  private failingSince: Instant | undefined;

  constructor(
    private worker: WorkerVm,
    private readonly parts: WorkerWatcherParts,
    private readonly scope: CleanupScope,
  ) {
    const {firstRetryMs, longestRetryMs} = parts.options;
    this.backoff = new Backoff(parts.random, firstRetryMs, longestRetryMs);
  }

  /** Takes a new address or state of the VM. */
  update(worker: WorkerVm): void {
    this.worker = worker;
  }

  /** Watches until the scope closes. */
  async run(): Promise<void> {
    await this.parts.bounded(async () => await this.poll());
    while (!this.scope.closed) await this.poll();
  }

  private async poll(): Promise<void> {
    if (this.scope.closed) return;
    const requestedAt = this.parts.clock.now();
    const result = await this.watchOnce();
    if (this.scope.closed) return;
    // Another worker may have taken over the address.
    if (result.isErr || result.value.workerId !== this.worker.vmId) {
      await this.countFailure();
      return;
    }
    this.backoff.reset();
    this.failingSince = undefined;
    this.known = result.value;
    const {workerId} = result.value;
    this.parts.listener.listSeen(workerId, result.value, requestedAt);
  }

  /** The first watch, and the first after a failure, return at once. */
  private async watchOnce(): Promise<Result<TaskList, CallError>> {
    const {watchWaitMs, leaseMs, watchOverrunMs} = this.parts.options;
    const immediate =
      this.known === undefined || this.failingSince !== undefined;
    const share =
      SHORTEST_WAIT_SHARE +
      this.parts.random.next() * (1 - SHORTEST_WAIT_SHARE);
    const waitMs = immediate ? 0 : Math.round(watchWaitMs * share);
    const limit = new AbortController();
    const abort = () => limit.abort();
    const timer = setTimeout(abort, waitMs + watchOverrunMs);
    this.scope.signal.addEventListener('abort', abort);
    const list = this.parts.client.watchTasks(
      this.worker,
      this.known?.version ?? NO_LIST_VERSION,
      waitMs,
      leaseMs,
      limit.signal,
      this.known,
    );
    try {
      return await Promise.race([list, whenAborted(limit.signal)]);
    } finally {
      clearTimeout(timer);
      this.scope.signal.removeEventListener('abort', abort);
    }
  }

  private async countFailure(): Promise<void> {
    const now = this.parts.clock.now();
    this.failingSince ??= now;
    if (now - this.failingSince >= this.parts.options.workerSilentMs) {
      this.parts.listener.silent(this.worker.vmId);
    }
    await this.scope.sleep(this.backoff.nextWaitMs());
  }
}

/** Guards against clients that ignore the signal. */
async function whenAborted(
  signal: AbortSignal,
): Promise<Result<TaskList, CallError>> {
  return await new Promise((resolve) => {
    const answer = () => {
      const remedy = 'check that the worker is reachable';
      const error = new TimeoutError('the worker did not answer', remedy);
      resolve(Result.err(error));
    };
    if (signal.aborted) answer();
    else signal.addEventListener('abort', answer, {once: true});
  });
}
