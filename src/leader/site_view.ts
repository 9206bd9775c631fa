/**
 * A daemon's cached view of the site: the leader and the member daemons, read
 * from the store. A record can name a VM that no longer exists; calls to it
 * fail.
 */

import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {SteadyTime} from '../lifecycle/clock.js';
import type {PauseDetector} from '../lifecycle/pause_detector.js';
import type {ComponentLog} from '../daemon/log.js';
import {eventKey, watchChanges} from '../interfaces/coordination_store.js';
import type {
  CoordinationStore,
  StoreEvent,
} from '../interfaces/coordination_store.js';
import {PrefixFollower} from './prefix_follower.js';
import type {LeaderRecord} from './jobs/records.js';
import {
  LEADER_KEY,
  MEMBER_PREFIX,
  SITE_PREFIX,
  decodeRecord,
  leaderSchema,
  memberSchema,
} from './jobs/records.js';

export class SiteView {
  private leaderRecord: LeaderRecord | undefined;
  private readonly members = new Map<string, string>();
  private readonly listeners: Array<() => void> = [];
  private readonly follower: PrefixFollower<readonly StoreEvent[], StoreEvent>;

  constructor(
    store: CoordinationStore,
    scope: CleanupScope,
    private readonly log: ComponentLog,
    pauses?: PauseDetector,
  ) {
    this.follower = new PrefixFollower(
      {
        list: async () =>
          (await store.list(SITE_PREFIX, true)).map(({items, revision}) => ({
            state: items.map((item) => ({kind: 'written' as const, item})),
            revision,
          })),
        watch: (revision, waitMs, signal) =>
          watchChanges(
            store,
            SITE_PREFIX,
            revision,
            waitMs,
            signal,
            (event) => [event],
          ),
      },
      scope,
      (reason) =>
        log.warn(`cannot watch the site records in the store: ${reason}`),
      {pauses},
    );
  }

  async start(): Promise<void> {
    await this.follower.start(
      (items) => {
        this.leaderRecord = undefined;
        this.members.clear();
        this.apply(items);
      },
      (events) => this.apply(events),
    );
  }

  get leader(): LeaderRecord | undefined {
    return this.leaderRecord;
  }

  /** Milliseconds since the store last confirmed the view. */
  ageMs(now: SteadyTime): number {
    return this.follower.ageMs(now);
  }

  /** Peer addresses of all members except `ownAddress`. */
  memberAddresses(ownAddress: string): string[] {
    return [...this.members.values()].filter(
      (address) => address !== ownAddress,
    );
  }

  /** Calls the listener after each listing or batch of changes. */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  private apply(events: readonly StoreEvent[]): void {
    for (const event of events) {
      const key = eventKey(event);
      const value = event.kind === 'written' ? event.item.value : undefined;
      if (key === LEADER_KEY) this.applyLeader(value);
      else if (key.startsWith(MEMBER_PREFIX)) this.applyMember(key, value);
    }
    for (const listener of this.listeners) listener();
  }

  private applyLeader(value: string | undefined): void {
    this.leaderRecord = undefined;
    if (value === undefined) return;
    const decoded = decodeRecord(LEADER_KEY, value, leaderSchema);
    if (decoded.isErr) {
      this.log.error(decoded.error.message);
      return;
    }
    this.leaderRecord = decoded.value;
  }

  private applyMember(key: string, value: string | undefined): void {
    if (value === undefined) {
      this.members.delete(key);
      return;
    }
    const decoded = decodeRecord(key, value, memberSchema);
    if (decoded.isOk) this.members.set(key, decoded.value.address);
    else this.log.error(decoded.error.message);
  }
}
