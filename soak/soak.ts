/**
 * Randomized soak: real daemons run as processes against an emulated platform
 * while faults are injected from outside. The documented rules are checked from
 * what workers and callers observe.
 */

import {HttpPlatform} from '../emulator/http_platform.js';
import {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import {SeededRandom} from '../src/lifecycle/random.js';
import {trustedId} from '../src/model/ids.js';
import type {AvailabilityZone, VmId} from '../src/model/ids.js';
import {FaultLink} from '../src/standins/fault_link.js';
import {
  CALLER_HOST,
  CALLER_KEY,
  Callers,
  MAXIMUM_ATTEMPTS,
  WORKER_ACCELERATORS,
} from './callers.js';
import type {CallerCounts} from './callers.js';
import {LOW_HEAP} from './crowd.js';
import {LOW_CLIENT_LIMITS} from './crowd_series.js';
import {DaemonProcess} from './daemon_process.js';
import {EVACUATION_BOUND_MS, FaultInjector} from './faults.js';
import {UnevenSpeeds} from './uneven_speeds.js';

const HOST = '127.0.0.1';
const WORKER_LEASE_MS = 3_000;
const STOP_GRACE_S = 2;
const JOBS_PER_SECOND = 4;

/** Documented bound for full service to resume after a fault. */
const RECOVERY_BOUND_MS = 12_000;

/** Time in which open jobs must end once all faults are over. */
const JOB_END_LIMIT_MS = 45_000;

/** Documented bound for a configuration to take effect at every daemon. */
const CONFIGURATION_BOUND_MS = 2_000;
const POLL_INTERVAL_MS = 100;

/** Documented time until a reduced capacity binds starts: 3 s and a heartbeat. */
const CAPACITY_NOTICE_MS = 3_500;

const ZONES = ['zone-1', 'zone-2'].map((name) =>
  trustedId<AvailabilityZone>(name),
);

/** A worker's clock may differ from the daemons' clocks by 2 percent. */
const CLOCK_RATES = [0.98, 1, 1.01] as const;

export interface SoakOptions {
  readonly seed: number;
  /** Time in which faults are injected. */
  readonly faultsMs: number;
  readonly daemons: number;
  readonly racks: number;
  readonly workersPerRack: number;
  /** Takeovers with crashes of workers follow one another. */
  readonly repeatsTakeovers?: boolean;
  /** Cuts with crashes of workers behind them follow one another. */
  readonly repeatsCuts?: boolean;
  /** Crowds of clients outside all limits follow one another; these are low. */
  readonly repeatsCrowds?: boolean;
  /** Workers differ in speed. */
  readonly hasUnevenWorkers?: boolean;
  /** Ends the soak early and stops its daemons. */
  readonly stop?: AbortSignal;
}

export interface SoakReport {
  readonly violations: readonly string[];
  readonly counts: CallerCounts;
  readonly wronglyGivenUp: readonly string[];
  readonly starts: number;
  readonly faults: readonly string[];
  /** Crashes of workers, as the workers know them. */
  readonly crashes: readonly string[];
  /** Log lines of the daemons, by daemon name. */
  readonly logs: ReadonlyMap<string, readonly string[]>;
}

export async function soak(options: SoakOptions): Promise<SoakReport> {
  const scope = new CleanupScope();
  const stop = () => void scope.close();
  options.stop?.addEventListener('abort', stop);
  try {
    return await new Soak(options, scope).run();
  } finally {
    options.stop?.removeEventListener('abort', stop);
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
    // Discarded: the first number is close to 1 for every small seed.
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
    if (options.repeatsTakeovers === true) {
      void faults.repeatSeries('takeovers');
    }
    if (options.repeatsCuts === true) void faults.repeatSeries('cuts');
    if (options.repeatsCrowds === true) void faults.repeatSeries('crowds');
    await scope.sleep(options.faultsMs);
    await faults.stopAndClear();
    const acceptedBefore = callers.counts.accepted;
    await scope.sleep(RECOVERY_BOUND_MS);
    if (callers.counts.accepted === acceptedBefore) {
      ledger.violations.push('RECOVER: no job was accepted after the faults');
    }
    callers.stop();
    await this.waitForOpenJobs(callers);
    await this.checkConfiguration(platform, callers);
    this.checkOutcome(platform, callers);
    return {
      violations: ledger.violations,
      counts: callers.counts,
      wronglyGivenUp: callers.wronglyGivenUp,
      starts: ledger.counts.starts,
      faults: faults.injected,
      crashes: ledger.crashes,
      logs: new Map(this.daemons.map(({name, logLines}) => [name, logLines])),
    };
  }

  /** Checks what must hold once all faults are over. */
  private checkOutcome({site}: HttpPlatform, callers: Callers): void {
    const {violations} = site.ledger;
    for (const {name, unexpectedExits} of this.daemons) {
      for (const exit of unexpectedExits) {
        violations.push(`EXIT: ${name} ended by itself with ${exit}`);
      }
    }
    for (const waveId of site.vms.openWaves) {
      violations.push(`MIXED: wave ${waveId} did not complete`);
    }
    for (const jobId of callers.openJobs.keys()) {
      violations.push(`LOST: ${jobId} did not end`);
    }
    for (const jobId of callers.startedDespiteRefusal()) {
      violations.push(`REFUSED: ${jobId} was refused but a worker started it`);
    }
  }

  private async startPlatform(): Promise<HttpPlatform> {
    const {racks, workersPerRack, hasUnevenWorkers = false} = this.options;
    const speeds = new UnevenSpeeds(this.random);
    const platform = await HttpPlatform.start(
      {
        racks,
        workersPerRack,
        acceleratorsPerWorker: WORKER_ACCELERATORS,
        holdMaximumMs: WORKER_LEASE_MS,
        capacityNoticeMs: CAPACITY_NOTICE_MS,
        zones: ZONES,
        evacuationBoundMs: EVACUATION_BOUND_MS,
        ...(hasUnevenWorkers
          ? {speedOf: (vmId: VmId) => speeds.speedOf(vmId)}
          : {}),
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
    const hasCrowds = this.options.repeatsCrowds === true;
    for (let number = 1; number <= this.options.daemons; number += 1) {
      this.daemons.push(
        await DaemonProcess.create(
          `entry-${number}`,
          platform,
          vmServiceAddress,
          {
            workerLeaseMs: WORKER_LEASE_MS,
            stopGraceS: STOP_GRACE_S,
            evacuationBoundMs: EVACUATION_BOUND_MS,
            ...(hasCrowds ? {clientLimits: LOW_CLIENT_LIMITS} : {}),
          },
          this.scope,
        ),
      );
    }
    const environment = hasCrowds ? LOW_HEAP : {};
    await Promise.all(this.daemons.map((daemon) => daemon.start(environment)));
  }

  /** Writes the next version; each version has an API key of its own. */
  private writeConfiguration(platform: HttpPlatform): void {
    this.configurationVersion += 1;
    const route = (name: string, priority: number) => ({
      name,
      host: CALLER_HOST,
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
    const deadline = Date.now() + JOB_END_LIMIT_MS;
    while (callers.openJobs.size > 0 && Date.now() < deadline) {
      // A sleep in a closed scope returns immediately, so the loop would spin.
      if (this.scope.closed) return;
      await this.scope.sleep(POLL_INTERVAL_MS);
    }
  }

  /** Checks that every daemon uses the newest version and no older one. */
  private async checkConfiguration(
    platform: HttpPlatform,
    callers: Callers,
  ): Promise<void> {
    this.writeConfiguration(platform);
    await this.scope.sleep(CONFIGURATION_BOUND_MS);
    const {violations} = platform.site.ledger;
    for (const {address, name} of this.daemons) {
      const newestKey = keyOf(this.configurationVersion);
      const newestStatus = await callers.statusWithKey(address, newestKey);
      if (newestStatus !== 200) {
        violations.push(
          `CONFIG: ${name} answers ${newestStatus} to the newest key`,
        );
      }
      const formerKey = keyOf(this.configurationVersion - 1);
      const formerStatus = await callers.statusWithKey(address, formerKey);
      if (formerStatus !== 401) {
        violations.push(
          `CONFIG: ${name} answers ${formerStatus} to a former key`,
        );
      }
    }
  }
}

function keyOf(version: number): string {
  return `key-of-version-${version}`;
}
