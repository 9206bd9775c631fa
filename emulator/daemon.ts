/**
 * The leadership code of one daemon, run in process against an emulated site.
 * Each daemon has its own injectable faults.
 */

import type bunyan from 'bunyan';
import {PlatformEvacuationOrders} from '../platform/evacuations.js';
import {PlatformMaintenanceRequests} from '../platform/machines.js';
import {DaemonLog} from '../src/daemon/log.js';
import {LeaderLog} from '../src/leader/leader_log.js';
import {Leadership} from '../src/leader/leadership.js';
import {LEADER_KEY} from '../src/leader/jobs/records.js';
import {StoreProxy} from '../src/leader/store_proxy.js';
import type {CoordinationStore} from '../src/interfaces/coordination_store.js';
import {SiteView} from '../src/leader/site_view.js';
import {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import {Clock} from '../src/lifecycle/clock.js';
import {SeededRandom} from '../src/lifecycle/random.js';
import {instant, trustedId} from '../src/model/ids.js';
import type {Instant} from '../src/model/ids.js';
import type {HostedConfiguration} from '../src/model/queues.js';
import {noOrderFaults, noStoreFaults} from './faults.js';
import type {EmulatedSite} from './site.js';
import {EmulatedVmService, MAINTENANCE_MS} from './vms.js';
import type {VmFaults} from './vms.js';
import {EmulatedStore, EmulatedWorkers} from './site.js';

/** Relays store calls through the first other daemon that reaches the store. */
class EmulatedStoreProxy extends StoreProxy {
  constructor(
    private readonly name: string,
    private readonly daemons: ReadonlyMap<string, EmulatedDaemon>,
  ) {
    super();
  }

  override async findDaemonWithStoreAccess(): Promise<string | undefined> {
    for (const [name, {store}] of this.daemons) {
      if (name !== this.name && (await store.get(LEADER_KEY)).isOk) return name;
    }
    return undefined;
  }

  override async endLease(address: string, lease: number): Promise<boolean> {
    const ended = await this.daemons.get(address)?.store.endLease(lease);
    return ended?.isOk === true;
  }
}

/** Longer than any run of the emulator, so that no state expires. */
const STATE_RETENTION_MS = 600_000;

/** Time of day that can be set. */
class EmulatedClock extends Clock {
  offsetMs = 0;

  override now(): Instant {
    return instant(Date.now() + this.offsetMs);
  }
}

export interface EmulatedDaemonOptions {
  readonly name: string;
  readonly seed: number;
  readonly holdMaximumMs: number;
  readonly configuration: HostedConfiguration;
  readonly logLevel: bunyan.LogLevelString;
  /** See `MaintenanceSettings`; 0 by default. */
  readonly noticeMs?: number;
  readonly handoverMs?: number;
  /** See `EvacuationOptions`; without it, zones are not evacuated. */
  readonly evacuationBoundMs?: number | undefined;
}

export class EmulatedDaemon {
  readonly scope = new CleanupScope();
  readonly clock = new EmulatedClock();
  readonly storeFaults = noStoreFaults();
  readonly orderFaults = noOrderFaults();
  readonly vmFaults: VmFaults = {lateShare: 0, lateMs: 0};
  readonly store: CoordinationStore;
  readonly leadership: Leadership;
  readonly site: SiteView;

  constructor(emulated: EmulatedSite, options: EmulatedDaemonOptions) {
    const {name, configuration, holdMaximumMs, evacuationBoundMs} = options;
    const random = new SeededRandom(options.seed);
    const log = new DaemonLog(name, options.logLevel);
    const store = new EmulatedStore(emulated.store, this.storeFaults, random);
    this.store = store;
    emulated.daemons.set(name, this);
    this.scope.add(() => {
      emulated.daemons.delete(name);
    });
    this.site = new SiteView(store, this.scope, log.component('membership'));
    this.leadership = new Leadership(
      {
        store,
        workers: new EmulatedWorkers(emulated, this.orderFaults, random),
        directory: emulated.directoryFor(store),
        advisor: emulated.advisor,
        proxy: new EmulatedStoreProxy(name, emulated.daemons),
        workerVms: {
          vmService: new EmulatedVmService(emulated, this.vmFaults, random),
          requests: new PlatformMaintenanceRequests(
            store,
            log.component('vms'),
          ),
          holder: trustedId(name),
          maintenanceMs: MAINTENANCE_MS,
          noticeMs: options.noticeMs ?? 0,
          handoverMs: options.handoverMs ?? 0,
        },
        evacuations:
          evacuationBoundMs === undefined
            ? undefined
            : {
                orders: new PlatformEvacuationOrders(store),
                boundMs: evacuationBoundMs,
              },
        clock: this.clock,
        log: new LeaderLog(log),
      },
      {
        vmId: name,
        peerAddress: `${name}:1`,
        cores: 1,
        linkMbps: 1_000,
        holdMaximumMs,
        stateRetentionMs: STATE_RETENTION_MS,
      },
      this.site,
      () => configuration,
      random,
      this.scope,
    );
    void this.site.start();
  }

  /** Ends the daemon as SIGKILL does: no lease or key is released. */
  kill(): Promise<void> {
    return this.scope.close();
  }

  get isLeader(): boolean {
    return this.leadership.session !== undefined;
  }
}
