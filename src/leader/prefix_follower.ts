/**
 * Follows part of the store: lists it, then watches for changes. After lost
 * history it lists again, so that no change is missed.
 */

import type {Result} from 'true-myth';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {SteadyTime} from '../lifecycle/clock.js';
import {steadyNow} from '../lifecycle/clock.js';
import type {
  ChangeBatch,
  StoreReadFailure,
} from '../parties/coordination_store.js';

/**
 * A poll ends this soon, so that a connection that went silent delays a change
 * by less than the bound for the configuration (2 s) beyond the loss.
 */
const WATCH_WAIT_MS = 2_000;

const RETRY_MS = 200;

export interface FollowedSource<State, Change> {
  list(): Promise<Result<{state: State; revision: number}, StoreReadFailure>>;
  watch(
    revision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<ChangeBatch<Change>, StoreReadFailure>>;
}

export class PrefixFollower<State, Change> {
  private revision = 0;
  private confirmedAt: SteadyTime | undefined;
  private isFailing = false;

  constructor(
    private readonly source: FollowedSource<State, Change>,
    private readonly scope: CleanupScope,
    private readonly onFailure: (reason: string) => void,
    private readonly waitMs = WATCH_WAIT_MS,
  ) {}

  /** Age of what is known: the time since the store last answered. */
  ageMs(now: SteadyTime): number {
    return this.confirmedAt === undefined ? Infinity : now - this.confirmedAt;
  }

  /** Resolves after the first listing; changes follow until the scope ends. */
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
        this.answered(sentAt);
        onListing(listed.value.state);
        return;
      }
      this.failed(listed.error.message);
      await this.scope.sleep(RETRY_MS);
    }
  }

  private async follow(
    onListing: (state: State) => void,
    onChanges: (changes: readonly Change[]) => void,
  ): Promise<void> {
    while (!this.scope.closed) {
      // After a failure an answer at once tells more than one that waits for
      // a change: what is known is current again.
      const waitMs = this.isFailing ? 0 : this.waitMs;
      const answer = await this.source.watch(
        this.revision,
        waitMs,
        this.scope.signal,
      );
      if (this.scope.closed) return;
      if (answer.isErr) {
        this.failed(answer.error.message);
        await this.scope.sleep(RETRY_MS);
      } else if (answer.value.kind === 'historyLost') {
        await this.listUntilAnswered(onListing);
      } else {
        this.revision = answer.value.revision;
        // A poll answers with the state at its end, not at its start.
        this.answered(steadyNow());
        if (answer.value.changes.length > 0) onChanges(answer.value.changes);
      }
    }
  }

  private answered(asOf: SteadyTime): void {
    this.isFailing = false;
    this.confirmedAt = asOf;
  }

  private failed(reason: string): void {
    if (!this.isFailing) this.onFailure(reason);
    this.isFailing = true;
  }
}
