/**
 * Creates, connects and stops the components of one daemon: the controllers,
 * the request path, the connections to peers and the HTTP interfaces.
 */

import {AuditReader, DecisionLog} from '../controllers/audit_trail.js';
import {ConfigurationController} from '../controllers/configuration_controller.js';
import {JobBuffer} from '../controllers/job_buffer.js';
import {JobRouter} from '../controllers/job_router.js';
import {MembershipController} from '../controllers/membership_controller.js';
import {VmController} from '../controllers/vm_controller.js';
import {ZoneController} from '../controllers/zone_controller.js';
import {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {Clock} from '../lifecycle/clock.js';
import type {RandomSource} from '../lifecycle/random.js';
import {randomId} from '../model/ids.js';
import type {DaemonId, Instant} from '../model/ids.js';
import {ObservedStore} from '../interfaces/observed_store.js';
import {RequestService} from '../requests/request_service.js';
import {CellZonePlanner} from '../scheduling/cell_zone_planner.js';
import {HttpKeyValueStore} from '../transport/http_key_value_store.js';
import {HttpMinionClient} from '../transport/http_minion_client.js';
import {HttpVmList} from '../transport/http_vm_list.js';
import {HttpWorkerClient} from '../transport/http_worker_client.js';
import {TrafficCounter} from '../transport/traffic_counter.js';
import {TrpcPeerClient} from '../transport/trpc_peer_client.js';
import {TrpcPeerServer} from '../transport/trpc_peer_server.js';
import {CallerApi} from './caller_api.js';
import {addDaemonGauges} from './daemon_gauges.js';
import {createGuaranteeCheck} from './guarantee_check.js';
import {DaemonLog} from './log.js';
import type {LogComponent} from './log.js';
import {DaemonMetrics} from './metrics.js';
import type {ControlEndpoint} from './metrics.js';
import {OperatorApi} from './operator_api.js';
import {DaemonOperatorService} from './operator_service.js';
import {logOutcome} from './outcome_log.js';
import {PeerService} from './peer_service.js';
import {RoutedJobs} from './routed_jobs.js';
import {splitAddress} from './settings.js';
import type {Settings} from './settings.js';
import {
  LocalJobHolder,
  SiteJobHolders,
  SiteRequestDirectory,
} from './site_directory.js';
import {ZoneReporter} from './zone_reporter.js';
import {zoneOptions} from './zone_settings.js';

/** Addresses that the daemon listens on. */
export interface DaemonAddresses {
  readonly callers: string;
  readonly operators: string;
  readonly peers: string;
}

export interface DaemonDependencies {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly random: RandomSource;
}

export class Daemon {
  readonly daemonId = randomId<DaemonId>('daemon');
  readonly startedAt: Instant;
  readonly log: DaemonLog;
  readonly metrics = new DaemonMetrics();
  readonly vms: VmController;
  readonly configuration: ConfigurationController;
  readonly zone: ZoneController;
  readonly requests: RequestService;
  readonly jobs: JobRouter;
  readonly auditReader: AuditReader;
  private readonly scope = new CleanupScope();
  private readonly store: ObservedStore;
  private readonly peers: TrpcPeerClient;
  private readonly decisions: DecisionLog;
  private readonly jobBuffer: JobBuffer;
  private readonly callerApi: CallerApi;
  private readonly operatorApi: OperatorApi;
  private membershipController: MembershipController | undefined;
  private lastStoreCallAnswered = false;
  private stopping: Promise<void> | undefined;

  constructor(private readonly dependencies: DaemonDependencies) {
    const {settings, clock, random} = dependencies;
    const {scope, daemonId} = this;
    const {availabilityZone, timings} = settings;
    this.startedAt = clock.now();
    this.log = new DaemonLog(settings.vmId, settings.logLevel);
    this.store = this.openStore();
    this.peers = new TrpcPeerClient({
      random,
      scope,
      log: this.logFor('peers'),
      timeLimits: {heartbeatMs: timings.peerCallTimeoutMs},
    });
    this.vms = this.createVmController();
    this.configuration = new ConfigurationController({
      store: this.store,
      clock,
      random,
      scope,
      log: this.logFor('configuration'),
      validator: createGuaranteeCheck(this.vms),
      watchWaitMs: timings.watchWaitMs,
    });
    this.decisions = new DecisionLog({
      store: this.store,
      clock,
      random,
      scope,
      log: this.logFor('audit'),
      daemonId,
      availabilityZone,
    });
    this.auditReader = new AuditReader(this.store);
    this.zone = this.createZoneController();
    this.requests = this.createRequestService();
    const holders = this.createJobHolders();
    this.jobBuffer = new JobBuffer({store: this.store, holders, random, scope});
    this.jobs = new JobRouter({
      availabilityZone,
      clock,
      store: this.store,
      holders,
      configuration: () => this.configuration.current,
    });
    this.callerApi = this.createCallerApi();
    this.operatorApi = new OperatorApi(
      new DaemonOperatorService(this),
      this.metrics,
    );
    addDaemonGauges(this.metrics, {
      configuration: this.configuration,
      zone: this.zone,
      peers: this.peers,
      livePeers: () => this.membershipController?.livePeers().length ?? 0,
      storeReachable: () => this.lastStoreCallAnswered,
      heldJobs: () => this.jobBuffer.size,
    });
  }

  get settings(): Settings {
    return this.dependencies.settings;
  }

  get clock(): Clock {
    return this.dependencies.clock;
  }

  /** Available once the daemon listens for peers. */
  get membership(): MembershipController {
    if (!this.membershipController) throw new Error('daemon not started');
    return this.membershipController;
  }

  /** Whether the store answered the last call to it. */
  get storeReachable(): boolean {
    return this.lastStoreCallAnswered;
  }

  /** Starts the controllers and opens all listeners. */
  async start(): Promise<DaemonAddresses> {
    const {settings} = this.dependencies;
    const peers = await this.listenForPeers();
    this.membershipController = this.createMembership(
      settings.peers.advertise ?? peers,
    );
    this.connectControllers(this.membershipController);
    this.vms.start();
    this.configuration.start();
    this.decisions.start();
    this.requests.start(this.scope);
    this.membershipController.start();
    const operators = await this.listen(
      this.operatorApi,
      settings.operators.listen,
    );
    const callers = await this.listen(this.callerApi, settings.callers.listen);
    this.log.component('daemon').info(`serving callers on ${callers}`);
    return {callers, operators, peers};
  }

  /**
   * Stops gracefully: announces to peers and the load balancer that this daemon
   * is leaving, finishes the requests in progress, then closes everything.
   */
  stop(): Promise<void> {
    this.stopping ??= this.stopInOrder();
    return this.stopping;
  }

  private async stopInOrder(): Promise<void> {
    const {timings} = this.dependencies.settings;
    this.log
      .component('daemon')
      .info('stopping; waiting for requests in progress');
    this.membership.leave();
    await this.scope.sleep(timings.lingerMs);
    await this.zone.stopGracefully(timings.stopDeadlineMs);
    await waitAtMost(timings.stopDeadlineMs, [
      this.callerApi.close(),
      this.requests.drain(),
    ]);
    await this.operatorApi.close();
    await this.scope.close();
    this.log.component('daemon').info('stopped');
  }

  private logFor(component: LogComponent): (message: string) => void {
    const log = this.log.component(component);
    const prefix = `[${component}] `;
    // Controllers already prefix their messages with the component.
    return (message) =>
      log.info(
        message.startsWith(prefix) ? message.slice(prefix.length) : message,
      );
  }

  private countTraffic(endpoint: ControlEndpoint): TrafficCounter {
    const traffic = new TrafficCounter();
    this.metrics.addTraffic(endpoint, () => traffic.totals());
    return traffic;
  }

  private openStore(): ObservedStore {
    const {platform, timings} = this.dependencies.settings;
    const store = new HttpKeyValueStore(this.scope, {
      address: platform.address,
      callTimeoutMs: timings.storeCallTimeoutMs,
      traffic: this.countTraffic('store'),
    });
    return new ObservedStore(store, (call, reached) => {
      this.metrics.countStoreCall(call);
      this.lastStoreCallAnswered = reached;
      this.metrics.countCall('store', reached);
    });
  }

  private createVmController(): VmController {
    const {settings, random} = this.dependencies;
    const {platform, timings} = settings;
    return new VmController({
      vmList: new HttpVmList(this.scope, {
        address: platform.address,
        callTimeoutMs: timings.storeCallTimeoutMs,
        traffic: this.countTraffic('vmList'),
      }),
      random,
      scope: this.scope,
      log: this.logFor('vms'),
      watchWaitMs: timings.watchWaitMs,
    });
  }

  private createZoneController(): ZoneController {
    const {settings, clock, random} = this.dependencies;
    const {availabilityZone, timings} = settings;
    const {starvationBoundMs} = timings;
    return new ZoneController({
      zone: availabilityZone,
      createPlanner: () =>
        new CellZonePlanner({availabilityZone, starvationBoundMs}),
      workers: new HttpWorkerClient(this.scope, {
        callTimeoutMs: timings.workerCallTimeoutMs,
        traffic: this.countTraffic('worker'),
      }),
      store: this.store,
      clock,
      random,
      listener: new ZoneReporter(
        this.log.component('zone'),
        this.metrics,
        this.decisions,
      ),
      options: zoneOptions(settings),
      scope: this.scope,
      fuelShare: () => this.fuelShare(),
    });
  }

  /**
   * The generator's fuel is shared by all zones in proportion to their workers.
   */
  private fuelShare(): number {
    const siteWorkers = this.vms
      .vms()
      .filter((vm) => vm.role === 'worker').length;
    const zoneWorkers = this.vms.workers(
      this.dependencies.settings.availabilityZone,
    ).length;
    return siteWorkers === 0 ? 1 : zoneWorkers / siteWorkers;
  }

  private createRequestService(): RequestService {
    const {settings, clock, random} = this.dependencies;
    const {daemonId, configuration, vms} = this;
    const {availabilityZone} = settings;
    const membership = () => this.membership;
    return new RequestService({
      directory: new SiteRequestDirectory({
        daemonId,
        availabilityZone,
        configuration,
        vms,
        clock,
        get membership() {
          return membership();
        },
      }),
      clock,
      random,
      store: this.store,
      minions: new HttpMinionClient(this.scope),
      peers: this.peers,
      claimRetentionMs: settings.timings.claimRetentionMs,
    });
  }

  private createPeerService(): PeerService {
    return new PeerService({
      availabilityZone: this.dependencies.settings.availabilityZone,
      membership: () => this.membership,
      configuration: this.configuration,
      zone: () => this.zone,
      jobBuffer: () => this.jobBuffer,
      requests: () => this.requests,
    });
  }

  private createJobHolders(): SiteJobHolders {
    const local = new LocalJobHolder(this.createPeerService());
    return new SiteJobHolders(() => this.membership, this.peers, local);
  }

  private createCallerApi(): CallerApi {
    return new CallerApi({
      requests: {
        submit: (submission, signal) => {
          const receivedAt = this.clock.now();
          const submitted = this.requests.submit(submission, signal);
          void submitted.outcome.then((outcome) => {
            this.metrics.countOutcome(outcome, this.clock.now() - receivedAt);
            logOutcome(this.log.component('requests'), submission, outcome);
          });
          return submitted;
        },
        outcome: (requestId) => this.requests.outcome(requestId),
      },
      jobs: new RoutedJobs(this.jobs, this.metrics),
      reasonNotReady: () => this.reasonNotReady(),
    });
  }

  private reasonNotReady(): string | undefined {
    if (this.membership.leaving) return 'the daemon is leaving';
    if (this.configuration.version === 0) return 'no configuration is known';
    return undefined;
  }

  private createMembership(address: string): MembershipController {
    const {settings, clock} = this.dependencies;
    const {timings} = settings;
    return new MembershipController({
      daemonId: this.daemonId,
      vmId: settings.vmId,
      availabilityZone: settings.availabilityZone,
      address,
      seeds: settings.peers.seeds,
      heartbeatIntervalMs: timings.heartbeatIntervalMs,
      remoteHeartbeatIntervalMs: timings.crossZoneHeartbeatIntervalMs,
      peerTimeoutMs: timings.peerTimeoutMs,
      peers: this.peers,
      vms: this.vms,
      configuration: this.configuration,
      queueLengths: () => this.requests.queueLengths(),
      clock,
      scope: this.scope,
      log: this.logFor('membership'),
    });
  }

  private connectControllers(membership: MembershipController): void {
    const {zone, vms, configuration} = this;
    const {availabilityZone} = this.dependencies.settings;
    const updateSchedulerRole = () => {
      if (membership.isScheduler()) zone.start();
      else zone.stop();
      this.jobBuffer.submitToSchedulers();
    };
    membership.onChange((change) => {
      if (change.availabilityZone !== availabilityZone) return;
      updateSchedulerRole();
      // The VM list may report that this VM is leaving. The call is deferred
      // because `stop` sets the leaving flag itself, which triggers this event.
      if (membership.leaving) setImmediate(() => void this.stop());
    });
    vms.onChange(() => zone.setWorkers(vms.workers(availabilityZone)));
    configuration.onApplied((applied) => {
      zone.configure(applied.configuration);
    });
  }

  private async listenForPeers(): Promise<string> {
    const {host, port} = splitAddress(this.dependencies.settings.peers.listen);
    const server = await TrpcPeerServer.listen({
      handler: this.createPeerService(),
      host,
      port,
      scope: this.scope,
      log: this.logFor('peers'),
    });
    if (server.isErr) throw server.error;
    this.metrics.addGauge(
      'peer_server_sent_bytes',
      'Bytes sent on connections that peers opened.',
      () => server.value.totals().sentBytes,
    );
    this.metrics.addGauge(
      'peer_server_received_bytes',
      'Bytes received on connections that peers opened.',
      () => server.value.totals().receivedBytes,
    );
    return `${host}:${server.value.port}`;
  }

  private async listen(
    api: {listen(host: string, port: number): Promise<number>},
    address: string,
  ): Promise<string> {
    const {host, port} = splitAddress(address);
    return `${host}:${await api.listen(host, port)}`;
  }
}

/** Waits for all promises, for at most `limitMs`. */
async function waitAtMost(
  limitMs: number,
  waits: ReadonlyArray<Promise<void>>,
): Promise<void> {
  const limit = new CleanupScope();
  await Promise.race([Promise.all(waits), limit.sleep(limitMs)]);
  await limit.close();
}
