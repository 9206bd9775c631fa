/**
 * Stand-in for many workers in one process, each on its own port, for
 * measurements at the size of a zone. An admin call gives them running tasks.
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

/** Body of `POST /admin/tasks`: tasks that run from now on. */
export const fleetTasksSchema = z.object({
  tasks: z.array(taskSpecificationSchema),
});

/** Nothing reads the run log of a measurement. */
class DiscardingRunLog extends RunLog {
  override record(): void {
    // Writing a line for each event would cost more than the workers do.
  }
}

/** Its first line of output names the address of each worker as a link. */
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

/** Returns the worker that the task's member list gives it. */
function workerOf(task: TaskSpecification): VmId {
  const own = task.members.find(({taskId}) => taskId === task.taskId);
  if (own !== undefined) return own.workerId;
  throw new RefusedError(
    `task ${task.taskId} is not in its own member list`,
    'list the task among its members',
  );
}
