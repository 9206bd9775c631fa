/**
 * Maintains the configuration that this daemon applies. It watches the head in
 * the store and receives updates from peers. Only higher versions are accepted,
 * so that stale watch results after a pause of the process cannot revert it.
 */

import {Result} from 'true-myth';
import {Backoff} from '../lifecycle/backoff.js';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {Clock} from '../lifecycle/clock.js';
import type {RandomSource} from '../lifecycle/random.js';
import type {
  Configuration,
  ConfigurationChange,
  ConfigurationHead,
} from '../model/configuration.js';
import {EMPTY_CONFIGURATION, applyChange} from '../model/configuration.js';
import {ProtocolError, UnavailableError} from '../model/errors.js';
import type {ConfigurationUpdate} from '../interfaces/peer_client.js';
import type {KeyValueStore, StoreEntry} from '../interfaces/key_value_store.js';
import type {ConfigurationReadError} from './configuration_store.js';
import {
  ConfigurationStore,
  HEAD_KEY,
  decodeHead,
} from './configuration_store.js';
import {ConfigurationWriter} from './configuration_writer.js';
import type {
  ConfigurationProposal,
  ConfigurationValidator,
  ConfigurationWriteError,
} from './configuration_writer.js';
import {Listeners} from './listeners.js';
import type {Listener, LogFunction} from './listeners.js';

const DEFAULT_WATCH_WAIT_MS = 30_000;
/** Added to the wait time of a watch before the call is aborted. */
const WATCH_MARGIN_MS = 5_000;
/**
 * Upper bound of the random pause after a watch without a change. The pause
 * spreads the watches of many daemons and bounds the call rate if the store
 * answers without waiting.
 */
const MAXIMUM_IDLE_PAUSE_MS = 100;
/** Changes kept in memory for peers with an older version. */
const MAXIMUM_RETAINED_CHANGES = 64;
/** Attempts to read a snapshot that may be replaced during the read. */
const MAXIMUM_SNAPSHOT_READS = 3;
/** Short, because a write conflict can be retried almost immediately. */
const INITIAL_WRITE_BACKOFF_MS = 20;
const MAXIMUM_WRITE_BACKOFF_MS = 2_000;

/** A change or a snapshot was applied. */
export interface ConfigurationApplied {
  readonly configuration: Configuration;
  /** The applied change; absent if a snapshot replaced the configuration. */
  readonly change?: ConfigurationChange;
}

export interface ConfigurationControllerOptions {
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly scope: CleanupScope;
  readonly log: LogFunction;
  /** Checks the guarantees of a proposed configuration before the write. */
  readonly validator?: ConfigurationValidator;
  readonly watchWaitMs?: number;
  /** Changes that stay in the audit trail; see `RETAINED_AUDIT_VERSIONS`. */
  readonly retainedAuditVersions?: number;
}

export class ConfigurationController {
  private configuration = EMPTY_CONFIGURATION;
  /** Contiguous changes up to the current version. */
  private retainedChanges: ConfigurationChange[] = [];
  private readonly applied = new Listeners<ConfigurationApplied>();
  /** Queued so that all listeners see events in the same order. */
  private readonly pendingEvents: ConfigurationApplied[] = [];
  private emitting = false;
  private readonly store: ConfigurationStore;
  private readonly writer: ConfigurationWriter;
  private loaded = false;
  private readonly loadedListeners = new Listeners<void>();

  constructor(private readonly options: ConfigurationControllerOptions) {
    this.store = new ConfigurationStore(options.store);
    this.writer = new ConfigurationWriter({
      store: this.store,
      clock: options.clock,
      scope: options.scope,
      newBackoff: () =>
        new Backoff(
          options.random,
          INITIAL_WRITE_BACKOFF_MS,
          MAXIMUM_WRITE_BACKOFF_MS,
        ),
      validator: options.validator,
      appliedConfiguration: () => this.configuration,
      onHead: (head) => this.applyHeadIfContiguous(head),
      ...(options.retainedAuditVersions === undefined
        ? {}
        : {retainedAuditVersions: options.retainedAuditVersions}),
    });
  }

  get current(): Configuration {
    return this.configuration;
  }

  get version(): number {
    return this.configuration.version;
  }

  /** Watches the store until the scope closes. */
  start(): void {
    void this.follow();
  }

  /** Calls the listener once per applied change or snapshot, in order. */
  onApplied(listener: Listener<ConfigurationApplied>): () => void {
    return this.applied.add(listener);
  }

  /**
   * Resolves once the store's head was read or a peer sent a configuration.
   * Until then `current` is empty, whatever the store holds.
   */
  async whenLoaded(): Promise<void> {
    if (this.loaded) return;
    await new Promise<void>((resolve) => this.loadedListeners.add(resolve));
  }

  /** Writes a change to the store and applies it locally. */
  propose(
    proposal: ConfigurationProposal,
  ): Promise<Result<ConfigurationChange, ConfigurationWriteError>> {
    return this.writer.propose(proposal);
  }

  /** Returns the changes after `version`, or a snapshot if too old. */
  configurationSince(version: number): ConfigurationUpdate {
    if (version >= this.version) return {kind: 'changes', changes: []};
    const oldest = this.retainedChanges[0]?.version;
    if (oldest === undefined || oldest > version + 1) {
      return {kind: 'snapshot', configuration: this.configuration};
    }
    const changes = this.retainedChanges.filter((c) => c.version > version);
    return {kind: 'changes', changes};
  }

  /**
   * Applies an update from a peer and returns the current version. Versions
   * that are not newer are ignored; changes with a gap are rejected entirely.
   */
  receive(update: ConfigurationUpdate): Result<number, ProtocolError> {
    if (update.kind === 'snapshot') {
      this.replace(update.configuration);
      return Result.ok(this.version);
    }
    const changes = update.changes.filter((c) => c.version > this.version);
    const complete = changes.every(
      (change, i) => change.version === this.version + 1 + i,
    );
    if (!complete) {
      return Result.err(
        new ProtocolError(
          `changes from a peer do not follow on version ${this.version}`,
          'request the changes after the current version from the peer',
        ),
      );
    }
    this.apply(changes);
    return Result.ok(this.version);
  }

  private async follow(): Promise<void> {
    const {scope, random, log} = this.options;
    const backoff = new Backoff(random);
    let revision: number | undefined;
    while (!scope.closed) {
      const result: Result<number | undefined, ConfigurationReadError> =
        revision === undefined
          ? await this.readCurrent()
          : await this.watchOnce(revision);
      if (scope.closed) return;
      if (result.isOk) {
        revision = result.value;
        backoff.reset();
        continue;
      }
      log(`[configuration] cannot follow the store: ${result.error.message}`);
      if (result.error.kind === 'protocol') revision = undefined;
      await scope.sleep(backoff.nextWaitMs());
    }
  }

  /** Reads the head and, if needed, the snapshot; returns the revision. */
  private async readCurrent(): Promise<Result<number, ConfigurationReadError>> {
    const listing = await this.options.store.list(HEAD_KEY);
    if (listing.isErr) return Result.err(listing.error);
    const entry = listing.value.entries.find(({key}) => key === HEAD_KEY);
    if (entry) {
      const accepted = await this.acceptEntry(entry);
      if (accepted.isErr) return Result.err(accepted.error);
    }
    this.markLoaded();
    return Result.ok(listing.value.revision);
  }

  /** Returns the next revision, or undefined if the head must be re-read. */
  private async watchOnce(
    revision: number,
  ): Promise<Result<number | undefined, ConfigurationReadError>> {
    const waitMs = this.options.watchWaitMs ?? DEFAULT_WATCH_WAIT_MS;
    const batch = await this.options.store.watch(
      HEAD_KEY,
      revision,
      waitMs,
      AbortSignal.any([
        this.options.scope.signal,
        AbortSignal.timeout(waitMs + WATCH_MARGIN_MS),
      ]),
    );
    if (batch.isErr) return Result.err(batch.error);
    // A lower revision means that the store was restored from a backup, so that
    // the revision of this watch is no longer meaningful.
    if (batch.value.compacted || batch.value.revision < revision) {
      return Result.ok(undefined);
    }
    const entry = batch.value.changed.find(({key}) => key === HEAD_KEY);
    if (!entry) {
      await this.options.scope.sleep(
        this.options.random.next() * MAXIMUM_IDLE_PAUSE_MS,
      );
      return Result.ok(batch.value.revision);
    }
    const accepted = await this.acceptEntry(entry);
    return accepted.map(() => batch.value.revision);
  }

  private async acceptEntry(
    entry: StoreEntry,
  ): Promise<Result<void, ConfigurationReadError>> {
    const stored = decodeHead(entry);
    if (stored.isErr) return Result.err(stored.error);
    return this.acceptHead(stored.value.head);
  }

  /** Applies a head; reads the snapshot if earlier changes are missing. */
  private async acceptHead(
    firstHead: ConfigurationHead,
  ): Promise<Result<void, ConfigurationReadError>> {
    let head = firstHead;
    for (let read = 0; read < MAXIMUM_SNAPSHOT_READS; read += 1) {
      if (this.applyHeadIfContiguous(head)) return Result.ok(undefined);
      const snapshot = await this.store.readSnapshot(head.snapshotVersion);
      if (snapshot.isErr) return Result.err(snapshot.error);
      if (snapshot.value) {
        this.replace(snapshot.value);
        this.applyHeadIfContiguous(head);
        return Result.ok(undefined);
      }
      const stored = await this.store.readHead();
      if (stored.isErr) return Result.err(stored.error);
      head = stored.value.head;
    }
    return Result.err(
      new UnavailableError(
        `configuration snapshot ${head.snapshotVersion} is not in the store`,
        'restore the snapshot from a backup if this error persists',
      ),
    );
  }

  /** Returns false if changes that precede those of the head are missing. */
  private applyHeadIfContiguous(head: ConfigurationHead): boolean {
    if (head.snapshotVersion > this.version) return false;
    this.apply(head.recentChanges.filter((c) => c.version > this.version));
    return true;
  }

  private apply(changes: readonly ConfigurationChange[]): void {
    for (const change of changes) {
      // A listener may have applied a newer version in the meantime.
      if (change.version !== this.version + 1) continue;
      this.configuration = applyChange(this.configuration, change);
      this.retainedChanges.push(change);
      if (this.retainedChanges.length > MAXIMUM_RETAINED_CHANGES) {
        this.retainedChanges.shift();
      }
      this.notifyListeners({configuration: this.configuration, change});
    }
  }

  private replace(configuration: Configuration): void {
    if (configuration.version <= this.version) return;
    this.configuration = configuration;
    this.retainedChanges = [];
    this.notifyListeners({configuration});
  }

  private notifyListeners(event: ConfigurationApplied): void {
    const {version} = event.configuration;
    this.options.log(`[configuration] applied version ${version}`);
    this.markLoaded();
    this.pendingEvents.push(event);
    if (this.emitting) return;
    this.emitting = true;
    try {
      let next: ConfigurationApplied | undefined;
      while ((next = this.pendingEvents.shift())) this.applied.emit(next);
    } finally {
      this.emitting = false;
    }
  }

  private markLoaded(): void {
    if (this.loaded) return;
    this.loaded = true;
    this.loadedListeners.emit();
  }
}
