/**
 * Workers: VMs with accelerators that run the tasks of gang jobs. A worker
 * starts what it is given and does not check whether it fits.
 */

import type {Result} from 'true-myth';
import type {CallError} from '../model/errors.js';
import type {TaskId} from '../model/ids.js';
import type {TaskList, TaskSpecification} from '../model/jobs.js';
import type {WorkerVm} from './vm_list.js';

/** Older than every list, also than that of a worker that never ran a task. */
export const NO_LIST_VERSION = -1;

/**
 * Calls to workers. The gang protocol relies on three properties of a worker:
 *
 * - it can start a task held, which means throttled to zero;
 * - its own task list is current: a list that is read after an
 *   acknowledgement shows what was acknowledged;
 * - it refuses to hold a task id that it has held before, also when that task
 *   was removed since.
 *
 * On a platform without them, an implementation has to bound the overlap of
 * two owners by lease margins. Implementations do not retry.
 */
export abstract class WorkerClient {
  /** Starts the task held. An error with an effect means "maybe held". */
  abstract hold(
    worker: WorkerVm,
    task: TaskSpecification,
  ): Promise<Result<void, CallError>>;

  /** Lets a held task run. Returns false if the id is not on the worker. */
  abstract release(
    worker: WorkerVm,
    taskId: TaskId,
  ): Promise<Result<boolean, CallError>>;

  /** Checkpoints a running task and returns where the checkpoint is kept. */
  abstract checkpoint(
    worker: WorkerVm,
    taskId: TaskId,
    timeoutMs: number,
  ): Promise<Result<string, CallError>>;

  /** Limits a running task to a share between 0 and 1 of full speed. */
  abstract throttle(
    worker: WorkerVm,
    taskId: TaskId,
    share: number,
  ): Promise<Result<void, CallError>>;

  /**
   * Stops the task if it runs and takes it off the list. Removing an id that
   * the worker does not know succeeds, and the worker refuses it later.
   */
  abstract remove(
    worker: WorkerVm,
    taskId: TaskId,
  ): Promise<Result<void, CallError>>;

  /** Reads the current task list. */
  abstract listTasks(worker: WorkerVm): Promise<Result<TaskList, CallError>>;

  /**
   * Renews the worker's lease for `leaseMs` and waits at most `waitMs` for a
   * list newer than `afterVersion`; returns the current list in any case.
   * `NO_LIST_VERSION` returns at once. A worker whose lease lapses checkpoints
   * and stops its tasks. `known` is the list that `afterVersion` belongs to, if
   * the caller has it: the worker then need not send it again, and the result
   * has the same `tasks` array if the list is unchanged.
   */
  abstract watchTasks(
    worker: WorkerVm,
    afterVersion: number,
    waitMs: number,
    leaseMs: number,
    signal: AbortSignal,
    known?: TaskList,
  ): Promise<Result<TaskList, CallError>>;
}
