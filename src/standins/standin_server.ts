/**
 * HTTP server of a stand-in. It routes with polka, answers with JSON and injects
 * the faults that an admin call sets.
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
import {listenUntilClosed} from './listen_until_closed.js';

const SUCCESS_STATUS = 200;
const MAXIMUM_BODY_BYTES = 8 * 1_048_576;

/** Longer than clients keep an idle connection, so clients close it first. */
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
  /** Resets the connections of all pending and new calls. */
  down: z.boolean().default(false),
  /** Answers every call with an `unavailable` error without processing it. */
  unavailable: z.boolean().default(false),
  /** Accepts calls, but neither processes nor answers them. */
  silent: z.boolean().default(false),
  /** Delay before each call is processed. */
  slowMs: z.number().min(0).default(0),
  /** Number of next writes that are carried out but not answered. */
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
  /** Aborted once the call is answered or its connection is closed. */
  readonly signal: AbortSignal;
}

/** Returns the JSON body of the answer. A `SystemError` sets status and body. */
export type CallHandler = (call: ReceivedCall) => unknown;

export type HttpMethod = 'GET' | 'POST' | 'PUT' | 'DELETE';

/** Injects faults into the calls of one service. */
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

  /** Runs the handler and sends its answer, unless a fault prevents it. */
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
    // A test may leave calls unanswered for any length of time.
    this.server.requestTimeout = 0;
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      // Connection resets by the client are expected.
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

  /** Listens until the scope closes. Returns the host and port. */
  listen(scope: CleanupScope, host: string, port: number): Promise<string> {
    const {server} = this;
    return listenUntilClosed(server, scope, host, port, () => this.close());
  }

  /** Adds a route that changes no state. */
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

  /** Adds a route that changes state; `loseWriteAnswers` applies to it. */
  addWriteRoute(
    method: HttpMethod,
    path: string,
    handler: CallHandler,
    injector = new FaultInjector(),
  ): void {
    this.addRoute(method, path, (call) => injector.handle(call, handler, true));
  }

  /** Adds a route whose handler writes the answer itself, without faults. */
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

/** Request with the fields that polka adds. */
interface RoutedRequest extends IncomingMessage {
  readonly params: Readonly<Record<string, unknown>>;
  readonly query: unknown;
}

/**
 * Reads the body of a call. If it is too large, closes the connection and
 * returns undefined. Rejects if the connection breaks.
 */
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

/** Returns the parsed query. Throws an `InvalidInputError` if it is invalid. */
export function parseQuery<T>(call: ReceivedCall, schema: z.ZodType<T>): T {
  return validate(schema, call.query, 'query').unwrapOrElse(throwError);
}

/**
 * Returns the parsed path parameters. Throws an `InvalidInputError` if they are
 * invalid.
 */
export function parseParameters<T>(
  call: ReceivedCall,
  schema: z.ZodType<T>,
): T {
  return validate(schema, call.params, 'path').unwrapOrElse(throwError);
}

/** Returns the parsed JSON body. Throws an `InvalidInputError` if invalid. */
export function parseBody<T>(call: ReceivedCall, schema: z.ZodType<T>): T {
  const text = call.body.toString('utf8');
  return validateJson(schema, text, 'body').unwrapOrElse(throwError);
}

function throwError(error: InvalidInputError): never {
  throw error;
}

/** Waits. Returns early, without an error, if the signal aborts. */
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

/** Wakes long polls when the watched state changes. */
export class ChangeSignal {
  private readonly waiters = new Set<() => void>();

  get waiterCount(): number {
    return this.waiters.size;
  }

  notify(): void {
    for (const wake of [...this.waiters]) wake();
  }

  /**
   * Calls `read` now and after each change until it returns a value. Returns
   * undefined after `waitMs` or if the signal aborts.
   */
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
