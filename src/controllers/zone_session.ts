/**
 * One term as scheduler of a zone: adopts what runs, queues the rest, and
 * carries out what the planner decides. Closing the scope ends the term at
 * once; running tasks are left alone.
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
import type {KeyValueStore} from '../parties/key_value_store.js';
import type {JobReport} from '../parties/peer_client.js';
import type {WorkerVm} from '../parties/vm_list.js';
import type {WorkerClient} from '../parties/worker_client.js';
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

/** Longest time that a Node.js timer takes. */
const LONGEST_TIMER_MS = 2 ** 31 - 1;

export interface ZoneSessionParts {
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
  /** This zone's share of the site's fuel, 0 to 1; the whole if absent. */
  readonly fuelShare?: () => number;
}

export class ZoneSession {
  private quarantined: ReadonlySet<VmId> = new Set();
  private readonly jobs: JobTable;
  private readonly table: WorkerTable;
  private readonly gangs: GangTable;
  private readonly records: RecordWatcher;
  private phase: 'adopting' | 'placing' | 'draining' = 'adopting';
  private adoptionDue = false;
  private roundAsked = false;
  private readonly power: PowerController;
  private powerState: PowerState = {supply: 'grid'};
  private wakeTimer: NodeJS.Timeout | undefined;
  private wakeTime = Infinity;

  constructor(private readonly parts: ZoneSessionParts) {
    const {options, scope} = parts;
    const queue = new PQueue({concurrency: options.workerCallConcurrency});
    this.jobs = new JobTable(parts);
    this.power = new PowerController({
      checkpointMs: options.reclaimBoundMs,
      estimateRunTimeMs: (record) => parts.planner.estimatedRunTimeMs(record),
      fuelShare: parts.fuelShare ?? (() => 1),
    });
    this.table = new WorkerTable(
      {...parts, client: parts.workers, queue},
      {
        listSeen: (list, requestedAt, changed) =>
          this.listSeen(list, requestedAt, changed),
        workerLost: (workerId) => this.workerLost(workerId),
        isManaged: (gangId) => this.gangs.isManaged(gangId),
      },
    );
    this.gangs = new GangTable({...parts, queue}, this.jobs, this.table, {
      askRound: () => this.askRound(),
      wakeAt: (time) => this.wakeAt(time),
    });
    this.records = new RecordWatcher(parts, {
      recordSeen: (record) => this.recordSeen(record),
      tried: () => this.checkAdoption(),
    });
    scope.add(() => queue.clear());
    scope.add(() => clearTimeout(this.wakeTimer));
  }

  /** Starts the term. */
  start(): void {
    const {jobStore, scope} = this.parts;
    const listener: JobStoreListener = {
      overruled: (stored) => this.overruled(stored),
      stored: () => this.askRound(),
      storeAvailable: (available, unwritten) =>
        this.parts.listener.zoneEvent({kind: 'store', available, unwritten}),
    };
    jobStore.listen(listener);
    scope.add(() => jobStore.unlisten(listener));
    scope.every(this.parts.options.forgetIntervalMs, () => this.forget());
    void this.records.run();
  }

  configure(configuration: Configuration): void {
    this.parts.planner.configure(configuration);
    this.setPower(configuration.power);
    this.askRound();
  }

  /** Takes the complete list of the zone's workers. */
  setWorkers(vms: readonly WorkerVm[]): void {
    const first = !this.table.vmsKnown;
    this.table.setVms(vms);
    if (first) void this.boundAdoption();
    this.checkAdoption();
    this.askRound();
  }

  /**
   * Takes over an accepted job. A known job is left as it is, unless the
   * planner refuses it while it is still queued; it then fails.
   */
  submitJob(record: JobRecord): Result<void, CallError> {
    const known = this.jobs.get(record.jobId);
    if (known !== undefined && !known.queued) return Result.ok(undefined);
    const check = this.parts.planner.check(record);
    if (check.isOk && known === undefined) {
      void this.jobs.writeIfMissing(this.jobs.add(record));
      this.askRound();
    }
    if (check.isErr && known !== undefined) {
      this.endQueued(known, 'failed', check.error.message);
    }
    return check;
  }

  /** Asks for the end of a job; its gang is stopped without a checkpoint. */
  cancelJob(jobId: JobId): Result<JobReport, CallError> {
    const entry = this.jobs.get(jobId);
    if (entry === undefined) return this.job(jobId);
    if (!hasEnded(entry.record.state)) {
      entry.cancelAsked = true;
      entry.stopReason = 'cancelled by the caller';
      if (entry.runner === undefined) {
        this.endQueued(entry, 'cancelled', entry.stopReason);
      } else {
        entry.runner.stop('cancelled', 0);
      }
      this.askRound();
    }
    return this.job(jobId);
  }

  private endQueued(
    entry: JobEntry,
    state: 'cancelled' | 'failed',
    reason: string,
  ): void {
    this.jobs.leaveQueue(entry);
    const endedAt = this.parts.clock.now();
    this.jobs.change(entry, {state, reason, endedAt});
  }

  job(jobId: JobId): Result<JobReport, CallError> {
    const entry = this.jobs.get(jobId);
    if (entry !== undefined) return Result.ok(this.jobs.report(entry));
    return Result.err(
      new NotFoundError(
        `job ${jobId} is not known to the scheduler of zone ${this.parts.zone}`,
        'check the id and the zone, and ask again if the store was away',
      ),
    );
  }

  listJobs(): readonly JobReport[] {
    return this.jobs.all().map((entry) => this.jobs.report(entry));
  }

  /**
   * Stops placing, and waits until no gang is between two states and all
   * records are written, or until the signal is aborted.
   */
  async drain(signal: AbortSignal): Promise<void> {
    this.phase = 'draining';
    const pollMs = this.parts.options.firstRetryMs;
    while (!signal.aborted && !this.parts.scope.closed) {
      const {steady} = this.gangs;
      if (steady && this.parts.jobStore.unwrittenCount === 0) return;
      await this.parts.scope.sleep(pollMs);
    }
  }

  // Records of the store.

  private recordSeen(stored: JobRecord): void {
    const entry = this.jobs.get(stored.jobId);
    if (entry === undefined) {
      if (hasEnded(stored.state)) this.jobs.noteEnded(stored);
      else this.jobs.add(stored);
      this.askRound();
      return;
    }
    if (entry.provisional) {
      entry.provisional = false;
      entry.record = mergeRecords(stored, entry.record) ?? entry.record;
    }
    if (hasEnded(entry.record.state)) return;
    const newer = stored.sequence > entry.record.sequence;
    const isOthers = newer && entry.runner === undefined;
    if (hasEnded(stored.state) || isOthers) this.overruled(stored);
  }

  /** Another scheduler of the zone has written the job's record. */
  private overruled(stored: JobRecord): void {
    const entry = this.jobs.get(stored.jobId);
    if (entry === undefined) return;
    this.jobs.leaveQueue(entry);
    entry.record = stored;
    // Its gang may be on its way to the workers.
    if (stored.state === 'starting' || stored.state === 'running') {
      this.jobs.delay(entry, this.parts.options.gangSkewBoundMs);
    }
    const ended = hasEnded(stored.state);
    if (ended || entry.runner?.phase === 'starting') {
      entry.runner?.stop('cancelled', 0);
    }
    this.askRound();
  }

  // Adoption.

  private async boundAdoption(): Promise<void> {
    await this.parts.scope.sleep(this.parts.options.adoptionBoundMs);
    this.adoptionDue = true;
    this.checkAdoption();
  }

  private checkAdoption(): void {
    if (this.phase !== 'adopting' || this.parts.scope.closed) return;
    const complete = this.table.allRead && this.records.hasTried;
    if (!complete && !this.adoptionDue) return;
    this.phase = 'placing';
    this.parts.listener.zoneEvent({
      kind: 'placing',
      workersRead: this.table.readCount,
      workersUnread: this.table.unreadCount,
    });
    this.table.updatePlanner(this.parts.clock.now());
    this.gangs.considerFound(true);
    this.askRound();
  }

  // Workers.

  private listSeen(
    list: TaskList,
    requestedAt: Instant,
    changed: boolean,
  ): void {
    this.gangs.listSeen(list, requestedAt);
    // Most watches end without a change; a round reads the whole zone.
    if (!changed) return;
    this.checkAdoption();
    // A round takes about 5 ms at the target size, where about two watches
    // a second end without a change. Whatever depends on time sets a timer.
    if (changed) this.askRound();
  }

  private workerLost(workerId: VmId): void {
    this.gangs.workerLost(workerId);
    this.checkAdoption();
    this.askRound();
  }

  // Rounds.

  /** Asks for one round of decisions after all events at hand. */
  private askRound(): void {
    if (this.roundAsked || this.parts.scope.closed) return;
    this.roundAsked = true;
    setImmediate(() => {
      this.roundAsked = false;
      if (!this.parts.scope.closed && this.phase !== 'adopting') this.round();
    });
  }

  private round(): void {
    const now = this.parts.clock.now();
    // The planner has to know a worker before a gang on it is adopted.
    this.table.updatePlanner(now);
    this.gangs.considerFound(false);
    this.gangs.removeEndedTasks();
    this.gangs.leaveWorkers(now);
    this.table.updatePlanner(now);
    if (this.phase !== 'placing') return;
    this.saveFuel(now);
    for (const entry of this.jobs.all()) this.considerJob(entry, now);
    for (const action of this.parts.planner.plan(now)) this.carryOut(action);
    this.reportQuarantine(now);
    const next = this.parts.planner.nextDecisionAt(now);
    if (next !== undefined) this.wakeAt(next);
  }

  /** Queues a job that has no gang, once that is certain. */
  private considerJob(entry: JobEntry, now: Instant): void {
    const {record} = entry;
    if (entry.queued || entry.runner !== undefined) return;
    if (hasEnded(record.state)) return;
    if (this.gangs.hasStray(record.jobId)) return;
    if (entry.provisional && !this.records.hasRead) return;
    // Without the store's records, a queued job may have been started too.
    const mayRun =
      record.state === 'starting' ||
      record.state === 'running' ||
      !this.records.hasRead;
    if (mayRun && !this.table.allRead) return;
    if (entry.notBefore !== undefined && now < entry.notBefore) {
      this.wakeAt(entry.notBefore);
      return;
    }
    entry.lacksFuel = !this.power.mayStart({record, guaranteed: false}, now);
    if (entry.lacksFuel) this.jobs.delay(entry, PLAN_INTERVAL_MS);
    else this.jobs.enqueue(entry);
  }

  // Power.

  private setPower(power: PowerState): void {
    if (isDeepStrictEqual(power, this.powerState)) return;
    this.powerState = power;
    this.power.setPower(power);
    // Waiting jobs are considered anew with the fuel that is left.
    for (const entry of this.jobs.all()) {
      this.jobs.leaveQueue(entry);
      if (entry.lacksFuel) entry.notBefore = undefined;
    }
  }

  /** Sets jobs aside that the generator's fuel does not last for. */
  private saveFuel(now: Instant): void {
    const lists = this.table.lists();
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
    for (const jobId of this.power.jobsToPreempt(running, lists, now)) {
      const reason = 'set aside before the fuel ends';
      this.carryOut({kind: 'preempt', jobId, reason});
    }
    const next = this.power.nextPlanAt();
    if (next !== undefined) this.wakeAt(next);
  }

  private carryOut(action: PlanAction): void {
    if (action.kind === 'start') {
      this.gangs.start(action.placement);
      return;
    }
    const {jobId, reason} = action;
    const entry = this.jobs.get(jobId);
    if (entry?.runner === undefined) return;
    entry.stopReason = reason;
    this.parts.listener.zoneEvent({kind: 'preempted', jobId, reason});
    entry.runner.stop('setAside', this.parts.options.reclaimBoundMs);
  }

  /** Workers that the planner quarantines. */
  quarantinedWorkers(): readonly VmId[] {
    return [...this.quarantined];
  }

  private reportQuarantine(now: Instant): void {
    const before = this.quarantined;
    this.quarantined = new Set(this.parts.planner.quarantined(now));
    const {listener} = this.parts;
    for (const workerId of this.quarantined) {
      if (before.has(workerId)) continue;
      listener.zoneEvent({kind: 'quarantined', workerId});
    }
    for (const workerId of before) {
      if (this.quarantined.has(workerId)) continue;
      listener.zoneEvent({kind: 'quarantineEnded', workerId});
    }
  }

  private wakeAt(time: Instant): void {
    if (time >= this.wakeTime || this.parts.scope.closed) return;
    clearTimeout(this.wakeTimer);
    this.wakeTime = time;
    const waitMs = Math.max(1, time - this.parts.clock.now());
    this.wakeTimer = setTimeout(
      () => {
        this.wakeTime = Infinity;
        this.askRound();
      },
      Math.min(waitMs, LONGEST_TIMER_MS),
    );
  }

  private forget(): void {
    const now = this.parts.clock.now();
    this.jobs.forgetEnded(now);
    this.gangs.forgetEnded(now);
    void this.jobs.deleteOldRecords(now);
  }
}
