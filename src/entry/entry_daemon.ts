/**
 * A daemon of a hosted site: answers callers, takes part in leader elections
 * and schedules jobs while it is the leader.
 */

import type {DaemonLog, ComponentLog} from '../daemon/log.js';
import {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {Clock} from '../lifecycle/clock.js';
import {steadyNow} from '../lifecycle/clock.js';
import {PauseDetector} from '../lifecycle/pause_detector.js';
import type {RandomSource} from '../lifecycle/random.js';
import {LeaderLog} from '../leader/leader_log.js';
import {Leadership} from '../leader/leadership.js';
import type {LeadershipSettings} from '../leader/leadership.js';
import {MEMBER_PREFIX} from '../leader/jobs/records.js';
import type {MemberRecord} from '../leader/jobs/records.js';
import type {SessionDependencies} from '../leader/session_options.js';
import type {WorkerVmOptions} from '../leader/vms/vm_management.js';
import {SiteView} from '../leader/site_view.js';
import {trustedId} from '../model/ids.js';
import type {HostedConfiguration} from '../model/queues.js';
import type {ConfigurationSource} from '../interfaces/configuration_source.js';
import type {CoordinationStore} from '../interfaces/coordination_store.js';
import type {EvacuationOrders} from '../interfaces/evacuation_orders.js';
import type {MaintenanceRequests} from '../interfaces/maintenance_requests.js';
import type {PlacementAdvisor} from '../interfaces/placement_advisor.js';
import type {TaskWorkerClient} from '../interfaces/task_worker.js';
import type {VmService} from '../interfaces/vm_service.js';
import type {WorkerDirectory} from '../interfaces/worker_directory.js';
import {ConnectionsByAddress} from '../transport/http_connections.js';
import {CallerGateway} from './caller_gateway.js';
import type {
  CallerAnswer,
  CallerCall,
  LeaderQuery,
  LeaderReply,
} from './calls.js';
import {LeaderQueryHandler} from './calls.js';
import {ConfigurationFeed} from './configuration_feed.js';
import {EntryMetrics} from './entry_metrics.js';
import {connectionBounds} from './connection_limits.js';
import type {ListenerName} from './connection_limits.js';
import type {JobDecoder} from './explanations.js';
import type {HttpHandler} from './http_listener.js';
import {HttpListener} from './http_listener.js';
import {
  HttpSitePeers,
  MAXIMUM_MESSAGE_BYTES,
  peerHandler,
} from './http_peers.js';
import {PeerStoreProxy, runRelayedStoreCall} from './relayed_store_calls.js';
import type {EntrySettings} from './settings.js';
import {
  maximumWorkBytes,
  preemptionSettings,
  usesWorkerSpeeds,
} from './settings.js';
import {SiteOperatorApi} from './site_operators.js';

/**
 * Fraction of the stop grace time in which callers are still answered. The
 * platform needs up to two readiness checks, a second apart, to redirect them.
 */
const SERVING_FRACTION_OF_STOP_GRACE = 0.5;

const MEMBER_RETRY_MS = 1_000;

/** Applies until the first configuration has been read. */
const LARGEST_USUAL_BODY_BYTES = 262_144;

export interface EntryDependencies {
  readonly store: CoordinationStore;
  /** For callers' calls only, whose queue must not delay the daemon's own. */
  readonly callerStore: CoordinationStore;
  readonly workers: TaskWorkerClient;
  readonly directory: WorkerDirectory;
  readonly configuration: ConfigurationSource;
  readonly advisor?: PlacementAdvisor | undefined;
  /** Absent if the platform has no VM service. */
  readonly vmService?: VmService | undefined;
  readonly evacuationOrders: EvacuationOrders;
  readonly maintenanceRequests: MaintenanceRequests;
}

/** Creates the platform-specific HTTP handlers for a daemon. */
export interface EntryHandlerFactories {
  callers(daemon: EntryDaemon): HttpHandler;
  readiness(daemon: EntryDaemon): HttpHandler;
}

export interface EntryOptions {
  readonly settings: EntrySettings;
  readonly dependencies: EntryDependencies;
  readonly handlerFactories: EntryHandlerFactories;
  /** For submissions in the platform's format. */
  readonly decodeJob: JobDecoder;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DaemonLog;
}

export class EntryDaemon {
  private readonly scope = new CleanupScope();
  private readonly log: ComponentLog;
  private readonly metrics = new EntryMetrics();
  private readonly feed: ConfigurationFeed;
  private readonly site: SiteView;
  private readonly leadership: Leadership;
  private readonly gateway: CallerGateway;
  private readonly callerListener: HttpListener;
  private readonly readinessListener: HttpListener;
  private readonly peerListener: HttpListener;
  private readonly peerAddress: string;
  private isStopping = false;

  constructor(private readonly options: EntryOptions) {
    const {settings, dependencies, clock, random, log} = options;
    const {scope} = this;
    this.log = log.component('daemon');
    this.peerAddress = `${settings.peerHost}:${settings.peerPort}`;
    const pauses = new PauseDetector(clock, scope);
    pauses.onPause(() => this.log.warn('was paused, polls the store again'));
    this.feed = new ConfigurationFeed(
      dependencies.configuration,
      scope,
      log.component('configuration'),
      pauses,
    );
    this.site = new SiteView(
      dependencies.store,
      scope,
      log.component('membership'),
      pauses,
    );
    const peers = new HttpSitePeers(new ConnectionsByAddress(scope));
    this.leadership = new Leadership(
      {
        ...dependencies,
        proxy: new PeerStoreProxy(peers, this.site, random, this.peerAddress),
        ...sessionOptions(settings, dependencies, pauses),
        clock,
        log: new LeaderLog(log),
      },
      leadershipSettings(settings, this.peerAddress),
      this.site,
      () => this.feed.configuration,
      random,
      scope,
    );
    const queryHandler = new SessionQueryHandler(this.leadership);
    this.gateway = new CallerGateway(
      {
        store: dependencies.callerStore,
        feed: this.feed,
        site: this.site,
        queryHandler,
        peers,
        clock,
        random,
        log: log.component('entry'),
        scope,
        limits: {
          maximumWorkBytes: maximumWorkBytes(settings.clientLimits),
          maximumValueBytes: settings.storeValueBytes,
        },
      },
      this.peerAddress,
    );
    [this.callerListener, this.readinessListener, this.peerListener] =
      this.createListeners(queryHandler);
    this.feed.onChange(() => this.applyLimits());
  }

  private createListeners(
    queryHandler: LeaderQueryHandler,
  ): [HttpListener, HttpListener, HttpListener] {
    const {handlerFactories, log, settings} = this.options;
    const entryLog = log.component('entry');
    const bounds = connectionBounds(settings.clientLimits);
    const observer = this.metrics;
    const createListener = (
      name: ListenerName,
      handler: HttpHandler,
      maximumBodyBytes: () => number,
      componentLog = entryLog,
    ) =>
      new HttpListener({
        name,
        bounds: bounds[name],
        handler,
        maximumBodyBytes,
        log: componentLog,
        observer,
      });
    return [
      createListener(
        'callers',
        handlerFactories.callers(this),
        () =>
          this.configuration?.limits.maximumBodyBytes ??
          LARGEST_USUAL_BODY_BYTES,
      ),
      createListener('readiness', handlerFactories.readiness(this), () => 0),
      createListener(
        'peers',
        peerHandler({
          queryHandler,
          operatorApi: this.createOperatorApi(),
          handleForwarded: (call) => this.answer(call, true),
          runRelayedStoreCall: (call) =>
            runRelayedStoreCall(this.options.dependencies.store, call),
          metrics: () => this.metrics.render(this.leadership.session),
        }),
        () => MAXIMUM_MESSAGE_BYTES,
        log.component('peers'),
      ),
    ];
  }

  private createOperatorApi(): SiteOperatorApi {
    const {settings, dependencies, clock, log, decodeJob} = this.options;
    return new SiteOperatorApi({
      vmId: settings.vmId,
      availabilityZone: settings.availabilityZone,
      ownAddress: this.peerAddress,
      feed: this.feed,
      site: this.site,
      store: dependencies.store,
      connections: new ConnectionsByAddress(this.scope),
      clock,
      log: log.component('operators'),
      decodeJob,
      isReady: () => this.isReady,
      session: () => this.leadership.session,
    });
  }

  get configuration(): HostedConfiguration | undefined {
    return this.feed.configuration;
  }

  get isReady(): boolean {
    return !this.isStopping && this.gateway.isReady(steadyNow());
  }

  handle(call: CallerCall): Promise<CallerAnswer> {
    return this.answer(call, false);
  }

  async start(): Promise<void> {
    const {settings} = this.options;
    await this.callerListener.listen(settings.callerAddress);
    await this.readinessListener.listen(settings.readinessAddress);
    await this.peerListener.listen(this.peerAddress);
    const {availabilityZone, advisorAddress, vmService} = settings;
    this.log.info(
      `started in zone ${availabilityZone}, ` +
        `advisor ${advisorAddress ?? 'none'}, ` +
        `VM service ${vmService?.address ?? 'none'}`,
    );
    void this.feed.start();
    void this.site.start();
    void this.registerMember();
  }

  /**
   * Continues after an error that no caller handled. What a leader keeps in
   * memory may be inconsistent then, so the term ends and the next one starts
   * from the stored records.
   */
  recover(error: unknown): void {
    const detail = error instanceof Error ? error.stack : String(error);
    this.log.error(`unexpected error, continuing: ${detail ?? 'no detail'}`);
    this.leadership.abandonTerm('an unexpected error occurred');
  }

  /** Resigns as leader, answers calls in progress and closes all listeners. */
  async stop(): Promise<void> {
    if (this.isStopping) return;
    this.isStopping = true;
    this.log.info('stopping, no longer ready');
    this.callerListener.beginClose();
    await this.leadership.resign();
    const servingMs =
      this.options.settings.stopGraceS * 1_000 * SERVING_FRACTION_OF_STOP_GRACE;
    await this.scope.sleep(servingMs);
    await this.callerListener.close();
    await this.peerListener.close();
    await this.readinessListener.close();
    await this.scope.close();
    this.log.info('stopped');
  }

  private async answer(
    call: CallerCall,
    isForwarded: boolean,
  ): Promise<CallerAnswer> {
    const startedAt = steadyNow();
    const now = this.options.clock.now();
    const answer = await this.gateway.handle(call, now, isForwarded);
    this.metrics.recordAnswer(
      call.method,
      answer.kind,
      steadyNow() - startedAt,
    );
    return answer;
  }

  private applyLimits(): void {
    const limits = this.feed.configuration?.limits;
    if (limits === undefined) return;
    this.callerListener.setTimeouts(
      limits.headerTimeoutMs,
      limits.idleTimeoutMs,
    );
  }

  /** Publishes this daemon's peer address; retries until it is stored. */
  private async registerMember(): Promise<void> {
    const {settings, dependencies} = this.options;
    const record: MemberRecord = {
      vmId: settings.vmId,
      address: this.peerAddress,
    };
    while (!this.scope.closed) {
      const written = await dependencies.store.transact({
        conditions: [],
        puts: [
          {
            key: `${MEMBER_PREFIX}${settings.vmId}`,
            value: JSON.stringify(record),
          },
        ],
        removals: [],
      });
      if (written.isOk) return;
      await this.scope.sleep(MEMBER_RETRY_MS);
    }
  }
}

function leadershipSettings(
  settings: EntrySettings,
  peerAddress: string,
): LeadershipSettings {
  return {
    vmId: settings.vmId,
    peerAddress,
    cores: settings.cores,
    linkMbps: settings.linkMbps,
    holdMaximumMs: settings.workerLeaseMs,
    usesWorkerSpeeds: usesWorkerSpeeds(settings),
    preemption: preemptionSettings(settings),
    keepsApart: settings.keepApart,
    stateRetentionMs: settings.stateRetentionS * 1_000,
    maximumWorkBytes: maximumWorkBytes(settings.clientLimits),
  };
}

function workerVmOptions(
  {vmId, vmService}: EntrySettings,
  dependencies: EntryDependencies,
): WorkerVmOptions | undefined {
  if (vmService === undefined || dependencies.vmService === undefined) {
    return undefined;
  }
  const {maintenanceS, noticeMs, handoverMs} = vmService;
  return {
    vmService: dependencies.vmService,
    requests: dependencies.maintenanceRequests,
    holder: trustedId(vmId),
    maintenanceMs: maintenanceS * 1_000,
    noticeMs,
    handoverMs,
  };
}

/** Options of the parts of a session that a site may do without. */
function sessionOptions(
  settings: EntrySettings,
  dependencies: EntryDependencies,
  pauses: PauseDetector,
): Pick<SessionDependencies, 'workerVms' | 'evacuations'> {
  const {evacuationBoundMs: boundMs} = settings;
  const {evacuationOrders: orders} = dependencies;
  return {
    workerVms: workerVmOptions(settings, dependencies),
    evacuations: boundMs === undefined ? undefined : {orders, boundMs, pauses},
  };
}

/** Answers queries from the leader session's memory. */
class SessionQueryHandler extends LeaderQueryHandler {
  constructor(private readonly leadership: Leadership) {
    super();
  }

  override answer(query: LeaderQuery): LeaderReply {
    const {session} = this.leadership;
    if (session === undefined) return {kind: 'unknown'};
    if (query.kind === 'pending') {
      return {kind: 'pending', count: session.pendingJobCount(query.queueId)};
    }
    if (query.kind === 'admission') {
      const {jobId, customerId, bytes} = query;
      const verdict = session.admit(jobId, customerId, bytes, steadyNow());
      return verdict === undefined
        ? {kind: 'unknown'}
        : {kind: 'admission', verdict};
    }
    const state = session.stateOf(query.jobId);
    if (state === undefined) return {kind: 'unknown'};
    const customerId = session.customerOf(query.jobId);
    return {
      kind: 'state',
      state,
      ...(customerId === undefined ? {} : {customerId}),
    };
  }
}
