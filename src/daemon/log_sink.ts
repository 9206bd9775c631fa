/**
 * Writes log lines without blocking the event loop. Lines of one turn of the
 * event loop are written together, on another thread. Lines beyond a rate or a
 * backlog limit are dropped and counted, so that a slow reader or a flood of
 * lines cannot exhaust the memory.
 */

import {write, writeSync} from 'node:fs';

/** Largest backlog of lines that are not written yet. */
const MAXIMUM_PENDING_BYTES = 262_144;

/** A busy leader writes about 300 lines per second. */
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
      // A failed write is ignored: there is no other place to report it.
      if (error !== null || written >= text.length) onWritten();
      else this.writeFully(text.subarray(written), onWritten);
    });
  }

  private flushAtExit(): void {
    if (this.pendingLines.length === 0) return;
    try {
      writeSync(this.descriptor, this.pendingLines.join(''));
    } catch {
      // The reader has closed the log; there is no other place to report it.
    }
  }
}
