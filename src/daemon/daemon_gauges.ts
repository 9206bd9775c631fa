/**
 * Gauges of one daemon; their values are read at each scrape.
 */

import type {ConfigurationController} from '../controllers/configuration_controller.js';
import type {ZoneController} from '../controllers/zone_controller.js';
import type {TrpcPeerClient} from '../transport/trpc_peer_client.js';
import type {DaemonMetrics} from './metrics.js';

/** Components that the gauges read from. */
export interface GaugeSources {
  readonly configuration: Pick<ConfigurationController, 'version'>;
  readonly zone: Pick<ZoneController, 'active'>;
  readonly peers: Pick<TrpcPeerClient, 'linkCounters'>;
  readonly livePeers: () => number;
  readonly storeReachable: () => boolean;
  /** Accepted jobs that are not known to be in the store. */
  readonly heldJobs: () => number;
}

export function addDaemonGauges(
  metrics: DaemonMetrics,
  sources: GaugeSources,
): void {
  metrics.addGauge(
    'configuration_version',
    'Version of the configuration in force.',
    () => sources.configuration.version,
  );
  metrics.addGauge(
    'scheduler',
    '1 if this daemon is the scheduler of its zone, else 0.',
    () => (sources.zone.active ? 1 : 0),
  );
  metrics.addGauge(
    'peer_sent_bytes',
    'Bytes sent on the links to peers that are in use.',
    () => total(sources.peers.linkCounters(), 'sentBytes'),
  );
  metrics.addGauge(
    'peer_received_bytes',
    'Bytes received on the links to peers that are in use.',
    () => total(sources.peers.linkCounters(), 'receivedBytes'),
  );
  metrics.addGauge('live_peers', 'Peers that were heard in time.', () =>
    sources.livePeers(),
  );
  metrics.addGauge(
    'store_reachable',
    '1 if the last call to the store was answered, else 0.',
    () => (sources.storeReachable() ? 1 : 0),
  );
  metrics.addGauge(
    'jobs_held_in_memory',
    'Accepted jobs that are not known to be in the store.',
    () => sources.heldJobs(),
  );
}

function total<T extends string>(
  counters: ReadonlyArray<Readonly<Record<T, number>>>,
  name: T,
): number {
  return counters.reduce((sum, counter) => sum + counter[name], 0);
}
