/**
 * Schedules the jobs of one availability zone while this daemon is the zone's
 * scheduler. Membership changes call `start` and `stop`; each term rebuilds its
 * state solely from the store and the workers.
 */

import {Result} from 'true-myth';
import {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {Clock} from '../lifecycle/clock.js';
import type {RandomSource} from '../lifecycle/random.js';
import {EMPTY_CONFIGURATION} from '../model/configuration.js';
import type {Configuration} from '../model/configuration.js';
import {UnavailableError} from '../model/errors.js';
import type {CallError} from '../model/errors.js';
import type {AvailabilityZone, JobId, VmId} from '../model/ids.js';
import type {JobRecord} from '../model/jobs.js';
import type {KeyValueStore} from '../interfaces/key_value_store.js';
import type {JobReport} from '../interfaces/peer_client.js';
import type {WorkerVm} from '../interfaces/vm_list.js';
import type {WorkerClient} from '../interfaces/worker_client.js';
import type {ZonePlanner} from '../scheduling/zone_planner.js';
import {JobStore} from './job_store.js';
import type {ZoneControllerOptions, ZoneListener} from './zone_options.js';
import {ZoneSession} from './zone_session.js';

export interface ZoneControllerDependencies {
  readonly zone: AvailabilityZone;
  /** Creates the planner of a new term. */
  readonly createPlanner: () => ZonePlanner;
  readonly workers: WorkerClient;
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly listener: ZoneListener;
  readonly options: ZoneControllerOptions;
  /** Closing it ends the term and stops writing records. */
  readonly scope: CleanupScope;
  /** This zone's share of the site's fuel, from 0 to 1; 1 if absent. */
  readonly fuelShare?: () => number;
}

export class ZoneController {
  private readonly jobStore: JobStore;
  private configuration: Configuration = EMPTY_CONFIGURATION;
  private vms: readonly WorkerVm[] | undefined;
  private term: {session: ZoneSession; scope: CleanupScope} | undefined;

  constructor(private readonly dependencies: ZoneControllerDependencies) {
    const {zone, store, random, scope, options} = dependencies;
    this.jobStore = new JobStore(zone, store, random, scope, options);
    scope.add(() => this.stop());
  }

  /** True while this daemon is the scheduler of the zone. */
  get active(): boolean {
    return this.term !== undefined;
  }

  /** Begins a term; has no effect during one. */
  start(): void {
    if (this.term !== undefined || this.dependencies.scope.closed) return;
    const scope = new CleanupScope();
    const planner = this.dependencies.createPlanner();
    planner.configure(this.configuration);
    const session = new ZoneSession({
      ...this.dependencies,
      planner,
      jobStore: this.jobStore,
      scope,
    });
    this.term = {session, scope};
    this.dependencies.listener.zoneEvent({kind: 'scheduling', active: true});
    session.start();
    if (this.vms !== undefined) session.setWorkers(this.vms);
  }

  /** Stops scheduling immediately; running tasks continue. */
  stop(): void {
    const {term} = this;
    if (term === undefined) return;
    this.term = undefined;
    void term.scope.close();
    this.jobStore.dropDecisions();
    this.dependencies.listener.zoneEvent({kind: 'scheduling', active: false});
  }

  /**
   * Ends the term for a planned stop of the daemon without a takeover by another
   * daemon: completes starts and stops in progress and writes records, for at
   * most `stopDeadlineMs`. Tasks continue under their leases.
   */
  async stopGracefully(stopDeadlineMs: number): Promise<void> {
    const deadline = new AbortController();
    const timer = setTimeout(() => deadline.abort(), stopDeadlineMs);
    await this.term?.session.drain(deadline.signal);
    clearTimeout(timer);
    this.stop();
  }

  /** Applies a new version of the configuration. */
  configure(configuration: Configuration): void {
    this.configuration = configuration;
    this.term?.session.configure(configuration);
  }

  /** Applies the complete list of worker VMs; ignores those of other zones. */
  setWorkers(vms: readonly WorkerVm[]): void {
    this.vms = vms.filter(
      (vm) => vm.availabilityZone === this.dependencies.zone,
    );
    this.term?.session.setWorkers(this.vms);
  }

  /** Schedules an accepted job; idempotent. */
  submitJob(record: JobRecord): Result<void, CallError> {
    return this.term?.session.submitJob(record) ?? this.notScheduler();
  }

  /** Requests the cancellation of a job; poll `job` for its state. */
  cancelJob(jobId: JobId): Result<JobReport, CallError> {
    return this.term?.session.cancelJob(jobId) ?? this.notScheduler();
  }

  job(jobId: JobId): Result<JobReport, CallError> {
    return this.term?.session.job(jobId) ?? this.notScheduler();
  }

  /** All jobs of the term; empty if this daemon is not the scheduler. */
  jobs(): readonly JobReport[] {
    return this.term?.session.listJobs() ?? [];
  }

  /** Workers of the zone that are currently quarantined. */
  quarantined(): readonly VmId[] {
    return this.term?.session.quarantinedWorkers() ?? [];
  }

  private notScheduler<T>(): Result<T, CallError> {
    return Result.err(
      new UnavailableError(
        `this daemon is not the scheduler of zone ${this.dependencies.zone}`,
        'send the call to the current scheduler of the zone',
      ),
    );
  }
}
