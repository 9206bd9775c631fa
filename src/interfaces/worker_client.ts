/**
 * Client interface to workers: VMs with accelerators that run the tasks of gang
 * jobs. A worker starts every task it receives without checking whether it has
 * free capacity.
 */

import type {Result} from 'true-myth';
import type {CallError} from '../model/errors.js';
import type {TaskId} from '../model/ids.js';
import type {TaskList, TaskSpecification} from '../model/jobs.js';
import type {WorkerVm} from './vm_list.js';

/** Older than every list, including that of a worker that never ran a task. */
export const NO_LIST_VERSION = -1;

/**
 * Calls to workers. The gang protocol relies on three properties of a worker:
 *
 * - it can start a task in the held state, that is, throttled to zero;
 * - its task list is read-your-writes consistent: a list read after an
 *   acknowledgement includes the acknowledged change;
 * - it refuses to hold a task id that it has held before, even if that task was
 *   removed in the meantime.
 *
 * On a platform without these properties, an implementation must bound the
 * overlap of two owners by lease margins. Implementations do not retry.
 */
export abstract class WorkerClient {
  /** Starts the task held. After an error with an effect it may be held. */
  abstract hold(
    worker: WorkerVm,
    task: TaskSpecification,
  ): Promise<Result<void, CallError>>;

  /** Lets a held task run. Returns false if the id is not on the worker. */
  abstract release(
    worker: WorkerVm,
    taskId: TaskId,
  ): Promise<Result<boolean, CallError>>;

  /** Checkpoints a running task and returns the checkpoint's location. */
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
   * Stops the task if it runs and removes it from the list. Removing an unknown
   * id succeeds, and the worker refuses to hold that id afterwards.
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
   * `NO_LIST_VERSION` returns immediately. A worker whose lease lapses
   * checkpoints and stops its tasks. `known` is the list of `afterVersion`, if
   * the caller has it: the worker can then answer "unchanged", and the result
   * reuses the same `tasks` array.
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
