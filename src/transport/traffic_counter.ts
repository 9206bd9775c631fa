/**
 * Counts the traffic of the HTTP connections to one service, for metrics. Bytes
 * are those of the TCP streams, headers included.
 */

import type {Socket} from 'node:net';

/** Totals since the start of the process. */
export interface Traffic {
  readonly sentBytes: number;
  readonly receivedBytes: number;
  /** Calls that received a complete answer. */
  readonly answers: number;
}

export class TrafficCounter {
  private readonly open = new Set<Socket>();
  private closedSentBytes = 0;
  private closedReceivedBytes = 0;
  private answers = 0;

  /** Counts the bytes of a connection until it closes. */
  addSocket(socket: Socket): void {
    this.open.add(socket);
    socket.once('close', () => {
      this.open.delete(socket);
      this.closedSentBytes += socket.bytesWritten;
      this.closedReceivedBytes += socket.bytesRead;
    });
  }

  countAnswer(): void {
    this.answers += 1;
  }

  totals(): Traffic {
    let sentBytes = this.closedSentBytes;
    let receivedBytes = this.closedReceivedBytes;
    for (const socket of this.open) {
      sentBytes += socket.bytesWritten;
      receivedBytes += socket.bytesRead;
    }
    return {sentBytes, receivedBytes, answers: this.answers};
  }
}
