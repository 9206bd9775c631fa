/**
 * Whether calls to the store are worth waiting for. After a failure, calls of
 * callers are refused or passed on at once; probes find out when the store
 * answers again, so that no caller waits for a time limit.
 */

import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {ComponentLog} from '../daemon/log.js';
import type {CoordinationStore} from '../parties/coordination_store.js';

/** Time between two probes; the first follows a failure at once. */
const PROBE_INTERVAL_MS = 250;

export class StoreHealth {
  private isFailing = false;

  constructor(
    private readonly store: CoordinationStore,
    /** Any key; a probe only needs an answer. */
    private readonly probeKey: string,
    private readonly scope: CleanupScope,
    private readonly log: ComponentLog,
  ) {}

  get isSuspect(): boolean {
    return this.isFailing;
  }

  failed(reason: string): void {
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
