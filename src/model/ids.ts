/**
 * Branded identifiers and times. Every id is a string at run time; the brand
 * prevents an id of one kind from being passed as another kind. The zod
 * schemas validate ids that arrive from outside the process.
 */

import {randomUUID} from 'node:crypto';
import {z} from 'zod';

const MAXIMUM_ID_LENGTH = 128;

/** Allows ids in store keys and URL paths without escaping. */
const ID_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._:-]*$/;

const idString = z.string().max(MAXIMUM_ID_LENGTH).regex(ID_PATTERN, {
  error:
    'use letters, digits, ".", "_", ":" and "-", starting with a letter or digit',
});

export const customerIdSchema = idString.brand<'CustomerId'>();
export const workClassIdSchema = idString.brand<'WorkClassId'>();
export const availabilityZoneSchema = idString.brand<'AvailabilityZone'>();
export const rackIdSchema = idString.brand<'RackId'>();
export const vmIdSchema = idString.brand<'VmId'>();
export const daemonIdSchema = idString.brand<'DaemonId'>();
export const jobIdSchema = idString.brand<'JobId'>();
export const gangIdSchema = idString.brand<'GangId'>();
export const taskIdSchema = idString.brand<'TaskId'>();
export const requestIdSchema = idString.brand<'RequestId'>();
export const callerKeySchema = idString.brand<'CallerKey'>();
export const changeIdSchema = idString.brand<'ChangeId'>();

/**
 * Names on a hosted site come from its platform and operators, who may use any
 * text. They are never a part of a key in the store or of a path.
 */
const hostedName = z.string();
export const queueIdSchema = hostedName.brand<'QueueId'>();
export const serviceIdSchema = hostedName.brand<'ServiceId'>();
export const workerIdSchema = hostedName.brand<'WorkerId'>();
export const hostedCustomerIdSchema = hostedName.brand<'CustomerId'>();
export const hostedVmIdSchema = hostedName.brand<'VmId'>();

/** Milliseconds since the Unix epoch. */
export const instantSchema = z.number().nonnegative().brand<'Instant'>();

/** A customer of the site; a team with its own quota is a customer too. */
export type CustomerId = z.infer<typeof customerIdSchema>;
/** A class of jobs or requests that a customer's questionnaire defines. */
export type WorkClassId = z.infer<typeof workClassIdSchema>;
export type AvailabilityZone = z.infer<typeof availabilityZoneSchema>;
export type RackId = z.infer<typeof rackIdSchema>;
/** A VM of the platform: an entry VM, a worker or a minion. */
export type VmId = z.infer<typeof vmIdSchema>;
/** A daemon process; a restarted daemon has a new id. */
export type DaemonId = z.infer<typeof daemonIdSchema>;
export type JobId = z.infer<typeof jobIdSchema>;
/** One attempt to run a job. */
export type GangId = z.infer<typeof gangIdSchema>;
/** One member of a gang on one worker; never reused for a second attempt. */
export type TaskId = z.infer<typeof taskIdSchema>;
export type RequestId = z.infer<typeof requestIdSchema>;
/** The caller's idempotency key, unique per customer. */
export type CallerKey = z.infer<typeof callerKeySchema>;
export type ChangeId = z.infer<typeof changeIdSchema>;
/** A queue of a hosted site, to which callers submit jobs. */
export type QueueId = z.infer<typeof queueIdSchema>;
/** Work whose tasks behave alike, see `kindOf`. */
export type WorkKind = string & z.BRAND<'WorkKind'>;
/** A group of workers that run the jobs of certain queues. */
export type ServiceId = z.infer<typeof serviceIdSchema>;
/** A worker of a hosted site; all its incarnations share the id. */
export type WorkerId = z.infer<typeof workerIdSchema>;
/** Milliseconds since the Unix epoch. */
export type Instant = z.infer<typeof instantSchema>;

type BrandedId =
  | CustomerId
  | WorkClassId
  | AvailabilityZone
  | RackId
  | VmId
  | DaemonId
  | JobId
  | GangId
  | TaskId
  | RequestId
  | CallerKey
  | ChangeId
  | QueueId
  | ServiceId
  | WorkerId
  | WorkKind;

/** Creates a random id with a readable prefix, for example `job-<uuid>`. */
export function randomId<T extends BrandedId>(prefix: string): T {
  return `${prefix}-${randomUUID()}` as T;
}

/** Brands a string without validation; only for ids known to be valid. */
export function trustedId<T extends BrandedId>(value: string): T {
  return value as T;
}

/** Brands a number of milliseconds since the Unix epoch. */
export function instant(milliseconds: number): Instant {
  return milliseconds as Instant;
}

/** Returns the instant `milliseconds` after `start`. */
export function after(start: Instant, milliseconds: number): Instant {
  return (start + milliseconds) as Instant;
}
