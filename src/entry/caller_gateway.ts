/**
 * Handles callers' requests. Validates a call against the configuration,
 * queue, key and path, then stores or cancels a job or reads its state. A
 * daemon that cannot reach the store forwards the call to a peer.
 */

import type {ComponentLog} from '../daemon/log.js';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {Clock, SteadyTime} from '../lifecycle/clock.js';
import {steadyNow} from '../lifecycle/clock.js';
import type {RandomSource} from '../lifecycle/random.js';
import type {Instant, JobId} from '../model/ids.js';
import type {HostedCustomer, Queue} from '../model/queues.js';
import type {JobStateName} from '../model/submissions.js';
import {isEnded, submissionSchema} from '../model/submissions.js';
import type {CoordinationStore} from '../interfaces/coordination_store.js';
import {NO_REVISION} from '../interfaces/coordination_store.js';
import {CANCELLATION_BYTES, workBytesOf} from '../leader/jobs/work_limit.js';
import {
  LEADER_KEY,
  cancelledKey,
  decodeRecord,
  progressKey,
  progressSchema,
  submittedKey,
} from '../leader/jobs/records.js';
import type {CancellationRecord} from '../leader/jobs/records.js';
import type {SiteView} from '../leader/site_view.js';
import type {
  CallerAnswer,
  CallerCall,
  LeaderQueryHandler,
  LeaderQuery,
  LeaderReply,
  SitePeers,
} from './calls.js';
import type {ConfigurationFeed} from './configuration_feed.js';
import {PeerAvailability} from './peer_availability.js';
import {StoreHealth} from './store_health.js';
import {admitCaller, createSubmission, sizeProblem} from './submissions.js';
import {WorkAdmission} from './work_admission.js';
import type {Refusal, WorkLimits} from './work_admission.js';

/**
 * An older configuration may lack a change that is in force. A watch returns
 * within 2 s; the rest allows for network latency.
 */
const MAXIMUM_CONFIGURATION_AGE_MS = 2_700;

/** The platform accepts counts of pending jobs that are up to 2 s old. */
const MAXIMUM_PENDING_COUNT_AGE_MS = 1_000;

/**
 * Retry delay given to callers. A caller makes up to four retries within 3 s,
 * so the shortest delay that the Retry-After header can express, 1 s, leaves
 * the most attempts.
 */
const RETRY_AFTER_MS = 1_000;

/** Characters of a path in a log line; callers may send thousands. */
const MAXIMUM_LOGGED_PATH = 200;

const JOB_ID_PATTERN = /^[0-9a-f]{16}$/;

export interface GatewayDependencies {
  readonly store: CoordinationStore;
  readonly feed: ConfigurationFeed;
  readonly site: SiteView;
  readonly queryHandler: LeaderQueryHandler;
  readonly peers: SitePeers;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: ComponentLog;
  readonly scope: CleanupScope;
  readonly limits: WorkLimits;
}

/** A call with a known queue, an accepted key and a valid path. */
interface AdmittedCall {
  readonly call: CallerCall;
  readonly queue: Queue;
  readonly customer: HostedCustomer | undefined;
  readonly jobId: JobId | undefined;
}

export class CallerGateway {
  private readonly health: StoreHealth;
  private readonly availability = new PeerAvailability();
  private readonly admission: WorkAdmission;
  private readonly pendingCounts = new Map<
    string,
    {count: number; at: SteadyTime}
  >();

  constructor(
    private readonly dependencies: GatewayDependencies,
    private readonly ownAddress: string,
  ) {
    const {store, scope, log, limits} = dependencies;
    this.admission = new WorkAdmission(
      store,
      (query) => this.askLeader(query),
      () => dependencies.site.memberAddresses(ownAddress).length + 1,
      limits,
    );
    this.health = new StoreHealth(store, LEADER_KEY, scope, log);
  }

  /** True if the configuration is current and the store is available. */
  isReady(now: SteadyTime): boolean {
    const {feed} = this.dependencies;
    return (
      feed.configuration !== undefined &&
      feed.ageMs(now) < MAXIMUM_CONFIGURATION_AGE_MS &&
      !this.health.isUnavailable
    );
  }

  /** Answers a call; a forwarded call is not forwarded again. */
  async handle(
    call: CallerCall,
    now: Instant,
    isForwarded: boolean,
  ): Promise<CallerAnswer> {
    const steady = steadyNow();
    if (!this.hasCurrentConfiguration(steady)) {
      return this.forwardOrRefuse(
        call,
        isForwarded,
        'no current configuration',
      );
    }
    if (this.isOutdatedFor(call)) {
      return this.forwardOrRefuse(
        call,
        isForwarded,
        'the configuration is older than the one of the forwarding daemon',
      );
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
          ? this.readPendingCount(admitted, isForwarded)
          : this.readState(admitted, admitted.jobId, isForwarded);
    }
  }

  // Validation.

  private hasCurrentConfiguration(steady: SteadyTime): boolean {
    const {feed} = this.dependencies;
    return (
      feed.configuration !== undefined &&
      feed.ageMs(steady) < MAXIMUM_CONFIGURATION_AGE_MS
    );
  }

  /** True if the daemon that forwarded the call has a newer configuration. */
  private isOutdatedFor({minimumVersion = 0}: CallerCall): boolean {
    const {configuration} = this.dependencies.feed;
    return (configuration?.version ?? 0) < minimumVersion;
  }

  private admit(call: CallerCall): AdmittedCall | CallerAnswer {
    const {configuration} = this.dependencies.feed;
    const queue = configuration?.queueFor(call.host, call.path);
    if (configuration === undefined || queue === undefined) {
      return {kind: 'noSuchQueue'};
    }
    const admitted = admitCaller(configuration, queue, call.key);
    if (admitted.isErr) return {kind: 'unknownKey'};
    const customer = admitted.value;
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
    const problem = sizeProblem(request);
    if (problem !== undefined) return {kind: 'invalid', problem};
    if (this.health.isUnavailable) {
      return this.forwardOrRefuse(
        call,
        isForwarded,
        'the store does not answer',
      );
    }
    const submission = createSubmission(request, jobId, queue, customer, now);
    const value = JSON.stringify(submission);
    const {maximumValueBytes} = this.dependencies.limits;
    if (Buffer.byteLength(value) > maximumValueBytes) {
      const reason = `the job takes more than ${maximumValueBytes} bytes`;
      return {kind: 'invalid', problem: `${reason}, split it up`};
    }
    const refusal = await this.admission.refusalOf(
      {
        jobId,
        customerId: customer?.customerId,
        bytes: workBytesOf(submission),
      },
      steadyNow(),
    );
    if (refusal !== undefined) return this.refuse(call, refusal);
    const key = submittedKey(jobId);
    const outcome = await this.dependencies.store.transact({
      conditions: [
        {key, revision: NO_REVISION},
        {key: cancelledKey(jobId), revision: NO_REVISION},
      ],
      puts: [{key, value}],
      removals: [],
    });
    if (outcome.isErr) {
      return this.handleWriteFailure(call, isForwarded, jobId, outcome.error);
    }
    const {log, feed} = this.dependencies;
    const context = {jobId, ...versionOf(feed)};
    if (outcome.value.kind === 'committed') {
      log.info(`job accepted for queue ${queue.queueId}`, context);
    } else if (outcome.value.items.some((item) => item.key === key)) {
      log.info('job was accepted before', context);
    } else {
      log.info('job was cancelled before it was stored', context);
      return {kind: 'noSuchJob'};
    }
    return {kind: 'accepted'};
  }

  /**
   * The submission may still be under way, also if its caller got no answer. So
   * the cancellation is stored in any case; it voids a submission that is
   * stored later.
   */
  private async cancel(
    admitted: AdmittedCall,
    now: Instant,
    isForwarded: boolean,
  ): Promise<CallerAnswer> {
    const {call, customer, jobId} = admitted;
    if (jobId === undefined) return {kind: 'noSuchJob'};
    if (this.health.isUnavailable) {
      return this.forwardOrRefuse(
        call,
        isForwarded,
        'the store does not answer',
      );
    }
    const {store, log} = this.dependencies;
    const submitted = await store.get(submittedKey(jobId));
    if (submitted.isErr) {
      this.health.recordFailure(submitted.error.message);
      return this.forwardOrRefuse(call, isForwarded, submitted.error.message);
    }
    const {value: job} = submitted;
    if (job !== undefined && !this.isOwner(job.key, job.value, customer)) {
      return {kind: 'noSuchJob'};
    }
    if (job === undefined) {
      const refusal = await this.admission.refusalOf(
        {jobId, customerId: customer?.customerId, bytes: CANCELLATION_BYTES},
        steadyNow(),
      );
      if (refusal !== undefined) return this.refuse(call, refusal);
    }
    const key = cancelledKey(jobId);
    const jobRevision = job?.revision ?? NO_REVISION;
    const outcome = await store.transact({
      conditions: [
        {key, revision: NO_REVISION},
        {key: submittedKey(jobId), revision: jobRevision},
      ],
      puts: [{key, value: encodeCancellation(customer, now)}],
      removals: [],
    });
    if (outcome.isErr) {
      return this.handleWriteFailure(call, isForwarded, jobId, outcome.error);
    }
    const isCancelled =
      outcome.value.kind === 'committed' ||
      outcome.value.items.some((item) => item.key === key);
    if (!isCancelled) {
      log.info('the job was stored or removed meanwhile', {jobId});
      return this.cancel(admitted, now, isForwarded);
    }
    if (job === undefined) {
      log.info('cancellation accepted for a job that is not stored', {jobId});
      return {kind: 'noSuchJob'};
    }
    log.info('cancellation accepted', {jobId});
    return {kind: 'cancelled'};
  }

  /** Logs the refusal of a call and returns it. */
  private refuse(call: CallerCall, refusal: Refusal): Refusal {
    const path = call.path.slice(0, MAXIMUM_LOGGED_PATH);
    const {log} = this.dependencies;
    log.warn(`refused ${call.method} of ${path}: ${refusal.reason}`);
    return refusal;
  }

  private async readState(
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
    if (this.health.isUnavailable) {
      return this.forwardOrRefuse(
        call,
        isForwarded,
        'the store does not answer',
      );
    }
    return this.readStoredState(call, customer, jobId, isForwarded);
  }

  /** Reads the state from the store if no leader can report it. */
  private async readStoredState(
    call: CallerCall,
    customer: HostedCustomer | undefined,
    jobId: JobId,
    isForwarded: boolean,
  ): Promise<CallerAnswer> {
    const {store, log} = this.dependencies;
    const submitted = await store.get(submittedKey(jobId));
    const progress = submitted.isOk
      ? await store.get(progressKey(jobId))
      : submitted;
    if (submitted.isErr || progress.isErr) {
      this.health.recordFailure('cannot read the state of a job');
      return this.forwardOrRefuse(
        call,
        isForwarded,
        'the store does not answer',
      );
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
      this.dependencies.log.error(decoded.error.message);
      return true;
    }
    const {customerId} = decoded.value;
    return customerId === undefined || customerId === customer?.customerId;
  }

  private async readPendingCount(
    {call, queue}: AdmittedCall,
    isForwarded: boolean,
  ): Promise<CallerAnswer> {
    const {queueId} = queue;
    const steady = steadyNow();
    const cached = this.pendingCounts.get(queueId);
    if (
      cached !== undefined &&
      steady - cached.at < MAXIMUM_PENDING_COUNT_AGE_MS
    ) {
      return {kind: 'pending', count: cached.count};
    }
    const reply = await this.askLeader({kind: 'pending', queueId});
    if (reply?.kind === 'pending') {
      this.pendingCounts.set(queueId, {count: reply.count, at: steady});
      return {kind: 'pending', count: reply.count};
    }
    return this.forwardOrRefuse(call, isForwarded, 'no leader answers');
  }

  // Other daemons.

  private async askLeader(
    query: LeaderQuery,
  ): Promise<LeaderReply | undefined> {
    const {queryHandler, site, peers} = this.dependencies;
    const ownReply = queryHandler.answer(query);
    if (ownReply.kind !== 'unknown') return ownReply;
    const address = site.leader?.address;
    if (address === undefined || address === this.ownAddress) return undefined;
    if (this.availability.isSilent(address, steadyNow())) return undefined;
    const reply = await peers.ask(address, query);
    if (reply === undefined) {
      this.availability.recordSilence(address, steadyNow());
    }
    return reply;
  }

  /** Forwards the call to a peer; refuses it if no peer answers it. */
  private async forwardOrRefuse(
    call: CallerCall,
    isForwarded: boolean,
    reason: string,
  ): Promise<CallerAnswer> {
    const {peers, feed, site, random} = this.dependencies;
    const candidates = isForwarded
      ? []
      : this.availability.candidates(
          site.memberAddresses(this.ownAddress),
          site.leader?.address,
          random,
          steadyNow(),
        );
    for (const address of candidates) {
      // Read each time, as a newer version may have come into force.
      const minimumVersion = feed.configuration?.version;
      const outcome = await peers.forward(address, {
        ...call,
        ...(minimumVersion === undefined ? {} : {minimumVersion}),
      });
      if (outcome.kind === 'answered') {
        if (outcome.answer.kind !== 'notAccepted') return outcome.answer;
        continue;
      }
      this.availability.recordSilence(address, steadyNow());
      if (outcome.kind === 'unanswered' && call.method === 'submit') {
        return {kind: 'undecided', reason: 'a peer did not answer'};
      }
    }
    return this.refuse(call, {
      kind: 'notAccepted',
      reason,
      retryAfterMs: RETRY_AFTER_MS,
    });
  }

  /** Never answers `notAccepted` for a write that may still be applied. */
  private async handleWriteFailure(
    call: CallerCall,
    isForwarded: boolean,
    jobId: JobId,
    error: {kind: string; message: string},
  ): Promise<CallerAnswer> {
    this.health.recordFailure(error.message);
    if (error.kind === 'unknown-effect') {
      this.dependencies.log.warn(
        `unknown whether a write was applied: ${error.message}`,
        {jobId},
      );
      return {kind: 'undecided', reason: error.message};
    }
    return this.forwardOrRefuse(call, isForwarded, error.message);
  }
}

function encodeCancellation(
  customer: HostedCustomer | undefined,
  now: Instant,
): string {
  const record: CancellationRecord = {
    cancelledAt: now,
    ...(customer === undefined ? {} : {customerId: customer.customerId}),
  };
  return JSON.stringify(record);
}

function versionOf(feed: ConfigurationFeed): {version?: number} {
  const version = feed.configuration?.version;
  return version === undefined ? {} : {version};
}
