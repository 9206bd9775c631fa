/**
 * One link of the fault proxy: a listening port whose TCP connections are
 * forwarded to one target with simulated network faults.
 */

import {once} from 'node:events';
import {connect, createServer} from 'node:net';
import type {Socket} from 'node:net';
import {z} from 'zod';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import {listenUntilClosed} from './listen_until_closed.js';

export const linkFaultsSchema = z.object({
  /** Resets all open and new connections. */
  cut: z.boolean().default(false),
  /**
   * Drops everything sent in the given direction or in both, including the end
   * of the stream, without notice to either side. Connections stay open.
   */
  freeze: z.enum(['none', 'to-target', 'to-client', 'both']).default('none'),
  /**
   * Connections that were open during a freeze stay frozen afterwards, as if a
   * device on the path had lost their state. If false, data sent during the
   * freeze is buffered and delivered when it ends.
   */
  frozenForGood: z.boolean().default(true),
  /** Latency added in each direction. */
  delayMs: z.number().min(0).default(0),
  /**
   * Closes a connection once it has sent this many bytes to the client since
   * it was opened.
   */
  truncateAfterBytes: z.int().min(0).optional(),
});
/** Faults of a link. The default values mean no faults. */
export type LinkFaults = z.infer<typeof linkFaultsSchema>;

export const linkStatusSchema = z.object({
  openConnections: z.int(),
  acceptedConnections: z.int(),
  /** Bytes forwarded to the target and to the client since the start. */
  bytesToTarget: z.int(),
  bytesToClient: z.int(),
});
export type LinkStatus = z.infer<typeof linkStatusSchema>;

/** Bytes that one direction buffers before it stops reading. */
const MAXIMUM_BUFFERED_BYTES = 1_048_576;

type Direction = 'to-target' | 'to-client';

/** Data waiting for delivery. An undefined chunk is the end of the stream. */
interface BufferedChunk {
  readonly chunk: Buffer | undefined;
  /** Earliest delivery, in the time of `performance.now()`. */
  readonly deliverAt: number;
}

/** Forwards the data of one direction of a connection in order. */
class DirectionForwarder {
  private readonly buffer: BufferedChunk[] = [];
  private bufferedBytes = 0;
  private isDropping = false;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly source: Socket,
    private readonly sink: Socket,
    private readonly direction: Direction,
    private readonly faults: () => LinkFaults,
    /** Takes a number of bytes and returns how many of them may be sent. */
    private readonly admit: (bytes: number) => number,
  ) {
    source.on('data', (chunk) => this.enqueue(chunk));
    source.on('end', () => this.enqueue(undefined));
    source.on('close', () => this.onSourceClosed());
    sink.on('drain', () => this.deliver());
  }

  /** Applies the current faults; called whenever they change. */
  refresh(): void {
    if (this.isFrozen() && this.faults().frozenForGood) this.startDropping();
    this.deliver();
  }

  stop(): void {
    clearTimeout(this.timer);
    this.buffer.length = 0;
  }

  private isFrozen(): boolean {
    const {freeze} = this.faults();
    return freeze === 'both' || freeze === this.direction;
  }

  private startDropping(): void {
    this.isDropping = true;
    this.stop();
    this.bufferedBytes = 0;
    this.source.resume();
  }

  private enqueue(chunk: Buffer | undefined): void {
    if (this.isDropping) return;
    const deliverAt = performance.now() + this.faults().delayMs;
    this.buffer.push({chunk, deliverAt});
    this.bufferedBytes += chunk?.length ?? 0;
    if (this.bufferedBytes > MAXIMUM_BUFFERED_BYTES) this.source.pause();
    this.deliver();
  }

  private deliver(): void {
    clearTimeout(this.timer);
    let next = this.buffer[0];
    while (
      next !== undefined &&
      !this.isFrozen() &&
      !this.sink.writableNeedDrain
    ) {
      const waitMs = next.deliverAt - performance.now();
      if (waitMs > 0) {
        this.timer = setTimeout(() => this.deliver(), waitMs);
        return;
      }
      this.buffer.shift();
      this.forward(next.chunk);
      next = this.buffer[0];
    }
  }

  private forward(chunk: Buffer | undefined): void {
    if (chunk === undefined) {
      this.sink.end();
      return;
    }
    this.bufferedBytes -= chunk.length;
    if (this.bufferedBytes <= MAXIMUM_BUFFERED_BYTES) this.source.resume();
    const admitted = this.admit(chunk.length);
    if (admitted > 0) this.sink.write(chunk.subarray(0, admitted));
    if (admitted < chunk.length) {
      this.sink.destroySoon();
      this.source.destroy();
    }
  }

  /** Forwards a reset. An orderly end has been forwarded on 'end'. */
  private onSourceClosed(): void {
    if (this.isDropping) return;
    if (this.isFrozen()) this.enqueue(undefined);
    else if (this.source.errored !== null) this.sink.resetAndDestroy();
    else if (this.buffer.length === 0) this.sink.end();
  }
}

interface Connection {
  readonly client: Socket;
  readonly target: Socket;
  readonly forwarders: readonly DirectionForwarder[];
}

export class FaultLink {
  private readonly server = createServer({allowHalfOpen: true}, (client) =>
    this.accept(client),
  );
  private readonly connections = new Set<Connection>();
  private currentFaults: LinkFaults = linkFaultsSchema.parse({});
  private acceptedConnections = 0;
  private bytesToTarget = 0;
  private bytesToClient = 0;

  /** `target` is an IP address and port. */
  constructor(private target: string) {}

  /** Forwards new connections to `target`. Open ones stay. */
  retarget(target: string): void {
    this.target = target;
  }

  get faults(): LinkFaults {
    return this.currentFaults;
  }

  set faults(faults: LinkFaults) {
    this.currentFaults = faults;
    for (const connection of [...this.connections]) {
      if (faults.cut) this.reset(connection);
      else for (const forwarder of connection.forwarders) forwarder.refresh();
    }
  }

  get status(): LinkStatus {
    return {
      openConnections: this.connections.size,
      acceptedConnections: this.acceptedConnections,
      bytesToTarget: this.bytesToTarget,
      bytesToClient: this.bytesToClient,
    };
  }

  /** Listens until the scope closes. Returns the host and port. */
  listen(scope: CleanupScope, host: string, port: number): Promise<string> {
    const {server} = this;
    return listenUntilClosed(server, scope, host, port, () => this.close());
  }

  private accept(client: Socket): void {
    this.acceptedConnections += 1;
    client.on('error', () => undefined);
    if (this.currentFaults.cut) {
      client.resetAndDestroy();
      return;
    }
    const target = this.connectToTarget();
    const faults = () => this.currentFaults;
    const connection: Connection = {
      client,
      target,
      forwarders: [
        new DirectionForwarder(client, target, 'to-target', faults, (bytes) => {
          this.bytesToTarget += bytes;
          return bytes;
        }),
        new DirectionForwarder(
          target,
          client,
          'to-client',
          faults,
          this.createTruncator(),
        ),
      ],
    };
    this.connections.add(connection);
    for (const forwarder of connection.forwarders) forwarder.refresh();
    const removeIfClosed = () => {
      if (client.closed && target.closed) this.connections.delete(connection);
    };
    client.on('close', removeIfClosed);
    target.on('close', removeIfClosed);
  }

  private connectToTarget(): Socket {
    const separator = this.target.lastIndexOf(':');
    const host = this.target.slice(0, separator).replace(/[[\]]/g, '');
    const port = Number(this.target.slice(separator + 1));
    const socket = connect({host, port, allowHalfOpen: true, noDelay: true});
    socket.on('error', () => undefined);
    return socket;
  }

  /**
   * Returns a function that applies `truncateAfterBytes` to one connection and
   * counts the bytes sent to its client.
   */
  private createTruncator(): (bytes: number) => number {
    let passed = 0;
    return (bytes) => {
      const limit = this.currentFaults.truncateAfterBytes ?? Infinity;
      const admitted = Math.max(0, Math.min(bytes, limit - passed));
      passed += admitted;
      this.bytesToClient += admitted;
      return admitted;
    };
  }

  private reset(connection: Connection): void {
    for (const forwarder of connection.forwarders) forwarder.stop();
    connection.client.resetAndDestroy();
    connection.target.resetAndDestroy();
  }

  private async close(): Promise<void> {
    const closed = once(this.server, 'close');
    this.server.close();
    for (const connection of this.connections) {
      for (const forwarder of connection.forwarders) forwarder.stop();
      connection.client.destroy();
      connection.target.destroy();
    }
    await closed;
  }
}
