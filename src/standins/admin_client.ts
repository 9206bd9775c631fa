/**
 * Typed clients for the admin interfaces of the stand-ins, used by tests and the
 * demonstration. A failed call throws, because it is an error in the test.
 */

import type {z} from 'zod';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {VmId} from '../model/ids.js';
import type {TaskList, TaskSpecification} from '../model/jobs.js';
import {taskListSchema} from '../model/jobs.js';
import type {StoreEntry} from '../interfaces/key_value_store.js';
import type {Vm} from '../interfaces/vm_list.js';
import {callJson} from '../transport/http_call.js';
import type {HttpConnections} from '../transport/http_connections.js';
import {openConnections} from '../transport/http_connections.js';
import {
  emptyAnswerSchema,
  listAnswerSchema,
} from '../transport/http_protocol.js';
import type {LinkStatus, linkFaultsSchema} from './fault_link.js';
import {linkStatusSchema} from './fault_link.js';
import {linkAddressSchema} from './fault_proxy_service.js';
import type {MinionStatus, minionFaultsSchema} from './minion_service.js';
import {minionStatusSchema} from './minion_service.js';
import type {PlatformCounters, limitsSchema} from './platform_service.js';
import {platformCountersSchema} from './platform_service.js';
import type {serverFaultsSchema} from './standin_server.js';
import type {workerBehaviourSchema} from './worker_service.js';

const MAXIMUM_CONNECTIONS = 8;
const CALL_TIMEOUT_MS = 10_000;
const MAXIMUM_ANSWER_BYTES = 64 * 1_048_576;

/** Settings of faults. A field that is left out means no such fault. */
export type ServerFaultsInput = z.input<typeof serverFaultsSchema>;
export type LinkFaultsInput = z.input<typeof linkFaultsSchema>;
export type MinionFaultsInput = z.input<typeof minionFaultsSchema>;
export type WorkerBehaviourInput = z.input<typeof workerBehaviourSchema>;

abstract class AdminClient {
  private readonly connections: HttpConnections;

  /** `address` is the host and port of the stand-in's admin interface. */
  constructor(scope: CleanupScope, address: string) {
    this.connections = openConnections(scope, address, MAXIMUM_CONNECTIONS);
  }

  protected async call<T>(
    method: 'GET' | 'POST' | 'PUT' | 'DELETE',
    path: string,
    schema: z.ZodType<T>,
    body?: unknown,
  ): Promise<T> {
    const answer = await callJson(
      this.connections,
      {
        method,
        path,
        timeoutMs: CALL_TIMEOUT_MS,
        maximumAnswerBytes: MAXIMUM_ANSWER_BYTES,
        ...(body === undefined ? {} : {body: JSON.stringify(body)}),
      },
      schema,
      `admin interface, ${path}`,
    );
    if (answer.isErr) throw answer.error;
    return answer.value;
  }

  protected async post(path: string, body: unknown): Promise<void> {
    await this.call('POST', path, emptyAnswerSchema, body);
  }
}

export class PlatformAdmin extends AdminClient {
  setStoreFaults(faults: ServerFaultsInput): Promise<void> {
    return this.post('/admin/faults/store', faults);
  }

  setVmListFaults(faults: ServerFaultsInput): Promise<void> {
    return this.post('/admin/faults/vms', faults);
  }

  /** Sets the store's rate limits. A limit that is left out is removed. */
  setLimits(limits: z.input<typeof limitsSchema>): Promise<void> {
    return this.post('/admin/limits', limits);
  }

  /** Delays later changes of the VM list by `lagMs` before they are visible. */
  setVmListLag(lagMs: number): Promise<void> {
    return this.post('/admin/lag', {lagMs});
  }

  /** Adds a VM to the VM list or replaces its entry. */
  async setVm(vm: Vm): Promise<void> {
    await this.call('PUT', '/admin/vms', emptyAnswerSchema, vm);
  }

  async removeVm(vmId: VmId): Promise<void> {
    await this.call('DELETE', `/admin/vms/${vmId}`, emptyAnswerSchema);
  }

  /** Drops the store's history, so watches from older revisions start over. */
  compact(): Promise<void> {
    return this.post('/admin/compact', {});
  }

  /** Returns all entries of the store, sorted by key. */
  async dumpStore(): Promise<readonly StoreEntry[]> {
    const list = await this.call('GET', '/admin/store', listAnswerSchema);
    return list.entries;
  }

  counters(): Promise<PlatformCounters> {
    return this.call('GET', '/admin/counters', platformCountersSchema);
  }

  async resetCounters(): Promise<void> {
    await this.call('DELETE', '/admin/counters', emptyAnswerSchema);
  }
}

export class WorkerAdmin extends AdminClient {
  setFaults(faults: ServerFaultsInput): Promise<void> {
    return this.post('/admin/faults', faults);
  }

  /** Replaces the behaviour. A field that is left out gets its default. */
  setBehaviour(behaviour: WorkerBehaviourInput): Promise<void> {
    return this.post('/admin/behaviour', behaviour);
  }

  /** Reads the task list without applying the worker's faults. */
  tasks(): Promise<TaskList> {
    return this.call('GET', '/admin/tasks', taskListSchema);
  }
}

export class WorkerFleetAdmin extends AdminClient {
  /** Starts each task on the worker that its member list assigns to it. */
  runTasks(tasks: readonly TaskSpecification[]): Promise<void> {
    return this.post('/admin/tasks', {tasks});
  }
}

export class MinionAdmin extends AdminClient {
  setFaults(faults: MinionFaultsInput): Promise<void> {
    return this.post('/admin/faults', faults);
  }

  status(): Promise<MinionStatus> {
    return this.call('GET', '/admin/status', minionStatusSchema);
  }
}

export class FaultProxyAdmin extends AdminClient {
  /** Adds a link to `target` and returns the address that it listens on. */
  async addLink(name: string, target: string): Promise<string> {
    const link = {name, target};
    const path = '/admin/links';
    return (await this.call('POST', path, linkAddressSchema, link)).address;
  }

  /** Forwards new connections of the link to `target`. Open ones stay. */
  retarget(link: string, target: string): Promise<void> {
    return this.post(`/admin/links/${link}/target`, {target});
  }

  setFaults(link: string, faults: LinkFaultsInput): Promise<void> {
    return this.post(`/admin/links/${link}/faults`, faults);
  }

  /** Removes all faults of the link. */
  heal(link: string): Promise<void> {
    return this.setFaults(link, {});
  }

  status(link: string): Promise<LinkStatus> {
    return this.call('GET', `/admin/links/${link}`, linkStatusSchema);
  }
}
