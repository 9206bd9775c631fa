/**
 * An HTTP server for JSON calls with bounded bodies and a graceful close. The
 * callers' and the operators' interface are built on it.
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

/** A client that needs longer for its body is disconnected. */
const BODY_TIMEOUT_MS = 30_000;

/** Connections still open this long after the last answer are closed. */
const CLOSE_GRACE_MS = 1_000;

/** Names the request on every answer. */
export const REQUEST_ID_HEADER = 'X-Request-Id';

export type HttpMethod = 'GET' | 'POST' | 'DELETE';

/** One call of a client. */
export interface Call {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly parameters: Readonly<Record<string, string>>;
  readonly query: Readonly<Record<string, string | string[]>>;
  /** Aborted when the client disconnects before the answer. */
  readonly signal: AbortSignal;
}

export type Handler = (call: Call) => Promise<void>;

export interface JsonServerOptions {
  /** Document that describes the calls. */
  readonly documentation: string;
  /** Called for every call before it is routed. */
  readonly prepare?: (response: ServerResponse) => void;
}

export class JsonServer {
  private readonly server: Server;
  private readonly router: Polka;
  private readonly bodyReader = new BodyReader();
  private readonly inProgress = new Set<Promise<void>>();
  /** Calls that were not answered yet, by connection. */
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
      // The client's next connection goes to another entry VM.
      if (this.closing) response.setHeader('Connection', 'close');
      this.options.prepare?.(response);
      this.router.handler(request as Parameters<Polka['handler']>[0], response);
    });
  }

  get closing(): boolean {
    return this.closeController.signal.aborted;
  }

  /** Aborted when the server closes; ends waits that are in progress. */
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

  /** Listens and returns the port; 0 lets the system choose one. */
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

  /** Stops accepting and finishes the calls in progress. */
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

  /** Answers and returns undefined if the body cannot be taken. */
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
    // The rest is read and dropped, for at most the body's time limit: closing
    // a connection with unread data can take the answer away from the caller.
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
      const effect = new UnknownEffectError(
        `fault in the daemon: ${detail}`,
        'report it with the request id',
      );
      sendError(call.response, effect, 500);
    }
    await waitForResponseEnd(call.response);
  }

  private countUnanswered(socket: Duplex, change: 1 | -1): void {
    const count = this.unansweredCalls.get(socket) ?? 0;
    this.unansweredCalls.set(socket, count + change);
  }

  /**
   * Answers input that is not HTTP, unless an earlier call on the connection
   * waits for its answer: the client would take this one for it.
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

/** Resolves when the answer was sent or the client is gone. */
async function waitForResponseEnd(response: ServerResponse): Promise<void> {
  if (response.writableFinished || response.destroyed) return;
  await new Promise<void>((resolve) => {
    response.once('finish', resolve);
    response.once('close', resolve);
  });
}
