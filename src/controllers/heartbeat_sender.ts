/**
 * Schedules and sends heartbeats: to every daemon of the local zone at the
 * short interval, and to at most two daemons of each remote zone at the long
 * interval.
 */

import type {Result} from 'true-myth';
import type {CallError} from '../model/errors.js';
import {after} from '../model/ids.js';
import type {AvailabilityZone, DaemonId, Instant, VmId} from '../model/ids.js';
import {MAXIMUM_QUEUE_LENGTHS} from '../interfaces/peer_client.js';
import type {Heartbeat, QueueLength} from '../interfaces/peer_client.js';
import {rendezvousWeight} from '../scheduling/rendezvous.js';

/** Daemons of each remote zone that receive heartbeats. */
const REMOTE_PEERS_PER_ZONE = 2;
/** Consecutive failures after which other daemons of the zone are preferred. */
const FAILURES_BEFORE_AVOIDING = 2;
/** Time since the last failure for which a daemon is avoided. */
const AVOIDANCE_MS = 30_000;
/** Time after which an address without any listing or answer is removed. */
const CONTACT_EXPIRY_MS = 60_000;

/** State of one address that a source listed as a daemon's. */
interface Contact {
  readonly address: string;
  /** Preference among daemons of a remote zone; cached, as hashing is slow. */
  readonly weight: number;
  zone: AvailabilityZone | undefined;
  /** Last time a source listed the address. */
  lastListedAt: Instant;
  nextSendAt: Instant;
  lastAnswerAt: Instant | undefined;
  failures: number;
  lastFailureAt: Instant;
  inFlight: boolean;
  /** Send another heartbeat once the one in flight completes. */
  sendAgain: boolean;
  /** Peer process (`daemonId` is new after a restart) that acknowledged. */
  acknowledgedBy: DaemonId | undefined;
  /** Queue lengths that this process has acknowledged, by minion. */
  readonly acknowledgedLengths: Map<VmId, number>;
}

export interface HeartbeatSenderOptions {
  readonly vmId: VmId;
  readonly address: string;
  readonly availabilityZone: AvailabilityZone;
  readonly heartbeatIntervalMs: number;
  readonly remoteHeartbeatIntervalMs: number;
  readonly now: () => Instant;
  readonly queueLengths: () => readonly QueueLength[];
  readonly createHeartbeat: (queueLengths: QueueLength[]) => Heartbeat;
  readonly send: (
    address: string,
    heartbeat: Heartbeat,
  ) => Promise<Result<Heartbeat, CallError>>;
  /** Called with each answer and the address that sent it. */
  readonly onAnswer: (answer: Heartbeat, address: string) => void;
}

export class HeartbeatSender {
  private readonly contacts = new Map<string, Contact>();

  constructor(private readonly options: HeartbeatSenderOptions) {}

  /** Adds an address or updates its zone; ignores this daemon's address. */
  addAddress(address: string, zone: AvailabilityZone | undefined): void {
    if (address === this.options.address) return;
    const now = this.options.now();
    const contact = this.contacts.get(address);
    if (contact) {
      contact.lastListedAt = now;
      contact.zone = zone ?? contact.zone;
      return;
    }
    this.contacts.set(address, {
      address,
      weight: rendezvousWeight(this.options.vmId, address),
      zone,
      lastListedAt: now,
      nextSendAt: now,
      lastAnswerAt: undefined,
      failures: 0,
      lastFailureAt: now,
      inFlight: false,
      sendAgain: false,
      acknowledgedBy: undefined,
      acknowledgedLengths: new Map(),
    });
  }

  /** Sends the heartbeats that are due. */
  sendDue(): void {
    const now = this.options.now();
    this.removeExpired(now);
    for (const contact of this.targets(now)) {
      const intervalMs = this.intervalOf(contact);
      // A time beyond the interval means that the clock was set back.
      const due =
        contact.nextSendAt <= now || contact.nextSendAt - now > intervalMs;
      if (due) this.send(contact);
    }
  }

  /** Sends an extra heartbeat to the current targets that match. */
  sendImmediately(matches: (address: string) => boolean): void {
    for (const contact of this.targets(this.options.now())) {
      if (matches(contact.address)) this.send(contact);
    }
  }

  /** True if the address currently receives heartbeats. */
  sendsTo(address: string): boolean {
    const contact = this.contacts.get(address);
    if (!contact) return false;
    return (
      !this.isRemote(contact) ||
      this.targets(this.options.now()).includes(contact)
    );
  }

  /** True if the most recent heartbeats to the address failed. */
  isFailing(address: string): boolean {
    const contact = this.contacts.get(address);
    return !!contact && contact.failures >= FAILURES_BEFORE_AVOIDING;
  }

  /** True if all daemons of the local or an unknown zone answered `since`. */
  ownZoneAnsweredSince(since: Instant): boolean {
    return [...this.contacts.values()]
      .filter((contact) => !this.isRemote(contact))
      .every(
        ({lastAnswerAt}) => lastAnswerAt !== undefined && lastAnswerAt >= since,
      );
  }

  private targets(now: Instant): Contact[] {
    const local: Contact[] = [];
    const remote = new Map<AvailabilityZone, Contact[]>();
    for (const contact of this.contacts.values()) {
      if (!this.isRemote(contact) || !contact.zone) {
        local.push(contact);
        continue;
      }
      const sameZone = remote.get(contact.zone);
      if (sameZone) sameZone.push(contact);
      else remote.set(contact.zone, [contact]);
    }
    return [
      ...local,
      ...[...remote.values()].flatMap((zone) => this.selectRemote(zone, now)),
    ];
  }

  /** Hashing distributes the links of a zone's daemons over the remote zone. */
  private selectRemote(contacts: Contact[], now: Instant): Contact[] {
    const ordered = contacts.sort((a, b) => b.weight - a.weight);
    const avoided = (contact: Contact) =>
      contact.failures >= FAILURES_BEFORE_AVOIDING &&
      Math.abs(now - contact.lastFailureAt) < AVOIDANCE_MS;
    return [
      ...ordered.filter((contact) => !avoided(contact)),
      ...ordered.filter(avoided),
    ].slice(0, REMOTE_PEERS_PER_ZONE);
  }

  private isRemote(contact: Contact): boolean {
    return (
      contact.zone !== undefined &&
      contact.zone !== this.options.availabilityZone
    );
  }

  private intervalOf(contact: Contact): number {
    return this.isRemote(contact)
      ? this.options.remoteHeartbeatIntervalMs
      : this.options.heartbeatIntervalMs;
  }

  private send(contact: Contact): void {
    if (contact.inFlight) {
      contact.sendAgain = true;
      return;
    }
    contact.inFlight = true;
    contact.sendAgain = false;
    contact.nextSendAt = after(this.options.now(), this.intervalOf(contact));
    const lengths = this.options.queueLengths();
    const changed = lengths
      .filter(
        ({minionId, queued}) =>
          contact.acknowledgedLengths.get(minionId) !== queued,
      )
      .slice(0, MAXIMUM_QUEUE_LENGTHS);
    const heartbeat = this.options.createHeartbeat(changed);
    void this.options.send(contact.address, heartbeat).then((result) => {
      contact.inFlight = false;
      if (result.isOk) this.handleAnswer(contact, result.value, changed);
      else this.handleFailure(contact);
      if (contact.sendAgain) this.send(contact);
    });
  }

  private handleAnswer(
    contact: Contact,
    answer: Heartbeat,
    sent: readonly QueueLength[],
  ): void {
    contact.failures = 0;
    contact.lastAnswerAt = this.options.now();
    contact.zone = answer.availabilityZone;
    // A restarted peer has none of the queue lengths sent before.
    const sameIncarnation =
      contact.acknowledgedBy === undefined ||
      contact.acknowledgedBy === answer.daemonId;
    contact.acknowledgedBy = answer.daemonId;
    if (!sameIncarnation) contact.acknowledgedLengths.clear();
    for (const {minionId, queued} of sameIncarnation ? sent : []) {
      contact.acknowledgedLengths.set(minionId, queued);
    }
    this.options.onAnswer(answer, contact.address);
  }

  private handleFailure(contact: Contact): void {
    contact.failures += 1;
    contact.lastFailureAt = this.options.now();
    // It is unknown which queue lengths arrived, and the peer may have
    // restarted, so that all of them are sent again.
    contact.acknowledgedLengths.clear();
  }

  private removeExpired(now: Instant): void {
    for (const contact of [...this.contacts.values()]) {
      const lastSeenAt = Math.max(
        contact.lastListedAt,
        contact.lastAnswerAt ?? 0,
      );
      if (now - lastSeenAt > CONTACT_EXPIRY_MS && !contact.inFlight) {
        this.contacts.delete(contact.address);
      }
    }
  }
}
