/**
 * Follows a key prefix of the store: lists it once, then watches for changes by
 * long polling. If the store no longer has the history since the last known
 * revision, the prefix is listed again so that no change is missed.
 */

import type {Result} from 'true-myth';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {SteadyTime} from '../lifecycle/clock.js';
import {steadyNow} from '../lifecycle/clock.js';
import type {PauseDetector} from '../lifecycle/pause_detector.js';
import type {
  ChangeBatch,
  StoreReadFailure,
} from '../interfaces/coordination_store.js';

/**
 * Bounds how long a dead connection delays a change after the outage has ended.
 * Configuration changes must arrive within 2 s of the end of an outage.
 */
const WATCH_TIMEOUT_MS = 2_000;

const RETRY_INTERVAL_MS = 200;

export interface FollowedSource<State, Change> {
  list(): Promise<Result<{state: State; revision: number}, StoreReadFailure>>;
  watch(
    revision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<ChangeBatch<Change>, StoreReadFailure>>;
}

export interface FollowerOptions {
  /** Longest wait of a poll, in milliseconds; 2 s by default. */
  readonly waitMs?: number;
  /** Absent if nobody relies on the age of the view. */
  readonly pauses?: PauseDetector | undefined;
}

export class PrefixFollower<State, Change> {
  private revision = 0;
  private confirmedAt: SteadyTime | undefined;
  private isFailing = false;
  private pollAbort = new AbortController();
  private readonly waitMs: number;
  private readonly pauses: PauseDetector | undefined;

  constructor(
    private readonly source: FollowedSource<State, Change>,
    private readonly scope: CleanupScope,
    private readonly onFailure: (reason: string) => void,
    {waitMs = WATCH_TIMEOUT_MS, pauses}: FollowerOptions = {},
  ) {
    this.waitMs = waitMs;
    this.pauses = pauses;
    // The poll under way may return long after the pause, or not at all.
    const removeListener = pauses?.onPause(() => this.pollAbort.abort());
    scope.add(() => {
      removeListener?.();
      this.pollAbort.abort();
    });
  }

  /**
   * Age of the cached view: milliseconds since the store last answered, or
   * infinite if this process has paused since.
   */
  ageMs(now: SteadyTime): number {
    if (this.confirmedAt === undefined) return Infinity;
    if (this.pauses?.hasPausedSince(this.confirmedAt, now) === true) {
      return Infinity;
    }
    return now - this.confirmedAt;
  }

  /** Resolves after the first listing; watches until the scope is closed. */
  async start(
    onListing: (state: State) => void,
    onChanges: (changes: readonly Change[]) => void,
  ): Promise<void> {
    await this.listUntilAnswered(onListing);
    void this.follow(onListing, onChanges);
  }

  private async listUntilAnswered(
    onListing: (state: State) => void,
  ): Promise<void> {
    while (!this.scope.closed) {
      const sentAt = steadyNow();
      const listed = await this.source.list();
      if (this.scope.closed) return;
      if (listed.isOk) {
        this.revision = listed.value.revision;
        this.recordSuccess(sentAt);
        onListing(listed.value.state);
        return;
      }
      this.recordFailure(listed.error.message);
      await this.scope.sleep(RETRY_INTERVAL_MS);
    }
  }

  private async follow(
    onListing: (state: State) => void,
    onChanges: (changes: readonly Change[]) => void,
  ): Promise<void> {
    while (!this.scope.closed) {
      const sentAt = steadyNow();
      this.pollAbort = new AbortController();
      // After a failure or a pause, a poll that returns immediately confirms
      // sooner than a long poll that the cached view is current again.
      const isConfirmed = this.ageMs(sentAt) < Infinity && !this.isFailing;
      const answer = await this.source.watch(
        this.revision,
        isConfirmed ? this.waitMs : 0,
        this.pollAbort.signal,
      );
      if (this.scope.closed) return;
      if (answer.isErr) {
        // A poll that was aborted after a pause is repeated at once.
        if (this.pollAbort.signal.aborted) continue;
        this.recordFailure(answer.error.message);
        await this.scope.sleep(RETRY_INTERVAL_MS);
        // The same poll would be answered with the same events.
        if (answer.error.kind === 'protocol') {
          await this.listUntilAnswered(onListing);
        }
      } else if (answer.value.kind === 'historyLost') {
        await this.listUntilAnswered(onListing);
      } else {
        this.revision = answer.value.revision;
        this.recordPoll(sentAt);
        if (answer.value.changes.length > 0) onChanges(answer.value.changes);
      }
    }
  }

  /**
   * The answer reflects the state at the end of the poll, unless it waited to
   * be read while this process paused.
   */
  private recordPoll(sentAt: SteadyTime): void {
    const now = steadyNow();
    const mayBeOld = this.pauses?.hasPausedSince(sentAt, now) === true;
    this.recordSuccess(mayBeOld ? sentAt : now);
  }

  private recordSuccess(asOf: SteadyTime): void {
    this.isFailing = false;
    this.confirmedAt = asOf;
  }

  private recordFailure(reason: string): void {
    if (!this.isFailing) this.onFailure(reason);
    this.isFailing = true;
  }
}
