/**
 * Writes configuration changes. One compare-and-swap on the head writes the
 * change, the version and the audit entry together. Before the head's list is
 * trimmed, the snapshot and the audit segment of the trimmed changes are
 * written, so that a crash at any point loses no change.
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
import {MAXIMUM_VALUE_BYTES} from '../parties/key_value_store.js';
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

/** Failed calls to the store before the writer gives up. */
const MAXIMUM_STORE_FAILURES = 6;
/** Lost races; each one means that another writer made progress. */
const MAXIMUM_WRITE_CONFLICTS = 64;
/**
 * Oldest base version that is still checked, in audit segments that the check
 * reads. 64 segments are about two hours at 5,800 changes a day.
 */
const MAXIMUM_SEGMENTS_READ = 64;

/**
 * Changes of the audit trail that stay in the store, apart from those in the
 * head: nearly three days at 5,800 changes a day, about 16 MB.
 */
export const RETAINED_AUDIT_VERSIONS = 16_384;

/** A change that an operator asks for. */
export interface ConfigurationProposal {
  /** A proposal that is sent again with the same id is accepted once. */
  readonly id: ChangeId;
  readonly author: string;
  /** The version that the author had seen. */
  readonly baseVersion: number;
  readonly edit: ConfigurationEdit;
}

/**
 * `UnknownEffectError`: the change may have been accepted; send the proposal
 * again with the same change id.
 */
export type ConfigurationWriteError =
  | InvalidInputError
  | ConflictError
  | RefusedError
  | UnavailableError
  | UnknownEffectError
  | ProtocolError;

/** Checks the configuration that a change would give. */
export type ConfigurationValidator = (
  wouldBe: Configuration,
  current: Configuration,
) => Result<void, InvalidInputError | RefusedError>;

export interface ConfigurationWriterOptions {
  readonly store: ConfigurationStore;
  readonly clock: Clock;
  readonly scope: CleanupScope;
  readonly newBackoff: () => Backoff;
  readonly validator?: ConfigurationValidator | undefined;
  /** The configuration in force in this daemon. */
  readonly appliedConfiguration: () => Configuration;
  /** Receives each head that was read or written. */
  readonly onHead: (head: ConfigurationHead) => void;
  /** A multiple of the changes in a segment; a constant if absent. */
  readonly retainedAuditVersions?: number;
}

/** What one try came to; `again` means to read the head and try again. */
type Attempt =
  | {readonly kind: 'accepted'; readonly change: ConfigurationChange}
  | {
      readonly kind: 'refused';
      readonly error: ConfigurationWriteError;
      /** Revision of the head that the refusal is based on, if it was read. */
      readonly readRevision?: number;
    }
  | {
      readonly kind: 'again';
      readonly cause: ConfigurationPutError;
      /** Revision that a write named whose answer was lost. */
      readonly unacknowledgedRevision?: number;
    };

export class ConfigurationWriter {
  /** One change at a time, so that a daemon does not race with itself. */
  private readonly queue = new PQueue({concurrency: 1});

  constructor(private readonly options: ConfigurationWriterOptions) {}

  /** Writes the change and returns it as accepted. */
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
    let lostRaces = 0;
    let lostRevision: number | undefined;
    for (;;) {
      const attempt = await this.attempt(proposal);
      if (attempt.kind === 'accepted') return Result.ok(attempt.change);
      if (attempt.kind === 'refused') {
        // A write whose answer was lost can still arrive as long as the head
        // is at the revision that it names. Once the head has moved on, it
        // can only fail, and the refusal is certain.
        const certain =
          lostRevision === undefined ||
          (attempt.readRevision ?? lostRevision) !== lostRevision;
        return Result.err(
          certain ? attempt.error : unknownOutcome(attempt.error.problem),
        );
      }
      lostRevision = attempt.unacknowledgedRevision ?? lostRevision;
      if (attempt.cause.kind === 'conflict') lostRaces += 1;
      else failures += 1;
      if (
        failures >= MAXIMUM_STORE_FAILURES ||
        lostRaces >= MAXIMUM_WRITE_CONFLICTS ||
        this.options.scope.closed
      ) {
        return Result.err(
          retriesExhausted(attempt.cause, lostRevision !== undefined),
        );
      }
      await this.options.scope.sleep(backoff.nextWaitMs());
    }
  }

  private async attempt(proposal: ConfigurationProposal): Promise<Attempt> {
    const {store} = this.options;
    // Taken before the read: the store can never be behind this version.
    const knownVersion = this.options.appliedConfiguration().version;
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
      knownVersion,
    );
    if (conflict) return {kind: 'refused', error: conflict, readRevision};
    return this.writeChange(proposal, stored.value);
  }

  /** Returns the changes after `baseVersion`, also those that left the head. */
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
          `base version ${baseVersion} is ${missing} versions old`,
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
    knownVersion: number,
  ): ConflictError | RefusedError | undefined {
    if (head.version < knownVersion) {
      return new RefusedError(
        `the store has version ${head.version}, but version ${knownVersion} is in force`,
        'restore the store to the version in force before changing it',
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

  /** Uses the configuration in force where it spares reading the snapshot. */
  private async currentConfiguration(
    head: ConfigurationHead,
  ): Promise<Result<Configuration, ConfigurationReadError>> {
    const known = this.options.appliedConfiguration();
    if (known.version >= head.snapshotVersion) {
      return Result.ok(applyChanges(known, head.recentChanges));
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
    const wouldBe = applyChanges(current, [change]);
    // Checked with each change, so that a later trim cannot fail on it.
    const bytes = Buffer.byteLength(JSON.stringify(wouldBe));
    if (bytes > MAXIMUM_VALUE_BYTES) {
      return new ValueTooLargeError(
        'the configuration',
        bytes,
        MAXIMUM_VALUE_BYTES,
      );
    }
    const verdict = this.options.validator?.(wouldBe, current);
    return verdict?.isErr ? verdict.error : undefined;
  }

  /** Writes snapshot and audit segment if the list of changes is full. */
  private async compactHead(
    head: ConfigurationHead,
  ): Promise<Result<ConfigurationHead, ConfigurationPutError>> {
    if (head.recentChanges.length < MAXIMUM_RECENT_CHANGES) {
      return Result.ok(head);
    }
    const leaving = head.recentChanges.slice(0, CHANGES_PER_SEGMENT);
    const base = await this.readSnapshot(head);
    if (base.isErr) return Result.err(base.error);
    const snapshot = applyChanges(base.value, leaving);
    const written = await this.options.store.writeSnapshot(snapshot);
    if (written.isErr) return Result.err(written.error);
    const audited = await this.options.store.writeSegment(leaving);
    if (audited.isErr) return Result.err(audited.error);
    return Result.ok({
      version: head.version,
      snapshotVersion: snapshot.version,
      recentChanges: head.recentChanges.slice(CHANGES_PER_SEGMENT),
    });
  }

  /**
   * Deletes the snapshot before the previous one, and the oldest audit
   * segment. The previous snapshot stays for readers that read the head before
   * the trim. A failure leaves a value behind, which only takes space.
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
    const unneeded = trimmed.snapshotVersion - retained;
    if (unneeded > 0) await this.options.store.deleteSegment(unneeded);
  }
}

/** What two edits have to share in order to be in conflict. */
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

/** `headRevision` is given for a write of the head. */
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
      `${MAXIMUM_WRITE_CONFLICTS} other changes were written first`,
      'send the change again',
    );
  }
  return new UnavailableError(
    `the store did not take the change: ${cause.problem}`,
    'send the change again when the store is available',
  );
}

function unknownOutcome(problem: string): UnknownEffectError {
  return new UnknownEffectError(
    `the store's answer to the change was lost: ${problem}`,
    'send the change again with the same change id',
  );
}
