/**
 * One term as scheduler of a zone: adopts running gangs, queues the other jobs
 * and executes the planner's decisions. Closing the scope ends the term
 * immediately; running tasks continue.
 */

import {isDeepStrictEqual} from 'node:util';
import PQueue from 'p-queue';
import {Result} from 'true-myth';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {Clock} from '../lifecycle/clock.js';
import type {RandomSource} from '../lifecycle/random.js';
import type {Configuration, PowerState} from '../model/configuration.js';
import {NotFoundError} from '../model/errors.js';
import type {CallError} from '../model/errors.js';
import type {AvailabilityZone, Instant, JobId, VmId} from '../model/ids.js';
import type {JobRecord, TaskList} from '../model/jobs.js';
import {hasEnded} from '../model/jobs.js';
import type {KeyValueStore} from '../interfaces/key_value_store.js';
import type {JobReport} from '../interfaces/peer_client.js';
import type {WorkerVm} from '../interfaces/vm_list.js';
import type {WorkerClient} from '../interfaces/worker_client.js';
import type {PlanAction, ZonePlanner} from '../scheduling/zone_planner.js';
import {GangTable} from './gang_table.js';
import {mergeRecords} from './job_store.js';
import type {JobStore, JobStoreListener} from './job_store.js';
import {JobTable} from './job_table.js';
import type {JobEntry} from './job_table.js';
import {PLAN_INTERVAL_MS, PowerController} from './power_controller.js';
import {RecordWatcher} from './record_watcher.js';
import {WorkerTable} from './worker_table.js';
import type {ZoneControllerOptions, ZoneListener} from './zone_options.js';

/** Maximum delay of a Node.js timer. */
const MAXIMUM_TIMER_MS = 2 ** 31 - 1;

export interface ZoneSessionDependencies {
  readonly zone: AvailabilityZone;
  readonly planner: ZonePlanner;
  readonly workers: WorkerClient;
  readonly store: KeyValueStore;
  readonly jobStore: JobStore;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly listener: ZoneListener;
  readonly options: ZoneControllerOptions;
  readonly scope: CleanupScope;
  /** This zone's share of the site's fuel, from 0 to 1; 1 if absent. */
  readonly fuelShare?: () => number;
}

export class ZoneSession {
  private quarantined: ReadonlySet<VmId> = new Set();
  private readonly jobs: JobTable;
  private readonly workerTable: WorkerTable;
  private readonly gangs: GangTable;
  private readonly recordWatcher: RecordWatcher;
  private phase: 'adopting' | 'placing' | 'draining' = 'adopting';
  private adoptionTimedOut = false;
  private roundScheduled = false;
  private readonly powerController: PowerController;
  private powerState: PowerState = {supply: 'grid'};
  private roundTimer: NodeJS.Timeout | undefined;
  private nextRoundAt = Infinity;

  constructor(private readonly dependencies: ZoneSessionDependencies) {
    const {options, scope} = dependencies;
    const queue = new PQueue({concurrency: options.workerCallConcurrency});
    this.jobs = new JobTable(dependencies);
    this.powerController = new PowerController({
      checkpointMs: options.reclaimBoundMs,
      estimateRunTimeMs: (record) =>
        dependencies.planner.estimatedRunTimeMs(record),
      fuelShare: dependencies.fuelShare ?? (() => 1),
    });
    this.workerTable = new WorkerTable(
      {...dependencies, client: dependencies.workers, queue},
      {
        handleList: (list, requestedAt, changed) =>
          this.handleList(list, requestedAt, changed),
        workerLost: (workerId) => this.workerLost(workerId),
        isManaged: (gangId) => this.gangs.isManaged(gangId),
      },
    );
    this.gangs = new GangTable(
      {...dependencies, queue},
      this.jobs,
      this.workerTable,
      {
        scheduleRound: () => this.scheduleRound(),
        scheduleRoundAt: (time) => this.scheduleRoundAt(time),
      },
    );
    this.recordWatcher = new RecordWatcher(dependencies, {
      handleRecord: (record) => this.handleRecord(record),
      readAttempted: () => this.endAdoptionIfReady(),
    });
    scope.add(() => queue.clear());
    scope.add(() => clearTimeout(this.roundTimer));
  }

  start(): void {
    const {jobStore, scope} = this.dependencies;
    const listener: JobStoreListener = {
      overruled: (stored) => this.handleOverruled(stored),
      stored: () => this.scheduleRound(),
      storeAvailable: (available, unwritten) =>
        this.dependencies.listener.zoneEvent({
          kind: 'store',
          available,
          unwritten,
        }),
    };
    jobStore.setListener(listener);
    scope.add(() => jobStore.clearListener(listener));
    scope.every(this.dependencies.options.cleanupIntervalMs, () =>
      this.evictExpired(),
    );
    void this.recordWatcher.run();
  }

  configure(configuration: Configuration): void {
    this.dependencies.planner.configure(configuration);
    this.setPower(configuration.power);
    this.scheduleRound();
  }

  /** Applies the complete list of the zone's workers. */
  setWorkers(vms: readonly WorkerVm[]): void {
    const isFirstList = !this.workerTable.vmsKnown;
    this.workerTable.setVms(vms);
    if (isFirstList) void this.startAdoptionTimeout();
    this.endAdoptionIfReady();
    this.scheduleRound();
  }

  /**
   * Schedules an accepted job. A known job is unaffected, unless it is still
   * queued and the planner now refuses it, in which case it fails. A job that
   * ended in an earlier term has no entry any more.
   */
  submitJob(record: JobRecord): Result<void, CallError> {
    if (this.jobs.hasEnded(record.jobId)) return Result.ok(undefined);
    const known = this.jobs.get(record.jobId);
    if (known !== undefined && !known.queued) return Result.ok(undefined);
    const check = this.dependencies.planner.check(record);
    if (check.isOk && known === undefined) {
      void this.jobs.writeIfMissing(this.jobs.add(record));
      this.scheduleRound();
    }
    if (check.isErr && known !== undefined) {
      this.endQueued(known, 'failed', check.error.message);
    }
    return check;
  }

  /** Cancels a job; its gang is stopped without a checkpoint. */
  cancelJob(jobId: JobId): Result<JobReport, CallError> {
    const entry = this.jobs.get(jobId);
    if (entry === undefined) return this.job(jobId);
    if (!hasEnded(entry.record.state)) {
      entry.cancelRequested = true;
      entry.stopReason = 'cancelled by the caller';
      if (entry.runner === undefined) {
        this.endQueued(entry, 'cancelled', entry.stopReason);
      } else {
        entry.runner.stop('cancelled', 0);
      }
      this.scheduleRound();
    }
    return this.job(jobId);
  }

  private endQueued(
    entry: JobEntry,
    state: 'cancelled' | 'failed',
    reason: string,
  ): void {
    this.jobs.dequeue(entry);
    const endedAt = this.dependencies.clock.now();
    this.jobs.change(entry, {state, reason, endedAt});
  }

  job(jobId: JobId): Result<JobReport, CallError> {
    const entry = this.jobs.get(jobId);
    if (entry !== undefined) return Result.ok(this.jobs.report(entry));
    return Result.err(
      new NotFoundError(
        `job ${jobId} is not known to the scheduler of zone ${this.dependencies.zone}`,
        'check the id and the zone, or retry after a store outage',
      ),
    );
  }

  listJobs(): readonly JobReport[] {
    return this.jobs.all().map((entry) => this.jobs.report(entry));
  }

  /**
   * Stops placing, and waits until no gang is being started or stopped and all
   * records are written, or until the signal is aborted.
   */
  async drain(signal: AbortSignal): Promise<void> {
    this.phase = 'draining';
    const pollMs = this.dependencies.options.initialRetryDelayMs;
    while (!signal.aborted && !this.dependencies.scope.closed) {
      const {isStable} = this.gangs;
      if (isStable && this.dependencies.jobStore.unwrittenCount === 0) return;
      await this.dependencies.scope.sleep(pollMs);
    }
  }

  // Job records in the store.

  private handleRecord(stored: JobRecord): void {
    const entry = this.jobs.get(stored.jobId);
    if (entry === undefined) {
      if (hasEnded(stored.state)) this.jobs.markEnded(stored);
      else this.jobs.add(stored);
      this.scheduleRound();
      return;
    }
    if (entry.provisional) {
      entry.provisional = false;
      entry.record = mergeRecords(stored, entry.record) ?? entry.record;
    }
    if (hasEnded(entry.record.state)) return;
    const isNewer = stored.sequence > entry.record.sequence;
    const isSuperseded = isNewer && entry.runner === undefined;
    if (hasEnded(stored.state) || isSuperseded) this.handleOverruled(stored);
  }

  /** Yields to a record of the job written by another scheduler. */
  private handleOverruled(stored: JobRecord): void {
    const entry = this.jobs.get(stored.jobId);
    if (entry === undefined) return;
    this.jobs.dequeue(entry);
    entry.record = stored;
    // The other scheduler may still be starting the gang on the workers.
    if (stored.state === 'starting' || stored.state === 'running') {
      this.jobs.delay(entry, this.dependencies.options.gangSkewBoundMs);
    }
    const ended = hasEnded(stored.state);
    if (ended || entry.runner?.phase === 'starting') {
      entry.runner?.stop('cancelled', 0);
    }
    this.scheduleRound();
  }

  // Adoption.

  private async startAdoptionTimeout(): Promise<void> {
    await this.dependencies.scope.sleep(
      this.dependencies.options.adoptionBoundMs,
    );
    this.adoptionTimedOut = true;
    this.endAdoptionIfReady();
  }

  private endAdoptionIfReady(): void {
    if (this.phase !== 'adopting' || this.dependencies.scope.closed) return;
    const complete =
      this.workerTable.allRead && this.recordWatcher.hasAttemptedRead;
    if (!complete && !this.adoptionTimedOut) return;
    this.phase = 'placing';
    this.dependencies.listener.zoneEvent({
      kind: 'placing',
      workersRead: this.workerTable.readCount,
      workersUnread: this.workerTable.unreadCount,
    });
    this.workerTable.updatePlanner(this.dependencies.clock.now());
    this.gangs.reconcileFoundGangs(true);
    this.scheduleRound();
  }

  // Workers.

  private handleList(
    list: TaskList,
    requestedAt: Instant,
    changed: boolean,
  ): void {
    this.gangs.handleList(list, requestedAt);
    // Most watches end without a change, and a round reads the whole zone.
    if (!changed) return;
    this.endAdoptionIfReady();
    // A round takes about 5 ms at the target size, where about two watches
    // per second end without a change. Time-dependent decisions set a timer.
    if (changed) this.scheduleRound();
  }

  private workerLost(workerId: VmId): void {
    this.gangs.workerLost(workerId);
    this.endAdoptionIfReady();
    this.scheduleRound();
  }

  // Scheduling rounds.

  /** Schedules one round after all pending events have been handled. */
  private scheduleRound(): void {
    if (this.roundScheduled || this.dependencies.scope.closed) return;
    this.roundScheduled = true;
    setImmediate(() => {
      this.roundScheduled = false;
      if (!this.dependencies.scope.closed && this.phase !== 'adopting') {
        this.runRound();
      }
    });
  }

  private runRound(): void {
    const now = this.dependencies.clock.now();
    // The planner must know a worker before a gang on it is adopted.
    this.workerTable.updatePlanner(now);
    this.gangs.reconcileFoundGangs(false);
    this.gangs.removeEndedTasks();
    this.gangs.preemptOnLeavingWorkers(now);
    this.workerTable.updatePlanner(now);
    if (this.phase !== 'placing') return;
    this.preemptToSaveFuel(now);
    for (const entry of this.jobs.all()) this.enqueueIfReady(entry, now);
    for (const action of this.dependencies.planner.plan(now)) {
      this.perform(action);
    }
    this.reportQuarantine(now);
    const nextAt = this.dependencies.planner.nextDecisionAt(now);
    if (nextAt !== undefined) this.scheduleRoundAt(nextAt);
  }

  /** Queues a job once it is certain that it has no gang. */
  private enqueueIfReady(entry: JobEntry, now: Instant): void {
    const {record} = entry;
    if (entry.queued || entry.runner !== undefined) return;
    if (hasEnded(record.state)) return;
    if (this.gangs.hasGangBeingRemoved(record.jobId)) return;
    if (this.gangs.hasUndecidedGang(record.jobId)) return;
    if (entry.provisional && !this.recordWatcher.hasRead) return;
    // Until the records have been read, even a queued job may be running.
    const mayRun =
      record.state === 'starting' ||
      record.state === 'running' ||
      !this.recordWatcher.hasRead;
    if (mayRun && !this.workerTable.allRead) return;
    if (entry.notBefore !== undefined && now < entry.notBefore) {
      this.scheduleRoundAt(entry.notBefore);
      return;
    }
    entry.lacksFuel = !this.powerController.mayStart(
      {record, guaranteed: false},
      now,
    );
    if (entry.lacksFuel) this.jobs.delay(entry, PLAN_INTERVAL_MS);
    else this.jobs.enqueue(entry);
  }

  // Power.

  private setPower(power: PowerState): void {
    if (isDeepStrictEqual(power, this.powerState)) return;
    this.powerState = power;
    this.powerController.setPower(power);
    // Re-evaluates queued jobs against the remaining fuel.
    for (const entry of this.jobs.all()) {
      this.jobs.dequeue(entry);
      if (entry.lacksFuel) entry.notBefore = undefined;
    }
  }

  /** Preempts jobs for which the generator's fuel does not suffice. */
  private preemptToSaveFuel(now: Instant): void {
    const lists = this.workerTable.lists();
    const guaranteed = new Set(
      lists
        .flatMap((list) => list.tasks)
        .filter((task) => task.guaranteed)
        .map((task) => task.jobId),
    );
    const running = this.jobs
      .all()
      .filter((entry) => entry.runner?.phase === 'running')
      .map(({record}) => ({record, guaranteed: guaranteed.has(record.jobId)}));
    for (const jobId of this.powerController.jobsToPreempt(
      running,
      lists,
      now,
    )) {
      const reason = 'set aside before the fuel ends';
      this.perform({kind: 'preempt', jobId, reason});
    }
    const nextPlanAt = this.powerController.nextPlanAt();
    if (nextPlanAt !== undefined) this.scheduleRoundAt(nextPlanAt);
  }

  private perform(action: PlanAction): void {
    if (action.kind === 'start') {
      this.gangs.start(action.placement);
      return;
    }
    const {jobId, reason} = action;
    const entry = this.jobs.get(jobId);
    if (entry?.runner === undefined) return;
    entry.stopReason = reason;
    this.dependencies.listener.zoneEvent({kind: 'preempted', jobId, reason});
    entry.runner.stop('setAside', this.dependencies.options.reclaimBoundMs);
  }

  /** Workers quarantined by the planner as of the last round. */
  quarantinedWorkers(): readonly VmId[] {
    return [...this.quarantined];
  }

  private reportQuarantine(now: Instant): void {
    const before = this.quarantined;
    this.quarantined = new Set(this.dependencies.planner.quarantined(now));
    const {listener} = this.dependencies;
    for (const workerId of this.quarantined) {
      if (before.has(workerId)) continue;
      listener.zoneEvent({kind: 'quarantined', workerId});
    }
    for (const workerId of before) {
      if (this.quarantined.has(workerId)) continue;
      listener.zoneEvent({kind: 'quarantineEnded', workerId});
    }
  }

  private scheduleRoundAt(time: Instant): void {
    if (time >= this.nextRoundAt || this.dependencies.scope.closed) return;
    clearTimeout(this.roundTimer);
    this.nextRoundAt = time;
    const waitMs = Math.max(1, time - this.dependencies.clock.now());
    this.roundTimer = setTimeout(
      () => {
        this.nextRoundAt = Infinity;
        this.scheduleRound();
      },
      Math.min(waitMs, MAXIMUM_TIMER_MS),
    );
  }

  private evictExpired(): void {
    const now = this.dependencies.clock.now();
    this.jobs.evictEnded(now);
    this.gangs.evictEnded(now);
    void this.jobs.deleteExpiredRecords(now);
  }
}
