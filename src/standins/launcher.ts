/**
 * Starts stand-ins as processes of their own and follows their run logs, for
 * tests and the demonstration.
 */

import type {ChildProcessByStdio} from 'node:child_process';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';
import type {Readable, Writable} from 'node:stream';
import {fileURLToPath} from 'node:url';
import type {z} from 'zod';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {faultProxyOptionsSchema} from './fault_proxy_service.js';
import type {minionOptionsSchema} from './minion_service.js';
import type {platformOptionsSchema} from './platform_service.js';
import type {RunEvent} from './run_log.js';
import {runEventSchema} from './run_log.js';
import type {FirstLine} from './standin_process.js';
import {firstLineSchema} from './standin_process.js';
import type {workerFleetOptionsSchema} from './worker_fleet_service.js';
import type {workerOptionsSchema} from './worker_service.js';

const EVENT_TIMEOUT_MS = 30_000;

const PROGRAM_FILES = {
  platform: './platform.js',
  worker: './worker.js',
  workerFleet: './worker_fleet.js',
  minion: './minion.js',
  faultProxy: './fault_proxy.js',
} as const;

interface StandinOptions {
  readonly platform: z.input<typeof platformOptionsSchema>;
  readonly worker: z.input<typeof workerOptionsSchema>;
  readonly workerFleet: z.input<typeof workerFleetOptionsSchema>;
  readonly minion: z.input<typeof minionOptionsSchema>;
  readonly faultProxy: z.input<typeof faultProxyOptionsSchema>;
}

/** One running stand-in. */
export class StandinProcess {
  /** All events so far, in order. */
  readonly events: RunEvent[] = [];
  private readonly listeners = new Set<() => void>();
  private readonly exited: Promise<number | null>;

  private constructor(
    private readonly child: ChildProcessByStdio<Writable, Readable, null>,
    private readonly firstLine: FirstLine,
    lines: AsyncIterable<string>,
  ) {
    this.exited = once(child, 'exit').then(([code]) => code as number | null);
    void this.follow(lines);
  }

  /** Starts the program; it ends when the scope closes. */
  static async start<P extends keyof StandinOptions>(
    scope: CleanupScope,
    program: P,
    options: StandinOptions[P],
  ): Promise<StandinProcess> {
    const path = fileURLToPath(
      new URL(PROGRAM_FILES[program], import.meta.url),
    );
    // The stand-in ends with its input, also if this process is killed.
    const text = JSON.stringify({...options, endWithInput: true});
    const child = spawn(process.execPath, [path, text], {
      stdio: ['pipe', 'pipe', 'inherit'],
    });
    const lines = createInterface({input: child.stdout})[
      Symbol.asyncIterator
    ]();
    const first = await lines.next();
    if (first.done) throw new Error(`the stand-in ${program} did not start`);
    const firstLine = firstLineSchema.parse(JSON.parse(first.value));
    const rest = {[Symbol.asyncIterator]: () => lines};
    const standin = new StandinProcess(child, firstLine, rest);
    scope.add(async () => {
      await standin.stop();
    });
    return standin;
  }

  get address(): string {
    return this.firstLine.listening;
  }

  get adminAddress(): string {
    return this.firstLine.admin;
  }

  /** Address of a fault proxy's link. */
  link(name: string): string {
    const address = this.firstLine.links?.[name];
    if (address === undefined) throw new Error(`no link is named ${name}`);
    return address;
  }

  /** Returns the first event that matches, waiting for it if necessary. */
  async waitForEvent(
    matches: (event: RunEvent) => boolean,
    timeoutMs = EVENT_TIMEOUT_MS,
  ): Promise<RunEvent> {
    return new Promise((resolve, reject) => {
      const end = () => {
        clearTimeout(timer);
        this.listeners.delete(look);
      };
      const look = () => {
        const event = this.events.find(matches);
        if (event === undefined) return;
        end();
        resolve(event);
      };
      const timer = setTimeout(() => {
        end();
        reject(new Error(`no such event within ${timeoutMs} ms`));
      }, timeoutMs);
      this.listeners.add(look);
      look();
    });
  }

  /** Ends the process with SIGTERM and returns its exit code. */
  stop(): Promise<number | null> {
    this.child.kill('SIGTERM');
    // A paused process takes the signal only when it runs again.
    this.child.kill('SIGCONT');
    return this.exited;
  }

  /** Kills the process without notice. */
  async kill(): Promise<void> {
    this.child.kill('SIGKILL');
    await this.exited;
  }

  /** Stops the process from running, as a frozen VM does. */
  pause(): void {
    this.child.kill('SIGSTOP');
  }

  resume(): void {
    this.child.kill('SIGCONT');
  }

  private async follow(lines: AsyncIterable<string>): Promise<void> {
    for await (const line of lines) {
      this.events.push(runEventSchema.parse(JSON.parse(line)));
      for (const look of [...this.listeners]) look();
    }
  }
}
