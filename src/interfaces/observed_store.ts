/**
 * A key-value store wrapper that reports the result of each call, for metrics
 * and for the store health shown to operators.
 */

import type {Result} from 'true-myth';
import {KeyValueStore} from './key_value_store.js';
import type {StoreWatchBatch} from './key_value_store.js';

export type StoreCall = 'get' | 'list' | 'put' | 'delete' | 'watch';

/** `reached`: the service answered, including with a refusal. */
export type StoreObserver = (call: StoreCall, reached: boolean) => void;

export class ObservedStore extends KeyValueStore {
  constructor(
    private readonly store: KeyValueStore,
    private readonly observe: StoreObserver,
  ) {
    super();
  }

  override get(key: string) {
    return this.observeResult('get', this.store.get(key));
  }

  override list(prefix: string) {
    return this.observeResult('list', this.store.list(prefix));
  }

  override put(key: string, value: string, expectedRevision: number) {
    return this.observeResult(
      'put',
      this.store.put(key, value, expectedRevision),
    );
  }

  override delete(key: string, expectedRevision: number) {
    return this.observeResult(
      'delete',
      this.store.delete(key, expectedRevision),
    );
  }

  override async watch(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ): ReturnType<KeyValueStore['watch']> {
    const waiting = this.store.watch(prefix, afterRevision, waitMs, signal);
    const result: Result<StoreWatchBatch, {kind: string}> = await waiting;
    // An aborted watch is no evidence about the health of the service.
    if (!signal.aborted) this.observe('watch', serviceAnswered(result));
    return waiting;
  }

  private async observeResult<T, E extends {readonly kind: string}>(
    call: StoreCall,
    pending: Promise<Result<T, E>>,
  ): Promise<Result<T, E>> {
    const result = await pending;
    this.observe(call, serviceAnswered(result));
    return result;
  }
}

function serviceAnswered<T>(
  result: Result<T, {readonly kind: string}>,
): boolean {
  if (result.isOk) return true;
  const {kind} = result.error;
  return kind !== 'unavailable' && kind !== 'unknown-effect';
}
