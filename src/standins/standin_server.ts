/**
 * HTTP server of a stand-in. It routes with polka, answers with JSON and can
 * be told to misbehave.
 */

import {once} from 'node:events';
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import polka from 'polka';
import {z} from 'zod';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {ErrorKind, InvalidInputError} from '../model/errors.js';
import {SystemError, UnavailableError} from '../model/errors.js';
import {validate, validateJson} from '../model/validation.js';
import {listenUntilClosed} from './listening.js';

const SUCCESS_STATUS = 200;
const MAXIMUM_BODY_BYTES = 8 * 1_048_576;

/** Longer than the time for which clients keep an unused connection. */
const KEEP_ALIVE_MS = 60_000;

const STATUS_BY_ERROR_KIND: Readonly<Record<ErrorKind, number>> = {
  'invalid-input': 400,
  'not-found': 404,
  conflict: 409,
  refused: 429,
  unavailable: 503,
  timeout: 504,
  'unknown-effect': 500,
  protocol: 500,
};

export const serverFaultsSchema = z.object({
  /** Resets the connection of every call, waiting and new. */
  down: z.boolean().default(false),
  /** Answers every call that it is unavailable and does nothing else. */
  unavailable: z.boolean().default(false),
  /** Accepts calls, does nothing and never answers. */
  silent: z.boolean().default(false),
  /** Waits this long before it processes a call. */
  slowMs: z.number().min(0).default(0),
  /** Carries out this many writes and closes the connection unanswered. */
  loseWriteAnswers: z.int().min(0).default(0),
});
/** Faults of a stand-in's server. */
export type ServerFaults = z.infer<typeof serverFaultsSchema>;

export const NO_FAULTS: ServerFaults = serverFaultsSchema.parse({});

/** One call that a stand-in received. */
export interface ReceivedCall {
  readonly params: Readonly<Record<string, unknown>>;
  readonly query: unknown;
  readonly body: Buffer;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Aborted when the call was answered or its connection closed. */
  readonly signal: AbortSignal;
}

/** Returns the JSON body of the answer; throws a `SystemError` to refuse. */
export type CallHandler = (call: ReceivedCall) => unknown;

export type HttpMethod = 'GET' | 'POST' | 'PUT' | 'DELETE';

/** Applies faults to the calls of one service. */
export class FaultInjector {
  private readonly openSockets = new Set<Socket>();
  private currentFaults: ServerFaults = NO_FAULTS;

  get faults(): ServerFaults {
    return this.currentFaults;
  }

  set faults(faults: ServerFaults) {
    this.currentFaults = faults;
    if (!faults.down) return;
    for (const socket of this.openSockets) socket.resetAndDestroy();
  }

  /** Runs the handler and answers, unless a fault prevents it. */
  async handle(
    call: ReceivedCall,
    handler: CallHandler,
    isWrite: boolean,
  ): Promise<void> {
    const {socket} = call.request;
    this.openSockets.add(socket);
    call.response.on('close', () => this.openSockets.delete(socket));
    if (this.currentFaults.down) socket.resetAndDestroy();
    if (this.currentFaults.down || this.currentFaults.silent) return;
    if (this.currentFaults.slowMs > 0) await wait(this.currentFaults.slowMs);
    try {
      if (this.currentFaults.unavailable) {
        throw new UnavailableError('outage', 'try again later');
      }
      const body = await handler(call);
      if (isWrite && this.consumeLostAnswer()) socket.destroy();
      else sendJson(call.response, SUCCESS_STATUS, body ?? {});
    } catch (error) {
      sendError(call.response, error);
    }
  }

  private consumeLostAnswer(): boolean {
    const {loseWriteAnswers} = this.currentFaults;
    if (loseWriteAnswers === 0) return false;
    this.currentFaults = {
      ...this.currentFaults,
      loseWriteAnswers: loseWriteAnswers - 1,
    };
    return true;
  }
}

export class StandinServer {
  readonly server: Server;
  private readonly router: polka.Polka;
  private readonly sockets = new Set<Socket>();

  constructor() {
    this.server = createServer({keepAliveTimeout: KEEP_ALIVE_MS});
    // A stand-in may stay silent for as long as a test wants.
    this.server.requestTimeout = 0;
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      // A reset by the client is expected and needs no handling.
      socket.on('error', () => undefined);
      socket.on('close', () => this.sockets.delete(socket));
    });
    this.router = polka();
    this.server.on('request', (request, response) => {
      this.router.handler(
        request as Parameters<typeof this.router.handler>[0],
        response,
      );
    });
  }

  /** Number of open connections. */
  get connectionCount(): number {
    return this.sockets.size;
  }

  /** Listens until the scope closes and returns host and port. */
  listen(scope: CleanupScope, host: string, port: number): Promise<string> {
    const {server} = this;
    return listenUntilClosed(server, scope, host, port, () => this.close());
  }

  /** Adds a call that changes nothing. */
  addReadRoute(
    method: HttpMethod,
    path: string,
    handler: CallHandler,
    injector = new FaultInjector(),
  ): void {
    this.addRoute(method, path, (call) =>
      injector.handle(call, handler, false),
    );
  }

  /** Adds a call whose answer `loseWriteAnswers` may lose. */
  addWriteRoute(
    method: HttpMethod,
    path: string,
    handler: CallHandler,
    injector = new FaultInjector(),
  ): void {
    this.addRoute(method, path, (call) => injector.handle(call, handler, true));
  }

  /** Adds a call whose handler writes the answer itself. */
  addRoute(
    method: HttpMethod,
    path: string,
    handler: (call: ReceivedCall) => Promise<void>,
  ): void {
    this.router.add(method, path, (request, response) => {
      void readCall(request, response).then(
        async (call) => {
          if (call !== undefined) await handler(call);
        },
        () => request.socket.destroy(),
      );
    });
  }

  private async close(): Promise<void> {
    const closed = once(this.server, 'close');
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
    await closed;
  }
}

/** A request as polka hands it to a route. */
interface RoutedRequest extends IncomingMessage {
  readonly params: Readonly<Record<string, unknown>>;
  readonly query: unknown;
}

/** Reads the body of a call; returns undefined if the call was cut off. */
async function readCall(
  request: RoutedRequest,
  response: ServerResponse,
): Promise<ReceivedCall | undefined> {
  const controller = new AbortController();
  response.on('close', () => controller.abort());
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    if (bytes > MAXIMUM_BODY_BYTES) {
      request.socket.destroy();
      return undefined;
    }
    chunks.push(chunk);
  }
  return {
    params: request.params,
    query: request.query,
    body: Buffer.concat(chunks),
    request,
    response,
    signal: controller.signal,
  };
}

function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

function sendError(response: ServerResponse, error: unknown): void {
  if (error instanceof SystemError) {
    sendJson(response, STATUS_BY_ERROR_KIND[error.kind], error.report());
  } else {
    const message = error instanceof Error ? error.message : String(error);
    sendJson(response, 500, {message});
  }
}

/** Returns the query of a call, checked against `schema`. */
export function parseQuery<T>(call: ReceivedCall, schema: z.ZodType<T>): T {
  return validate(schema, call.query, 'query').unwrapOrElse(throwError);
}

/** Returns the named parts of the path, checked against `schema`. */
export function parseParameters<T>(
  call: ReceivedCall,
  schema: z.ZodType<T>,
): T {
  return validate(schema, call.params, 'path').unwrapOrElse(throwError);
}

/** Returns the JSON body of a call, checked against `schema`. */
export function parseBody<T>(call: ReceivedCall, schema: z.ZodType<T>): T {
  const text = call.body.toString('utf8');
  return validateJson(schema, text, 'body').unwrapOrElse(throwError);
}

function throwError(error: InvalidInputError): never {
  throw error;
}

/** Waits; returns early, without an error, when the signal aborts. */
export async function wait(
  milliseconds: number,
  signal?: AbortSignal,
): Promise<void> {
  if (signal?.aborted) return;
  await new Promise<void>((resolve) => {
    const finish = () => {
      clearTimeout(timer);
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    const timer = setTimeout(finish, milliseconds);
    signal?.addEventListener('abort', finish);
  });
}

/** Wakes long polls when the state that they wait for changes. */
export class ChangeSignal {
  private readonly waiters = new Set<() => void>();

  get waiterCount(): number {
    return this.waiters.size;
  }

  notify(): void {
    for (const wake of [...this.waiters]) wake();
  }

  /** Polls `read` after each change until it returns a value or time ends. */
  async poll<T>(
    read: () => T | undefined,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<T | undefined> {
    const controller = new AbortController();
    const end = () => controller.abort();
    const timer = setTimeout(end, waitMs);
    signal.addEventListener('abort', end);
    let value = read();
    while (value === undefined && !controller.signal.aborted) {
      await this.nextChange(controller.signal);
      value = read();
    }
    clearTimeout(timer);
    signal.removeEventListener('abort', end);
    return value;
  }

  private async nextChange(signal: AbortSignal): Promise<void> {
    if (signal.aborted) return;
    await new Promise<void>((resolve) => {
      const wake = () => {
        this.waiters.delete(wake);
        signal.removeEventListener('abort', wake);
        resolve();
      };
      this.waiters.add(wake);
      signal.addEventListener('abort', wake);
    });
  }
}
