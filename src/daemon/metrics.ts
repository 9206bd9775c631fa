/**
 * Metrics of one daemon in the Prometheus format. Label cardinality is bounded:
 * outcomes, reasons and event kinds are fixed sets, and no id is a label.
 */

import {
  Counter,
  Gauge,
  Histogram,
  Registry,
  collectDefaultMetrics,
} from 'prom-client';
import type {Outcome} from '../model/requests.js';
import type {StoreCall} from '../interfaces/observed_store.js';
import type {Traffic} from '../transport/traffic_counter.js';

const NAME_PREFIX = 'bramleystep_';
const MILLISECONDS_PER_SECOND = 1_000;
/**
 * prom-client samples the event-loop delay with a timer that cannot be turned
 * off. At its default interval of 10 ms it costs an idle daemon about 4 ms of
 * CPU per second, a third of its CPU budget.
 */
const LOOP_MONITOR_INTERVAL_MS = 60_000;
const LOOP_MONITOR_METRICS = [
  'min',
  'max',
  'mean',
  'stddev',
  'p50',
  'p90',
  'p99',
] as const;
/** From half the duration of a fast check to the longest request deadline. */
const REQUEST_BUCKETS_SECONDS = [
  0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60,
];

/** Services and processes that a daemon exchanges control messages with. */
export type ControlEndpoint = 'store' | 'vmList' | 'worker' | 'peer';

export class DaemonMetrics {
  readonly registry = new Registry();
  private readonly requests: Counter<'outcome' | 'reason'>;
  private readonly requestSeconds: Histogram<'outcome'>;
  private readonly zoneEvents: Counter<'event'>;
  private readonly calls: Counter<'party' | 'result'>;
  private readonly storeCalls: Counter<'call'>;
  private readonly jobs: Counter<'durability'>;

  constructor() {
    collectDefaultMetrics({
      register: this.registry,
      eventLoopMonitoringPrecision: LOOP_MONITOR_INTERVAL_MS,
    });
    // The histogram behind these metrics is meaningless at that interval;
    // `nodejs_eventloop_lag_seconds`, measured at each scrape, is independent.
    for (const name of LOOP_MONITOR_METRICS) {
      this.registry.removeSingleMetric(`nodejs_eventloop_lag_${name}_seconds`);
    }
    const registers = [this.registry];
    this.requests = new Counter({
      name: `${NAME_PREFIX}requests_total`,
      help: 'Service requests by outcome and reason.',
      labelNames: ['outcome', 'reason'],
      registers,
    });
    this.requestSeconds = new Histogram({
      name: `${NAME_PREFIX}request_duration_seconds`,
      help: 'Time from the receipt of a service request to its outcome.',
      labelNames: ['outcome'],
      buckets: REQUEST_BUCKETS_SECONDS,
      registers,
    });
    this.zoneEvents = new Counter({
      name: `${NAME_PREFIX}zone_events_total`,
      help: 'Decisions and observations of the zone scheduler.',
      labelNames: ['event'],
      registers,
    });
    this.calls = new Counter({
      name: `${NAME_PREFIX}control_calls_total`,
      help: 'Control calls to other processes by result.',
      labelNames: ['party', 'result'],
      registers,
    });
    this.storeCalls = new Counter({
      name: `${NAME_PREFIX}store_calls_total`,
      help: 'Ended calls to the store by kind; a watch counts when it ends.',
      labelNames: ['call'],
      registers,
    });
    this.jobs = new Counter({
      name: `${NAME_PREFIX}jobs_accepted_total`,
      help: 'Jobs accepted from callers by durability.',
      labelNames: ['durability'],
      registers,
    });
  }

  countOutcome(outcome: Outcome, durationMs: number): void {
    const reason = outcome.outcome === 'answered' ? '' : outcome.reason;
    this.requests.inc({outcome: outcome.outcome, reason});
    this.requestSeconds.observe(
      {outcome: outcome.outcome},
      durationMs / MILLISECONDS_PER_SECOND,
    );
  }

  countZoneEvent(event: string): void {
    this.zoneEvents.inc({event});
  }

  countCall(endpoint: ControlEndpoint, succeeded: boolean): void {
    this.calls.inc({party: endpoint, result: succeeded ? 'ok' : 'error'});
  }

  countStoreCall(call: StoreCall): void {
    this.storeCalls.inc({call});
  }

  countJob(durability: 'store' | 'memory'): void {
    this.jobs.inc({durability});
  }

  /** Adds a gauge whose value is read at each scrape. */
  addGauge(name: string, help: string, read: () => number): void {
    new Gauge({
      name: `${NAME_PREFIX}${name}`,
      help,
      registers: [this.registry],
      collect() {
        this.set(read());
      },
    });
  }

  /** Adds gauges for the total traffic on the HTTP connections to an endpoint. */
  addTraffic(endpoint: ControlEndpoint, read: () => Traffic): void {
    const name = endpoint === 'vmList' ? 'vm_list' : endpoint;
    const connections = `the connections to the party ${endpoint}`;
    this.addGauge(
      `${name}_sent_bytes`,
      `Bytes sent on ${connections}.`,
      () => read().sentBytes,
    );
    this.addGauge(
      `${name}_received_bytes`,
      `Bytes received on ${connections}.`,
      () => read().receivedBytes,
    );
    this.addGauge(
      `${name}_answers`,
      `Whole answers received on ${connections}.`,
      () => read().answers,
    );
  }

  /** Returns the body and content type of a scrape. */
  async render(): Promise<{contentType: string; text: string}> {
    return {
      contentType: this.registry.contentType,
      text: await this.registry.metrics(),
    };
  }
}
