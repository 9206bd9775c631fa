/**
 * Minions: shared backend servers that run service requests in slots.
 */

import type {ServiceRequest} from '../model/requests.js';
import type {MinionVm} from './vm_list.js';

/** What one try at a minion came to. */
export type MinionResult =
  | {
      /** Whole answer: length, digest and request id were verified. */
      readonly kind: 'answered';
      readonly answer: string;
      /** The minion's VM is leaving and takes no further request. */
      readonly leaving: boolean;
    }
  | {
      /** Nothing was handed over, or the minion said that it did not run. */
      readonly kind: 'notRun';
      readonly reason: 'refused' | 'unreachable';
      readonly message: string;
      readonly leaving: boolean;
    }
  | {
      readonly kind: 'unknown';
      readonly reason:
        'no-answer-in-time' | 'connection-lost' | 'malformed-answer';
      readonly message: string;
    };

export abstract class MinionClient {
  /**
   * Sends the request once and waits for its whole answer, at most
   * `timeoutMs`. A connection that timed out is closed and never reused.
   */
  abstract run(
    minion: MinionVm,
    request: ServiceRequest,
    timeoutMs: number,
  ): Promise<MinionResult>;
}
