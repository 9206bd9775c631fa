/**
 * Calls between the daemons of a hosted site, as JSON over HTTP. They are few:
 * questions to the leader, and calls that another daemon has to answer. An
 * HTTP call each, on a kept connection, costs less to load and to run here
 * than a tRPC router, which the first stage's peers still use.
 */

import type {ServerResponse} from 'node:http';
import type {z} from 'zod';
import {BodyReader} from '../daemon/request_body.js';
import {parseJson} from '../transport/http_call.js';
import type {ConnectionsByAddress} from '../transport/http_connections.js';
import type {
  CallerAnswer,
  CallerCall,
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

const ASK_PATH = '/peers/ask';
const CALL_PATH = '/peers/calls';
const ERRAND_PATH = '/peers/errands';
export const METRICS_PATH = '/metrics';

/** Answered from memory, a few milliseconds away. */
const ASK_TIMEOUT_MS = 400;

/** A forwarded call waits for the peer's call to the store (600 ms). */
const FORWARD_TIMEOUT_MS = 800;

const CONNECTIONS_PER_PEER = 8;
const MAXIMUM_MESSAGE_BYTES = 1_048_576;

export class HttpSitePeers extends SitePeers {
  constructor(private readonly connections: ConnectionsByAddress) {
    super();
  }

  override ask(
    address: string,
    question: LeaderQuery,
  ): Promise<LeaderReply | undefined> {
    return this.post(
      address,
      ASK_PATH,
      question,
      leaderReplySchema,
      ASK_TIMEOUT_MS,
    );
  }

  override forward(
    address: string,
    call: CallerCall,
  ): Promise<CallerAnswer | undefined> {
    return this.post(
      address,
      CALL_PATH,
      call,
      callerAnswerSchema,
      FORWARD_TIMEOUT_MS,
    );
  }

  override relay(
    address: string,
    errand: RelayedStoreCall,
  ): Promise<RelayedCallReply | undefined> {
    return this.post(
      address,
      ERRAND_PATH,
      errand,
      relayedCallReplySchema,
      FORWARD_TIMEOUT_MS,
    );
  }

  private async post<T>(
    address: string,
    path: string,
    message: object,
    schema: z.ZodType<T>,
    timeoutMs: number,
  ): Promise<T | undefined> {
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
    if (answer.isErr) return undefined;
    const parsed = schema.safeParse(parseJson(answer.value.body));
    return parsed.success ? parsed.data : undefined;
  }
}

export interface PeerTarget {
  readonly queryHandler: LeaderQueryHandler;
  readonly operatorApi: SiteOperatorApi;
  handleForwarded(call: CallerCall): Promise<CallerAnswer>;
  runRelayedStoreCall(errand: RelayedStoreCall): Promise<RelayedCallReply>;
  metrics(): Promise<string>;
}

/** Returns the handler of the peers' address. */
export function peerHandler(target: PeerTarget): HttpHandler {
  const bodies = new BodyReader();
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
    const message = body.isOk ? parseJson(Buffer.from(body.value)) : undefined;
    if (request.url === ASK_PATH) {
      const question = leaderQuerySchema.safeParse(message);
      if (question.success) {
        sendJson(response, target.queryHandler.answer(question.data));
        return;
      }
    }
    if (request.url === CALL_PATH) {
      const call = callerCallSchema.safeParse(message);
      if (call.success) {
        sendJson(response, await target.handleForwarded(call.data));
        return;
      }
    }
    if (request.url === ERRAND_PATH) {
      const errand = relayedStoreCallSchema.safeParse(message);
      if (errand.success) {
        sendJson(response, await target.runRelayedStoreCall(errand.data));
        return;
      }
    }
    response.writeHead(400);
    response.end();
  };
}

function sendJson(response: ServerResponse, message: object): void {
  const text = JSON.stringify(message);
  response.writeHead(200, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}
