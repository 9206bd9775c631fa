/**
 * Paths, headers and body schemas shared by the HTTP servers of the platform,
 * workers and minions and their clients. Ids need no escaping in paths.
 *
 * - store: `GET|PUT|DELETE /store/entry`, `GET /store/entries`,
 *   `GET /store/watch`; the value is the body of the `PUT`;
 * - VM list: `GET /vms/watch`;
 * - workers: `POST /tasks/:taskId/hold|release|checkpoint|throttle`,
 *   `DELETE /tasks/:taskId`, `GET /tasks`, `POST /watch`;
 * - minions: `POST /run`; payload and answer are the bodies.
 *
 * Except for minions, the body of an answer with an error status is an
 * `ErrorReport`, whose kind states whether the call had an effect.
 */

import {createHash} from 'node:crypto';
import {isDeepStrictEqual} from 'node:util';
import {z} from 'zod';
import {gangIdSchema, vmIdSchema} from '../model/ids.js';
import {taskListSchema, taskStatusSchema} from '../model/jobs.js';
import type {TaskList, TaskStatus} from '../model/jobs.js';
import {vmSchema} from '../interfaces/vm_list.js';
import {NO_LIST_VERSION} from '../interfaces/worker_client.js';

const storeEntrySchema = z.object({
  key: z.string(),
  value: z.string(),
  revision: z.int().min(1),
});

/** Answer to `GET /store/entry`; `entry` is omitted if the key is absent. */
export const entryAnswerSchema = z.object({entry: storeEntrySchema.optional()});

/** Answer to `GET /store/entries`. */
export const listAnswerSchema = z.object({
  revision: z.int().min(0),
  entries: z.array(storeEntrySchema),
});

/** Answer to `PUT` and `DELETE /store/entry`. */
export const writeAnswerSchema = z.object({revision: z.int().min(1)});

/** Answer to `GET /store/watch`. */
export const watchAnswerSchema = z.object({
  revision: z.int().min(0),
  changed: z.array(storeEntrySchema),
  deletedKeys: z.array(z.string()),
  compacted: z.boolean(),
});

/** Answer to `GET /vms/watch`. */
export const vmListAnswerSchema = z.object({
  version: z.int().min(0),
  vms: z.array(vmSchema),
  complete: z.boolean(),
});

/** Answer to a call that returns nothing. */
export const emptyAnswerSchema = z.object({});

/** Answer to `POST /tasks/:taskId/release`. */
export const releaseAnswerSchema = z.object({released: z.boolean()});

/** Answer to `POST /tasks/:taskId/checkpoint`. */
export const checkpointAnswerSchema = z.object({checkpoint: z.string()});

/** Body of `POST /tasks/:taskId/throttle`. */
export const throttleBodySchema = z.object({share: z.number().min(0).max(1)});

/** Body of `POST /watch`, which renews the worker's lease. */
export const watchBodySchema = z.object({
  afterVersion: z.int().min(NO_LIST_VERSION),
  /** Worker incarnation of `afterVersion`; permits the answer "unchanged". */
  afterRunId: z.string().optional(),
  waitMs: z.number().min(0),
  leaseMs: z.number().positive(),
});

/**
 * Wire format of a task list, which is sent in full on each change. Members are
 * listed once per gang, since 8 tasks of a gang of 64 on one worker would
 * otherwise repeat 40 KB of them. A task may also carry its own members.
 */
export const taskListMessageSchema = taskListSchema
  .extend({
    tasks: z.array(
      taskStatusSchema.extend({
        members: taskStatusSchema.shape.members.optional(),
      }),
    ),
    gangs: z
      .array(
        z.object({
          gangId: gangIdSchema,
          members: taskStatusSchema.shape.members,
        }),
      )
      .default([]),
  })
  .transform(({gangs, tasks, ...list}, context): TaskList => {
    const byGang = new Map(gangs.map((gang) => [gang.gangId, gang.members]));
    return {
      ...list,
      tasks: tasks.map((task): TaskStatus => {
        // Tasks of a gang share one array to save memory.
        const members = task.members ?? byGang.get(task.gangId);
        if (members !== undefined) return {...task, members};
        context.addIssue(`no members are listed for gang ${task.gangId}`);
        return z.NEVER;
      }),
    };
  });

/** Returns the body that `taskListMessageSchema` parses. */
export function encodeTaskList(
  list: TaskList,
): z.input<typeof taskListMessageSchema> {
  const gangs = new Map(
    list.tasks.map(({gangId, members}) => [gangId, members]),
  );
  return {
    ...list,
    gangs: [...gangs].map(([gangId, members]) => ({gangId, members})),
    tasks: list.tasks.map(({members, ...task}) =>
      isDeepStrictEqual(gangs.get(task.gangId), members)
        ? task
        : {...task, members},
    ),
  };
}

/**
 * Answer to `POST /watch` if the list has not changed since `afterVersion` of
 * `afterRunId`.
 */
export const unchangedListSchema = z.object({
  workerId: vmIdSchema,
  unchanged: z.literal(true),
  leaving: z.boolean(),
  drawWatts: z.number().min(0).optional(),
});

/** Answer to `POST /watch`. */
export const watchTasksAnswerSchema = z.union([
  unchangedListSchema,
  taskListMessageSchema,
]);

export const REQUEST_ID_HEADER = 'x-request-id';
export const CUSTOMER_HEADER = 'x-customer-id';
export const WORK_CLASS_HEADER = 'x-work-class-id';
export const REPEATABLE_HEADER = 'x-repeatable';
/** Time that the caller waits for the answer, in milliseconds. */
export const TIME_LIMIT_HEADER = 'x-time-limit-ms';
/** `true` in an answer of a minion whose VM is leaving. */
export const LEAVING_HEADER = 'x-leaving';
export const DIGEST_HEADER = 'content-digest';

/** Body of the 503 answer of a minion that did not run the request. */
export const notRunAnswerSchema = z.object({
  notRun: z.literal(true),
  message: z.string(),
});

/** Returns the `content-digest` header (RFC 9530) of `body`. */
export function contentDigest(body: Buffer | string): string {
  const digest = createHash('sha256').update(body).digest('base64');
  return `sha-256=:${digest}:`;
}
