/**
 * HTTP listener on one address of the entry daemon, with limits for what its
 * clients may do. During shutdown it still answers requests on open connections
 * and closes each after its answer.
 */

import {createServer as createHttpServer, maxHeaderSize} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createServer as createTcpServer} from 'node:net';
import type {AddressInfo, Server} from 'node:net';
import polka from 'polka';
import type {ComponentLog} from '../daemon/log.js';
import {steadyNow} from '../lifecycle/clock.js';
import {ClientConnection, InputTurns} from './client_connection.js';
import {ConnectionLimits} from './connection_limits.js';
import type {
  CloseReason,
  ConnectionBounds,
  ConnectionTimes,
  ListenerName,
} from './connection_limits.js';

export type HttpHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void>;

/** `close` ends connections that are still open after this time. */
const CLOSE_GRACE_MS = 500;

const CHECK_INTERVAL_MS = 1_000;

/** Closed connections are logged together, at most this often. */
const LOG_INTERVAL_MS = 10_000;

/** Times until the first configuration. */
const DEFAULT_TIMES: ConnectionTimes = {headMs: 60_000, idleMs: 5_000};

/**
 * Bytes of a request on the wire for each byte that its body may have. A chunk
 * of one byte takes 6.
 */
const WIRE_BYTES_PER_BODY_BYTE = 16;

/** Shortest delay that the header can express. */
const RETRY_AFTER_S = 1;

export interface ListenerOptions {
  readonly name: ListenerName;
  readonly bounds: ConnectionBounds;
  readonly handler: HttpHandler;
  /** Largest body that the handler reads, in bytes. */
  readonly maximumBodyBytes: () => number;
  readonly log: ComponentLog;
  readonly observer: ListenerObserver;
}

/** Receives what the limits of a listener have done. */
export interface ListenerObserver {
  recordClosed(listener: ListenerName, reason: CloseReason): void;
  recordRefused(listener: ListenerName): void;
  recordConnections(listener: ListenerName, count: number): void;
}

export class HttpListener {
  private readonly tcpServer: Server;
  private readonly httpServer = createHttpServer();
  private readonly limits: ConnectionLimits;
  private readonly turns = new InputTurns();
  private readonly connections = new Set<ClientConnection>();
  private readonly closedSinceLog = new Map<CloseReason, number>();
  private timer: NodeJS.Timeout | undefined;
  private loggedAt = -Infinity;
  private times = DEFAULT_TIMES;
  private isClosing = false;

  constructor(private readonly options: ListenerOptions) {
    this.limits = new ConnectionLimits(options.bounds, (reason) =>
      this.recordClosed(reason),
    );
    this.httpServer.keepAliveTimeout = this.times.idleMs;
    const router = polka({
      onNoMatch: (request, response) => this.handle(request, response),
    });
    this.httpServer.on('request', (request: IncomingMessage, response) => {
      const {socket} = request as {socket: unknown};
      if (socket instanceof ClientConnection) socket.begin(request, response);
      router.handler(request as Parameters<typeof router.handler>[0], response);
    });
    this.httpServer.on('clientError', (_error, socket) => {
      if (socket.writable) socket.end('HTTP/1.1 400 Bad Request\r\n\r\n');
    });
    this.tcpServer = createTcpServer(
      {allowHalfOpen: true, noDelay: true},
      (socket) => {
        const connection = new ClientConnection(
          socket,
          this.limits,
          this.turns,
          () => this.maximumRequestBytes(),
        );
        this.connections.add(connection);
        connection.once('close', () => this.connections.delete(connection));
        this.httpServer.emit('connection', connection);
      },
    );
  }

  setTimeouts(headerTimeoutMs: number, idleTimeoutMs: number): void {
    this.times = {headMs: headerTimeoutMs, idleMs: idleTimeoutMs};
    // Announced to clients; the limits close idle connections.
    this.httpServer.keepAliveTimeout = idleTimeoutMs;
  }

  /** `address` is `host:port`; returns the port, a free one for port 0. */
  async listen(address: string): Promise<number> {
    const separator = address.lastIndexOf(':');
    const host = address.slice(0, separator);
    const port = Number(address.slice(separator + 1));
    await new Promise<void>((resolve, reject) => {
      this.tcpServer.once('error', reject);
      this.tcpServer.listen(port, host, () => {
        this.tcpServer.off('error', reject);
        resolve();
      });
    });
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
    return (this.tcpServer.address() as AddressInfo).port;
  }

  /** Closes each connection after its next answer from now on. */
  beginClose(): void {
    this.isClosing = true;
  }

  /** Accepts no new connections and resolves once the open ones are closed. */
  async close(): Promise<void> {
    this.isClosing = true;
    clearInterval(this.timer);
    await new Promise<void>((resolve) => {
      const timer = setTimeout(() => {
        for (const connection of this.connections) connection.destroy();
        resolve();
      }, CLOSE_GRACE_MS);
      this.tcpServer.close(() => {
        clearTimeout(timer);
        resolve();
      });
      for (const connection of this.connections) connection.closeWhenIdle();
    });
  }

  private handle(request: IncomingMessage, response: ServerResponse): void {
    const {handler, log, name, observer} = this.options;
    if (this.isClosing) response.setHeader('Connection', 'close');
    if (!this.limits.beginRequest()) {
      observer.recordRefused(name);
      request.resume();
      response.writeHead(503, {'Retry-After': RETRY_AFTER_S});
      response.end();
      return;
    }
    response.once('close', () => this.limits.endRequest());
    handler(request, response).catch((error: unknown) => {
      const detail = error instanceof Error ? error.stack : String(error);
      log.error(`request handler failed: ${detail ?? 'unknown'}`);
      if (!response.headersSent) response.writeHead(500);
      response.end();
    });
  }

  private maximumRequestBytes(): number {
    const {maximumBodyBytes} = this.options;
    return maxHeaderSize + maximumBodyBytes() * WIRE_BYTES_PER_BODY_BYTE;
  }

  private check(): void {
    const now = steadyNow();
    this.limits.closeOverdue(now, this.times);
    const {name, observer, log} = this.options;
    observer.recordConnections(name, this.limits.connectionCount);
    if (this.closedSinceLog.size === 0) return;
    if (now - this.loggedAt < LOG_INTERVAL_MS) return;
    const counts = [...this.closedSinceLog].map(
      ([reason, count]) => `${count} for ${reason}`,
    );
    log.warn(`closed connections of ${name} at limits: ${counts.join(', ')}`);
    this.closedSinceLog.clear();
    this.loggedAt = now;
  }

  private recordClosed(reason: CloseReason): void {
    this.options.observer.recordClosed(this.options.name, reason);
    if (reason === 'idle-time') return;
    const count = this.closedSinceLog.get(reason) ?? 0;
    this.closedSinceLog.set(reason, count + 1);
  }
}
