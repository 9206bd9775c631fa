/**
 * Faults of a soak, drawn from its seed. They come in series and overlap;
 * each ends by itself, and `heal` ends all that are left.
 */

import type {HttpPlatform} from '../emulator/http_platform.js';
import type {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import type {RandomSource} from '../src/lifecycle/random.js';
import type {VmId} from '../src/model/ids.js';
import {linkFaultsSchema} from '../src/standins/fault_link.js';
import type {FaultLink, LinkFaults} from '../src/standins/fault_link.js';
import type {DaemonProcess} from './daemon_process.js';

const SHORTEST_GAP_MS = 200;
const LONGEST_GAP_MS = 1_500;
const SHORTEST_FAULT_MS = 300;
const LONGEST_FAULT_MS = 4_000;

const NO_LINK_FAULTS = linkFaultsSchema.parse({});

export interface SoakTargets {
  readonly platform: HttpPlatform;
  readonly daemons: readonly DaemonProcess[];
  readonly workerLinks: ReadonlyMap<VmId, FaultLink>;
  /** Writes a further version of the configuration. */
  readonly configure: () => void;
}

type Fault = (durationMs: number) => Promise<void> | void;

export class FaultPlayer {
  /** Names of the faults that were played, in order. */
  readonly played: string[] = [];
  private readonly faults: ReadonlyArray<readonly [string, Fault]>;
  private isClosing = false;

  constructor(
    private readonly targets: SoakTargets,
    private readonly random: RandomSource,
    private readonly scope: CleanupScope,
  ) {
    this.faults = [
      ['kill', (ms) => this.daemon().restart('SIGKILL', ms / 4)],
      ['stop', (ms) => this.daemon().restart('SIGTERM', ms / 4)],
      ['pause', (ms) => this.daemon().pause(ms)],
      ['reload', () => this.daemon().reload()],
      ['kill all', () => this.killAll()],
      ['store link', (ms) => this.onLink(this.daemon().storeLink, ms)],
      ['caller link', (ms) => this.onLink(this.daemon().callerLink, ms)],
      ['worker link', (ms) => this.onLink(this.workerLink(), ms)],
      ['store refuses one', (ms) => this.refuse([this.daemon()], ms)],
      ['store refuses all', (ms) => this.refuse(targets.daemons, ms)],
      ['store is slow', (ms) => this.slow(ms)],
      ['store loses answers', (ms) => this.loseAnswers(ms)],
      ['store drops history', () => this.store.dropHistory()],
      ['worker restarts', () => this.restartWorker()],
      ['worker fails all', (ms) => this.onWorker('failsAll', ms)],
      ['worker hangs', (ms) => this.onWorker('hangs', ms)],
      ['maintenance', () => this.requestMaintenance()],
      ['configuration', () => targets.configure()],
    ];
  }

  private get store() {
    return this.targets.platform.site.store;
  }

  async play(): Promise<void> {
    while (!this.isClosing && !this.scope.closed) {
      await this.scope.sleep(this.between(SHORTEST_GAP_MS, LONGEST_GAP_MS));
      const chosen = this.faults[this.random.nextBelow(this.faults.length)];
      if (chosen === undefined || this.isClosing) continue;
      const [name, fault] = chosen;
      this.played.push(name);
      void this.run(name, fault);
    }
  }

  /** A process that does not start again is a finding, not an error here. */
  private async run(name: string, fault: Fault): Promise<void> {
    try {
      await fault(this.between(SHORTEST_FAULT_MS, LONGEST_FAULT_MS));
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      const {violations} = this.targets.platform.site.ledger;
      violations.push(`FAULT: after "${name}": ${detail}`);
    }
  }

  /** Ends all faults; processes that are down start by themselves. */
  async heal(): Promise<void> {
    this.isClosing = true;
    await this.scope.sleep(LONGEST_FAULT_MS);
    const {daemons, workerLinks} = this.targets;
    for (const link of workerLinks.values()) link.faults = NO_LINK_FAULTS;
    for (const daemon of daemons) {
      daemon.storeLink.faults = NO_LINK_FAULTS;
      daemon.callerLink.faults = NO_LINK_FAULTS;
      Object.assign(daemon.store.faults, {
        status: undefined,
        isSilent: false,
        slowMs: 0,
        loseAnswers: 0,
      });
    }
  }

  private between(least: number, most: number): number {
    return least + this.random.next() * (most - least);
  }

  private daemon(): DaemonProcess {
    return this.pick(this.targets.daemons);
  }

  private workerLink(): FaultLink {
    return this.pick([...this.targets.workerLinks.values()]);
  }

  private pick<T>(choices: readonly T[]): T {
    const chosen = choices[this.random.nextBelow(choices.length)];
    if (chosen === undefined) throw new Error('there is nothing to choose');
    return chosen;
  }

  private async killAll(): Promise<void> {
    await Promise.all(
      this.targets.daemons.map((daemon) =>
        daemon.restart('SIGKILL', SHORTEST_FAULT_MS),
      ),
    );
  }

  private async onLink(link: FaultLink, durationMs: number): Promise<void> {
    const choices: ReadonlyArray<Partial<LinkFaults>> = [
      {cut: true},
      {freeze: 'both'},
      {freeze: 'to-target'},
      {freeze: 'to-client'},
      {freeze: 'both', frozenForGood: false},
      {delayMs: this.between(50, 500)},
    ];
    link.faults = linkFaultsSchema.parse(this.pick(choices));
    await this.scope.sleep(durationMs);
    link.faults = NO_LINK_FAULTS;
  }

  private async refuse(
    daemons: readonly DaemonProcess[],
    durationMs: number,
  ): Promise<void> {
    const how = this.pick(['429', '503', 'silent'] as const);
    for (const {store} of daemons) {
      if (how === 'silent') store.faults.isSilent = true;
      else store.faults.status = how === '429' ? 429 : 503;
    }
    await this.scope.sleep(durationMs);
    for (const {store} of daemons) {
      store.faults.status = undefined;
      store.faults.isSilent = false;
    }
  }

  private async slow(durationMs: number): Promise<void> {
    const slowMs = this.between(50, 250);
    for (const {store} of this.targets.daemons) store.faults.slowMs = slowMs;
    await this.scope.sleep(durationMs);
    for (const {store} of this.targets.daemons) store.faults.slowMs = 0;
  }

  private async loseAnswers(durationMs: number): Promise<void> {
    const lateMs = this.between(0, 3_000);
    for (const {store} of this.targets.daemons) {
      store.faults.loseAnswers = 0.3;
      store.faults.lateMs = lateMs;
    }
    await this.scope.sleep(durationMs);
    for (const {store} of this.targets.daemons) store.faults.loseAnswers = 0;
  }

  private restartWorker(): void {
    const {site} = this.targets.platform;
    site.restart(this.pick([...site.workers.keys()]));
  }

  private async onWorker(
    fault: 'failsAll' | 'hangs',
    durationMs: number,
  ): Promise<void> {
    const {site} = this.targets.platform;
    const {faults} = this.pick([...site.workers.values()]);
    faults[fault] = true;
    await this.scope.sleep(durationMs);
    faults[fault] = false;
  }

  private waves = 0;

  private requestMaintenance(): void {
    const {vms} = this.targets.platform.site;
    this.waves += 1;
    const vmIds = vms.list().map(({vmId}) => vmId);
    vms.request({
      waveId: this.waves,
      vmIds: vmIds.filter(() => this.random.next() < 0.4),
      durationMs: 5_000,
      maximumDown: 1,
    });
  }
}
