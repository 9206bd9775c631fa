/**
 * The gangs of a zone during one term as scheduler: those that this scheduler
 * starts and watches, those that it finds on the workers, and those that have
 * ended and may still show up in lists.
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
import type {WorkerClient} from '../parties/worker_client.js';
import type {FoundGang} from '../scheduling/gang_adoption.js';
import {findGangs, occupiesAccelerators} from '../scheduling/gang_adoption.js';
import type {
  GangEnd,
  GangPlacement,
  ZonePlanner,
} from '../scheduling/zone_planner.js';
import {GangRunner} from './gang_runner.js';
import type {GangRunnerParts} from './gang_runner.js';
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

/** How long late messages of an ended gang are recognised. */
const ENDED_GANG_MEMORY_MS = 600_000;

export interface GangTableParts {
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
  /** Something changed that decisions depend on. */
  askRound(): void;
  /** Decisions may change at this time without any event. */
  wakeAt(time: Instant): void;
}

export class GangTable {
  private readonly runners = new Map<GangId, GangRunner>();
  /** Gangs that are being taken off and are no job's present attempt. */
  private readonly strays = new Map<GangId, JobId>();
  private readonly endedGangs = new Map<GangId, Instant>();
  private readonly firstSeen = new Map<GangId, Instant>();
  private readonly removing = new Set<TaskId>();

  constructor(
    private readonly parts: GangTableParts,
    private readonly jobs: JobTable,
    private readonly table: WorkerTable,
    private readonly hooks: GangTableHooks,
  ) {}

  /** True if the gang is started, watched or stopped by this scheduler. */
  isManaged(gangId: GangId): boolean {
    return this.runners.has(gangId);
  }

  /** True while a gang of the job is taken off its workers. */
  hasStray(jobId: JobId): boolean {
    return [...this.strays.values()].includes(jobId);
  }

  /** True if no gang is being started or stopped. */
  get steady(): boolean {
    return [...this.runners.values()].every(
      (runner) => runner.phase === 'running',
    );
  }

  listSeen(list: TaskList, requestedAt: Instant): void {
    for (const runner of [...this.runners.values()]) {
      if (runner.isOn(list.workerId)) runner.listSeen(list, requestedAt);
    }
  }

  workerLost(workerId: VmId): void {
    for (const runner of [...this.runners.values()]) {
      runner.workerLost(workerId);
    }
  }

  /**
   * Adopts whole gangs that the lists show, and takes incomplete ones off: at
   * once after a takeover, and otherwise once another scheduler that may be
   * starting them has had its time.
   */
  considerFound(takeover: boolean): void {
    const found = findGangs(
      this.table.lists(),
      (workerId) => this.table.isUnread(workerId),
      (gangId) => this.runners.has(gangId),
    );
    for (const gang of found) this.considerGang(gang, takeover);
  }

  private considerGang(gang: FoundGang, takeover: boolean): void {
    const now = this.parts.clock.now();
    const entry = this.jobs.get(gang.jobId);
    const ended =
      this.endedGangs.has(gang.gangId) || this.jobs.hasEnded(gang.jobId);
    if (ended) {
      this.takeOff(gang);
      return;
    }
    if (gang.decision === 'wait') return;
    const whole = ['running', 'finishRelease', 'finished'];
    if (whole.includes(gang.decision)) {
      if (entry?.runner === undefined) this.adopt(gang, now);
      else this.resolveDuplicate(entry, entry.runner, gang);
      return;
    }
    const since = this.firstSeen.get(gang.gangId) ?? now;
    this.firstSeen.set(gang.gangId, since);
    const due = after(since, this.parts.options.gangSkewBoundMs);
    if (takeover || now >= due) this.takeOff(gang);
    else this.hooks.wakeAt(due);
  }

  private adopt(gang: FoundGang, now: Instant): void {
    const {jobId, gangId, decision} = gang;
    const entry = this.entryFor(gang, now);
    this.jobs.leaveQueue(entry);
    entry.planned = true;
    this.parts.planner.adopt(entry.record, adoptedGang(gang, now), now);
    this.parts.listener.zoneEvent({
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
    this.runnerFor(entry, gangId, []).adopt(gang);
  }

  private entryFor(gang: FoundGang, now: Instant): JobEntry {
    return (
      this.jobs.get(gang.jobId) ??
      this.jobs.add(recordFromTask(gang, this.parts.zone, now), true)
    );
  }

  /** Two gangs of one job: all schedulers keep the one with the lower id. */
  private resolveDuplicate(
    entry: JobEntry,
    runner: GangRunner,
    gang: FoundGang,
  ): void {
    if (runner.gangId < gang.gangId && runner.phase !== 'starting') {
      this.takeOff(gang);
      return;
    }
    entry.stopReason = 'another gang of the job runs already';
    runner.stop('cancelled', 0);
  }

  /** Takes a gang off that is not the present attempt of its job. */
  private takeOff(gang: FoundGang): void {
    const {gangId, jobId} = gang;
    const mayBeOn = gang.members.some(
      (member) =>
        member.status !== undefined && occupiesAccelerators(member.status),
    );
    const now = this.parts.clock.now();
    // An entry would queue a job again whose end only the store has told.
    const ended = this.endedGangs.has(gangId) || this.jobs.hasEnded(jobId);
    if (!ended) this.entryFor(gang, now);
    if (!mayBeOn) {
      this.endedGangs.set(gangId, now);
      return;
    }
    this.strays.set(gangId, jobId);
    this.parts.listener.zoneEvent({
      kind: 'adopted',
      jobId,
      gangId,
      decision: 'takenOff',
    });
    const runner = new GangRunner(gangId, [], this.runnerParts(), {
      started: () => undefined,
      checkpointed: () => undefined,
      ended: () => this.forgetRunner(gangId),
    });
    this.runners.set(gangId, runner);
    runner.adopt({...gang, decision: 'stop'});
  }

  private runnerParts(): GangRunnerParts {
    return {
      ...this.parts,
      client: this.parts.workers,
      worker: (workerId) => this.table.vm(workerId),
    };
  }

  private runnerFor(
    entry: JobEntry,
    gangId: GangId,
    tasks: readonly TaskSpecification[],
  ): GangRunner {
    const runner = new GangRunner(gangId, tasks, this.runnerParts(), {
      started: () => this.gangStarted(entry, tasks.length > 0),
      checkpointed: (checkpoints) => this.checkpointed(entry, checkpoints),
      ended: (end) => this.gangEnded(entry, gangId, end),
    });
    entry.runner = runner;
    this.runners.set(gangId, runner);
    return runner;
  }

  /** Starts a gang that the planner placed. */
  start(placement: GangPlacement): void {
    const {jobId} = placement;
    const entry = this.jobs.get(jobId);
    if (entry === undefined || entry.runner || hasEnded(entry.record.state)) {
      const end: GangEnd = {kind: 'withdrawn', suspectWorkers: []};
      this.parts.planner.gangEnded(jobId, end, this.parts.clock.now());
      return;
    }
    entry.queued = false;
    entry.planned = true;
    const {gangId, tasks} = gangTasks(entry.record, placement);
    const runner = this.runnerFor(entry, gangId, tasks);
    this.jobs.change(entry, {
      state: 'starting',
      reason: `placed on ${tasks.length} tasks`,
      gangId,
      attempts: entry.record.attempts + 1,
    });
    void this.startWhenRecorded(entry, runner);
  }

  /**
   * The record goes first, so that after a takeover a record that says
   * `queued` means that nothing was held; an outage does not stop starts.
   */
  private async startWhenRecorded(
    entry: JobEntry,
    runner: GangRunner,
  ): Promise<void> {
    const {jobStore, options, scope} = this.parts;
    const {jobId} = entry.record;
    const result = await jobStore.settled(jobId, options.recordWaitMs);
    if (scope.closed || entry.runner !== runner) return;
    if (result !== 'overruled') runner.start();
  }

  private gangStarted(entry: JobEntry, isNew: boolean): void {
    if (!isNew) return;
    const now = this.parts.clock.now();
    this.parts.planner.gangStarted(entry.record.jobId, now);
    entry.backoff.reset();
    this.jobs.change(entry, {
      state: 'running',
      reason: 'all tasks were released',
      startedAt: now,
    });
    this.hooks.askRound();
  }

  private checkpointed(entry: JobEntry, checkpoints: readonly string[]): void {
    this.jobs.change(entry, {checkpoint: joinCheckpoints(checkpoints)});
    const now = this.parts.clock.now();
    this.parts.planner.checkpointed(entry.record.jobId, now);
  }

  private gangEnded(entry: JobEntry, gangId: GangId, asked: GangEnd): void {
    const {jobId} = entry.record;
    const now = this.parts.clock.now();
    const end = effectiveEnd(entry, asked);
    const blamed =
      entry.planned && this.parts.planner.gangEnded(jobId, end, now);
    entry.planned = false;
    entry.runner = undefined;
    this.forgetRunner(gangId);
    this.parts.listener.zoneEvent({kind: 'gangEnded', jobId, gangId, end});
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
    const endedAt = this.parts.clock.now();
    const asked = end.kind === 'finished' ? undefined : entry.stopReason;
    const reason = asked ?? describeEnd(end);
    if (end.kind === 'finished' || end.kind === 'cancelled') {
      this.jobs.change(entry, {state: end.kind, reason, endedAt});
      return;
    }
    // Another scheduler has recorded an attempt of its own.
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

  private forgetRunner(gangId: GangId): void {
    this.runners.delete(gangId);
    this.strays.delete(gangId);
    this.firstSeen.delete(gangId);
    this.endedGangs.set(gangId, this.parts.clock.now());
    // The lists were read before the tasks were removed.
    this.table.dropTasks(
      (task) => task.gangId === gangId && occupiesAccelerators(task),
    );
    this.hooks.askRound();
  }

  /** Sets gangs aside whose worker has been leaving for long enough. */
  leaveWorkers(now: Instant): void {
    const {workerLeavingMs, reclaimBoundMs} = this.parts.options;
    for (const {workerId, since} of this.table.leaving()) {
      const due = after(since, workerLeavingMs);
      if (now < due) {
        this.hooks.wakeAt(due);
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

  /** Ended tasks are the proof of an end until the record is stored. */
  removeEndedTasks(): void {
    for (const list of this.table.lists()) {
      for (const task of list.tasks) {
        const isProof =
          this.runners.has(task.gangId) ||
          !this.endedGangs.has(task.gangId) ||
          !this.parts.jobStore.isStored(task.jobId);
        if (isProof || !hasEndedByItself(task)) continue;
        void this.removeTask(list.workerId, task.taskId);
      }
    }
  }

  private async removeTask(workerId: VmId, taskId: TaskId): Promise<void> {
    const vm = this.table.vm(workerId);
    if (vm === undefined || this.removing.has(taskId)) return;
    this.removing.add(taskId);
    const result = await this.parts.queue.add(
      async () => await this.parts.workers.remove(vm, taskId),
    );
    this.removing.delete(taskId);
    if (result.isOk) this.table.dropTasks((task) => task.taskId === taskId);
    else this.hooks.wakeAt(this.retryTime());
  }

  private retryTime(): Instant {
    return after(this.parts.clock.now(), this.parts.options.longestRetryMs);
  }

  /** Forgets gangs that ended long ago and that no list shows. */
  forgetEnded(now: Instant): void {
    const listed = new Set(
      this.table.lists().flatMap(({tasks}) => tasks.map((t) => t.gangId)),
    );
    for (const [gangId, endedAt] of this.endedGangs) {
      if (listed.has(gangId)) continue;
      if (now < after(endedAt, ENDED_GANG_MEMORY_MS)) continue;
      this.endedGangs.delete(gangId);
    }
  }
}

/** An end that nobody asked for as a cancellation leads to a new attempt. */
function effectiveEnd(entry: JobEntry, end: GangEnd): GangEnd {
  if (end.kind === 'finished') return end;
  if (entry.cancelAsked) return {kind: 'cancelled'};
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
