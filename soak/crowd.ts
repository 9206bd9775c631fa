/**
 * Crowds of clients that keep inside no limit: they send ahead on many
 * connections, and most of them read no answer.
 */

import {connect} from 'node:net';
import type {Socket} from 'node:net';

const MEGABYTE = 1_048_576;

/** What bodies stop at; the limit of a body is 262,144 bytes. */
const UNFINISHED_BODY_BYTES = 262_000;
export const LARGE_CHUNK_BYTES = 65_500;

/** Lower than deployed, so that a small crowd shows what a large one does. */
export const LOW_HEAP = {
  NODE_OPTIONS: '--max-old-space-size=64 --max-semi-space-size=4',
};

/** How the members of a crowd behave. */
export interface CrowdPlay {
  /** They read the answers. */
  readonly reads: boolean;
  /** Sent again and again after the texts, or empty. */
  readonly trickle: string;
}

const DEFAULT_PLAY: CrowdPlay = {reads: false, trickle: ''};

const TRICKLE_INTERVAL_MS = 100;

export class Crowd {
  private readonly members: readonly CrowdMember[];

  /**
   * Opens `size` connections at once and sends each the whole of `textsOf` in
   * turn. They stay open until the crowd leaves or the server closes them.
   */
  constructor(
    address: string,
    size: number,
    textsOf: (member: number) => Iterable<string>,
    play: CrowdPlay = DEFAULT_PLAY,
  ) {
    this.members = Array.from(
      {length: size},
      (_unused, index) => new CrowdMember(address, textsOf(index), play),
    );
  }

  /** Bytes of answers that the members have read. */
  get readBytes(): number {
    return this.members.reduce((bytes, member) => bytes + member.readBytes, 0);
  }

  /** Bytes that the kernel has accepted from all members, trickled ones apart. */
  get sentBytes(): number {
    return this.members.reduce((bytes, member) => bytes + member.sentBytes, 0);
  }

  leave(): void {
    for (const member of this.members) member.leave();
  }
}

class CrowdMember {
  private readonly socket: Socket;
  private readonly texts: Iterator<string>;
  private timer: NodeJS.Timeout | undefined;
  private trickledBytes = 0;

  constructor(
    address: string,
    texts: Iterable<string>,
    private readonly play: CrowdPlay,
  ) {
    this.texts = texts[Symbol.iterator]();
    const separator = address.lastIndexOf(':');
    this.socket = connect({
      host: address.slice(0, separator),
      port: Number(address.slice(separator + 1)),
    });
    if (play.reads) this.socket.resume();
    else this.socket.pause();
    this.socket.on('error', () => undefined);
    this.socket.on('connect', () => this.send());
    this.socket.on('drain', () => this.send());
  }

  get sentBytes(): number {
    const {bytesWritten, writableLength} = this.socket;
    return bytesWritten - writableLength - this.trickledBytes;
  }

  get readBytes(): number {
    return this.socket.bytesRead;
  }

  leave(): void {
    clearInterval(this.timer);
    this.socket.destroy();
  }

  private send(): void {
    while (this.socket.writable) {
      const text = this.texts.next();
      if (text.done === true) {
        this.startTrickle();
        return;
      }
      if (!this.socket.write(text.value)) return;
    }
  }

  private startTrickle(): void {
    const {trickle} = this.play;
    if (trickle === '' || this.timer !== undefined) return;
    this.timer = setInterval(() => {
      if (!this.socket.writable || this.socket.writableLength > 0) return;
      this.socket.write(trickle);
      this.trickledBytes += trickle.length;
    }, TRICKLE_INTERVAL_MS);
  }
}

export function* readinessAhead(): Iterable<string> {
  const text = 'GET /v1/readyz HTTP/1.1\r\nHost: crowd\r\n\r\n';
  const block = text.repeat(1_000);
  for (let sent = 0; sent < 4 * MEGABYTE; sent += block.length) yield block;
}

/** The head of a submission without its end, near the limit of a head. */
export function* unfinishedHead(host: string, path: string): Iterable<string> {
  yield `POST ${path} HTTP/1.1\r\nHost: ${host}\r\nX-Long: ${'a'.repeat(15_000)}`;
}

/** A submission in chunks of `chunkBytes` that stops short of its end. */
export function* unfinishedBody(
  host: string,
  path: string,
  chunkBytes: number,
): Iterable<string> {
  yield (
    `POST ${path} HTTP/1.1\r\n` +
    `Host: ${host}\r\nTransfer-Encoding: chunked\r\n\r\n`
  );
  const content = 'a'.repeat(chunkBytes);
  const chunk = `${chunkBytes.toString(16)}\r\n${content}\r\n`;
  const chunks = Math.ceil(LARGE_CHUNK_BYTES / chunkBytes);
  const block = chunk.repeat(chunks);
  const blockBytes = chunks * chunkBytes;
  for (let sent = 0; sent + blockBytes <= UNFINISHED_BODY_BYTES;) {
    yield block;
    sent += blockBytes;
  }
}
