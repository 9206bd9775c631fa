/**
 * One bucket of claims in the store. Pending changes are batched into a single
 * compare-and-swap, and at most one write per bucket is in flight, so that the
 * write rate does not grow with the request rate.
 */

import {Result} from 'true-myth';
import {z} from 'zod';
import type {Clock} from '../lifecycle/clock.js';
import {
  callerKeySchema,
  customerIdSchema,
  daemonIdSchema,
  instantSchema,
  requestIdSchema,
} from '../model/ids.js';
import type {Instant, RequestId} from '../model/ids.js';
import {validateJson} from '../model/validation.js';
import {
  ABSENT_REVISION,
  MAXIMUM_VALUE_BYTES,
} from '../interfaces/key_value_store.js';
import type {ClaimStore} from './directory.js';

/** Keeps 64 KiB below the store's value limit for the enclosing JSON. */
export const MAXIMUM_BUCKET_BYTES = MAXIMUM_VALUE_BYTES - 65_536;

/** Bounds the size of one batch and the number of changes held in memory. */
const MAXIMUM_WAITING_CHANGES = 2_000;

/** Attempts to write one batch while other daemons write the same bucket. */
const MAXIMUM_WRITE_ATTEMPTS = 12;

const DIGEST_LENGTH = 22;

/** A tuple is shorter than an object; every write repeats all claims. */
const claimTupleSchema = z.tuple([
  customerIdSchema,
  callerKeySchema,
  requestIdSchema,
  daemonIdSchema,
  z.string().length(DIGEST_LENGTH),
  instantSchema,
]);
const bucketSchema = z.object({claims: z.array(claimTupleSchema)});
type ClaimTuple = z.infer<typeof claimTupleSchema>;

/** Records which daemon accepted a keyed request that is not repeatable. */
export interface Claim {
  readonly customerId: ClaimTuple[0];
  readonly key: ClaimTuple[1];
  readonly requestId: ClaimTuple[2];
  /** The daemon that accepted the request. */
  readonly daemonId: ClaimTuple[3];
  /** First 22 characters of the base64url SHA-256 of class and payload. */
  readonly contentDigest: string;
  readonly expiresAt: Instant;
}

export type ClaimChange =
  | {
      readonly kind: 'claim';
      readonly claim: Claim;
      /** Request whose claim is replaced because it is known not to have run. */
      readonly replaces?: RequestId | undefined;
    }
  /** Removes the claim if it still belongs to this request. */
  | {readonly kind: 'release'; readonly claim: Claim};

export type ClaimResult =
  /** The change is in the store. */
  | {readonly kind: 'done'}
  | {readonly kind: 'taken'; readonly by: Claim}
  | {readonly kind: 'full'; readonly retryAfterMs: number}
  | {
      readonly kind: 'unavailable';
      readonly message: string;
      /** True if the change may have been written or may still be. */
      readonly uncertain: boolean;
    };

interface WaitingChange {
  readonly change: ClaimChange;
  readonly settle: (result: ClaimResult) => void;
}

/** A claim with its serialized form, which every write of the bucket reuses. */
interface StoredClaim {
  readonly claim: Claim;
  readonly json: string;
}

type StoredClaims = ReadonlyMap<string, StoredClaim>;

interface BucketState {
  readonly revision: number;
  readonly claims: StoredClaims;
}

interface AppliedChanges {
  readonly claims: StoredClaims;
  readonly results: readonly ClaimResult[];
  readonly changed: boolean;
}

export class ClaimBucket {
  private waiting: WaitingChange[] = [];
  private writing = false;
  /** The bucket as this daemon last wrote or read it. */
  private cached: BucketState | undefined;

  constructor(
    private readonly storeKey: string,
    private readonly store: ClaimStore,
    private readonly clock: Clock,
  ) {}

  submit(change: ClaimChange): Promise<ClaimResult> {
    if (this.waiting.length >= MAXIMUM_WAITING_CHANGES) {
      return Promise.resolve(
        unavailable('too many claims wait for the store', false),
      );
    }
    return new Promise((settle) => {
      this.waiting.push({change, settle});
      if (!this.writing) void this.flush();
    });
  }

  private async flush(): Promise<void> {
    this.writing = true;
    while (this.waiting.length > 0) {
      const batch = this.waiting;
      this.waiting = [];
      const results = await this.writeCatchingErrors(
        batch.map((b) => b.change),
      );
      batch.forEach((entry, index) => {
        entry.settle(results[index] ?? unavailable('no result', true));
      });
    }
    this.writing = false;
  }

  /** An exception in the store client must not block the bucket for good. */
  private async writeCatchingErrors(
    changes: readonly ClaimChange[],
  ): Promise<readonly ClaimResult[]> {
    try {
      return await this.write(changes);
    } catch (error) {
      this.cached = undefined;
      const detail = error instanceof Error ? error.message : String(error);
      return changes.map(() => unavailable(detail, true));
    }
  }

  /** Returns one result for each change. */
  private async write(
    changes: readonly ClaimChange[],
  ): Promise<readonly ClaimResult[]> {
    let uncertain = false;
    const failAll = (message: string) =>
      changes.map(() => unavailable(message, uncertain));
    for (let attempt = 0; attempt < MAXIMUM_WRITE_ATTEMPTS; attempt += 1) {
      const fromCache = this.cached !== undefined;
      const state = this.cached ?? (await this.read());
      if (typeof state === 'string') return failAll(state);
      const applied = applyChanges(state, changes, this.clock.now());
      if (fromCache && applied.results.some((r) => r.kind === 'taken')) {
        // The cache may be stale: the claim may have been released since.
        this.cached = undefined;
        continue;
      }
      if (!applied.changed) return applied.results;
      const written = await this.store.put(
        this.storeKey,
        serialize(applied.claims),
        state.revision,
      );
      if (written.isOk) {
        this.cached = {revision: written.value, claims: applied.claims};
        return applied.results;
      }
      this.cached = undefined;
      if (written.error.kind === 'unknown-effect') {
        // Read the bucket again. If its revision is unchanged, the repeated
        // write also keeps the unconfirmed one from taking effect later.
        uncertain = true;
      } else if (written.error.kind !== 'conflict') {
        return failAll(written.error.message);
      }
    }
    return failAll('other daemons kept changing the claims');
  }

  /** Returns the state, or an error message if the bucket cannot be read. */
  private async read(): Promise<BucketState | string> {
    const read = await this.store.get(this.storeKey);
    if (read.isErr) return read.error.message;
    const entry = read.value;
    if (!entry) return {revision: ABSENT_REVISION, claims: new Map()};
    const parsed = parseBucket(entry.value, this.storeKey);
    if (parsed.isErr) return parsed.error;
    const state = {revision: entry.revision, claims: parsed.value};
    this.cached = state;
    return state;
  }
}

function parseBucket(
  value: string,
  storeKey: string,
): Result<StoredClaims, string> {
  const parsed = validateJson(bucketSchema, value, storeKey);
  if (parsed.isErr) return Result.err(parsed.error.message);
  const claims = parsed.value.claims.map(fromTuple);
  return Result.ok(
    new Map(claims.map((claim) => [claimMapKey(claim), toStoredClaim(claim)])),
  );
}

function applyChanges(
  state: BucketState,
  changes: readonly ClaimChange[],
  now: Instant,
): AppliedChanges {
  const claims = new Map<string, StoredClaim>();
  const size = {bytes: 0};
  for (const [name, entry] of state.claims) {
    if (entry.claim.expiresAt <= now) continue;
    claims.set(name, entry);
    size.bytes += storedBytes(entry);
  }
  let changed = false;
  const results = changes.map((change): ClaimResult => {
    const result =
      change.kind === 'claim'
        ? applyClaim(claims, change, size, now)
        : applyRelease(claims, change.claim, size);
    // A release is always written. It advances the revision, so that an
    // unconfirmed earlier write of the claim fails if it arrives later.
    const wasWritten =
      change.kind === 'claim' && isClaimed(state.claims, change.claim);
    if (result.kind === 'done' && !wasWritten) changed = true;
    return result;
  });
  return {claims, results, changed};
}

function applyClaim(
  claims: Map<string, StoredClaim>,
  change: Extract<ClaimChange, {kind: 'claim'}>,
  size: {bytes: number},
  now: Instant,
): ClaimResult {
  const {claim, replaces} = change;
  const existing = claims.get(claimMapKey(claim));
  if (existing?.claim.requestId === claim.requestId) return {kind: 'done'};
  if (existing && existing.claim.requestId !== replaces) {
    return {kind: 'taken', by: existing.claim};
  }
  const added = toStoredClaim(claim);
  const growth = storedBytes(added) - (existing ? storedBytes(existing) : 0);
  if (size.bytes + growth > MAXIMUM_BUCKET_BYTES) {
    return {kind: 'full', retryAfterMs: nextExpiryMs(claims, now)};
  }
  size.bytes += growth;
  claims.set(claimMapKey(claim), added);
  return {kind: 'done'};
}

function applyRelease(
  claims: Map<string, StoredClaim>,
  claim: Claim,
  size: {bytes: number},
): ClaimResult {
  const existing = claims.get(claimMapKey(claim));
  if (existing?.claim.requestId === claim.requestId) {
    claims.delete(claimMapKey(claim));
    size.bytes -= storedBytes(existing);
  }
  return {kind: 'done'};
}

function isClaimed(claims: StoredClaims, claim: Claim): boolean {
  return claims.get(claimMapKey(claim))?.claim.requestId === claim.requestId;
}

function nextExpiryMs(claims: StoredClaims, now: Instant): number {
  let earliest = Infinity;
  for (const {claim} of claims.values()) {
    earliest = Math.min(earliest, claim.expiresAt);
  }
  return Math.max(0, earliest - now);
}

/** Unique, because ids contain no slash. */
function claimMapKey(claim: Claim): string {
  return `${claim.customerId}/${claim.key}`;
}

function serialize(claims: StoredClaims): string {
  const texts = Array.from(claims.values(), (entry) => entry.json);
  return `{"claims":[${texts.join(',')}]}`;
}

/** Ids and digests are ASCII, so length is in bytes; 1 is for the comma. */
function storedBytes(entry: StoredClaim): number {
  return entry.json.length + 1;
}

function toStoredClaim(claim: Claim): StoredClaim {
  const tuple: ClaimTuple = [
    claim.customerId,
    claim.key,
    claim.requestId,
    claim.daemonId,
    claim.contentDigest,
    claim.expiresAt,
  ];
  return {claim, json: JSON.stringify(tuple)};
}

function fromTuple(tuple: ClaimTuple): Claim {
  const [customerId, key, requestId, daemonId, contentDigest, expiresAt] =
    tuple;
  return {customerId, key, requestId, daemonId, contentDigest, expiresAt};
}

function unavailable(message: string, uncertain: boolean): ClaimResult {
  return {kind: 'unavailable', message, uncertain};
}
