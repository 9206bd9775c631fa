/**
 * Run log of a stand-in: one JSON line per event on standard output. Tests use
 * it as the reference for what ran and when.
 */

import bunyan from 'bunyan';
import {z} from 'zod';
import {
  customerIdSchema,
  gangIdSchema,
  jobIdSchema,
  requestIdSchema,
  taskIdSchema,
  vmIdSchema,
  workClassIdSchema,
} from '../model/ids.js';

const storeEventSchema = z.object({
  event: z.enum(['written', 'deleted']),
  /** Milliseconds since the Unix epoch. */
  at: z.number(),
  key: z.string(),
  revision: z.int(),
});

const taskEventSchema = z.object({
  event: z.enum([
    'held',
    /** The task starts to run. */
    'released',
    /** Removed from the task list. A running task is stopped. */
    'removed',
    'checkpointed',
    'throttled',
    'finished',
    'failed',
    /** Stopped because the worker's lease lapsed. */
    'leaseLapsed',
  ]),
  at: z.number(),
  workerId: vmIdSchema,
  taskId: taskIdSchema,
  gangId: gangIdSchema,
  /** Number of tasks in the gang, including this one. */
  gangSize: z.int(),
  jobId: jobIdSchema,
  accelerators: z.array(z.int()),
  /** Checkpoint that was written or that the task resumes from. */
  checkpoint: z.string().optional(),
  /** Fraction of full speed that the task is throttled to. */
  share: z.number().optional(),
});

const requestEventSchema = z.object({
  event: z.enum(['runStarted', 'runEnded']),
  at: z.number(),
  minionId: vmIdSchema,
  requestId: requestIdSchema,
  workClassId: workClassIdSchema,
  customerId: customerIdSchema,
});

const linkEventSchema = z.object({
  event: z.literal('linkFaultsSet'),
  at: z.number(),
  link: z.string(),
});

export const runEventSchema = z.union([
  storeEventSchema,
  taskEventSchema,
  requestEventSchema,
  linkEventSchema,
]);
export type StoreEvent = z.infer<typeof storeEventSchema>;
export type TaskEvent = z.infer<typeof taskEventSchema>;
export type RequestEvent = z.infer<typeof requestEventSchema>;
export type LinkEvent = z.infer<typeof linkEventSchema>;
export type RunEvent = z.infer<typeof runEventSchema>;

/** Receives the events of a stand-in in the order in which they occur. */
export abstract class RunLog {
  abstract record(event: RunEvent): void;
}

/** Writes events to standard output, after the line with the addresses. */
export class StdoutRunLog extends RunLog {
  private readonly logger: bunyan;
  private readonly pendingEvents: RunEvent[] = [];
  private isOpen = false;

  constructor(name: string) {
    super();
    this.logger = bunyan.createLogger({name, stream: process.stdout});
  }

  /** Writes `firstLine`, then the events recorded until now. */
  open(firstLine: object): void {
    process.stdout.write(`${JSON.stringify(firstLine)}\n`);
    this.isOpen = true;
    for (const event of this.pendingEvents.splice(0)) this.record(event);
  }

  override record(event: RunEvent): void {
    if (this.isOpen) {
      this.logger.info(event, `[run] ${event.event}`);
    } else {
      this.pendingEvents.push(event);
    }
  }
}
