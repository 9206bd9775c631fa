/**
 * Where a hosted site's configuration comes from. The operators write it to
 * the platform; a version that cannot be read is an error and not applied.
 */

import type {Result} from 'true-myth';
import type {HostedConfiguration} from '../model/queues.js';
import type {ChangeBatch, StoreReadFailure} from './coordination_store.js';

export interface ConfigurationListing {
  /** Undefined until the operators have written the first version. */
  readonly configuration: HostedConfiguration | undefined;
  readonly revision: number;
}

export type ConfigurationWatchAnswer = ChangeBatch<HostedConfiguration>;

export abstract class ConfigurationSource {
  abstract list(): Promise<Result<ConfigurationListing, StoreReadFailure>>;

  abstract watch(
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<ConfigurationWatchAnswer, StoreReadFailure>>;
}
