/**
 * HTTP server for JSON calls with bounded request bodies and a graceful close;
 * base of the interfaces for callers and operators.
 */

import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Duplex} from 'node:stream';
import polka from 'polka';
import type {Polka} from 'polka';
import {
  InvalidInputError,
  NotFoundError,
  UnavailableError,
  UnknownEffectError,
} from '../model/errors.js';
import {randomId} from '../model/ids.js';
import type {RequestId} from '../model/ids.js';
import {sendError} from './caller_answers.js';
import {BodyReader} from './request_body.js';

/** Clients that take longer to send a request are disconnected. */
const BODY_TIMEOUT_MS = 30_000;

/** Connections that are still open this long after the last response are closed. */
const CLOSE_GRACE_MS = 1_000;

/** Response header that carries the request id. */
export const REQUEST_ID_HEADER = 'X-Request-Id';

export type HttpMethod = 'GET' | 'POST' | 'DELETE';

/** One request of a client and the response to it. */
export interface Call {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly parameters: Readonly<Record<string, string>>;
  readonly query: Readonly<Record<string, string | string[]>>;
  /** Aborted if the client disconnects before the response is sent. */
  readonly signal: AbortSignal;
}

export type Handler = (call: Call) => Promise<void>;

export interface JsonServerOptions {
  /** Document that describes the calls; named in 404 responses. */
  readonly documentation: string;
  /** Called for every request before it is routed. */
  readonly prepare?: (response: ServerResponse) => void;
}

export class JsonServer {
  private readonly server: Server;
  private readonly router: Polka;
  private readonly bodyReader = new BodyReader();
  private readonly inProgress = new Set<Promise<void>>();
  /** Number of calls without a complete response, by connection. */
  private readonly unansweredCalls = new WeakMap<Duplex, number>();
  private readonly closeController = new AbortController();

  constructor(private readonly options: JsonServerOptions) {
    this.server = createServer({requestTimeout: BODY_TIMEOUT_MS});
    this.router = polka({
      onNoMatch: (_request, response) => this.answerNotFound(response),
    });
    this.server.on('clientError', (_error, socket) =>
      this.refuseMalformed(socket),
    );
    this.server.on('request', (request: IncomingMessage, response) => {
      const {socket} = request;
      this.countUnanswered(socket, 1);
      response.once('close', () => this.countUnanswered(socket, -1));
      const requestId = randomId<RequestId>('request');
      response.setHeader(REQUEST_ID_HEADER, requestId);
      // The client has to reconnect, which takes it to another entry VM.
      if (this.closing) response.setHeader('Connection', 'close');
      this.options.prepare?.(response);
      this.router.handler(request as Parameters<Polka['handler']>[0], response);
    });
  }

  get closing(): boolean {
    return this.closeController.signal.aborted;
  }

  /** Aborted when the server closes, so that handlers end long polls. */
  get closeSignal(): AbortSignal {
    return this.closeController.signal;
  }

  on(method: HttpMethod, path: string, handler: Handler): void {
    this.router.add(method, path, (request, response) => {
      this.track(handler, {
        request,
        response,
        parameters: request.params as Call['parameters'],
        query: request.query as Call['query'],
        signal: disconnectSignal(response),
      });
    });
  }

  /** Listens and returns the port; port 0 selects a free one. */
  async listen(host: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
    return (this.server.address() as AddressInfo).port;
  }

  /** Stops accepting connections and finishes the calls in progress. */
  async close(): Promise<void> {
    this.closeController.abort();
    const ended = new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
    while (this.inProgress.size > 0) await Promise.all(this.inProgress);
    const timer = setTimeout(
      () => this.server.closeAllConnections(),
      CLOSE_GRACE_MS,
    );
    this.server.closeIdleConnections();
    await ended;
    clearTimeout(timer);
  }

  /** If the body is refused, sends the error and returns undefined. */
  async readBody(
    call: Call,
    maximumBytes: number,
  ): Promise<string | undefined> {
    if (this.closing) {
      const error = new UnavailableError(
        'the daemon is stopping',
        'send the request again; it was not run',
      );
      sendError(call.response, error);
      return undefined;
    }
    const body = await this.bodyReader.read(call.request, maximumBytes);
    if (body.isOk) return body.value;
    // Reads and discards the rest, for at most BODY_TIMEOUT_MS: if a connection
    // is closed with unread data, the caller may never receive the response.
    call.request.resume();
    const tooLarge = body.error.kind === 'refused';
    sendError(call.response, body.error, tooLarge ? 413 : undefined);
    return undefined;
  }

  private track(handler: Handler, call: Call): void {
    const handled = this.handle(handler, call).finally(() => {
      this.inProgress.delete(handled);
    });
    this.inProgress.add(handled);
  }

  private async handle(handler: Handler, call: Call): Promise<void> {
    try {
      await handler(call);
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      const unknownEffect = new UnknownEffectError(
        `internal error in the daemon: ${detail}`,
        'report it with the request id',
      );
      sendError(call.response, unknownEffect, 500);
    }
    await waitForResponseEnd(call.response);
  }

  private countUnanswered(socket: Duplex, change: 1 | -1): void {
    const count = this.unansweredCalls.get(socket) ?? 0;
    this.unansweredCalls.set(socket, count + change);
  }

  /**
   * Sends 400 for input that is not HTTP. If an earlier call on the connection
   * has no response yet, only closes the connection, because the client would
   * take the 400 for the response to that call.
   */
  private refuseMalformed(socket: Duplex): void {
    if (!socket.writable || this.unansweredCalls.get(socket)) {
      socket.destroy();
      return;
    }
    const error = new InvalidInputError('call', 'not HTTP/1.1', 'send HTTP');
    const body = JSON.stringify({error: error.report()});
    const head = [
      'HTTP/1.1 400 Bad Request',
      `${REQUEST_ID_HEADER}: ${randomId<RequestId>('request')}`,
      'Content-Type: application/json; charset=utf-8',
      `Content-Length: ${Buffer.byteLength(body)}`,
      'Connection: close',
    ];
    socket.end(`${head.join('\r\n')}\r\n\r\n${body}`);
  }

  private answerNotFound(response: ServerResponse): void {
    const error = new NotFoundError(
      'there is no such method and path',
      `see ${this.options.documentation} for the calls`,
    );
    sendError(response, error);
  }
}

function disconnectSignal(response: ServerResponse): AbortSignal {
  const controller = new AbortController();
  response.once('close', () => {
    if (!response.writableFinished) controller.abort();
  });
  return controller.signal;
}

/** Resolves when the response is sent or the client has disconnected. */
async function waitForResponseEnd(response: ServerResponse): Promise<void> {
  if (response.writableFinished || response.destroyed) return;
  await new Promise<void>((resolve) => {
    response.once('finish', resolve);
    response.once('close', resolve);
  });
}
