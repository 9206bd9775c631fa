/**
 * The leader's work during one term. A session restores the state that earlier
 * leaders recorded, watches for new jobs and workers, places tasks in
 * scheduling rounds, and records the end of every run durably before the worker
 * may discard it. The session ends as soon as another leader may exist.
 */

import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {Clock, SteadyTime} from '../lifecycle/clock.js';
import {SteadyClock, steadyNow} from '../lifecycle/clock.js';
import type {CustomerId, Instant, JobId, QueueId} from '../model/ids.js';
import type {HostedConfiguration} from '../model/queues.js';
import type {JobStateName} from '../model/submissions.js';
import type {StoredItem} from '../interfaces/coordination_store.js';
import type {RunEnding} from '../interfaces/task_worker.js';
import type {Authority} from './authority.js';
import {JobExplainer} from './explainer.js';
import {AdmissionTickets} from './planning/admissions.js';
import {CommitQueue} from './jobs/commit_queue.js';
import type {WorkerFate} from './losses/crash_history.js';
import {CrashMonitor} from './losses/crash_monitor.js';
import type {CrashCounts} from './losses/crash_monitor.js';
import {JobRegistry} from './jobs/job_registry.js';
import type {InboxSource} from './jobs/job_registry.js';
import type {Run} from './jobs/runs.js';
import {planRuns} from './jobs/planned_runs.js';
import {WorkLimit} from './jobs/work_limit.js';
import type {AdmissionVerdict} from './jobs/work_limit.js';
import type {Unit, Job} from './jobs/jobs.js';
import {createPreemptionPolicy} from './planning/preemption_policy.js';
import type {PreemptionPolicy} from './planning/preemption_policy.js';
import {planRound} from './planning/placement.js';
import type {Placement} from './planning/placement.js';
import type {PlanningView} from './planning/planning_view.js';
import {PaceController} from './workers/pacing.js';
import type {PaceChange} from './workers/pacing.js';
import {PrefixFollower} from './prefix_follower.js';
import {
  inboxSource,
  readProgress,
  workerSource,
} from './jobs/record_sources.js';
import {countWorkers, reportJob, summarizeJob} from './jobs/reports.js';
import type {
  EvacuationStatus,
  JobReport,
  JobSummary,
  WorkerCounts,
} from './jobs/reports.js';
import {RoundTimer} from './round_timer.js';
import {RunStatistics} from './jobs/run_statistics.js';
import {EvacuationTable} from './vms/evacuations.js';
import type {SessionDependencies, SessionSettings} from './session_options.js';
import {startVmManagement} from './vms/vm_management.js';
import {WorkerOutages} from './losses/worker_outages.js';
import type {WorkerLinkEvents} from './workers/worker_events.js';
import type {WorkerState} from './workers/worker_state.js';
import {sendPlannedStops} from './workers/planned_stops.js';
import type {SpeedCounts} from './workers/worker_speeds.js';
import {WorkerTable} from './workers/worker_table.js';

/** Attempts if neither the configuration nor the submission has a number. */
const DEFAULT_MAXIMUM_ATTEMPTS = 3;

/** Interval of the check for lapsed leases, drains and stalled runs. */
const TICK_MS = 200;

export class LeaderSession {
  private readonly registry: JobRegistry;
  private readonly clock: Clock;
  private readonly workerTable: WorkerTable;
  private readonly commitQueue: CommitQueue;
  private readonly admissions: AdmissionTickets;
  private readonly roundTimer: RoundTimer;
  private readonly preemption: PreemptionPolicy;
  readonly statistics: RunStatistics;
  private readonly paceController = new PaceController();
  private readonly outages: WorkerOutages;
  private readonly crashMonitor: CrashMonitor;
  private readonly evacuations: EvacuationTable;
  readonly explainer: JobExplainer;
  /** Units for which the last round found no free capacity. */
  private waitingUnits: readonly Unit[] = [];
  private isAdopted = false;

  constructor(
    private readonly dependencies: SessionDependencies,
    private readonly settings: SessionSettings,
    private readonly authority: Authority,
    private readonly configuration: () => HostedConfiguration | undefined,
    private readonly scope: CleanupScope,
  ) {
    const {store, log, evacuations} = dependencies;
    this.clock = new SteadyClock(dependencies.clock);
    this.preemption = createPreemptionPolicy(settings.preemption);
    this.statistics = new RunStatistics(settings, log);
    this.roundTimer = new RoundTimer(scope, () => this.runRound());
    this.registry = new JobRegistry(
      log,
      new WorkLimit(settings.maximumWorkBytes ?? Infinity),
    );
    this.explainer = new JobExplainer(this.registry, () => this.planningView());
    this.outages = new WorkerOutages(() => this.workerTable.listedCount);
    this.crashMonitor = new CrashMonitor(log, this.outages);
    this.commitQueue = new CommitQueue(store, authority.leaderRevision, scope, {
      leadershipLost: () =>
        authority.leadershipLost('another leader holds the key in the store'),
      delayed: (reason) => log.commitDelayed(reason),
    });
    this.admissions = new AdmissionTickets(
      dependencies.advisor,
      configuration,
      scope,
      () => this.scheduleRound(),
      log,
    );
    this.workerTable = new WorkerTable({
      client: dependencies.workers,
      authority,
      holdMaximumMs: settings.holdMaximumMs,
      prefersWarm: evacuations !== undefined,
      scope,
      log,
      events: this.workerEvents(),
    });
    this.evacuations = new EvacuationTable(evacuations, scope, log, (zones) => {
      this.workerTable.setEvacuatedZones(zones);
      this.scheduleRound();
    });
  }

  private workerEvents(): WorkerLinkEvents {
    return {
      workerSilent: (worker) => this.outages.record(worker, this.now()),
      runEnded: (run, ending, checkpoint) =>
        this.runEnded(run, ending, checkpoint),
      runLost: (run, reason) => this.runLost(run, reason),
      runsLostWithWorker: (worker, runs, fate) =>
        this.runsLostWithWorker(worker, runs, fate),
      runStarted: (run) => this.runStarted(run),
      paceChangesFor: (worker) => this.paceChangesFor(worker),
      whenDurable: (then) => this.commitQueue.afterPending(then),
      capacityChanged: () => this.scheduleRound(),
      now: () => this.now(),
      withholdStart: ({entry}) =>
        this.evacuations.withholdStart(entry.zone, steadyNow()),
      ticketFor: (run) => this.ticketFor(run),
      ticketRejected: (run) =>
        this.admissions.discardTicket(run.unit, run.workerId),
    };
  }

  /** True once the records of earlier leaders have been read. */
  get isReady(): boolean {
    return this.isAdopted;
  }

  get crashCounts(): CrashCounts {
    return this.crashMonitor.counts;
  }

  get openJobCount(): number {
    return this.registry.open.size;
  }

  /** Reads all records, then watches for changes until the scope closes. */
  async run(): Promise<void> {
    const startedAt = steadyNow();
    const {log} = this.dependencies;
    // All listings are read at the same time, as each may take long. Rounds
    // and starts wait for that of the evacuations by themselves.
    void this.evacuations.start();
    const {store, directory} = this.dependencies;
    const progressRead = readProgress(store, this.scope, log);
    const workersListed = new PrefixFollower(
      workerSource(directory),
      this.scope,
      (reason) => log.requestFailed('workers', reason),
    ).start(
      (entries) => {
        this.workerTable.replace(entries);
        this.scheduleRound();
      },
      (changes) => {
        this.workerTable.apply(changes);
        this.scheduleRound();
      },
    );
    // Submissions are processed with the progress records and the workers.
    const required = Promise.all([progressRead, workersListed]);
    let progress: Map<string, StoredItem> = new Map();
    void progressRead.then((records) => (progress = records));
    await new PrefixFollower(
      inboxSource(store, required),
      this.scope,
      (reason) => log.requestFailed('jobs', reason),
    ).start(
      (items) => this.processInbox(items, progress, 'listed'),
      (items) => this.processInbox(items, progress, 'watched'),
    );
    if (this.scope.closed) return;
    progress.clear();
    this.isAdopted = true;
    const tookMs = steadyNow() - startedAt;
    this.crashMonitor.adopt(this.registry.open);
    log.adopted(this.registry.size, this.workerTable.runCount, tookMs);
    this.scope.every(TICK_MS, () => this.tick());
    this.scheduleRound();
    await this.manageVms();
  }

  private async manageVms(): Promise<void> {
    const {workerVms} = this.dependencies;
    if (workerVms === undefined) return;
    await startVmManagement(
      workerVms,
      {
        ...this.dependencies,
        // Runs are dated by this clock.
        clock: this.clock,
        configuration: this.configuration,
        waiting: () => this.waitingUnits,
        evacuatedZones: () => this.evacuations.zones,
      },
      this.authority,
      this.workerTable,
      this.scope,
    );
  }

  stateOf(jobId: JobId): JobStateName | undefined {
    return this.isAdopted ? this.registry.stateOf(jobId) : undefined;
  }

  customerOf(jobId: JobId): CustomerId | undefined {
    return this.registry.get(jobId)?.customerId;
  }

  /** Undefined until the records of earlier leaders have been read. */
  admit(
    jobId: JobId,
    customerId: CustomerId | undefined,
    bytes: number,
    now: SteadyTime,
  ): AdmissionVerdict | undefined {
    if (!this.isAdopted) return undefined;
    return this.registry.work.admit(jobId, customerId, bytes, now);
  }

  /** Memory that all known jobs are counted with, in bytes. */
  get workBytes(): number {
    return this.registry.work.usedBytes;
  }

  pendingJobCount(queueId: QueueId): number {
    return this.registry.pendingJobCount(queueId);
  }

  /** Jobs that have not ended, in order of acceptance. */
  reportOpenJobs(): JobSummary[] {
    return [...this.registry.open].map(summarizeJob);
  }

  reportJob(jobId: JobId): JobReport | undefined {
    const job = this.registry.get(jobId);
    if (job === undefined) return undefined;
    const steady = steadyNow();
    return reportJob(job, {
      workers: this.workerTable.workers,
      configuration: this.configuration(),
      now: this.now(),
      steady,
      speeds: this.statistics.speeds,
      admits: (unit, worker) => this.admissions.admits(unit, worker, steady),
    });
  }

  /** Undefined if workers are chosen without regard to their speeds. */
  get speedCounts(): SpeedCounts | undefined {
    return this.statistics.speeds?.counts(this.workerTable.workers.values());
  }

  workerCounts(now: SteadyTime): WorkerCounts {
    return countWorkers(this.workerTable.workers.values(), now);
  }

  get evacuationStatus(): EvacuationStatus {
    return this.evacuations.status(this.workerTable.evacuatedRunCount);
  }

  get jobRegistry(): JobRegistry {
    return this.registry;
  }

  // Records.

  private processInbox(
    items: readonly StoredItem[],
    progress: ReadonlyMap<string, StoredItem>,
    source: InboxSource,
  ): void {
    const effects = this.registry.applyInboxItems(
      items,
      progress,
      source,
      this.now(),
    );
    for (const run of effects.placed) this.workerTable.adopt(run);
    for (const job of effects.unrecordedEnds) this.recordJobEnd(job);
    for (const job of effects.cancelled) this.handleJobEnd(job);
    this.scheduleRound();
  }

  // Runs.

  private runStarted(run: Run): void {
    this.statistics.runStarted(run, this.now());
    const {job} = run.unit;
    if (job.state === 'queued') job.state = 'running';
    if (run.step.longRunning === true && !run.isStartRecorded) {
      // Later leaders count the time at work from the recorded start.
      run.isStartRecorded = true;
      this.commitQueue.write(job);
    }
    if (job.isEnded || run.unit.isDone) this.workerTable.stop(run, 'jobEnded');
    else if (run.step.usesSpareProcessor === true) this.setInitialPace(run);
  }

  /**
   * Workers start every run at full speed. Slows the run immediately if it is
   * known to disturb other runs on its worker.
   */
  private setInitialPace(run: Run): void {
    const neighbours = this.workerTable.get(run.workerId)?.runs.values() ?? [];
    const percent = this.paceController.initialPercent(
      run,
      neighbours,
      steadyNow(),
    );
    if (percent < run.pacePercent) this.workerTable.setPace(run, percent);
  }

  private paceChangesFor(worker: WorkerState): readonly PaceChange[] {
    const {workerId, runs} = worker;
    const changes = this.paceController.decide(
      workerId,
      runs.values(),
      steadyNow(),
    );
    for (const change of changes) this.dependencies.log.paceChanged(change);
    return changes;
  }

  private runEnded(run: Run, ending: RunEnding, checkpoint: string): void {
    const worker = this.workerTable.get(run.workerId);
    worker?.remove(run);
    const {unit} = run;
    const {job} = unit;
    const wasEnded = job.isEnded;
    const now = this.now();
    const limit = this.maximumAttempts(job);
    const loss = this.statistics.runEnded(run, ending, worker, now);
    const failed = job.runEnded(run, ending, checkpoint, limit, now);
    this.crashMonitor.recordEnd(run, now);
    this.dependencies.log.runEnded(run, ending, unit.failures, loss);
    if (failed) {
      if (worker?.countFailure(job.id, steadyNow()) === true) {
        this.dependencies.log.quarantined(
          worker,
          'runs of different jobs failed',
        );
      }
    } else if (ending === 'done') {
      worker?.countSuccess();
      this.statistics.runDone(run, now);
    }
    this.handleRunEnd(run, wasEnded);
  }

  private runLost(run: Run, reason: string): void {
    const {job} = run.unit;
    const wasEnded = job.isEnded;
    this.dependencies.log.runLost(run, reason);
    const now = this.now();
    this.statistics.runLost(run, now);
    job.runEnded(run, 'lost', run.checkpoint, Infinity, now);
    this.crashMonitor.recordEnd(run, now);
    this.handleRunEnd(run, wasEnded);
  }

  private runsLostWithWorker(
    worker: WorkerState,
    runs: readonly Run[],
    fate: WorkerFate,
  ): void {
    const endedBefore = new Set(
      runs.map(({unit}) => unit.job).filter(({isEnded}) => isEnded),
    );
    const now = this.now();
    for (const run of runs) this.statistics.runLost(run, now);
    this.crashMonitor.recordLosses(worker, runs, fate, now);
    for (const run of runs) {
      const {job} = run.unit;
      this.handleRunEnd(run, endedBefore.has(job));
      if (job.isEnded) endedBefore.add(job);
    }
  }

  /** Looks up the fate of silent workers that runs were lost with. */
  private resolveFates(): void {
    const now = this.now();
    const changed = this.crashMonitor.resolveFates(
      (loss) => this.workerTable.fateOf(loss),
      now,
    );
    for (const job of changed) {
      if (job.isEnded) this.handleJobEnd(job);
      else this.commitQueue.write(job);
    }
  }

  /** Stops runs that are no longer needed and writes the job's record. */
  private handleRunEnd(run: Run, wasEnded: boolean): void {
    const {unit} = run;
    const {job} = unit;
    unit.readySince = undefined;
    if (!wasEnded && job.isEnded) {
      this.handleJobEnd(job);
    } else {
      // A gang cannot continue without the member that ended.
      if (!unit.isDone) this.workerTable.stopUnit(run);
      this.commitQueue.write(job, () => this.registry.archive(job));
    }
    this.scheduleRound();
  }

  private handleJobEnd(job: Job): void {
    this.registry.close(job);
    this.admissions.forgetJob(job.id);
    this.dependencies.log.jobEnded(job, this.now());
    for (const unit of job.openUnits) {
      for (const run of [...unit.runs]) this.workerTable.stop(run, 'jobEnded');
    }
    this.recordJobEnd(job);
  }

  private recordJobEnd(job: Job): void {
    this.commitQueue.write(job, () => this.registry.markEndDurable(job));
  }

  private ticketFor(run: Run): string | undefined {
    const worker = this.workerTable.get(run.workerId);
    if (worker === undefined) return undefined;
    return this.admissions.ticketFor(run.unit, worker, steadyNow());
  }

  private maximumAttempts(job: Job): number {
    // A new leader may have no configuration yet, or the queue may be dropped.
    const queue = this.configuration()?.queue(job.queueId);
    const {maximumAttempts = DEFAULT_MAXIMUM_ATTEMPTS} = job.submission;
    return queue?.maximumAttempts ?? maximumAttempts;
  }

  // Rounds.

  private tick(): void {
    this.workerTable.tick(steadyNow());
    this.statistics.observe(this.workerTable.workers.values(), this.now());
    this.resolveFates();
    if (this.registry.open.size > 0) this.scheduleRound();
  }

  private scheduleRound(): void {
    this.roundTimer.request();
  }

  private runRound(): void {
    const view = this.planningView();
    if (view === undefined) return;
    const {now, steady} = view;
    const plan = planRound(view);
    this.waitingUnits = plan.waiting;
    for (const unit of plan.waiting) {
      this.admissions.requestTickets(
        unit,
        this.workerTable.workers.values(),
        steady,
      );
    }
    sendPlannedStops(plan, this.workerTable, this.dependencies.log);
    for (const placement of plan.placements) this.place(placement, now);
    const {nextDueAt} = plan;
    this.roundTimer.requestAfter(
      nextDueAt === undefined ? undefined : nextDueAt - now,
    );
  }

  /** Returns undefined while nothing may be placed. */
  private planningView(): PlanningView | undefined {
    const configuration = this.configuration();
    const steady = steadyNow();
    if (!this.isAdopted || configuration === undefined) return undefined;
    if (!this.authority.mayAct(steady)) return undefined;
    if (!this.evacuations.isCurrent(steady)) return undefined;
    const now = this.now();
    return {
      jobs: this.registry.open,
      workers: this.workerTable.workers,
      configuration,
      runTimes: this.statistics.runTimes,
      speeds: this.statistics.speeds,
      preemption: this.preemption,
      now,
      steady,
      isCalm: this.outages.isCalm(now),
      interference:
        this.settings.keepsApart === true
          ? this.statistics.interference
          : undefined,
      admits: (unit, worker) => this.admissions.admits(unit, worker, steady),
    };
  }

  /** Records the placement. Starts are sent once the record is durable. */
  private place(placement: Placement, now: Instant): void {
    const {unit, workers} = placement;
    const runNumber = unit.nextRunNumber(this.authority.term);
    const runs = planRuns(placement, runNumber, now);
    this.dependencies.log.placed(unit, runNumber, workers, now);
    this.commitQueue.write(unit.job, () => this.sendStarts(runs));
  }

  private sendStarts(runs: readonly Run[]): void {
    for (const run of runs) {
      const isCurrent = run.unit.runs.includes(run);
      if (!isCurrent || run.phase !== 'planned') continue;
      if (run.unit.job.isEnded) this.workerTable.stop(run, 'jobEnded');
      else this.workerTable.start(run);
    }
  }

  private now(): Instant {
    return this.clock.now();
  }
}
