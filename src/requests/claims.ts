/**
 * Claims of keyed requests that are not repeatable; see `docs/design.md`,
 * section 3.6. A claim is written to the store before the request is
 * dispatched, so that requests with the same key run at most once across all
 * daemons.
 *
 * The claim of a request that did not run is released. Until the release is
 * written, a later request with the same key asks the claiming daemon for the
 * outcome and replaces the claim if that daemon answers `notRun`. The same
 * applies to a claim whose write could not be confirmed: its request is not
 * dispatched, the claiming daemon answers `notRun` for it and retries the
 * release until the store accepts it. Only if that daemon stops before the
 * store is available again do requests with the key get `unknown`, at most
 * until the claim expires.
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

/** Up to 64 concurrent writes; the store handles several hundred. */
const BUCKET_COUNT = 64;

const DIGEST_LENGTH = 22;

/** Attempts to replace the claim of an earlier request that did not run. */
const MAXIMUM_TAKEOVERS = 3;

/** Releases that are held for a retry while the store is unavailable. */
const MAXIMUM_UNRELEASED = 10_000;

/** Suggested retry delay when a claim could not be written. */
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

  /**
   * Creates the claim of a request without writing it. Returns undefined if
   * the request has no key.
   */
  claimFor(request: ServiceRequest): Claim | undefined {
    if (request.key === undefined) return undefined;
    return {
      customerId: request.customerId,
      key: request.key,
      requestId: request.requestId,
      daemonId: this.daemonId,
      contentDigest: contentDigest(request),
      // Counted from the deadline, so that the claim cannot expire while the
      // request may still be running.
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

  /** Removes the claim; `retryReleases` repeats this if the write fails. */
  async release(claim: Claim): Promise<void> {
    const result = await this.bucketOf(claim).submit({kind: 'release', claim});
    if (result.kind === 'done') this.unreleased.delete(claim);
    else this.retryLater(claim);
  }

  /** Retries failed releases of claims that have not expired. */
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
    if (!bucket) throw new Error('claim bucket index out of range');
    return bucket;
  }
}

/** Claims keyed, non-repeatable requests before they are dispatched. */
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
      const original = await this.originalOutcome(exchange, result.by);
      if (original.outcome !== 'notRun') return asDuplicate(exchange, original);
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
   * Waits for the claim until the deadline or until the caller disconnects. A
   * claim that was or may have been written later is released, because its
   * request is not dispatched.
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

  /** Gets the outcome of the request that holds the claim. */
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
    const response = await this.peers.claimOutcome(address, requestId);
    if (response.isErr) {
      return unknown(
        requestId,
        'duplicate',
        'the daemon that took it did not answer; send the same key again',
      );
    }
    if (response.value.requestId === requestId) return response.value;
    return unknown(requestId, 'malformed-answer', 'the outcome is of another');
  }
}

/** Resolves with undefined at the deadline or when the caller disconnects. */
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

/** The outcome of the earlier request with the same key, under the new id. */
function asDuplicate(exchange: Exchange, original: Outcome): Outcome {
  const {requestId} = exchange;
  if (original.outcome !== 'unknown') return {...original, requestId};
  return unknown(
    requestId,
    original.reason,
    `request ${original.requestId} has the same key: ${original.message}`,
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
