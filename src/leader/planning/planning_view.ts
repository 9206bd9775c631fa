/** What a scheduling round knows: the leader's cached view at one time. */

import type {SteadyTime} from '../../lifecycle/clock.js';
import type {Instant} from '../../model/ids.js';
import type {HostedConfiguration} from '../../model/queues.js';
import type {Job, Unit} from '../jobs/jobs.js';
import type {RunTimeTable} from '../jobs/run_times.js';
import type {KnownInterference} from '../workers/interference.js';
import type {WorkerSpeeds} from '../workers/worker_speeds.js';
import type {PreemptionPolicy} from './preemption_policy.js';
import type {RoundObserver} from './round_observer.js';
import type {WorkerState} from '../workers/worker_state.js';

export interface PlanningView {
  readonly jobs: Iterable<Job>;
  readonly workers: ReadonlyMap<string, WorkerState>;
  readonly configuration: HostedConfiguration;
  readonly runTimes: RunTimeTable;
  /** Undefined if workers are chosen without regard to their speeds. */
  readonly speeds?: WorkerSpeeds | undefined;
  readonly preemption: PreemptionPolicy;
  readonly now: Instant;
  readonly steady: SteadyTime;
  /** False while many workers become silent or end. */
  readonly isCalm: boolean;
  /** Absent unless kinds of work that slow each other down are kept apart. */
  readonly interference?: KnownInterference | undefined;
  /** Set for a trial, which leaves jobs and units as they are. */
  readonly observer?: RoundObserver | undefined;
  /** True if the worker may run the unit by its queue's policy. */
  admits(unit: Unit, worker: WorkerState): boolean;
}
