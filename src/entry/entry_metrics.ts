/**
 * Metrics of the entry daemon in the Prometheus format. Labels have a fixed
 * set of values, never ids, to bound the number of time series.
 */

import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import type {LeaderSession} from '../leader/session.js';
import type {CloseReason, ListenerName} from './connection_limits.js';
import type {ListenerObserver} from './http_listener.js';

const NAME_PREFIX = 'bramleystep_entry_';
const MILLISECONDS_PER_SECOND = 1_000;

/** Cover answers from memory up to the longest wait for the store. */
const ANSWER_BUCKETS_SECONDS = [
  0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2,
];

export class EntryMetrics implements ListenerObserver {
  private readonly registry = new Registry();
  private readonly answers = new Counter({
    name: `${NAME_PREFIX}answers_total`,
    help: 'Answers to callers by method and kind',
    labelNames: ['method', 'kind'],
    registers: [this.registry],
  });
  private readonly answerSeconds = new Histogram({
    name: `${NAME_PREFIX}answer_seconds`,
    help: 'Time from a whole call to its answer',
    labelNames: ['method'],
    buckets: ANSWER_BUCKETS_SECONDS,
    registers: [this.registry],
  });
  private readonly leads = new Gauge({
    name: `${NAME_PREFIX}leads`,
    help: '1 while this daemon leads',
    registers: [this.registry],
  });
  private readonly openJobs = new Gauge({
    name: `${NAME_PREFIX}open_jobs`,
    help: 'Accepted jobs that have not ended, on the leader',
    registers: [this.registry],
  });

  private readonly workBytes = new Gauge({
    name: `${NAME_PREFIX}work_bytes`,
    help: 'Memory that all known jobs are counted with, on the leader',
    registers: [this.registry],
  });

  private readonly workerCrashes = new Gauge({
    name: `${NAME_PREFIX}worker_crashes`,
    help: 'Crashes of workers with runs in this term, on the leader',
    registers: [this.registry],
  });
  private readonly jobsGivenUp = new Gauge({
    name: `${NAME_PREFIX}jobs_given_up`,
    help: 'Jobs failed in this term as a task crashed workers, on the leader',
    registers: [this.registry],
  });

  private readonly evacuatedZones = new Gauge({
    name: `${NAME_PREFIX}evacuated_zones`,
    help: 'Availability zones that are evacuated, on the leader',
    registers: [this.registry],
  });
  private readonly evacuatedRuns = new Gauge({
    name: `${NAME_PREFIX}evacuated_zone_runs`,
    help: 'Runs still on the workers of evacuated zones, on the leader',
    registers: [this.registry],
  });
  private readonly withheldStarts = new Gauge({
    name: `${NAME_PREFIX}withheld_starts`,
    help: 'Starts withheld in this term for an evacuation, on the leader',
    registers: [this.registry],
  });
  private readonly lostRuns = new Gauge({
    name: `${NAME_PREFIX}lost_runs`,
    help: 'Runs that ended in this term before their work was done, on the leader',
    labelNames: ['cause'],
    registers: [this.registry],
  });
  private readonly lostCoreSeconds = new Gauge({
    name: `${NAME_PREFIX}lost_core_seconds`,
    help: 'Work lost with these runs, an accelerator as 8 cores, on the leader',
    labelNames: ['cause'],
    registers: [this.registry],
  });
  private readonly workersBySpeed = new Gauge({
    name: `${NAME_PREFIX}workers_by_speed`,
    help: 'Workers by learned speed, on the leader, if it uses speeds',
    labelNames: ['speed'],
    registers: [this.registry],
  });
  private readonly interferingPairs = new Gauge({
    name: `${NAME_PREFIX}interfering_pairs`,
    help: 'Pairs of kinds of work that slow each other down, on the leader',
    registers: [this.registry],
  });
  private readonly largestSlowdown = new Gauge({
    name: `${NAME_PREFIX}interference_largest_slowdown`,
    help: 'Largest factor of a run time in such a pair, 1 without pairs',
    registers: [this.registry],
  });
  private readonly connections = new Gauge({
    name: `${NAME_PREFIX}connections`,
    help: 'Open connections by address',
    labelNames: ['listener'],
    registers: [this.registry],
  });
  private readonly closedConnections = new Counter({
    name: `${NAME_PREFIX}closed_connections_total`,
    help: 'Connections closed at a limit, by address and limit',
    labelNames: ['listener', 'reason'],
    registers: [this.registry],
  });
  private readonly refusedRequests = new Counter({
    name: `${NAME_PREFIX}refused_requests_total`,
    help: 'Requests refused as too many were in progress, by address',
    labelNames: ['listener'],
    registers: [this.registry],
  });

  recordAnswer(method: string, kind: string, tookMs: number): void {
    this.answers.inc({method, kind});
    this.answerSeconds.observe({method}, tookMs / MILLISECONDS_PER_SECOND);
  }

  recordClosed(listener: ListenerName, reason: CloseReason): void {
    this.closedConnections.inc({listener, reason});
  }

  recordRefused(listener: ListenerName): void {
    this.refusedRequests.inc({listener});
  }

  recordConnections(listener: ListenerName, count: number): void {
    this.connections.set({listener}, count);
  }

  render(session: LeaderSession | undefined): Promise<string> {
    this.leads.set(session === undefined ? 0 : 1);
    this.openJobs.set(session?.openJobCount ?? 0);
    this.workBytes.set(session?.workBytes ?? 0);
    this.workerCrashes.set(session?.crashCounts.workerCrashes ?? 0);
    this.jobsGivenUp.set(session?.crashCounts.jobsGivenUp ?? 0);
    const evacuation = session?.evacuationStatus;
    this.evacuatedZones.set(evacuation?.zones.length ?? 0);
    this.evacuatedRuns.set(evacuation?.runs ?? 0);
    this.withheldStarts.set(evacuation?.withheldStarts ?? 0);
    this.lostRuns.reset();
    this.lostCoreSeconds.reset();
    for (const [cause, {runs, coreSeconds}] of session?.statistics.lostWork
      .counts ?? []) {
      this.lostRuns.set({cause}, runs);
      this.lostCoreSeconds.set({cause}, coreSeconds);
    }
    this.workersBySpeed.reset();
    for (const [speed, count] of Object.entries(session?.speedCounts ?? {})) {
      this.workersBySpeed.set({speed}, Number(count));
    }
    const pairs = session?.statistics.interference.believedPairs() ?? [];
    this.interferingPairs.set(pairs.length);
    this.largestSlowdown.set(pairs[0]?.slowdown ?? 1);
    return this.registry.metrics();
  }
}
