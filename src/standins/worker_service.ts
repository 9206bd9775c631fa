/**
 * Stand-in for a worker. It serves the calls of `WorkerClient`, stops its tasks
 * when its lease lapses, and accepts faults and behaviour from admin calls.
 */

import {z} from 'zod';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import {taskIdSchema, vmIdSchema} from '../model/ids.js';
import type {TaskId} from '../model/ids.js';
import {taskSpecificationSchema} from '../model/jobs.js';
import type {TaskSpecification} from '../model/jobs.js';
import {
  encodeTaskList,
  throttleBodySchema,
  watchBodySchema,
} from '../transport/http_protocol.js';
import type {RunLog} from './run_log.js';
import {listenOptionsSchema} from './standin_process.js';
import type {StandinAddresses} from './standin_process.js';
import type {ReceivedCall} from './standin_server.js';
import {
  ChangeSignal,
  FaultInjector,
  StandinServer,
  parseBody,
  parseParameters,
  serverFaultsSchema,
} from './standin_server.js';
import {WorkerTasks} from './worker_tasks.js';

/** Lease that starts with a hold if no lease is running. */
const DEFAULT_INITIAL_LEASE_MS = 60_000;

export const workerBehaviourSchema = z.object({
  failTasks: z.boolean().default(false),
  leaving: z.boolean().default(false),
  checkpointMs: z.number().min(0).default(0),
  idleWatts: z.number().min(0).default(400),
  wattsPerAccelerator: z.number().min(0).default(350),
});

export const workerOptionsSchema = listenOptionsSchema.extend({
  workerId: vmIdSchema,
  initialLeaseMs: z.number().positive().default(DEFAULT_INITIAL_LEASE_MS),
  ...workerBehaviourSchema.shape,
});
export type WorkerOptions = z.infer<typeof workerOptionsSchema>;

const taskParametersSchema = z.object({taskId: taskIdSchema});

export class WorkerService {
  private readonly server = new StandinServer();
  private readonly adminServer = new StandinServer();
  private readonly faultInjector = new FaultInjector();
  private readonly listChanged = new ChangeSignal();
  private readonly tasks: WorkerTasks;
  private leaseTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly scope: CleanupScope,
    private readonly options: WorkerOptions,
    log: RunLog,
  ) {
    this.tasks = new WorkerTasks(options.workerId, options, log, () =>
      this.listChanged.notify(),
    );
    scope.add(() => {
      clearTimeout(this.leaseTimer);
      this.tasks.close();
    });
  }

  async start(): Promise<StandinAddresses> {
    this.addTaskRoutes();
    this.addTaskListRoutes();
    this.addAdminRoutes();
    const {host, port, adminPort} = this.options;
    return {
      listening: await this.server.listen(this.scope, host, port),
      admin: await this.adminServer.listen(this.scope, host, adminPort),
    };
  }

  /** Starts a task directly, as a hold and a release would. */
  startTask(task: TaskSpecification): void {
    this.tasks.hold(task);
    this.tasks.release(task.taskId);
  }

  private addTaskRoutes(): void {
    const {server, tasks, faultInjector: injector} = this;
    server.addWriteRoute(
      'POST',
      '/tasks/:taskId/hold',
      (call) => this.hold(call),
      injector,
    );
    server.addWriteRoute(
      'POST',
      '/tasks/:taskId/release',
      (call) => ({released: tasks.release(taskIdOf(call))}),
      injector,
    );
    server.addWriteRoute(
      'POST',
      '/tasks/:taskId/checkpoint',
      async (call) => ({checkpoint: await tasks.checkpoint(taskIdOf(call))}),
      injector,
    );
    server.addWriteRoute(
      'POST',
      '/tasks/:taskId/throttle',
      (call) => {
        const {share} = parseBody(call, throttleBodySchema);
        tasks.throttle(taskIdOf(call), share);
      },
      injector,
    );
    server.addWriteRoute(
      'DELETE',
      '/tasks/:taskId',
      (call) => tasks.remove(taskIdOf(call)),
      injector,
    );
  }

  private hold(call: ReceivedCall): void {
    this.tasks.hold(parseBody(call, taskSpecificationSchema));
    if (this.leaseTimer === undefined) this.renew(this.options.initialLeaseMs);
  }

  private addTaskListRoutes(): void {
    const {server, tasks, faultInjector: injector} = this;
    server.addReadRoute(
      'GET',
      '/tasks',
      () => encodeTaskList(tasks.list()),
      injector,
    );
    server.addReadRoute(
      'POST',
      '/watch',
      async (call) => {
        const {afterVersion, afterRunId, waitMs, leaseMs} = parseBody(
          call,
          watchBodySchema,
        );
        this.renew(leaseMs);
        // A restarted worker counts from 0, so any other version is newer.
        const changedList = await this.listChanged.poll(
          () => {
            const list = tasks.list();
            const isSameIncarnation = (afterRunId ?? list.runId) === list.runId;
            return isSameIncarnation && list.version === afterVersion
              ? undefined
              : list;
          },
          waitMs,
          call.signal,
        );
        if (changedList !== undefined) return encodeTaskList(changedList);
        const list = tasks.list();
        if (afterRunId === undefined) return encodeTaskList(list);
        const {workerId, leaving, drawWatts} = list;
        return {workerId, leaving, drawWatts, unchanged: true};
      },
      injector,
    );
  }

  private addAdminRoutes(): void {
    this.adminServer.addWriteRoute('POST', '/admin/faults', (call) => {
      this.faultInjector.faults = parseBody(call, serverFaultsSchema);
    });
    this.adminServer.addWriteRoute('POST', '/admin/behaviour', (call) => {
      this.tasks.behaviour = parseBody(call, workerBehaviourSchema);
    });
    this.adminServer.addReadRoute('GET', '/admin/tasks', () =>
      this.tasks.list(),
    );
  }

  private renew(leaseMs: number): void {
    clearTimeout(this.leaseTimer);
    this.leaseTimer = setTimeout(() => {
      this.leaseTimer = undefined;
      void this.tasks.handleLeaseLapse();
    }, leaseMs);
  }
}

function taskIdOf(call: ReceivedCall): TaskId {
  return parseParameters(call, taskParametersSchema).taskId;
}
