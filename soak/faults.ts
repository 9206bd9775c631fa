/**
 * Injects faults during a soak, chosen from its seed. Faults start at random
 * intervals and can overlap; each ends by itself, and `stopAndClear` ends those
 * that remain.
 */

import type {HttpPlatform} from '../emulator/http_platform.js';
import {oddWorkerEntries} from '../emulator/odd_workers.js';
import type {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import type {RandomSource} from '../src/lifecycle/random.js';
import type {VmId} from '../src/model/ids.js';
import {linkFaultsSchema} from '../src/standins/fault_link.js';
import type {FaultLink, LinkFaults} from '../src/standins/fault_link.js';
import {CrowdSeries} from './crowd_series.js';
import {CutSeries} from './cut_series.js';
import type {DaemonProcess} from './daemon_process.js';
import type {FaultSeries} from './fault_series.js';
import {between, pick} from './random_choice.js';
import {TakeoverSeries} from './takeover_series.js';

const GAP_MS = [200, 1_500] as const;
const MINIMUM_FAULT_MS = 300;
const MAXIMUM_FAULT_MS = 4_000;
const FAULT_MS = [MINIMUM_FAULT_MS, MAXIMUM_FAULT_MS] as const;

/** The platform carries out a write without an answer up to this much later. */
const MAXIMUM_LATE_WRITE_MS = 6_000;

/** Documented bound for starts in a zone after its evacuation. */
export const EVACUATION_BOUND_MS = 5_000;

const NO_LINK_FAULTS = linkFaultsSchema.parse({});

export interface SoakTargets {
  readonly platform: HttpPlatform;
  readonly daemons: readonly DaemonProcess[];
  readonly workerLinks: ReadonlyMap<VmId, FaultLink>;
  /** Writes the next version of the configuration. */
  readonly configure: () => void;
}

/** Series of faults that can be repeated throughout a soak. */
export type SeriesName = 'takeovers' | 'cuts' | 'crowds';

type Fault = (durationMs: number) => Promise<void> | void;

export class FaultInjector {
  /** Names of the injected faults, in order. */
  readonly injected: string[] = [];
  private readonly faults: ReadonlyArray<readonly [string, Fault]>;
  private readonly series: Readonly<Record<SeriesName, FaultSeries>>;
  private isStopping = false;

  constructor(
    private readonly targets: SoakTargets,
    private readonly random: RandomSource,
    private readonly scope: CleanupScope,
  ) {
    const {platform, daemons, workerLinks} = targets;
    this.series = {
      takeovers: new TakeoverSeries(platform, daemons, random, scope),
      cuts: new CutSeries(platform, workerLinks, random, scope),
      crowds: new CrowdSeries(platform, daemons, random, scope),
    };
    this.faults = [
      ['kill', (ms) => this.randomDaemon().restart('SIGKILL', ms / 4)],
      ['stop', (ms) => this.randomDaemon().restart('SIGTERM', ms / 4)],
      ['pause', (ms) => this.randomDaemon().pause(ms)],
      ['reload', () => this.randomDaemon().reload()],
      ['kill all', () => this.killAll()],
      ['takeovers', () => this.series.takeovers.play()],
      ['cuts', () => this.series.cuts.play()],
      [
        'store link',
        (ms) => this.injectLinkFault(this.randomDaemon().storeLink, ms),
      ],
      [
        'caller link',
        (ms) => this.injectLinkFault(this.randomDaemon().callerLink, ms),
      ],
      [
        'worker link',
        (ms) => this.injectLinkFault(this.randomWorkerLink(), ms),
      ],
      [
        'store refuses one',
        (ms) => this.makeStoreFail([this.randomDaemon()], ms),
      ],
      ['store refuses all', (ms) => this.makeStoreFail(targets.daemons, ms)],
      ['store is slow', (ms) => this.slowDownStore(ms)],
      ['store loses answers', (ms) => this.loseStoreAnswers(ms)],
      ['store drops history', () => this.store.dropHistory()],
      ['worker restarts', () => this.restartWorker()],
      ['worker crashes', () => this.crashWorker()],
      ['workers crash in turn', (ms) => this.crashWorkersInTurn(ms)],
      ['odd worker entry', () => this.addOddEntry()],
      ['capacity shrinks', (ms) => this.reduceCapacity(ms)],
      ['worker fails all', (ms) => this.injectWorkerFault('failsAll', ms)],
      ['rack fails all', (ms) => this.makeRackFail(ms)],
      ['worker hangs', (ms) => this.injectWorkerFault('hangs', ms)],
      ['maintenance', () => this.requestMaintenance()],
      ['evacuation', (ms) => this.evacuateZone(ms)],
      ['configuration', () => targets.configure()],
    ];
  }

  private get store() {
    return this.targets.platform.site.store;
  }

  async injectUntilStopped(): Promise<void> {
    while (!this.isStopping && !this.scope.closed) {
      await this.scope.sleep(between(this.random, GAP_MS));
      const chosen = this.faults[this.random.nextBelow(this.faults.length)];
      if (chosen === undefined || this.isStopping) continue;
      const [name, fault] = chosen;
      this.injected.push(name);
      void this.inject(name, fault);
    }
  }

  /** Repeats a series beside the other faults. */
  repeatSeries(series: SeriesName): Promise<void> {
    const name = `repeated ${series}`;
    this.injected.push(name);
    return this.inject(name, () => this.series[series].playUntilStopped());
  }

  /** A process that fails to restart is reported as a violation. */
  private async inject(name: string, fault: Fault): Promise<void> {
    try {
      await fault(between(this.random, FAULT_MS));
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      const {violations} = this.targets.platform.site.ledger;
      violations.push(`FAULT: "${name}" failed: ${detail}`);
    }
  }

  /** Ends all faults; processes that are down restart by themselves. */
  async stopAndClear(): Promise<void> {
    this.isStopping = true;
    for (const series of Object.values(this.series)) series.stop();
    await this.scope.sleep(MAXIMUM_FAULT_MS);
    const {daemons, workerLinks, platform} = this.targets;
    const {zones} = platform.site;
    for (const zone of zones.names) zones.takeBack(zone);
    for (const link of workerLinks.values()) link.faults = NO_LINK_FAULTS;
    for (const daemon of daemons) {
      daemon.storeLink.faults = NO_LINK_FAULTS;
      daemon.callerLink.faults = NO_LINK_FAULTS;
      Object.assign(daemon.store.faults, {
        status: undefined,
        isUnresponsive: false,
        slowMs: 0,
        lostAnswers: 0,
      });
    }
  }

  private randomDaemon(): DaemonProcess {
    return pick(this.random, this.targets.daemons);
  }

  private randomWorkerLink(): FaultLink {
    return pick(this.random, [...this.targets.workerLinks.values()]);
  }

  private async killAll(): Promise<void> {
    await Promise.all(
      this.targets.daemons.map((daemon) =>
        daemon.restart('SIGKILL', MINIMUM_FAULT_MS),
      ),
    );
  }

  private async injectLinkFault(
    link: FaultLink,
    durationMs: number,
  ): Promise<void> {
    const choices: ReadonlyArray<Partial<LinkFaults>> = [
      {cut: true},
      {freeze: 'both'},
      {freeze: 'to-target'},
      {freeze: 'to-client'},
      {freeze: 'both', frozenForGood: false},
      {delayMs: between(this.random, [50, 500])},
    ];
    link.faults = linkFaultsSchema.parse(pick(this.random, choices));
    await this.scope.sleep(durationMs);
    link.faults = NO_LINK_FAULTS;
  }

  private async makeStoreFail(
    daemons: readonly DaemonProcess[],
    durationMs: number,
  ): Promise<void> {
    const failure = pick(this.random, ['429', '503', 'silent'] as const);
    for (const {store} of daemons) {
      if (failure === 'silent') store.faults.isUnresponsive = true;
      else store.faults.status = failure === '429' ? 429 : 503;
    }
    await this.scope.sleep(durationMs);
    for (const {store} of daemons) {
      store.faults.status = undefined;
      store.faults.isUnresponsive = false;
    }
  }

  private async slowDownStore(durationMs: number): Promise<void> {
    const slowMs = between(this.random, [50, 250]);
    for (const {store} of this.targets.daemons) store.faults.slowMs = slowMs;
    await this.scope.sleep(durationMs);
    for (const {store} of this.targets.daemons) store.faults.slowMs = 0;
  }

  private async loseStoreAnswers(durationMs: number): Promise<void> {
    const lateMs = between(this.random, [0, MAXIMUM_LATE_WRITE_MS]);
    for (const {store} of this.targets.daemons) {
      store.faults.lostAnswers = 0.3;
      store.faults.lateMs = lateMs;
    }
    await this.scope.sleep(durationMs);
    for (const {store} of this.targets.daemons) store.faults.lostAnswers = 0;
  }

  private restartWorker(): void {
    const {site} = this.targets.platform;
    site.restart(pick(this.random, [...site.workers.keys()]));
  }

  private crashWorker(): void {
    const {vms} = this.targets.platform.site;
    vms.crash(pick(this.random, vms.list()).vmId);
  }

  private async crashWorkersInTurn(durationMs: number): Promise<void> {
    const {vms} = this.targets.platform.site;
    const vmIds = vms.list().map(({vmId}) => vmId);
    for (const vmId of vmIds) {
      vms.crash(vmId);
      await this.scope.sleep(durationMs / vmIds.length);
    }
  }

  private addOddEntry(): void {
    const [name, text] = pick(this.random, oddWorkerEntries('service'));
    this.store.put(`servers/${name}`, text);
  }

  private async makeRackFail(durationMs: number): Promise<void> {
    const workers = [...this.targets.platform.site.workers.values()];
    const {rackId} = pick(this.random, workers).entry;
    const rack = workers.filter(({entry}) => entry.rackId === rackId);
    for (const {faults} of rack) faults.failsAll = true;
    await this.scope.sleep(durationMs);
    for (const {faults} of rack) faults.failsAll = false;
  }

  private async reduceCapacity(durationMs: number): Promise<void> {
    const {site} = this.targets.platform;
    const workerId = pick(this.random, [...site.workers.keys()]);
    const share = this.random.next();
    const {processorMillicores, memoryMegabytes, accelerators} = site.capacity;
    site.setCapacity(workerId, {
      processorMillicores: Math.floor(processorMillicores * share),
      memoryMegabytes: Math.floor(memoryMegabytes * share),
      accelerators: Math.floor(accelerators * share),
    });
    await this.scope.sleep(durationMs);
    site.setCapacity(workerId, site.capacity);
  }

  private async injectWorkerFault(
    fault: 'failsAll' | 'hangs',
    durationMs: number,
  ): Promise<void> {
    const {site} = this.targets.platform;
    const {faults} = pick(this.random, [...site.workers.values()]);
    faults[fault] = true;
    await this.scope.sleep(durationMs);
    faults[fault] = false;
  }

  private async evacuateZone(durationMs: number): Promise<void> {
    const {zones} = this.targets.platform.site;
    const zone = pick(this.random, zones.names);
    zones.evacuate(zone);
    await this.scope.sleep(EVACUATION_BOUND_MS + durationMs);
    zones.takeBack(zone);
  }

  private waveCount = 0;

  private requestMaintenance(): void {
    const {vms} = this.targets.platform.site;
    this.waveCount += 1;
    const vmIds = vms.list().map(({vmId}) => vmId);
    vms.requestMaintenance({
      waveId: this.waveCount,
      vmIds: vmIds.filter(() => this.random.next() < 0.4),
      durationMs: 5_000,
      maximumDown: 1,
    });
  }
}
