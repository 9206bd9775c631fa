/**
 * Watches one worker: renews its lease and reads its task list with one long
 * poll at a time, and reports a worker that has been unresponsive for too long.
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
import type {WorkerVm} from '../interfaces/vm_list.js';
import {NO_LIST_VERSION} from '../interfaces/worker_client.js';
import type {WorkerClient} from '../interfaces/worker_client.js';
import type {ZoneControllerOptions} from './zone_options.js';

/** Minimum wait as a fraction of `watchWaitMs`; the jitter spreads polls. */
const MINIMUM_WAIT_FRACTION = 0.75;

export interface WorkerWatcherListener {
  handleList(workerId: VmId, list: TaskList, requestedAt: Instant): void;
  /** Calls have failed for at least `workerLostAfterMs`. */
  unresponsive(workerId: VmId): void;
}

export interface WorkerWatcherDependencies {
  readonly client: WorkerClient;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly options: ZoneControllerOptions;
  readonly listener: WorkerWatcherListener;
  /** Runs the first read under the concurrency limit of worker calls. */
  readonly runLimited: <T>(call: () => Promise<T>) => Promise<T>;
}

export class WorkerWatcher {
  private readonly backoff: Backoff;
  private lastList: TaskList | undefined;
  private failingSince: Instant | undefined;

  constructor(
    private worker: WorkerVm,
    private readonly dependencies: WorkerWatcherDependencies,
    private readonly scope: CleanupScope,
  ) {
    const {initialRetryDelayMs, maximumRetryDelayMs} = dependencies.options;
    this.backoff = new Backoff(
      dependencies.random,
      initialRetryDelayMs,
      maximumRetryDelayMs,
    );
  }

  /** Applies a new address or state of the VM. */
  update(worker: WorkerVm): void {
    this.worker = worker;
  }

  /** Watches until the scope closes. */
  async run(): Promise<void> {
    await this.dependencies.runLimited(async () => await this.poll());
    while (!this.scope.closed) await this.poll();
  }

  private async poll(): Promise<void> {
    if (this.scope.closed) return;
    const requestedAt = this.dependencies.clock.now();
    const result = await this.watchOnce();
    if (this.scope.closed) return;
    // The address may have been reassigned to another worker.
    if (result.isErr || result.value.workerId !== this.worker.vmId) {
      await this.handleFailure();
      return;
    }
    this.backoff.reset();
    this.failingSince = undefined;
    this.lastList = result.value;
    const {workerId} = result.value;
    this.dependencies.listener.handleList(workerId, result.value, requestedAt);
  }

  /** The first watch, and the first after a failure, return immediately. */
  private async watchOnce(): Promise<Result<TaskList, CallError>> {
    const {watchWaitMs, leaseMs, watchOverrunMs} = this.dependencies.options;
    const immediate =
      this.lastList === undefined || this.failingSince !== undefined;
    const waitFraction =
      MINIMUM_WAIT_FRACTION +
      this.dependencies.random.next() * (1 - MINIMUM_WAIT_FRACTION);
    const waitMs = immediate ? 0 : Math.round(watchWaitMs * waitFraction);
    const controller = new AbortController();
    const abort = () => controller.abort();
    const timer = setTimeout(abort, waitMs + watchOverrunMs);
    this.scope.signal.addEventListener('abort', abort);
    const list = this.dependencies.client.watchTasks(
      this.worker,
      this.lastList?.version ?? NO_LIST_VERSION,
      waitMs,
      leaseMs,
      controller.signal,
      this.lastList,
    );
    try {
      return await Promise.race([list, timeoutWhenAborted(controller.signal)]);
    } finally {
      clearTimeout(timer);
      this.scope.signal.removeEventListener('abort', abort);
    }
  }

  private async handleFailure(): Promise<void> {
    const now = this.dependencies.clock.now();
    this.failingSince ??= now;
    if (
      now - this.failingSince >=
      this.dependencies.options.workerLostAfterMs
    ) {
      this.dependencies.listener.unresponsive(this.worker.vmId);
    }
    await this.scope.sleep(this.backoff.nextWaitMs());
  }
}

/** Times out even if the client ignores the signal. */
async function timeoutWhenAborted(
  signal: AbortSignal,
): Promise<Result<TaskList, CallError>> {
  return await new Promise((resolve) => {
    const resolveTimeout = () => {
      const remedy = 'check that the worker is reachable';
      const error = new TimeoutError('the worker did not answer', remedy);
      resolve(Result.err(error));
    };
    if (signal.aborted) resolveTimeout();
    else signal.addEventListener('abort', resolveTimeout, {once: true});
  });
}
