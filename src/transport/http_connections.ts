/**
 * HTTP connection pools, one per address. Each connection carries one call at a
 * time and is destroyed when a call on it fails in any way, so that no call
 * waits on an unresponsive connection or receives the answer to an earlier one.
 *
 * undici's `Pool` is not used because it reconnects on its own after an aborted
 * call, even while the network is still faulty.
 */

import {setMaxListeners} from 'node:events';
import {Result} from 'true-myth';
import {Client, buildConnector} from 'undici';
import type {Dispatcher} from 'undici';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {TrafficCounter} from './traffic_counter.js';

/** Node.js timers with a longer delay fire immediately. */
const LONGEST_TIMER_MS = 2 ** 31 - 1;

const FIRST_FINAL_STATUS = 200;

/** A server that accepts no connection within this time counts as down. */
const CONNECT_TIMEOUT_MS = 2_000;

/** Error code of the system if no process listens at an address. */
const CONNECTION_REFUSED = 'ECONNREFUSED';

/** Longer than the interval between polls of any server. */
const IDLE_CONNECTION_MS = 30_000;

/** Keeps connections to removed VMs from accumulating. */
const UNUSED_ADDRESS_MS = 60_000;

export interface HttpCall {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Covers waiting for a connection, sending and receiving the answer. */
  readonly timeoutMs: number;
  readonly maximumAnswerBytes: number;
  readonly signal?: AbortSignal;
  /**
   * Returns the problem with a complete answer, if any. A connection that
   * carried an invalid answer is destroyed, since the next one may be invalid
   * too.
   */
  readonly check?: (answer: HttpAnswer) => string | undefined;
}

export interface HttpAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Buffer;
}

/** Reason that no complete answer was received. */
export interface ExchangeFailure {
  /**
   * - `not-sent`: no byte of the request left this process;
   * - `timed-out`, `cancelled`: the request was sent, the answer is incomplete;
   * - `lost`: the connection broke before the answer began;
   * - `truncated`: the connection broke during the answer;
   * - `malformed`: the answer violates HTTP, is too large or fails `check`.
   */
  readonly kind:
    'not-sent' | 'timed-out' | 'cancelled' | 'lost' | 'truncated' | 'malformed';
  readonly message: string;
  /** True if no process listens at the address. */
  readonly isRefused?: boolean;
}

/** A bounded pool of connections to one address. */
export class HttpConnections {
  private readonly openClients = new Set<Client>();
  private readonly idleClients: Client[] = [];
  private readonly waiters = new Set<(client: Client | undefined) => void>();
  private destroyed = false;

  constructor(
    private readonly address: string,
    private limit: number,
    private readonly traffic?: TrafficCounter,
  ) {}

  /** True if no call is in progress. */
  get isIdle(): boolean {
    return this.openClients.size === this.idleClients.length;
  }

  /** Changes the limit; excess connections close when their calls end. */
  setLimit(limit: number): void {
    this.limit = limit;
  }

  /** Sends the call once and returns the complete answer of any status. */
  async exchange(call: HttpCall): Promise<Result<HttpAnswer, ExchangeFailure>> {
    if (!URL.canParse(originOf(this.address))) {
      const message = `${this.address} is not an address`;
      return Result.err({kind: 'not-sent', message});
    }
    // Many concurrent calls may share the signal of one owner.
    if (call.signal !== undefined) setMaxListeners(0, call.signal);
    const limitMs = Math.min(call.timeoutMs, LONGEST_TIMER_MS);
    const end = performance.now() + limitMs;
    const client = await this.acquire({...call, timeoutMs: limitMs});
    const timeoutMs = end - performance.now();
    if (client === undefined || timeoutMs <= 0 || call.signal?.aborted) {
      if (client !== undefined) this.release(client);
      const message = 'ended before a connection was free';
      return Result.err({kind: 'not-sent', message});
    }
    const result = await send(client, {...call, timeoutMs});
    if (result.isOk) {
      this.traffic?.countAnswer();
      this.release(client);
    } else {
      this.discard(client);
    }
    return result;
  }

  /** Closes all connections; pending calls fail, later ones are not sent. */
  async destroy(): Promise<void> {
    this.destroyed = true;
    for (const deliver of [...this.waiters]) deliver(undefined);
    const clients = [...this.openClients];
    this.openClients.clear();
    this.idleClients.length = 0;
    await Promise.all(clients.map((client) => client.destroy()));
  }

  private async acquire(call: HttpCall): Promise<Client | undefined> {
    if (this.destroyed) return undefined;
    const idle = this.idleClients.pop();
    if (idle !== undefined) return idle;
    if (this.openClients.size < this.limit) return this.connect();
    return new Promise((resolve) => {
      const deliver = (client: Client | undefined) => {
        clearTimeout(timer);
        call.signal?.removeEventListener('abort', stopWaiting);
        this.waiters.delete(deliver);
        resolve(client);
      };
      const stopWaiting = () => deliver(undefined);
      const timer = setTimeout(stopWaiting, call.timeoutMs);
      call.signal?.addEventListener('abort', stopWaiting);
      this.waiters.add(deliver);
    });
  }

  private connect(): Client {
    const client = new Client(originOf(this.address), {
      pipelining: 1,
      connect: this.connector(),
      keepAliveTimeout: IDLE_CONNECTION_MS,
      keepAliveMaxTimeout: IDLE_CONNECTION_MS,
      // Disabled: each call has its own timeout.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.openClients.add(client);
    return client;
  }

  /** Returns a connector that registers its sockets with `traffic`. */
  private connector(): buildConnector.connector {
    const connect = buildConnector({timeout: CONNECT_TIMEOUT_MS});
    const {traffic} = this;
    if (traffic === undefined) return connect;
    return (options, callback) =>
      connect(options, (...result) => {
        // A failed connect passes no socket, although the type declares one.
        const [error, socket] = result;
        if (error === null && socket) traffic.addSocket(socket);
        callback(...result);
      });
  }

  private release(client: Client): void {
    if (this.destroyed) return;
    const [next] = this.waiters;
    if (this.openClients.size > this.limit) this.discard(client);
    else if (next === undefined) this.idleClients.push(client);
    else next(client);
  }

  private discard(client: Client): void {
    this.openClients.delete(client);
    void client.destroy();
    if (this.destroyed) return;
    const [next] = this.waiters;
    if (next !== undefined && this.openClients.size < this.limit) {
      next(this.connect());
    }
  }
}

function originOf(address: string): string {
  return `http://${address}`;
}

/** Creates a connection pool for `address` that closes with `scope`. */
export function openConnections(
  scope: CleanupScope,
  address: string,
  limit: number,
  traffic?: TrafficCounter,
): HttpConnections {
  const connections = new HttpConnections(address, limit, traffic);
  scope.add(() => connections.destroy());
  return connections;
}

interface AddressEntry {
  readonly connections: HttpConnections;
  lastUse: number;
}

/** Connection pools by address; pools of unused addresses are closed. */
export class ConnectionsByAddress {
  private readonly entries = new Map<string, AddressEntry>();

  constructor(
    private readonly scope: CleanupScope,
    private readonly traffic?: TrafficCounter,
  ) {
    scope.every(UNUSED_ADDRESS_MS, () => this.closeUnused());
    scope.add(async () => {
      const all = [...this.entries.values()];
      this.entries.clear();
      await Promise.all(all.map(({connections}) => connections.destroy()));
    });
  }

  /** Returns the pool for `address` and sets its limit to `limit`. */
  get(address: string, limit: number): HttpConnections {
    const entry = this.entries.get(address);
    if (entry !== undefined) {
      entry.lastUse = performance.now();
      entry.connections.setLimit(limit);
      return entry.connections;
    }
    const connections = new HttpConnections(address, limit, this.traffic);
    if (this.scope.closed) void connections.destroy();
    else this.entries.set(address, {connections, lastUse: performance.now()});
    return connections;
  }

  /** Closes the connections to an address that is no longer in use. */
  close(address: string): void {
    const entry = this.entries.get(address);
    this.entries.delete(address);
    void entry?.connections.destroy();
  }

  private closeUnused(): void {
    const oldest = performance.now() - UNUSED_ADDRESS_MS;
    for (const [address, {connections, lastUse}] of this.entries) {
      if (lastUse > oldest || !connections.isIdle) continue;
      this.entries.delete(address);
      void connections.destroy();
    }
  }
}

/** Sends the call once and returns the complete answer of any status. */
function send(
  client: Client,
  call: HttpCall,
): Promise<Result<HttpAnswer, ExchangeFailure>> {
  return new Promise((resolve) => {
    const handler = new ExchangeHandler(call, resolve);
    client.dispatch(
      {
        method: call.method,
        path: call.path,
        headers: {...call.headers},
        body: call.body ?? null,
      },
      handler,
    );
  });
}

/** Collects one answer. Settles once; later events are ignored. */
class ExchangeHandler implements Dispatcher.DispatchHandler {
  private readonly chunks: Buffer[] = [];
  private readonly timer: NodeJS.Timeout;
  private controller: Dispatcher.DispatchController | undefined;
  private receivedBytes = 0;
  private declaredBytes: number | undefined;
  private status = 0;
  private headers: HttpAnswer['headers'] = {};
  private completeAnswer: HttpAnswer | undefined;
  private settled = false;

  constructor(
    private readonly call: HttpCall,
    private readonly resolve: (
      result: Result<HttpAnswer, ExchangeFailure>,
    ) => void,
  ) {
    this.timer = setTimeout(this.onTimeout, call.timeoutMs);
    call.signal?.addEventListener('abort', this.onCancel);
  }

  /** Called by undici immediately before the first byte is written. */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    // Aborting here keeps the request from being written. A second start
    // would send the request twice.
    if (this.settled || this.controller !== undefined) {
      controller.abort(new Error('the call has ended'));
      return;
    }
    this.controller = controller;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: HttpAnswer['headers'],
  ): void {
    if (status < FIRST_FINAL_STATUS) return;
    this.status = status;
    this.headers = headers;
    const length = headers['content-length'];
    if (typeof length === 'string') this.declaredBytes = Number(length);
    if ((this.declaredBytes ?? 0) > this.call.maximumAnswerBytes) {
      this.failOversized();
    } else if (this.declaredBytes === 0) {
      this.checkCompleteAnswer();
    }
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.settled) return;
    this.receivedBytes += chunk.length;
    if (this.receivedBytes > this.call.maximumAnswerBytes) {
      this.failOversized();
      return;
    }
    this.chunks.push(chunk);
    if (this.receivedBytes === this.declaredBytes) this.checkCompleteAnswer();
  }

  onResponseEnd(): void {
    if (this.settled) return;
    if (this.declaredBytes === undefined) this.checkCompleteAnswer();
    this.settle(Result.ok(this.completeAnswer ?? this.answer()));
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    const isRefused = errorCode(error) === CONNECTION_REFUSED;
    this.fail(this.failureKind(error), describeError(error), isRefused);
  }

  private readonly onTimeout = (): void => {
    const message = `no whole answer within ${this.call.timeoutMs} ms`;
    if (this.controller === undefined) {
      this.fail('not-sent', `no connection within ${this.call.timeoutMs} ms`);
    } else {
      this.fail('timed-out', message);
    }
  };

  private readonly onCancel = (): void => {
    const sent = this.controller !== undefined;
    this.fail(sent ? 'cancelled' : 'not-sent', 'the call was cancelled');
  };

  /**
   * Runs before undici ends the response, while a failure can still destroy the
   * connection.
   */
  private checkCompleteAnswer(): void {
    this.completeAnswer = this.answer();
    this.chunks.length = 0;
    const problem = this.call.check?.(this.completeAnswer);
    if (problem !== undefined) this.fail('malformed', problem);
  }

  private answer(): HttpAnswer {
    return {
      status: this.status,
      headers: this.headers,
      body: Buffer.concat(this.chunks),
    };
  }

  private failOversized(): void {
    const limit = this.call.maximumAnswerBytes;
    this.fail('malformed', `the answer is larger than ${limit} bytes`);
  }

  private failureKind(error: Error): ExchangeFailure['kind'] {
    if (this.controller === undefined) return 'not-sent';
    const code = errorCode(error);
    if (code.startsWith('HPE_')) return 'malformed';
    if (code === 'UND_ERR_HEADERS_OVERFLOW') return 'malformed';
    return this.status === 0 ? 'lost' : 'truncated';
  }

  private fail(
    kind: ExchangeFailure['kind'],
    message: string,
    isRefused = false,
  ): void {
    if (this.settled) return;
    this.settle(Result.err({kind, message, isRefused}));
    this.chunks.length = 0;
    this.controller?.abort(new Error(message));
  }

  private settle(result: Result<HttpAnswer, ExchangeFailure>): void {
    if (this.settled) return;
    this.settled = true;
    clearTimeout(this.timer);
    this.call.signal?.removeEventListener('abort', this.onCancel);
    this.resolve(result);
  }
}

function errorCode(error: Error): string {
  return 'code' in error && typeof error.code === 'string' ? error.code : '';
}

function describeError(error: Error): string {
  const code = errorCode(error);
  return error.message === '' ? code : error.message;
}
