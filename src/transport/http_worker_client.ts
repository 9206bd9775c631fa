/**
 * HTTP client of workers. Connections are pooled per worker address and closed
 * when a worker has not been called for some time.
 */

import {Result} from 'true-myth';
import type {z} from 'zod';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {CallError} from '../model/errors.js';
import {ProtocolError} from '../model/errors.js';
import type {TaskId, VmId} from '../model/ids.js';
import type {TaskList, TaskSpecification} from '../model/jobs.js';
import type {WorkerVm} from '../interfaces/vm_list.js';
import {WorkerClient} from '../interfaces/worker_client.js';
import {callJson} from './http_call.js';
import {ConnectionsByAddress} from './http_connections.js';
import type {TrafficCounter} from './traffic_counter.js';
import {
  checkpointAnswerSchema,
  emptyAnswerSchema,
  releaseAnswerSchema,
  taskListMessageSchema,
  watchTasksAnswerSchema,
} from './http_protocol.js';

const DEFAULT_CALL_TIMEOUT_MS = 2_000;

/** One active watch plus concurrent calls for all accelerators. */
const DEFAULT_CONNECTIONS_PER_WORKER = 16;

/** Fits a few hundred ended tasks with payloads of maximum size. */
const MAXIMUM_LIST_BYTES = 16 * 1_048_576;

const MAXIMUM_ANSWER_BYTES = 65_536;

export interface HttpWorkerClientOptions {
  /** Timeout of a call; the wait of a watch is added to it. */
  readonly callTimeoutMs?: number;
  readonly connectionsPerWorker?: number;
  readonly traffic?: TrafficCounter;
}

interface WorkerCall {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body?: unknown;
  readonly timeoutMs?: number;
  readonly maximumAnswerBytes?: number;
  readonly signal?: AbortSignal;
}

export class HttpWorkerClient extends WorkerClient {
  private readonly connectionsByAddress: ConnectionsByAddress;
  private readonly callTimeoutMs: number;
  private readonly connectionsPerWorker: number;

  constructor(scope: CleanupScope, options: HttpWorkerClientOptions = {}) {
    super();
    this.connectionsByAddress = new ConnectionsByAddress(
      scope,
      options.traffic,
    );
    this.callTimeoutMs = options.callTimeoutMs ?? DEFAULT_CALL_TIMEOUT_MS;
    this.connectionsPerWorker =
      options.connectionsPerWorker ?? DEFAULT_CONNECTIONS_PER_WORKER;
  }

  override async hold(
    worker: WorkerVm,
    task: TaskSpecification,
  ): Promise<Result<void, CallError>> {
    const path = `/tasks/${task.taskId}/hold`;
    const call: WorkerCall = {method: 'POST', path, body: task};
    const answer = await this.call(worker, call, emptyAnswerSchema);
    return answer.map(() => undefined);
  }

  override async release(
    worker: WorkerVm,
    taskId: TaskId,
  ): Promise<Result<boolean, CallError>> {
    const call: WorkerCall = {method: 'POST', path: `/tasks/${taskId}/release`};
    const answer = await this.call(worker, call, releaseAnswerSchema);
    return answer.map(({released}) => released);
  }

  override async checkpoint(
    worker: WorkerVm,
    taskId: TaskId,
    timeoutMs: number,
  ): Promise<Result<string, CallError>> {
    const path = `/tasks/${taskId}/checkpoint`;
    const call: WorkerCall = {method: 'POST', path, timeoutMs};
    const answer = await this.call(worker, call, checkpointAnswerSchema);
    return answer.map(({checkpoint}) => checkpoint);
  }

  override async throttle(
    worker: WorkerVm,
    taskId: TaskId,
    share: number,
  ): Promise<Result<void, CallError>> {
    const path = `/tasks/${taskId}/throttle`;
    const call: WorkerCall = {method: 'POST', path, body: {share}};
    const answer = await this.call(worker, call, emptyAnswerSchema);
    return answer.map(() => undefined);
  }

  override async remove(
    worker: WorkerVm,
    taskId: TaskId,
  ): Promise<Result<void, CallError>> {
    const call: WorkerCall = {method: 'DELETE', path: `/tasks/${taskId}`};
    const answer = await this.call(worker, call, emptyAnswerSchema);
    return answer.map(() => undefined);
  }

  override listTasks(worker: WorkerVm): Promise<Result<TaskList, CallError>> {
    const call: WorkerCall = {method: 'GET', path: '/tasks'};
    return this.callForList(worker, call, taskListMessageSchema);
  }

  override async watchTasks(
    worker: WorkerVm,
    afterVersion: number,
    waitMs: number,
    leaseMs: number,
    signal: AbortSignal,
    known?: TaskList,
  ): Promise<Result<TaskList, CallError>> {
    const afterRunId =
      known?.version === afterVersion ? known.runId : undefined;
    const answer = await this.callForList(
      worker,
      {
        method: 'POST',
        path: '/watch',
        body: {afterVersion, afterRunId, waitMs, leaseMs},
        timeoutMs: this.callTimeoutMs + waitMs,
        signal,
      },
      watchTasksAnswerSchema,
    );
    if (answer.isErr) return Result.err(answer.error);
    if (!('unchanged' in answer.value)) return Result.ok(answer.value);
    if (known === undefined || afterRunId === undefined) {
      return Result.err(
        new ProtocolError(
          `${worker.vmId} answered "unchanged" to a watch without a known list`,
          'compare the versions of both sides',
        ),
      );
    }
    const {leaving, drawWatts = known.drawWatts} = answer.value;
    return Result.ok({
      ...known,
      leaving,
      ...(drawWatts === undefined ? {} : {drawWatts}),
    });
  }

  /** Calls for a task list and rejects the answer of another worker. */
  private async callForList<T extends {readonly workerId: VmId}>(
    worker: WorkerVm,
    call: WorkerCall,
    schema: z.ZodType<T>,
  ): Promise<Result<T, CallError>> {
    const answer = await this.call(
      worker,
      {...call, maximumAnswerBytes: MAXIMUM_LIST_BYTES},
      schema,
    );
    if (answer.isErr || answer.value.workerId === worker.vmId) return answer;
    return Result.err(
      new ProtocolError(
        `${worker.address} answered as worker ${answer.value.workerId} instead of ${worker.vmId}`,
        'read the current address from the VM list',
      ),
    );
  }

  private call<T>(
    worker: WorkerVm,
    call: WorkerCall,
    schema: z.ZodType<T>,
  ): Promise<Result<T, CallError>> {
    const connections = this.connectionsByAddress.get(
      worker.address,
      this.connectionsPerWorker,
    );
    const httpCall = {
      method: call.method,
      path: call.path,
      timeoutMs: call.timeoutMs ?? this.callTimeoutMs,
      maximumAnswerBytes: call.maximumAnswerBytes ?? MAXIMUM_ANSWER_BYTES,
      ...(call.body === undefined ? {} : {body: JSON.stringify(call.body)}),
      ...(call.signal === undefined ? {} : {signal: call.signal}),
    };
    return callJson(connections, httpCall, schema, `worker ${worker.vmId}`);
  }
}
