/**
 * Faults that come several rounds in a row during a soak. Rounds that affect
 * workers choose a random share of them and crash some.
 */

import type {HttpPlatform} from '../emulator/http_platform.js';
import type {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import type {RandomSource} from '../src/lifecycle/random.js';
import type {VmId} from '../src/model/ids.js';
import {between} from './random_choice.js';
import type {Bounds} from './random_choice.js';

/** Bounds of the share of workers that a fault of one round affects. */
const SHARES = [0.2, 0.8] as const;

/** Share of the crashes after which the worker keeps its id. */
const KEPT_ID_SHARE = 0.5;

export interface SeriesOptions {
  readonly rounds: Bounds;
  /** Time between two rounds. */
  readonly gapMs: Bounds;
  /** Time between two series if they are repeated. */
  readonly pauseMs: Bounds;
}

export abstract class FaultSeries {
  private isStopping = false;

  constructor(
    protected readonly platform: HttpPlatform,
    protected readonly random: RandomSource,
    protected readonly scope: CleanupScope,
    private readonly options: SeriesOptions,
  ) {}

  protected get isOver(): boolean {
    return this.isStopping || this.scope.closed;
  }

  async play(): Promise<void> {
    const {rounds, gapMs} = this.options;
    const count = Math.round(this.between(rounds));
    for (let round = 0; round < count && !this.isOver; round += 1) {
      await this.playRound();
      await this.scope.sleep(this.between(gapMs));
    }
  }

  async playUntilStopped(): Promise<void> {
    while (!this.isOver) {
      await this.play();
      await this.scope.sleep(this.between(this.options.pauseMs));
    }
  }

  stop(): void {
    this.isStopping = true;
  }

  protected abstract playRound(): Promise<void>;

  /** Chooses each VM with the same random probability. */
  protected randomVms(): VmId[] {
    const share = this.between(SHARES);
    return this.platform.site.vms
      .list()
      .filter(() => this.random.next() < share)
      .map(({vmId}) => vmId);
  }

  /** The worker on the VM crashes; its successor may have the same id. */
  protected crash(vmId: VmId): void {
    const keepsId = this.random.next() < KEPT_ID_SHARE;
    const {site} = this.platform;
    const worker = site.workerOn(vmId);
    if (this.isOver || worker === undefined) return;
    if (keepsId) site.restart(worker.entry.workerId);
    else site.vms.crash(vmId);
  }

  protected between(bounds: Bounds): number {
    return between(this.random, bounds);
  }
}
