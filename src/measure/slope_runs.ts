/**
 * Runs a site of a given size and reports what its first daemon spent during
 * a window of steady state.
 */

import {OperatorClient} from '../cli/operator_client.js';
import {Caller} from '../harness/caller.js';
import {CleanupScope} from '../lifecycle/cleanup_scope.js';
import {randomId} from '../model/ids.js';
import type {ChangeId} from '../model/ids.js';
import {
  MeasuredSite,
  CONTROL_ENDPOINTS,
  scrapeMetrics,
  waitForMetrics,
} from './measured_site.js';
import type {
  MeasuredDaemon,
  ControlEndpoint,
  MetricsSnapshot,
} from './measured_site.js';
import {
  GANG_CLASS,
  LARGE_GANG_CLASS,
  MEASURED_ZONE,
  syntheticConfiguration,
  syntheticCustomer,
  syntheticGangs,
  syntheticWorkers,
  zoneNames,
} from './synthetic_zone.js';

/**
 * Time for compilation and first reads to end, and for the full garbage
 * collection that V8 makes about 8 s after the start: it takes 100 to 200 ms,
 * which within the window would count as up to 20 ms/s.
 */
const SETTLE_MS = 20_000;
const MINIMUM_WINDOW_MS = 8_000;
/** Polls a second that the wait of a run is chosen for. */
const POLLS_PER_SECOND = 40;
const MINIMUM_WORKER_WAIT_MS = 2_000;
/** A watch waits 75% to 100% of its time. */
const WATCH_WAITS_PER_LEASE = 3;
const SECOND_MS = 1_000;
const MINUTE_MS = 60_000;
const JOB_PAYLOAD = JSON.stringify({runTimeMs: 2_000});

/** What a run consists of; what is left out is 0. */
export interface RunSize {
  readonly workers?: number;
  readonly tasks?: number;
  readonly customers?: number;
  /** Other daemons of the measured zone. */
  readonly zonePeers?: number;
  /** Other zones, with two daemons each. */
  readonly otherZones?: number;
  readonly changesPerMinute?: number;
  /** Gangs of 8 tasks. */
  readonly jobsPerMinute?: number;
  /** Gangs of 64 tasks. */
  readonly largeJobsPerMinute?: number;
}

/** Bytes of both directions by party, and the rest, for one window. */
export interface RunResult {
  readonly size: RunSize;
  readonly windowSeconds: number;
  readonly workerWaitMs: number;
  readonly cpuMsPerSecond: number;
  readonly sentPerSecond: Readonly<Record<ControlEndpoint, number>>;
  readonly receivedPerSecond: Readonly<Record<ControlEndpoint, number>>;
  readonly storeCallsPerSecond: Readonly<MetricsSnapshot['storeCalls']>;
  /** Watches of all daemons of the run that wait at the store. */
  readonly waitingWatches: number;
  readonly workerAnswersPerSecond: number;
  readonly heapMegabytes: number;
  readonly residentMegabytes: number;
  /** From the start of the process until each worker was read once. */
  readonly takeover: {
    readonly cpuMs: number;
    readonly workerBytes: number;
    readonly elapsedMs: number;
    readonly residentMegabytes: number;
  };
  /** The daemon that writes the changes, if there is one. */
  readonly writerCpuMsPerSecond: number;
}

/** Starts the site, waits for steady state, measures and stops the site. */
export async function measureRun(size: RunSize): Promise<RunResult> {
  const scope = new CleanupScope();
  try {
    const site = await MeasuredSite.start(scope);
    const {gangs, records} = syntheticGangs(size.tasks ?? 0);
    await site.setConfiguration(syntheticConfiguration(size.customers ?? 100));
    if (size.workers) {
      const workers = syntheticWorkers(size.workers);
      await site.addWorkers(workers, gangs, records);
    }
    const workerWaitMs = workerWaitMsFor(size.workers ?? 0);
    const startedAtMs = performance.now();
    const daemon = await startDaemons(site, size, workerWaitMs);
    const taken = await waitForMetrics(
      daemon,
      'all workers were read',
      (snapshot) => snapshot.workerAnswers >= (size.workers ?? 0),
    );
    const load = startLoad(scope, site, daemon, size);
    await scope.sleep(SETTLE_MS + (size.workers ? workerWaitMs : 0));
    const writer = site.daemons.at(-1) ?? daemon;
    const windowMs = Math.max(MINIMUM_WINDOW_MS, workerWaitMs);
    const [before, writerBefore] = [
      await scrapeMetrics(daemon),
      await scrapeMetrics(writer),
    ];
    await scope.sleep(windowMs);
    const waitingWatches = await site.waitingWatches();
    const [after, writerAfter] = [
      await scrapeMetrics(daemon),
      await scrapeMetrics(writer),
    ];
    load.throwIfFailed();
    return {
      size,
      workerWaitMs,
      ...computeRates(before, after),
      waitingWatches,
      takeover: {
        cpuMs: taken.cpuMs,
        workerBytes: taken.receivedBytes.worker + taken.sentBytes.worker,
        elapsedMs: taken.atMs - startedAtMs,
        residentMegabytes: taken.residentMegabytes,
      },
      writerCpuMsPerSecond: computeRates(writerBefore, writerAfter)
        .cpuMsPerSecond,
    };
  } finally {
    await scope.close();
  }
}

/** Keeps the number of polls a second nearly the same at all sizes. */
function workerWaitMsFor(workers: number): number {
  const waitMs = (workers / POLLS_PER_SECOND) * SECOND_MS;
  return Math.max(MINIMUM_WORKER_WAIT_MS, Math.round(waitMs));
}

/** Returns the measured daemon, the first one. */
async function startDaemons(
  site: MeasuredSite,
  size: RunSize,
  workerWaitMs: number,
): Promise<MeasuredDaemon> {
  const timings = {
    workerWatchWaitMs: workerWaitMs,
    workerLeaseMs: WATCH_WAITS_PER_LEASE * workerWaitMs,
  };
  const daemon = await site.startDaemon('entry-0', MEASURED_ZONE, timings);
  for (let peer = 1; peer <= (size.zonePeers ?? 0); peer += 1) {
    await site.startDaemon(`entry-${peer}`, MEASURED_ZONE, timings);
  }
  const others = zoneNames().slice(1, 1 + (size.otherZones ?? 0));
  for (const zone of others) {
    await site.startDaemon(`${zone}-entry-1`, zone, timings);
    await site.startDaemon(`${zone}-entry-2`, zone, timings);
  }
  return daemon;
}

/** Failures of changes or jobs; they make the window invalid. */
class LoadErrors {
  private readonly failures: string[] = [];

  fail(message: string): void {
    this.failures.push(message);
  }

  throwIfFailed(): void {
    const [first] = this.failures;
    if (first !== undefined) {
      throw new Error(`${this.failures.length} calls failed, first: ${first}`);
    }
  }
}

/** Sends changes through the last daemon and jobs to the first. */
function startLoad(
  scope: CleanupScope,
  site: MeasuredSite,
  daemon: MeasuredDaemon,
  size: RunSize,
): LoadErrors {
  const load = new LoadErrors();
  const writer = site.daemons.at(-1) ?? daemon;
  if (size.changesPerMinute) {
    let number = 0;
    scope.every(MINUTE_MS / size.changesPerMinute, () => {
      number += 1;
      void submitChange(writer, number, size.customers ?? 100, load);
    });
  }
  const jobs = [
    [GANG_CLASS, size.jobsPerMinute],
    [LARGE_GANG_CLASS, size.largeJobsPerMinute],
  ] as const;
  for (const [workClassId, perMinute] of jobs) {
    if (!perMinute) continue;
    const caller = new Caller(scope, [daemon.callers]);
    scope.every(MINUTE_MS / perMinute, () => {
      void submitJob(scope, caller, workClassId, load);
    });
  }
  return load;
}

async function submitChange(
  writer: MeasuredDaemon,
  number: number,
  customers: number,
  load: LoadErrors,
): Promise<void> {
  const client = new OperatorClient(writer.operators);
  const questionnaire = syntheticCustomer(number % customers, 1 + number);
  const result = await client.submitQuestionnaire({
    changeId: randomId<ChangeId>('change'),
    author: 'measurement',
    questionnaire,
    checkOnly: false,
  });
  if (result.isErr) load.fail(result.error.message);
}

async function submitJob(
  scope: CleanupScope,
  caller: Caller,
  workClassId: string,
  load: LoadErrors,
): Promise<void> {
  const accepted = await caller.submitJob({
    customerId: 'customer-0',
    workClassId,
    payload: JOB_PAYLOAD,
    availabilityZone: MEASURED_ZONE,
  });
  if (accepted === undefined && !scope.closed) load.fail('a job was refused');
}

/** What was spent between two snapshots, a second; sizes are the later ones. */
export function computeRates(before: MetricsSnapshot, after: MetricsSnapshot) {
  const seconds = (after.atMs - before.atMs) / SECOND_MS;
  const rate = (first: number, second: number) => (second - first) / seconds;
  const byParty = (name: 'sentBytes' | 'receivedBytes') =>
    Object.fromEntries(
      CONTROL_ENDPOINTS.map((party) => [
        party,
        rate(before[name][party], after[name][party]),
      ]),
    ) as Record<ControlEndpoint, number>;
  const calls = (name: keyof MetricsSnapshot['storeCalls']) =>
    rate(before.storeCalls[name], after.storeCalls[name]);
  return {
    windowSeconds: seconds,
    cpuMsPerSecond: rate(before.cpuMs, after.cpuMs),
    sentPerSecond: byParty('sentBytes'),
    receivedPerSecond: byParty('receivedBytes'),
    storeCallsPerSecond: {
      get: calls('get'),
      list: calls('list'),
      put: calls('put'),
      delete: calls('delete'),
      watch: calls('watch'),
    },
    workerAnswersPerSecond: rate(before.workerAnswers, after.workerAnswers),
    heapMegabytes: after.heapMegabytes,
    residentMegabytes: after.residentMegabytes,
  };
}
