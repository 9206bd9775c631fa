/**
 * A small site whose first daemon is measured: the stand-in of the platform,
 * one process for all workers, and daemons.
 */

import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import {z} from 'zod';
import {HEAD_KEY, snapshotKey} from '../controllers/configuration_store.js';
import {jobPrefix} from '../controllers/job_store.js';
import type {Settings} from '../daemon/settings.js';
import {ManagedProcess} from '../standins/managed_process.js';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {Configuration} from '../model/configuration.js';
import {trustedId} from '../model/ids.js';
import type {JobRecord, TaskSpecification} from '../model/jobs.js';
import {ABSENT_REVISION} from '../parties/key_value_store.js';
import type {WorkerVm} from '../parties/vm_list.js';
import {PlatformAdmin, WorkerFleetAdmin} from '../standins/admin_client.js';
import {StandinProcess} from '../standins/launcher.js';
import {HttpKeyValueStore} from '../transport/http_key_value_store.js';
import {MetricsText} from './metrics_text.js';

const DAEMON_PROGRAM = '../daemon/main.js';
const ANY_PORT = '127.0.0.1:0';
const POLL_MS = 50;
const READY_LIMIT_MS = 60_000;
/** Calls of the preparation that are under way at once. */
const PREPARATION_CONCURRENCY = 16;
const BYTES_PER_MEGABYTE = 1_048_576;
const STORE_CALLS = ['get', 'list', 'put', 'delete', 'watch'] as const;

const firstLineSchema = z.object({
  listening: z.object({
    callers: z.string(),
    operators: z.string(),
    peers: z.string(),
  }),
});

/** Parties of the control traffic of a daemon, as its metrics name them. */
export const PARTIES = [
  'store',
  'vm_list',
  'worker',
  'peer',
  'peer_server',
] as const;
export type Party = (typeof PARTIES)[number];

/** Counters and sizes of a daemon process at one time. */
export interface Snapshot {
  readonly atMs: number;
  readonly cpuMs: number;
  readonly heapMegabytes: number;
  readonly residentMegabytes: number;
  readonly sentBytes: Readonly<Record<Party, number>>;
  readonly receivedBytes: Readonly<Record<Party, number>>;
  readonly storeCalls: Readonly<Record<(typeof STORE_CALLS)[number], number>>;
  /** Whole answers that workers gave. */
  readonly workerAnswers: number;
}

export interface MeasuredDaemon {
  readonly process: ManagedProcess;
  readonly callers: string;
  readonly operators: string;
  readonly peers: string;
}

export class MeasuredSite {
  readonly daemons: MeasuredDaemon[] = [];

  private constructor(
    private readonly scope: CleanupScope,
    private readonly directory: string,
    private readonly platform: StandinProcess,
    private readonly admin: PlatformAdmin,
  ) {}

  static async start(scope: CleanupScope): Promise<MeasuredSite> {
    const directory = await mkdtemp(join(tmpdir(), 'bramleystep-slopes-'));
    scope.add(() => rm(directory, {recursive: true, force: true}));
    const platform = await StandinProcess.start(scope, 'platform', {});
    const admin = new PlatformAdmin(scope, platform.adminAddress);
    return new MeasuredSite(scope, directory, platform, admin);
  }

  /** Starts workers in one process, with running gangs and their records. */
  async addWorkers(
    workers: ReadonlyArray<Omit<WorkerVm, 'address'>>,
    gangs: ReadonlyArray<readonly TaskSpecification[]>,
    records: readonly JobRecord[],
  ): Promise<void> {
    const workerIds = workers.map(({vmId}) => vmId);
    const fleet = await StandinProcess.start(this.scope, 'workerFleet', {
      workerIds,
    });
    const fleetAdmin = new WorkerFleetAdmin(this.scope, fleet.adminAddress);
    await forEach(gangs, (tasks) => fleetAdmin.runTasks(tasks));
    await forEach(workers, async (worker) => {
      await this.admin.setVm({
        ...worker,
        address: fleet.linkAddress(worker.vmId),
      });
    });
    const store = this.openStore();
    await forEach(records, async (record) => {
      const key = `${jobPrefix(record.availabilityZone)}${record.jobId}`;
      const value = JSON.stringify(record);
      const written = await store.put(key, value, ABSENT_REVISION);
      if (written.isErr) throw written.error;
    });
  }

  /** Writes a configuration as a snapshot without recent changes. */
  async setConfiguration(configuration: Configuration): Promise<void> {
    const {version} = configuration;
    const head = {version, snapshotVersion: version, recentChanges: []};
    const values = [
      [snapshotKey(version), JSON.stringify(configuration)],
      [HEAD_KEY, JSON.stringify(head)],
    ] as const;
    const store = this.openStore();
    for (const [key, value] of values) {
      const written = await store.put(key, value, ABSENT_REVISION);
      if (written.isErr) throw written.error;
    }
  }

  async startDaemon(
    vmId: string,
    zone: string,
    timings: Partial<Settings['timings']>,
  ): Promise<MeasuredDaemon> {
    const settings = {
      vmId,
      availabilityZone: zone,
      callers: {listen: ANY_PORT},
      operators: {listen: ANY_PORT},
      peers: {listen: ANY_PORT, seeds: this.daemons.map(({peers}) => peers)},
      platform: {address: this.platform.address},
      timings,
    };
    const path = join(this.directory, `${vmId}.json`);
    await writeFile(path, JSON.stringify(settings));
    const program = fileURLToPath(new URL(DAEMON_PROGRAM, import.meta.url));
    const started = await ManagedProcess.start(this.scope, vmId, program, [
      '--settings',
      path,
    ]);
    this.scope.add(async () => {
      // A measured daemon has no work that a planned stop would protect.
      await started.process.kill();
    });
    const {listening} = firstLineSchema.parse(started.firstLine);
    const daemon = {process: started.process, ...listening};
    this.daemons.push(daemon);
    await this.admin.setVm({
      role: 'entry',
      vmId: trustedId(vmId),
      availabilityZone: trustedId(zone),
      address: listening.peers,
      state: 'live',
    });
    return daemon;
  }

  /** Watches of all daemons that wait at the store now. */
  async waitingWatches(): Promise<number> {
    return (await this.admin.counters()).waitingWatches;
  }

  private openStore(): HttpKeyValueStore {
    return new HttpKeyValueStore(this.scope, {
      address: this.platform.address,
      connections: PREPARATION_CONCURRENCY,
      callTimeoutMs: READY_LIMIT_MS,
    });
  }
}

/** Reads the counters of a daemon; the scrape itself takes about 2 ms. */
export async function takeSnapshot(daemon: MeasuredDaemon): Promise<Snapshot> {
  const response = await request(`http://${daemon.operators}/metrics`);
  const metrics = new MetricsText(await response.body.text());
  const read = (name: string) => metrics.gauge(`bramleystep_${name}`);
  const megabytes = (name: string) => metrics.gauge(name) / BYTES_PER_MEGABYTE;
  return {
    atMs: performance.now(),
    cpuMs: metrics.gauge('process_cpu_seconds_total') * 1_000,
    heapMegabytes: megabytes('nodejs_heap_size_used_bytes'),
    residentMegabytes: megabytes('process_resident_memory_bytes'),
    sentBytes: record(PARTIES, (party) => read(`${party}_sent_bytes`)),
    receivedBytes: record(PARTIES, (party) => read(`${party}_received_bytes`)),
    storeCalls: record(STORE_CALLS, (call) =>
      metrics.counter(`bramleystep_store_calls_total{call="${call}"}`),
    ),
    workerAnswers: read('worker_answers'),
  };
}

/** Polls until the daemon's counters satisfy a condition. */
export async function waitForSnapshot(
  daemon: MeasuredDaemon,
  description: string,
  holds: (snapshot: Snapshot) => boolean,
): Promise<Snapshot> {
  const limit = performance.now() + READY_LIMIT_MS;
  for (;;) {
    const snapshot = await takeSnapshot(daemon);
    if (holds(snapshot)) return snapshot;
    if (performance.now() > limit) throw new Error(`never: ${description}`);
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}

function record<K extends string>(
  keys: readonly K[],
  read: (key: K) => number,
): Record<K, number> {
  return Object.fromEntries(keys.map((key) => [key, read(key)])) as Record<
    K,
    number
  >;
}

async function forEach<T>(
  items: readonly T[],
  task: (item: T) => Promise<void>,
): Promise<void> {
  const iterator = items.values();
  const runner = async () => {
    for (const item of iterator) await task(item);
  };
  await Promise.all(Array.from({length: PREPARATION_CONCURRENCY}, runner));
}
