/**
 * In-memory workers and store with injectable faults, for tests of the zone
 * controller.
 */

import {setTimeout as delay} from 'node:timers/promises';
import {Result} from 'true-myth';
import {
  ConflictError,
  RefusedError,
  TimeoutError,
  UnavailableError,
  UnknownEffectError,
} from '../src/model/errors.js';
import type {CallError} from '../src/model/errors.js';
import {instant, trustedId} from '../src/model/ids.js';
import type {JobId, TaskId, VmId} from '../src/model/ids.js';
import type {
  JobRecord,
  TaskList,
  TaskSpecification,
  TaskState,
  TaskStatus,
} from '../src/model/jobs.js';
import {KeyValueStore} from '../src/interfaces/key_value_store.js';
import type {StoreEntry} from '../src/interfaces/key_value_store.js';
import type {WorkerVm} from '../src/interfaces/vm_list.js';
import {WorkerClient} from '../src/interfaces/worker_client.js';

const REMEDY = 'injected by the test';
const WAIT_LIMIT_MS = 20_000;

export const ZONE = trustedId<JobRecord['availabilityZone']>('zone-1');

/** Waits for a condition; reaching the limit fails the test. */
export async function waitUntil(
  description: string,
  condition: () => boolean,
): Promise<void> {
  const limit = Date.now() + WAIT_LIMIT_MS;
  while (!condition()) {
    if (Date.now() > limit) throw new Error(`timed out: ${description}`);
    await delay(1);
  }
}

/** Outcome of a call; undefined for success. */
export type Fault =
  'requestLost' | 'answerLost' | 'refused' | 'silent' | undefined;

type WorkerCall =
  'hold' | 'release' | 'checkpoint' | 'remove' | 'list' | 'watch';

interface FakeWorker {
  readonly tasks: Map<TaskId, TaskStatus>;
  readonly refused: Set<TaskId>;
  version: number;
  leaving: boolean;
  readonly waiters: Set<() => void>;
}

export class FakeWorkers extends WorkerClient {
  /** Chooses the fault of each call, before the call takes effect. */
  fault: (call: WorkerCall, workerId: VmId, taskId?: TaskId) => Fault = () =>
    undefined;
  readonly violations: string[] = [];
  /** Jobs that had two gangs running at the same time. */
  readonly duplicateRuns: JobId[] = [];
  /** Tasks that a release started, in order. */
  readonly releases: TaskId[] = [];
  readonly removals: TaskId[] = [];
  /** Calls made that have not taken effect yet. */
  callsInProgress = 0;
  private readonly workers = new Map<VmId, FakeWorker>();

  worker(workerId: VmId): FakeWorker {
    const known = this.workers.get(workerId);
    if (known !== undefined) return known;
    const worker: FakeWorker = {
      tasks: new Map(),
      refused: new Set(),
      version: 0,
      leaving: false,
      waiters: new Set(),
    };
    this.workers.set(workerId, worker);
    return worker;
  }

  /** All tasks of a job on all workers. */
  tasksOf(jobId: JobId): readonly TaskStatus[] {
    return [...this.workers.values()]
      .flatMap((worker) => [...worker.tasks.values()])
      .filter((task) => task.jobId === jobId);
  }

  isRunning(jobId: JobId, tasks: number): boolean {
    const found = this.tasksOf(jobId);
    return (
      found.length === tasks && found.every((task) => task.state === 'running')
    );
  }

  /** Puts a task on a worker as an earlier scheduler would have left it. */
  placeTask(workerId: VmId, task: TaskSpecification, state: TaskState): void {
    this.worker(workerId).refused.add(task.taskId);
    this.setTask(workerId, {...task, state});
  }

  /** Ends tasks of the job as if they had finished or failed by themselves. */
  endTasks(jobId: JobId, state: 'finished' | 'failed', count = Infinity): void {
    let remaining = count;
    for (const [workerId, worker] of this.workers) {
      for (const task of worker.tasks.values()) {
        if (task.jobId !== jobId || remaining === 0) continue;
        remaining -= 1;
        this.setTask(workerId, {...task, state});
      }
    }
  }

  announceLeaving(workerId: VmId): void {
    this.worker(workerId).leaving = true;
    this.incrementVersion(workerId);
  }

  override async hold(worker: WorkerVm, task: TaskSpecification) {
    return await this.call('hold', worker, task.taskId, () => {
      const {refused} = this.worker(worker.vmId);
      if (refused.has(task.taskId)) return refusal<void>();
      refused.add(task.taskId);
      this.setTask(worker.vmId, {...task, state: 'held'});
      return Result.ok<void, CallError>(undefined);
    });
  }

  override async release(worker: WorkerVm, taskId: TaskId) {
    return await this.call('release', worker, taskId, () => {
      const task = this.worker(worker.vmId).tasks.get(taskId);
      if (task?.state === 'held') {
        this.releases.push(taskId);
        const startedAt = instant(Date.now());
        this.setTask(worker.vmId, {...task, state: 'running', startedAt});
        this.checkOverlap(worker.vmId);
        this.checkDuplicate(task);
      }
      return Result.ok<boolean, CallError>(task !== undefined);
    });
  }

  override async checkpoint(worker: WorkerVm, taskId: TaskId) {
    return await this.call('checkpoint', worker, taskId, () =>
      Result.ok<string, CallError>(`checkpoint-of-${taskId}`),
    );
  }

  override async throttle() {
    return await Promise.resolve(Result.ok<void, CallError>(undefined));
  }

  override async remove(worker: WorkerVm, taskId: TaskId) {
    return await this.call('remove', worker, taskId, () => {
      const {tasks, refused} = this.worker(worker.vmId);
      refused.add(taskId);
      this.removals.push(taskId);
      if (tasks.delete(taskId)) this.incrementVersion(worker.vmId);
      return Result.ok<void, CallError>(undefined);
    });
  }

  override async listTasks(worker: WorkerVm) {
    return await this.call('list', worker, undefined, () =>
      Result.ok<TaskList, CallError>(this.listOf(worker.vmId)),
    );
  }

  override async watchTasks(
    vm: WorkerVm,
    afterVersion: number,
    waitMs: number,
    _leaseMs: number,
    signal: AbortSignal,
  ) {
    const worker = this.worker(vm.vmId);
    if (waitMs > 0 && worker.version <= afterVersion) {
      await waitForChange(worker.waiters, waitMs, signal);
    }
    if (signal.aborted) return timeout<TaskList>();
    return await this.call('watch', vm, undefined, () =>
      Result.ok<TaskList, CallError>(this.listOf(vm.vmId)),
    );
  }

  private listOf(workerId: VmId): TaskList {
    const {version, leaving, tasks} = this.worker(workerId);
    return {workerId, version, leaving, tasks: [...tasks.values()]};
  }

  private setTask(workerId: VmId, task: TaskStatus): void {
    this.worker(workerId).tasks.set(task.taskId, task);
    this.incrementVersion(workerId);
  }

  private incrementVersion(workerId: VmId): void {
    const worker = this.worker(workerId);
    worker.version += 1;
    for (const notify of [...worker.waiters]) notify();
  }

  private checkOverlap(workerId: VmId): void {
    const running = [...this.worker(workerId).tasks.values()].filter(
      (task) => task.state === 'running',
    );
    const used = running.flatMap((task) => task.accelerators);
    if (new Set(used).size === used.length) return;
    this.violations.push(`two tasks run on one accelerator of ${workerId}`);
  }

  private checkDuplicate({jobId, gangId}: TaskStatus): void {
    const other = this.tasksOf(jobId).some(
      (task) => task.state === 'running' && task.gangId !== gangId,
    );
    if (other) this.duplicateRuns.push(jobId);
  }

  private async call<T>(
    call: WorkerCall,
    worker: WorkerVm,
    taskId: TaskId | undefined,
    perform: () => Result<T, CallError>,
  ): Promise<Result<T, CallError>> {
    this.callsInProgress += 1;
    await delay(0);
    this.callsInProgress -= 1;
    const fault = this.fault(call, worker.vmId, taskId);
    if (fault === 'refused') return refusal<T>();
    // The connection stays open without ever answering.
    if (fault === 'silent') return await new Promise(() => undefined);
    if (fault === 'requestLost') return timeout<T>();
    const result = perform();
    await delay(0);
    return fault === 'answerLost' ? timeout<T>() : result;
  }
}

function refusal<T>(): Result<T, CallError> {
  return Result.err(new RefusedError('refused', REMEDY));
}

function timeout<T>(): Result<T, CallError> {
  return Result.err(new TimeoutError('no answer', REMEDY));
}

async function waitForChange(
  waiters: Set<() => void>,
  waitMs: number,
  signal: AbortSignal,
): Promise<void> {
  if (signal.aborted) return;
  await new Promise<void>((resolve) => {
    const finish = () => {
      clearTimeout(timer);
      waiters.delete(finish);
      signal.removeEventListener('abort', finish);
      resolve();
    };
    const timer = setTimeout(finish, waitMs);
    waiters.add(finish);
    signal.addEventListener('abort', finish);
  });
}

export class FakeStore extends KeyValueStore {
  unavailable = false;
  /** Duration of a write. */
  writeDurationMs = 0;
  /** Chooses the fault of each write. */
  writeFault: (key: string, record: JobRecord) => Fault = () => undefined;
  /** Every record that a `put` stored, in order. */
  readonly written: JobRecord[] = [];
  maximumConcurrentWrites = 0;
  private writesInProgress = 0;
  private readonly entries = new Map<string, StoreEntry>();
  private revision = 0;
  private readonly waiters = new Set<() => void>();

  record(jobId: JobId): JobRecord | undefined {
    const entry = this.entries.get(`jobs/${ZONE}/${jobId}`);
    return entry && (JSON.parse(entry.value) as JobRecord);
  }

  /** Writes a record as another daemon would. */
  seed(record: JobRecord): void {
    this.setEntry(`jobs/${ZONE}/${record.jobId}`, JSON.stringify(record));
  }

  override async get(key: string) {
    await delay(0);
    if (this.unavailable) return unavailableError<StoreEntry | undefined>();
    return Result.ok<StoreEntry | undefined, UnavailableError>(
      this.entries.get(key),
    );
  }

  override async list(prefix: string) {
    await delay(0);
    if (this.unavailable) {
      return unavailableError<{
        revision: number;
        entries: readonly StoreEntry[];
      }>();
    }
    const entries = this.entriesUnder(prefix);
    return Result.ok<
      {revision: number; entries: readonly StoreEntry[]},
      UnavailableError
    >({revision: this.revision, entries});
  }

  override async put(key: string, value: string, expected: number) {
    this.writesInProgress += 1;
    this.maximumConcurrentWrites = Math.max(
      this.maximumConcurrentWrites,
      this.writesInProgress,
    );
    await delay(this.writeDurationMs);
    this.writesInProgress -= 1;
    if (this.unavailable) return unavailableError<number>();
    const record = JSON.parse(value) as JobRecord;
    const fault = this.writeFault(key, record);
    if (fault === 'requestLost') return answerLostError();
    if ((this.entries.get(key)?.revision ?? 0) !== expected) {
      const error = new ConflictError('another revision', REMEDY);
      return Result.err<number, ConflictError>(error);
    }
    this.written.push(record);
    this.setEntry(key, value);
    if (fault === 'answerLost') return answerLostError();
    return Result.ok<number, ConflictError>(this.revision);
  }

  override async delete(key: string) {
    await delay(0);
    this.entries.delete(key);
    return Result.ok<void, ConflictError>(undefined);
  }

  override async watch(
    prefix: string,
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ) {
    if (this.revision <= after) {
      await waitForChange(this.waiters, waitMs, signal);
    }
    await delay(0);
    if (this.unavailable) return unavailableError<never>();
    const changed = this.entriesUnder(prefix).filter(
      (entry) => entry.revision > after,
    );
    const deletedKeys: string[] = [];
    const batch = {
      revision: this.revision,
      changed,
      deletedKeys,
      compacted: false,
    };
    return Result.ok<typeof batch, UnavailableError>(batch);
  }

  private setEntry(key: string, value: string): void {
    this.revision += 1;
    this.entries.set(key, {key, value, revision: this.revision});
    for (const notify of [...this.waiters]) notify();
  }

  private entriesUnder(prefix: string): StoreEntry[] {
    return [...this.entries.values()].filter(({key}) => key.startsWith(prefix));
  }
}

function unavailableError<T>(): Result<T, UnavailableError> {
  return Result.err(new UnavailableError('the store is unavailable', REMEDY));
}

function answerLostError(): Result<number, UnknownEffectError> {
  return Result.err(new UnknownEffectError('the answer was lost', REMEDY));
}
