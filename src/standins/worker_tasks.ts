/**
 * Tasks of the stand-in for a worker. A task is simulated by a timer; its
 * payload states the actual run time and whether it fails. The accelerators of
 * tasks are not checked for conflicts.
 */

import {randomUUID} from 'node:crypto';
import {z} from 'zod';
import {NotFoundError, RefusedError} from '../model/errors.js';
import type {TaskId, VmId} from '../model/ids.js';
import {instant} from '../model/ids.js';
import type {
  TaskList,
  TaskSpecification,
  TaskState,
  TaskStatus,
} from '../model/jobs.js';
import type {RunLog, TaskEvent} from './run_log.js';
import {wait} from './standin_server.js';

export const DEFAULT_RUN_TIME_MS = 300;

const payloadSchema = z.object({
  /** Actual run time at full speed. */
  runTimeMs: z.number().min(0).default(DEFAULT_RUN_TIME_MS),
  /** Whether the task fails at the end of its run time. */
  fail: z.boolean().default(false),
});

/** Node.js timers with a longer delay fire immediately. */
const MAXIMUM_TIMER_MS = 2 ** 31 - 1;

const CHECKPOINT_PATTERN = /^checkpoint:[^:]+:(\d+(?:\.\d+)?)$/;

/** Settings that apply to all tasks of a worker. */
export interface WorkerBehaviour {
  /** Whether every task fails as soon as it is released. */
  readonly failTasks: boolean;
  /** Whether the worker reports that it is leaving and refuses new tasks. */
  readonly leaving: boolean;
  /** Time to write a checkpoint. */
  readonly checkpointMs: number;
  readonly idleWatts: number;
  readonly wattsPerAccelerator: number;
}

interface WorkerTask {
  readonly specification: TaskSpecification;
  readonly fails: boolean;
  /** Remaining run time at full speed as of `resumedAt`. */
  remainingMs: number;
  state: TaskState;
  /** Fraction of full speed, from 0 to 1. */
  share: number;
  /** In the time of `performance.now()`. */
  resumedAt: number;
  /** Milliseconds since the Unix epoch. */
  startedAt?: number;
  checkpoint?: string;
  reason?: string;
  timer?: NodeJS.Timeout;
}

export class WorkerTasks {
  private readonly tasks = new Map<TaskId, WorkerTask>();
  /** Ids that were held or removed. They cannot be held again. */
  private readonly usedIds = new Set<TaskId>();
  private version = 0;
  private readonly runId = randomUUID();

  /** `onChange` is called after each change of the task list. */
  constructor(
    private readonly workerId: VmId,
    private currentBehaviour: WorkerBehaviour,
    private readonly log: RunLog,
    private readonly onChange: () => void,
  ) {}

  get behaviour(): WorkerBehaviour {
    return this.currentBehaviour;
  }

  set behaviour(behaviour: WorkerBehaviour) {
    this.currentBehaviour = behaviour;
    this.incrementVersion();
  }

  /** Whether a task is held or running. */
  get hasActiveTasks(): boolean {
    return [...this.tasks.values()].some(isActive);
  }

  list(): TaskList {
    return {
      workerId: this.workerId,
      runId: this.runId,
      version: this.version,
      leaving: this.currentBehaviour.leaving,
      tasks: [...this.tasks.values()].map(statusOf),
      drawWatts: this.powerDrawWatts(),
    };
  }

  /** Throws a `RefusedError` if the id was used or the worker is leaving. */
  hold(specification: TaskSpecification): void {
    const {taskId} = specification;
    if (this.usedIds.has(taskId)) {
      throw new RefusedError(
        `task ${taskId} was held or removed before`,
        'use a fresh task id',
      );
    }
    if (this.currentBehaviour.leaving) {
      throw new RefusedError('the worker is leaving', 'use another worker');
    }
    const {runTimeMs, fail} = parsePayload(specification.payload);
    const task: WorkerTask = {
      specification,
      fails: fail,
      remainingMs: parseRemainingMs(specification.checkpoint) ?? runTimeMs,
      state: 'held',
      share: 1,
      resumedAt: performance.now(),
    };
    this.usedIds.add(taskId);
    this.tasks.set(taskId, task);
    this.record('held', task, specification.checkpoint);
    this.incrementVersion();
  }

  /** Starts a held task. Returns false if the worker does not have the id. */
  release(taskId: TaskId): boolean {
    const task = this.tasks.get(taskId);
    if (task?.state !== 'held') return task !== undefined;
    task.state = 'running';
    task.startedAt = Date.now();
    this.record('released', task, task.specification.checkpoint);
    this.incrementVersion();
    if (this.currentBehaviour.failTasks) {
      this.endTask(task, 'failed', 'the worker fails every task');
    } else {
      this.resumeTimer(task);
    }
    return true;
  }

  /** Sets the speed of a running task to `share` of full speed. */
  throttle(taskId: TaskId, share: number): void {
    const task = this.findTask(taskId);
    if (task.state !== 'running') throw notRunning(task);
    this.pauseTimer(task);
    task.share = share;
    this.record('throttled', task, undefined);
    this.resumeTimer(task);
  }

  /** Writes a checkpoint and returns it. The task keeps running meanwhile. */
  async checkpoint(taskId: TaskId): Promise<string> {
    const task = this.findTask(taskId);
    if (task.state !== 'running') throw notRunning(task);
    const checkpoint = `checkpoint:${taskId}:${remainingMsOf(task)}`;
    await wait(this.currentBehaviour.checkpointMs);
    if (task.state !== 'running') throw notRunning(task);
    task.checkpoint = checkpoint;
    this.record('checkpointed', task, checkpoint);
    this.incrementVersion();
    return checkpoint;
  }

  /**
   * Stops the task and removes it from the list. An unknown id is recorded, so
   * that a hold that arrives later is refused.
   */
  remove(taskId: TaskId): void {
    this.usedIds.add(taskId);
    const task = this.tasks.get(taskId);
    if (task === undefined) return;
    this.pauseTimer(task);
    this.tasks.delete(taskId);
    // A pending checkpoint call must not find the task running.
    if (isActive(task)) task.state = 'failed';
    this.record('removed', task, undefined);
    this.incrementVersion();
  }

  /** Checkpoints the running tasks, then stops all held and running tasks. */
  async handleLeaseLapse(): Promise<void> {
    const active = [...this.tasks.values()].filter(isActive);
    await Promise.all(active.map((task) => this.stopForLapsedLease(task)));
  }

  /** Stops all timers. */
  close(): void {
    for (const task of this.tasks.values()) clearTimeout(task.timer);
  }

  private async stopForLapsedLease(task: WorkerTask): Promise<void> {
    if (task.state === 'running') {
      // The checkpoint fails if the task ends or is removed meanwhile.
      await this.checkpoint(task.specification.taskId).catch(() => undefined);
    }
    if (!isActive(task)) return;
    this.pauseTimer(task);
    task.state = 'failed';
    task.reason = 'the lease lapsed';
    this.record('leaseLapsed', task, task.checkpoint);
    this.incrementVersion();
  }

  private findTask(taskId: TaskId): WorkerTask {
    const task = this.tasks.get(taskId);
    if (task !== undefined) return task;
    throw new NotFoundError(
      `task ${taskId} is not on worker ${this.workerId}`,
      'read the task list',
    );
  }

  private resumeTimer(task: WorkerTask): void {
    task.resumedAt = performance.now();
    if (task.share === 0) return;
    const endsInMs = task.remainingMs / task.share;
    if (endsInMs > MAXIMUM_TIMER_MS) return;
    task.timer = setTimeout(() => {
      if (task.fails) this.endTask(task, 'failed', 'the payload fails');
      else this.endTask(task, 'finished', undefined);
    }, endsInMs);
  }

  private pauseTimer(task: WorkerTask): void {
    clearTimeout(task.timer);
    task.remainingMs = remainingMsOf(task);
    task.resumedAt = performance.now();
  }

  private endTask(
    task: WorkerTask,
    state: 'finished' | 'failed',
    reason: string | undefined,
  ): void {
    task.state = state;
    if (reason !== undefined) task.reason = reason;
    this.record(state, task, undefined);
    this.incrementVersion();
  }

  private powerDrawWatts(): number {
    const {idleWatts, wattsPerAccelerator} = this.currentBehaviour;
    const activeAccelerators = [...this.tasks.values()]
      .filter((task) => task.state === 'running')
      .map((task) => task.specification.accelerators.length * task.share);
    const totalActive = activeAccelerators.reduce(
      (sum, accelerators) => sum + accelerators,
      0,
    );
    return idleWatts + totalActive * wattsPerAccelerator;
  }

  private record(
    event: TaskEvent['event'],
    task: WorkerTask,
    checkpoint: string | undefined,
  ): void {
    const {taskId, gangId, jobId, members, accelerators} = task.specification;
    this.log.record({
      event,
      at: Date.now(),
      workerId: this.workerId,
      taskId,
      gangId,
      gangSize: members.length,
      jobId,
      accelerators,
      ...(checkpoint === undefined ? {} : {checkpoint}),
      ...(event === 'throttled' ? {share: task.share} : {}),
    });
  }

  private incrementVersion(): void {
    this.version += 1;
    this.onChange();
  }
}

function isActive(task: WorkerTask): boolean {
  return task.state === 'held' || task.state === 'running';
}

function remainingMsOf(task: WorkerTask): number {
  if (task.state !== 'running') return task.remainingMs;
  const elapsedMs = performance.now() - task.resumedAt;
  return Math.max(0, Math.round(task.remainingMs - elapsedMs * task.share));
}

function statusOf(task: WorkerTask): TaskStatus {
  const checkpoint = task.checkpoint ?? task.specification.checkpoint;
  return {
    ...task.specification,
    state: task.state,
    ...(checkpoint === undefined ? {} : {checkpoint}),
    ...(task.startedAt === undefined
      ? {}
      : {startedAt: instant(task.startedAt)}),
    ...(task.reason === undefined ? {} : {reason: task.reason}),
  };
}

function notRunning(task: WorkerTask): RefusedError {
  return new RefusedError(
    `task ${task.specification.taskId} is ${task.state}, not running`,
    'read the task list',
  );
}

/** Any other payload yields a task with the default run time. */
function parsePayload(payload: string): z.infer<typeof payloadSchema> {
  try {
    const parsed = payloadSchema.safeParse(JSON.parse(payload));
    if (parsed.success) return parsed.data;
  } catch {
    // Not JSON.
  }
  return payloadSchema.parse({});
}

function parseRemainingMs(checkpoint: string | undefined): number | undefined {
  const match = CHECKPOINT_PATTERN.exec(checkpoint ?? '');
  return match?.[1] === undefined ? undefined : Number(match[1]);
}
