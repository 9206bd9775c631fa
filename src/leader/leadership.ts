/**
 * Election of the site's leader through a leased key of the store. The term
 * rises in the same transaction that takes the key, and is the fencing token
 * of all orders to workers.
 */

import {randomUUID} from 'node:crypto';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {SteadyTime} from '../lifecycle/clock.js';
import {steadyNow, steadyTime} from '../lifecycle/clock.js';
import type {RandomSource} from '../lifecycle/random.js';
import type {HostedConfiguration} from '../model/queues.js';
import type {StoreTransaction} from '../parties/coordination_store.js';
import {NO_REVISION} from '../parties/coordination_store.js';
import type {LeaderRecord} from './records.js';
import {
  LEADER_KEY,
  TERM_KEY,
  decodeRecord,
  leaderSchema,
  termSchema,
} from './records.js';
import {keepRecordsFor} from './record_cleaner.js';
import type {
  Authority,
  SessionDependencies,
  SessionSettings,
} from './session.js';
import {LeaderSession} from './session.js';
import type {StoreProxy} from './store_proxy.js';
import type {SiteView} from './site_view.js';

/**
 * Lease of the leader's key. A takeover waits for it; a store that is slow or
 * silent for less does not end a term. The store's least is 1 s.
 */
const LEADER_LEASE_MS = 2_000;
const LEADER_RENEWAL_MS = 500;
const RENEWAL_RETRY_MS = 100;

/**
 * After renewals have failed for this long, another daemon is asked whether the
 * store serves it. The second time is for renewals that failed by their time
 * limit: it is longer than one such call, as the store may lose a single one.
 */
const REFUSED_HANDOVER_DELAY_MS = 150;
const TIMEOUT_HANDOVER_DELAY_MS = 700;

/** A call that fails sooner was refused or its connection was reset. */
const REFUSAL_THRESHOLD_MS = 300;

/** Share of the lease that counts, as the clocks of both sides may differ. */
const SAFE_LEASE_FRACTION = 0.95;

/** Candidates wait up to this long, so that one of them mostly comes first. */
const ELECTION_JITTER_MS = 80;

/** A VM that leads badly lets the others go first. */
const WEAK_CANDIDATE_DELAY_MS = 400;

/**
 * At the size of 250 workers a leader uses 0.4 cores, and a takeover reads 1 to
 * 2 MB, which must not take a second.
 */
const RECOMMENDED_LEADER_CORES = 0.6;
const RECOMMENDED_LEADER_LINK_MBPS = 30;
const ELECTION_RETRY_MS = 250;

/** The VM was suspended if its clocks disagree by more since the renewal. */
const SUSPENSION_THRESHOLD_MS = 150;

export interface LeadershipSettings extends SessionSettings {
  readonly vmId: string;
  /** Address of this daemon's peer interface. */
  readonly peerAddress: string;
  /** Cores and link of this VM. */
  readonly cores: number;
  readonly linkMbps: number;
  /** How long the state of an ended job can be asked for. */
  readonly stateRetentionMs: number;
}

export interface LeadershipDependencies extends SessionDependencies {
  /** Absent where daemons cannot reach each other. */
  readonly proxy?: StoreProxy | undefined;
}

export class Leadership {
  private current: Term | undefined;
  private isElecting = false;
  private isResigning = false;

  constructor(
    private readonly dependencies: LeadershipDependencies,
    private readonly settings: LeadershipSettings,
    private readonly site: SiteView,
    private readonly configuration: () => HostedConfiguration | undefined,
    private readonly random: RandomSource,
    private readonly scope: CleanupScope,
  ) {
    site.onLeaderChange(() => this.startElectionIfNeeded());
    scope.every(ELECTION_RETRY_MS, () => this.startElectionIfNeeded());
  }

  /** The session if this daemon leads and has adopted what was recorded. */
  get session(): LeaderSession | undefined {
    const term = this.current;
    return term?.session.isReady === true ? term.session : undefined;
  }

  get term(): number {
    return this.current?.term ?? 0;
  }

  /** Ends the term for good, so that another daemon is elected at once. */
  async resign(): Promise<void> {
    this.isResigning = true;
    await this.current?.end('this daemon stops', true);
  }

  private startElectionIfNeeded(): void {
    const {site, scope} = this;
    if (this.current !== undefined || this.isElecting || this.isResigning) {
      return;
    }
    // A site view that is not current would name a leader that is gone.
    if (site.leader !== undefined || scope.closed) return;
    if (site.ageMs(steadyNow()) === Infinity) return;
    this.isElecting = true;
    void this.elect().finally(() => {
      this.isElecting = false;
    });
  }

  private get candidateDelayMs(): number {
    const {cores, linkMbps} = this.settings;
    const isWeak =
      cores < RECOMMENDED_LEADER_CORES ||
      linkMbps < RECOMMENDED_LEADER_LINK_MBPS;
    return isWeak ? WEAK_CANDIDATE_DELAY_MS : 0;
  }

  private async elect(): Promise<void> {
    const {scope, site, random} = this;
    await scope.sleep(
      random.next() * ELECTION_JITTER_MS + this.candidateDelayMs,
    );
    if (site.leader !== undefined || scope.closed || this.isResigning) return;
    const {store} = this.dependencies;
    const last = await store.get(TERM_KEY);
    if (last.isErr) return;
    const recorded = decodeRecord(
      TERM_KEY,
      last.value?.value ?? '{"term":0}',
      termSchema,
    );
    if (recorded.isErr) {
      this.dependencies.log.unreadableRecord(recorded.error.message);
      return;
    }
    const grantedAt = steadyNow();
    const lease = await store.grantLease(LEADER_LEASE_MS);
    if (lease.isErr) return;
    const record: LeaderRecord = {
      vmId: this.settings.vmId,
      address: this.settings.peerAddress,
      term: recorded.value.term + 1,
      nonce: randomUUID(),
    };
    const revision = await this.acquireLeaderKey(
      {
        conditions: [
          {key: LEADER_KEY, revision: NO_REVISION},
          {key: TERM_KEY, revision: last.value?.revision ?? NO_REVISION},
        ],
        puts: [
          {
            key: LEADER_KEY,
            value: JSON.stringify(record),
            lease: lease.value.lease,
          },
          {key: TERM_KEY, value: JSON.stringify({term: record.term})},
        ],
        removals: [],
      },
      record.nonce,
    );
    if (revision === undefined) {
      await store.endLease(lease.value.lease);
      return;
    }
    this.startTerm(record.term, revision, lease.value.lease, grantedAt);
  }

  /**
   * Returns the revision of the leader's key if this daemon has it. Without an
   * answer the same transaction is sent again: it may have been carried out.
   */
  private async acquireLeaderKey(
    transaction: StoreTransaction,
    nonce: string,
  ): Promise<number | undefined> {
    while (!this.scope.closed) {
      const outcome = await this.dependencies.store.transact(transaction);
      if (outcome.isErr) {
        if (outcome.error.kind === 'not-found') return undefined;
        await this.scope.sleep(RENEWAL_RETRY_MS);
        continue;
      }
      if (outcome.value.kind === 'committed') return outcome.value.revision;
      const item = outcome.value.items.find(({key}) => key === LEADER_KEY);
      if (item === undefined) return undefined;
      const held = decodeRecord(LEADER_KEY, item.value, leaderSchema);
      return held.isOk && held.value.nonce === nonce
        ? item.revision
        : undefined;
    }
    return undefined;
  }

  private startTerm(
    term: number,
    leaderRevision: number,
    lease: number,
    grantedAt: SteadyTime,
  ): void {
    if (this.isResigning) {
      void this.dependencies.store.endLease(lease);
      return;
    }
    this.dependencies.log.elected(term);
    const scope = this.scope.child();
    this.current = new Term(
      this.dependencies,
      this.settings,
      this.configuration,
      {term, leaderRevision, lease, grantedAt},
      scope,
      () => {
        this.current = undefined;
      },
    );
    void this.current.run();
  }
}

interface Election {
  readonly term: number;
  readonly leaderRevision: number;
  readonly lease: number;
  readonly grantedAt: SteadyTime;
}

/** One term: keeps the lease and tells how long it certainly lasts. */
class Term implements Authority {
  readonly session: LeaderSession;
  private leaseSafeUntil: SteadyTime;
  private clockOffsetMs: number;
  private wasCertain = true;
  private hasEnded = false;
  /** When renewals began to fail. */
  private failingSince: SteadyTime | undefined;
  private isHandingOver = false;

  constructor(
    private readonly dependencies: LeadershipDependencies,
    private readonly settings: LeadershipSettings,
    configuration: () => HostedConfiguration | undefined,
    private readonly election: Election,
    private readonly scope: CleanupScope,
    private readonly onEnd: () => void,
  ) {
    this.leaseSafeUntil = safeLeaseEnd(election.grantedAt);
    this.clockOffsetMs = this.offsetMs(election.grantedAt);
    this.session = new LeaderSession(
      dependencies,
      settings,
      this,
      configuration,
      scope,
    );
  }

  get term(): number {
    return this.election.term;
  }

  get leaderRevision(): number {
    return this.election.leaderRevision;
  }

  mayAct(now: SteadyTime): boolean {
    if (this.hasEnded) return false;
    const driftMs = Math.abs(this.offsetMs(now) - this.clockOffsetMs);
    return now < this.leaseSafeUntil && driftMs < SUSPENSION_THRESHOLD_MS;
  }

  leadershipLost(reason: string): void {
    void this.end(reason, false);
  }

  async run(): Promise<void> {
    void this.renewLoop();
    keepRecordsFor(
      this.settings.stateRetentionMs,
      this.session,
      this.dependencies,
      this.leaderRevision,
      this.scope,
    );
    await this.session.run();
  }

  async end(reason: string, release: boolean): Promise<void> {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.dependencies.log.termEnded(this.term, reason);
    this.onEnd();
    await this.scope.close();
    if (!release) return;
    const ended = await this.dependencies.store.endLease(this.election.lease);
    if (ended.isErr) {
      this.dependencies.log.storeUnavailable('the lease', ended.error.message);
    }
  }

  private async renewLoop(): Promise<void> {
    while (!this.scope.closed) {
      const sentAt = steadyNow();
      const offsetMs = this.offsetMs(sentAt);
      const renewed = await this.dependencies.store.renewLease(
        this.election.lease,
      );
      if (this.scope.closed) return;
      if (renewed.isOk) {
        this.leaseSafeUntil = safeLeaseEnd(sentAt);
        this.clockOffsetMs = offsetMs;
        if (!this.wasCertain) this.dependencies.log.termCertainAgain(this.term);
        this.wasCertain = true;
        this.failingSince = undefined;
        await this.scope.sleep(LEADER_RENEWAL_MS);
        continue;
      }
      if (renewed.error.kind === 'not-found') {
        this.leadershipLost('the lease of its key has ended');
        return;
      }
      this.failingSince ??= sentAt;
      const failedAt = steadyNow();
      const isPrompt = failedAt - sentAt < REFUSAL_THRESHOLD_MS;
      const handoverDelayMs = isPrompt
        ? REFUSED_HANDOVER_DELAY_MS
        : TIMEOUT_HANDOVER_DELAY_MS;
      if (failedAt - this.failingSince >= handoverDelayMs) {
        void this.handOver();
      }
      if (this.wasCertain && !this.mayAct(steadyNow())) {
        this.wasCertain = false;
        this.dependencies.log.termUncertain(this.term, renewed.error.message);
      }
      await this.scope.sleep(RENEWAL_RETRY_MS);
    }
  }

  /**
   * Ends the term if another daemon can tell the store so. While the store
   * serves nobody, the term goes on: a new leader could do no more.
   */
  private async handOver(): Promise<void> {
    const {proxy, log} = this.dependencies;
    if (proxy === undefined || this.isHandingOver) return;
    this.isHandingOver = true;
    const address = await proxy.findServed();
    const isFailing = this.failingSince !== undefined;
    if (address !== undefined && isFailing && !this.hasEnded) {
      // Nothing is ordered any more before the lease ends.
      await this.end(`the store serves ${address} and not this daemon`, false);
      const ended = await proxy.endLease(address, this.election.lease);
      log.leaseEndRelayed(this.term, address, ended);
    }
    this.isHandingOver = false;
  }

  /** Changes when the VM was suspended or its time of day was set. */
  private offsetMs(steady: SteadyTime): number {
    return this.dependencies.clock.now() - steady;
  }
}

function safeLeaseEnd(sentAt: SteadyTime): SteadyTime {
  return steadyTime(sentAt + LEADER_LEASE_MS * SAFE_LEASE_FRACTION);
}
