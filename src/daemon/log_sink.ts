/**
 * Writes log lines without holding up the event loop. Lines of one turn are
 * written together on another thread; what a slow reader or a flood of lines
 * would pile up is dropped and counted.
 */

import {write, writeSync} from 'node:fs';

/** Bytes that may wait for the reader. */
const MAXIMUM_PENDING_BYTES = 262_144;

/** Lines per second; a busy leader writes about 300. */
const MAXIMUM_LINES_PER_SECOND = 2_000;

const SECOND_MS = 1_000;

export class LogSink {
  private pendingLines: string[] = [];
  private pendingBytes = 0;
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
    if (!this.canAccept(line)) {
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

  private canAccept(line: string): boolean {
    const now = this.now();
    if (now - this.secondStartedAt >= SECOND_MS) {
      this.secondStartedAt = now;
      this.linesThisSecond = 0;
    }
    this.linesThisSecond += 1;
    return (
      this.linesThisSecond <= MAXIMUM_LINES_PER_SECOND &&
      this.pendingBytes + line.length <= MAXIMUM_PENDING_BYTES
    );
  }

  private push(line: string): void {
    this.pendingLines.push(line);
    this.pendingBytes += line.length;
  }

  private flush(): void {
    const text = Buffer.from(this.pendingLines.join(''));
    const bytes = this.pendingBytes;
    this.pendingLines = [];
    this.writeFully(text, () => {
      this.pendingBytes -= bytes;
      if (this.pendingLines.length > 0) this.flush();
      else this.isWriting = false;
    });
  }

  private writeFully(text: Buffer, onWritten: () => void): void {
    write(this.descriptor, text, (error, written) => {
      // There is nowhere to report that the log itself cannot be written.
      if (error !== null || written >= text.length) onWritten();
      else this.writeFully(text.subarray(written), onWritten);
    });
  }

  private flushAtExit(): void {
    if (this.pendingLines.length === 0) return;
    try {
      writeSync(this.descriptor, this.pendingLines.join(''));
    } catch {
      // The reader is gone, and with it the only place to report to.
    }
  }
}
