/**
 * Tells where a service request would go now, by asking the filters, the
 * router and the queues that decide it; see `docs/design/explain.md`.
 */

import {Result} from 'true-myth';
import type {Clock} from '../lifecycle/clock.js';
import {NotFoundError} from '../model/errors.js';
import type {RequestId} from '../model/ids.js';
import type {NotRun} from '../model/requests.js';
import type {CheckFilter} from './check_filter.js';
import type {LimitFilter} from './customer_limits.js';
import type {RequestDirectory} from './directory.js';
import {Exchange} from './exchange.js';
import type {HomeDispatcher} from './home_dispatcher.js';
import type {
  ConsideredMinion,
  RequestExplanation,
  RequestQuery,
} from './request_explanation.js';
import {
  lengthPerSlot,
  minionRuleSchema,
  routeRefusal,
  shareOf,
} from './routing.js';
import type {MinionRouter, RatedCandidate, RouteReview} from './routing.js';

/** No request has this id, as these are random. */
export const NOT_SENT = 'request-not-sent' as RequestId;

const MAXIMUM_MINIONS_LISTED = 20;

export interface RequestExplainerDependencies {
  readonly check: CheckFilter;
  readonly limit: LimitFilter;
  readonly router: MinionRouter;
  readonly homeDispatcher: HomeDispatcher;
  readonly directory: RequestDirectory;
  readonly clock: Clock;
}

export class RequestExplainer {
  constructor(private readonly dependencies: RequestExplainerDependencies) {}

  /** `stopping`: the refusal of a daemon that stops. */
  explain(
    query: RequestQuery,
    stopping: NotRun | undefined,
  ): Result<RequestExplanation, NotFoundError> {
    const {check, limit, router, directory, clock} = this.dependencies;
    const submission = {...query, payload: ''};
    const exchange = new Exchange(NOT_SENT, submission, clock.now(), clock);
    const invalid = check.refusal(exchange);
    const preview = limit.preview(exchange);
    if (invalid || !preview) {
      return Result.err(unknownNames(invalid?.message));
    }
    const review = router.review(exchange.now());
    const {options} = review;
    const rated = options.kind === 'open' ? options.rated : [];
    const {inProgress, tokens} = preview.usage;
    return Result.ok({
      daemonId: directory.daemonId,
      availabilityZone: directory.availabilityZone,
      ...query,
      ...firstRefusal(stopping, preview.refusal, review),
      limits: preview.limits,
      inUse: {inProgress, tokens},
      claimNotAsked: !exchange.request.repeatable,
      considered: [...rated]
        .sort((a, b) => lengthPerSlot(a) - lengthPerSlot(b))
        .slice(0, MAXIMUM_MINIONS_LISTED)
        .map((one) => this.describe(one, shareOf(one, rated), exchange)),
      consideredCount: rated.length,
      ruledOut: countRules(review),
    });
  }

  private describe(
    {candidate, length}: RatedCandidate,
    share: number,
    exchange: Exchange,
  ): ConsideredMinion {
    const {minion, home} = candidate;
    return {
      minionId: minion.vmId,
      availabilityZone: minion.availabilityZone,
      homeDaemonId: home.daemonId,
      slots: minion.slots,
      estimatedLength: length,
      share,
      queue: this.askQueue(candidate, exchange),
    };
  }

  private askQueue(
    {minion, home}: RatedCandidate['candidate'],
    {request}: Exchange,
  ): ConsideredMinion['queue'] {
    const {homeDispatcher, directory} = this.dependencies;
    if (home.daemonId !== directory.daemonId) return {kind: 'notAsked'};
    const preview = homeDispatcher.preview(minion, request);
    if (!preview) return {kind: 'accepts', ahead: 0, expectedWaitMs: 0};
    const {refusal, ahead, expectedWaitMs, displaced} = preview;
    if (refusal) return {kind: 'refuses', refusal: describeRefusal(refusal)};
    return {
      kind: 'accepts',
      ahead,
      expectedWaitMs,
      ...(displaced === undefined ? {} : {displaced}),
    };
  }
}

function firstRefusal(
  stopping: NotRun | undefined,
  overLimit: NotRun | undefined,
  {options}: RouteReview,
): Pick<RequestExplanation, 'refused'> {
  if (stopping) {
    return {refused: {check: 'stopping', ...describeRefusal(stopping)}};
  }
  if (overLimit) {
    return {refused: {check: 'customerLimit', ...describeRefusal(overLimit)}};
  }
  if (options.kind === 'open') return {};
  const refusal = routeRefusal(NOT_SENT, options.kind);
  return {refused: {check: 'route', ...describeRefusal(refusal)}};
}

function describeRefusal({reason, message, retryAfterMs}: NotRun) {
  const refusal = {reason, message};
  return retryAfterMs === undefined ? refusal : {...refusal, retryAfterMs};
}

function countRules({ruledOut}: RouteReview): RequestExplanation['ruledOut'] {
  return minionRuleSchema.options
    .map((rule) => ({
      rule,
      count: ruledOut.filter((minion) => minion.rule === rule).length,
    }))
    .filter(({count}) => count > 0);
}

function unknownNames(problem = 'the customer was removed'): NotFoundError {
  return new NotFoundError(
    problem,
    'name a customer and one of its classes for requests; ' +
      '`bramleystep configuration show` lists them',
  );
}
