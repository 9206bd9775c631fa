/**
 * The protocol between daemons: a `trpc` router over WebSockets, its size
 * limits and the encoding of errors.
 */

import {TRPCError, initTRPC} from '@trpc/server';
import {Result} from 'true-myth';
import {ZodError, z} from 'zod';
import {
  ProtocolError,
  RefusedError,
  SystemError,
  errorFromReport,
  errorReportSchema,
} from '../model/errors.js';
import type {CallError, ErrorReport} from '../model/errors.js';
import {jobIdSchema} from '../model/ids.js';
import {jobRecordSchema} from '../model/jobs.js';
import {outcomeSchema} from '../model/requests.js';
import type {Heartbeat, PeerHandler} from '../interfaces/peer_client.js';
import {
  claimQuerySchema,
  configurationUpdateSchema,
  dispatchSchema,
  jobReportSchema,
} from '../interfaces/peer_client.js';
import {
  decodeHeartbeat,
  encodeHeartbeat,
  heartbeatMessageSchema,
} from './heartbeat_delta.js';
import type {HeartbeatMessage} from './heartbeat_delta.js';

/** URL path of the peer WebSocket. */
export const PEER_PATH = '/peer';

/**
 * A payload of 1 Mi characters takes at most 6 MiB as JSON, since an escaped
 * character takes 6 bytes.
 */
export const MAXIMUM_MESSAGE_BYTES = 8 * 1_048_576;

export const versionQuerySchema = z.object({version: z.int().min(0)});
export const jobQuerySchema = z.object({jobId: jobIdSchema});
export const jobReportsSchema = z.array(jobReportSchema);

/** Server-side state of one connection. */
export interface PeerConnection {
  /** The peer's last heartbeat on this connection. */
  lastHeartbeat?: Heartbeat | undefined;
  /** The answer to `lastHeartbeat`. */
  lastAnswer?: Heartbeat | undefined;
}

const trpc = initTRPC.context<PeerConnection>().create({
  isDev: false,
  errorFormatter: ({shape, error, path}) => {
    const report = toErrorReport(error, path ?? 'the call');
    return {code: shape.code, message: report.message, data: {report}};
  },
});

export function createPeerRouter(handler: PeerHandler) {
  const call = trpc.procedure;
  return trpc.router({
    heartbeat: call
      .input(heartbeatMessageSchema)
      .output(heartbeatMessageSchema)
      .mutation(({input, ctx}) => answerHeartbeat(handler, input, ctx)),
    configurationSince: call
      .input(versionQuerySchema)
      .output(configurationUpdateSchema)
      .query(({input}) => handler.configurationSince(input.version)),
    dispatch: call
      .input(dispatchSchema)
      .output(outcomeSchema)
      .mutation(({input}) => handler.dispatch(input)),
    submitJob: call
      .input(jobRecordSchema)
      .mutation(async ({input}) =>
        unwrapOrThrow(await handler.submitJob(input)),
      ),
    cancelJob: call
      .input(jobQuerySchema)
      .output(jobReportSchema)
      .mutation(async ({input}) =>
        unwrapOrThrow(await handler.cancelJob(input.jobId)),
      ),
    job: call
      .input(jobQuerySchema)
      .output(jobReportSchema)
      .query(async ({input}) => unwrapOrThrow(await handler.job(input.jobId))),
    jobs: call.output(jobReportsSchema).query(() => [...handler.jobs()]),
    claimOutcome: call
      .input(claimQuerySchema)
      .output(outcomeSchema)
      .query(({input}) => handler.claimOutcome(input.requestId)),
  });
}
export type PeerRouter = ReturnType<typeof createPeerRouter>;

function answerHeartbeat(
  handler: PeerHandler,
  message: HeartbeatMessage,
  connection: PeerConnection,
): HeartbeatMessage {
  const heartbeat = decodeHeartbeat(message, connection.lastHeartbeat);
  if (!heartbeat) {
    return unwrapOrThrow<never>(
      Result.err(
        new RefusedError(
          'the first heartbeat of a connection names only changes',
          'send a full heartbeat',
        ),
      ),
    );
  }
  const answer = handler.heartbeat(heartbeat);
  const known = message.changed ? connection.lastAnswer : undefined;
  connection.lastHeartbeat = heartbeat;
  connection.lastAnswer = answer;
  return encodeHeartbeat(answer, known);
}

function unwrapOrThrow<T>(result: Result<T, CallError>): T {
  if (result.isOk) return result.value;
  throw new TRPCError({
    code: 'UNPROCESSABLE_CONTENT',
    message: result.error.problem,
    cause: result.error,
  });
}

/**
 * Converts an error of a failed call. Without a report of the handler, only an
 * invalid input and an unknown procedure are certain to have had no effect; in
 * any other case the procedure ran.
 */
export function toErrorReport(error: TRPCError, path: string): ErrorReport {
  if (error.cause instanceof SystemError) return error.cause.report();
  if (error.code === 'BAD_REQUEST' && error.cause instanceof ZodError) {
    const issue = error.cause.issues[0];
    const field = [path, ...(issue?.path ?? [])].join('.');
    return {
      kind: 'invalid-input',
      message: `${field}: ${issue?.message ?? 'does not match the schema'}`,
      remedy: 'run the same version on all daemons',
    };
  }
  if (error.code === 'NOT_FOUND' || error.code === 'METHOD_NOT_SUPPORTED') {
    return {
      kind: 'refused',
      message: `the peer does not know ${path}`,
      remedy: 'run the same version on all daemons',
    };
  }
  return {
    kind: 'unknown-effect',
    message: `${path} failed in the peer: ${error.message}`,
    remedy: 'see the log of the peer',
  };
}

/** Returns the error that a peer reported in the `data` of an error answer. */
export function errorFromAnswer(data: unknown): CallError {
  const parsed = z.object({report: errorReportSchema}).safeParse(data);
  if (!parsed.success) {
    return new ProtocolError(
      'the peer answered with a malformed error',
      'run the same version on all daemons',
    );
  }
  return errorFromReport(parsed.data.report);
}
