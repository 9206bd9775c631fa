/**
 * Calls between the daemons of a hosted site, as JSON over HTTP: queries to
 * the leader, forwarded callers' calls and relayed store calls. Plain HTTP on
 * persistent connections costs less to load and to run for these few calls
 * than the tRPC router that peers outside hosted sites use.
 */

import type {ServerResponse} from 'node:http';
import {Result} from 'true-myth';
import type {z} from 'zod';
import {BodyReader, parseBody} from '../daemon/request_body.js';
import {parseJson} from '../transport/http_call.js';
import type {
  ConnectionsByAddress,
  ExchangeFailure,
} from '../transport/http_connections.js';
import type {
  CallerAnswer,
  CallerCall,
  ForwardOutcome,
  LeaderQueryHandler,
  RelayedCallReply,
  LeaderQuery,
  LeaderReply,
  RelayedStoreCall,
} from './calls.js';
import {
  SitePeers,
  callerAnswerSchema,
  callerCallSchema,
  relayedCallReplySchema,
  leaderQuerySchema,
  leaderReplySchema,
  relayedStoreCallSchema,
} from './calls.js';
import type {HttpHandler} from './http_listener.js';
import {SITE_PATH} from './site_operators.js';
import type {SiteOperatorApi} from './site_operators.js';
import {RequestMemory} from './request_memory.js';

const ASK_PATH = '/peers/ask';
const FORWARD_PATH = '/peers/calls';
const RELAY_PATH = '/peers/errands';
export const METRICS_PATH = '/metrics';

/** A query is answered from memory within a few milliseconds. */
const ASK_TIMEOUT_MS = 400;

/** Exceeds the peer's store timeout, 600 ms, which the call may wait for. */
const FORWARD_TIMEOUT_MS = 800;

const CONNECTIONS_PER_PEER = 8;

/** Memory for each byte of a message; a step takes 100 of them at least. */
const MESSAGE_EXPANSION = 8;

const STATUS_INVALID = 400;
const STATUS_UNAVAILABLE = 503;

/** Largest message between daemons. */
export const MAXIMUM_MESSAGE_BYTES = 1_048_576;

export class HttpSitePeers extends SitePeers {
  constructor(private readonly connections: ConnectionsByAddress) {
    super();
  }

  override async ask(
    address: string,
    query: LeaderQuery,
  ): Promise<LeaderReply | undefined> {
    const reply = await this.post(
      address,
      ASK_PATH,
      query,
      leaderReplySchema,
      ASK_TIMEOUT_MS,
    );
    return reply.unwrapOr(undefined);
  }

  override async forward(
    address: string,
    call: CallerCall,
  ): Promise<ForwardOutcome> {
    const answer = await this.post(
      address,
      FORWARD_PATH,
      call,
      callerAnswerSchema,
      FORWARD_TIMEOUT_MS,
    );
    if (answer.isErr) {
      return {kind: answer.error === 'not-sent' ? 'notSent' : 'unanswered'};
    }
    return {kind: 'answered', answer: answer.value};
  }

  override async relay(
    address: string,
    call: RelayedStoreCall,
  ): Promise<RelayedCallReply | undefined> {
    const reply = await this.post(
      address,
      RELAY_PATH,
      call,
      relayedCallReplySchema,
      FORWARD_TIMEOUT_MS,
    );
    return reply.unwrapOr(undefined);
  }

  private async post<T>(
    address: string,
    path: string,
    message: object,
    schema: z.ZodType<T>,
    timeoutMs: number,
  ): Promise<Result<T, ExchangeFailure['kind']>> {
    const answer = await this.connections
      .get(address, CONNECTIONS_PER_PEER)
      .exchange({
        method: 'POST',
        path,
        headers: {'content-type': 'application/json'},
        body: JSON.stringify(message),
        timeoutMs,
        maximumAnswerBytes: MAXIMUM_MESSAGE_BYTES,
      });
    if (answer.isErr) return Result.err(answer.error.kind);
    // A peer that refuses a message has not handled it.
    if (answer.value.status === STATUS_UNAVAILABLE) {
      return Result.err('not-sent');
    }
    const parsed = schema.safeParse(parseJson(answer.value.body));
    return parsed.success ? Result.ok(parsed.data) : Result.err('malformed');
  }
}

export interface PeerTarget {
  readonly queryHandler: LeaderQueryHandler;
  readonly operatorApi: SiteOperatorApi;
  handleForwarded(call: CallerCall): Promise<CallerAnswer>;
  runRelayedStoreCall(call: RelayedStoreCall): Promise<RelayedCallReply>;
  metrics(): Promise<string>;
}

/** Returns the HTTP handler for the peer address, which serves metrics too. */
export function peerHandler(target: PeerTarget): HttpHandler {
  const bodies = new BodyReader();
  const memory = new RequestMemory();
  return async (request, response) => {
    if (request.url === METRICS_PATH) {
      response.writeHead(200, {'content-type': 'text/plain; version=0.0.4'});
      response.end(await target.metrics());
      return;
    }
    if (request.url?.startsWith(SITE_PATH) === true) {
      await target.operatorApi.handle(request, response);
      return;
    }
    const body = await bodies.read(request, MAXIMUM_MESSAGE_BYTES);
    if (body.isErr) {
      // An unread rest would keep the connection from further requests.
      request.resume();
      sendStatus(response, STATUS_INVALID);
      return;
    }
    const bytes = Buffer.byteLength(body.value) * MESSAGE_EXPANSION;
    const answer = await memory.use(bytes, () =>
      answerMessage(target, request.url, parseBody(body.value)),
    );
    if (answer === undefined) sendStatus(response, STATUS_UNAVAILABLE);
    else if (answer.isErr) sendStatus(response, STATUS_INVALID);
    else sendJson(response, answer.value);
  };
}

/** Returns the answer to a peer's message, or an error for an unknown one. */
async function answerMessage(
  target: PeerTarget,
  path: string | undefined,
  message: unknown,
): Promise<Result<object, 'invalid'>> {
  if (path === ASK_PATH) {
    const query = leaderQuerySchema.safeParse(message);
    if (query.success) return Result.ok(target.queryHandler.answer(query.data));
  }
  if (path === FORWARD_PATH) {
    const call = callerCallSchema.safeParse(message);
    if (call.success) return Result.ok(await target.handleForwarded(call.data));
  }
  if (path === RELAY_PATH) {
    const call = relayedStoreCallSchema.safeParse(message);
    if (call.success) {
      return Result.ok(await target.runRelayedStoreCall(call.data));
    }
  }
  return Result.err('invalid');
}

function sendStatus(response: ServerResponse, status: number): void {
  response.writeHead(status);
  response.end();
}

function sendJson(response: ServerResponse, message: object): void {
  const text = JSON.stringify(message);
  response.writeHead(200, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}
