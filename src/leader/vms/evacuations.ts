/**
 * The availability zones that operators have evacuated, as one leader knows
 * them. An order that was not seen may concern any zone, so nothing may be
 * started anywhere while this knowledge is too old to keep the bound.
 */

import type {
  EvacuationChange,
  EvacuationOrders,
} from '../../interfaces/evacuation_orders.js';
import type {CleanupScope} from '../../lifecycle/cleanup_scope.js';
import type {SteadyTime} from '../../lifecycle/clock.js';
import type {PauseDetector} from '../../lifecycle/pause_detector.js';
import type {AvailabilityZone} from '../../model/ids.js';
import type {EvacuationStatus} from '../jobs/reports.js';
import type {LeaderLog} from '../leader_log.js';
import {PrefixFollower} from '../prefix_follower.js';

/** Longest time that a start takes to its worker; a call takes at most 0.6 s. */
const START_DELIVERY_MS = 1_000;

/** Longest wait of a poll while nothing changes. */
const POLL_TIMEOUT_MS = 2_000;

export interface EvacuationOptions {
  readonly orders: EvacuationOrders;
  /**
   * No start may be carried out in a zone later than this after its order was
   * acknowledged, in milliseconds.
   */
  readonly boundMs: number;
  readonly pauses?: PauseDetector | undefined;
}

export class EvacuationTable {
  private readonly evacuated = new Set<AvailabilityZone>();
  private readonly follower:
    PrefixFollower<readonly AvailabilityZone[], EvacuationChange> | undefined;
  private readonly maximumAgeMs: number;
  private withheldStarts = 0;

  /** Without options, no zone is ever evacuated, and no call is made. */
  constructor(
    options: EvacuationOptions | undefined,
    scope: CleanupScope,
    private readonly log: LeaderLog,
    private readonly onChange: (zones: ReadonlySet<AvailabilityZone>) => void,
  ) {
    if (options === undefined) {
      this.maximumAgeMs = Infinity;
      return;
    }
    const {orders, boundMs, pauses} = options;
    this.maximumAgeMs = Math.max(boundMs - START_DELIVERY_MS, boundMs / 2);
    this.follower = new PrefixFollower(
      {
        list: async () =>
          (await orders.list()).map(({zones, revision}) => ({
            state: zones,
            revision,
          })),
        watch: (revision, waitMs, signal) =>
          orders.watch(revision, waitMs, signal),
      },
      scope,
      (reason) => log.requestFailed('evacuations', reason),
      {
        waitMs: Math.min(POLL_TIMEOUT_MS, Math.floor(this.maximumAgeMs / 2)),
        pauses,
      },
    );
  }

  get zones(): ReadonlySet<AvailabilityZone> {
    return this.evacuated;
  }

  /** Resolves after the first listing; follows the orders from then on. */
  async start(): Promise<void> {
    await this.follower?.start(
      (zones) => this.replace(zones),
      (changes) => this.apply(changes),
    );
  }

  /** True if every order that binds a start sent now is known. */
  isCurrent(now: SteadyTime): boolean {
    if (this.follower === undefined) return true;
    return this.follower.ageMs(now) <= this.maximumAgeMs;
  }

  /** Returns why a start must not be sent now, and counts it as withheld. */
  withholdStart(zone: AvailabilityZone, now: SteadyTime): string | undefined {
    const isEvacuated = this.evacuated.has(zone);
    if (!isEvacuated && this.isCurrent(now)) return undefined;
    this.withheldStarts += 1;
    return isEvacuated
      ? 'the zone of its worker is evacuated'
      : 'the zone of its worker may have been evacuated';
  }

  /** @param runs Runs that are still on workers of evacuated zones. */
  status(runs: number): EvacuationStatus {
    const {withheldStarts} = this;
    return {zones: [...this.evacuated], runs, withheldStarts};
  }

  private replace(zones: readonly AvailabilityZone[]): void {
    const listed = new Set(zones);
    const removed = [...this.evacuated].filter((zone) => !listed.has(zone));
    this.apply([
      ...removed.map((zone) => ({kind: 'takenBack' as const, zone})),
      ...zones.map((zone) => ({kind: 'ordered' as const, zone})),
    ]);
  }

  private apply(changes: readonly EvacuationChange[]): void {
    for (const {kind, zone} of changes) {
      // A key that is written again changes nothing.
      if (this.evacuated.has(zone) === (kind === 'ordered')) continue;
      if (kind === 'ordered') this.evacuated.add(zone);
      else this.evacuated.delete(zone);
      this.log.evacuationChanged(zone, kind);
    }
    this.onChange(this.evacuated);
  }
}
