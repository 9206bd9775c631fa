/**
 * A randomized soak: real daemons as processes, an emulated platform that
 * serves its protocol, faults from outside, and the users' rules checked from
 * what workers and callers saw.
 */

import {HttpPlatform} from '../emulator/http_platform.js';
import {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import {SeededRandom} from '../src/lifecycle/random.js';
import type {VmId} from '../src/model/ids.js';
import {FaultLink} from '../src/standins/fault_link.js';
import {CALLER_KEY, Callers, MAXIMUM_ATTEMPTS} from './callers.js';
import type {CallerCounts} from './callers.js';
import {DaemonProcess} from './daemon_process.js';
import {FaultInjector} from './faults.js';

const HOST = '127.0.0.1';
const WORKER_LEASE_MS = 3_000;
const STOP_GRACE_S = 2;
const JOBS_PER_SECOND = 4;

/** The users' bound for everything to be served again after a fault. */
const RECOVERY_BOUND_MS = 12_000;

/** Longest time in which the open jobs end once all faults are over. */
const JOB_END_LIMIT_MS = 45_000;

/** The users' bound for a configuration. */
const CONFIGURATION_BOUND_MS = 2_000;
const POLL_INTERVAL_MS = 100;

/** A worker's clock may differ from the daemons' by 2 percent. */
const CLOCK_RATES = [0.98, 1, 1.01] as const;

export interface SoakOptions {
  readonly seed: number;
  /** Time in which faults come, in milliseconds. */
  readonly faultsMs: number;
  readonly daemons: number;
  readonly racks: number;
  readonly workersPerRack: number;
  /** Ends the soak early, with the daemons that it started. */
  readonly stop?: AbortSignal;
}

export interface SoakReport {
  readonly violations: readonly string[];
  readonly counts: CallerCounts;
  readonly starts: number;
  readonly faults: readonly string[];
  /** Logs of the daemons, by name. */
  readonly logs: ReadonlyMap<string, readonly string[]>;
}

export async function soak(options: SoakOptions): Promise<SoakReport> {
  const scope = new CleanupScope();
  options.stop?.addEventListener('abort', () => void scope.close());
  try {
    return await new Soak(options, scope).run();
  } finally {
    await scope.close();
  }
}

class Soak {
  private readonly random: SeededRandom;
  private readonly workerLinks = new Map<VmId, FaultLink>();
  private readonly daemons: DaemonProcess[] = [];
  private configurationVersion = 0;

  constructor(
    private readonly options: SoakOptions,
    private readonly scope: CleanupScope,
  ) {
    this.random = new SeededRandom(options.seed);
    // The generator's first number is close to 1 for every small seed.
    this.random.next();
  }

  async run(): Promise<SoakReport> {
    const {scope, random, options} = this;
    const platform = await this.startPlatform();
    this.writeConfiguration(platform);
    await this.startDaemons(platform);
    const {ledger} = platform.site;
    const callers = new Callers(
      this.daemons.map(({address}) => address),
      ledger,
      random,
      scope,
    );
    const faults = new FaultInjector(
      {
        platform,
        daemons: this.daemons,
        workerLinks: this.workerLinks,
        configure: () => this.writeConfiguration(platform),
      },
      random,
      scope,
    );
    void callers.submitUntilStopped(JOBS_PER_SECOND);
    void faults.injectUntilStopped();
    await scope.sleep(options.faultsMs);
    await faults.stopAndClear();
    const acceptedBefore = callers.counts.accepted;
    await scope.sleep(RECOVERY_BOUND_MS);
    if (callers.counts.accepted === acceptedBefore) {
      ledger.violations.push('RECOVER: nothing is accepted after the faults');
    }
    callers.stop();
    await this.waitForOpenJobs(callers);
    await this.checkConfiguration(platform, callers);
    for (const waveId of platform.site.vms.openWaves) {
      ledger.violations.push(`MIXED: wave ${waveId} did not end`);
    }
    for (const jobId of callers.openJobs.keys()) {
      ledger.violations.push(`LOST: ${jobId} did not end`);
    }
    for (const jobId of callers.startedDespiteRefusal()) {
      ledger.violations.push(`REFUSED: ${jobId} was started`);
    }
    return {
      violations: ledger.violations,
      counts: callers.counts,
      starts: ledger.counts.starts,
      faults: faults.injected,
      logs: new Map(this.daemons.map(({name, logLines}) => [name, logLines])),
    };
  }

  private async startPlatform(): Promise<HttpPlatform> {
    const {racks, workersPerRack} = this.options;
    const platform = await HttpPlatform.start(
      {
        racks,
        workersPerRack,
        acceleratorsPerWorker: 8,
        holdMaximumMs: WORKER_LEASE_MS,
      },
      this.random,
      this.scope,
      async (vmId, address) => {
        const link = new FaultLink(address);
        this.workerLinks.set(vmId, link);
        return link.listen(this.scope, HOST, 0);
      },
    );
    for (const worker of platform.site.workers.values()) {
      const rate = CLOCK_RATES[this.random.nextBelow(CLOCK_RATES.length)];
      worker.faults.clockRate = rate ?? 1;
    }
    return platform;
  }

  private async startDaemons(platform: HttpPlatform): Promise<void> {
    const vmServiceAddress = await platform.openVmService();
    for (let number = 1; number <= this.options.daemons; number += 1) {
      this.daemons.push(
        await DaemonProcess.create(
          `entry-${number}`,
          platform,
          vmServiceAddress,
          {workerLeaseMs: WORKER_LEASE_MS, stopGraceS: STOP_GRACE_S},
          this.scope,
        ),
      );
    }
    await Promise.all(this.daemons.map((daemon) => daemon.start()));
  }

  /** Each version has a further key of its own. */
  private writeConfiguration(platform: HttpPlatform): void {
    this.configurationVersion += 1;
    const route = (name: string, priority: number) => ({
      name,
      host: 'queues.example',
      pathPrefix: `/${name}/`,
      service: 'service',
      priority,
      maxAttempts: MAXIMUM_ATTEMPTS,
      slackFactor: 3,
      targetLatencyMs: 500,
    });
    platform.configure({
      version: this.configurationVersion,
      routes: [route('urgent', 0), route('patient', 2)],
      services: [{name: 'service'}],
      tenants: [
        {
          name: 'customer',
          apiKeys: [CALLER_KEY, keyOf(this.configurationVersion)],
          guaranteed: {gpu: 16},
        },
      ],
    });
  }

  private async waitForOpenJobs(callers: Callers): Promise<void> {
    const limit = Date.now() + JOB_END_LIMIT_MS;
    while (callers.openJobs.size > 0 && Date.now() < limit) {
      // A sleep in a closed scope returns at once.
      if (this.scope.closed) return;
      await this.scope.sleep(POLL_INTERVAL_MS);
    }
  }

  /** The newest version is in force at every daemon, and no older one. */
  private async checkConfiguration(
    platform: HttpPlatform,
    callers: Callers,
  ): Promise<void> {
    this.writeConfiguration(platform);
    await this.scope.sleep(CONFIGURATION_BOUND_MS);
    const {violations} = platform.site.ledger;
    for (const {address, name} of this.daemons) {
      const current = keyOf(this.configurationVersion);
      const known = await callers.statusWithKey(address, current);
      if (known !== 200) {
        violations.push(`CONFIG: ${name} answers ${known} to the newest key`);
      }
      const former = keyOf(this.configurationVersion - 1);
      const status = await callers.statusWithKey(address, former);
      if (status !== 401) {
        violations.push(`CONFIG: ${name} answers ${status} to a former key`);
      }
    }
  }
}

function keyOf(version: number): string {
  return `key-of-version-${version}`;
}
