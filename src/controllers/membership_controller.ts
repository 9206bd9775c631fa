/**
 * Determines which daemons are live and which of them owns a zone or the queue
 * of a minion. Each daemon decides independently, from heartbeats, the VM list
 * and the seed addresses in its settings; see `docs/design.md`, section 3.9.
 */

import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {Clock} from '../lifecycle/clock.js';
import type {AvailabilityZone, DaemonId, Instant, VmId} from '../model/ids.js';
import {MAXIMUM_QUEUE_LENGTHS} from '../interfaces/peer_client.js';
import type {
  Heartbeat,
  PeerClient,
  QueueLength,
} from '../interfaces/peer_client.js';
import {rendezvousOwner} from '../scheduling/rendezvous.js';
import type {ConfigurationController} from './configuration_controller.js';
import {HeartbeatSender} from './heartbeat_sender.js';
import {Listeners} from './listeners.js';
import type {Listener, LogFunction} from './listeners.js';
import {PeerTable} from './peer_table.js';
import type {KnownPeer} from './peer_table.js';
import type {VmController} from './vm_controller.js';

const DEFAULT_HEARTBEAT_INTERVAL_MS = 500;
const DEFAULT_REMOTE_HEARTBEAT_INTERVAL_MS = 5_000;
const DEFAULT_PEER_TIMEOUT_MS = 2_000;
/** Detection of an unresponsive peer is late by at most 1/20 of its timeout. */
const CHECKS_PER_TIMEOUT = 20;
/** Time for which a new peer receives the addresses of other daemons. */
const NEW_PEER_WINDOW_MS = 10_000;
const MAXIMUM_ADVERTISED_PEERS = 64;

/** A daemon that is considered live. */
export interface Member {
  readonly vmId: VmId;
  /** Absent if the daemon is known from the VM list only. */
  readonly daemonId?: DaemonId;
  readonly availabilityZone: AvailabilityZone;
  /** Peer address. */
  readonly address: string;
  readonly leaving: boolean;
  /** True for this daemon. */
  readonly self: boolean;
}

/** The owners of a zone changed, or `settled` of this daemon did. */
export interface MembershipChanged {
  readonly availabilityZone: AvailabilityZone;
  /** Live daemons of the zone that are not leaving. */
  readonly owners: readonly Member[];
}

/** Queue length as last reported by the home daemon. */
export interface ReportedQueueLength {
  readonly queued: number;
  /** Milliseconds since the last heartbeat of the home daemon. */
  readonly ageMs: number;
}

export interface MembershipControllerOptions {
  readonly daemonId: DaemonId;
  readonly vmId: VmId;
  readonly availabilityZone: AvailabilityZone;
  /** Peer address of this daemon. */
  readonly address: string;
  /** Peer addresses from the settings. */
  readonly seeds: readonly string[];
  readonly heartbeatIntervalMs?: number;
  readonly remoteHeartbeatIntervalMs?: number;
  readonly peerTimeoutMs?: number;
  readonly peers: Pick<PeerClient, 'heartbeat' | 'configurationSince'>;
  readonly vms: Pick<VmController, 'entryVms' | 'vm' | 'loaded' | 'onChange'>;
  readonly configuration: Pick<
    ConfigurationController,
    'version' | 'receive' | 'onApplied'
  >;
  /** Queue lengths of the minions that this daemon owns. */
  readonly queueLengths: () => readonly QueueLength[];
  readonly clock: Clock;
  readonly scope: CleanupScope;
  readonly log: LogFunction;
}

/** Owners of a zone as of the last check. */
interface ZoneView {
  /** Differs if the owners differ. */
  readonly signature: string;
  readonly owners: readonly Member[];
  /** Cached, because each request looks up the owner of a minion. */
  readonly ownerBySubject: Map<string, Member>;
}

export class MembershipController {
  private readonly table = new PeerTable();
  private readonly sender: HeartbeatSender;
  private readonly changes = new Listeners<MembershipChanged>();
  /** Owners as of the last notification. */
  private readonly views = new Map<AvailabilityZone, ZoneView>();
  private readonly pendingPulls = new Set<string>();
  private readonly peerTimeoutMs: number;
  private readonly remoteTimeoutMs: number;
  private readonly heartbeatIntervalMs: number;
  private isLeaving = false;
  private lastClockReading: Instant;
  /** Start of the period in which the view of the zone may be stale. */
  private unsettledSince: Instant | undefined;

  constructor(private readonly options: MembershipControllerOptions) {
    this.peerTimeoutMs = options.peerTimeoutMs ?? DEFAULT_PEER_TIMEOUT_MS;
    this.heartbeatIntervalMs =
      options.heartbeatIntervalMs ?? DEFAULT_HEARTBEAT_INTERVAL_MS;
    const remoteHeartbeatIntervalMs =
      options.remoteHeartbeatIntervalMs ?? DEFAULT_REMOTE_HEARTBEAT_INTERVAL_MS;
    this.remoteTimeoutMs = 2 * remoteHeartbeatIntervalMs + this.peerTimeoutMs;
    this.lastClockReading = options.clock.now();
    this.unsettledSince = this.lastClockReading;
    this.sender = new HeartbeatSender({
      ...options,
      heartbeatIntervalMs: this.heartbeatIntervalMs,
      remoteHeartbeatIntervalMs,
      now: () => this.now(),
      createHeartbeat: (queueLengths) => this.createHeartbeat(queueLengths),
      send: (address, heartbeat) => options.peers.heartbeat(address, heartbeat),
      onAnswer: (answer, address) => this.handleHeartbeat(answer, address),
    });
  }

  /** Sends heartbeats until the scope closes. */
  start(): void {
    const {scope, vms, configuration} = this.options;
    scope.add(configuration.onApplied(() => this.announceConfiguration()));
    scope.add(vms.onChange(() => this.sendHeartbeats()));
    scope.every(this.heartbeatIntervalMs, () => this.sendHeartbeats());
    scope.every(this.peerTimeoutMs / CHECKS_PER_TIMEOUT, () =>
      this.checkOwnZone(),
    );
    this.sendHeartbeats();
  }

  /** True once this daemon is leaving and no longer owns anything. */
  get leaving(): boolean {
    return this.isLeaving;
  }

  /**
   * False after the start and after a pause of the process, until all known
   * daemons of the zone have answered or the peer timeout has elapsed.
   */
  get settled(): boolean {
    this.now();
    return this.unsettledSince === undefined;
  }

  /** Gives up ownership and notifies all peers immediately. */
  leave(): void {
    if (this.isLeaving) return;
    this.isLeaving = true;
    this.options.log('[membership] this daemon is leaving');
    this.sender.sendImmediately(() => true);
    this.check();
  }

  /** Calls the listener for each `MembershipChanged` event of any zone. */
  onChange(listener: Listener<MembershipChanged>): () => void {
    return this.changes.add(listener);
  }

  /** Processes a peer's heartbeat and returns the answer. */
  receiveHeartbeat(heartbeat: Heartbeat): Heartbeat {
    this.handleHeartbeat(heartbeat, heartbeat.address);
    // Peers to which this daemon sends heartbeats receive the queue lengths in
    // those; all other peers receive them with each answer.
    const sends = this.sender.sendsTo(heartbeat.address);
    const answer = this.createHeartbeat(
      sends ? [] : this.options.queueLengths().slice(0, MAXIMUM_QUEUE_LENGTHS),
    );
    const peer = this.table.get(heartbeat.daemonId);
    if (!peer || this.now() - peer.firstHeardAt > NEW_PEER_WINDOW_MS) {
      return answer;
    }
    return {...answer, peerAddresses: this.peersToAdvertise(heartbeat)};
  }

  /** Live daemons of a zone, including those that are leaving. */
  liveDaemons(zone: AvailabilityZone): Member[] {
    const now = this.now();
    const live = this.table
      .all()
      .filter((peer) => peer.availabilityZone === zone)
      .filter((peer) => this.isLive(peer, now))
      .map((peer) => this.toMember(peer));
    if (zone === this.options.availabilityZone) return [this.self(), ...live];
    const known = new Set(live.map(({vmId}) => vmId));
    return [...live, ...this.membersOnlyListed(zone, known)];
  }

  /** Live daemons that may own the zone or its minions' queues. */
  owners(zone: AvailabilityZone): Member[] {
    return this.liveDaemons(zone).filter(({leaving}) => !leaving);
  }

  /** The daemon that schedules the workers of the zone. */
  schedulerOf(zone: AvailabilityZone): Member | undefined {
    return this.ownerOf(`scheduler/${zone}`, zone);
  }

  /** The daemon that keeps the queue of a minion of the zone. */
  homeDaemonOf(zone: AvailabilityZone, minionId: VmId): Member | undefined {
    return this.ownerOf(`minion/${minionId}`, zone);
  }

  /** True if this daemon is the scheduler of its zone. */
  isScheduler(): boolean {
    if (!this.settled) return false;
    return this.schedulerOf(this.options.availabilityZone)?.self ?? false;
  }

  /** True if this daemon keeps the queue of the minion of its zone. */
  isHomeOf(minionId: VmId): boolean {
    if (!this.settled) return false;
    const zone = this.options.availabilityZone;
    return this.homeDaemonOf(zone, minionId)?.self ?? false;
  }

  /** Undefined if the minion's home daemon has not reported a length. */
  queueLength(
    zone: AvailabilityZone,
    minionId: VmId,
  ): ReportedQueueLength | undefined {
    const home = this.homeDaemonOf(zone, minionId);
    if (home?.self) {
      const own = this.options
        .queueLengths()
        .find((length) => length.minionId === minionId);
      return own && {queued: own.queued, ageMs: 0};
    }
    const peer = home?.daemonId && this.table.get(home.daemonId);
    const queued = peer ? peer.queueLengths.get(minionId) : undefined;
    if (!peer || queued === undefined) return undefined;
    return {queued, ageMs: this.now() - peer.heardAt};
  }

  /** Excludes this daemon. */
  livePeers(): KnownPeer[] {
    const now = this.now();
    return this.table.all().filter((peer) => this.isLive(peer, now));
  }

  private sendHeartbeats(): void {
    this.addKnownAddresses();
    this.sender.sendDue();
    this.table.removeExpired(this.now());
    this.check();
  }

  private addKnownAddresses(): void {
    const {seeds, vms} = this.options;
    for (const seed of seeds) this.sender.addAddress(seed, undefined);
    for (const vm of vms.entryVms()) {
      if (vm.vmId !== this.options.vmId) {
        this.sender.addAddress(vm.address, vm.availabilityZone);
      }
    }
  }

  /** Notifies listeners of changes in any zone. */
  private check(): void {
    this.checkOwnZone();
    const zones = new Set<AvailabilityZone>([
      ...this.table.all().map((peer) => peer.availabilityZone),
      ...this.options.vms.entryVms().map((vm) => vm.availabilityZone),
      ...this.views.keys(),
    ]);
    for (const zone of zones) this.announceIfChanged(zone);
  }

  /** Runs frequently, so that ownership ends soon after its owner is lost. */
  private checkOwnZone(): void {
    const now = this.now();
    const {vms, vmId, availabilityZone} = this.options;
    if (vms.vm(vmId)?.state === 'leaving') this.leave();
    this.settleIfPossible(now);
    this.announceIfChanged(availabilityZone);
  }

  private settleIfPossible(now: Instant): void {
    const since = this.unsettledSince;
    if (since === undefined) return;
    this.addKnownAddresses();
    const allAnswered =
      this.options.vms.loaded && this.sender.ownZoneAnsweredSince(since);
    if (!allAnswered && now - since < this.peerTimeoutMs) return;
    this.unsettledSince = undefined;
    this.announceIfChanged(this.options.availabilityZone);
  }

  private announceIfChanged(zone: AvailabilityZone): void {
    const owners = this.owners(zone);
    const own = zone === this.options.availabilityZone;
    const signature = [
      own ? String(this.unsettledSince === undefined) : '',
      ...owners.map((o) => `${o.vmId} ${o.daemonId} ${o.address}`).sort(),
    ].join('\n');
    if (this.views.get(zone)?.signature === signature) return;
    this.views.set(zone, {signature, owners, ownerBySubject: new Map()});
    this.options.log(
      `[membership] ${zone} has ${owners.length} eligible daemons`,
    );
    this.changes.emit({availabilityZone: zone, owners});
  }

  /** Reads the clock and detects pauses of the process and clock changes. */
  private now(): Instant {
    const now = this.options.clock.now();
    const elapsed = now - this.lastClockReading;
    this.lastClockReading = now;
    const jumped = Math.abs(elapsed) > this.peerTimeoutMs;
    if (jumped || elapsed < 0) this.table.shiftTimes(elapsed);
    if (jumped) {
      this.options.log(
        `[membership] the clock jumped by ${elapsed} ms; the membership view is stale until peers answer`,
      );
      this.unsettledSince = now;
    }
    return now;
  }

  private handleHeartbeat(heartbeat: Heartbeat, address: string): void {
    if (heartbeat.daemonId === this.options.daemonId) return;
    const now = this.now();
    if (!this.table.record(heartbeat, now)) return;
    this.sender.addAddress(heartbeat.address, heartbeat.availabilityZone);
    for (const peer of heartbeat.peerAddresses ?? []) {
      this.sender.addAddress(peer, undefined);
    }
    if (heartbeat.configurationVersion > this.options.configuration.version) {
      void this.pullConfiguration(address);
    }
    this.settleIfPossible(now);
    this.announceIfChanged(heartbeat.availabilityZone);
  }

  private async pullConfiguration(address: string): Promise<void> {
    if (this.pendingPulls.has(address)) return;
    this.pendingPulls.add(address);
    const {peers, configuration, log} = this.options;
    const update = await peers.configurationSince(
      address,
      configuration.version,
    );
    this.pendingPulls.delete(address);
    const received = update.andThen((value) => configuration.receive(value));
    if (received.isErr) {
      log(
        `[membership] cannot get the configuration from ${address}: ${received.error.message}`,
      );
    }
  }

  /** Sends a heartbeat to peers that do not have the current version yet. */
  private announceConfiguration(): void {
    const {version} = this.options.configuration;
    this.sender.sendImmediately((address) => {
      const peer = this.table.byAddress(address);
      return (peer?.configurationVersion ?? 0) < version;
    });
  }

  private createHeartbeat(queueLengths: QueueLength[]): Heartbeat {
    const {daemonId, vmId, availabilityZone, address} = this.options;
    return {
      daemonId,
      vmId,
      availabilityZone,
      address,
      leaving: this.isLeaving,
      configurationVersion: this.options.configuration.version,
      queueLengths,
    };
  }

  private peersToAdvertise(to: Heartbeat): string[] {
    return this.livePeers()
      .filter((peer) => peer.daemonId !== to.daemonId)
      .map(({address}) => address)
      .slice(0, MAXIMUM_ADVERTISED_PEERS);
  }

  private ownerOf(subject: string, zone: AvailabilityZone): Member | undefined {
    const idOf = ({vmId}: Member) => vmId;
    const view = this.views.get(zone);
    if (!view) return rendezvousOwner(subject, this.owners(zone), idOf);
    let owner = view.ownerBySubject.get(subject);
    if (!owner) {
      owner = rendezvousOwner(subject, view.owners, idOf);
      if (owner) view.ownerBySubject.set(subject, owner);
    }
    return owner;
  }

  private isLive(peer: KnownPeer, now: Instant): boolean {
    const remote = peer.availabilityZone !== this.options.availabilityZone;
    const limitMs = remote ? this.remoteTimeoutMs : this.peerTimeoutMs;
    return now - peer.heardAt <= limitMs;
  }

  private toMember(peer: KnownPeer): Member {
    return {
      vmId: peer.vmId,
      daemonId: peer.daemonId,
      availabilityZone: peer.availabilityZone,
      address: peer.address,
      leaving: peer.leaving || this.isListedLeaving(peer.vmId),
      self: false,
    };
  }

  private self(): Member {
    const {vmId, daemonId, availabilityZone, address} = this.options;
    const leaving = this.isLeaving;
    return {vmId, daemonId, availabilityZone, address, leaving, self: true};
  }

  private isListedLeaving(vmId: VmId): boolean {
    return this.options.vms.vm(vmId)?.state === 'leaving';
  }

  /** Daemons of a remote zone that are known from the VM list only. */
  private membersOnlyListed(
    zone: AvailabilityZone,
    known: ReadonlySet<VmId>,
  ): Member[] {
    return this.options.vms
      .entryVms()
      .filter((vm) => vm.availabilityZone === zone && !known.has(vm.vmId))
      .filter((vm) => !this.sender.isFailing(vm.address))
      .map((vm) => ({
        vmId: vm.vmId,
        availabilityZone: zone,
        address: vm.address,
        leaving: vm.state === 'leaving',
        self: false,
      }));
  }
}
