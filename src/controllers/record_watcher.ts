/**
 * Reads the job records of one zone and watches them for jobs and changes
 * that the scheduler has not heard of.
 */

import {Backoff} from '../lifecycle/backoff.js';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {RandomSource} from '../lifecycle/random.js';
import type {AvailabilityZone} from '../model/ids.js';
import type {JobRecord} from '../model/jobs.js';
import type {KeyValueStore} from '../parties/key_value_store.js';
import type {JobStore} from './job_store.js';
import {jobPrefix} from './job_store.js';
import type {ZoneControllerOptions} from './zone_options.js';

export interface RecordWatcherParts {
  readonly zone: AvailabilityZone;
  readonly store: KeyValueStore;
  readonly jobStore: JobStore;
  readonly random: RandomSource;
  readonly options: ZoneControllerOptions;
  readonly scope: CleanupScope;
}

export interface RecordWatcherListener {
  recordSeen(record: JobRecord): void;
  /** The store was read, or could not be read. */
  tried(): void;
}

export class RecordWatcher {
  private readonly backoff: Backoff;
  private revision: number | undefined;
  private triedOnce = false;
  private readOnce = false;

  constructor(
    private readonly parts: RecordWatcherParts,
    private readonly listener: RecordWatcherListener,
  ) {
    const {firstRetryMs, longestRetryMs} = parts.options;
    this.backoff = new Backoff(parts.random, firstRetryMs, longestRetryMs);
  }

  /** True once the store was read or could not be read. */
  get hasTried(): boolean {
    return this.triedOnce;
  }

  /** True once all records were read. */
  get hasRead(): boolean {
    return this.readOnce;
  }

  /** Watches until the scope closes. */
  async run(): Promise<void> {
    while (!this.parts.scope.closed) {
      const answered =
        this.revision === undefined
          ? await this.readAll()
          : await this.watch(this.revision);
      if (answered) this.backoff.reset();
      else await this.parts.scope.sleep(this.backoff.nextWaitMs());
    }
  }

  private async readAll(): Promise<boolean> {
    const result = await this.parts.jobStore.readAll();
    if (this.parts.scope.closed) return false;
    this.triedOnce = true;
    if (result.isOk) {
      this.readOnce = true;
      this.revision = result.value.revision;
      for (const record of result.value.records) {
        this.listener.recordSeen(record);
      }
    }
    this.listener.tried();
    return result.isOk;
  }

  private async watch(revision: number): Promise<boolean> {
    const {store, zone, options, scope} = this.parts;
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
      const record = this.parts.jobStore.seen(entry);
      if (record !== undefined) this.listener.recordSeen(record);
    }
    return true;
  }
}
