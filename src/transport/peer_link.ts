/**
 * One persistent WebSocket to one peer, in the message format of `trpc`. The
 * WebSocket client of `trpc` is not used because it does not report whether a
 * failed call was sent.
 */

import type {Socket} from 'node:net';
import {TRPCClientError} from '@trpc/client';
import type {TRPCLink} from '@trpc/client';
import {observable} from '@trpc/server/observable';
import {WebSocket} from 'ws';
import {z} from 'zod';
import {Backoff} from '../lifecycle/backoff.js';
import type {RandomSource} from '../lifecycle/random.js';
import {
  InvalidInputError,
  ProtocolError,
  TimeoutError,
  UnavailableError,
  UnknownEffectError,
} from '../model/errors.js';
import type {CallError} from '../model/errors.js';
import {
  MAXIMUM_MESSAGE_BYTES,
  PEER_PATH,
  errorFromAnswer,
} from './peer_protocol.js';
import type {PeerRouter} from './peer_protocol.js';

const CONNECT_TIMEOUT_MS = 1_000;
/**
 * Limit of the send buffer while the peer does not read. Calls above it fail at
 * once, without an effect.
 */
const MAXIMUM_BUFFERED_BYTES = 2 * MAXIMUM_MESSAGE_BYTES;
const HEARTBEAT_PATH = 'heartbeat';

const answerSchema = z.union([
  z.object({
    id: z.int(),
    result: z.object({type: z.literal('data'), data: z.unknown().optional()}),
  }),
  z.object({id: z.int(), error: z.object({data: z.unknown().optional()})}),
]);
type Answer = z.infer<typeof answerSchema>;

interface PeerCall {
  readonly method: 'query' | 'mutation';
  readonly path: string;
  readonly input: unknown;
  readonly timeoutMs: number;
  /** If set, the only connection on which the call may be sent. */
  readonly connection: number | undefined;
}

interface PendingCall {
  readonly call: PeerCall;
  readonly text: string;
  readonly settle: (data: unknown) => void;
  readonly fail: (error: CallError) => void;
  readonly timer: NodeJS.Timeout;
  /** Bytes read from the connection when the call was sent. */
  sentAtBytesRead: number | undefined;
}

/** Totals of one link since its creation. */
export interface LinkCounters {
  /** Peer address. */
  readonly address: string;
  readonly open: boolean;
  /** Includes WebSocket framing and handshakes. */
  readonly sentBytes: number;
  readonly receivedBytes: number;
  /** Connection attempts. */
  readonly attempts: number;
  /** Connections closed because a heartbeat was not answered. */
  readonly heartbeatTimeouts: number;
}

export class PeerLink {
  private socket: WebSocket | undefined;
  private connection: Socket | undefined;
  private readonly pending = new Map<number, PendingCall>();
  private readonly backoff: Backoff;
  private lastId = 0;
  private nextAttemptAt = 0;
  private lastCallAt = performance.now();
  private closedSentBytes = 0;
  private closedReceivedBytes = 0;
  private attempts = 0;
  private heartbeatTimeouts = 0;
  private closed = false;

  constructor(
    readonly address: string,
    random: RandomSource,
    private readonly log: (sentence: string) => void,
  ) {
    this.backoff = new Backoff(random);
  }

  get counters(): LinkCounters {
    return {
      address: this.address,
      open: this.openConnection !== undefined,
      sentBytes: this.closedSentBytes + (this.connection?.bytesWritten ?? 0),
      receivedBytes:
        this.closedReceivedBytes + (this.connection?.bytesRead ?? 0),
      attempts: this.attempts,
      heartbeatTimeouts: this.heartbeatTimeouts,
    };
  }

  /** Number of the open connection, or undefined if none is open. */
  get openConnection(): number | undefined {
    const open = this.socket?.readyState === WebSocket.OPEN;
    return open ? this.attempts : undefined;
  }

  /** Time without a call; zero while a call is in progress. */
  idleMs(): number {
    return this.pending.size > 0 ? 0 : performance.now() - this.lastCallAt;
  }

  /** Returns the terminating link of a `trpc` client. */
  asTrpcLink(): TRPCLink<PeerRouter> {
    return () =>
      ({op}) =>
        observable((observer) => {
          const call: PeerCall = {
            method: op.type === 'query' ? 'query' : 'mutation',
            path: op.path,
            input: op.input,
            timeoutMs: op.context['timeoutMs'] as number,
            connection: op.context['connection'] as number | undefined,
          };
          const settle = (data: unknown) => {
            observer.next({result: {type: 'data', data}});
            observer.complete();
          };
          this.startCall(call, settle, (error) =>
            observer.error(TRPCClientError.from(error)),
          );
        });
  }

  /** Closes the link; calls in progress fail. */
  close(): void {
    this.closed = true;
    this.disconnect('this daemon closed the link');
  }

  private startCall(
    call: PeerCall,
    settle: (data: unknown) => void,
    fail: (error: CallError) => void,
  ): void {
    this.lastCallAt = performance.now();
    const id = (this.lastId += 1);
    const {method, path, input} = call;
    const text = JSON.stringify({id, method, params: {path, input}});
    const error = this.errorBeforeSending(call, text);
    if (error) {
      fail(error);
      return;
    }
    // If this process was paused, the answer may already be in the socket
    // buffer. It is read before the immediate runs.
    const timer = setTimeout(
      () => setImmediate(() => this.handleTimeout(id)),
      call.timeoutMs,
    );
    const pending: PendingCall = {
      call,
      text,
      settle,
      fail,
      timer,
      sentAtBytesRead: undefined,
    };
    this.pending.set(id, pending);
    if (this.openConnection !== undefined) this.send(pending);
    else if (!this.socket) this.connect();
  }

  /** Returns the reason that the call cannot be sent now, if any. */
  private errorBeforeSending(
    call: PeerCall,
    text: string,
  ): CallError | undefined {
    const bytes = Buffer.byteLength(text);
    if (bytes > MAXIMUM_MESSAGE_BYTES) {
      return new InvalidInputError(
        call.path,
        `the message of ${bytes} bytes is over the limit of ${MAXIMUM_MESSAGE_BYTES}`,
        'send a smaller payload',
      );
    }
    if (this.closed) {
      return this.unavailable(
        'this daemon closed the link',
        'ask another peer',
      );
    }
    const {connection} = call;
    if (connection !== undefined && connection !== this.openConnection) {
      return this.unavailable('the connection was replaced', 'try again');
    }
    if ((this.socket?.bufferedAmount ?? 0) > MAXIMUM_BUFFERED_BYTES) {
      return this.unavailable(
        'the send buffer of the link is full',
        'try again later',
      );
    }
    if (!this.socket && performance.now() < this.nextAttemptAt) {
      return this.unavailable(
        'the last attempt to connect failed',
        'try again after the waiting time',
      );
    }
    return undefined;
  }

  private connect(): void {
    this.attempts += 1;
    const socket = new WebSocket(`ws://${this.address}${PEER_PATH}`, {
      handshakeTimeout: CONNECT_TIMEOUT_MS,
      maxPayload: MAXIMUM_MESSAGE_BYTES,
      perMessageDeflate: false,
    });
    this.socket = socket;
    let problem = 'the connection was closed';
    socket.on('upgrade', (response) => {
      this.connection = response.socket;
    });
    socket.on('open', () => {
      if (socket !== this.socket) return;
      for (const pending of this.pending.values()) this.send(pending);
    });
    socket.on('message', (data, isBinary) => {
      if (socket === this.socket) this.receive(isBinary ? '' : String(data));
    });
    socket.on('error', (error) => {
      problem = error.message;
    });
    socket.on('close', () => {
      if (socket === this.socket) this.disconnect(problem);
    });
  }

  private send(pending: PendingCall): void {
    pending.sentAtBytesRead = this.connection?.bytesRead ?? 0;
    this.socket?.send(pending.text);
  }

  private receive(text: string): void {
    const answer = parseAnswer(text);
    if (!answer) {
      this.disconnect('the peer sent a malformed message', 'protocol');
      return;
    }
    const pending = this.removePending(answer.id);
    // The call has timed out; its late answer is ignored.
    if (!pending) return;
    this.backoff.reset();
    if ('error' in answer) pending.fail(errorFromAnswer(answer.error.data));
    else pending.settle(answer.result.data);
  }

  private handleTimeout(id: number): void {
    const pending = this.removePending(id);
    if (!pending) return;
    const {path, timeoutMs} = pending.call;
    if (pending.sentAtBytesRead === undefined) {
      pending.fail(
        this.unavailable(`no connection within ${timeoutMs} ms`, 'try again'),
      );
      // An unresponsive peer in the closing handshake would block the link.
      const closing = this.socket?.readyState === WebSocket.CLOSING;
      if (closing) this.disconnect('the peer did not finish closing');
      return;
    }
    pending.fail(
      new TimeoutError(
        `${this.address} did not answer ${path} within ${timeoutMs} ms`,
        'the call may have had an effect; read the state back',
      ),
    );
    // Nothing arrived since the heartbeat was sent: the connection is dead.
    const nothingRead = this.connection?.bytesRead === pending.sentAtBytesRead;
    if (path !== HEARTBEAT_PATH || !nothingRead) return;
    this.heartbeatTimeouts += 1;
    this.disconnect('a heartbeat was not answered in time');
  }

  /**
   * Closes the connection and fails all its calls. The next call reconnects
   * after the backoff. An answer resets the backoff, a connection does not, so
   * that a peer that accepts and immediately closes causes no reconnect storm.
   */
  private disconnect(
    problem: string,
    kind: 'lost' | 'protocol' = 'lost',
  ): void {
    const {socket} = this;
    this.socket = undefined;
    this.closedSentBytes += this.connection?.bytesWritten ?? 0;
    this.closedReceivedBytes += this.connection?.bytesRead ?? 0;
    this.connection = undefined;
    this.nextAttemptAt = performance.now() + this.backoff.nextWaitMs();
    socket?.terminate();
    if (socket) this.log(`[peers] link to ${this.address} ended: ${problem}`);
    for (const id of [...this.pending.keys()]) {
      const pending = this.removePending(id);
      pending?.fail(this.createFailure(pending, problem, kind));
    }
  }

  private createFailure(
    pending: PendingCall,
    problem: string,
    kind: 'lost' | 'protocol',
  ): CallError {
    if (pending.sentAtBytesRead === undefined) {
      return this.unavailable(problem, 'try again');
    }
    const lost = `${this.address} did not answer ${pending.call.path}: ${problem}`;
    return kind === 'protocol'
      ? new ProtocolError(lost, 'run the same version on all daemons')
      : new UnknownEffectError(lost, 'read the state back');
  }

  private removePending(id: number): PendingCall | undefined {
    const pending = this.pending.get(id);
    this.pending.delete(id);
    clearTimeout(pending?.timer);
    return pending;
  }

  private unavailable(problem: string, remedy: string): UnavailableError {
    return new UnavailableError(
      `${this.address} cannot be reached: ${problem}`,
      remedy,
    );
  }
}

function parseAnswer(text: string): Answer | undefined {
  try {
    return answerSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}
