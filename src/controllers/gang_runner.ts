/**
 * Executes the gang protocol for one gang: sends its actions to the workers as
 * calls and feeds the results back into the state machine as events.
 */

import type PQueue from 'p-queue';
import type {Result} from 'true-myth';
import {Backoff} from '../lifecycle/backoff.js';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {Clock} from '../lifecycle/clock.js';
import type {RandomSource} from '../lifecycle/random.js';
import {hadNoEffect} from '../model/errors.js';
import type {CallError} from '../model/errors.js';
import type {GangId, Instant, TaskId, VmId} from '../model/ids.js';
import type {TaskList, TaskSpecification} from '../model/jobs.js';
import type {WorkerVm} from '../interfaces/vm_list.js';
import type {WorkerClient} from '../interfaces/worker_client.js';
import type {FoundGang} from '../scheduling/gang_adoption.js';
import {adoptGang, startGang, stepGang} from '../scheduling/gang_protocol.js';
import type {
  GangAction,
  GangEvent,
  GangPhase,
  GangState,
  GangStep,
} from '../scheduling/gang_state.js';
import type {GangEnd} from '../scheduling/zone_planner.js';
import type {ZoneControllerOptions} from './zone_options.js';

/** Calls that free capacity or complete a start precede new holds. */
const CALL_PRIORITY = {hold: 0, list: 1, checkpoint: 2, release: 3, remove: 3};

export interface GangRunnerListener {
  /** All members were released. */
  started(): void;
  /** All members have a checkpoint, in the order of the members. */
  checkpointed(checkpoints: readonly string[]): void;
  /** No member is held or running any more. */
  ended(end: GangEnd): void;
}

export interface GangRunnerDependencies {
  readonly client: WorkerClient;
  readonly queue: PQueue;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly options: ZoneControllerOptions;
  /** Undefined for a worker that is lost or unknown. */
  readonly worker: (workerId: VmId) => WorkerVm | undefined;
  readonly scope: CleanupScope;
}

function holdEventKind(result: Result<void, CallError>) {
  if (result.isOk) return 'holdAcknowledged';
  if (!hadNoEffect(result.error)) return 'holdUnclear';
  return result.error.kind === 'unavailable' ? 'holdFailed' : 'holdRefused';
}

export class GangRunner {
  private gang: GangState;
  private readonly backoffs = new Map<TaskId | VmId, Backoff>();

  constructor(
    readonly gangId: GangId,
    /** Needed only for a start; empty for an adopted gang. */
    private readonly tasks: readonly TaskSpecification[],
    private readonly dependencies: GangRunnerDependencies,
    private readonly listener: GangRunnerListener,
  ) {
    const members = tasks[0]?.members ?? [];
    this.gang = {
      phase: 'starting',
      maximumListReads: 0,
      listReads: [],
      members: members.map(({taskId, workerId}) => ({
        taskId,
        workerId,
        phase: 'off',
        since: dependencies.clock.now(),
      })),
    };
  }

  get phase(): GangPhase {
    return this.gang.phase;
  }

  /** True if a member is assigned to the worker, regardless of phase. */
  isOn(workerId: VmId): boolean {
    return this.gang.members.some((member) => member.workerId === workerId);
  }

  start(): void {
    const members = this.tasks[0]?.members ?? [];
    this.applyStep(startGang(members, this.dependencies.clock.now()));
  }

  adopt(found: FoundGang): void {
    this.applyStep(adoptGang(found, this.dependencies.clock.now()));
  }

  /** Handles a task list returned by the watch of a worker. */
  handleList(list: TaskList, requestedAt: Instant): void {
    const {workerId, tasks} = list;
    this.handle({
      kind: 'listRead',
      workerId,
      tasks,
      requestedAt,
      answersRead: false,
    });
  }

  workerLost(workerId: VmId): void {
    for (const member of this.gang.members) {
      if (member.workerId !== workerId) continue;
      this.handle({kind: 'memberLost', taskId: member.taskId});
    }
  }

  stop(end: 'setAside' | 'cancelled', checkpointMs: number): void {
    this.handle({kind: 'stopAsked', end, checkpointMs});
    const until = this.gang.checkpointDeadline;
    if (this.gang.phase !== 'checkpointing' || until === undefined) return;
    void this.waitForCheckpoints(until);
  }

  private async waitForCheckpoints(until: Instant): Promise<void> {
    // Timers may fire slightly early as measured by this clock.
    while (
      !this.dependencies.scope.closed &&
      this.dependencies.clock.now() < until
    ) {
      await this.dependencies.scope.sleep(
        until - this.dependencies.clock.now(),
      );
    }
    this.handle({kind: 'checkpointDue'});
  }

  private handle(event: GangEvent): void {
    if (this.dependencies.scope.closed) return;
    this.applyStep(stepGang(this.gang, event, this.dependencies.clock.now()));
  }

  private applyStep(step: GangStep): void {
    this.gang = step.gang;
    for (const action of step.actions) this.perform(action);
  }

  private perform(action: GangAction): void {
    switch (action.kind) {
      case 'started':
        this.listener.started();
        break;
      case 'checkpointed':
        this.listener.checkpointed(action.checkpoints);
        break;
      case 'ended':
        this.listener.ended(action.end);
        break;
      default:
        void this.enqueueCall(action);
    }
  }

  private async enqueueCall(
    action: Extract<GangAction, {taskId: TaskId} | {workerId: VmId}>,
  ): Promise<void> {
    if ('retry' in action && action.retry) {
      const key = 'taskId' in action ? action.taskId : action.workerId;
      await this.dependencies.scope.sleep(this.backoff(key).nextWaitMs());
    }
    if (this.dependencies.scope.closed) return;
    const priority = CALL_PRIORITY[action.kind];
    await this.dependencies.queue.add(
      async () => await this.executeCall(action),
      {
        priority,
      },
    );
  }

  private backoff(key: TaskId | VmId): Backoff {
    const {initialRetryDelayMs, maximumRetryDelayMs} =
      this.dependencies.options;
    const backoff =
      this.backoffs.get(key) ??
      new Backoff(
        this.dependencies.random,
        initialRetryDelayMs,
        maximumRetryDelayMs,
      );
    this.backoffs.set(key, backoff);
    return backoff;
  }

  /** Skips calls that were still queued when the term ended. */
  private async executeCall(
    action: Extract<GangAction, {taskId: TaskId} | {workerId: VmId}>,
  ): Promise<void> {
    if (this.dependencies.scope.closed) return;
    const workerId =
      action.kind === 'list' ? action.workerId : this.workerOf(action.taskId);
    const worker =
      workerId === undefined ? undefined : this.dependencies.worker(workerId);
    if (worker === undefined) {
      if (workerId !== undefined) this.workerLost(workerId);
      return;
    }
    switch (action.kind) {
      case 'hold':
        return await this.hold(worker, action.taskId);
      case 'list':
        return await this.list(worker);
      case 'release':
        return await this.release(worker, action.taskId);
      case 'remove':
        return await this.remove(worker, action.taskId);
      case 'checkpoint':
        return await this.checkpoint(worker, action.taskId, action.until);
    }
  }

  private workerOf(taskId: TaskId): VmId | undefined {
    return this.gang.members.find((member) => member.taskId === taskId)
      ?.workerId;
  }

  private async hold(worker: WorkerVm, taskId: TaskId): Promise<void> {
    const task = this.tasks.find((candidate) => candidate.taskId === taskId);
    // The gang may have been withdrawn while the call was queued.
    if (task === undefined || this.gang.phase !== 'starting') return;
    const result = await this.dependencies.client.hold(worker, task);
    this.handle({kind: holdEventKind(result), taskId});
  }

  private async list(worker: WorkerVm): Promise<void> {
    const requestedAt = this.dependencies.clock.now();
    const result = await this.dependencies.client.listTasks(worker);
    const workerId = worker.vmId;
    if (result.isErr || result.value.workerId !== workerId) {
      this.handle({kind: 'listFailed', workerId});
      return;
    }
    this.handle({
      kind: 'listRead',
      workerId,
      requestedAt,
      tasks: result.value.tasks,
      answersRead: true,
    });
  }

  private async release(worker: WorkerVm, taskId: TaskId): Promise<void> {
    // The gang may have been stopped while the call was queued.
    if (this.gang.phase !== 'releasing') return;
    const result = await this.dependencies.client.release(worker, taskId);
    if (result.isErr) this.handle({kind: 'releaseUnclear', taskId});
    else if (result.value) this.handle({kind: 'released', taskId});
    else this.handle({kind: 'releaseNotFound', taskId});
  }

  private async remove(worker: WorkerVm, taskId: TaskId): Promise<void> {
    const result = await this.dependencies.client.remove(worker, taskId);
    this.handle({kind: result.isOk ? 'removed' : 'removeUnclear', taskId});
  }

  private async checkpoint(
    worker: WorkerVm,
    taskId: TaskId,
    until: Instant,
  ): Promise<void> {
    const timeoutMs = Math.max(1, until - this.dependencies.clock.now());
    const result = await this.dependencies.client.checkpoint(
      worker,
      taskId,
      timeoutMs,
    );
    if (result.isErr) this.handle({kind: 'checkpointFailed', taskId});
    else this.handle({kind: 'checkpointed', taskId, checkpoint: result.value});
  }
}
