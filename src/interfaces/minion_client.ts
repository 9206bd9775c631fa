/**
 * Client interface to minions: shared backend servers that run service requests
 * in a fixed number of slots.
 */

import type {ServiceRequest} from '../model/requests.js';
import type {MinionVm} from './vm_list.js';

/** Result of one attempt to run a request on a minion. */
export type MinionResult =
  | {
      /** The complete answer: length, digest and request id were verified. */
      readonly kind: 'answered';
      readonly answer: string;
      /** The minion's VM is leaving and accepts no further requests. */
      readonly leaving: boolean;
    }
  | {
      /** Nothing was sent, or the minion reported that it did not run it. */
      readonly kind: 'notRun';
      readonly reason: 'refused' | 'unreachable';
      readonly message: string;
      readonly leaving: boolean;
    }
  | {
      /** The request may have run. */
      readonly kind: 'unknown';
      readonly reason:
        'no-answer-in-time' | 'connection-lost' | 'malformed-answer';
      readonly message: string;
    };

export abstract class MinionClient {
  /**
   * Sends the request once and waits at most `timeoutMs` for the complete
   * answer. A connection that timed out is closed and never reused.
   */
  abstract run(
    minion: MinionVm,
    request: ServiceRequest,
    timeoutMs: number,
  ): Promise<MinionResult>;
}
