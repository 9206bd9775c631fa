/** Test data and wait helpers shared by the tests with stand-in processes. */

import assert from 'node:assert/strict';
import {instant, randomId, trustedId} from '../src/model/ids.js';
import type {TaskId} from '../src/model/ids.js';
import type {TaskSpecification} from '../src/model/jobs.js';
import type {ServiceRequest} from '../src/model/requests.js';
import type {MinionVm, WorkerVm} from '../src/interfaces/vm_list.js';

/** Far longer than a successful run takes, even on a busy machine. */
export const LONG_TIMEOUT_MS = 20_000;

/** Time limit of calls that are expected to time out. */
export const SHORT_TIMEOUT_MS = 300;

const CONDITION_INTERVAL_MS = 10;

/** Waits until `read` returns a value. Fails after `LONG_TIMEOUT_MS`. */
export async function eventually<T>(
  description: string,
  read: () => Promise<T | undefined>,
): Promise<T> {
  const end = performance.now() + LONG_TIMEOUT_MS;
  while (performance.now() < end) {
    const value = await read();
    if (value !== undefined) return value;
    await new Promise((resolve) => setTimeout(resolve, CONDITION_INTERVAL_MS));
  }
  throw new assert.AssertionError({
    message: `timed out waiting for: ${description}`,
  });
}

export function workerVm(address: string, vmId = 'worker-1'): WorkerVm {
  return {
    role: 'worker',
    vmId: trustedId(vmId),
    availabilityZone: trustedId('zone-a'),
    address,
    state: 'live',
    rackId: trustedId('rack-1'),
    rackPosition: 0,
    accelerators: 8,
  };
}

export function minionVm(address: string, connections = 64): MinionVm {
  return {
    role: 'minion',
    vmId: trustedId('minion-1'),
    availabilityZone: trustedId('zone-a'),
    address,
    state: 'live',
    slots: 8,
    connections,
  };
}

export function serviceRequest(
  requestId: string,
  payload = '{"serviceTimeMs":0}',
): ServiceRequest {
  return {
    requestId: trustedId(requestId),
    customerId: trustedId('guild'),
    workClassId: trustedId('check'),
    repeatable: false,
    receivedAt: instant(0),
    deadline: instant(Number.MAX_SAFE_INTEGER),
    payload,
  };
}

/** A task that is the only member of its gang. */
export function taskSpecification(
  payload: object = {},
  overrides: Partial<TaskSpecification> = {},
): TaskSpecification {
  const taskId = overrides.taskId ?? randomId<TaskId>('task');
  return {
    taskId,
    gangId: trustedId('gang-1'),
    jobId: trustedId('job-1'),
    customerId: trustedId('guild'),
    workClassId: trustedId('bake'),
    members: [{taskId, workerId: trustedId('worker-1')}],
    accelerators: [0, 1],
    guaranteed: true,
    payload: JSON.stringify(payload),
    ...overrides,
  };
}
