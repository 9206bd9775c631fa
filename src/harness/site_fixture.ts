/**
 * Starts a complete site as processes on this machine, for integration tests
 * and the demo: stand-ins for the platform, the workers and the minions, and
 * real daemons.
 */

import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import PQueue from 'p-queue';
import {z} from 'zod';
import type {Settings} from '../daemon/settings.js';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import {availabilityZoneSchema, trustedId} from '../model/ids.js';
import type {AvailabilityZone, RackId, VmId} from '../model/ids.js';
import type {MinionVm, Vm, WorkerVm} from '../interfaces/vm_list.js';
import {
  FaultProxyAdmin,
  MinionAdmin,
  PlatformAdmin,
  WorkerAdmin,
} from '../standins/admin_client.js';
import {StandinProcess} from '../standins/launcher.js';
import {ManagedProcess} from '../standins/managed_process.js';
import type {RunEvent} from '../standins/run_log.js';

/** Processes started concurrently; more would only compete for the CPUs. */
const START_CONCURRENCY = 10;
const DAEMON_PROGRAM = '../daemon/main.js';
const ANY_PORT = '127.0.0.1:0';
/** Target of a proxy link until its daemon starts; refuses connections. */
const UNREACHABLE_TARGET = '127.0.0.1:1';

export const fleetSchema = z.object({
  site: z.string(),
  zones: z.array(
    z.object({
      name: availabilityZoneSchema,
      entryVms: z.int().min(1),
      /** Number of workers in each rack. */
      racks: z.array(z.int().min(1).max(8)),
      minions: z.int().min(0),
    }),
  ),
  acceleratorsPerWorker: z.int().min(1).max(8),
  slotsPerMinion: z.int().min(1),
  connectionsPerMinion: z.int().min(1),
});
/** Size and composition of a site. */
export type Fleet = z.infer<typeof fleetSchema>;
type FleetZone = Fleet['zones'][number];

export interface SiteOptions {
  /** Timings of all daemons, where they differ from the defaults. */
  readonly timings?: Partial<Settings['timings']>;
  /** Routes each daemon's platform and peer connections through a fault proxy. */
  readonly useFaultProxy?: boolean;
  /** Delay in ms after which a change of the VM list becomes visible. */
  readonly vmListLagMs?: number;
}

export interface WorkerStandin {
  readonly vm: WorkerVm;
  readonly process: StandinProcess;
  readonly admin: WorkerAdmin;
}

export interface MinionStandin {
  readonly vm: MinionVm;
  readonly process: StandinProcess;
  readonly admin: MinionAdmin;
}

const daemonFirstLineSchema = z.object({
  listening: z.object({
    callers: z.string(),
    operators: z.string(),
    peers: z.string(),
  }),
});

/** A daemon process and its addresses, as `host:port`. */
export interface DaemonProcess {
  readonly vmId: VmId;
  readonly availabilityZone: AvailabilityZone;
  readonly process: ManagedProcess;
  readonly callers: string;
  readonly operators: string;
  /** The address that peers connect to: the fault proxy's, if there is one. */
  readonly peers: string;
}

export class SiteFixture {
  readonly workers: WorkerStandin[] = [];
  readonly minions: MinionStandin[] = [];
  readonly daemons: DaemonProcess[] = [];
  /** Kill time of each killed worker in milliseconds since the Unix epoch. */
  readonly workerKillTimes = new Map<VmId, number>();
  private readonly startQueue = new PQueue({concurrency: START_CONCURRENCY});

  private constructor(
    private readonly scope: CleanupScope,
    readonly fleet: Fleet,
    private readonly options: SiteOptions,
    readonly platform: StandinProcess,
    readonly platformAdmin: PlatformAdmin,
    private readonly directory: string,
    private readonly proxy: FaultProxyAdmin | undefined,
  ) {}

  /** Starts all processes; they are stopped when the scope closes. */
  static async start(
    scope: CleanupScope,
    fleet: Fleet,
    options: SiteOptions = {},
  ): Promise<SiteFixture> {
    const directory = await mkdtemp(join(tmpdir(), 'bramleystep-'));
    scope.add(() => rm(directory, {recursive: true, force: true}));
    const {vmListLagMs = 0} = options;
    const platform = await StandinProcess.start(scope, 'platform', {
      vmListLagMs,
    });
    const admin = new PlatformAdmin(scope, platform.adminAddress);
    const proxy = options.useFaultProxy
      ? await startFaultProxy(scope)
      : undefined;
    const site = new SiteFixture(
      scope,
      fleet,
      options,
      platform,
      admin,
      directory,
      proxy,
    );
    scope.add(() => site.stopProcesses());
    await site.startZones();
    return site;
  }

  /** Controls the proxy links `platform-<vmId>` and `peers-<vmId>`. */
  get faultProxy(): FaultProxyAdmin {
    if (!this.proxy) throw new Error('site started without a fault proxy');
    return this.proxy;
  }

  daemon(vmId: string): DaemonProcess {
    const match = this.daemons.find((daemon) => daemon.vmId === vmId);
    if (!match) throw new Error(`no daemon ${vmId} was started`);
    return match;
  }

  daemonsInZone(zone: string): DaemonProcess[] {
    return this.daemons.filter((daemon) => daemon.availabilityZone === zone);
  }

  /** Starts a daemon on a new VM, or restarts the one of this VM. */
  async startDaemon(vmId: string, zone: string): Promise<DaemonProcess> {
    const settings = await this.daemonSettings(vmId, zone);
    const path = join(this.directory, `${vmId}.json`);
    await writeFile(path, JSON.stringify(settings));
    const program = fileURLToPath(new URL(DAEMON_PROGRAM, import.meta.url));
    const {process, firstLine} = await ManagedProcess.start(
      this.scope,
      vmId,
      program,
      ['--settings', path],
    );
    const {listening} = daemonFirstLineSchema.parse(firstLine);
    await this.proxy?.retarget(`peers-${vmId}`, listening.peers);
    const daemon: DaemonProcess = {
      vmId: trustedId(vmId),
      availabilityZone: trustedId(zone),
      process,
      ...listening,
      peers: settings.peers.advertise ?? listening.peers,
    };
    const previousIndex = this.daemons.findIndex(
      (other) => other.vmId === vmId,
    );
    if (previousIndex >= 0) this.daemons.splice(previousIndex, 1);
    this.daemons.push(daemon);
    await this.platformAdmin.setVm({
      role: 'entry',
      vmId: daemon.vmId,
      availabilityZone: daemon.availabilityZone,
      address: daemon.peers,
      state: 'live',
    });
    return daemon;
  }

  /** Sets the state of a VM in the platform's VM list. */
  async setVmState(vm: Vm, state: Vm['state']): Promise<void> {
    await this.platformAdmin.setVm({...vm, state});
  }

  /** Kills a worker process and its tasks; its VM stays in the VM list. */
  async killWorker(worker: WorkerStandin): Promise<void> {
    await worker.process.kill();
    this.workerKillTimes.set(worker.vm.vmId, Date.now());
  }

  /** Returns the run logs of all workers and minions so far. */
  runEvents(): RunEvent[] {
    return [...this.workers, ...this.minions].flatMap(
      ({process}) => process.events,
    );
  }

  /** Stops all daemons concurrently, then the workers and minions. */
  private async stopProcesses(): Promise<void> {
    await Promise.all(this.daemons.map(({process}) => process.stop()));
    const standins = [...this.workers, ...this.minions];
    await Promise.all(standins.map(({process}) => process.stop()));
  }

  private async startZones(): Promise<void> {
    const startTasks = this.fleet.zones.flatMap((zone) => [
      ...this.workerStartTasks(zone),
      ...this.minionStartTasks(zone),
    ]);
    await this.startQueue.addAll(startTasks);
    for (const {vm} of [...this.workers, ...this.minions]) {
      await this.platformAdmin.setVm(vm);
    }
    const daemonStartTasks = this.fleet.zones.flatMap((zone) =>
      numbersUpTo(zone.entryVms).map(
        (number) => () =>
          this.startDaemon(`${zone.name}-entry-${number}`, zone.name),
      ),
    );
    // The others use the first daemon as a seed to join the peers.
    await daemonStartTasks.shift()?.();
    await this.startQueue.addAll(daemonStartTasks);
  }

  private workerStartTasks(zone: FleetZone): Array<() => Promise<void>> {
    return zone.racks.flatMap((workers, rack) =>
      numbersUpTo(workers).map((number) => async () => {
        const rackId = trustedId<RackId>(`${zone.name}-rack-${rack + 1}`);
        const workerId = trustedId<VmId>(`${rackId}-worker-${number}`);
        const process = await StandinProcess.start(this.scope, 'worker', {
          workerId,
        });
        const admin = new WorkerAdmin(this.scope, process.adminAddress);
        const vm: WorkerVm = {
          role: 'worker',
          vmId: workerId,
          availabilityZone: zone.name,
          address: process.address,
          state: 'live',
          rackId,
          rackPosition: number - 1,
          accelerators: this.fleet.acceleratorsPerWorker,
        };
        this.workers.push({vm, process, admin});
      }),
    );
  }

  private minionStartTasks(zone: FleetZone): Array<() => Promise<void>> {
    return numbersUpTo(zone.minions).map((number) => async () => {
      const minionId = trustedId<VmId>(`${zone.name}-minion-${number}`);
      const process = await StandinProcess.start(this.scope, 'minion', {
        minionId,
        slots: this.fleet.slotsPerMinion,
        connections: this.fleet.connectionsPerMinion,
      });
      const admin = new MinionAdmin(this.scope, process.adminAddress);
      const vm: MinionVm = {
        role: 'minion',
        vmId: minionId,
        availabilityZone: zone.name,
        address: process.address,
        state: 'live',
        slots: this.fleet.slotsPerMinion,
        connections: this.fleet.connectionsPerMinion,
      };
      this.minions.push({vm, process, admin});
    });
  }

  private async daemonSettings(vmId: string, zone: string) {
    const seeds = this.daemons.map((daemon) => daemon.peers).slice(0, 3);
    const {timings = {}} = this.options;
    const commonSettings = {
      vmId,
      availabilityZone: zone,
      callers: {listen: ANY_PORT},
      operators: {listen: ANY_PORT},
      timings,
    };
    if (!this.proxy) {
      return {
        ...commonSettings,
        peers: {listen: ANY_PORT, advertise: undefined, seeds},
        platform: {address: this.platform.address},
      };
    }
    const advertise = await this.proxy.addLink(
      `peers-${vmId}`,
      UNREACHABLE_TARGET,
    );
    const platformAddress = await this.proxy.addLink(
      `platform-${vmId}`,
      this.platform.address,
    );
    return {
      ...commonSettings,
      peers: {listen: ANY_PORT, advertise, seeds},
      platform: {address: platformAddress},
    };
  }
}

function numbersUpTo(count: number): number[] {
  return Array.from({length: count}, (_, index) => index + 1);
}

async function startFaultProxy(scope: CleanupScope): Promise<FaultProxyAdmin> {
  const process = await StandinProcess.start(scope, 'faultProxy', {});
  return new FaultProxyAdmin(scope, process.adminAddress);
}
