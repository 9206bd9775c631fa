/**
 * Chooses the minion for an attempt: of two random minions the one with the
 * shorter queue per slot. Minions of other zones are chosen only if the
 * daemon's own zone has no suitable minion below its queue limit.
 */

import type {RandomSource} from '../lifecycle/random.js';
import type {AvailabilityZone, Instant, VmId} from '../model/ids.js';
import type {Outcome} from '../model/requests.js';
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
interface RatedCandidate {
  readonly candidate: MinionCandidate;
  readonly length: number;
}

export type RouteChoice =
  | {readonly kind: 'chosen'; readonly candidate: MinionCandidate}
  | {readonly kind: 'no-minion'}
  | {readonly kind: 'overloaded'};

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
    const own = this.usable(this.directory.availabilityZone, now);
    // Other zones are considered only if the own zone has no free capacity.
    const local = this.betterOfTwo(this.preferred(own, tried, now), now);
    if (local) return {kind: 'chosen', candidate: local};
    const others = this.directory
      .otherZones()
      .map((zone) => this.usable(zone, now));
    const usable = [own, ...others];
    if (usable.every((candidates) => candidates.length === 0)) {
      return {kind: 'no-minion'};
    }
    const ranked = [
      ...others.map((candidates) => this.preferred(candidates, tried, now)),
      ...usable.map((candidates) => excludeTried(candidates, tried)),
      ...usable,
    ];
    for (const candidates of ranked) {
      const candidate = this.betterOfTwo(candidates, now);
      if (candidate) return {kind: 'chosen', candidate};
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
      .filter(
        ({minion, suspect}) =>
          minion.state === 'live' &&
          !suspect &&
          !this.homeDispatcher.isClosed(minion.vmId) &&
          this.health.status(minion.vmId, now) !== 'paused',
      );
  }

  /** Untried minions; includes those on probation with a small probability. */
  private preferred(
    candidates: readonly MinionCandidate[],
    tried: ReadonlySet<VmId>,
    now: Instant,
  ): MinionCandidate[] {
    return excludeTried(candidates, tried).filter(
      ({minion}) =>
        this.health.status(minion.vmId, now) === 'good' ||
        this.random.next() < PROBATION_SHARE,
    );
  }

  /** Undefined if no candidate is below its queue limit. */
  private betterOfTwo(
    candidates: readonly MinionCandidate[],
    now: Instant,
  ): MinionCandidate | undefined {
    const rated = this.rateCandidates(candidates, now).filter(
      ({candidate, length}) => length < queueLimit(candidate.minion),
    );
    const first = rated[this.random.nextBelow(rated.length)];
    if (!first) return undefined;
    const others = rated.filter((other) => other !== first);
    const second = others[this.random.nextBelow(others.length)] ?? first;
    const better =
      lengthPerSlot(second) < lengthPerSlot(first) ? second : first;
    return better.candidate;
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

function lengthPerSlot(rated: RatedCandidate): number {
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
    if (choice.kind === 'no-minion') {
      return notRun(
        exchange.requestId,
        'no-minion',
        'no zone that this daemon can reach has a usable minion',
        OVERLOAD_RETRY_MS,
      );
    }
    if (choice.kind === 'overloaded') {
      return notRun(
        exchange.requestId,
        'overloaded',
        'all minions are at their limit',
        OVERLOAD_RETRY_MS,
      );
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
