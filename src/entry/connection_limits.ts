/**
 * Limits for the connections of one listener. Decides which connection to close
 * when clients open too many, leave requests unfinished or answers unread. A
 * connection whose request is in progress is never closed.
 */

import type {SteadyTime} from '../lifecycle/clock.js';
import type {ClientLimits} from './settings.js';

const MEGABYTE = 1_048_576;

/** Descriptors of a VM that are reserved for files. */
const FILE_DESCRIPTORS = 200;

/** Memory of a leader without clients. */
const RESIDENT_MB = 128;

const MINIMUM_HELD_MB = 8;
const MAXIMUM_HELD_MB = 64;

/** Memory that the kernel may hold for a connection that is not read. */
const KERNEL_BYTES_PER_CONNECTION = 65_536;

/** An ordinary request is whole long before, also on the slowest link. */
const STALLED_AFTER_MS = 1_000;

const SMALLEST_CONNECTION_LIMIT = 4;

const PEER_REQUESTS_IN_PROGRESS = 1_024;

/**
 * - `idle`: no request has begun;
 * - `head`, `body`: a request has begun and is not whole;
 * - `answering`: the request is whole and in progress;
 * - `sending`: the answer is complete and not yet handed to the kernel.
 */
export type ConnectionPhase =
  'idle' | 'head' | 'body' | 'answering' | 'sending';

/** Why a connection is closed; a fixed set, used as a label of metrics. */
export type CloseReason =
  | 'connections'
  | 'unfinished-requests'
  | 'held-bytes'
  | 'head-time'
  | 'no-progress'
  | 'request-size'
  | 'idle-time';

/** A connection as its limits see it. */
export abstract class LimitedConnection {
  abstract close(): void;
}

export interface ConnectionBounds {
  readonly connections: number;
  /** Connections with an unfinished request or an unread answer. */
  readonly unfinishedRequests: number;
  /** Bytes that all connections hold together, as received. */
  readonly heldBytes: number;
  readonly requestsInProgress: number;
}

export interface ConnectionTimes {
  /** From the first byte of a request to the end of its head. */
  readonly headMs: number;
  /** Between requests, and without progress of a body or an answer. */
  readonly idleMs: number;
}

/** Addresses of an entry daemon, used as a label of metrics. */
export type ListenerName = 'callers' | 'readiness' | 'peers';

/** Derives the bounds of each address from the memory and descriptors. */
export function connectionBounds(
  limits: ClientLimits,
): Record<ListenerName, ConnectionBounds> {
  const sockets = Math.max(limits.maximumDescriptors - FILE_DESCRIPTORS, 0);
  const spareMb = (limits.memoryMb - RESIDENT_MB) / 4;
  const defaultHeldMb = clamp(spareMb, MINIMUM_HELD_MB, MAXIMUM_HELD_MB);
  const heldBytes = (limits.heldMb ?? defaultHeldMb) * MEGABYTE;
  const {requestsInProgress} = limits;
  const bounds = (
    connections: number,
    bytes: number,
    inProgress: number,
  ): ConnectionBounds => ({
    connections: Math.max(Math.floor(connections), SMALLEST_CONNECTION_LIMIT),
    unfinishedRequests: Math.ceil(bytes / KERNEL_BYTES_PER_CONNECTION),
    heldBytes: bytes,
    requestsInProgress: inProgress,
  });
  const callers = bounds(
    limits.connections ?? sockets / 2,
    heldBytes,
    requestsInProgress,
  );
  return {
    callers: {
      ...callers,
      unfinishedRequests:
        limits.unfinishedRequests ?? callers.unfinishedRequests,
    },
    readiness: bounds(sockets / 32, heldBytes / 8, requestsInProgress),
    peers: bounds(sockets / 4, heldBytes / 2, PEER_REQUESTS_IN_PROGRESS),
  };
}

interface ConnectionState {
  phase: ConnectionPhase;
  /** Start of the phase; `head` and `body` share one. */
  since: SteadyTime;
  progressAt: SteadyTime;
  heldBytes: number;
}

export class ConnectionLimits {
  private readonly states = new Map<LimitedConnection, ConnectionState>();
  /** In the order in which they became idle. */
  private readonly idle = new Set<LimitedConnection>();
  /** In the order in which their requests or answers began. */
  private readonly unfinished = new Set<LimitedConnection>();
  private heldBytes = 0;
  private requestsInProgress = 0;

  constructor(
    private readonly bounds: ConnectionBounds,
    private readonly onClose: (reason: CloseReason) => void,
  ) {}

  get connectionCount(): number {
    return this.states.size;
  }

  /** Adds a connection, for which another one may be closed. */
  add(connection: LimitedConnection, now: SteadyTime): void {
    if (this.states.size >= this.bounds.connections) {
      const other = this.leastUseful(now);
      // If all have requests in progress, the new one has to go.
      this.close(other ?? connection, 'connections');
      if (other === undefined) return;
    }
    this.states.set(connection, {
      phase: 'idle',
      since: now,
      progressAt: now,
      heldBytes: 0,
    });
    this.idle.add(connection);
  }

  remove(connection: LimitedConnection): void {
    const state = this.states.get(connection);
    if (state === undefined) return;
    this.heldBytes -= state.heldBytes;
    this.states.delete(connection);
    this.idle.delete(connection);
    this.unfinished.delete(connection);
  }

  enter(
    connection: LimitedConnection,
    phase: ConnectionPhase,
    now: SteadyTime,
  ): void {
    const state = this.states.get(connection);
    if (state === undefined || state.phase === phase) return;
    const isSameRequest = state.phase === 'head' && phase === 'body';
    state.phase = phase;
    state.progressAt = now;
    if (isSameRequest) return;
    state.since = now;
    this.idle.delete(connection);
    this.unfinished.delete(connection);
    if (phase === 'idle') this.idle.add(connection);
    if (phase === 'idle' || phase === 'answering') return;
    this.unfinished.add(connection);
    if (this.unfinished.size > this.bounds.unfinishedRequests) {
      this.closeOldestUnfinished('unfinished-requests');
    }
  }

  /** Records progress, and what the connection holds now. */
  hold(connection: LimitedConnection, bytes: number, now: SteadyTime): void {
    const state = this.states.get(connection);
    if (state === undefined) return;
    this.heldBytes += bytes - state.heldBytes;
    state.heldBytes = bytes;
    state.progressAt = now;
    while (this.heldBytes > this.bounds.heldBytes) {
      if (!this.closeOldestUnfinished('held-bytes')) return;
    }
  }

  /** False if the request has to be refused; else `endRequest` follows. */
  beginRequest(): boolean {
    if (this.requestsInProgress >= this.bounds.requestsInProgress) return false;
    this.requestsInProgress += 1;
    return true;
  }

  endRequest(): void {
    this.requestsInProgress -= 1;
  }

  /** Closes the connections that have exceeded a time. */
  closeOverdue(now: SteadyTime, {headMs, idleMs}: ConnectionTimes): void {
    for (const connection of [...this.idle, ...this.unfinished]) {
      const state = this.states.get(connection);
      if (state === undefined) continue;
      const {phase, since, progressAt} = state;
      if (phase === 'idle') {
        if (now - since >= idleMs) this.close(connection, 'idle-time');
      } else if (phase === 'head' && now - since >= headMs) {
        this.close(connection, 'head-time');
      } else if (now - progressAt >= idleMs) {
        this.close(connection, 'no-progress');
      }
    }
  }

  /** Closes a connection for a limit of its own. */
  close(connection: LimitedConnection, reason: CloseReason): void {
    this.remove(connection);
    connection.close();
    this.onClose(reason);
  }

  private leastUseful(now: SteadyTime): LimitedConnection | undefined {
    const [oldestUnfinished] = this.unfinished;
    const [longestIdle] = this.idle;
    if (oldestUnfinished === undefined) return longestIdle;
    const since = this.states.get(oldestUnfinished)?.since ?? now;
    return now - since >= STALLED_AFTER_MS
      ? oldestUnfinished
      : (longestIdle ?? oldestUnfinished);
  }

  private closeOldestUnfinished(reason: CloseReason): boolean {
    const [oldest] = this.unfinished;
    if (oldest === undefined) return false;
    this.close(oldest, reason);
    return true;
  }
}

function clamp(value: number, lowest: number, highest: number): number {
  return Math.min(Math.max(value, lowest), highest);
}
