/**
 * Takeovers during a soak, several in a row: the daemon that leads is killed,
 * and workers crash while nobody leads and after the next leader is elected.
 */

import type {HttpPlatform} from '../emulator/http_platform.js';
import {LEADER_KEY, leaderSchema} from '../src/leader/jobs/records.js';
import type {LeaderRecord} from '../src/leader/jobs/records.js';
import type {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import type {RandomSource} from '../src/lifecycle/random.js';
import type {VmId} from '../src/model/ids.js';
import type {DaemonProcess} from './daemon_process.js';
import {FaultSeries} from './fault_series.js';
import type {SeriesOptions} from './fault_series.js';

const OPTIONS: SeriesOptions = {
  rounds: [3, 4],
  gapMs: [1_500, 3_500],
  pauseMs: [0, 0],
};
const DOWN_MS = [0, 1_000] as const;

/** A crash follows the kill or the election within this time. */
const CRASH_DELAY_MS = [0, 1_500] as const;

/** Share of the crashes that do not wait for the next leader. */
const LEADERLESS_SHARE = 0.5;

/** Other faults may delay an election beyond this time. */
const ELECTION_LIMIT_MS = 6_000;
const POLL_INTERVAL_MS = 10;

export class TakeoverSeries extends FaultSeries {
  constructor(
    platform: HttpPlatform,
    private readonly daemons: readonly DaemonProcess[],
    random: RandomSource,
    scope: CleanupScope,
  ) {
    super(platform, random, scope, OPTIONS);
  }

  protected override async playRound(): Promise<void> {
    const former = await this.waitForLeader(() => true);
    const leader = this.daemons.find(({name}) => name === former?.vmId);
    if (former === undefined || leader === undefined) return;
    const election = this.waitForLeader(({term}) => term > former.term);
    await Promise.all([
      leader.restart('SIGKILL', this.between(DOWN_MS)),
      ...this.randomVms().map((vmId) => this.crashAround(election, vmId)),
    ]);
  }

  private async crashAround(
    election: Promise<unknown>,
    vmId: VmId,
  ): Promise<void> {
    const delayMs = this.between(CRASH_DELAY_MS);
    if (this.random.next() >= LEADERLESS_SHARE) await election;
    await this.scope.sleep(delayMs);
    this.crash(vmId);
  }

  /** Returns nothing if no such leader is elected in time. */
  private async waitForLeader(
    isExpected: (leader: LeaderRecord) => boolean,
  ): Promise<LeaderRecord | undefined> {
    const deadline = Date.now() + ELECTION_LIMIT_MS;
    while (Date.now() < deadline && !this.isOver) {
      const item = this.platform.site.store.get(LEADER_KEY);
      const leader =
        item === undefined
          ? undefined
          : leaderSchema.parse(JSON.parse(item.value));
      if (leader !== undefined && isExpected(leader)) return leader;
      await this.scope.sleep(POLL_INTERVAL_MS);
    }
    return undefined;
  }
}
