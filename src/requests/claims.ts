/**
 * Claims of keyed, non-idempotent requests; see `docs/design.md`, section
 * 3.6. A claim is in the store before the request is dispatched, so that two
 * requests with one key, on whatever daemons, run at most once.
 *
 * A claim does not outlive a request that was not run: it is released, and
 * until that is written a later request with the key asks the claiming daemon
 * and takes the claim over on its word. This also holds for a claim whose
 * write may have happened and cannot be read back: its request is not sent,
 * the claiming daemon answers `notRun` for it, and it repeats the release
 * until the store takes it. Only if that daemon ends before the store returns
 * does the key stay `unknown`, at most until the claim expires.
 */

import {createHash} from 'node:crypto';
import type {Clock} from '../lifecycle/clock.js';
import {after} from '../model/ids.js';
import type {DaemonId} from '../model/ids.js';
import type {NotRun, Outcome, ServiceRequest} from '../model/requests.js';
import {ClaimBucket} from './claim_bucket.js';
import type {Claim, ClaimResult} from './claim_bucket.js';
import type {ClaimStore, RequestDirectory, RequestPeers} from './directory.js';
import {notRun, RequestFilter, unknown} from './exchange.js';
import type {Exchange, Next} from './exchange.js';
import type {RequestOutcomes} from './request_outcomes.js';

/** 64 buckets allow 64 writes at once; the store takes several hundred. */
const BUCKET_COUNT = 64;

const DIGEST_LENGTH = 22;

/** Rounds of asking for a duplicate's outcome and taking its claim over. */
const MAXIMUM_TAKEOVERS = 3;

/** Claims to release that are remembered while the store is away. */
const MAXIMUM_UNRELEASED = 10_000;

/** Suggested wait when the store did not take a claim. */
const STORE_RETRY_MS = 1_000;

export class ClaimRegistry {
  private readonly buckets: readonly ClaimBucket[];
  private readonly unreleased = new Set<Claim>();

  constructor(
    store: ClaimStore,
    private readonly clock: Clock,
    private readonly daemonId: DaemonId,
    private readonly retentionMs: number,
  ) {
    this.buckets = Array.from(
      {length: BUCKET_COUNT},
      (_, index) => new ClaimBucket(`claims/${index}`, store, clock),
    );
  }

  /** Creates the claim of a keyed request without writing it. */
  claimFor(request: ServiceRequest): Claim | undefined {
    if (request.key === undefined) return undefined;
    return {
      customerId: request.customerId,
      key: request.key,
      requestId: request.requestId,
      daemonId: this.daemonId,
      contentDigest: contentDigest(request),
      // Counted from the deadline, so that the key is not free again while
      // the request may still be running.
      expiresAt: after(request.deadline, this.retentionMs),
    };
  }

  take(claim: Claim, replaces?: Claim): Promise<ClaimResult> {
    return this.bucketOf(claim).submit({
      kind: 'claim',
      claim,
      replaces: replaces?.requestId,
    });
  }

  /** Removes the claim; kept for `retryReleases` if the store is away. */
  async release(claim: Claim): Promise<void> {
    const result = await this.bucketOf(claim).submit({kind: 'release', claim});
    if (result.kind === 'done') this.unreleased.delete(claim);
    else this.retryLater(claim);
  }

  /** Called at an interval. */
  async retryReleases(): Promise<void> {
    const now = this.clock.now();
    const claims = [...this.unreleased];
    this.unreleased.clear();
    await Promise.all(
      claims
        .filter((claim) => claim.expiresAt > now)
        .map((claim) => this.release(claim)),
    );
  }

  private retryLater(claim: Claim): void {
    if (this.unreleased.size < MAXIMUM_UNRELEASED) this.unreleased.add(claim);
  }

  private bucketOf(claim: Claim): ClaimBucket {
    const hash = createHash('sha256')
      .update(`${claim.customerId}/${claim.key}`)
      .digest();
    const bucket = this.buckets[hash.readUInt8(0) % BUCKET_COUNT];
    if (!bucket) throw new Error('the bucket number is out of range');
    return bucket;
  }
}

/** Claims keyed, non-idempotent requests before they are dispatched. */
export class ClaimFilter extends RequestFilter {
  constructor(
    private readonly claims: ClaimRegistry,
    private readonly outcomes: RequestOutcomes,
    private readonly directory: RequestDirectory,
    private readonly peers: RequestPeers,
  ) {
    super();
  }

  override async handle(exchange: Exchange, next: Next): Promise<Outcome> {
    const {request} = exchange;
    const claim = request.repeatable
      ? undefined
      : this.claims.claimFor(request);
    if (!claim) return next();
    let replaces: Claim | undefined;
    for (let round = 0; round <= MAXIMUM_TAKEOVERS; round += 1) {
      const result = await this.takeBeforeDeadline(exchange, claim, replaces);
      if (result.kind === 'done') return this.run(exchange, claim, next);
      if (result.kind !== 'taken') return result.answer;
      if (result.by.contentDigest !== claim.contentDigest) {
        return keyReused(exchange);
      }
      const first = await this.originalOutcome(exchange, result.by);
      if (first.outcome !== 'notRun') return asDuplicate(exchange, first);
      replaces = result.by;
    }
    return storeUnavailable(exchange, 'other requests use the same key');
  }

  private async run(
    exchange: Exchange,
    claim: Claim,
    next: Next,
  ): Promise<Outcome> {
    const outcome = exchange.reasonToStop() ?? (await next());
    if (outcome.outcome === 'notRun') void this.claims.release(claim);
    return outcome;
  }

  /**
   * Waits for the claim until the deadline. A claim that is or may be written
   * after all is released, because its request is not sent.
   */
  private async takeBeforeDeadline(
    exchange: Exchange,
    claim: Claim,
    replaces: Claim | undefined,
  ): Promise<
    | Extract<ClaimResult, {kind: 'done' | 'taken'}>
    | {readonly kind: 'refused'; readonly answer: NotRun}
  > {
    const taking = this.claims.take(claim, replaces);
    const result = await untilDeadlineOrAbort(taking, exchange);
    if (!result) {
      void taking.then((late) => this.releaseIfWritten(claim, late));
      const answer =
        exchange.reasonToStop() ??
        storeUnavailable(exchange, 'the store did not answer in time');
      return {kind: 'refused', answer};
    }
    if (result.kind === 'done' || result.kind === 'taken') return result;
    this.releaseIfWritten(claim, result);
    return {kind: 'refused', answer: refusal(exchange, result)};
  }

  private releaseIfWritten(claim: Claim, result: ClaimResult): void {
    const mayBeWritten =
      result.kind === 'done' ||
      (result.kind === 'unavailable' && result.uncertain);
    if (mayBeWritten) void this.claims.release(claim);
  }

  /** Asks the claiming daemon for the outcome of the first request. */
  private async originalOutcome(
    exchange: Exchange,
    claim: Claim,
  ): Promise<Outcome> {
    const {requestId, daemonId} = claim;
    if (daemonId === this.directory.daemonId) {
      return (
        this.outcomes.find(requestId) ??
        unknown(requestId, 'duplicate', 'its outcome is no longer held')
      );
    }
    const address = this.directory.daemonAddress(daemonId);
    if (address === undefined) {
      return unknown(
        requestId,
        'duplicate',
        `the daemon that took it is gone; the key is free again ${timeUntilExpiry(claim, exchange)}`,
      );
    }
    const asked = await this.peers.claimOutcome(address, requestId);
    if (asked.isErr) {
      return unknown(
        requestId,
        'duplicate',
        'the daemon that took it did not answer; send the same key again',
      );
    }
    if (asked.value.requestId === requestId) return asked.value;
    return unknown(requestId, 'malformed-answer', 'the outcome is of another');
  }
}

/** Resolves with undefined at the deadline or when the caller is gone. */
async function untilDeadlineOrAbort<T>(
  work: Promise<T>,
  exchange: Exchange,
): Promise<T | undefined> {
  let stop: () => void = () => undefined;
  const stopped = new Promise<undefined>((resolve) => {
    stop = () => resolve(undefined);
  });
  const timer = setTimeout(stop, Math.max(0, exchange.remainingMs()));
  exchange.signal.addEventListener('abort', stop);
  try {
    return await Promise.race([work, stopped]);
  } finally {
    clearTimeout(timer);
    exchange.signal.removeEventListener('abort', stop);
  }
}

function contentDigest(request: ServiceRequest): string {
  return createHash('sha256')
    .update(JSON.stringify([request.workClassId, request.payload]))
    .digest('base64url')
    .slice(0, DIGEST_LENGTH);
}

function asDuplicate(exchange: Exchange, first: Outcome): Outcome {
  const {requestId} = exchange;
  if (first.outcome !== 'unknown') return {...first, requestId};
  return unknown(
    requestId,
    first.reason,
    `request ${first.requestId} has the same key: ${first.message}`,
  );
}

function refusal(
  exchange: Exchange,
  result: Extract<ClaimResult, {kind: 'full' | 'unavailable'}>,
): NotRun {
  if (result.kind === 'unavailable') {
    return storeUnavailable(exchange, result.message);
  }
  return notRun(
    exchange.requestId,
    'claims-full',
    'the store holds as many claims for this part of the keys as it may',
    result.retryAfterMs,
  );
}

function storeUnavailable(exchange: Exchange, message: string): NotRun {
  return notRun(
    exchange.requestId,
    'store-unavailable',
    message,
    STORE_RETRY_MS,
  );
}

function keyReused(exchange: Exchange): NotRun {
  return notRun(
    exchange.requestId,
    'key-reused',
    'the key was used for a request with another work class or payload',
  );
}

function timeUntilExpiry(claim: Claim, exchange: Exchange): string {
  const seconds = Math.ceil((claim.expiresAt - exchange.now()) / 1_000);
  return `in ${Math.max(0, seconds)} s`;
}
