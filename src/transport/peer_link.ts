/**
 * One persistent WebSocket to one peer. It speaks the message format of
 * `trpc`, whose own client is not used here because it does not tell whether
 * a failed call had left the process.
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
 * Bytes that may wait in the process for a link that takes none; further
 * calls fail at once, without an effect.
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
  /** The only connection that the call may be sent on, if it matters. */
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

/** Bytes and connections of one link since its start. */
export interface LinkCounters {
  /** Peer address. */
  readonly address: string;
  readonly open: boolean;
  /** WebSocket framing and handshakes included. */
  readonly sentBytes: number;
  readonly receivedBytes: number;
  /** Attempts to connect. */
  readonly attempts: number;
  /** Connections that were closed because a heartbeat was not answered. */
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

  /** The link as the last link of a `trpc` client. */
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
    // After a pause of this process the answer may have arrived already; it
    // is read before the immediate runs.
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

  /** Why the call cannot be sent now, if so. */
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
      return this.unavailable('the link takes no data', 'try again later');
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
    // The answer to a call that timed out is ignored.
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
      // A peer that began to close and went silent would block the link.
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
    // A link on which nothing arrived since the heartbeat is silent for good.
    const nothingRead = this.connection?.bytesRead === pending.sentAtBytesRead;
    if (path !== HEARTBEAT_PATH || !nothingRead) return;
    this.heartbeatTimeouts += 1;
    this.disconnect('a heartbeat was not answered in time');
  }

  /**
   * Ends the connection and all its calls. The next call connects again after
   * the waiting time; that is reset by an answer, not by a connection, so that
   * a peer that accepts and closes at once causes no reconnect storm.
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
