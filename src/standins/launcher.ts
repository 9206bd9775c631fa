/**
 * Starts stand-ins as child processes and reads their run logs, for tests and
 * the demonstration.
 */

import {fileURLToPath} from 'node:url';
import type {z} from 'zod';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {faultProxyOptionsSchema} from './fault_proxy_service.js';
import type {minionOptionsSchema} from './minion_service.js';
import type {platformOptionsSchema} from './platform_service.js';
import type {RunEvent} from './run_log.js';
import {runEventSchema} from './run_log.js';
import {ManagedProcess} from './managed_process.js';
import type {StandinAddresses} from './standin_process.js';
import {standinAddressesSchema} from './standin_process.js';
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
  /** All run log events so far, in order. */
  readonly events: RunEvent[] = [];
  private readonly eventListeners = new Set<() => void>();
  private process: ManagedProcess | undefined;
  private startupAddresses: StandinAddresses | undefined;

  private constructor() {}

  /** Starts the program. It is stopped when the scope closes. */
  static async start<P extends keyof StandinOptions>(
    scope: CleanupScope,
    program: P,
    options: StandinOptions[P],
  ): Promise<StandinProcess> {
    const path = fileURLToPath(
      new URL(PROGRAM_FILES[program], import.meta.url),
    );
    // With `endWithInput`, the stand-in exits even if this process is killed.
    const text = JSON.stringify({...options, endWithInput: true});
    const standin = new StandinProcess();
    const started = await ManagedProcess.start(
      scope,
      program,
      path,
      [text],
      (line) => standin.handleLine(line),
    );
    standin.process = started.process;
    standin.startupAddresses = standinAddressesSchema.parse(started.firstLine);
    return standin;
  }

  get address(): string {
    return this.addresses.listening;
  }

  get adminAddress(): string {
    return this.addresses.admin;
  }

  /** Address of a fault proxy's link or of a worker of a fleet. */
  linkAddress(name: string): string {
    const address = this.addresses.links?.[name];
    if (address === undefined) throw new Error(`no link is named ${name}`);
    return address;
  }

  /**
   * Returns the first event that matches, including past events. Rejects if
   * there is none within `timeoutMs`.
   */
  async waitForEvent(
    matches: (event: RunEvent) => boolean,
    timeoutMs = EVENT_TIMEOUT_MS,
  ): Promise<RunEvent> {
    return new Promise((resolve, reject) => {
      const cleanUp = () => {
        clearTimeout(timer);
        this.eventListeners.delete(checkEvents);
      };
      const checkEvents = () => {
        const event = this.events.find(matches);
        if (event === undefined) return;
        cleanUp();
        resolve(event);
      };
      const timer = setTimeout(() => {
        cleanUp();
        reject(new Error(`no matching run log event within ${timeoutMs} ms`));
      }, timeoutMs);
      this.eventListeners.add(checkEvents);
      checkEvents();
    });
  }

  /** Stops the process with SIGTERM and returns its exit code. */
  async stop(): Promise<number | null> {
    const exit = await this.startedProcess.stop();
    return exit.code;
  }

  /** Kills the process with SIGKILL. */
  kill(): Promise<void> {
    return this.startedProcess.kill();
  }

  /** Suspends the process with SIGSTOP to simulate a frozen VM. */
  pause(): void {
    this.startedProcess.pause();
  }

  resume(): void {
    this.startedProcess.resume();
  }

  private get startedProcess(): ManagedProcess {
    if (!this.process) throw new Error('the stand-in has not started');
    return this.process;
  }

  private get addresses(): StandinAddresses {
    if (!this.startupAddresses) throw new Error('the stand-in has not started');
    return this.startupAddresses;
  }

  private handleLine(line: string): void {
    this.events.push(runEventSchema.parse(JSON.parse(line)));
    for (const listener of [...this.eventListeners]) listener();
  }
}
