/**
 * Runs a site of a given size and reports what its first daemon used of CPU
 * time, memory, traffic and store calls during a window of steady state.
 */

import {OperatorClient} from '../cli/operator_client.js';
import {Caller} from '../harness/caller.js';
import {CleanupScope} from '../lifecycle/cleanup_scope.js';
import {randomId} from '../model/ids.js';
import type {ChangeId} from '../model/ids.js';
import {
  CONTROL_ENDPOINTS,
  MeasuredSite,
  scrapeMetrics,
  waitForMetrics,
} from './measured_site.js';
import type {
  ControlEndpoint,
  MeasuredDaemon,
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
 * Wait before the window, until JIT compilation and the first reads are over
 * and V8 has run its full garbage collection, about 8 s after the start. That
 * takes 100 to 200 ms, which would add up to 20 ms/s within the window.
 */
const SETTLE_MS = 20_000;
const MINIMUM_WINDOW_MS = 8_000;
/** Target rate of worker polls, from which the wait of a poll is derived. */
const POLLS_PER_SECOND = 40;
const MINIMUM_WORKER_WAIT_MS = 2_000;
/** Worker lease in watch waits. A watch waits 75% to 100% of its wait. */
const WATCH_WAITS_PER_LEASE = 3;
const SECOND_MS = 1_000;
const MINUTE_MS = 60_000;
const JOB_PAYLOAD = JSON.stringify({runTimeMs: 2_000});

/** Size of a run. A missing field means 0, a missing `customers` means 100. */
export interface RunSize {
  readonly workers?: number;
  readonly tasks?: number;
  readonly customers?: number;
  /** Further daemons in the measured zone. */
  readonly zonePeers?: number;
  /** Further zones, with two daemons each. */
  readonly otherZones?: number;
  readonly changesPerMinute?: number;
  /** Jobs with gangs of 8 tasks. */
  readonly jobsPerMinute?: number;
  /** Jobs with gangs of 64 tasks. */
  readonly largeJobsPerMinute?: number;
}

/** Resource use of the measured daemon during one window. */
export interface RunResult {
  readonly size: RunSize;
  readonly windowSeconds: number;
  readonly workerWaitMs: number;
  readonly cpuMsPerSecond: number;
  readonly sentPerSecond: Readonly<Record<ControlEndpoint, number>>;
  readonly receivedPerSecond: Readonly<Record<ControlEndpoint, number>>;
  readonly storeCallsPerSecond: Readonly<MetricsSnapshot['storeCalls']>;
  /** Number of watches, of all daemons of the run, open at the store. */
  readonly waitingWatches: number;
  readonly workerAnswersPerSecond: number;
  readonly heapMegabytes: number;
  readonly residentMegabytes: number;
  /** Cost from process start until every worker was read once. */
  readonly takeover: {
    readonly cpuMs: number;
    readonly workerBytes: number;
    readonly elapsedMs: number;
    readonly residentMegabytes: number;
  };
  /** CPU use of the daemon to which configuration changes are sent. */
  readonly writerCpuMsPerSecond: number;
}

/** Starts a site, waits for steady state, measures one window and stops it. */
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
    const takeoverSnapshot = await waitForMetrics(
      daemon,
      'all workers read',
      (snapshot) => snapshot.workerAnswers >= (size.workers ?? 0),
    );
    const errors = startLoad(scope, site, daemon, size);
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
    errors.throwIfFailed();
    return {
      size,
      workerWaitMs,
      ...computeRates(before, after),
      waitingWatches,
      takeover: {
        cpuMs: takeoverSnapshot.cpuMs,
        workerBytes:
          takeoverSnapshot.receivedBytes.worker +
          takeoverSnapshot.sentBytes.worker,
        elapsedMs: takeoverSnapshot.atMs - startedAtMs,
        residentMegabytes: takeoverSnapshot.residentMegabytes,
      },
      writerCpuMsPerSecond: computeRates(writerBefore, writerAfter)
        .cpuMsPerSecond,
    };
  } finally {
    await scope.close();
  }
}

/** Keeps the rate of worker polls nearly the same for all sizes. */
function workerWaitMsFor(workers: number): number {
  const waitMs = (workers / POLLS_PER_SECOND) * SECOND_MS;
  return Math.max(MINIMUM_WORKER_WAIT_MS, Math.round(waitMs));
}

/** Starts all daemons and returns the measured one, which is the first. */
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

/** Collects failed changes and jobs; any of them makes the window invalid. */
class LoadErrors {
  private readonly failures: string[] = [];

  add(message: string): void {
    this.failures.push(message);
  }

  throwIfFailed(): void {
    const [first] = this.failures;
    if (first !== undefined) {
      throw new Error(`${this.failures.length} calls failed, first: ${first}`);
    }
  }
}

/** Sends changes to the last daemon and jobs to the measured one. */
function startLoad(
  scope: CleanupScope,
  site: MeasuredSite,
  daemon: MeasuredDaemon,
  size: RunSize,
): LoadErrors {
  const errors = new LoadErrors();
  const writer = site.daemons.at(-1) ?? daemon;
  if (size.changesPerMinute) {
    let changeNumber = 0;
    scope.every(MINUTE_MS / size.changesPerMinute, () => {
      changeNumber += 1;
      void submitChange(writer, changeNumber, size.customers ?? 100, errors);
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
      void submitJob(scope, caller, workClassId, errors);
    });
  }
  return errors;
}

async function submitChange(
  writer: MeasuredDaemon,
  changeNumber: number,
  customers: number,
  errors: LoadErrors,
): Promise<void> {
  const client = new OperatorClient(writer.operators);
  const questionnaire = syntheticCustomer(
    changeNumber % customers,
    1 + changeNumber,
  );
  const result = await client.submitQuestionnaire({
    changeId: randomId<ChangeId>('change'),
    author: 'measurement',
    questionnaire,
    checkOnly: false,
  });
  if (result.isErr) errors.add(result.error.message);
}

async function submitJob(
  scope: CleanupScope,
  caller: Caller,
  workClassId: string,
  errors: LoadErrors,
): Promise<void> {
  const accepted = await caller.submitJob({
    customerId: 'customer-0',
    workClassId,
    payload: JOB_PAYLOAD,
    availabilityZone: MEASURED_ZONE,
  });
  if (accepted === undefined && !scope.closed) errors.add('job not accepted');
}

/** Rates per second between two snapshots; memory sizes are of the later one. */
export function computeRates(before: MetricsSnapshot, after: MetricsSnapshot) {
  const seconds = (after.atMs - before.atMs) / SECOND_MS;
  const rate = (first: number, second: number) => (second - first) / seconds;
  const ratesByEndpoint = (name: 'sentBytes' | 'receivedBytes') =>
    Object.fromEntries(
      CONTROL_ENDPOINTS.map((endpoint) => [
        endpoint,
        rate(before[name][endpoint], after[name][endpoint]),
      ]),
    ) as Record<ControlEndpoint, number>;
  const calls = (name: keyof MetricsSnapshot['storeCalls']) =>
    rate(before.storeCalls[name], after.storeCalls[name]);
  return {
    windowSeconds: seconds,
    cpuMsPerSecond: rate(before.cpuMs, after.cpuMs),
    sentPerSecond: ratesByEndpoint('sentBytes'),
    receivedPerSecond: ratesByEndpoint('receivedBytes'),
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
