/**
 * Schedules the jobs of one availability zone while this daemon is the zone's
 * scheduler. Membership changes call `start` and `stop`; each term begins
 * with nothing but what the store and the workers say.
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
import type {KeyValueStore} from '../parties/key_value_store.js';
import type {JobReport} from '../parties/peer_client.js';
import type {WorkerVm} from '../parties/vm_list.js';
import type {WorkerClient} from '../parties/worker_client.js';
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
  /** Closing it ends the term and the writing of records. */
  readonly scope: CleanupScope;
  /** This zone's share of the site's fuel, 0 to 1; the whole if absent. */
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

  /** True while this daemon decides for the zone. */
  get active(): boolean {
    return this.term !== undefined;
  }

  /** Begins a term; does nothing during one. */
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

  /** Stops deciding at once; running tasks are left alone. */
  stop(): void {
    const {term} = this;
    if (term === undefined) return;
    this.term = undefined;
    void term.scope.close();
    this.jobStore.dropDecisions();
    this.dependencies.listener.zoneEvent({kind: 'scheduling', active: false});
  }

  /**
   * Ends the term for a planned stop of the daemon that no other daemon takes
   * over from: starts and stops under way are completed and records written,
   * for at most `stopDeadlineMs`. Tasks run on under their leases.
   */
  async stopGracefully(stopDeadlineMs: number): Promise<void> {
    const limit = new AbortController();
    const timer = setTimeout(() => limit.abort(), stopDeadlineMs);
    await this.term?.session.drain(limit.signal);
    clearTimeout(timer);
    this.stop();
  }

  /** Takes a new version of the configuration. */
  configure(configuration: Configuration): void {
    this.configuration = configuration;
    this.term?.session.configure(configuration);
  }

  /** Takes the complete list of worker VMs; other zones' are ignored. */
  setWorkers(vms: readonly WorkerVm[]): void {
    this.vms = vms.filter(
      (vm) => vm.availabilityZone === this.dependencies.zone,
    );
    this.term?.session.setWorkers(this.vms);
  }

  /** Takes over an accepted job; a second call has no further effect. */
  submitJob(record: JobRecord): Result<void, CallError> {
    return this.term?.session.submitJob(record) ?? this.notScheduler();
  }

  /** Asks for the end of a job; poll `job` for its state. */
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

  /** Workers of the zone that are quarantined now. */
  quarantined(): readonly VmId[] {
    return this.term?.session.quarantinedWorkers() ?? [];
  }

  private notScheduler<T>(): Result<T, CallError> {
    return Result.err(
      new UnavailableError(
        `this daemon is not the scheduler of zone ${this.dependencies.zone}`,
        'send the call to the present scheduler of the zone',
      ),
    );
  }
}
