/**
 * Starts the processes of a site whose first daemon is measured: the platform
 * stand-in, one process that serves all workers, and the daemons.
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
import {ABSENT_REVISION} from '../interfaces/key_value_store.js';
import type {WorkerVm} from '../interfaces/vm_list.js';
import {PlatformAdmin, WorkerFleetAdmin} from '../standins/admin_client.js';
import {StandinProcess} from '../standins/launcher.js';
import {HttpKeyValueStore} from '../transport/http_key_value_store.js';
import {MetricsText} from './metrics_text.js';

const DAEMON_PROGRAM = '../daemon/main.js';
const ANY_PORT = '127.0.0.1:0';
const POLL_INTERVAL_MS = 50;
const READY_TIMEOUT_MS = 60_000;
/** Concurrent calls while the site is set up. */
const SETUP_CONCURRENCY = 16;
const BYTES_PER_MEGABYTE = 1_048_576;
const STORE_CALLS = ['get', 'list', 'put', 'delete', 'watch'] as const;

const firstLineSchema = z.object({
  listening: z.object({
    callers: z.string(),
    operators: z.string(),
    peers: z.string(),
  }),
});

/** Endpoints of a daemon's control traffic, as the names of its metrics say. */
export const CONTROL_ENDPOINTS = [
  'store',
  'vm_list',
  'worker',
  'peer',
  'peer_server',
] as const;
export type ControlEndpoint = (typeof CONTROL_ENDPOINTS)[number];

/**
 * Metrics of a daemon process at one time. `atMs` is a `performance.now()`
 * value; counters are totals since the process started.
 */
export interface MetricsSnapshot {
  readonly atMs: number;
  readonly cpuMs: number;
  readonly heapMegabytes: number;
  readonly residentMegabytes: number;
  readonly sentBytes: Readonly<Record<ControlEndpoint, number>>;
  readonly receivedBytes: Readonly<Record<ControlEndpoint, number>>;
  readonly storeCalls: Readonly<Record<(typeof STORE_CALLS)[number], number>>;
  /** Complete answers received from workers. */
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

  /**
   * Starts the workers in one process, runs the gangs on them and stores the
   * job records.
   */
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
      const result = await store.put(key, value, ABSENT_REVISION);
      if (result.isErr) throw result.error;
    });
  }

  /** Stores a configuration as a snapshot without recent changes. */
  async setConfiguration(configuration: Configuration): Promise<void> {
    const {version} = configuration;
    const head = {version, snapshotVersion: version, recentChanges: []};
    const values = [
      [snapshotKey(version), JSON.stringify(configuration)],
      [HEAD_KEY, JSON.stringify(head)],
    ] as const;
    const store = this.openStore();
    for (const [key, value] of values) {
      const result = await store.put(key, value, ABSENT_REVISION);
      if (result.isErr) throw result.error;
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
    const startedDaemon = await ManagedProcess.start(
      this.scope,
      vmId,
      program,
      ['--settings', path],
    );
    this.scope.add(async () => {
      // A measured daemon has no work that an orderly stop would protect.
      await startedDaemon.process.kill();
    });
    const {listening} = firstLineSchema.parse(startedDaemon.firstLine);
    const daemon = {process: startedDaemon.process, ...listening};
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

  /** Number of watches, of all daemons, that are open at the store now. */
  async waitingWatches(): Promise<number> {
    return (await this.admin.counters()).waitingWatches;
  }

  private openStore(): HttpKeyValueStore {
    return new HttpKeyValueStore(this.scope, {
      address: this.platform.address,
      connections: SETUP_CONCURRENCY,
      callTimeoutMs: READY_TIMEOUT_MS,
    });
  }
}

/** Reads a daemon's metrics. The scrape itself takes about 2 ms. */
export async function scrapeMetrics(
  daemon: MeasuredDaemon,
): Promise<MetricsSnapshot> {
  const response = await request(`http://${daemon.operators}/metrics`);
  const metrics = new MetricsText(await response.body.text());
  const bramleystepGauge = (name: string) =>
    metrics.gauge(`bramleystep_${name}`);
  const megabytes = (name: string) => metrics.gauge(name) / BYTES_PER_MEGABYTE;
  return {
    atMs: performance.now(),
    cpuMs: metrics.gauge('process_cpu_seconds_total') * 1_000,
    heapMegabytes: megabytes('nodejs_heap_size_used_bytes'),
    residentMegabytes: megabytes('process_resident_memory_bytes'),
    sentBytes: record(CONTROL_ENDPOINTS, (endpoint) =>
      bramleystepGauge(`${endpoint}_sent_bytes`),
    ),
    receivedBytes: record(CONTROL_ENDPOINTS, (endpoint) =>
      bramleystepGauge(`${endpoint}_received_bytes`),
    ),
    storeCalls: record(STORE_CALLS, (call) =>
      metrics.counter(`bramleystep_store_calls_total{call="${call}"}`),
    ),
    workerAnswers: bramleystepGauge('worker_answers'),
  };
}

/** Polls a daemon's metrics until they satisfy a condition; throws on timeout. */
export async function waitForMetrics(
  daemon: MeasuredDaemon,
  description: string,
  condition: (snapshot: MetricsSnapshot) => boolean,
): Promise<MetricsSnapshot> {
  const limit = performance.now() + READY_TIMEOUT_MS;
  for (;;) {
    const snapshot = await scrapeMetrics(daemon);
    if (condition(snapshot)) return snapshot;
    if (performance.now() > limit) throw new Error(`timed out: ${description}`);
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
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
  await Promise.all(Array.from({length: SETUP_CONCURRENCY}, runner));
}
