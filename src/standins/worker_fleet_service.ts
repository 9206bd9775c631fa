/**
 * Stand-in for many workers in one process, each on its own port, for
 * measurements with as many workers as a zone has. An admin call starts tasks on
 * them.
 */

import {z} from 'zod';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import {NotFoundError, RefusedError} from '../model/errors.js';
import {vmIdSchema} from '../model/ids.js';
import type {VmId} from '../model/ids.js';
import {taskSpecificationSchema} from '../model/jobs.js';
import type {TaskSpecification} from '../model/jobs.js';
import {RunLog} from './run_log.js';
import {listenOptionsSchema} from './standin_process.js';
import type {StandinAddresses} from './standin_process.js';
import {StandinServer, parseBody} from './standin_server.js';
import type {ReceivedCall} from './standin_server.js';
import {WorkerService, workerOptionsSchema} from './worker_service.js';

export const workerFleetOptionsSchema = listenOptionsSchema.extend({
  workerIds: z.array(vmIdSchema).max(2_000),
});
export type WorkerFleetOptions = z.infer<typeof workerFleetOptionsSchema>;

/** Body of `POST /admin/tasks`: tasks to start. */
export const fleetTasksSchema = z.object({
  tasks: z.array(taskSpecificationSchema),
});

/** Measurements do not read the run log. */
class DiscardingRunLog extends RunLog {
  override record(): void {
    // Writing a line per event would cost more than running the workers.
  }
}

/** Reports the address of each worker in `links`, by worker id. */
export class WorkerFleetService {
  private readonly adminServer = new StandinServer();
  private readonly workers = new Map<string, WorkerService>();

  constructor(
    private readonly scope: CleanupScope,
    private readonly options: WorkerFleetOptions,
  ) {}

  async start(): Promise<StandinAddresses> {
    const {host, adminPort, workerIds} = this.options;
    const log = new DiscardingRunLog();
    const links: Record<string, string> = {};
    for (const workerId of workerIds) {
      const options = workerOptionsSchema.parse({workerId, host});
      const worker = new WorkerService(this.scope, options, log);
      links[workerId] = (await worker.start()).listening;
      this.workers.set(workerId, worker);
    }
    this.adminServer.addWriteRoute('POST', '/admin/tasks', (call) =>
      this.startTasks(call),
    );
    const admin = await this.adminServer.listen(this.scope, host, adminPort);
    return {listening: admin, admin, links};
  }

  private startTasks(call: ReceivedCall): void {
    for (const task of parseBody(call, fleetTasksSchema).tasks) {
      const workerId = workerOf(task);
      const worker = this.workers.get(workerId);
      if (worker === undefined) {
        throw new NotFoundError(
          `no worker is named ${workerId}`,
          'name a worker of the options',
        );
      }
      worker.startTask(task);
    }
  }
}

/** Returns the worker that the task's member list assigns to it. */
function workerOf(task: TaskSpecification): VmId {
  const own = task.members.find(({taskId}) => taskId === task.taskId);
  if (own !== undefined) return own.workerId;
  throw new RefusedError(
    `task ${task.taskId} is not in its own member list`,
    'list the task among its members',
  );
}
