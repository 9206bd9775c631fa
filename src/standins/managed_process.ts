/**
 * A child process started by a test or by the demonstration. The first line of
 * its standard output is JSON with the addresses that it listens on. The lines
 * after that are its run log.
 */

import {spawn} from 'node:child_process';
import type {ChildProcessByStdio} from 'node:child_process';
import {createInterface} from 'node:readline';
import type {Readable, Writable} from 'node:stream';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';

const START_TIMEOUT_MS = 30_000;
const STOP_TIMEOUT_MS = 40_000;
const MAXIMUM_ERROR_LINES = 50;

/** Exit status of a process. */
export interface ProcessExit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

export type LineListener = (line: string) => void;

export class ManagedProcess {
  private readonly errorLines: string[] = [];
  private readonly exitPromise: Promise<ProcessExit>;
  private exit: ProcessExit | undefined;

  private constructor(
    readonly name: string,
    private readonly child: ChildProcessByStdio<Writable, Readable, Readable>,
  ) {
    this.exitPromise = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        this.exit = {code, signal};
        resolve(this.exit);
      });
    });
  }

  /**
   * Starts a Node.js script and returns the process with the parsed first line
   * of its output. `onLine` receives each later line. Throws if the process
   * exits or times out before its first line; the message contains the last
   * lines of its standard error. The process is stopped when the scope closes,
   * even while it is starting.
   */
  static async start(
    scope: CleanupScope,
    name: string,
    script: string,
    parameters: readonly string[],
    onLine: LineListener = () => undefined,
    /** Added to the environment variables of this process. */
    environment: Readonly<Record<string, string>> = {},
  ): Promise<{process: ManagedProcess; firstLine: unknown}> {
    const child = spawn(process.execPath, [script, ...parameters], {
      stdio: ['pipe', 'pipe', 'pipe'],
      env: {...process.env, ...environment},
    });
    const managed = new ManagedProcess(name, child);
    scope.add(async () => {
      await managed.stop();
    });
    const firstLine = await managed.readFirstLine(onLine);
    return {process: managed, firstLine};
  }

  get pid(): number | undefined {
    return this.child.pid;
  }

  get isRunning(): boolean {
    return this.exit === undefined;
  }

  /** Resolves when the process has exited. */
  get exited(): Promise<ProcessExit> {
    return this.exitPromise;
  }

  /** The last lines of standard error, for failure messages. */
  get recentErrorOutput(): string {
    return this.errorLines.join('\n');
  }

  /** Signals this process, but not its children. Does nothing after its exit. */
  signal(signal: NodeJS.Signals): void {
    if (this.isRunning) this.child.kill(signal);
  }

  /** Kills the process with SIGKILL and waits for its exit. */
  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.exitPromise;
  }

  /** Suspends the process with SIGSTOP to simulate a frozen VM. */
  pause(): void {
    this.signal('SIGSTOP');
  }

  resume(): void {
    this.signal('SIGCONT');
  }

  /** Sends SIGTERM, and SIGKILL if the process does not exit in time. */
  async stop(): Promise<ProcessExit> {
    this.signal('SIGTERM');
    // A suspended process handles the signal only once it is resumed.
    this.resume();
    const timer = setTimeout(() => this.signal('SIGKILL'), STOP_TIMEOUT_MS);
    const exit = await this.exitPromise;
    clearTimeout(timer);
    return exit;
  }

  private async readFirstLine(onLine: LineListener): Promise<unknown> {
    const {stdout, stderr} = this.child;
    createInterface({input: stderr}).on('line', (line) => {
      this.errorLines.push(line);
      if (this.errorLines.length > MAXIMUM_ERROR_LINES) this.errorLines.shift();
    });
    return new Promise((resolve, reject) => {
      let isFirstLine = true;
      const timer = setTimeout(() => {
        reject(
          new Error(
            `${this.name} printed no first line in time: ${this.recentErrorOutput}`,
          ),
        );
      }, START_TIMEOUT_MS);
      createInterface({input: stdout}).on('line', (line) => {
        if (!isFirstLine) {
          onLine(line);
          return;
        }
        isFirstLine = false;
        clearTimeout(timer);
        resolve(JSON.parse(line));
      });
      void this.exitPromise.then((exit) => {
        clearTimeout(timer);
        const cause = exit.code ?? exit.signal;
        reject(
          new Error(`${this.name} ended (${cause}): ${this.recentErrorOutput}`),
        );
      });
    });
  }
}
