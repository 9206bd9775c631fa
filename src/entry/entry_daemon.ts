/**
 * One daemon of a hosted site: answers callers, takes part in the election of
 * the leader, and leads while it is elected.
 */

import type {DaemonLog, ComponentLog} from '../daemon/log.js';
import {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {Clock} from '../lifecycle/clock.js';
import {steadyNow} from '../lifecycle/clock.js';
import type {RandomSource} from '../lifecycle/random.js';
import {LeaderLog} from '../leader/leader_log.js';
import {Leadership} from '../leader/leadership.js';
import {MEMBER_PREFIX} from '../leader/records.js';
import type {MemberRecord} from '../leader/records.js';
import type {WorkerVmOptions} from '../leader/vm_management.js';
import {SiteView} from '../leader/site_view.js';
import {trustedId} from '../model/ids.js';
import type {HostedConfiguration} from '../model/queues.js';
import type {ConfigurationSource} from '../parties/configuration_source.js';
import type {CoordinationStore} from '../parties/coordination_store.js';
import type {MaintenanceRequests} from '../parties/maintenance_requests.js';
import type {PlacementAdvisor} from '../parties/placement_advisor.js';
import type {TaskWorkerClient} from '../parties/task_worker.js';
import type {VmService} from '../parties/vm_service.js';
import type {WorkerDirectory} from '../parties/worker_directory.js';
import {ConnectionsByAddress} from '../transport/http_connections.js';
import {CallerGateway} from './caller_gateway.js';
import type {
  CallerAnswer,
  CallerCall,
  LeaderQuestion,
  LeaderReply,
} from './calls.js';
import {LeaderDesk} from './calls.js';
import {ConfigurationFeed} from './configuration_feed.js';
import {EntryMetrics} from './entry_metrics.js';
import type {HttpHandler} from './http_listener.js';
import {HttpListener} from './http_listener.js';
import {HttpSitePeers, peerHandler} from './http_peers.js';
import {PeerStoreProxy, runErrand} from './peer_store_proxy.js';
import type {EntrySettings} from './settings.js';
import {SiteOperators} from './site_operators.js';

/**
 * Share of the time to stop in which callers are still answered. The platform
 * takes up to two checks, a second apart, to send callers elsewhere.
 */
const SERVING_SHARE = 0.5;

const MEMBER_RETRY_MS = 1_000;

export interface EntryParties {
  readonly store: CoordinationStore;
  readonly workers: TaskWorkerClient;
  readonly directory: WorkerDirectory;
  readonly configuration: ConfigurationSource;
  readonly advisor?: PlacementAdvisor | undefined;
  /** Absent where the platform has no service for VMs of workers. */
  readonly vmService?: VmService | undefined;
  readonly maintenanceRequests: MaintenanceRequests;
}

/** Builds the handlers of the platform's side from what the daemon offers. */
export interface EntryInterfaces {
  callers(daemon: EntryDaemon): HttpHandler;
  readiness(daemon: EntryDaemon): HttpHandler;
}

export interface EntryOptions {
  readonly settings: EntrySettings;
  readonly parties: EntryParties;
  readonly interfaces: EntryInterfaces;
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
  private readonly callers: HttpListener;
  private readonly readiness: HttpListener;
  private readonly peers: HttpListener;
  private readonly peerAddress: string;
  private isStopping = false;

  constructor(private readonly options: EntryOptions) {
    const {settings, parties, clock, random, log} = options;
    const {scope} = this;
    this.log = log.component('daemon');
    this.peerAddress = `${settings.peerHost}:${settings.peerPort}`;
    this.feed = new ConfigurationFeed(
      parties.configuration,
      scope,
      log.component('configuration'),
    );
    this.site = new SiteView(parties.store, scope, log.component('membership'));
    const peers = new HttpSitePeers(new ConnectionsByAddress(scope));
    this.leadership = new Leadership(
      {
        ...parties,
        proxy: new PeerStoreProxy(peers, this.site, random, this.peerAddress),
        workerVms: workerVmOptions(settings, parties),
        clock,
        log: new LeaderLog(log),
      },
      {
        vmId: settings.vmId,
        peerAddress: this.peerAddress,
        cores: settings.cores,
        linkMbps: settings.linkMbps,
        holdMaximumMs: settings.workerLeaseMs,
        stateRetentionMs: settings.stateRetentionS * 1_000,
      },
      this.site,
      () => this.feed.configuration,
      random,
      scope,
    );
    const desk = new SessionDesk(this.leadership);
    this.gateway = new CallerGateway(
      {
        store: parties.store,
        feed: this.feed,
        site: this.site,
        desk,
        peers,
        clock,
        random,
        log: log.component('entry'),
        scope,
      },
      this.peerAddress,
    );
    [this.callers, this.readiness, this.peers] = this.listeners(desk);
    this.feed.onChange(() => this.applyLimits());
  }

  private listeners(
    desk: LeaderDesk,
  ): [HttpListener, HttpListener, HttpListener] {
    const {interfaces, log} = this.options;
    const entryLog = log.component('entry');
    return [
      new HttpListener(interfaces.callers(this), entryLog),
      new HttpListener(interfaces.readiness(this), entryLog),
      new HttpListener(
        peerHandler({
          desk,
          operators: this.operators(),
          handleForwarded: (call) => this.answer(call, true),
          runErrand: (errand) => runErrand(this.options.parties.store, errand),
          metrics: () => this.metrics.text(this.leadership.session),
        }),
        log.component('peers'),
      ),
    ];
  }

  private operators(): SiteOperators {
    const {settings, parties, clock, log} = this.options;
    return new SiteOperators({
      vmId: settings.vmId,
      availabilityZone: settings.availabilityZone,
      ownAddress: this.peerAddress,
      feed: this.feed,
      site: this.site,
      store: parties.store,
      connections: new ConnectionsByAddress(this.scope),
      clock,
      log: log.component('operators'),
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
    await this.callers.listen(settings.callerAddress);
    await this.readiness.listen(settings.readinessAddress);
    await this.peers.listen(this.peerAddress);
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

  /** Gives up leadership, answers what is under way, and closes. */
  async stop(): Promise<void> {
    if (this.isStopping) return;
    this.isStopping = true;
    this.log.info('stopping, no longer ready');
    this.callers.beginClose();
    await this.leadership.resign();
    const servingMs = this.options.settings.stopGraceS * 1_000 * SERVING_SHARE;
    await this.scope.sleep(servingMs);
    await this.callers.close();
    await this.peers.close();
    await this.readiness.close();
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
    this.metrics.answered(call.method, answer.kind, steadyNow() - startedAt);
    return answer;
  }

  private applyLimits(): void {
    const limits = this.feed.configuration?.limits;
    if (limits === undefined) return;
    this.callers.setTimeouts(limits.headerTimeoutMs, limits.idleTimeoutMs);
  }

  /** Tells the other daemons where this one is reached. */
  private async registerMember(): Promise<void> {
    const {settings, parties} = this.options;
    const record: MemberRecord = {
      vmId: settings.vmId,
      address: this.peerAddress,
    };
    while (!this.scope.closed) {
      const written = await parties.store.transact({
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

function workerVmOptions(
  {vmId, vmService}: EntrySettings,
  parties: EntryParties,
): WorkerVmOptions | undefined {
  if (vmService === undefined || parties.vmService === undefined) {
    return undefined;
  }
  const {maintenanceS, noticeMs, handoverMs} = vmService;
  return {
    vmService: parties.vmService,
    requests: parties.maintenanceRequests,
    holder: trustedId(vmId),
    maintenanceMs: maintenanceS * 1_000,
    noticeMs,
    handoverMs,
  };
}

/** Answers from the leader's memory while this daemon leads. */
class SessionDesk extends LeaderDesk {
  constructor(private readonly leadership: Leadership) {
    super();
  }

  override answer(question: LeaderQuestion): LeaderReply {
    const {session} = this.leadership;
    if (session === undefined) return {kind: 'unknown'};
    if (question.kind === 'pending') {
      return {kind: 'pending', count: session.pendingOf(question.queueId)};
    }
    const state = session.stateOf(question.jobId);
    if (state === undefined) return {kind: 'unknown'};
    const customerId = session.customerOf(question.jobId);
    return {
      kind: 'state',
      state,
      ...(customerId === undefined ? {} : {customerId}),
    };
  }
}
