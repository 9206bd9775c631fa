/**
 * Formats the results of a bench run as text tables or as JSON.
 */

import type {JobsSummary} from './measures.js';
import type {PolicyResult} from './replay.js';
import type {Workload} from './workload.js';

const MILLISECONDS_PER_MINUTE = 60_000;

type Row = readonly string[];

/** All results as one JSON value; times in milliseconds. */
export function jsonReport(
  workload: Workload,
  results: readonly PolicyResult[],
): string {
  return JSON.stringify({
    workload: workload.name,
    seed: workload.seed,
    hours: hoursOf(workload),
    jobs: jobCount(workload),
    policies: results.map((result) => ({
      ...result,
      customers: Object.fromEntries(result.customers),
    })),
  });
}

/** Tables of the zone per policy and of the jobs per policy and customer. */
export function textReport(
  workload: Workload,
  results: readonly PolicyResult[],
): string {
  const {name, seed, workers} = workload;
  return [
    `${name}, seed ${seed}: ${workers.length} workers, ` +
      `${jobCount(workload)} jobs in ${hoursOf(workload)} hours`,
    '',
    'Zone',
    ...table(ZONE_HEADER, results.map(zoneRow)),
    '',
    'Jobs (completion in minutes, waits in ms, lost work in accelerator hours)',
    ...table(JOBS_HEADER, results.flatMap(jobRows)),
    '',
    'Visited cells per decision',
    ...results.flatMap(({policy, visitedCells: cells}) =>
      cells === undefined
        ? []
        : [
            `${policy}: mean ${cells.mean.toFixed(1)}, p99 ${cells.p99}, ` +
              `worst ${cells.worst}, ${cells.count} decisions`,
          ],
    ),
  ].join('\n');
}

const ZONE_HEADER: Row = [
  'policy',
  'utilisation',
  'fragmentation',
  'guaranteed',
  'racks 8/16/64',
  'tasks',
  'refused',
  'wrongly blamed',
  'generator kWh',
];

function zoneRow({zone, ...result}: PolicyResult): Row {
  return [
    result.policy,
    percent(zone.utilisation),
    percent(zone.fragmentation),
    percent(zone.guaranteedFragmentation),
    zone.racksAbleToHost.map((racks) => racks.toFixed(2)).join(' / '),
    zone.runningTasks.toFixed(1),
    String(result.refused),
    String(result.wronglyBlamed),
    result.generatorKilowattHours.toFixed(1),
  ];
}

const JOBS_HEADER: Row = [
  'policy',
  'customer',
  'finished',
  'unfinished',
  'mean',
  'p95',
  'p99',
  'slowdown',
  'wait p99',
  'worst',
  'preempted',
  'lost',
  'lost to power',
];

function jobRows({policy, total, customers}: PolicyResult): readonly Row[] {
  const rows = [...customers].map(([customerId, summary]) =>
    jobRow(policy, customerId, summary),
  );
  return [jobRow(policy, 'all', total), ...rows];
}

function jobRow(policy: string, customer: string, summary: JobsSummary): Row {
  const {completion, guaranteedWait} = summary;
  return [
    policy,
    customer,
    String(completion.count),
    String(summary.unfinished),
    minutes(completion.mean),
    minutes(completion.p95),
    minutes(completion.p99),
    summary.slowdown.mean.toFixed(2),
    String(guaranteedWait.p99),
    String(guaranteedWait.worst),
    String(summary.preemptions),
    summary.lostHours.toFixed(1),
    summary.lostToPowerHours.toFixed(1),
  ];
}

function table(header: Row, rows: readonly Row[]): readonly string[] {
  const widths = header.map((title, column) =>
    Math.max(title.length, ...rows.map((row) => row[column]?.length ?? 0)),
  );
  return [header, ...rows].map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  );
}

function minutes(milliseconds: number): string {
  return (milliseconds / MILLISECONDS_PER_MINUTE).toFixed(1);
}

function percent(share: number): string {
  return `${(100 * share).toFixed(1)}%`;
}

function hoursOf({startsAt, endsAt}: Workload): number {
  return (endsAt - startsAt) / MILLISECONDS_PER_MINUTE / 60;
}

function jobCount({events}: Workload): number {
  return events.filter((event) => event.kind === 'submit').length;
}
