/**
 * Injects faults into a running site, chosen by a seeded random source. Each
 * fault lasts for 0.3 to 3 s and is then reverted. About every second one is
 * followed immediately by another, while the site recovers from the first.
 */

import {parseJobRecords} from '../harness/job_reconciler.js';
import type {Caller} from '../harness/caller.js';
import type {DaemonProcess, SiteFixture} from '../harness/site_fixture.js';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {RandomSource} from '../lifecycle/random.js';

const MINIMUM_FAULT_MS = 300;
const MAXIMUM_FAULT_MS = 3_000;
const RECOVERY_MS = 2_500;

/** Reverts a fault. */
type RevertFault = () => Promise<void>;

/** Applies a fault; undefined if the fault is not allowed at present. */
type Fault = () => Promise<RevertFault | undefined>;

export class FaultSchedule {
  /** Faults applied and reverted, in order, for the report. */
  readonly log: string[] = [];
  private readonly faults: readonly Fault[];
  /** VM ids of the daemons that are killed, frozen or cut off at present. */
  private readonly impaired = new Set<string>();
  /** Zones with a daemon killed since all accepted jobs were last stored. */
  private readonly zonesAtRiskOfJobLoss = new Set<string>();

  constructor(
    private readonly site: SiteFixture,
    private readonly callers: readonly Caller[],
    private readonly random: RandomSource,
    private readonly scope: CleanupScope,
  ) {
    this.faults = [
      () => this.killDaemon(),
      () => this.killDaemon(),
      () => this.freezeDaemon(),
      () => this.disruptLink('platform'),
      () => this.disruptLink('peers'),
      () => this.applyStoreFault({down: true}),
      () => this.applyStoreFault({slowMs: 400}),
      () => this.applyStoreFault({loseWriteAnswers: 5}),
      () => this.applyMinionFault(),
      () => this.applyWorkerFault(),
    ];
  }

  /**
   * Applies faults until `deadline`, a `performance.now()` value. All faults are
   * reverted on return.
   */
  async run(deadline: number): Promise<void> {
    while (performance.now() < deadline && !this.scope.closed) {
      const revert = await this.applyRandomFault();
      await this.waitWhileFaultActive();
      await revert();
      if (this.random.next() < 0.5) {
        await this.scope.sleep(this.random.next() * RECOVERY_MS);
      } else {
        const revertSecond = await this.applyRandomFault();
        await this.waitWhileFaultActive();
        await revertSecond();
        await this.scope.sleep(RECOVERY_MS);
      }
    }
  }

  private waitWhileFaultActive(): Promise<void> {
    const rangeMs = MAXIMUM_FAULT_MS - MINIMUM_FAULT_MS;
    return this.scope.sleep(MINIMUM_FAULT_MS + this.random.next() * rangeMs);
  }

  private async applyRandomFault(): Promise<RevertFault> {
    for (;;) {
      const revert = await this.pick(this.faults)();
      if (revert) return revert;
    }
  }

  private pick<T>(choices: readonly T[]): T {
    const choice = choices[this.random.nextBelow(choices.length)];
    if (choice === undefined) throw new Error('no choices to pick from');
    return choice;
  }

  private pickDaemon(): DaemonProcess {
    const healthy = this.site.daemons
      .filter(({vmId}) => !this.impaired.has(vmId))
      .sort((a, b) => (a.vmId < b.vmId ? -1 : 1));
    return this.pick(healthy);
  }

  private async killDaemon(): Promise<RevertFault | undefined> {
    const daemon = this.pickDaemon();
    const {vmId, availabilityZone} = daemon;
    // A job that is not stored yet is in the memory of two daemons of the zone.
    // Killing both would lose it, so no other is killed until all jobs are stored.
    if (await this.allJobsStored()) this.zonesAtRiskOfJobLoss.clear();
    if (this.zonesAtRiskOfJobLoss.has(availabilityZone)) return undefined;
    this.zonesAtRiskOfJobLoss.add(availabilityZone);
    this.markImpaired(vmId, 'kill');
    await daemon.process.kill();
    return async () => {
      await this.site.startDaemon(vmId, availabilityZone);
      this.markRecovered(vmId, 'restart');
    };
  }

  private async allJobsStored(): Promise<boolean> {
    const records = parseJobRecords(await this.site.platformAdmin.dumpStore());
    return this.callers.every(({jobs}) =>
      jobs.every(({jobId}) => records.has(jobId)),
    );
  }

  private freezeDaemon(): Promise<RevertFault> {
    const {vmId, process} = this.pickDaemon();
    this.markImpaired(vmId, 'freeze');
    process.signal('SIGSTOP');
    return Promise.resolve(() => {
      process.signal('SIGCONT');
      this.markRecovered(vmId, 'resume');
      return Promise.resolve();
    });
  }

  private async disruptLink(side: 'platform' | 'peers'): Promise<RevertFault> {
    const {vmId} = this.pickDaemon();
    const link = `${side}-${vmId}`;
    const cut = this.random.next() < 0.5;
    this.markImpaired(vmId, `${cut ? 'cut' : 'freeze'} ${side}`);
    const {faultProxy: faults} = this.site;
    await faults.setFaults(link, cut ? {cut} : {freeze: 'both'});
    return async () => {
      await faults.heal(link);
      this.markRecovered(vmId, `heal ${side}`);
    };
  }

  private async applyStoreFault(
    faults: Parameters<SiteFixture['platformAdmin']['setStoreFaults']>[0],
  ): Promise<RevertFault> {
    const name = `store ${JSON.stringify(faults)}`;
    this.log.push(name);
    await this.site.platformAdmin.setStoreFaults(faults);
    return async () => {
      await this.site.platformAdmin.setStoreFaults({});
      this.log.push('store healed');
    };
  }

  private async applyMinionFault(): Promise<RevertFault> {
    const {admin, vm} = this.pick(sortByVmId(this.site.minions));
    const answers = this.pick([
      'silent',
      'silent-after-run',
      'truncated',
      'foreign',
      'refused',
    ] as const);
    this.log.push(`${vm.vmId} ${answers}`);
    await admin.setFaults({answers});
    return () => admin.setFaults({});
  }

  private async applyWorkerFault(): Promise<RevertFault> {
    const {admin, vm} = this.pick(sortByVmId(this.site.workers));
    const silent = this.random.next() < 0.5;
    this.log.push(`${vm.vmId} ${silent ? 'silent' : 'fails every task'}`);
    if (silent) await admin.setFaults({silent});
    else await admin.setBehaviour({failTasks: true});
    return async () => {
      await admin.setFaults({});
      await admin.setBehaviour({});
    };
  }

  private markImpaired(vmId: string, action: string): void {
    this.impaired.add(vmId);
    this.log.push(`${vmId} ${action}`);
  }

  private markRecovered(vmId: string, action: string): void {
    this.impaired.delete(vmId);
    this.log.push(`${vmId} ${action}`);
  }
}

/** Sorts, since the order in which processes started is not reproducible. */
function sortByVmId<T extends {readonly vm: {readonly vmId: string}}>(
  standins: readonly T[],
): readonly T[] {
  return [...standins].sort((a, b) => (a.vm.vmId < b.vm.vmId ? -1 : 1));
}
