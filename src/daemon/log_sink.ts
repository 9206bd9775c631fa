/**
 * Writes log lines without holding up the event loop. Lines of one turn are
 * written together on another thread; what a slow reader or a flood of lines
 * would pile up is dropped and counted.
 */

import {write, writeSync} from 'node:fs';

/** Bytes that may wait for the reader. */
const MAXIMUM_WAITING_BYTES = 262_144;

/** Lines per second; a busy leader writes about 300. */
const MAXIMUM_LINES_PER_SECOND = 2_000;

const SECOND_MS = 1_000;

export class LogSink {
  private waiting: string[] = [];
  private waitingBytes = 0;
  private isWriting = false;
  private droppedLines = 0;
  private secondStartedAt = 0;
  private linesThisSecond = 0;

  constructor(
    private readonly descriptor: number,
    private readonly now: () => number = () => Date.now(),
  ) {
    process.once('exit', () => this.flushAtExit());
  }

  /** Called by the logger with one line. */
  write(line: string): void {
    if (!this.hasRoom(line)) {
      this.droppedLines += 1;
      return;
    }
    if (this.droppedLines > 0) {
      const msg = `[log] dropped ${this.droppedLines} lines`;
      this.push(`${JSON.stringify({msg, level: 40})}\n`);
      this.droppedLines = 0;
    }
    this.push(line);
    if (this.isWriting) return;
    this.isWriting = true;
    setImmediate(() => this.flush());
  }

  private hasRoom(line: string): boolean {
    const now = this.now();
    if (now - this.secondStartedAt >= SECOND_MS) {
      this.secondStartedAt = now;
      this.linesThisSecond = 0;
    }
    this.linesThisSecond += 1;
    return (
      this.linesThisSecond <= MAXIMUM_LINES_PER_SECOND &&
      this.waitingBytes + line.length <= MAXIMUM_WAITING_BYTES
    );
  }

  private push(line: string): void {
    this.waiting.push(line);
    this.waitingBytes += line.length;
  }

  private flush(): void {
    const text = Buffer.from(this.waiting.join(''));
    const bytes = this.waitingBytes;
    this.waiting = [];
    this.writeAll(text, () => {
      this.waitingBytes -= bytes;
      if (this.waiting.length > 0) this.flush();
      else this.isWriting = false;
    });
  }

  private writeAll(text: Buffer, then: () => void): void {
    write(this.descriptor, text, (error, written) => {
      // There is nowhere to report that the log itself cannot be written.
      if (error !== null || written >= text.length) then();
      else this.writeAll(text.subarray(written), then);
    });
  }

  private flushAtExit(): void {
    if (this.waiting.length === 0) return;
    try {
      writeSync(this.descriptor, this.waiting.join(''));
    } catch {
      // The reader is gone, and with it the only place to report to.
    }
  }
}
