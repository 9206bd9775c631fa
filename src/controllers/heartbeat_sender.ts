/**
 * Decides which addresses get a heartbeat and when, and sends it: every
 * daemon of the own zone at the short interval, and at most two daemons of
 * each other zone at the long one.
 */

import type {Result} from 'true-myth';
import type {CallError} from '../model/errors.js';
import {after} from '../model/ids.js';
import type {AvailabilityZone, DaemonId, Instant, VmId} from '../model/ids.js';
import {MAXIMUM_QUEUE_LENGTHS} from '../parties/peer_client.js';
import type {Heartbeat, QueueLength} from '../parties/peer_client.js';
import {rendezvousWeight} from '../scheduling/rendezvous.js';

/** Daemons of each other zone that get heartbeats. */
const REMOTE_PEERS_PER_ZONE = 2;
/** Failed heartbeats in a row after which another daemon is preferred. */
const FAILURES_TO_AVOID = 2;
/** Time after which an avoided daemon is tried again. */
const AVOID_MS = 30_000;
/** Time after which an address that nobody names any more is dropped. */
const DROP_AFTER_MS = 60_000;

/** An address that is or was named as that of a daemon. */
interface Contact {
  readonly address: string;
  /** Preference among the daemons of another zone; kept, as hashing is slow. */
  readonly weight: number;
  zone: AvailabilityZone | undefined;
  /** Time at which a source last named it. */
  namedAt: Instant;
  nextAt: Instant;
  heardAt: Instant | undefined;
  failures: number;
  failedAt: Instant;
  inFlight: boolean;
  /** Send again as soon as the heartbeat on the way is answered. */
  sendAgain: boolean;
  /** Queue lengths that this run of the peer has acknowledged. */
  acknowledgedBy: DaemonId | undefined;
  readonly acknowledged: Map<VmId, number>;
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
  /** Receives each answer and the address that gave it. */
  readonly onAnswer: (answer: Heartbeat, address: string) => void;
}

export class HeartbeatSender {
  private readonly contacts = new Map<string, Contact>();

  constructor(private readonly options: HeartbeatSenderOptions) {}

  /** Adds an address or updates its zone; the own address is ignored. */
  name(address: string, zone: AvailabilityZone | undefined): void {
    if (address === this.options.address) return;
    const now = this.options.now();
    const contact = this.contacts.get(address);
    if (contact) {
      contact.namedAt = now;
      contact.zone = zone ?? contact.zone;
      return;
    }
    this.contacts.set(address, {
      address,
      weight: rendezvousWeight(this.options.vmId, address),
      zone,
      namedAt: now,
      nextAt: now,
      heardAt: undefined,
      failures: 0,
      failedAt: now,
      inFlight: false,
      sendAgain: false,
      acknowledgedBy: undefined,
      acknowledged: new Map(),
    });
  }

  /** Sends the heartbeats that are due. */
  sendDue(): void {
    const now = this.options.now();
    this.dropOld(now);
    for (const contact of this.targets(now)) {
      const intervalMs = this.intervalOf(contact);
      // A time far ahead comes from a clock that went back.
      const due = contact.nextAt <= now || contact.nextAt - now > intervalMs;
      if (due) this.send(contact);
    }
  }

  /** Sends an extra heartbeat at once to the addresses that `wanted` names. */
  sendNow(wanted: (address: string) => boolean): void {
    for (const contact of this.targets(this.options.now())) {
      if (wanted(contact.address)) this.send(contact);
    }
  }

  /** True if the address gets heartbeats now. */
  sendsTo(address: string): boolean {
    const contact = this.contacts.get(address);
    if (!contact) return false;
    return (
      !this.isRemote(contact) ||
      this.targets(this.options.now()).includes(contact)
    );
  }

  /** True if the last heartbeats to the address failed. */
  isFailing(address: string): boolean {
    const contact = this.contacts.get(address);
    return !!contact && contact.failures >= FAILURES_TO_AVOID;
  }

  /** True if all daemons that may be of the own zone answered after `since`. */
  heardAllSince(since: Instant): boolean {
    return [...this.contacts.values()]
      .filter((contact) => !this.isRemote(contact))
      .every(({heardAt}) => heardAt !== undefined && heardAt >= since);
  }

  private targets(now: Instant): Contact[] {
    const own: Contact[] = [];
    const remote = new Map<AvailabilityZone, Contact[]>();
    for (const contact of this.contacts.values()) {
      if (!this.isRemote(contact) || !contact.zone) {
        own.push(contact);
        continue;
      }
      const sameZone = remote.get(contact.zone);
      if (sameZone) sameZone.push(contact);
      else remote.set(contact.zone, [contact]);
    }
    return [
      ...own,
      ...[...remote.values()].flatMap((zone) => this.chooseRemote(zone, now)),
    ];
  }

  /** Hashing spreads the links of a zone's daemons over the other zone. */
  private chooseRemote(contacts: Contact[], now: Instant): Contact[] {
    const ordered = contacts.sort((a, b) => b.weight - a.weight);
    const avoided = (contact: Contact) =>
      contact.failures >= FAILURES_TO_AVOID &&
      Math.abs(now - contact.failedAt) < AVOID_MS;
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
    contact.nextAt = after(this.options.now(), this.intervalOf(contact));
    const lengths = this.options.queueLengths();
    const changed = lengths
      .filter(
        ({minionId, queued}) => contact.acknowledged.get(minionId) !== queued,
      )
      .slice(0, MAXIMUM_QUEUE_LENGTHS);
    const heartbeat = this.options.createHeartbeat(changed);
    void this.options.send(contact.address, heartbeat).then((result) => {
      contact.inFlight = false;
      if (result.isOk) this.answered(contact, result.value, changed);
      else this.failed(contact);
      if (contact.sendAgain) this.send(contact);
    });
  }

  private answered(
    contact: Contact,
    answer: Heartbeat,
    sent: readonly QueueLength[],
  ): void {
    contact.failures = 0;
    contact.heardAt = this.options.now();
    contact.zone = answer.availabilityZone;
    // A new run knows none of the queue lengths that the last one had.
    const sameRun =
      contact.acknowledgedBy === undefined ||
      contact.acknowledgedBy === answer.daemonId;
    contact.acknowledgedBy = answer.daemonId;
    if (!sameRun) contact.acknowledged.clear();
    for (const {minionId, queued} of sameRun ? sent : []) {
      contact.acknowledged.set(minionId, queued);
    }
    this.options.onAnswer(answer, contact.address);
  }

  private failed(contact: Contact): void {
    contact.failures += 1;
    contact.failedAt = this.options.now();
    // It is unknown which of the queue lengths arrived; the peer may even
    // have restarted. All are sent again.
    contact.acknowledged.clear();
  }

  private dropOld(now: Instant): void {
    for (const contact of [...this.contacts.values()]) {
      const lastSign = Math.max(contact.namedAt, contact.heardAt ?? 0);
      if (now - lastSign > DROP_AFTER_MS && !contact.inFlight) {
        this.contacts.delete(contact.address);
      }
    }
  }
}
