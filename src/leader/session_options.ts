/** What a leader's session is given: its settings, and the parts of the site. */

import type {Clock} from '../lifecycle/clock.js';
import type {CoordinationStore} from '../interfaces/coordination_store.js';
import type {PlacementAdvisor} from '../interfaces/placement_advisor.js';
import type {TaskWorkerClient} from '../interfaces/task_worker.js';
import type {WorkerDirectory} from '../interfaces/worker_directory.js';
import type {LeaderLog} from './leader_log.js';
import type {PreemptionSettings} from './planning/preemption_policy.js';
import type {EvacuationOptions} from './vms/evacuations.js';
import type {WorkerVmOptions} from './vms/vm_management.js';

export interface SessionSettings {
  /** Longest lease that a worker accepts, in milliseconds. */
  readonly holdMaximumMs: number;
  /** How runs are chosen that are stopped for guaranteed work. */
  readonly preemption?: PreemptionSettings | undefined;
  /** Kinds of work that slow each other down are placed apart. */
  readonly keepsApart?: boolean | undefined;
  /** Workers are chosen by their speeds; false if absent. */
  readonly usesWorkerSpeeds?: boolean | undefined;
  /** Memory for all known jobs, in bytes; without limit if absent. */
  readonly maximumWorkBytes?: number | undefined;
}

export interface SessionDependencies {
  readonly store: CoordinationStore;
  readonly workers: TaskWorkerClient;
  readonly directory: WorkerDirectory;
  /** Absent if no queue needs advice. */
  readonly advisor?: PlacementAdvisor | undefined;
  /** Absent if the platform has no VM service for workers. */
  readonly workerVms?: WorkerVmOptions | undefined;
  /** Absent if zones of this site are not evacuated. */
  readonly evacuations?: EvacuationOptions | undefined;
  readonly clock: Clock;
  readonly log: LeaderLog;
}
