/**
 * Counts the runs that ended before their work was done, and the work that was
 * lost with them, by cause. The operator sees by it who pays for whom.
 */

import type {RunEnding} from '../../interfaces/task_worker.js';
import type {Instant} from '../../model/ids.js';
import type {Step} from '../../model/submissions.js';
import type {Run} from './runs.js';

/** Weight of an accelerator relative to a core, as in the users' prices. */
const CORES_PER_ACCELERATOR = 8;

/** Why this leader stops a run. */
export type StopCause =
  'preempted' | 'jobEnded' | 'workerLeaving' | 'stalled' | 'maintenance';

/**
 * - those of `StopCause`: the leader stopped the run;
 * - `failed`: the task failed;
 * - `workerLost`: the run was lost with its worker or its lease;
 * - `gangBroken`: another member of the gang ended.
 */
export type LossCause = StopCause | 'failed' | 'workerLost' | 'gangBroken';

export interface Loss {
  readonly cause: LossCause;
  /** An estimate: the time since the start was confirmed, less saved work. */
  readonly coreSeconds: number;
}

export interface LossCount {
  readonly runs: number;
  readonly coreSeconds: number;
}

export class LostWork {
  private readonly byCause = new Map<LossCause, LossCount>();

  /** @param checkpointIntervalMs Longest work since a task's last checkpoint. */
  constructor(private readonly checkpointIntervalMs: number) {}

  /** Counts the run's end; returns nothing if its work was done. */
  record(run: Run, ending: RunEnding | 'lost', now: Instant): Loss | undefined {
    if (ending === 'done') return undefined;
    const cause = causeOf(run, ending);
    const ranMs = Math.max(0, now - (run.confirmedAt ?? now));
    // A stop saves the state of a task with checkpoints.
    const keptOf = ending === 'stopped' ? 0 : this.checkpointIntervalMs;
    const lostMs =
      run.step.checkpointing === true ? Math.min(ranMs, keptOf) : ranMs;
    const coreSeconds = (coresOf(run.step) * lostMs) / 1_000;
    const before = this.byCause.get(cause);
    this.byCause.set(cause, {
      runs: (before?.runs ?? 0) + 1,
      coreSeconds: (before?.coreSeconds ?? 0) + coreSeconds,
    });
    return {cause, coreSeconds};
  }

  get counts(): ReadonlyMap<LossCause, LossCount> {
    return this.byCause;
  }
}

/** Cores of one task. An accelerator counts as `CORES_PER_ACCELERATOR` cores. */
export function coresOf({shape}: Step): number {
  return (
    shape.processorMillicores / 1_000 +
    shape.accelerators * CORES_PER_ACCELERATOR
  );
}

function causeOf(run: Run, ending: RunEnding | 'lost'): LossCause {
  if (ending === 'failed') return 'failed';
  if (run.stopCause !== undefined) return run.stopCause;
  if (ending === 'lost' || ending === 'lapsed') return 'workerLost';
  return 'gangBroken';
}
