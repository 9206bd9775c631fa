/**
 * Generates workers, running gangs and customers in the proportions of the
 * two-year target, for measurements of one zone.
 */

import type {Configuration} from '../model/configuration.js';
import {instant, trustedId} from '../model/ids.js';
import type {GangId, JobId, RackId, TaskId, VmId} from '../model/ids.js';
import type {JobRecord, TaskSpecification} from '../model/jobs.js';
import {questionnaireToEdit} from '../model/questionnaire.js';
import type {Questionnaire} from '../model/questionnaire.js';
import type {WorkerVm} from '../interfaces/vm_list.js';

const WORKERS_PER_RACK = 8;
const ACCELERATORS_PER_WORKER = 8;
const ZONES = 12;
/** Number of zones in which a customer has a guarantee. */
const ZONES_PER_CUSTOMER = 3;

/**
 * Gang sizes in tasks, used in this order and repeated. The mean of about 12
 * follows from the target: 12,000 jobs a day of about 4.5 hours keep 2,250
 * gangs with 26,000 tasks running. Larger gangs come first, because aligned
 * cells then leave few gaps.
 */
const GANG_SIZES = [64, 16, 8, 8, 4, 2, 2, 1, 1] as const;

/** Payload of a task that runs longer than any measurement. */
const ENDLESS_PAYLOAD = JSON.stringify({runTimeMs: 1e12});

export const MEASURED_ZONE = 'zone-1';
export const GANG_CLASS = 'gang';
export const LARGE_GANG_CLASS = 'large-gang';

export function zoneNames(): string[] {
  return Array.from({length: ZONES}, (_, index) => `zone-${index + 1}`);
}

/** Returns `count` workers of the measured zone, in racks of 8. */
export function syntheticWorkers(
  count: number,
): Array<Omit<WorkerVm, 'address'>> {
  return Array.from({length: count}, (_, index) => {
    const rack = Math.floor(index / WORKERS_PER_RACK);
    return {
      role: 'worker',
      vmId: workerId(index),
      availabilityZone: trustedId(MEASURED_ZONE),
      state: 'live',
      rackId: trustedId<RackId>(`${MEASURED_ZONE}-rack-${rack}`),
      rackPosition: index % WORKERS_PER_RACK,
      accelerators: ACCELERATORS_PER_WORKER,
    };
  });
}

/**
 * Returns running gangs with `count` tasks in total, one accelerator per task,
 * and their job records.
 */
export function syntheticGangs(count: number): {
  gangs: TaskSpecification[][];
  records: JobRecord[];
} {
  const gangs: TaskSpecification[][] = [];
  const records: JobRecord[] = [];
  let position = 0;
  let tasks = 0;
  for (let gang = 0; tasks < count; gang += 1) {
    const fullSize = GANG_SIZES[gang % GANG_SIZES.length] ?? 1;
    const size = Math.min(fullSize, count - tasks);
    position = Math.ceil(position / fullSize) * fullSize;
    gangs.push(gangTasks(gang, size, position));
    records.push(runningRecord(gang, size));
    position += size;
    tasks += size;
  }
  return {gangs, records};
}

function gangTasks(
  gang: number,
  size: number,
  position: number,
): TaskSpecification[] {
  // Of the same length as the scheduler's ids, which contain a UUID, so that
  // the measured messages have a realistic size.
  const taskId = (member: number) =>
    trustedId<TaskId>(`task-${paddedId(gang * 64 + member)}`);
  const members = Array.from({length: size}, (_, member) => ({
    taskId: taskId(member),
    workerId: workerId(
      Math.floor((position + member) / ACCELERATORS_PER_WORKER),
    ),
  }));
  return members.map((own, member) => ({
    taskId: own.taskId,
    gangId: gangId(gang),
    jobId: jobId(gang),
    customerId: trustedId('customer-0'),
    workClassId: trustedId(GANG_CLASS),
    members,
    accelerators: [(position + member) % ACCELERATORS_PER_WORKER],
    guaranteed: false,
    payload: ENDLESS_PAYLOAD,
  }));
}

function runningRecord(gang: number, size: number): JobRecord {
  const now = instant(Date.now());
  return {
    jobId: jobId(gang),
    customerId: trustedId('customer-0'),
    workClassId: trustedId(GANG_CLASS),
    availabilityZone: trustedId(MEASURED_ZONE),
    shape: {tasks: size, acceleratorsPerTask: 1},
    urgency: 'normal',
    declaredRunTimeMs: 4 * 3_600_000,
    payload: ENDLESS_PAYLOAD,
    submittedAt: now,
    state: 'running',
    reason: 'all members run',
    sequence: 2,
    attempts: 1,
    gangId: gangId(gang),
    startedAt: now,
  };
}

/** Returns a configuration of `count` customers, with version `count` + 1. */
export function syntheticConfiguration(count: number): Configuration {
  const edits = Array.from({length: count}, (_, index) => {
    const edit = questionnaireToEdit(syntheticCustomer(index));
    if (edit.isErr) throw edit.error;
    return edit.value;
  });
  const customerEdits = edits.flatMap((edit) =>
    edit.kind === 'set-customer' ? [edit] : [],
  );
  return {
    version: count + 1,
    site: {
      name: 'measured site',
      availabilityZones: zoneNames().map((name) => trustedId(name)),
      completionTimeWeight: 1,
      fragmentationWeight: 1,
    },
    customers: customerEdits.map(({customer}) => customer),
    workClasses: customerEdits.flatMap(({workClasses}) => workClasses),
    power: {supply: 'grid'},
  };
}

/**
 * Returns a customer with a guarantee of one worker in each of three zones, two
 * job classes and two request classes.
 */
export function syntheticCustomer(index: number, weight = 1): Questionnaire {
  const zones = Array.from(
    {length: ZONES_PER_CUSTOMER},
    (_, i) => zoneNames()[(index + i * (ZONES / ZONES_PER_CUSTOMER)) % ZONES],
  );
  return {
    kind: 'customer',
    id: trustedId(`customer-${index}`),
    name: `Measured customer number ${index}`,
    guaranteed: zones.map((zone) => ({
      availabilityZone: trustedId(zone ?? MEASURED_ZONE),
      accelerators: ACCELERATORS_PER_WORKER,
      adjacentBlock: ACCELERATORS_PER_WORKER,
    })),
    mostAcceleratorsAtOnce: 4_000,
    weight,
    work: [
      longJob(GANG_CLASS, 8, 'can wait'),
      longJob(LARGE_GANG_CLASS, 64, 'can wait'),
      shortRequest('check', true),
      shortRequest('scan', false),
    ],
    mostRequestsPerSecond: 200,
  };
}

function longJob(name: string, tasks: number, when: 'can wait' | 'urgent') {
  return {
    kind: 'long job',
    name: trustedId<never>(name),
    tasks,
    acceleratorsPerTask: 1,
    usualRunTimeMinutes: 240,
    when,
  } as const;
}

function shortRequest(name: string, mayBeRepeated: boolean) {
  return {
    kind: 'short request',
    name: trustedId<never>(name),
    mayBeRepeated,
    billed: !mayBeRepeated,
    callerWaitsSeconds: 5,
  } as const;
}

function workerId(index: number): VmId {
  const rack = Math.floor(index / WORKERS_PER_RACK);
  const position = index % WORKERS_PER_RACK;
  return trustedId(`${MEASURED_ZONE}-rack-${rack}-worker-${position}`);
}

function gangId(gang: number): GangId {
  return trustedId(`gang-${paddedId(gang)}`);
}

function jobId(gang: number): JobId {
  return trustedId(`job-${paddedId(gang)}`);
}

function paddedId(value: number): string {
  const digits = value.toString(16).padStart(32, '0');
  return [
    digits.slice(0, 8),
    digits.slice(8, 12),
    digits.slice(12, 16),
    digits.slice(16, 20),
    digits.slice(20),
  ].join('-');
}
