/**
 * A client's connection between its socket and Node's HTTP server. It passes on
 * one request at a time: the next one follows when the answer to the one before
 * has been handed to the kernel. Node would parse everything that one read of
 * the socket returned, thousands of requests that were sent ahead.
 */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {Duplex} from 'node:stream';
import {steadyNow} from '../lifecycle/clock.js';
import {LimitedConnection} from './connection_limits.js';
import type {ConnectionLimits, ConnectionPhase} from './connection_limits.js';

/**
 * Most that is passed on at once. Bytes in chunks of one byte take Node more
 * than a hundred times as long as others.
 */
const MAXIMUM_SLICE_BYTES = 4_096;

/** What all connections of a listener pass on in one turn of the event loop. */
const TURN_BYTES = 65_536;

/** A small request takes as long as this many bytes at least. */
const MINIMUM_SLICE_COST = 1_024;

/** What Node reads from a socket before a pause takes effect. */
const READ_AHEAD_BYTES = 65_536;

/** Node's parser accepts a bare line feed at the end of a head. */
const ENDS_OF_HEAD = ['\n\r\n', '\n\n'];

const NO_INPUT: Buffer = Buffer.alloc(0);

/** A request that has begun. */
interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Bytes that had been passed on when its head was complete. */
  readonly startByte: number;
  isAnswered: boolean;
}

type Done = (error?: Error | null) => void;

/** Lets connections with more input take turns, so that none stalls others. */
export class InputTurns {
  private readonly waiting = new Set<ClientConnection>();
  private isScheduled = false;

  request(connection: ClientConnection): void {
    this.waiting.add(connection);
    this.schedule();
  }

  cancel(connection: ClientConnection): void {
    this.waiting.delete(connection);
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => this.run());
  }

  private run(): void {
    this.isScheduled = false;
    let cost = 0;
    for (const connection of [...this.waiting]) {
      if (cost >= TURN_BYTES) break;
      this.waiting.delete(connection);
      cost += Math.max(connection.passOn(), MINIMUM_SLICE_COST);
    }
    if (this.waiting.size > 0) this.schedule();
  }
}

export class ClientConnection extends Duplex {
  private input = NO_INPUT;
  private hasInputEnded = false;
  /** True if the HTTP server can take more. */
  private isReadable = false;
  /**
   * The oldest first. A slice that ends one request may hold the head of the
   * next, so there are at times two.
   */
  private readonly exchanges: Exchange[] = [];
  private passedBytes = 0;
  /** Value of `passedBytes` at the start of the oldest request. */
  private startByte = 0;
  private unsentBytes = 0;
  private closesWhenIdle = false;
  private readonly limited: LimitedConnection;

  constructor(
    private readonly socket: Socket,
    private readonly limits: ConnectionLimits,
    private readonly turns: InputTurns,
    /** Bytes of one request on the wire, with the framing of chunks. */
    private readonly maximumRequestBytes: () => number,
  ) {
    super({
      allowHalfOpen: true,
      decodeStrings: false,
      readableHighWaterMark: 1,
    });
    this.limited = new ResettableSocket(socket);
    limits.add(this.limited, steadyNow());
    socket.on('data', (chunk: Buffer) => {
      socket.pause();
      this.input =
        this.input.length === 0 ? chunk : Buffer.concat([this.input, chunk]);
      this.advance();
    });
    socket.on('end', () => {
      this.hasInputEnded = true;
      this.advance();
    });
    socket.on('error', (error) => this.destroy(error));
    socket.on('close', () => {
      limits.remove(this.limited);
      this.destroy();
    });
  }

  /** Called by the HTTP server once the head of a request is complete. */
  begin(request: IncomingMessage, response: ServerResponse): void {
    const exchange: Exchange = {
      request,
      response,
      startByte: this.passedBytes,
      isAnswered: false,
    };
    this.exchanges.push(exchange);
    response.once('prefinish', () => this.updatePhase());
    response.once('close', () => {
      exchange.isAnswered = true;
      this.advance();
    });
  }

  /** Closes the connection now if no request has begun, else after it. */
  closeWhenIdle(): void {
    this.closesWhenIdle = true;
    if (this.phase === 'idle') this.destroy();
  }

  /** Called by the HTTP server after the last answer on the connection. */
  destroySoon(): void {
    if (this.writable) this.end();
    if (this.writableFinished) this.destroy();
    else this.once('finish', () => this.destroy());
  }

  // eslint-disable-next-line @typescript-eslint/naming-convention -- Node's name
  override _read(): void {
    this.isReadable = true;
    // Node reads ahead: the slice before this one may not be parsed yet.
    process.nextTick(() => this.advance());
  }

  // eslint-disable-next-line @typescript-eslint/naming-convention -- Node's name
  override _write(
    chunk: Buffer | string,
    encoding: BufferEncoding,
    done: Done,
  ): void {
    const bytes = chunk.length;
    this.countUnsent(bytes);
    const onSent = (error?: Error | null) => {
      this.countUnsent(-bytes);
      done(error);
    };
    if (typeof chunk === 'string') this.socket.write(chunk, encoding, onSent);
    else this.socket.write(chunk, onSent);
  }

  // eslint-disable-next-line @typescript-eslint/naming-convention -- Node's name
  override _writev(
    parts: Array<{chunk: Buffer | string; encoding: BufferEncoding}>,
    done: Done,
  ): void {
    this.socket.cork();
    let remaining = parts.length;
    for (const {chunk, encoding} of parts) {
      this._write(chunk, encoding, (error) => {
        remaining -= 1;
        if (remaining === 0) done(error);
      });
    }
    this.socket.uncork();
  }

  // eslint-disable-next-line @typescript-eslint/naming-convention -- Node's name
  override _final(done: Done): void {
    this.socket.end(() => done());
  }

  // eslint-disable-next-line @typescript-eslint/naming-convention -- Node's name
  override _destroy(error: Error | null, done: Done): void {
    this.limits.remove(this.limited);
    this.turns.cancel(this);
    this.input = NO_INPUT;
    this.socket.destroy();
    done(error);
  }

  private get requestBytes(): number {
    return this.passedBytes - this.startByte;
  }

  private get phase(): ConnectionPhase {
    const [oldest] = this.exchanges;
    if (oldest === undefined) return this.requestBytes > 0 ? 'head' : 'idle';
    if (!oldest.request.complete) return 'body';
    return oldest.response.writableEnded ? 'sending' : 'answering';
  }

  /** True if the only request in progress, if any, is not whole. */
  private get needsInput(): boolean {
    const [oldest, next] = this.exchanges;
    return next === undefined && oldest?.request.complete !== true;
  }

  private advance(): void {
    if (this.destroyed) return;
    this.updatePhase();
    if (!this.isReadable || !this.needsInput) return;
    if (this.input.length > 0) {
      this.turns.request(this);
    } else if (this.hasInputEnded) {
      this.isReadable = false;
      this.push(null);
    } else {
      this.socket.resume();
    }
  }

  /** Passes on one slice and returns its bytes. */
  passOn(): number {
    if (this.destroyed || !this.isReadable || !this.needsInput) return 0;
    const slice = this.takeSlice();
    this.passedBytes += slice.length;
    this.isReadable = false;
    if (this.requestBytes > this.maximumRequestBytes()) {
      this.limits.close(this.limited, 'request-size');
      return 0;
    }
    this.push(slice);
    this.updatePhase();
    return slice.length;
  }

  /** Ends a slice where a request without a body ends, if there is one. */
  private takeSlice(): Buffer {
    const {input} = this;
    const bytes = Math.min(
      input.length,
      MAXIMUM_SLICE_BYTES,
      ...ENDS_OF_HEAD.map((end) => endOf(input, end)),
    );
    this.input = bytes === input.length ? NO_INPUT : input.subarray(bytes);
    return input.subarray(0, bytes);
  }

  private updatePhase(): void {
    if (this.destroyed) return;
    for (;;) {
      const [oldest] = this.exchanges;
      if (oldest?.isAnswered !== true || !oldest.request.complete) break;
      this.exchanges.shift();
      const [next] = this.exchanges;
      this.startByte = next?.startByte ?? this.passedBytes;
    }
    const now = steadyNow();
    const {phase} = this;
    this.limits.enter(this.limited, phase, now);
    this.limits.hold(this.limited, this.heldBytes, now);
    if (phase === 'idle' && this.closesWhenIdle) this.destroy();
  }

  private get heldBytes(): number {
    const waiting = this.input.length;
    const readAhead = waiting > 0 ? READ_AHEAD_BYTES : 0;
    return waiting + readAhead + this.requestBytes + this.unsentBytes;
  }

  private countUnsent(bytes: number): void {
    this.unsentBytes += bytes;
    this.limits.hold(this.limited, this.heldBytes, steadyNow());
  }
}

/** Resets a connection that is closed at a limit, which frees what the kernel holds for it. */
class ResettableSocket extends LimitedConnection {
  constructor(private readonly socket: Socket) {
    super();
  }

  override close(): void {
    this.socket.resetAndDestroy();
  }
}

/** Position after the first occurrence of `text`, infinity without one. */
function endOf(input: Buffer, text: string): number {
  const start = input.indexOf(text);
  return start < 0 ? Infinity : start + text.length;
}
