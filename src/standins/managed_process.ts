/**
 * One child process of a test or of the demonstration. Its first line of
 * standard output is JSON with the addresses that it listens on; the lines
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

/** How a process ended. */
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
   * Starts a program and returns it with its parsed first line; `onLine`
   * receives the lines after it. Throws with the end of the program's
   * standard error if it ends before that. The program is stopped when the
   * scope closes, also if it is still starting.
   */
  static async start(
    scope: CleanupScope,
    name: string,
    script: string,
    parameters: readonly string[],
    onLine: LineListener = () => undefined,
    /** Added to the variables of this process. */
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

  /** Resolves when the process has ended. */
  get exited(): Promise<ProcessExit> {
    return this.exitPromise;
  }

  /** The end of standard error, for failure messages. */
  get recentErrorOutput(): string {
    return this.errorLines.join('\n');
  }

  /** Sends a signal to this process only. */
  signal(signal: NodeJS.Signals): void {
    if (this.isRunning) this.child.kill(signal);
  }

  /** Kills the process at once. */
  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.exitPromise;
  }

  /** Stops the process from running, as a frozen VM does. */
  pause(): void {
    this.signal('SIGSTOP');
  }

  resume(): void {
    this.signal('SIGCONT');
  }

  /** Asks the process to stop and waits; kills it if it does not. */
  async stop(): Promise<ProcessExit> {
    this.signal('SIGTERM');
    // A paused process takes the signal only when it runs again.
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
          new Error(`${this.name} did not start: ${this.recentErrorOutput}`),
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
