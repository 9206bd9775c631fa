/**
 * Limits the memory for the bodies of requests in progress. A decoded body, its
 * record and the call that stores it take many times the bytes that a client
 * has sent, and a slow store keeps all of them for as long as it takes.
 */

import {getHeapStatistics} from 'node:v8';

const SHARE_OF_HEAP = 0.1;

/** Part of the memory that has to be free for a body that takes more. */
const FREE_SHARE_FOR_LARGE = 0.5;

export class RequestMemory {
  private usedBytes = 0;

  constructor(
    private readonly maximumBytes = getHeapStatistics().heap_size_limit *
      SHARE_OF_HEAP,
  ) {}

  /**
   * Does work that takes `bytes` until its end; undefined if others take the
   * memory. One piece of work is done at any time, whatever its size.
   */
  async use<T extends object>(
    bytes: number,
    work: () => Promise<T>,
  ): Promise<T | undefined> {
    const {maximumBytes} = this;
    const needed = Math.min(bytes, maximumBytes * FREE_SHARE_FOR_LARGE);
    if (this.usedBytes + needed > maximumBytes) return undefined;
    this.usedBytes += bytes;
    try {
      return await work();
    } finally {
      this.usedBytes -= bytes;
    }
  }
}
