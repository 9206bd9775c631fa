/**
 * Fencing tokens of the calls to workers. A call without an answer may arrive
 * late, even at a worker that has restarted under its id meanwhile, where an
 * acknowledgement would discard ends that were never read. A higher token in
 * the next call voids it. Each term has a range of tokens for this.
 */

import type {WorkerId} from '../../model/ids.js';
import type {LeaseRenewalOutcome} from '../../interfaces/task_worker.js';

/** Terms rise by this number, so that their ranges of tokens are disjoint. */
export const FENCES_PER_TERM = 64;

export class WorkerFences {
  private readonly raises = new Map<WorkerId, number>();

  /** `term` is the highest token of its range. */
  constructor(private readonly term: number) {}

  /** Token of the next call to the worker. */
  fenceFor(workerId: WorkerId): number {
    const lowest = this.term - FENCES_PER_TERM + 1;
    return lowest + (this.raises.get(workerId) ?? 0);
  }

  /** A renewal without an answer may acknowledge ends of a later incarnation. */
  recordRenewal(
    workerId: WorkerId,
    acknowledgedSequence: number,
    {kind}: LeaseRenewalOutcome,
  ): void {
    const isAnswered = kind === 'seen' || kind === 'superseded';
    if (!isAnswered && acknowledgedSequence > 0) this.raise(workerId);
  }

  /** Voids unanswered calls. Has no effect once the range is used up. */
  raise(workerId: WorkerId): void {
    const raises = this.raises.get(workerId) ?? 0;
    this.raises.set(workerId, Math.min(raises + 1, FENCES_PER_TERM - 1));
  }
}
