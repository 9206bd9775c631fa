/**
 * Takeovers during a soak, several in a row: the daemon that leads is killed,
 * and workers crash while nobody leads and after the next leader is elected.
 */

import type {HttpPlatform} from '../emulator/http_platform.js';
import {LEADER_KEY, leaderSchema} from '../src/leader/records.js';
import type {LeaderRecord} from '../src/leader/records.js';
import type {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import type {RandomSource} from '../src/lifecycle/random.js';
import type {VmId} from '../src/model/ids.js';
import type {DaemonProcess} from './daemon_process.js';

const MINIMUM_ROUNDS = 3;
const MAXIMUM_ROUNDS = 4;
const MINIMUM_GAP_MS = 1_500;
const MAXIMUM_GAP_MS = 3_500;
const MAXIMUM_DOWN_MS = 1_000;
const MINIMUM_CRASH_SHARE = 0.2;
const MAXIMUM_CRASH_SHARE = 0.8;

/** A crash follows the kill or the election within this time. */
const MAXIMUM_CRASH_DELAY_MS = 1_500;

/** Share of the crashes that do not wait for the next leader. */
const LEADERLESS_SHARE = 0.5;

/** Share of the crashes after which the worker keeps its id. */
const KEPT_ID_SHARE = 0.5;

/** Other faults may delay an election beyond this time. */
const ELECTION_LIMIT_MS = 6_000;
const POLL_INTERVAL_MS = 10;

export class TakeoverSeries {
  private isStopping = false;

  constructor(
    private readonly platform: HttpPlatform,
    private readonly daemons: readonly DaemonProcess[],
    private readonly random: RandomSource,
    private readonly scope: CleanupScope,
  ) {}

  private get isOver(): boolean {
    return this.isStopping || this.scope.closed;
  }

  async play(): Promise<void> {
    const rounds =
      MINIMUM_ROUNDS +
      this.random.nextBelow(MAXIMUM_ROUNDS - MINIMUM_ROUNDS + 1);
    for (let round = 0; round < rounds && !this.isOver; round += 1) {
      await this.replaceLeader();
      await this.scope.sleep(this.between(MINIMUM_GAP_MS, MAXIMUM_GAP_MS));
    }
  }

  async playUntilStopped(): Promise<void> {
    while (!this.isOver) await this.play();
  }

  stop(): void {
    this.isStopping = true;
  }

  private async replaceLeader(): Promise<void> {
    const former = await this.waitForLeader(() => true);
    const leader = this.daemons.find(({name}) => name === former?.vmId);
    if (former === undefined || leader === undefined) return;
    const share = this.between(MINIMUM_CRASH_SHARE, MAXIMUM_CRASH_SHARE);
    const {vms} = this.platform.site;
    const crashing = vms.list().filter(() => this.random.next() < share);
    const election = this.waitForLeader(({term}) => term > former.term);
    await Promise.all([
      leader.restart('SIGKILL', this.between(0, MAXIMUM_DOWN_MS)),
      ...crashing.map(({vmId}) => this.crashAround(election, vmId)),
    ]);
  }

  private async crashAround(
    election: Promise<unknown>,
    vmId: VmId,
  ): Promise<void> {
    const delayMs = this.between(0, MAXIMUM_CRASH_DELAY_MS);
    const keepsId = this.random.next() < KEPT_ID_SHARE;
    if (this.random.next() >= LEADERLESS_SHARE) await election;
    await this.scope.sleep(delayMs);
    if (this.isOver) return;
    const {site} = this.platform;
    const worker = site.workerOn(vmId);
    if (worker === undefined) return;
    if (keepsId) site.restart(worker.entry.workerId);
    else site.vms.crash(vmId);
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

  private between(minimum: number, maximum: number): number {
    return minimum + this.random.next() * (maximum - minimum);
  }
}
