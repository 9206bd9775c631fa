/**
 * Accepts jobs from callers at any entry VM, records them and submits them to
 * the scheduler of their zone. While the store is unavailable, an accepted job
 * is held in memory by the scheduler and one other daemon of the zone.
 */

import {createHash, randomUUID} from 'node:crypto';
import {Result} from 'true-myth';
import type {
  Configuration,
  Customer,
  JobClass,
} from '../model/configuration.js';
import {
  InvalidInputError,
  NotFoundError,
  RefusedError,
  UnavailableError,
  UnknownEffectError,
} from '../model/errors.js';
import type {CallError} from '../model/errors.js';
import {hasEnded, jobRecordSchema} from '../model/jobs.js';
import type {JobRecord, JobSubmission} from '../model/jobs.js';
import {cellSizeFor} from '../model/shapes.js';
import type {AvailabilityZone, Instant, JobId} from '../model/ids.js';
import type {Clock} from '../lifecycle/clock.js';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import {ABSENT_REVISION} from '../interfaces/key_value_store.js';
import type {KeyValueStore} from '../interfaces/key_value_store.js';
import type {JobReport} from '../interfaces/peer_client.js';
import {jobKey} from './job_store.js';

/** Poll interval while a caller waits for the end of its job. */
const REPORT_POLL_INTERVAL_MS = 250;
/** Separates the zone from the rest of a job id. */
const ZONE_SEPARATOR = '.';
const KEY_DIGEST_LENGTH = 32;

/** Where an accepted job is stored. */
export type JobStorage =
  | {readonly durability: 'store'}
  | {
      readonly durability: 'memory';
      /** Number of daemons that hold the job until the store is available. */
      readonly holders: number;
    };

export interface AcceptedJob {
  readonly record: JobRecord;
  readonly storage: JobStorage;
}

/** A daemon that accepts jobs of one zone: this one or a peer. */
export abstract class JobHolder {
  /** Idempotent for the same record. */
  abstract submitJob(record: JobRecord): Promise<Result<void, CallError>>;
  abstract job(jobId: JobId): Promise<Result<JobReport, CallError>>;
  abstract cancelJob(jobId: JobId): Promise<Result<JobReport, CallError>>;
  abstract jobs(): Promise<Result<readonly JobReport[], CallError>>;
}

/** The daemons of each zone according to the current membership. */
export abstract class JobHolders {
  /** The scheduler of a zone; undefined if none is known. */
  abstract scheduler(zone: AvailabilityZone): JobHolder | undefined;
  /** Live daemons of a zone other than its scheduler. */
  abstract others(zone: AvailabilityZone): readonly JobHolder[];
}

export interface JobRouterOptions {
  readonly availabilityZone: AvailabilityZone;
  readonly clock: Clock;
  readonly store: KeyValueStore;
  readonly holders: JobHolders;
  readonly configuration: () => Configuration;
}

export class JobRouter {
  constructor(private readonly options: JobRouterOptions) {}

  /** Validates a job, records it and submits it to its scheduler. */
  async submit(
    submission: JobSubmission,
  ): Promise<Result<AcceptedJob, CallError>> {
    const now = this.options.clock.now();
    const draft = draftRecord(
      submission,
      this.options.configuration(),
      this.options.availabilityZone,
      now,
    );
    if (draft.isErr) return Result.err(draft.error);
    return this.persist(draft.value);
  }

  /** Returns a job once it has ended or `waitMs` have passed. */
  async report(
    jobId: JobId,
    waitMs: number,
    scope: CleanupScope,
  ): Promise<Result<JobReport, CallError>> {
    const startedAt = this.options.clock.now();
    for (;;) {
      const report = await this.read(jobId);
      if (report.isErr || hasEnded(report.value.record.state)) return report;
      const waitedMs = this.options.clock.now() - startedAt;
      if (waitedMs >= waitMs || scope.closed) return report;
      await scope.sleep(Math.min(REPORT_POLL_INTERVAL_MS, waitMs - waitedMs));
    }
  }

  async cancel(jobId: JobId): Promise<Result<JobReport, CallError>> {
    const zone = zoneOfJob(jobId);
    if (zone === undefined) return Result.err(notFound(jobId));
    const scheduler = this.options.holders.scheduler(zone);
    if (scheduler === undefined) return Result.err(zoneUnreachable(zone));
    return scheduler.cancelJob(jobId);
  }

  /** Lists the jobs of the given zones; unreachable zones are omitted. */
  async list(zones: readonly AvailabilityZone[]): Promise<JobReport[]> {
    const lists = await Promise.all(
      zones.map(async (zone) => {
        const jobs = await this.options.holders.scheduler(zone)?.jobs();
        return jobs?.unwrapOr([]) ?? [];
      }),
    );
    return lists.flat();
  }

  private async persist(
    record: JobRecord,
  ): Promise<Result<AcceptedJob, CallError>> {
    const key = jobKey(record.availabilityZone, record.jobId);
    const text = JSON.stringify(record);
    const written = await this.options.store.put(key, text, ABSENT_REVISION);
    if (written.isOk) return this.acceptStored(record);
    switch (written.error.kind) {
      case 'conflict':
      case 'unknown-effect':
        return this.resolveUncertainWrite(record);
      case 'unavailable':
      case 'refused':
        return this.acceptInMemory(record);
    }
  }

  private acceptStored(record: JobRecord): Result<AcceptedJob, CallError> {
    const scheduler = this.options.holders.scheduler(record.availabilityZone);
    // The scheduler also finds the record through its watch of the store, so a
    // failed call only delays the job.
    void scheduler?.submitJob(record);
    return Result.ok({record, storage: {durability: 'store'}});
  }

  private async resolveUncertainWrite(
    record: JobRecord,
  ): Promise<Result<AcceptedJob, CallError>> {
    const stored = await this.readStored(record.jobId);
    if (stored.isOk && stored.value !== undefined) {
      return this.acceptStored(stored.value);
    }
    const accepted = await this.acceptInMemory(record);
    // The write may have taken effect or may still do so, so the error must
    // not claim that the job was not accepted.
    return accepted.mapErr((error) => acceptanceUnknown(error));
  }

  private async acceptInMemory(
    record: JobRecord,
  ): Promise<Result<AcceptedJob, CallError>> {
    const {holders} = this.options;
    const zone = record.availabilityZone;
    const scheduler = holders.scheduler(zone);
    if (scheduler === undefined) return Result.err(zoneUnreachable(zone));
    const submitted = await scheduler.submitJob(record);
    if (submitted.isErr) return Result.err(submitted.error);
    let holderCount = 1;
    for (const other of holders.others(zone)) {
      const copied = await other.submitJob(record);
      if (copied.isOk) {
        holderCount += 1;
        break;
      }
    }
    const storage = {durability: 'memory', holders: holderCount} as const;
    return Result.ok({record, storage});
  }

  /** Reads a job from its scheduler, or else from the store. */
  async read(jobId: JobId): Promise<Result<JobReport, CallError>> {
    const zone = zoneOfJob(jobId);
    if (zone === undefined) return Result.err(notFound(jobId));
    const fromScheduler = await this.options.holders
      .scheduler(zone)
      ?.job(jobId);
    if (fromScheduler?.isOk) return fromScheduler;
    const stored = await this.readStored(jobId);
    if (stored.isErr) return Result.err(stored.error);
    if (stored.value === undefined) return Result.err(notFound(jobId));
    return Result.ok({record: stored.value, inStore: true});
  }

  private async readStored(
    jobId: JobId,
  ): Promise<Result<JobRecord | undefined, CallError>> {
    const zone = zoneOfJob(jobId);
    if (zone === undefined) return Result.ok(undefined);
    const entry = await this.options.store.get(jobKey(zone, jobId));
    if (entry.isErr) return Result.err(entry.error);
    if (entry.value === undefined) return Result.ok(undefined);
    const parsed = jobRecordSchema.safeParse(JSON.parse(entry.value.value));
    return Result.ok(parsed.success ? parsed.data : undefined);
  }
}

/** Returns the zone encoded in a job id; undefined if there is none. */
export function zoneOfJob(jobId: JobId): AvailabilityZone | undefined {
  const end = jobId.lastIndexOf(ZONE_SEPARATOR);
  return end > 0 ? (jobId.slice(0, end) as AvailabilityZone) : undefined;
}

/**
 * Builds the record of a new job. Refuses unknown zones, work classes and
 * customers, shapes that fit no rack and shapes above the customer's ceiling.
 */
export function draftRecord(
  submission: JobSubmission,
  configuration: Configuration,
  ownZone: AvailabilityZone,
  now: Instant,
): Result<JobRecord, InvalidInputError | RefusedError> {
  const customer = configuration.customers.find(
    (candidate) => candidate.id === submission.customerId,
  );
  if (customer === undefined) {
    return Result.err(unknownField('customerId', submission.customerId));
  }
  const jobClass = findJobClass(configuration, submission);
  if (jobClass === undefined) {
    return Result.err(unknownField('workClassId', submission.workClassId));
  }
  const zones = configuration.site?.availabilityZones ?? [];
  const zone = chooseZone(submission, customer, zones, ownZone);
  if (!zones.includes(zone)) {
    return Result.err(unknownField('availabilityZone', zone));
  }
  const refusal = checkShape(jobClass, customer);
  if (refusal !== undefined) return Result.err(refusal);
  return Result.ok(newRecord(submission, jobClass, zone, now));
}

function newRecord(
  submission: JobSubmission,
  jobClass: JobClass,
  zone: AvailabilityZone,
  now: Instant,
): JobRecord {
  return {
    jobId: jobIdFor(submission, zone),
    customerId: submission.customerId,
    workClassId: submission.workClassId,
    ...(submission.key === undefined ? {} : {key: submission.key}),
    availabilityZone: zone,
    shape: jobClass.shape,
    urgency: jobClass.urgency,
    declaredRunTimeMs: jobClass.declaredRunTimeMs,
    payload: submission.payload,
    submittedAt: now,
    state: 'queued',
    reason: 'accepted',
    sequence: 0,
    attempts: 0,
  };
}

/** A job with a key gets the same id on every daemon. */
function jobIdFor(submission: JobSubmission, zone: AvailabilityZone): JobId {
  const {customerId, key} = submission;
  if (key === undefined) {
    return `${zone}${ZONE_SEPARATOR}${randomUUID()}` as JobId;
  }
  const digest = createHash('sha256')
    .update(JSON.stringify([customerId, key]))
    .digest('hex')
    .slice(0, KEY_DIGEST_LENGTH);
  return `${zone}${ZONE_SEPARATOR}${digest}` as JobId;
}

function findJobClass(
  configuration: Configuration,
  submission: JobSubmission,
): JobClass | undefined {
  const workClass = configuration.workClasses.find(
    (candidate) =>
      candidate.id === submission.workClassId &&
      candidate.customerId === submission.customerId,
  );
  return workClass?.kind === 'job' ? workClass : undefined;
}

/**
 * The requested zone, else the receiving daemon's zone if the customer has a
 * guarantee there, else the zone of the customer's largest guarantee. The zone
 * of a job with a key never depends on the receiving daemon, because the zone
 * is part of the id, which must be the same on every daemon.
 */
function chooseZone(
  submission: JobSubmission,
  customer: Customer,
  zones: readonly AvailabilityZone[],
  ownZone: AvailabilityZone,
): AvailabilityZone {
  if (submission.availabilityZone !== undefined) {
    return submission.availabilityZone;
  }
  const guaranteed = new Map<AvailabilityZone, number>();
  for (const {availabilityZone, cellSize, cells} of customer.guarantees) {
    const soFar = guaranteed.get(availabilityZone) ?? 0;
    guaranteed.set(availabilityZone, soFar + cellSize * cells);
  }
  if (submission.key === undefined && guaranteed.has(ownZone)) return ownZone;
  const [largest] = [...guaranteed].sort(
    ([zoneA, a], [zoneB, b]) => b - a || (zoneA < zoneB ? -1 : 1),
  );
  if (largest !== undefined) return largest[0];
  return submission.key === undefined ? ownZone : (zones[0] ?? ownZone);
}

function checkShape(
  jobClass: JobClass,
  customer: Customer,
): RefusedError | undefined {
  const {tasks, acceleratorsPerTask} = jobClass.shape;
  const shape = `${tasks} tasks of ${acceleratorsPerTask} accelerators`;
  if (cellSizeFor(jobClass.shape) === undefined) {
    return new RefusedError(
      `${shape} fit no rack`,
      'use a work class with fewer tasks or accelerators',
    );
  }
  if (tasks * acceleratorsPerTask > customer.acceleratorCeiling) {
    return new RefusedError(
      `${shape} exceed the ceiling of ${customer.acceleratorCeiling} ` +
        `accelerators of customer ${customer.id}`,
      'use a smaller work class or raise the ceiling in the questionnaire',
    );
  }
  return undefined;
}

function unknownField(field: string, value: string): InvalidInputError {
  return new InvalidInputError(
    field,
    `"${value}" is not in the configuration`,
    'use a name listed by "bramleystep configuration show"',
  );
}

function notFound(jobId: JobId): NotFoundError {
  return new NotFoundError(
    `job ${jobId} does not exist`,
    'use the id returned by the submission',
  );
}

function acceptanceUnknown(cause: CallError): CallError {
  return new UnknownEffectError(
    `the job may have been accepted: ${cause.problem}`,
    'submit it again with the same key',
  );
}

function zoneUnreachable(zone: AvailabilityZone): UnavailableError {
  return new UnavailableError(
    `no daemon of zone ${zone} is reachable`,
    'retry, or name another zone',
  );
}
