/**
 * Reads HTTP request bodies with limits on their size and on total memory.
 */

import type {IncomingMessage} from 'node:http';
import {Result} from 'true-myth';
import {
  InvalidInputError,
  RefusedError,
  UnavailableError,
} from '../model/errors.js';

/**
 * Total bytes of the bodies being read. Without this limit, slow callers with
 * large bodies could exhaust the memory of the daemon (256 MB).
 */
const MAXIMUM_BYTES_IN_FLIGHT = 67_108_864;

const BLOCK_BYTES = 16_384;

/** The messages of this system have fewer levels. */
const MAXIMUM_DEPTH = 32;

/** `RefusedError`: the body is too large. */
export type BodyError = InvalidInputError | RefusedError | UnavailableError;

export class BodyReader {
  private bytesInFlight = 0;

  constructor(private readonly maximumInFlight = MAXIMUM_BYTES_IN_FLIGHT) {}

  /** Returns the body as text; leaves the rest of a refused body unread. */
  async read(
    request: IncomingMessage,
    maximumBytes: number,
  ): Promise<Result<string, BodyError>> {
    const declared = Number(request.headers['content-length'] ?? 0);
    if (declared > maximumBytes) return Result.err(tooLarge(maximumBytes));
    const content = new BodyContent();
    let bytes = 0;
    try {
      // Destroying the stream would close the connection before the response.
      const stream = request.iterator({destroyOnReturn: false});
      for await (const chunk of stream) {
        const buffer = chunk as Buffer;
        bytes += buffer.length;
        this.bytesInFlight += buffer.length;
        if (bytes > maximumBytes) return Result.err(tooLarge(maximumBytes));
        if (this.bytesInFlight > this.maximumInFlight) {
          return Result.err(tooBusy());
        }
        content.append(buffer);
      }
    } catch {
      return Result.err(
        invalidBody('the connection closed before the end of the body'),
      );
    } finally {
      this.bytesInFlight -= bytes;
    }
    return decode(content.join());
  }
}

/**
 * Bytes of a body, copied into blocks as they arrive: the object of a small
 * chunk is larger than its content.
 */
class BodyContent {
  private readonly blocks: Buffer[] = [];
  /** Bytes in use of the last block. */
  private usedBytes = 0;

  append(chunk: Buffer): void {
    const last = this.blocks.at(-1);
    const copied = last === undefined ? 0 : chunk.copy(last, this.usedBytes);
    this.usedBytes += copied;
    if (copied === chunk.length) return;
    // Most bodies are one chunk, which needs no room for more.
    const size = last === undefined ? 0 : BLOCK_BYTES;
    const block = Buffer.alloc(Math.max(chunk.length - copied, size));
    this.usedBytes = chunk.copy(block, 0, copied);
    this.blocks.push(block);
  }

  join(): Buffer {
    const last = this.blocks.pop();
    if (last !== undefined) this.blocks.push(last.subarray(0, this.usedBytes));
    return Buffer.concat(this.blocks);
  }
}

/**
 * Returns the parsed body, or undefined if it is not JSON or nested too deep.
 * The parser takes far more memory for each level than the body for a bracket.
 */
export function parseBody(body: string): unknown {
  if (isDeeperThan(body, MAXIMUM_DEPTH)) return undefined;
  try {
    return JSON.parse(body);
  } catch {
    return undefined;
  }
}

function isDeeperThan(text: string, maximumDepth: number): boolean {
  let depth = 0;
  let isInString = false;
  for (let index = 0; index < text.length; index += 1) {
    const character = text[index];
    if (isInString && character === '\\') index += 1;
    else if (character === '"') isInString = !isInString;
    else if (isInString) continue;
    else if (character === '[' || character === '{') depth += 1;
    else if (character === ']' || character === '}') depth -= 1;
    if (depth > maximumDepth) return true;
  }
  return false;
}

function decode(bytes: Buffer): Result<string, BodyError> {
  try {
    return Result.ok(new TextDecoder('utf-8', {fatal: true}).decode(bytes));
  } catch {
    return Result.err(invalidBody('the body is not valid UTF-8'));
  }
}

function invalidBody(problem: string): InvalidInputError {
  return new InvalidInputError('body', problem, 'send JSON in UTF-8');
}

function tooLarge(maximumBytes: number): RefusedError {
  return new RefusedError(
    `the body is larger than ${maximumBytes} bytes`,
    'send a smaller payload, or a reference to the data',
  );
}

function tooBusy(): UnavailableError {
  return new UnavailableError(
    'the request bodies being read have reached the memory limit of the daemon',
    'send the request again later; it was not run',
  );
}
