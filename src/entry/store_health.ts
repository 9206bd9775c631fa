/**
 * Circuit breaker for the store. After a failure, callers' calls are refused
 * or forwarded immediately instead of waiting for a timeout, and probes detect
 * when the store answers again.
 */

import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {ComponentLog} from '../daemon/log.js';
import type {CoordinationStore} from '../interfaces/coordination_store.js';

/** Delay between probes; the first probe follows a failure immediately. */
const PROBE_INTERVAL_MS = 250;

export class StoreHealth {
  private isFailing = false;

  constructor(
    private readonly store: CoordinationStore,
    /** Any key will do; a probe only needs an answer. */
    private readonly probeKey: string,
    private readonly scope: CleanupScope,
    private readonly log: ComponentLog,
  ) {}

  get isUnavailable(): boolean {
    return this.isFailing;
  }

  recordFailure(reason: string): void {
    if (this.isFailing) return;
    this.isFailing = true;
    this.log.warn(`the store does not answer: ${reason}`);
    void this.probe();
  }

  private async probe(): Promise<void> {
    while (!this.scope.closed) {
      const answer = await this.store.get(this.probeKey);
      if (answer.isOk) {
        this.isFailing = false;
        this.log.info('the store answers again');
        return;
      }
      await this.scope.sleep(PROBE_INTERVAL_MS);
    }
  }
}
