/**
 * The site's configuration: customers with their guarantees and limits, their
 * classes of jobs and requests, the site's policy weights and its power state.
 * The store keeps a snapshot and the changes after it; see `docs/design.md`,
 * section 3.8.
 */

import {z} from 'zod';
import {
  availabilityZoneSchema,
  changeIdSchema,
  customerIdSchema,
  instantSchema,
  workClassIdSchema,
} from './ids.js';
import {cellSizeSchema, gangShapeSchema} from './shapes.js';

const MAXIMUM_NAME_LENGTH = 200;

export const guaranteeSchema = z.object({
  availabilityZone: availabilityZoneSchema,
  cellSize: cellSizeSchema,
  /** Number of cells of this size. */
  cells: z.int().min(1).max(100_000),
});
/** Cells of one size in one zone that a customer can reclaim at any time. */
export type Guarantee = z.infer<typeof guaranteeSchema>;

export const requestLimitsSchema = z.object({
  requestsPerSecond: z.number().positive(),
  burst: z.int().min(1),
  concurrency: z.int().min(1),
});
/** Limits that each daemon enforces on a customer's service requests. */
export type RequestLimits = z.infer<typeof requestLimitsSchema>;

export const customerSchema = z.object({
  id: customerIdSchema,
  name: z.string().min(1).max(MAXIMUM_NAME_LENGTH),
  guarantees: z.array(guaranteeSchema).max(100),
  /** Maximum accelerators in use at the same time in all zones together. */
  acceleratorCeiling: z.int().min(0),
  /** Share of lent capacity relative to other customers. */
  weight: z.number().positive(),
  requestLimits: requestLimitsSchema,
});
export type Customer = z.infer<typeof customerSchema>;

export const workClassSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('job'),
    id: workClassIdSchema,
    customerId: customerIdSchema,
    shape: gangShapeSchema,
    /** As declared by the customer; often inaccurate. */
    declaredRunTimeMs: z.number().positive(),
    urgency: z.enum(['urgent', 'normal']),
  }),
  z.object({
    kind: z.literal('request'),
    id: workClassIdSchema,
    customerId: customerIdSchema,
    /** False for non-idempotent work, which runs at most once. */
    repeatable: z.boolean(),
    deadlineMs: z.number().positive(),
  }),
]);
/** A class of jobs or of service requests. */
export type WorkClass = z.infer<typeof workClassSchema>;
export type JobClass = Extract<WorkClass, {kind: 'job'}>;
export type RequestClass = Extract<WorkClass, {kind: 'request'}>;

export const siteSchema = z.object({
  name: z.string().min(1).max(MAXIMUM_NAME_LENGTH),
  availabilityZones: z.array(availabilityZoneSchema).min(1).max(64),
  /** Weights of the placement score; they need not add up to one. */
  completionTimeWeight: z.number().min(0),
  fragmentationWeight: z.number().min(0),
});
export type Site = z.infer<typeof siteSchema>;

export const powerStateSchema = z.discriminatedUnion('supply', [
  z.object({supply: z.literal('grid')}),
  z.object({
    supply: z.literal('generator'),
    /** Energy left in the generator's fuel at `measuredAt`. */
    fuelKilowattHours: z.number().min(0),
    measuredAt: instantSchema,
  }),
]);
export type PowerState = z.infer<typeof powerStateSchema>;

export const configurationSchema = z.object({
  /** 0 before the first change; incremented by every change. */
  version: z.int().min(0),
  site: siteSchema.optional(),
  customers: z.array(customerSchema),
  workClasses: z.array(workClassSchema),
  power: powerStateSchema,
});
export type Configuration = z.infer<typeof configurationSchema>;

export const EMPTY_CONFIGURATION: Configuration = {
  version: 0,
  customers: [],
  workClasses: [],
  power: {supply: 'grid'},
};

export const configurationEditSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('set-site'), site: siteSchema}),
  z.object({
    kind: z.literal('set-customer'),
    customer: customerSchema,
    /** Replaces all classes of this customer. */
    workClasses: z.array(workClassSchema).max(200),
  }),
  z.object({
    kind: z.literal('remove-customer'),
    customerId: customerIdSchema,
  }),
  z.object({kind: z.literal('set-power'), power: powerStateSchema}),
]);
/** The effect of one change on the configuration. */
export type ConfigurationEdit = z.infer<typeof configurationEditSchema>;

export const configurationChangeSchema = z.object({
  id: changeIdSchema,
  /** The version that this change produced. */
  version: z.int().min(1),
  /** The version on which the author based the change. */
  baseVersion: z.int().min(0),
  author: z.string().min(1).max(MAXIMUM_NAME_LENGTH),
  acceptedAt: instantSchema,
  edit: configurationEditSchema,
});
/** An accepted change, which also serves as its audit entry. */
export type ConfigurationChange = z.infer<typeof configurationChangeSchema>;

export const configurationHeadSchema = z.object({
  version: z.int().min(0),
  /** Version of the snapshot that `recentChanges` build on. */
  snapshotVersion: z.int().min(0),
  /** Changes after the snapshot, in order and without gaps. */
  recentChanges: z.array(configurationChangeSchema),
});
/** Value of the store key `configuration/head`. */
export type ConfigurationHead = z.infer<typeof configurationHeadSchema>;

/** Applies `change`, which must have the next version. */
export function applyChange(
  configuration: Configuration,
  change: ConfigurationChange,
): Configuration {
  return {
    ...applyEdit(configuration, change.edit),
    version: change.version,
  };
}

function applyEdit(
  configuration: Configuration,
  edit: ConfigurationEdit,
): Configuration {
  switch (edit.kind) {
    case 'set-site':
      return {...configuration, site: edit.site};
    case 'set-power':
      return {...configuration, power: edit.power};
    case 'set-customer':
      return {
        ...withoutCustomer(configuration, edit.customer.id),
        customers: [
          ...configuration.customers.filter((c) => c.id !== edit.customer.id),
          edit.customer,
        ],
        workClasses: [
          ...configuration.workClasses.filter(
            (workClass) => workClass.customerId !== edit.customer.id,
          ),
          ...edit.workClasses,
        ],
      };
    case 'remove-customer':
      return withoutCustomer(configuration, edit.customerId);
  }
}

function withoutCustomer(
  configuration: Configuration,
  customerId: Customer['id'],
): Configuration {
  return {
    ...configuration,
    customers: configuration.customers.filter((c) => c.id !== customerId),
    workClasses: configuration.workClasses.filter(
      (workClass) => workClass.customerId !== customerId,
    ),
  };
}
