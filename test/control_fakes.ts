/**
 * Test doubles for the controllers: an in-memory store with fault injection, a
 * manual clock and a fixed random source, and builders of test data.
 */

import {Result} from 'true-myth';
import {Clock} from '../src/lifecycle/clock.js';
import {RandomSource} from '../src/lifecycle/random.js';
import {ConfigurationController} from '../src/controllers/configuration_controller.js';
import type {ConfigurationControllerOptions} from '../src/controllers/configuration_controller.js';
import type {ConfigurationProposal} from '../src/controllers/configuration_writer.js';
import type {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import type {ConfigurationEdit} from '../src/model/configuration.js';
import {
  ConflictError,
  UnavailableError,
  UnknownEffectError,
} from '../src/model/errors.js';
import {instant, trustedId} from '../src/model/ids.js';
import type {CustomerId} from '../src/model/ids.js';
import {KeyValueStore} from '../src/interfaces/key_value_store.js';
import type {
  StoreEntry,
  StoreReadError,
  StoreWatchBatch,
  StoreWriteError,
} from '../src/interfaces/key_value_store.js';

/**
 * `lost-write`: the write does not happen and its answer is lost;
 * `lost-answer`: the write happens and its answer is lost.
 */
export type StoreFault = 'none' | 'down' | 'lost-write' | 'lost-answer';

export class MemoryStore extends KeyValueStore {
  readonly entries = new Map<string, StoreEntry>();
  private readonly waitingWatches = new Set<() => void>();
  private revision = 0;
  /** Decides the fault of each operation. */
  fault: (operation: string, key: string) => StoreFault = () => 'none';
  /** Awaited before each operation, to simulate a slow store. */
  delay: (operation: string, key: string) => Promise<void> = async () => {};
  onWrite: (entry: StoreEntry) => void = () => {};

  override async get(
    key: string,
  ): Promise<Result<StoreEntry | undefined, StoreReadError>> {
    await this.delay('get', key);
    if (this.fault('get', key) !== 'none') return Result.err(storeDown());
    return Result.ok(this.entries.get(key));
  }

  override async list(
    prefix: string,
  ): Promise<
    Result<
      {readonly revision: number; readonly entries: readonly StoreEntry[]},
      StoreReadError
    >
  > {
    await this.delay('list', prefix);
    if (this.fault('list', prefix) !== 'none') return Result.err(storeDown());
    return Result.ok({
      revision: this.revision,
      entries: this.entriesUnder(prefix),
    });
  }

  override async put(
    key: string,
    value: string,
    expectedRevision: number,
  ): Promise<Result<number, StoreWriteError>> {
    await this.delay('put', key);
    const fault = this.fault('put', key);
    if (fault === 'down') return Result.err(storeDown());
    if (fault === 'lost-write') return Result.err(answerLost());
    const written = this.write(key, value, expectedRevision);
    return fault === 'lost-answer' ? Result.err(answerLost()) : written;
  }

  override async delete(
    key: string,
    expectedRevision: number,
  ): Promise<Result<void, StoreWriteError>> {
    await this.delay('delete', key);
    if (this.fault('delete', key) !== 'none') return Result.err(storeDown());
    if (this.entries.get(key)?.revision === expectedRevision) {
      this.entries.delete(key);
    }
    return Result.ok(undefined);
  }

  override async watch(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<StoreWatchBatch, StoreReadError>> {
    await this.delay('watch', prefix);
    const changed = () =>
      this.entriesUnder(prefix).filter(
        ({revision}) => revision > afterRevision,
      );
    if (changed().length === 0) await this.nextWrite(waitMs, signal);
    if (this.fault('watch', prefix) !== 'none') return Result.err(storeDown());
    return Result.ok({
      revision: this.revision,
      changed: changed(),
      deletedKeys: [],
      compacted: false,
    });
  }

  keys(prefix: string): string[] {
    return this.entriesUnder(prefix).map(({key}) => key);
  }

  private write(
    key: string,
    value: string,
    expectedRevision: number,
  ): Result<number, StoreWriteError> {
    if ((this.entries.get(key)?.revision ?? 0) !== expectedRevision) {
      return Result.err(new ConflictError(`${key} was changed`, 'read it'));
    }
    this.revision += 1;
    const entry = {key, value, revision: this.revision};
    this.entries.set(key, entry);
    this.onWrite(entry);
    for (const resume of [...this.waitingWatches]) resume();
    return Result.ok(this.revision);
  }

  private entriesUnder(prefix: string): StoreEntry[] {
    return [...this.entries.values()]
      .filter(({key}) => key.startsWith(prefix))
      .sort((a, b) => a.revision - b.revision);
  }

  private async nextWrite(waitMs: number, signal: AbortSignal): Promise<void> {
    await new Promise<void>((resolve) => {
      const resume = () => {
        clearTimeout(timer);
        signal.removeEventListener('abort', resume);
        this.waitingWatches.delete(resume);
        resolve();
      };
      const timer = setTimeout(resume, waitMs);
      signal.addEventListener('abort', resume);
      this.waitingWatches.add(resume);
    });
  }
}

function storeDown(): UnavailableError {
  return new UnavailableError('the store is down', 'wait');
}

function answerLost(): UnknownEffectError {
  return new UnknownEffectError('the answer was lost', 'read back');
}

/** A clock that advances only on request. */
export class ManualClock extends Clock {
  private time = 1_000_000;

  override now() {
    return instant(this.time);
  }

  advance(milliseconds: number): void {
    this.time += milliseconds;
  }
}

/** Always returns zero, so that retries follow without a delay. */
export class ZeroRandom extends RandomSource {
  override next(): number {
    return 0;
  }
}

/** Blocks callers that await `opened` until `open` is called. */
export class Gate {
  private resolve: () => void = () => {};
  readonly opened = new Promise<void>((resolve) => (this.resolve = resolve));

  open(): void {
    this.resolve();
  }
}

/** Far more than any condition needs; ends a test whose condition fails. */
const MAXIMUM_POLLS = 15_000;

/** Polls until the condition holds. */
export async function until(condition: () => boolean): Promise<void> {
  for (let polls = 0; !condition(); polls += 1) {
    if (polls >= MAXIMUM_POLLS) throw new Error(`not met: ${condition}`);
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
}

export function newConfigurationController(
  store: KeyValueStore,
  scope: CleanupScope,
  options: Partial<ConfigurationControllerOptions> = {},
): ConfigurationController {
  return new ConfigurationController({
    store,
    scope,
    clock: new ManualClock(),
    random: new ZeroRandom(),
    log: () => {},
    watchWaitMs: 20,
    ...options,
  });
}

export function customerEdit(id: string, weight = 1): ConfigurationEdit {
  return {
    kind: 'set-customer',
    customer: {
      id: trustedId<CustomerId>(id),
      name: id,
      guarantees: [],
      acceleratorCeiling: 8,
      weight,
      requestLimits: {requestsPerSecond: 1, burst: 1, concurrency: 1},
    },
    workClasses: [],
  };
}

let proposalCount = 0;

export function proposal(
  edit: ConfigurationEdit,
  baseVersion: number,
  id = `change-${(proposalCount += 1)}`,
): ConfigurationProposal {
  return {id: trustedId(id), author: 'operator', baseVersion, edit};
}
