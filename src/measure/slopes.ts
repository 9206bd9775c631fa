/**
 * Measures how the control overhead of a daemon process grows with the size of
 * the site: workers, running tasks, peers, customers, configuration changes and
 * jobs. `docs/CAPACITY.md` derives the figures of the two-year target from it.
 *
 * The wait of a watch on a worker grows with the number of workers, so that
 * about 40 polls a second complete at every size. Costs are given per poll,
 * because a full-size site polls less often (`workerWatchWaitMs` 300000). All
 * other settings are defaults.
 *
 * Usage: `npm run measure:slopes -- [--json] [--series <name>]...`
 */

import {cpus} from 'node:os';
import {parseArgs} from 'node:util';
import PQueue from 'p-queue';
import {fitLine} from './fit.js';
import type {LineFit, Point} from './fit.js';
import {CONTROL_ENDPOINTS} from './measured_site.js';
import {measureRun} from './slope_runs.js';
import type {RunResult, RunSize} from './slope_runs.js';

/** Concurrent runs. CPU time is measured per process, so runs may overlap. */
const RUN_CONCURRENCY = 4;

/** A measured value of a run that is fitted against its size. */
interface Quantity {
  readonly name: string;
  readonly value: (run: RunResult, idle: RunResult) => number;
}

interface Series {
  readonly name: string;
  /** The dimension of the size that varies. */
  readonly x: keyof RunSize;
  readonly sizes: readonly RunSize[];
  readonly quantities: readonly Quantity[];
}

const CPU: Quantity = {
  name: 'CPU ms/s',
  value: (run) => run.cpuMsPerSecond,
};
const HEAP: Quantity = {name: 'heap MB', value: (run) => run.heapMegabytes};
const RESIDENT: Quantity = {
  name: 'resident MB',
  value: (run) => run.residentMegabytes,
};
const STORE_BYTES: Quantity = {
  name: 'store B/s',
  value: (run) => endpointBytes(run, 'store'),
};
const PEER_BYTES: Quantity = {
  name: 'peers B/s',
  value: (run) =>
    endpointBytes(run, 'peer') + endpointBytes(run, 'peer_server'),
};
const WORKER_BYTES: Quantity = {
  name: 'workers B/s',
  value: (run) => endpointBytes(run, 'worker'),
};
const STORE_WRITES: Quantity = {
  name: 'store writes/s',
  value: ({storeCallsPerSecond: {put, delete: deleted}}) => put + deleted,
};
const STORE_READS: Quantity = {
  name: 'store reads/s',
  value: ({storeCallsPerSecond: {get, list, watch}}) => get + list + watch,
};
const POLL_CPU: Quantity = {
  name: 'CPU ms/poll',
  value: (run, idle) =>
    (run.cpuMsPerSecond - idle.cpuMsPerSecond) / run.workerAnswersPerSecond,
};
const POLL_BYTES: Quantity = {
  name: 'B/poll',
  value: (run) => endpointBytes(run, 'worker') / run.workerAnswersPerSecond,
};
const READ_BYTES: Quantity = {
  name: 'first read, B',
  value: (run) => run.takeover.workerBytes,
};
const START_CPU: Quantity = {
  name: 'start, CPU ms',
  value: (run) => run.takeover.cpuMs,
};
const WRITER_CPU: Quantity = {
  name: 'writer CPU ms/s',
  value: (run) => run.writerCpuMsPerSecond,
};

const ZONE_QUANTITIES = [
  POLL_CPU,
  POLL_BYTES,
  HEAP,
  RESIDENT,
  READ_BYTES,
  START_CPU,
];
const ZONE_WORKERS = 540;
const ZONE_TASKS = 2_200;
const CUSTOMERS = 700;
/** Baseline of the other runs: a daemon without workers, peers or load. */
const IDLE: RunSize = {};

const SERIES: readonly Series[] = [
  {
    name: 'workers',
    x: 'workers',
    sizes: [60, 180, 360, ZONE_WORKERS].map((workers) => ({workers})),
    quantities: ZONE_QUANTITIES,
  },
  {
    name: 'tasks',
    x: 'tasks',
    sizes: [0, ZONE_TASKS / 2, ZONE_TASKS].map((tasks) => ({
      workers: ZONE_WORKERS,
      tasks,
    })),
    quantities: ZONE_QUANTITIES,
  },
  {
    name: 'zone peers',
    x: 'zonePeers',
    sizes: [0, 1, 2, 4].map((zonePeers) => ({zonePeers})),
    quantities: [CPU, PEER_BYTES, HEAP, RESIDENT],
  },
  {
    name: 'other zones',
    x: 'otherZones',
    sizes: [0, 1, 3, 6].map((otherZones) => ({otherZones})),
    quantities: [CPU, PEER_BYTES, HEAP, RESIDENT],
  },
  {
    name: 'customers',
    x: 'customers',
    sizes: [10, 350, CUSTOMERS].map((customers) => ({workers: 180, customers})),
    quantities: [POLL_CPU, HEAP, RESIDENT, START_CPU],
  },
  {
    name: 'changes',
    x: 'changesPerMinute',
    sizes: [0, 60, 120, 240].map((changesPerMinute) => ({
      changesPerMinute,
      customers: CUSTOMERS,
      otherZones: 1,
    })),
    quantities: [CPU, WRITER_CPU, STORE_BYTES, PEER_BYTES, STORE_READS],
  },
  {
    name: 'jobs',
    x: 'jobsPerMinute',
    sizes: [0, 60, 120, 240].map((jobsPerMinute) => ({
      jobsPerMinute,
      workers: 64,
    })),
    quantities: [CPU, STORE_BYTES, WORKER_BYTES, STORE_WRITES, STORE_READS],
  },
  {
    name: 'large jobs',
    x: 'largeJobsPerMinute',
    sizes: [0, 10, 20, 40].map((largeJobsPerMinute) => ({
      largeJobsPerMinute,
      workers: 64,
    })),
    quantities: [CPU, STORE_BYTES, WORKER_BYTES, STORE_WRITES, STORE_READS],
  },
  {
    name: 'whole zone',
    x: 'workers',
    sizes: [{workers: ZONE_WORKERS, tasks: ZONE_TASKS, customers: CUSTOMERS}],
    quantities: [],
  },
];

interface SeriesReport {
  readonly name: string;
  readonly x: string;
  readonly runs: readonly RunResult[];
  readonly fits: ReadonlyArray<
    LineFit & {readonly quantity: string; readonly points: readonly Point[]}
  >;
}

interface Report {
  readonly date: string;
  readonly machine: string;
  readonly idle: RunResult;
  readonly series: readonly SeriesReport[];
}

function endpointBytes(
  run: RunResult,
  endpoint: (typeof CONTROL_ENDPOINTS)[number],
): number {
  return run.sentPerSecond[endpoint] + run.receivedPerSecond[endpoint];
}

/** Measures each size only once, even if several series contain it. */
async function measure(series: readonly Series[]): Promise<Report> {
  const queue = new PQueue({concurrency: RUN_CONCURRENCY});
  const runs = new Map<string, Promise<RunResult>>();
  const run = (size: RunSize): Promise<RunResult> => {
    const key = JSON.stringify({...size, tasks: size.tasks ?? 0});
    const existingRun = runs.get(key);
    if (existingRun !== undefined) return existingRun;
    const newRun = queue.add(() => measureRun(size));
    runs.set(key, newRun);
    return newRun;
  };
  const [idle, ...runsBySeries] = await Promise.all([
    run(IDLE),
    ...series.map(({sizes}) => Promise.all(sizes.map(run))),
  ]);
  const [processor] = cpus();
  return {
    date: new Date().toISOString(),
    machine: `${cpus().length} x ${processor?.model}, Node ${process.version}`,
    idle,
    series: series.map((item, i) =>
      fitSeries(item, runsBySeries[i] ?? [], idle),
    ),
  };
}

function fitSeries(
  series: Series,
  runs: readonly RunResult[],
  idle: RunResult,
): SeriesReport {
  const fits = series.quantities.map(({name, value}) => {
    const points = runs.map((run) => ({
      x: run.size[series.x] ?? 0,
      y: value(run, idle),
    }));
    return {quantity: name, points, ...fitLine(points)};
  });
  return {name: series.name, x: series.x, runs, fits};
}

function printReport(report: Report): void {
  console.log(`${report.date}, ${report.machine}`);
  console.log('\nidle daemon');
  printRun(report.idle);
  for (const series of report.series) {
    console.log(`\n${series.name} (x: ${series.x})`);
    for (const run of series.runs) printRun(run);
    for (const {quantity, points, base, slope, residual} of series.fits) {
      const values = points.map(({x, y}) => `${x}: ${format(y)}`).join('  ');
      console.log(
        `  ${quantity.padEnd(16)} base ${format(base)}, ` +
          `slope ${format(slope)}, residual ${format(residual)}  (${values})`,
      );
    }
  }
}

function printRun(run: RunResult): void {
  const bytes = CONTROL_ENDPOINTS.map((endpoint) => {
    const sent = run.sentPerSecond[endpoint].toFixed(0);
    return `${endpoint} ${sent}/${run.receivedPerSecond[endpoint].toFixed(0)}`;
  });
  const calls = Object.entries(run.storeCallsPerSecond).map(
    ([call, rate]) => `${call} ${rate.toFixed(2)}`,
  );
  const {takeover} = run;
  console.log(`  ${JSON.stringify(run.size)}`);
  console.log(
    `    ${run.windowSeconds.toFixed(1)} s, CPU ` +
      `${run.cpuMsPerSecond.toFixed(2)} ms/s, heap ` +
      `${run.heapMegabytes.toFixed(1)} MB, resident ` +
      `${run.residentMegabytes.toFixed(1)} MB, ` +
      `${run.workerAnswersPerSecond.toFixed(1)} worker answers/s`,
  );
  console.log(`    bytes/s sent/received: ${bytes.join(', ')}`);
  console.log(
    `    store calls/s: ${calls.join(', ')}; ` +
      `${run.waitingWatches} watches wait`,
  );
  console.log(
    `    start to all workers read: ${takeover.elapsedMs.toFixed(0)} ms, ` +
      `CPU ${takeover.cpuMs.toFixed(0)} ms, ` +
      `${takeover.workerBytes} bytes of workers`,
  );
}

function format(value: number): string {
  return Number(value.toPrecision(4)).toString();
}

async function main(): Promise<void> {
  const {values} = parseArgs({
    options: {
      json: {type: 'boolean', default: false},
      series: {type: 'string', multiple: true, default: []},
    },
  });
  const names = SERIES.map(({name}) => name);
  const unknown = values.series.find((name) => !names.includes(name));
  if (unknown !== undefined) {
    console.error(`--series: must be one of ${names.join(', ')}`);
    process.exitCode = 2;
    return;
  }
  const selected = values.series.length > 0 ? values.series : names;
  const report = await measure(
    SERIES.filter(({name}) => selected.includes(name)),
  );
  if (values.json) console.log(JSON.stringify(report));
  else printReport(report);
}

await main();
