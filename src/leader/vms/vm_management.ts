/**
 * Starts the leader's controllers for worker VMs: maintenance waves, and moves
 * between pools. Both share one cached list of VMs.
 */

import type {CleanupScope} from '../../lifecycle/cleanup_scope.js';
import type {Clock} from '../../lifecycle/clock.js';
import type {AvailabilityZone} from '../../model/ids.js';
import type {HostedConfiguration} from '../../model/queues.js';
import type {CoordinationStore} from '../../interfaces/coordination_store.js';
import type {MaintenanceRequests} from '../../interfaces/maintenance_requests.js';
import type {VmService} from '../../interfaces/vm_service.js';
import type {Unit} from '../jobs/jobs.js';
import type {LeaderLog} from '../leader_log.js';
import {MaintenanceController} from './maintenance.js';
import type {MaintenanceSettings} from './maintenance.js';
import {PoolController} from './pools.js';
import type {Authority} from '../authority.js';
import {VmTable} from './vm_table.js';
import type {WorkerTable} from '../workers/worker_table.js';

export interface WorkerVmOptions extends MaintenanceSettings {
  readonly vmService: VmService;
  readonly requests: MaintenanceRequests;
}

export interface VmManagementDependencies {
  readonly store: CoordinationStore;
  readonly clock: Clock;
  readonly log: LeaderLog;
  readonly configuration: () => HostedConfiguration | undefined;
  /** Units that the last scheduling round could not place. */
  readonly waiting: () => readonly Unit[];
  readonly evacuatedZones: () => ReadonlySet<AvailabilityZone>;
}

/** Resolves after the requested maintenance waves have been listed. */
export async function startVmManagement(
  options: WorkerVmOptions,
  dependencies: VmManagementDependencies,
  authority: Authority,
  table: WorkerTable,
  scope: CleanupScope,
): Promise<void> {
  const {vmService} = options;
  const vms = new VmTable(vmService, dependencies.log);
  const controllerDependencies = {...dependencies, ...options, vms};
  new PoolController(
    controllerDependencies,
    options,
    authority,
    table,
    scope,
  ).start();
  await new MaintenanceController(
    controllerDependencies,
    options,
    authority,
    table,
    scope,
  ).start();
}
