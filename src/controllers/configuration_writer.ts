/**
 * Writes configuration changes. A single compare-and-swap on the head stores
 * the change, the version and the audit entry atomically. The snapshot and the
 * audit segment are written before changes are trimmed from the head, so that
 * a crash at any point loses no change.
 */

import PQueue from 'p-queue';
import {Result} from 'true-myth';
import type {Backoff} from '../lifecycle/backoff.js';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {Clock} from '../lifecycle/clock.js';
import type {
  Configuration,
  ConfigurationChange,
  ConfigurationEdit,
  ConfigurationHead,
} from '../model/configuration.js';
import {configurationEditSchema} from '../model/configuration.js';
import {
  ConflictError,
  InvalidInputError,
  RefusedError,
  UnavailableError,
  UnknownEffectError,
} from '../model/errors.js';
import type {ProtocolError} from '../model/errors.js';
import type {ChangeId} from '../model/ids.js';
import {validate} from '../model/validation.js';
import {MAXIMUM_VALUE_BYTES} from '../interfaces/key_value_store.js';
import type {
  ConfigurationStore,
  ConfigurationPutError,
  ConfigurationReadError,
  StoredHead,
} from './configuration_store.js';
import {
  CHANGES_PER_SEGMENT,
  MAXIMUM_CHANGE_BYTES,
  MAXIMUM_RECENT_CHANGES,
  ValueTooLargeError,
  applyChanges,
  segmentStart,
} from './configuration_store.js';

/** Failed store calls before a proposal is given up. */
const MAXIMUM_STORE_FAILURES = 6;
/** High, because each conflict means that another writer made progress. */
const MAXIMUM_WRITE_CONFLICTS = 64;
/**
 * Bounds the age of a proposal's base version by the audit segments that the
 * conflict check reads: about two hours at 5,800 changes a day.
 */
const MAXIMUM_SEGMENTS_READ = 64;

/**
 * Changes that the audit segments in the store cover, in addition to the head:
 * nearly three days at 5,800 changes a day, about 16 MB.
 */
export const RETAINED_AUDIT_VERSIONS = 16_384;

/** A configuration change requested by an operator. */
export interface ConfigurationProposal {
  /** Idempotency key: a proposal is accepted at most once per id. */
  readonly id: ChangeId;
  readonly author: string;
  /** Version on which the author based the edit. */
  readonly baseVersion: number;
  readonly edit: ConfigurationEdit;
}

/**
 * `UnknownEffectError`: the change may have been accepted; retry the proposal
 * with the same change id.
 */
export type ConfigurationWriteError =
  | InvalidInputError
  | ConflictError
  | RefusedError
  | UnavailableError
  | UnknownEffectError
  | ProtocolError;

/** Checks the configuration that would result from a change. */
export type ConfigurationValidator = (
  proposed: Configuration,
  current: Configuration,
) => Result<void, InvalidInputError | RefusedError>;

export interface ConfigurationWriterOptions {
  readonly store: ConfigurationStore;
  readonly clock: Clock;
  readonly scope: CleanupScope;
  readonly newBackoff: () => Backoff;
  readonly validator?: ConfigurationValidator | undefined;
  /** The configuration that this daemon currently applies. */
  readonly appliedConfiguration: () => Configuration;
  /** Called with each head that was read or written. */
  readonly onHead: (head: ConfigurationHead) => void;
  /** Multiple of `CHANGES_PER_SEGMENT`; default `RETAINED_AUDIT_VERSIONS`. */
  readonly retainedAuditVersions?: number;
}

/** Outcome of one attempt; after `again`, the head is read anew. */
type Attempt =
  | {readonly kind: 'accepted'; readonly change: ConfigurationChange}
  | {
      readonly kind: 'refused';
      readonly error: ConfigurationWriteError;
      /** Revision of the head on which the refusal is based, if it was read. */
      readonly readRevision?: number;
    }
  | {
      readonly kind: 'again';
      readonly cause: ConfigurationPutError;
      /** Expected revision of a write whose answer was lost. */
      readonly unacknowledgedRevision?: number;
    };

export class ConfigurationWriter {
  /** Serialises writes, so that a daemon does not conflict with itself. */
  private readonly queue = new PQueue({concurrency: 1});

  constructor(private readonly options: ConfigurationWriterOptions) {}

  /** Writes the change and returns it with its version. */
  async propose(
    proposal: ConfigurationProposal,
  ): Promise<Result<ConfigurationChange, ConfigurationWriteError>> {
    const problem = checkProposal(proposal);
    if (problem) return Result.err(problem);
    return this.queue.add(() => this.write(proposal));
  }

  private async write(
    proposal: ConfigurationProposal,
  ): Promise<Result<ConfigurationChange, ConfigurationWriteError>> {
    const backoff = this.options.newBackoff();
    let failures = 0;
    let conflicts = 0;
    let unacknowledgedRevision: number | undefined;
    for (;;) {
      const attempt = await this.attempt(proposal);
      if (attempt.kind === 'accepted') return Result.ok(attempt.change);
      if (attempt.kind === 'refused') {
        // A write whose answer was lost can still take effect while the head
        // is at its expected revision. Once the head has another revision, the
        // write can only fail, and the refusal is final.
        const final =
          unacknowledgedRevision === undefined ||
          (attempt.readRevision ?? unacknowledgedRevision) !==
            unacknowledgedRevision;
        return Result.err(
          final ? attempt.error : unknownOutcome(attempt.error.problem),
        );
      }
      unacknowledgedRevision =
        attempt.unacknowledgedRevision ?? unacknowledgedRevision;
      if (attempt.cause.kind === 'conflict') conflicts += 1;
      else failures += 1;
      if (
        failures >= MAXIMUM_STORE_FAILURES ||
        conflicts >= MAXIMUM_WRITE_CONFLICTS ||
        this.options.scope.closed
      ) {
        return Result.err(
          retriesExhausted(attempt.cause, unacknowledgedRevision !== undefined),
        );
      }
      await this.options.scope.sleep(backoff.nextWaitMs());
    }
  }

  private async attempt(proposal: ConfigurationProposal): Promise<Attempt> {
    const {store} = this.options;
    // Determined before the read: the store must not be behind this version.
    const appliedVersion = this.options.appliedConfiguration().version;
    const stored = await store.readHead();
    if (stored.isErr) return readFailed(stored.error);
    this.options.onHead(stored.value.head);
    const earlier = await this.changesAfter(
      stored.value.head,
      proposal.baseVersion,
    );
    const readRevision = stored.value.revision;
    if (earlier.isErr) {
      return earlier.error.kind === 'conflict'
        ? {kind: 'refused', error: earlier.error, readRevision}
        : readFailed(earlier.error);
    }
    const accepted = earlier.value.find(({id}) => id === proposal.id);
    if (accepted) return {kind: 'accepted', change: accepted};
    const conflict = this.findConflict(
      proposal,
      stored.value.head,
      earlier.value,
      appliedVersion,
    );
    if (conflict) return {kind: 'refused', error: conflict, readRevision};
    return this.writeChange(proposal, stored.value);
  }

  /** Returns the changes after `baseVersion`, from segments and the head. */
  private async changesAfter(
    head: ConfigurationHead,
    baseVersion: number,
  ): Promise<
    Result<
      readonly ConfigurationChange[],
      ConfigurationReadError | ConflictError
    >
  > {
    const changes: ConfigurationChange[] = [];
    const missing = head.snapshotVersion - baseVersion;
    if (missing > MAXIMUM_SEGMENTS_READ * CHANGES_PER_SEGMENT) {
      return Result.err(
        new ConflictError(
          `base version ${baseVersion} is ${missing} versions behind the latest snapshot`,
          'read the configuration and apply the change to its version',
        ),
      );
    }
    let from = segmentStart(baseVersion + 1);
    for (; from <= head.snapshotVersion; from += CHANGES_PER_SEGMENT) {
      const segment = await this.options.store.readSegment(from);
      if (segment.isErr) return Result.err(segment.error);
      changes.push(...segment.value);
    }
    changes.push(...head.recentChanges);
    return Result.ok(changes.filter(({version}) => version > baseVersion));
  }

  private findConflict(
    proposal: ConfigurationProposal,
    head: ConfigurationHead,
    earlier: readonly ConfigurationChange[],
    appliedVersion: number,
  ): ConflictError | RefusedError | undefined {
    if (head.version < appliedVersion) {
      return new RefusedError(
        `the store has version ${head.version}, but version ${appliedVersion} is already applied`,
        'restore the store to the applied version before changing the configuration',
      );
    }
    if (proposal.baseVersion > head.version) {
      return new ConflictError(
        `base version ${proposal.baseVersion} does not exist; the latest is ${head.version}`,
        'read the configuration and apply the change to its version',
      );
    }
    const subject = subjectOf(proposal.edit);
    const other = earlier.findLast(
      (change) => subjectOf(change.edit) === subject,
    );
    if (!other) return undefined;
    return new ConflictError(
      `${other.author} changed ${subject} in version ${other.version}, after base version ${proposal.baseVersion}`,
      'read the configuration and apply the change to its version',
    );
  }

  private async writeChange(
    proposal: ConfigurationProposal,
    stored: StoredHead,
  ): Promise<Attempt> {
    const current = await this.currentConfiguration(stored.head);
    if (current.isErr) return readFailed(current.error);
    const change: ConfigurationChange = {
      ...proposal,
      version: stored.head.version + 1,
      acceptedAt: this.options.clock.now(),
    };
    const refusal = this.check(current.value, change);
    if (refusal) {
      return {
        kind: 'refused',
        error: refusal,
        readRevision: stored.revision,
      };
    }
    const trimmed = await this.compactHead(stored.head);
    if (trimmed.isErr) return putFailed(trimmed.error);
    const head: ConfigurationHead = {
      version: change.version,
      snapshotVersion: trimmed.value.snapshotVersion,
      recentChanges: [...trimmed.value.recentChanges, change],
    };
    const written = await this.options.store.writeHead(head, stored.revision);
    if (written.isErr) return putFailed(written.error, stored.revision);
    this.options.onHead(head);
    await this.deleteOldValues(stored.head, trimmed.value);
    return {kind: 'accepted', change};
  }

  /** Uses the applied configuration if that avoids reading the snapshot. */
  private async currentConfiguration(
    head: ConfigurationHead,
  ): Promise<Result<Configuration, ConfigurationReadError>> {
    const applied = this.options.appliedConfiguration();
    if (applied.version >= head.snapshotVersion) {
      return Result.ok(applyChanges(applied, head.recentChanges));
    }
    const snapshot = await this.readSnapshot(head);
    return snapshot.map((base) => applyChanges(base, head.recentChanges));
  }

  private async readSnapshot(
    head: ConfigurationHead,
  ): Promise<Result<Configuration, ConfigurationReadError>> {
    const snapshot = await this.options.store.readSnapshot(
      head.snapshotVersion,
    );
    if (snapshot.isErr) return Result.err(snapshot.error);
    if (snapshot.value) return Result.ok(snapshot.value);
    return Result.err(
      new UnavailableError(
        `the snapshot of version ${head.snapshotVersion} was replaced while it was read`,
        'try again',
      ),
    );
  }

  private check(
    current: Configuration,
    change: ConfigurationChange,
  ): InvalidInputError | RefusedError | undefined {
    const changeBytes = Buffer.byteLength(JSON.stringify(change));
    if (changeBytes > MAXIMUM_CHANGE_BYTES) {
      return new ValueTooLargeError(
        'the change',
        changeBytes,
        MAXIMUM_CHANGE_BYTES,
      );
    }
    const proposed = applyChanges(current, [change]);
    // Checked with each change, so that no later snapshot exceeds the limit.
    const bytes = Buffer.byteLength(JSON.stringify(proposed));
    if (bytes > MAXIMUM_VALUE_BYTES) {
      return new ValueTooLargeError(
        'the configuration',
        bytes,
        MAXIMUM_VALUE_BYTES,
      );
    }
    const verdict = this.options.validator?.(proposed, current);
    return verdict?.isErr ? verdict.error : undefined;
  }

  /** Trims a full head after writing its snapshot and audit segment. */
  private async compactHead(
    head: ConfigurationHead,
  ): Promise<Result<ConfigurationHead, ConfigurationPutError>> {
    if (head.recentChanges.length < MAXIMUM_RECENT_CHANGES) {
      return Result.ok(head);
    }
    const oldest = head.recentChanges.slice(0, CHANGES_PER_SEGMENT);
    const base = await this.readSnapshot(head);
    if (base.isErr) return Result.err(base.error);
    const snapshot = applyChanges(base.value, oldest);
    const written = await this.options.store.writeSnapshot(snapshot);
    if (written.isErr) return Result.err(written.error);
    const audited = await this.options.store.writeSegment(oldest);
    if (audited.isErr) return Result.err(audited.error);
    return Result.ok({
      version: head.version,
      snapshotVersion: snapshot.version,
      recentChanges: head.recentChanges.slice(CHANGES_PER_SEGMENT),
    });
  }

  /**
   * Deletes the snapshot before the previous one and the oldest audit segment.
   * The previous snapshot is retained for readers that read the head before the
   * trim. A failed deletion is harmless: the value only takes up space.
   */
  private async deleteOldValues(
    before: ConfigurationHead,
    trimmed: ConfigurationHead,
  ): Promise<void> {
    const old = before.snapshotVersion - CHANGES_PER_SEGMENT;
    if (trimmed.snapshotVersion === before.snapshotVersion || old <= 0) return;
    await this.options.store.deleteSnapshot(old);
    const retained =
      this.options.retainedAuditVersions ?? RETAINED_AUDIT_VERSIONS;
    const expired = trimmed.snapshotVersion - retained;
    if (expired > 0) await this.options.store.deleteSegment(expired);
  }
}

/** Two edits conflict if they have the same subject. */
export function subjectOf(edit: ConfigurationEdit): string {
  switch (edit.kind) {
    case 'set-site':
      return 'the site';
    case 'set-power':
      return 'the power state';
    case 'set-customer':
      return `customer ${edit.customer.id}`;
    case 'remove-customer':
      return `customer ${edit.customerId}`;
  }
}

function checkProposal(
  proposal: ConfigurationProposal,
): InvalidInputError | undefined {
  const edit = validate(configurationEditSchema, proposal.edit, 'edit');
  if (edit.isErr) return edit.error;
  if (edit.value.kind !== 'set-customer') return undefined;
  const {customer, workClasses} = edit.value;
  const index = workClasses.findIndex(
    (workClass, i) =>
      workClass.customerId !== customer.id ||
      workClasses.findIndex(({id}) => id === workClass.id) !== i,
  );
  if (index < 0) return undefined;
  return new InvalidInputError(
    `edit.workClasses.${index}`,
    'is listed twice or names another customer',
    `list each class of customer ${customer.id} once`,
  );
}

function readFailed(error: ConfigurationReadError): Attempt {
  return error.kind === 'protocol'
    ? {kind: 'refused', error}
    : {kind: 'again', cause: error};
}

/** `headRevision`: expected revision if the failed write was of the head. */
function putFailed(
  error: ConfigurationPutError,
  headRevision?: number,
): Attempt {
  if (error.kind === 'protocol' || error instanceof ValueTooLargeError) {
    return {kind: 'refused', error};
  }
  return error.kind === 'unknown-effect' && headRevision !== undefined
    ? {kind: 'again', cause: error, unacknowledgedRevision: headRevision}
    : {kind: 'again', cause: error};
}

function retriesExhausted(
  cause: ConfigurationPutError,
  maybeWritten: boolean,
): ConfigurationWriteError {
  if (maybeWritten) return unknownOutcome(cause.problem);
  if (cause.kind === 'conflict') {
    return new UnavailableError(
      `the change conflicted with ${MAXIMUM_WRITE_CONFLICTS} concurrent changes`,
      'retry the change',
    );
  }
  return new UnavailableError(
    `the store did not accept the change: ${cause.problem}`,
    'retry the change when the store is available',
  );
}

function unknownOutcome(problem: string): UnknownEffectError {
  return new UnknownEffectError(
    `the change may have been written, but the store's answer was lost: ${problem}`,
    'retry the change with the same change id',
  );
}
