/**
 * Reads the job records of one zone and watches them for jobs and changes made
 * by other daemons.
 */

import {Backoff} from '../lifecycle/backoff.js';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {RandomSource} from '../lifecycle/random.js';
import type {AvailabilityZone} from '../model/ids.js';
import type {JobRecord} from '../model/jobs.js';
import type {KeyValueStore} from '../interfaces/key_value_store.js';
import type {JobStore} from './job_store.js';
import {jobPrefix} from './job_store.js';
import type {ZoneControllerOptions} from './zone_options.js';

export interface RecordWatcherDependencies {
  readonly zone: AvailabilityZone;
  readonly store: KeyValueStore;
  readonly jobStore: JobStore;
  readonly random: RandomSource;
  readonly options: ZoneControllerOptions;
  readonly scope: CleanupScope;
}

export interface RecordWatcherListener {
  handleRecord(record: JobRecord): void;
  /** A read of all records succeeded or failed. */
  readAttempted(): void;
}

export class RecordWatcher {
  private readonly backoff: Backoff;
  private revision: number | undefined;
  private readAttempted = false;
  private readSucceeded = false;

  constructor(
    private readonly dependencies: RecordWatcherDependencies,
    private readonly listener: RecordWatcherListener,
  ) {
    const {initialRetryDelayMs, maximumRetryDelayMs} = dependencies.options;
    this.backoff = new Backoff(
      dependencies.random,
      initialRetryDelayMs,
      maximumRetryDelayMs,
    );
  }

  /** True once a read of all records has succeeded or failed. */
  get hasAttemptedRead(): boolean {
    return this.readAttempted;
  }

  /** True once all records have been read. */
  get hasRead(): boolean {
    return this.readSucceeded;
  }

  /** Watches until the scope closes. */
  async run(): Promise<void> {
    while (!this.dependencies.scope.closed) {
      const succeeded =
        this.revision === undefined
          ? await this.readAll()
          : await this.watch(this.revision);
      if (succeeded) this.backoff.reset();
      else await this.dependencies.scope.sleep(this.backoff.nextWaitMs());
    }
  }

  private async readAll(): Promise<boolean> {
    const result = await this.dependencies.jobStore.readAll();
    if (this.dependencies.scope.closed) return false;
    this.readAttempted = true;
    if (result.isOk) {
      this.readSucceeded = true;
      this.revision = result.value.revision;
      for (const record of result.value.records) {
        this.listener.handleRecord(record);
      }
    }
    this.listener.readAttempted();
    return result.isOk;
  }

  private async watch(revision: number): Promise<boolean> {
    const {store, zone, options, scope} = this.dependencies;
    const result = await store.watch(
      jobPrefix(zone),
      revision,
      options.storeWatchWaitMs,
      scope.signal,
    );
    if (scope.closed || result.isErr) return false;
    const batch = result.value;
    this.revision = batch.compacted ? undefined : batch.revision;
    for (const entry of batch.changed) {
      const record = this.dependencies.jobStore.applyWatchedEntry(entry);
      if (record !== undefined) this.listener.handleRecord(record);
    }
    return true;
  }
}
