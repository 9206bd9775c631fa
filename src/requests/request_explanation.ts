/**
 * The answer to where a service request would go now, shared by the daemon and
 * the command-line tool. Times are in milliseconds.
 */

import {z} from 'zod';
import {requestLimitsSchema} from '../model/configuration.js';
import {
  availabilityZoneSchema,
  customerIdSchema,
  daemonIdSchema,
  vmIdSchema,
  workClassIdSchema,
} from '../model/ids.js';
import {notRunReasonSchema} from '../model/requests.js';
import {minionRuleSchema} from './routing.js';

/** Of the operators' interface, with the fields of a `RequestQuery`. */
export const REQUEST_EXPLANATION_PATH = '/operator/requests/explanation';

export const requestQuerySchema = z.object({
  customerId: customerIdSchema,
  workClassId: workClassIdSchema,
});
export type RequestQuery = Readonly<z.infer<typeof requestQuerySchema>>;

const refusalSchema = z.object({
  reason: notRunReasonSchema,
  message: z.string(),
  retryAfterMs: z.number().min(0).optional(),
});

export const consideredMinionSchema = z.object({
  minionId: vmIdSchema,
  availabilityZone: availabilityZoneSchema,
  homeDaemonId: daemonIdSchema,
  slots: z.int().min(0),
  /** Waiting and running requests, as the router estimates them. */
  estimatedLength: z.number().min(0),
  /** Share of the requests that would go there: the choice is partly random. */
  share: z.number().min(0).max(1),
  /** `notAsked` if another daemon has the minion's queue. */
  queue: z.discriminatedUnion('kind', [
    z.object({kind: z.literal('notAsked')}),
    z.object({kind: z.literal('refuses'), refusal: refusalSchema}),
    z.object({
      kind: z.literal('accepts'),
      /** Waiting requests that would be sent first. */
      ahead: z.int().min(0),
      /** 0 if a slot is free or no service time has been measured. */
      expectedWaitMs: z.number().min(0),
      /** Customer whose newest waiting request would be refused instead. */
      displaced: customerIdSchema.optional(),
    }),
  ]),
});
export type ConsideredMinion = z.infer<typeof consideredMinionSchema>;

export const requestExplanationSchema = z.object({
  daemonId: daemonIdSchema,
  availabilityZone: availabilityZoneSchema,
  customerId: customerIdSchema,
  workClassId: workClassIdSchema,
  /** First check that would refuse the request; absent if none would. */
  refused: refusalSchema
    .extend({check: z.enum(['stopping', 'customerLimit', 'route'])})
    .optional(),
  /** On this daemon. */
  limits: requestLimitsSchema,
  inUse: z.object({
    inProgress: z.int().min(0),
    /** Requests that the rate still allows at once, up to the burst. */
    tokens: z.number().min(0),
  }),
  /** True if a request with a key would have to take a claim; not asked. */
  claimNotAsked: z.boolean(),
  /** The likeliest first; cut, with the number of all. */
  considered: z.array(consideredMinionSchema),
  consideredCount: z.int().min(0),
  ruledOut: z.array(z.object({rule: minionRuleSchema, count: z.int().min(1)})),
});
export type RequestExplanation = z.infer<typeof requestExplanationSchema>;
