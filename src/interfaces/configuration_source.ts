/**
 * Source of a hosted site's configuration. Operators write it to the platform;
 * a version that cannot be parsed is reported as an error and not applied.
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
  /** Returns the latest version. */
  abstract list(): Promise<Result<ConfigurationListing, StoreReadFailure>>;

  /** Waits at most `waitMs` for versions written after a revision. */
  abstract watch(
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<ConfigurationWatchAnswer, StoreReadFailure>>;
}
