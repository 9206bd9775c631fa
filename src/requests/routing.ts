/**
 * Chooses the minion for an attempt: of two random minions the one with the
 * shorter queue per slot. Minions of other zones are chosen only if the
 * daemon's own zone has no suitable minion below its queue limit.
 */

import {z} from 'zod';
import type {RandomSource} from '../lifecycle/random.js';
import type {AvailabilityZone, Instant, RequestId, VmId} from '../model/ids.js';
import type {NotRun, Outcome} from '../model/requests.js';
import type {MinionCandidate, RequestDirectory} from './directory.js';
import {notRun, RequestFilter} from './exchange.js';
import type {Exchange, Next} from './exchange.js';
import type {HomeDispatcher} from './home_dispatcher.js';
import {MinionHealth, PROBATION_SHARE} from './minion_health.js';
import {queueLimit} from './minion_queue.js';

/** Age at which a reported queue length has half its weight. */
const REPORT_HALF_LIFE_MS = 1_000;

/** Suggested retry delay when no minion can accept the request. */
const OVERLOAD_RETRY_MS = 500;

/** A candidate with its estimated queue length. */
export interface RatedCandidate {
  readonly candidate: MinionCandidate;
  readonly length: number;
}

export type RouteChoice =
  | {readonly kind: 'chosen'; readonly candidate: MinionCandidate}
  | {readonly kind: 'no-minion'}
  | {readonly kind: 'overloaded'};

/** The open candidates; the better of two random ones is chosen. */
type RouteOptions =
  | {readonly kind: 'open'; readonly rated: readonly RatedCandidate[]}
  | Exclude<RouteChoice, {kind: 'chosen'}>;

/** Why a minion is not considered, in the order in which the rules apply. */
export const minionRuleSchema = z.enum([
  'notLive',
  'suspect',
  'queueClosed',
  'paused',
  'full',
  'probation',
  'otherZone',
]);
export type MinionRule = z.infer<typeof minionRuleSchema>;

/** What an attempt that starts now would choose from. */
export interface RouteReview {
  readonly options: RouteOptions;
  /** All other minions, each with the first rule that rules it out. */
  readonly ruledOut: ReadonlyArray<{
    readonly candidate: MinionCandidate;
    readonly rule: MinionRule;
  }>;
}

/** Minions by id, as a directory may create its candidates for each call. */
class CandidateSet {
  private readonly minionIds: Set<VmId>;

  constructor(rated: readonly RatedCandidate[] = []) {
    this.minionIds = new Set(rated.map((r) => r.candidate.minion.vmId));
  }

  add({minion}: MinionCandidate): void {
    this.minionIds.add(minion.vmId);
  }

  has({minion}: MinionCandidate): boolean {
    return this.minionIds.has(minion.vmId);
  }
}

export class MinionRouter {
  /** This daemon's attempts in progress, which reports may not include yet. */
  private readonly inProgress = new Map<VmId, number>();

  constructor(
    private readonly directory: RequestDirectory,
    private readonly homeDispatcher: HomeDispatcher,
    private readonly random: RandomSource,
    private readonly health = new MinionHealth(),
  ) {}

  choose(tried: ReadonlySet<VmId>, now: Instant): RouteChoice {
    const mayProbe = () => this.random.next() < PROBATION_SHARE;
    const options = this.options(tried, now, mayProbe);
    if (options.kind !== 'open') return options;
    return {kind: 'chosen', candidate: this.betterOfTwo(options.rated)};
  }

  /**
   * What the first attempt of a request would choose from. Draws no random
   * number: minions on probation count as ruled out, although each is
   * considered for a share of the attempts.
   */
  review(now: Instant): RouteReview {
    const full = new CandidateSet();
    const options = this.options(new Set(), now, () => false, full);
    const considered = new CandidateSet(
      options.kind === 'open' ? options.rated : [],
    );
    const zones = [
      this.directory.availabilityZone,
      ...this.directory.otherZones(),
    ];
    const ruledOut = zones
      .flatMap((zone) => this.directory.candidates(zone))
      .filter((candidate) => !considered.has(candidate))
      .map((candidate) => {
        const unusable = this.unusableReason(candidate, now);
        if (unusable) return {candidate, rule: unusable};
        if (full.has(candidate)) return {candidate, rule: 'full' as const};
        const good = this.isPreferred(candidate, now, () => false);
        const rule = good ? ('otherZone' as const) : ('probation' as const);
        return {candidate, rule};
      });
    return {options, ruledOut};
  }

  private options(
    tried: ReadonlySet<VmId>,
    now: Instant,
    mayProbe: () => boolean,
    full?: CandidateSet,
  ): RouteOptions {
    const preferred = (candidates: readonly MinionCandidate[]) =>
      excludeTried(candidates, tried).filter((candidate) =>
        this.isPreferred(candidate, now, mayProbe),
      );
    const own = this.usable(this.directory.availabilityZone, now);
    // Other zones are considered only if the own zone has no free capacity.
    const local = this.belowLimit(preferred(own), now, full);
    if (local.length > 0) return {kind: 'open', rated: local};
    const others = this.directory
      .otherZones()
      .map((zone) => this.usable(zone, now));
    const usable = [own, ...others];
    if (usable.every((candidates) => candidates.length === 0)) {
      return {kind: 'no-minion'};
    }
    const ranked = [
      ...others.map(preferred),
      ...usable.map((candidates) => excludeTried(candidates, tried)),
      ...usable,
    ];
    for (const candidates of ranked) {
      const rated = this.belowLimit(candidates, now, full);
      if (rated.length > 0) return {kind: 'open', rated};
    }
    return {kind: 'overloaded'};
  }

  attemptStarted(minionId: VmId): void {
    this.inProgress.set(minionId, this.ownInProgress(minionId) + 1);
  }

  attemptEnded(minionId: VmId): void {
    const remaining = this.ownInProgress(minionId) - 1;
    if (remaining > 0) this.inProgress.set(minionId, remaining);
    else this.inProgress.delete(minionId);
  }

  /** Records the outcome of an attempt that took `elapsedMs`. */
  record(
    minionId: VmId,
    outcome: Outcome,
    elapsedMs: number,
    now: Instant,
  ): void {
    this.health.record(minionId, outcome, elapsedMs, now);
  }

  private ownInProgress(minionId: VmId): number {
    return this.inProgress.get(minionId) ?? 0;
  }

  private usable(zone: AvailabilityZone, now: Instant): MinionCandidate[] {
    return this.directory
      .candidates(zone)
      .filter((candidate) => !this.unusableReason(candidate, now));
  }

  private unusableReason(
    {minion, suspect}: MinionCandidate,
    now: Instant,
  ): MinionRule | undefined {
    if (minion.state !== 'live') return 'notLive';
    if (suspect) return 'suspect';
    if (this.homeDispatcher.isClosed(minion.vmId)) return 'queueClosed';
    return this.health.status(minion.vmId, now) === 'paused'
      ? 'paused'
      : undefined;
  }

  /** Includes minions on probation for which `mayProbe` returns true. */
  private isPreferred(
    {minion}: MinionCandidate,
    now: Instant,
    mayProbe: () => boolean,
  ): boolean {
    return this.health.status(minion.vmId, now) === 'good' || mayProbe();
  }

  /** Rates the candidates and keeps those below their queue limit. */
  private belowLimit(
    candidates: readonly MinionCandidate[],
    now: Instant,
    full?: CandidateSet,
  ): readonly RatedCandidate[] {
    return this.rateCandidates(candidates, now).filter(
      ({candidate, length}) => {
        if (length < queueLimit(candidate.minion)) return true;
        full?.add(candidate);
        return false;
      },
    );
  }

  /** `rated` must not be empty. */
  private betterOfTwo(rated: readonly RatedCandidate[]): MinionCandidate {
    const first = rated[this.random.nextBelow(rated.length)];
    if (!first) throw new Error('there is no candidate to choose');
    const others = rated.filter((other) => other !== first);
    const second = others[this.random.nextBelow(others.length)] ?? first;
    return better(first, second).candidate;
  }

  /**
   * Estimates queue lengths. The older a report, the closer the estimate is to
   * the mean of the candidates, so that an outdated low length does not attract
   * the traffic of all daemons.
   */
  private rateCandidates(
    candidates: readonly MinionCandidate[],
    now: Instant,
  ): readonly RatedCandidate[] {
    const lengths = candidates.map((c) => this.knownLength(c));
    const known = lengths.filter((length) => length !== undefined);
    const sum = known.reduce((total, length) => total + length, 0);
    const mean = known.length === 0 ? 0 : sum / known.length;
    return candidates.map((candidate, index) => {
      const weight = this.weightOfReport(candidate, now);
      const length = (lengths[index] ?? mean) * weight + mean * (1 - weight);
      const own = this.ownInProgress(candidate.minion.vmId);
      return {candidate, length: Math.max(length, own)};
    });
  }

  private knownLength(candidate: MinionCandidate): number | undefined {
    if (!this.isHome(candidate)) return candidate.reported?.queued;
    return this.homeDispatcher.queueLength(candidate.minion.vmId) ?? 0;
  }

  private weightOfReport(candidate: MinionCandidate, now: Instant): number {
    if (this.isHome(candidate)) return 1;
    if (!candidate.reported) return 0;
    const ageMs = Math.max(0, now - candidate.reported.at);
    return 0.5 ** (ageMs / REPORT_HALF_LIFE_MS);
  }

  private isHome(candidate: MinionCandidate): boolean {
    return candidate.home.daemonId === this.directory.daemonId;
  }
}

function excludeTried(
  candidates: readonly MinionCandidate[],
  tried: ReadonlySet<VmId>,
): readonly MinionCandidate[] {
  return candidates.filter(({minion}) => !tried.has(minion.vmId));
}

function better(first: RatedCandidate, second: RatedCandidate): RatedCandidate {
  return lengthPerSlot(second) < lengthPerSlot(first) ? second : first;
}

/** Share of the attempts that the router's two draws send to `one`. */
export function shareOf(
  one: RatedCandidate,
  rated: readonly RatedCandidate[],
): number {
  const others = rated.filter((other) => other !== one);
  if (others.length === 0) return 1;
  const wins = others.reduce(
    (sum, other) =>
      sum +
      (better(one, other) === one ? 1 : 0) +
      (better(other, one) === one ? 1 : 0),
    0,
  );
  return wins / (rated.length * others.length);
}

export function lengthPerSlot(rated: RatedCandidate): number {
  return rated.length / rated.candidate.minion.slots;
}

/** Chooses a minion for each attempt and records the attempt's outcome. */
export class RouteFilter extends RequestFilter {
  constructor(private readonly router: MinionRouter) {
    super();
  }

  override async handle(exchange: Exchange, next: Next): Promise<Outcome> {
    const startedAt = exchange.now();
    const choice = this.router.choose(exchange.triedMinions, startedAt);
    if (choice.kind !== 'chosen') {
      return routeRefusal(exchange.requestId, choice.kind);
    }
    const {vmId} = choice.candidate.minion;
    exchange.route(choice.candidate);
    this.router.attemptStarted(vmId);
    try {
      const outcome = await next();
      const now = exchange.now();
      this.router.record(vmId, outcome, now - startedAt, now);
      return outcome;
    } finally {
      this.router.attemptEnded(vmId);
    }
  }
}

export function routeRefusal(
  requestId: RequestId,
  kind: Exclude<RouteChoice['kind'], 'chosen'>,
): NotRun {
  const message =
    kind === 'no-minion'
      ? 'no zone that this daemon can reach has a usable minion'
      : 'all minions are at their limit';
  return notRun(requestId, kind, message, OVERLOAD_RETRY_MS);
}
