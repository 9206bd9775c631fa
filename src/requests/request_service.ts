/**
 * Assembles request processing in one daemon: the filter chain for requests
 * that callers send to it as entry daemon, and the queues of the minions for
 * which it is the home daemon.
 */

import type {Result} from 'true-myth';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {Clock} from '../lifecycle/clock.js';
import type {RandomSource} from '../lifecycle/random.js';
import type {NotFoundError} from '../model/errors.js';
import {randomId} from '../model/ids.js';
import type {RequestId} from '../model/ids.js';
import type {NotRun, Outcome, RequestSubmission} from '../model/requests.js';
import type {MinionClient} from '../interfaces/minion_client.js';
import type {Dispatch, QueueLength} from '../interfaces/peer_client.js';
import {CheckFilter} from './check_filter.js';
import {ClaimFilter, ClaimRegistry} from './claims.js';
import {LimitFilter} from './customer_limits.js';
import {DeadlineFilter} from './deadline_filter.js';
import type {ClaimStore, RequestDirectory, RequestPeers} from './directory.js';
import {DispatchFilter} from './dispatch_filter.js';
import {Exchange, notRun, runFilters, unknown} from './exchange.js';
import type {RequestFilter} from './exchange.js';
import {HomeDispatcher} from './home_dispatcher.js';
import {NOT_SENT, RequestExplainer} from './request_explainer.js';
import type {RequestExplanation, RequestQuery} from './request_explanation.js';
import {RequestOutcomes} from './request_outcomes.js';
import {RetryFilter} from './retry_filter.js';
import {MinionRouter, RouteFilter} from './routing.js';

/** Interval of the removal of old outcomes and the retry of failed releases. */
const CLAIM_MAINTENANCE_INTERVAL_MS = 1_000;

export interface RequestServiceDependencies {
  readonly directory: RequestDirectory;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly store: ClaimStore;
  readonly minions: MinionClient;
  readonly peers: RequestPeers;
  /** How long claims and outcomes of keyed requests are retained. */
  readonly claimRetentionMs: number;
}

/** A request in progress. */
export interface StartedRequest {
  readonly requestId: RequestId;
  readonly outcome: Promise<Outcome>;
}

export class RequestService {
  private readonly homeDispatcher: HomeDispatcher;
  private readonly outcomes: RequestOutcomes;
  private readonly claims: ClaimRegistry;
  private readonly explainer: RequestExplainer;
  private readonly filters: readonly RequestFilter[];
  private readonly inProgress = new Set<Promise<Outcome>>();
  private draining = false;

  constructor(private readonly dependencies: RequestServiceDependencies) {
    const {directory, clock, peers, random, claimRetentionMs} = dependencies;
    this.homeDispatcher = new HomeDispatcher(
      directory,
      dependencies.minions,
      clock,
    );
    this.outcomes = new RequestOutcomes(claimRetentionMs);
    this.claims = new ClaimRegistry(
      dependencies.store,
      clock,
      directory.daemonId,
      claimRetentionMs,
    );
    const check = new CheckFilter(directory);
    const limit = new LimitFilter(directory);
    const router = new MinionRouter(directory, this.homeDispatcher, random);
    this.explainer = new RequestExplainer({
      check,
      limit,
      router,
      homeDispatcher: this.homeDispatcher,
      directory,
      clock,
    });
    this.filters = [
      check,
      limit,
      new DeadlineFilter(),
      new ClaimFilter(this.claims, this.outcomes, directory, peers),
      new RetryFilter(),
      new DeadlineFilter(),
      new RouteFilter(router),
      new DispatchFilter(directory, this.homeDispatcher, peers),
    ];
  }

  /** Runs the recurring maintenance until the scope closes. */
  start(scope: CleanupScope): void {
    this.homeDispatcher.start(scope);
    scope.every(
      CLAIM_MAINTENANCE_INTERVAL_MS,
      () => void this.maintainClaims(),
    );
  }

  /**
   * Starts a caller's request. Aborting `signal` cancels it unless it was
   * already sent to a minion or another daemon.
   */
  submit(submission: RequestSubmission, signal?: AbortSignal): StartedRequest {
    const requestId = randomId<RequestId>('request');
    const outcome = this.run(requestId, submission, signal);
    this.inProgress.add(outcome);
    const remove = () => this.inProgress.delete(outcome);
    void outcome.then(remove, remove);
    return {requestId, outcome};
  }

  /** Outcome of a keyed request of this entry daemon, if still retained. */
  outcome(requestId: RequestId): Outcome | undefined {
    return this.outcomes.find(requestId);
  }

  /**
   * Tells where a request would go now, without sending or counting it. An
   * unknown customer or class is an error.
   */
  explain(query: RequestQuery): Result<RequestExplanation, NotFoundError> {
    const refusal = this.stopRefusal(NOT_SENT);
    return this.explainer.explain(query, refusal);
  }

  /** Handles `PeerClient.claimOutcome` of another daemon. */
  claimOutcome(requestId: RequestId): Outcome {
    return (
      this.outcomes.find(requestId) ??
      unknown(requestId, 'duplicate', 'its outcome is no longer held')
    );
  }

  /** Handles `PeerClient.dispatch` of another daemon. */
  dispatch(dispatch: Dispatch): Promise<Outcome> {
    return this.homeDispatcher.dispatch(dispatch);
  }

  /** Queue lengths that the heartbeat reports. */
  queueLengths(): readonly QueueLength[] {
    return this.homeDispatcher.queueLengths();
  }

  /** Removes expired outcomes and retries failed releases of claims. */
  async maintainClaims(): Promise<void> {
    this.outcomes.removeExpired(this.dependencies.clock.now());
    await this.claims.retryReleases();
  }

  /**
   * For a planned stop: refuses new requests and those that wait in the queues
   * of its minions, and resolves when all requests in progress have ended.
   */
  async drain(): Promise<void> {
    this.draining = true;
    await Promise.all([this.homeDispatcher.drain(), ...this.inProgress]);
  }

  private async run(
    requestId: RequestId,
    submission: RequestSubmission,
    signal: AbortSignal | undefined,
  ): Promise<Outcome> {
    const refusal = this.stopRefusal(requestId);
    if (refusal) return refusal;
    const {clock} = this.dependencies;
    const now = clock.now();
    const exchange = new Exchange(requestId, submission, now, clock, signal);
    if (submission.key !== undefined) this.outcomes.start(requestId, now);
    const outcome = await this.runChain(exchange);
    this.outcomes.settle(outcome, clock.now());
    return outcome;
  }

  private stopRefusal(requestId: RequestId): NotRun | undefined {
    if (!this.draining) return undefined;
    return notRun(requestId, 'shutting-down', 'the daemon is stopping');
  }

  private async runChain(exchange: Exchange): Promise<Outcome> {
    try {
      return await runFilters(this.filters, exchange);
    } catch (error) {
      // An unexpected exception leaves open whether the request ran.
      const detail = error instanceof Error ? error.message : String(error);
      return unknown(exchange.requestId, 'internal-error', detail);
    }
  }
}
