/**
 * Receives dispatches and owns the queues of the minions for which this
 * daemon is the home daemon.
 */

import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {Clock} from '../lifecycle/clock.js';
import {after} from '../model/ids.js';
import type {Instant, VmId} from '../model/ids.js';
import type {Outcome, ServiceRequest} from '../model/requests.js';
import type {MinionClient} from '../interfaces/minion_client.js';
import type {Dispatch, QueueLength} from '../interfaces/peer_client.js';
import {AttemptRegistry, MAXIMUM_CLOCK_SKEW_MS} from './attempt_registry.js';
import type {MinionVm} from '../interfaces/vm_list.js';
import type {RequestDirectory} from './directory.js';
import {notRun, unknown} from './exchange.js';
import {MinionQueue, queueLimit} from './minion_queue.js';
import type {QueuePreview} from './minion_queue.js';

/** Interval of the removal of expired attempts and unused queues. */
const MAINTENANCE_INTERVAL_MS = 1_000;

/**
 * A waiting request is refused at most this long after its deadline. The
 * timer runs only while requests wait, because at this interval it would use
 * about 5 ms of CPU a second of the 12 ms that an idle daemon may use.
 */
const EXPIRY_INTERVAL_MS = 20;

export class HomeDispatcher {
  private readonly queues = new Map<VmId, MinionQueue>();
  /** Queues of earlier incarnations of minions with requests still running. */
  private readonly retiredQueues = new Set<MinionQueue>();
  private draining = false;
  private scope: CleanupScope | undefined;
  private expiryTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly directory: RequestDirectory,
    private readonly client: MinionClient,
    private readonly clock: Clock,
    private readonly attempts = new AttemptRegistry(),
  ) {}

  /** Runs `maintain` and the expiry of requests until the scope closes. */
  start(scope: CleanupScope): void {
    this.scope = scope;
    scope.every(MAINTENANCE_INTERVAL_MS, () => this.maintain(this.clock.now()));
    scope.add(() => clearTimeout(this.expiryTimer));
    this.scheduleExpiry();
  }

  /**
   * Queues a request for its minion and returns its outcome. `signal` is only
   * given if the entry daemon is the home daemon as well.
   */
  async dispatch(dispatch: Dispatch, signal?: AbortSignal): Promise<Outcome> {
    const {request, homeDaemonId, attempt = 1} = dispatch;
    if (homeDaemonId && homeDaemonId !== this.directory.daemonId) {
      // The previous incarnation of this daemon may have received the same
      // dispatch and sent the request to the minion.
      return unknown(
        request.requestId,
        'peer-lost',
        'the home daemon restarted while it had the request',
      );
    }
    const now = this.clock.now();
    return this.attempts.runOnce(request, attempt, now, () =>
      this.enqueue(dispatch, now, signal),
    );
  }

  /**
   * Queue lengths of the minions of this home daemon. A closed queue is
   * reported as full, so that other daemons choose other minions.
   */
  queueLengths(): QueueLength[] {
    return [...this.queues].map(([minionId, queue]) => ({
      minionId,
      queued: queue.closed
        ? Math.max(queue.length, queueLimit(queue.minion))
        : queue.length,
    }));
  }

  /** Undefined if the minion has no queue yet. */
  queueLength(minionId: VmId): number | undefined {
    return this.queues.get(minionId)?.length;
  }

  /** True if the minion's queue is closed, such as when the minion leaves. */
  isClosed(minionId: VmId): boolean {
    return this.queues.get(minionId)?.closed ?? false;
  }

  /**
   * What the minion's queue would do with the request now. Undefined if it has
   * no queue yet, so that the request would be sent at once.
   */
  preview(minion: MinionVm, request: ServiceRequest): QueuePreview | undefined {
    return this.currentQueue(minion)?.preview(request, request.deadline);
  }

  /** Refuses expired requests and removes old attempts and unused queues. */
  maintain(now: Instant): void {
    this.expire(now);
    this.attempts.removeExpired(now);
    this.removeUnusedQueues();
  }

  /**
   * For a planned stop: refuses waiting and new requests, and resolves when
   * the requests that were sent to minions have ended.
   */
  async drain(): Promise<void> {
    this.draining = true;
    const queues = [...this.queues.values(), ...this.retiredQueues];
    for (const queue of queues) {
      queue.close('shutting-down', 'the home daemon is stopping');
    }
    await Promise.all(queues.map((queue) => queue.idle()));
  }

  private async enqueue(
    dispatch: Dispatch,
    now: Instant,
    signal: AbortSignal | undefined,
  ): Promise<Outcome> {
    const {request, minionId} = dispatch;
    const {requestId} = request;
    if (this.draining) {
      return notRun(requestId, 'shutting-down', 'the home daemon is stopping');
    }
    const deadline = localDeadline(dispatch, now);
    if (now >= deadline) {
      return notRun(requestId, 'deadline-passed', 'the dispatch came too late');
    }
    const queue = this.queueFor(minionId);
    if (!queue) {
      return notRun(requestId, 'no-minion', `minion ${minionId} is not listed`);
    }
    const outcome = queue.run(request, deadline, signal);
    this.scheduleExpiry();
    return outcome;
  }

  private expire(now: Instant): void {
    for (const queue of this.queues.values()) queue.expire(now);
  }

  /** Starts the expiry timer if requests wait and it is not running. */
  private scheduleExpiry(): void {
    const {scope, expiryTimer} = this;
    if (scope === undefined || scope.closed || expiryTimer) return;
    const waiting = [...this.queues.values()].some((queue) => queue.hasWaiting);
    if (!waiting) return;
    this.expiryTimer = setTimeout(() => {
      this.expiryTimer = undefined;
      this.expire(this.clock.now());
      this.scheduleExpiry();
    }, EXPIRY_INTERVAL_MS);
  }

  private queueFor(minionId: VmId): MinionQueue | undefined {
    const minion = this.directory.minion(minionId);
    if (!minion || minion.state === 'gone') return undefined;
    let queue = this.currentQueue(minion);
    if (!queue) {
      const previous = this.queues.get(minionId);
      if (previous) this.retire(previous);
      queue = new MinionQueue(minion, this.client, this.clock);
      this.queues.set(minionId, queue);
    }
    queue.update(minion);
    if (minion.state === 'leaving') {
      queue.close('minion-refused', 'the minion is leaving');
    }
    return queue;
  }

  /**
   * Another address means a new incarnation of the minion. It is not leaving
   * even if the previous one was.
   */
  private currentQueue(minion: MinionVm): MinionQueue | undefined {
    const queue = this.queues.get(minion.vmId);
    return queue?.minion.address === minion.address ? queue : undefined;
  }

  private retire(queue: MinionQueue): void {
    queue.close('minion-refused', 'the minion has another address now');
    this.retiredQueues.add(queue);
  }

  private removeUnusedQueues(): void {
    for (const queue of this.retiredQueues) {
      if (queue.length === 0) this.retiredQueues.delete(queue);
    }
    for (const [minionId, queue] of this.queues) {
      const minion = this.directory.minion(minionId);
      if (minion?.state === 'leaving') {
        queue.close('minion-refused', 'the minion is leaving');
      }
      const gone = !minion || minion.state === 'gone';
      if (gone) queue.close('no-minion', 'the minion is gone');
      if (gone && queue.length === 0) this.queues.delete(minionId);
    }
  }
}

/**
 * The deadline by this daemon's clock. The remaining time counts from arrival,
 * which tolerates clock skew; the sender's deadline plus the maximum skew
 * bounds it, which rejects delayed messages.
 */
function localDeadline(dispatch: Dispatch, now: Instant): Instant {
  const latest = after(dispatch.request.deadline, MAXIMUM_CLOCK_SKEW_MS);
  if (dispatch.remainingMs === undefined) return dispatch.request.deadline;
  const fromArrival = after(now, dispatch.remainingMs);
  return fromArrival < latest ? fromArrival : latest;
}
