/**
 * Server for calls from peers: exposes a `PeerHandler` by `trpc` over
 * WebSockets.
 */

import type {IncomingMessage} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {TRPCError} from '@trpc/server';
import {getWSConnectionHandler} from '@trpc/server/adapters/ws';
import {Result} from 'true-myth';
import {WebSocketServer} from 'ws';
import type {WebSocket} from 'ws';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import {UnavailableError} from '../model/errors.js';
import type {PeerHandler} from '../interfaces/peer_client.js';
import {
  MAXIMUM_MESSAGE_BYTES,
  PEER_PATH,
  createPeerRouter,
  toErrorReport,
} from './peer_protocol.js';
import type {PeerConnection} from './peer_protocol.js';

const MAXIMUM_CONNECTIONS = 1_024;
/** WebSocket close code "try again later" (IANA registry). */
const CLOSE_TRY_AGAIN_LATER = 1013;
/**
 * Connections without a message for this time are closed. Peers send heartbeats
 * at intervals of at most 5 s and close unused links themselves.
 */
const IDLE_TIMEOUT_MS = 60_000;
const IDLE_CHECK_MS = 10_000;

/** Traffic of one open connection, including WebSocket framing. */
export interface InboundLink {
  /** Source address and port of the peer. */
  readonly remoteAddress: string;
  readonly sentBytes: number;
  readonly receivedBytes: number;
}

export interface TrpcPeerServerOptions {
  readonly handler: PeerHandler;
  readonly host: string;
  /** 0 for a port chosen by the operating system. */
  readonly port: number;
  readonly scope: CleanupScope;
  readonly log: (sentence: string) => void;
}

interface OpenConnection {
  readonly socket: Socket;
  readonly remoteAddress: string;
  lastMessageAt: number;
}

export class TrpcPeerServer {
  private readonly connections = new Map<WebSocket, OpenConnection>();
  private closedSentBytes = 0;
  private closedReceivedBytes = 0;

  private constructor(
    private readonly options: TrpcPeerServerOptions,
    private readonly server: WebSocketServer,
  ) {
    const serve = getWSConnectionHandler({
      wss: server,
      router: createPeerRouter(options.handler),
      createContext: (): PeerConnection => ({}),
      maxBatchSize: 1,
      experimental_encoder: {encode, decode},
      onError: ({error, path}) => this.logError(error, path),
    });
    server.on('connection', (socket, request) => {
      if (this.accept(socket, request)) serve(socket, request);
    });
    options.scope.every(IDLE_CHECK_MS, () => this.closeIdle());
    options.scope.add(() => this.close());
  }

  /** Starts listening; fails if the address is in use or not local. */
  static async listen(
    options: TrpcPeerServerOptions,
  ): Promise<Result<TrpcPeerServer, UnavailableError>> {
    const server = new WebSocketServer({
      host: options.host,
      port: options.port,
      path: PEER_PATH,
      maxPayload: MAXIMUM_MESSAGE_BYTES,
      perMessageDeflate: false,
    });
    const failure = await new Promise<Error | undefined>((resolve) => {
      server.once('listening', () => resolve(undefined));
      server.once('error', resolve);
    });
    if (failure) {
      return Result.err(
        new UnavailableError(
          `cannot listen for peers on ${options.host}:${options.port}: ${failure.message}`,
          'free the port or set another peer address',
        ),
      );
    }
    server.on('error', (error) => {
      options.log(`[peers] the server failed: ${error.message}`);
    });
    return Result.ok(new TrpcPeerServer(options, server));
  }

  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Returns the open connections from peers. */
  links(): InboundLink[] {
    return [...this.connections.values()].map((connection) => ({
      remoteAddress: connection.remoteAddress,
      sentBytes: connection.socket.bytesWritten,
      receivedBytes: connection.socket.bytesRead,
    }));
  }

  /** Returns the bytes of all connections since the server started. */
  totals(): {readonly sentBytes: number; readonly receivedBytes: number} {
    let sentBytes = this.closedSentBytes;
    let receivedBytes = this.closedReceivedBytes;
    for (const {socket} of this.connections.values()) {
      sentBytes += socket.bytesWritten;
      receivedBytes += socket.bytesRead;
    }
    return {sentBytes, receivedBytes};
  }

  private accept(socket: WebSocket, request: IncomingMessage): boolean {
    if (this.connections.size >= MAXIMUM_CONNECTIONS) {
      socket.close(CLOSE_TRY_AGAIN_LATER);
      return false;
    }
    const {remoteAddress, remotePort} = request.socket;
    const connection: OpenConnection = {
      socket: request.socket,
      remoteAddress: `${remoteAddress}:${remotePort}`,
      lastMessageAt: performance.now(),
    };
    this.connections.set(socket, connection);
    socket.on('message', () => {
      connection.lastMessageAt = performance.now();
    });
    socket.on('close', () => {
      this.connections.delete(socket);
      this.closedSentBytes += connection.socket.bytesWritten;
      this.closedReceivedBytes += connection.socket.bytesRead;
    });
    return true;
  }

  private closeIdle(): void {
    const oldest = performance.now() - IDLE_TIMEOUT_MS;
    for (const [socket, connection] of this.connections) {
      if (connection.lastMessageAt < oldest) socket.terminate();
    }
  }

  private logError(error: TRPCError, path: string | undefined): void {
    // The handler returned this error; the caller logs it.
    if (error.code === 'UNPROCESSABLE_CONTENT') return;
    const {message} = toErrorReport(error, path ?? 'a message');
    this.options.log(`[peers] ${message}`);
  }

  private async close(): Promise<void> {
    for (const socket of this.connections.keys()) socket.terminate();
    await new Promise<void>((resolve) => this.server.close(() => resolve()));
  }
}

/** An oversized message yields an error answer and keeps the link open. */
function encode(message: unknown): string {
  const text = JSON.stringify(message);
  const bytes = Buffer.byteLength(text);
  if (bytes <= MAXIMUM_MESSAGE_BYTES) return text;
  throw new TRPCError({
    code: 'PAYLOAD_TOO_LARGE',
    message: `the answer of ${bytes} bytes is over the limit of ${MAXIMUM_MESSAGE_BYTES}`,
  });
}

function decode(message: unknown): unknown {
  if (typeof message === 'string') return JSON.parse(message);
  throw new Error('a binary message is not part of the peer protocol');
}
