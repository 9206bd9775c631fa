/**
 * Leader election through a leased key in the store. The transaction that
 * acquires the key also increments the term, which is the fencing token of all
 * orders to workers.
 */

import {randomUUID} from 'node:crypto';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {SteadyTime} from '../lifecycle/clock.js';
import {steadyNow, steadyTime} from '../lifecycle/clock.js';
import type {RandomSource} from '../lifecycle/random.js';
import type {HostedConfiguration} from '../model/queues.js';
import type {StoreTransaction} from '../interfaces/coordination_store.js';
import {NO_REVISION} from '../interfaces/coordination_store.js';
import type {LeaderRecord} from './jobs/records.js';
import {
  LEADER_KEY,
  TERM_KEY,
  decodeRecord,
  leaderSchema,
  termSchema,
} from './jobs/records.js';
import {startRecordCleaner} from './jobs/record_cleaner.js';
import type {Authority} from './authority.js';
import type {SessionDependencies, SessionSettings} from './session_options.js';
import {LeaderSession} from './session.js';
import type {StoreProxy} from './store_proxy.js';
import type {SiteView} from './site_view.js';
import {FENCES_PER_TERM} from './workers/worker_fences.js';

/**
 * Lease of the leader's key. A takeover has to wait until the lease expires; a
 * store that is slow or unresponsive for a shorter time does not end the term.
 * The shortest lease that the store grants is 1 s.
 */
const LEADER_LEASE_MS = 2_000;
const LEADER_RENEWAL_MS = 500;
const RENEWAL_RETRY_MS = 100;

/**
 * How long renewals must fail before other daemons are asked whether they can
 * reach the store. The second delay applies to renewals that timed out. It is
 * longer than one timed-out call, because the store may lose a single call.
 */
const REFUSED_HANDOVER_DELAY_MS = 150;
const TIMEOUT_HANDOVER_DELAY_MS = 700;

/** A call that fails sooner was refused, or its connection was reset. */
const REFUSAL_THRESHOLD_MS = 300;

/**
 * Fraction of the lease that the leader relies on, because its clock and the
 * store's clock may run at different speeds.
 */
const SAFE_LEASE_FRACTION = 0.95;

/** Longest random delay of a candidate; makes simultaneous elections rare. */
const ELECTION_JITTER_MS = 80;

/** Delay that gives way to candidates on better equipped VMs. */
const WEAK_CANDIDATE_DELAY_MS = 400;

/**
 * With 250 workers a leader uses 0.4 cores, and a takeover reads 1 to 2 MB,
 * which must take less than a second.
 */
const RECOMMENDED_LEADER_CORES = 0.6;
const RECOMMENDED_LEADER_LINK_MBPS = 30;
const ELECTION_RETRY_MS = 250;

/**
 * The VM was suspended if the difference between its steady clock and its time
 * of day has changed by more than this since the last renewal.
 */
const SUSPENSION_THRESHOLD_MS = 150;

export interface LeadershipSettings extends SessionSettings {
  readonly vmId: string;
  /** Address of this daemon's peer interface. */
  readonly peerAddress: string;
  /** Processor cores and link speed of this VM. */
  readonly cores: number;
  readonly linkMbps: number;
  /** How long the state of an ended job can be queried. */
  readonly stateRetentionMs: number;
}

export interface LeadershipDependencies extends SessionDependencies {
  /** Absent if daemons cannot reach each other. */
  readonly proxy?: StoreProxy | undefined;
}

export class Leadership {
  private currentTerm: Term | undefined;
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
    site.onChange(() => this.startElectionIfNeeded());
    scope.every(ELECTION_RETRY_MS, () => this.startElectionIfNeeded());
  }

  /** The session, if this daemon leads and has read the stored records. */
  get session(): LeaderSession | undefined {
    const term = this.currentTerm;
    return term?.session.isReady === true ? term.session : undefined;
  }

  get term(): number {
    return this.currentTerm?.term ?? 0;
  }

  /**
   * Ends the term and releases the lease, so that another daemon is elected
   * immediately. This daemon takes part in no further election.
   */
  async resign(): Promise<void> {
    this.isResigning = true;
    await this.currentTerm?.end('this daemon is shutting down', true);
  }

  /** Ends the current term, if any; this daemon may be elected again. */
  abandonTerm(reason: string): void {
    void this.currentTerm?.end(reason, true);
  }

  private startElectionIfNeeded(): void {
    const {site, scope} = this;
    if (this.currentTerm !== undefined || this.isElecting || this.isResigning) {
      return;
    }
    // An outdated site view may name a leader that no longer exists.
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
    const grantedAt = steadyNow();
    // Read together, because a slow store takes long for each call.
    const [storedTerm, lease] = await Promise.all([
      store.get(TERM_KEY),
      store.grantLease(LEADER_LEASE_MS),
    ]);
    if (storedTerm.isErr || lease.isErr) {
      if (lease.isOk) await store.endLease(lease.value.lease);
      return;
    }
    const recorded = decodeRecord(
      TERM_KEY,
      storedTerm.value?.value ?? '{"term":0}',
      termSchema,
    );
    if (recorded.isErr) {
      this.dependencies.log.unreadableRecord(recorded.error.message);
      await store.endLease(lease.value.lease);
      return;
    }
    const record: LeaderRecord = {
      vmId: this.settings.vmId,
      address: this.settings.peerAddress,
      term: recorded.value.term + FENCES_PER_TERM,
      nonce: randomUUID(),
    };
    const revision = await this.acquireLeaderKey(
      {
        conditions: [
          {key: LEADER_KEY, revision: NO_REVISION},
          {key: TERM_KEY, revision: storedTerm.value?.revision ?? NO_REVISION},
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
   * Returns the revision of the leader's key if this daemon acquired it. A
   * transaction without an answer may have been committed, so it is sent again,
   * and the nonce in the stored record shows whether an earlier attempt won.
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
    this.currentTerm = new Term(
      this.dependencies,
      this.settings,
      this.configuration,
      {term, leaderRevision, lease, grantedAt},
      scope,
      () => {
        this.currentTerm = undefined;
      },
    );
    void this.currentTerm.run();
  }
}

interface Election {
  readonly term: number;
  readonly leaderRevision: number;
  readonly lease: number;
  readonly grantedAt: SteadyTime;
}

/** One term: renews the lease and tracks until when it is certainly valid. */
class Term implements Authority {
  readonly session: LeaderSession;
  private leaseSafeUntil: SteadyTime;
  private clockOffsetMs: number;
  private wasCertain = true;
  private hasEnded = false;
  /** Start of the first of the renewals that have failed in a row. */
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
    startRecordCleaner(
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
      this.dependencies.log.requestFailed('the lease', ended.error.message);
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
        this.leadershipLost('the lease of the leader key has expired');
        return;
      }
      this.failingSince ??= sentAt;
      const failedAt = steadyNow();
      const wasRefused = failedAt - sentAt < REFUSAL_THRESHOLD_MS;
      const handoverDelayMs = wasRefused
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
   * Ends the term if another daemon can reach the store and relay the end of
   * the lease. While no daemon can reach the store, the term continues, because
   * a new leader could not do more either.
   */
  private async handOver(): Promise<void> {
    const {proxy, log} = this.dependencies;
    if (proxy === undefined || this.isHandingOver) return;
    this.isHandingOver = true;
    const address = await proxy.findDaemonWithStoreAccess();
    const isFailing = this.failingSince !== undefined;
    if (address !== undefined && isFailing && !this.hasEnded) {
      // Ending the term first ensures that no order follows the lease's end.
      await this.end(`the store answers ${address}, not this daemon`, false);
      const ended = await proxy.endLease(address, this.election.lease);
      log.leaseEndRelayed(this.term, address, ended);
    }
    this.isHandingOver = false;
  }

  /** Changes if the VM was suspended or its time of day was set. */
  private offsetMs(steady: SteadyTime): number {
    return this.dependencies.clock.now() - steady;
  }
}

function safeLeaseEnd(sentAt: SteadyTime): SteadyTime {
  return steadyTime(sentAt + LEADER_LEASE_MS * SAFE_LEASE_FRACTION);
}
