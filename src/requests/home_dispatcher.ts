/**
 * The receiving side of a dispatch: the queues of the minions for which this
 * daemon is home.
 */

import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {Clock} from '../lifecycle/clock.js';
import {after} from '../model/ids.js';
import type {Instant, VmId} from '../model/ids.js';
import type {Outcome} from '../model/requests.js';
import type {MinionClient} from '../parties/minion_client.js';
import type {Dispatch, QueueLength} from '../parties/peer_client.js';
import {AttemptRegistry, MAXIMUM_CLOCK_SKEW_MS} from './attempt_register.js';
import type {RequestDirectory} from './directory.js';
import {notRun, unknown} from './exchange.js';
import {MinionQueue, queueLimit} from './minion_queue.js';

/** Between two passes over everything that may be forgotten. */
const MAINTENANCE_INTERVAL_MS = 1_000;

/**
 * A waiting request is refused at most this long after its deadline. The
 * timer runs only while requests wait: at this interval it costs an idle
 * daemon about 5 ms of CPU a second, of the 12 ms that it may spend.
 */
const EXPIRY_INTERVAL_MS = 20;

export class HomeDispatcher {
  private readonly queues = new Map<VmId, MinionQueue>();
  /** Queues of former runs of minions, until what they handed over ends. */
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

  /** Refuses late requests and forgets old ones until the scope closes. */
  start(scope: CleanupScope): void {
    this.scope = scope;
    scope.every(MAINTENANCE_INTERVAL_MS, () => this.maintain(this.clock.now()));
    scope.add(() => clearTimeout(this.expiryTimer));
    this.scheduleExpiry();
  }

  /** `signal` is given by the entry daemon itself if it is the home. */
  async dispatch(dispatch: Dispatch, signal?: AbortSignal): Promise<Outcome> {
    const {request, homeDaemonId, attempt = 1} = dispatch;
    if (homeDaemonId && homeDaemonId !== this.directory.daemonId) {
      // The former run may have received another copy and handed it over.
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
   * Queue lengths of the minions that this daemon is home of. A closed queue
   * is reported as full, so that other daemons choose other minions.
   */
  queueLengths(): QueueLength[] {
    return [...this.queues].map(([minionId, queue]) => ({
      minionId,
      queued: queue.closed
        ? Math.max(queue.length, queueLimit(queue.minion))
        : queue.length,
    }));
  }

  /** Undefined if nothing was dispatched to the minion yet. */
  queueLength(minionId: VmId): number | undefined {
    return this.queues.get(minionId)?.length;
  }

  /** True if the minion said that it is leaving or the VM list says so. */
  isClosed(minionId: VmId): boolean {
    return this.queues.get(minionId)?.closed ?? false;
  }

  /** Refuses late waiting requests and forgets what is no longer needed. */
  maintain(now: Instant): void {
    this.expire(now);
    this.attempts.removeExpired(now);
    this.removeUnusedQueues();
  }

  /**
   * For a planned stop: refuses what was never handed over, now and later,
   * and waits for the rest.
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

  private scheduleExpiry(): void {
    const {scope, expiryTimer} = this;
    if (scope === undefined || scope.closed || expiryTimer) return;
    const waits = [...this.queues.values()].some((queue) => queue.hasWaiting);
    if (!waits) return;
    this.expiryTimer = setTimeout(() => {
      this.expiryTimer = undefined;
      this.expire(this.clock.now());
      this.scheduleExpiry();
    }, EXPIRY_INTERVAL_MS);
  }

  private queueFor(minionId: VmId): MinionQueue | undefined {
    const minion = this.directory.minion(minionId);
    if (!minion || minion.state === 'gone') return undefined;
    let queue = this.queues.get(minionId);
    // A minion that came back at another address is a new run of it, and what
    // the former run said about leaving does not bind it.
    if (!queue || queue.minion.address !== minion.address) {
      if (queue) this.retire(queue);
      queue = new MinionQueue(minion, this.client, this.clock);
      this.queues.set(minionId, queue);
    }
    queue.update(minion);
    if (minion.state === 'leaving') {
      queue.close('minion-refused', 'the minion is leaving');
    }
    return queue;
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
 * The deadline by this daemon's clock. The time left is counted from arrival;
 * the sender's own deadline bounds it for messages that were held up.
 */
function localDeadline(dispatch: Dispatch, now: Instant): Instant {
  const latest = after(dispatch.request.deadline, MAXIMUM_CLOCK_SKEW_MS);
  if (dispatch.remainingMs === undefined) return dispatch.request.deadline;
  const counted = after(now, dispatch.remainingMs);
  return counted < latest ? counted : latest;
}
