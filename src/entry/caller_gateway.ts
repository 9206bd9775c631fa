/**
 * Answers calls of callers. A call passes a chain of filters (configuration,
 * queue, key, path); what remains is a job to store, to cancel or to tell the
 * state of. A daemon that the store refuses has another daemon answer.
 */

import type {ComponentLog} from '../daemon/log.js';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {Clock, SteadyTime} from '../lifecycle/clock.js';
import {steadyNow} from '../lifecycle/clock.js';
import type {RandomSource} from '../lifecycle/random.js';
import type {Instant, JobId} from '../model/ids.js';
import type {HostedCustomer, Queue} from '../model/queues.js';
import type {JobStateName, Submission} from '../model/submissions.js';
import {isEnded, submissionSchema} from '../model/submissions.js';
import type {CoordinationStore} from '../parties/coordination_store.js';
import {NO_REVISION} from '../parties/coordination_store.js';
import {
  LEADER_KEY,
  cancelledKey,
  decodeRecord,
  progressKey,
  progressSchema,
  submittedKey,
} from '../leader/records.js';
import type {SiteView} from '../leader/site_view.js';
import type {
  CallerAnswer,
  CallerCall,
  LeaderDesk,
  LeaderQuestion,
  LeaderReply,
  SitePeers,
} from './calls.js';
import type {ConfigurationFeed} from './configuration_feed.js';
import {StoreHealth} from './store_health.js';

/**
 * An older configuration may lack a change that is in force. A poll ends after
 * 2 s; the rest covers the answer's way.
 */
const CONFIGURATION_AGE_MS = 2_700;

/** Peers that are asked to answer a call; each costs up to its time limit. */
const FORWARD_ATTEMPTS = 2;

/** An address that did not answer is left out this long. */
const PEER_SILENCE_MS = 1_500;

/** The platform's counts may be 2 s old. */
const PENDING_AGE_MS = 1_000;

/**
 * When a caller should come back. Callers have 3 s in all and four further
 * attempts, so that the shortest time that the header can say reaches most.
 */
const RETRY_AFTER_MS = 1_000;

const JOB_ID_PATTERN = /^[0-9a-f]{16}$/;

export interface GatewayParties {
  readonly store: CoordinationStore;
  readonly feed: ConfigurationFeed;
  readonly site: SiteView;
  readonly desk: LeaderDesk;
  readonly peers: SitePeers;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: ComponentLog;
  readonly scope: CleanupScope;
}

/** A call that passed the filters. */
interface AdmittedCall {
  readonly call: CallerCall;
  readonly queue: Queue;
  readonly customer: HostedCustomer | undefined;
  readonly jobId: JobId | undefined;
}

export class CallerGateway {
  private readonly health: StoreHealth;
  private readonly silentPeers = new Map<string, SteadyTime>();
  private readonly pendingCounts = new Map<
    string,
    {count: number; at: SteadyTime}
  >();

  constructor(
    private readonly parties: GatewayParties,
    private readonly ownAddress: string,
  ) {
    const {store, scope, log} = parties;
    this.health = new StoreHealth(store, LEADER_KEY, scope, log);
  }

  /** True if this daemon can serve calls by itself or through a peer. */
  isReady(now: SteadyTime): boolean {
    const {feed} = this.parties;
    return (
      feed.configuration !== undefined &&
      feed.ageMs(now) < CONFIGURATION_AGE_MS &&
      !this.health.isSuspect
    );
  }

  /** Answers a call; a forwarded one is not passed on again. */
  async handle(
    call: CallerCall,
    now: Instant,
    isForwarded: boolean,
  ): Promise<CallerAnswer> {
    const steady = steadyNow();
    if (!this.hasCurrentConfiguration(steady)) {
      return this.elsewhere(call, isForwarded, 'no current configuration');
    }
    const admitted = this.admit(call);
    if ('kind' in admitted) return admitted;
    switch (call.method) {
      case 'submit':
        return this.submit(admitted, now, isForwarded);
      case 'cancel':
        return this.cancel(admitted, now, isForwarded);
      case 'read':
        return admitted.jobId === undefined
          ? this.pending(admitted, isForwarded)
          : this.state(admitted, admitted.jobId, isForwarded);
    }
  }

  // Filters.

  private hasCurrentConfiguration(steady: SteadyTime): boolean {
    const {feed} = this.parties;
    return (
      feed.configuration !== undefined &&
      feed.ageMs(steady) < CONFIGURATION_AGE_MS
    );
  }

  private admit(call: CallerCall): AdmittedCall | CallerAnswer {
    const {configuration} = this.parties.feed;
    const queue = configuration?.queueFor(call.host, call.path);
    if (configuration === undefined || queue === undefined) {
      return {kind: 'noSuchQueue'};
    }
    const customer =
      call.key === undefined
        ? undefined
        : configuration.customerWithKey(call.key);
    if (customer === undefined && !queue.isPublic) return {kind: 'unknownKey'};
    const rest = call.path.slice(queue.pathPrefix.length);
    if (rest === '') {
      return call.method === 'read'
        ? {call, queue, customer, jobId: undefined}
        : {kind: 'invalid', problem: 'the path names no job'};
    }
    if (!JOB_ID_PATTERN.test(rest)) {
      return call.method === 'submit'
        ? {kind: 'invalid', problem: 'a job id has 16 hexadecimal digits'}
        : {kind: 'noSuchJob'};
    }
    return {call, queue, customer, jobId: rest as JobId};
  }

  // Jobs.

  private async submit(
    {call, queue, customer, jobId}: AdmittedCall,
    now: Instant,
    isForwarded: boolean,
  ): Promise<CallerAnswer> {
    const {request} = call;
    if (request === undefined || jobId === undefined) {
      return {kind: 'invalid', problem: 'the body describes no job'};
    }
    if (this.health.isSuspect) {
      return this.elsewhere(call, isForwarded, 'the store does not answer');
    }
    const submission: Submission = {
      ...request,
      jobId,
      queueId: queue.queueId,
      serviceId: queue.serviceId,
      ...(customer === undefined ? {} : {customerId: customer.customerId}),
      submittedAt: now,
    };
    const key = submittedKey(jobId);
    const outcome = await this.parties.store.transact({
      conditions: [{key, revision: NO_REVISION}],
      puts: [{key, value: JSON.stringify(submission)}],
      removals: [],
    });
    if (outcome.isErr) {
      return this.writeFailed(call, isForwarded, jobId, outcome.error);
    }
    const repeated = outcome.value.kind === 'conflict';
    this.parties.log.info(
      repeated ? 'was accepted before' : `accepted for ${queue.queueId}`,
      {jobId, ...versionOf(this.parties.feed)},
    );
    return {kind: 'accepted'};
  }

  private async cancel(
    {call, customer, jobId}: AdmittedCall,
    now: Instant,
    isForwarded: boolean,
  ): Promise<CallerAnswer> {
    if (jobId === undefined) return {kind: 'noSuchJob'};
    if (this.health.isSuspect) {
      return this.elsewhere(call, isForwarded, 'the store does not answer');
    }
    const {store} = this.parties;
    const submitted = await store.get(submittedKey(jobId));
    if (submitted.isErr) {
      this.health.failed(submitted.error.message);
      return this.elsewhere(call, isForwarded, submitted.error.message);
    }
    if (submitted.value === undefined) return {kind: 'noSuchJob'};
    if (!this.isOwner(submitted.value.key, submitted.value.value, customer)) {
      return {kind: 'noSuchJob'};
    }
    const key = cancelledKey(jobId);
    const outcome = await store.transact({
      conditions: [{key, revision: NO_REVISION}],
      puts: [{key, value: JSON.stringify({cancelledAt: now})}],
      removals: [],
    });
    if (outcome.isErr) {
      return this.writeFailed(call, isForwarded, jobId, outcome.error);
    }
    this.parties.log.info('cancellation accepted', {jobId});
    return {kind: 'cancelled'};
  }

  private async state(
    {call, customer}: AdmittedCall,
    jobId: JobId,
    isForwarded: boolean,
  ): Promise<CallerAnswer> {
    const reply = await this.askLeader({kind: 'state', jobId});
    if (reply?.kind === 'state') {
      const owner = reply.customerId;
      return owner === undefined || owner === customer?.customerId
        ? {kind: 'state', state: reply.state}
        : {kind: 'noSuchJob'};
    }
    if (this.health.isSuspect) {
      return this.elsewhere(call, isForwarded, 'the store does not answer');
    }
    return this.storedState(call, customer, jobId, isForwarded);
  }

  /** Reads the state from the store while no leader knows the job. */
  private async storedState(
    call: CallerCall,
    customer: HostedCustomer | undefined,
    jobId: JobId,
    isForwarded: boolean,
  ): Promise<CallerAnswer> {
    const {store, log} = this.parties;
    const submitted = await store.get(submittedKey(jobId));
    const progress = submitted.isOk
      ? await store.get(progressKey(jobId))
      : submitted;
    if (submitted.isErr || progress.isErr) {
      this.health.failed('a state could not be read');
      return this.elsewhere(call, isForwarded, 'the store does not answer');
    }
    const {value: item} = submitted;
    if (item === undefined || !this.isOwner(item.key, item.value, customer)) {
      return {kind: 'noSuchJob'};
    }
    let state: JobStateName = 'queued';
    if (progress.value !== undefined) {
      const {key, value} = progress.value;
      const decoded = decodeRecord(key, value, progressSchema);
      if (decoded.isOk) state = decoded.value.state;
      else log.error(decoded.error.message, {jobId});
    }
    if (!isEnded(state)) {
      const cancelled = await store.get(cancelledKey(jobId));
      if (cancelled.isOk && cancelled.value !== undefined) state = 'cancelled';
    }
    return {kind: 'state', state};
  }

  private isOwner(
    key: string,
    value: string,
    customer: HostedCustomer | undefined,
  ): boolean {
    const decoded = decodeRecord(key, value, submissionSchema);
    if (decoded.isErr) {
      this.parties.log.error(decoded.error.message);
      return true;
    }
    const {customerId} = decoded.value;
    return customerId === undefined || customerId === customer?.customerId;
  }

  private async pending(
    {call, queue}: AdmittedCall,
    isForwarded: boolean,
  ): Promise<CallerAnswer> {
    const {queueId} = queue;
    const steady = steadyNow();
    const known = this.pendingCounts.get(queueId);
    if (known !== undefined && steady - known.at < PENDING_AGE_MS) {
      return {kind: 'pending', count: known.count};
    }
    const reply = await this.askLeader({kind: 'pending', queueId});
    if (reply?.kind === 'pending') {
      this.pendingCounts.set(queueId, {count: reply.count, at: steady});
      return {kind: 'pending', count: reply.count};
    }
    return this.elsewhere(call, isForwarded, 'no leader answers');
  }

  // Other daemons.

  private async askLeader(
    question: LeaderQuestion,
  ): Promise<LeaderReply | undefined> {
    const {desk, site, peers} = this.parties;
    const own = desk.answer(question);
    if (own.kind !== 'unknown') return own;
    const address = site.leader?.address;
    if (address === undefined || address === this.ownAddress) return undefined;
    if (this.isSilent(address)) return undefined;
    const reply = await peers.ask(address, question);
    if (reply === undefined) this.silentPeers.set(address, steadyNow());
    return reply;
  }

  /** Has a peer answer the call, or refuses it at once. */
  private async elsewhere(
    call: CallerCall,
    isForwarded: boolean,
    reason: string,
  ): Promise<CallerAnswer> {
    const {peers, log} = this.parties;
    if (!isForwarded) {
      for (const address of this.forwardAddresses()) {
        const answer = await peers.forward(address, call);
        if (answer === undefined) {
          this.silentPeers.set(address, steadyNow());
          if (call.method === 'submit') {
            return {kind: 'undecided', reason: 'a peer did not answer'};
          }
        } else if (answer.kind !== 'notAccepted') {
          return answer;
        }
      }
    }
    log.warn(`refused ${call.method} of ${call.path}: ${reason}`);
    return {kind: 'notAccepted', reason, retryAfterMs: RETRY_AFTER_MS};
  }

  /** The leader first, since the store serves it; then any member. */
  private forwardAddresses(): string[] {
    const {site, random} = this.parties;
    const members = site
      .memberAddresses(this.ownAddress)
      .filter((address) => !this.isSilent(address));
    const chosen = new Set<string>();
    const leader = site.leader?.address;
    if (leader !== undefined && members.includes(leader)) chosen.add(leader);
    while (chosen.size < Math.min(FORWARD_ATTEMPTS, members.length)) {
      const address = members[random.nextBelow(members.length)];
      if (address !== undefined) chosen.add(address);
    }
    return [...chosen];
  }

  private isSilent(address: string): boolean {
    const since = this.silentPeers.get(address);
    return since !== undefined && steadyNow() - since < PEER_SILENCE_MS;
  }

  /** A write that may be carried out must not be answered as not accepted. */
  private async writeFailed(
    call: CallerCall,
    isForwarded: boolean,
    jobId: JobId,
    error: {kind: string; message: string},
  ): Promise<CallerAnswer> {
    this.health.failed(error.message);
    if (error.kind === 'unknown-effect') {
      this.parties.log.warn(`undecided: ${error.message}`, {jobId});
      return {kind: 'undecided', reason: error.message};
    }
    return this.elsewhere(call, isForwarded, error.message);
  }
}

function versionOf(feed: ConfigurationFeed): {version?: number} {
  const version = feed.configuration?.version;
  return version === undefined ? {} : {version};
}
