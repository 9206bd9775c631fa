/**
 * The gangs of a zone during one term as scheduler: those that this scheduler
 * starts and monitors, those that it finds on the workers, and ended gangs that
 * delayed task lists may still contain.
 */

import type PQueue from 'p-queue';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {Clock} from '../lifecycle/clock.js';
import type {RandomSource} from '../lifecycle/random.js';
import {after} from '../model/ids.js';
import type {
  AvailabilityZone,
  GangId,
  Instant,
  JobId,
  TaskId,
  VmId,
} from '../model/ids.js';
import type {TaskList, TaskSpecification} from '../model/jobs.js';
import {hasEnded} from '../model/jobs.js';
import type {WorkerClient} from '../interfaces/worker_client.js';
import type {FoundGang} from '../scheduling/gang_adoption.js';
import {findGangs, occupiesAccelerators} from '../scheduling/gang_adoption.js';
import type {
  GangEnd,
  GangPlacement,
  ZonePlanner,
} from '../scheduling/zone_planner.js';
import {GangRunner} from './gang_runner.js';
import type {GangRunnerDependencies} from './gang_runner.js';
import type {JobStore} from './job_store.js';
import type {JobEntry, JobTable} from './job_table.js';
import type {WorkerTable} from './worker_table.js';
import {
  adoptedGang,
  gangTasks,
  hasEndedByItself,
  joinCheckpoints,
  recordFromTask,
} from './zone_jobs.js';
import type {ZoneControllerOptions, ZoneListener} from './zone_options.js';

/** How long the tasks of an ended gang are still recognised in late lists. */
const ENDED_GANG_RETENTION_MS = 600_000;

export interface GangTableDependencies {
  readonly zone: AvailabilityZone;
  readonly planner: ZonePlanner;
  readonly workers: WorkerClient;
  readonly queue: PQueue;
  readonly jobStore: JobStore;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly listener: ZoneListener;
  readonly options: ZoneControllerOptions;
  readonly scope: CleanupScope;
}

export interface GangTableHooks {
  /** Requests a scheduling round after a change that affects decisions. */
  scheduleRound(): void;
  /** Requests a round at a time at which decisions change without an event. */
  scheduleRoundAt(time: Instant): void;
}

export class GangTable {
  private readonly runners = new Map<GangId, GangRunner>();
  /** Gangs being removed that are not the current attempt of their job. */
  private readonly gangsBeingRemoved = new Map<GangId, JobId>();
  private readonly endedGangs = new Map<GangId, Instant>();
  private readonly firstSeenAt = new Map<GangId, Instant>();
  private readonly tasksBeingRemoved = new Set<TaskId>();
  /** Jobs of gangs that cannot be judged before all their workers are read. */
  private readonly undecidedJobs = new Set<JobId>();

  constructor(
    private readonly dependencies: GangTableDependencies,
    private readonly jobs: JobTable,
    private readonly workerTable: WorkerTable,
    private readonly hooks: GangTableHooks,
  ) {}

  /** True if this scheduler is starting, monitoring or stopping the gang. */
  isManaged(gangId: GangId): boolean {
    return this.runners.has(gangId);
  }

  /** True while a gang that is not the job's current attempt is removed. */
  hasGangBeingRemoved(jobId: JobId): boolean {
    return [...this.gangsBeingRemoved.values()].includes(jobId);
  }

  /** True while a gang of the job was seen and a worker of it is unread. */
  hasUndecidedGang(jobId: JobId): boolean {
    return this.undecidedJobs.has(jobId);
  }

  /** True if every gang is running, none being started or stopped. */
  get isStable(): boolean {
    return [...this.runners.values()].every(
      (runner) => runner.phase === 'running',
    );
  }

  handleList(list: TaskList, requestedAt: Instant): void {
    for (const runner of [...this.runners.values()]) {
      if (runner.isOn(list.workerId)) runner.handleList(list, requestedAt);
    }
  }

  workerLost(workerId: VmId): void {
    for (const runner of [...this.runners.values()]) {
      runner.workerLost(workerId);
    }
  }

  /**
   * Adopts complete gangs found in the task lists and removes incomplete ones:
   * immediately after a takeover, otherwise after `gangSkewBoundMs`, since
   * another scheduler may still be starting them.
   */
  reconcileFoundGangs(takeover: boolean): void {
    const found = findGangs(
      this.workerTable.lists(),
      (workerId) => this.workerTable.isUnread(workerId),
      (gangId) => this.runners.has(gangId),
    );
    this.undecidedJobs.clear();
    for (const gang of found) this.reconcileGang(gang, takeover);
  }

  private reconcileGang(gang: FoundGang, takeover: boolean): void {
    const now = this.dependencies.clock.now();
    const entry = this.jobs.get(gang.jobId);
    const ended =
      this.endedGangs.has(gang.gangId) || this.jobs.hasEnded(gang.jobId);
    if (ended) {
      this.removeGang(gang);
      return;
    }
    if (gang.decision === 'wait') {
      this.undecidedJobs.add(gang.jobId);
      if (entry !== undefined) this.jobs.dequeue(entry);
      return;
    }
    const completeDecisions = ['running', 'finishRelease', 'finished'];
    if (completeDecisions.includes(gang.decision)) {
      if (entry?.runner === undefined) this.adopt(gang, now);
      else this.resolveDuplicate(entry, entry.runner, gang);
      return;
    }
    const since = this.firstSeenAt.get(gang.gangId) ?? now;
    this.firstSeenAt.set(gang.gangId, since);
    const due = after(since, this.dependencies.options.gangSkewBoundMs);
    if (takeover || now >= due) this.removeGang(gang);
    else this.hooks.scheduleRoundAt(due);
  }

  private adopt(gang: FoundGang, now: Instant): void {
    const {jobId, gangId, decision} = gang;
    const entry = this.getOrCreateEntry(gang, now);
    this.jobs.dequeue(entry);
    entry.planned = true;
    this.dependencies.planner.adopt(entry.record, adoptedGang(gang, now), now);
    this.dependencies.listener.zoneEvent({
      kind: 'adopted',
      jobId,
      gangId,
      decision: decision === 'running' ? 'running' : 'releaseFinished',
    });
    const known = entry.record;
    if (known.state !== 'running' || known.gangId !== gangId) {
      const reason = 'found running on its workers';
      this.jobs.change(entry, {state: 'running', reason, gangId});
    }
    this.createRunner(entry, gangId, []).adopt(gang);
  }

  private getOrCreateEntry(gang: FoundGang, now: Instant): JobEntry {
    return (
      this.jobs.get(gang.jobId) ??
      this.jobs.add(recordFromTask(gang, this.dependencies.zone, now), true)
    );
  }

  /**
   * Of two gangs of one job, all schedulers keep the one with the lower id, so
   * that they agree without communicating.
   */
  private resolveDuplicate(
    entry: JobEntry,
    runner: GangRunner,
    gang: FoundGang,
  ): void {
    if (runner.gangId < gang.gangId && runner.phase !== 'starting') {
      this.removeGang(gang);
      return;
    }
    entry.stopReason = 'another gang of the job runs already';
    runner.stop('cancelled', 0);
  }

  /** Removes a gang that is not the current attempt of its job. */
  private removeGang(gang: FoundGang): void {
    const {gangId, jobId} = gang;
    const mayOccupyWorkers = gang.members.some(
      (member) =>
        member.status !== undefined && occupiesAccelerators(member.status),
    );
    const now = this.dependencies.clock.now();
    // An entry would requeue a job whose end is known only from the store.
    const ended = this.endedGangs.has(gangId) || this.jobs.hasEnded(jobId);
    if (!ended) this.getOrCreateEntry(gang, now);
    if (!mayOccupyWorkers) {
      this.endedGangs.set(gangId, now);
      return;
    }
    this.gangsBeingRemoved.set(gangId, jobId);
    this.dependencies.listener.zoneEvent({
      kind: 'adopted',
      jobId,
      gangId,
      decision: 'takenOff',
    });
    const runner = new GangRunner(gangId, [], this.runnerDependencies(), {
      started: () => undefined,
      checkpointed: () => undefined,
      ended: () => this.removeRunner(gangId),
    });
    this.runners.set(gangId, runner);
    runner.adopt({...gang, decision: 'stop'});
  }

  private runnerDependencies(): GangRunnerDependencies {
    return {
      ...this.dependencies,
      client: this.dependencies.workers,
      worker: (workerId) => this.workerTable.vm(workerId),
    };
  }

  private createRunner(
    entry: JobEntry,
    gangId: GangId,
    tasks: readonly TaskSpecification[],
  ): GangRunner {
    const runner = new GangRunner(gangId, tasks, this.runnerDependencies(), {
      started: () => this.handleGangStarted(entry, tasks.length > 0),
      checkpointed: (checkpoints) => this.handleCheckpoints(entry, checkpoints),
      ended: (end) => this.handleGangEnd(entry, gangId, end),
    });
    entry.runner = runner;
    this.runners.set(gangId, runner);
    return runner;
  }

  /** Starts a gang as placed by the planner. */
  start(placement: GangPlacement): void {
    const {jobId} = placement;
    const entry = this.jobs.get(jobId);
    if (entry === undefined || entry.runner || hasEnded(entry.record.state)) {
      const end: GangEnd = {kind: 'withdrawn', suspectWorkers: []};
      this.dependencies.planner.gangEnded(
        jobId,
        end,
        this.dependencies.clock.now(),
      );
      return;
    }
    entry.queued = false;
    entry.planned = true;
    const {gangId, tasks} = gangTasks(entry.record, placement);
    const runner = this.createRunner(entry, gangId, tasks);
    this.jobs.change(entry, {
      state: 'starting',
      reason: `placed on ${tasks.length} tasks`,
      gangId,
      attempts: entry.record.attempts + 1,
    });
    void this.startWhenRecorded(entry, runner);
  }

  /**
   * Writes the record before holding anything, so that after a takeover a
   * `queued` record implies that no task was held. Starts anyway if the write
   * takes longer than `recordWriteTimeoutMs`, so that a store outage does not
   * block starts.
   */
  private async startWhenRecorded(
    entry: JobEntry,
    runner: GangRunner,
  ): Promise<void> {
    const {jobStore, options, scope} = this.dependencies;
    const {jobId} = entry.record;
    const result = await jobStore.waitForWrite(
      jobId,
      options.recordWriteTimeoutMs,
    );
    if (scope.closed || entry.runner !== runner) return;
    if (result !== 'overruled') runner.start();
  }

  private handleGangStarted(entry: JobEntry, isNew: boolean): void {
    if (!isNew) return;
    const now = this.dependencies.clock.now();
    this.dependencies.planner.gangStarted(entry.record.jobId, now);
    entry.backoff.reset();
    this.jobs.change(entry, {
      state: 'running',
      reason: 'all tasks were released',
      startedAt: now,
    });
    this.hooks.scheduleRound();
  }

  private handleCheckpoints(
    entry: JobEntry,
    checkpoints: readonly string[],
  ): void {
    this.jobs.change(entry, {checkpoint: joinCheckpoints(checkpoints)});
    const now = this.dependencies.clock.now();
    this.dependencies.planner.checkpointed(entry.record.jobId, now);
  }

  private handleGangEnd(
    entry: JobEntry,
    gangId: GangId,
    reportedEnd: GangEnd,
  ): void {
    const {jobId} = entry.record;
    const now = this.dependencies.clock.now();
    const end = effectiveEnd(entry, reportedEnd);
    const blamed =
      entry.planned && this.dependencies.planner.gangEnded(jobId, end, now);
    entry.planned = false;
    entry.runner = undefined;
    this.removeRunner(gangId);
    this.dependencies.listener.zoneEvent({
      kind: 'gangEnded',
      jobId,
      gangId,
      end,
    });
    if (!hasEnded(entry.record.state)) {
      this.recordEnd(entry, gangId, end, blamed);
    }
    entry.stopReason = undefined;
  }

  private recordEnd(
    entry: JobEntry,
    gangId: GangId,
    end: GangEnd,
    blamed: boolean,
  ): void {
    const endedAt = this.dependencies.clock.now();
    const stopReason = end.kind === 'finished' ? undefined : entry.stopReason;
    const reason = stopReason ?? describeEnd(end);
    if (end.kind === 'finished' || end.kind === 'cancelled') {
      this.jobs.change(entry, {state: end.kind, reason, endedAt});
      return;
    }
    // Another scheduler has recorded a newer attempt of the job.
    if (entry.record.gangId !== gangId) return;
    if (blamed) {
      this.jobs.change(entry, {state: 'failed', reason, endedAt});
      return;
    }
    const state = end.kind === 'setAside' ? 'setAside' : 'queued';
    this.jobs.change(entry, {state, reason});
    if (end.kind !== 'withdrawn') return;
    this.jobs.delay(entry, entry.backoff.nextWaitMs());
  }

  private removeRunner(gangId: GangId): void {
    this.runners.delete(gangId);
    this.gangsBeingRemoved.delete(gangId);
    this.firstSeenAt.delete(gangId);
    this.endedGangs.set(gangId, this.dependencies.clock.now());
    // The cached lists still contain the tasks that were removed since.
    this.workerTable.dropTasks(
      (task) => task.gangId === gangId && occupiesAccelerators(task),
    );
    this.hooks.scheduleRound();
  }

  /** Preempts gangs whose worker has been leaving for the grace period. */
  preemptOnLeavingWorkers(now: Instant): void {
    const {leavingGracePeriodMs, reclaimBoundMs} = this.dependencies.options;
    for (const {workerId, since} of this.workerTable.leavingWorkers()) {
      const due = after(since, leavingGracePeriodMs);
      if (now < due) {
        this.hooks.scheduleRoundAt(due);
        continue;
      }
      for (const entry of this.jobs.all()) {
        const {runner} = entry;
        if (runner?.phase !== 'running') continue;
        if (!runner.isOn(workerId)) continue;
        entry.stopReason = `worker ${workerId} is leaving`;
        runner.stop('setAside', reclaimBoundMs);
      }
    }
  }

  /**
   * Removes ended tasks from their workers once the job's record is stored.
   * Until then they are the only evidence of the end.
   */
  removeEndedTasks(): void {
    for (const list of this.workerTable.lists()) {
      for (const task of list.tasks) {
        const isEvidence =
          this.runners.has(task.gangId) ||
          !this.endedGangs.has(task.gangId) ||
          !this.dependencies.jobStore.isStored(task.jobId);
        if (isEvidence || !hasEndedByItself(task)) continue;
        void this.removeTask(list.workerId, task.taskId);
      }
    }
  }

  private async removeTask(workerId: VmId, taskId: TaskId): Promise<void> {
    const vm = this.workerTable.vm(workerId);
    if (vm === undefined || this.tasksBeingRemoved.has(taskId)) return;
    this.tasksBeingRemoved.add(taskId);
    const result = await this.dependencies.queue.add(
      async () => await this.dependencies.workers.remove(vm, taskId),
    );
    this.tasksBeingRemoved.delete(taskId);
    if (result.isOk) this.workerTable.dropTasks((t) => t.taskId === taskId);
    else this.hooks.scheduleRoundAt(this.retryTime());
  }

  private retryTime(): Instant {
    return after(
      this.dependencies.clock.now(),
      this.dependencies.options.maximumRetryDelayMs,
    );
  }

  /** Drops gangs whose retention time has passed and that no list contains. */
  evictEnded(now: Instant): void {
    const listed = new Set(
      this.workerTable.lists().flatMap(({tasks}) => tasks.map((t) => t.gangId)),
    );
    for (const [gangId, endedAt] of this.endedGangs) {
      if (listed.has(gangId)) continue;
      if (now < after(endedAt, ENDED_GANG_RETENTION_MS)) continue;
      this.endedGangs.delete(gangId);
    }
  }
}

/**
 * Any end except `finished` counts as cancelled if the caller cancelled the
 * job. Without such a request, a cancelled gang counts as lost, which leads to a
 * new attempt.
 */
function effectiveEnd(entry: JobEntry, end: GangEnd): GangEnd {
  if (end.kind === 'finished') return end;
  if (entry.cancelRequested) return {kind: 'cancelled'};
  return end.kind === 'cancelled' ? {kind: 'lost'} : end;
}

function describeEnd(end: GangEnd): string {
  switch (end.kind) {
    case 'finished':
      return 'all tasks finished';
    case 'withdrawn':
      return 'the start was withdrawn before any task ran';
    case 'setAside':
      return 'the gang was checkpointed and stopped';
    case 'failed':
      return `a task failed on worker ${end.workerId}`;
    case 'lost':
      return 'a task or its worker was lost';
    case 'cancelled':
      return 'the gang was stopped on request';
  }
}
