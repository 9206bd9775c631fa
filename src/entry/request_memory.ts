/**
 * Limits the memory for the bodies of requests in progress. A decoded body, its
 * record and the call that stores it take many times the bytes that a client
 * has sent, and a slow store keeps all of them for as long as it takes.
 */

import {getHeapStatistics} from 'node:v8';

const SHARE_OF_HEAP = 0.1;

export class RequestMemory {
  private usedBytes = 0;

  constructor(
    /** Bytes in memory for each byte of a body. */
    private readonly expansion: number,
    private readonly maximumBytes = getHeapStatistics().heap_size_limit *
      SHARE_OF_HEAP,
  ) {}

  /**
   * Runs `work` on a body; undefined if others take all memory. One body is
   * worked on at any time, whatever its size.
   */
  async use<T extends object>(
    bodyBytes: number,
    work: () => Promise<T>,
  ): Promise<T | undefined> {
    const bytes = bodyBytes * this.expansion;
    const isFull = this.usedBytes + bytes > this.maximumBytes;
    if (bytes > 0 && this.usedBytes > 0 && isFull) return undefined;
    this.usedBytes += bytes;
    try {
      return await work();
    } finally {
      this.usedBytes -= bytes;
    }
  }
}
