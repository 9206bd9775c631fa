/**
 * Limits what accepted work may take of a leader's memory. Each leader holds
 * all jobs that are known, also those that have ended until their records are
 * removed, so beyond the limit a submission has to be refused before it is
 * stored. One customer can use up half of the limit at most, as each may hold
 * as much as is left for all.
 *
 * A submission that was admitted counts from then on; if it does not show up in
 * the store, it counts until it can no longer be on its way.
 */

import type {SteadyTime} from '../../lifecycle/clock.js';
import {steadyTime} from '../../lifecycle/clock.js';
import type {CustomerId, JobId} from '../../model/ids.js';
import type {Submission} from '../../model/submissions.js';
import {MAXIMUM_STARTED_TASKS, taskCountOf} from '../../model/submissions.js';

/** A job without tasks, with its records and its entries in tables. */
const JOB_BYTES = 2_816;

const STEP_BYTES = 512;

/** A task that waits or is done. */
const TASK_BYTES = 512;

/**
 * A run, with its entry at its worker, the loss of an earlier run and its part
 * of the job's record. Only some of a job's tasks have runs.
 */
const RUN_BYTES = 1_536;

/** Each text is held as a part of the job and, while it is read, of a record. */
const BYTES_PER_CHARACTER = 3;

const BYTES_PER_PREDECESSOR = 32;

/** A cancellation of a job that was never stored. */
export const CANCELLATION_BYTES = 512;

/** Time in which a write without an answer may still be applied. */
const RESERVATION_MS = 10_000;

/** Memory that a leader needs for a job, in bytes; an upper estimate. */
export function workBytesOf(
  submission: Pick<Submission, 'specification' | 'steps' | 'occurrences'>,
): number {
  const {specification, steps, occurrences} = submission;
  const taskCount = taskCountOf(submission);
  let characters = specification.length;
  let predecessors = 0;
  for (const {image, requiredLabel, dataRack, after} of steps) {
    for (const text of [image, requiredLabel, dataRack]) {
      characters += text?.length ?? 0;
    }
    predecessors += after.length;
  }
  return (
    JOB_BYTES +
    characters * BYTES_PER_CHARACTER +
    predecessors * BYTES_PER_PREDECESSOR +
    steps.length * Math.max(1, occurrences) * STEP_BYTES +
    taskCount * TASK_BYTES +
    Math.min(taskCount, MAXIMUM_STARTED_TASKS) * RUN_BYTES
  );
}

/**
 * - `admitted`: the work may be stored;
 * - `siteFull`: the site holds as much as one leader can;
 * - `shareUsed`: the customer holds as much as is left for all.
 */
export type AdmissionVerdict = 'admitted' | 'siteFull' | 'shareUsed';

interface HeldWork {
  /** Undefined for work of public queues. */
  readonly customerId: CustomerId | undefined;
  readonly bytes: number;
}

interface Reservation extends HeldWork {
  readonly endsAt: SteadyTime;
}

export class WorkLimit {
  private totalBytes = 0;
  private readonly bytesByCustomer = new Map<CustomerId | undefined, number>();
  private readonly held = new Map<JobId, HeldWork>();
  /** The oldest first. */
  private readonly reservations = new Map<JobId, Reservation>();

  constructor(private readonly limitBytes: number) {}

  get usedBytes(): number {
    return this.totalBytes;
  }

  /** Decides whether work may be stored, and reserves room for it if so. */
  admit(
    jobId: JobId,
    customerId: CustomerId | undefined,
    bytes: number,
    now: SteadyTime,
  ): AdmissionVerdict {
    this.endReservations(now);
    if (this.held.has(jobId) || this.reservations.has(jobId)) return 'admitted';
    const left = this.limitBytes - this.totalBytes;
    if (bytes > left) return 'siteFull';
    if ((this.bytesByCustomer.get(customerId) ?? 0) > left) return 'shareUsed';
    const endsAt = steadyTime(now + RESERVATION_MS);
    this.reservations.set(jobId, {customerId, bytes, endsAt});
    this.count(customerId, bytes);
    return 'admitted';
  }

  /** Counts stored work, instead of what was counted for it before. */
  hold(jobId: JobId, customerId: CustomerId | undefined, bytes: number): void {
    this.release(jobId);
    this.held.set(jobId, {customerId, bytes});
    this.count(customerId, bytes);
  }

  release(jobId: JobId): void {
    for (const counted of [this.held, this.reservations]) {
      const work = counted.get(jobId);
      if (work === undefined) continue;
      counted.delete(jobId);
      this.count(work.customerId, -work.bytes);
    }
  }

  private endReservations(now: SteadyTime): void {
    for (const [jobId, {endsAt, customerId, bytes}] of this.reservations) {
      if (now < endsAt) return;
      this.reservations.delete(jobId);
      this.count(customerId, -bytes);
    }
  }

  private count(customerId: CustomerId | undefined, bytes: number): void {
    this.totalBytes += bytes;
    const sum = (this.bytesByCustomer.get(customerId) ?? 0) + bytes;
    if (sum === 0) this.bytesByCustomer.delete(customerId);
    else this.bytesByCustomer.set(customerId, sum);
  }
}
