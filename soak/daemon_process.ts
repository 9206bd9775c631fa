/**
 * One real entry daemon as a process of its own. Its callers and its store are
 * behind links that delay, reset, silence or cut connections.
 */

import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import type {HttpPlatform, StoreListener} from '../emulator/http_platform.js';
import type {EntrySettings} from '../src/entry/settings.js';
import type {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import {FaultLink} from '../src/standins/fault_link.js';
import {ManagedProcess} from '../src/standins/managed_process.js';

const HOST = '127.0.0.1';
const PROGRAM = fileURLToPath(new URL('../platform/main.js', import.meta.url));

/**
 * Linux takes ports of outgoing connections from 32,768 on. Each process counts
 * round a part of the range below: 20 daemons of three ports each. The factor
 * puts processes that start together into parts that are far apart.
 */
const FIRST_PORT = 15_000;
const PORTS_PER_PROCESS = 60;
const PROCESS_PARTS = 290;
const PART_FACTOR = 7_919;

const firstOwnPort =
  FIRST_PORT +
  ((process.pid * PART_FACTOR) % PROCESS_PARTS) * PORTS_PER_PROCESS;
let portsGiven = 0;

/** Lines of the log that are kept for the report of a failed seed. */
const KEPT_LOG_LINES = 20_000;

export interface DaemonTimes {
  readonly workerLeaseMs: number;
  readonly stopGraceS: number;
}

export class DaemonProcess {
  readonly logLines: string[] = [];
  private process: ManagedProcess | undefined;
  private isRestarting = false;

  private constructor(
    readonly name: string,
    /** Callers connect here. */
    readonly address: string,
    /** Other daemons and operators connect here. */
    readonly peerAddress: string,
    readonly callerLink: FaultLink,
    readonly storeLink: FaultLink,
    readonly store: StoreListener,
    private readonly settingsPath: string,
    private readonly scope: CleanupScope,
  ) {}

  static async create(
    name: string,
    platform: HttpPlatform,
    vmServiceAddress: string,
    times: DaemonTimes,
    scope: CleanupScope,
  ): Promise<DaemonProcess> {
    const store = await platform.openStore();
    const storeLink = new FaultLink(store.address);
    const callerAddress = `${HOST}:${await freePort()}`;
    const callerLink = new FaultLink(callerAddress);
    const settings: EntrySettings = {
      vmId: name,
      availabilityZone: 'zone-1',
      callerAddress,
      readinessAddress: `${HOST}:${await freePort()}`,
      peerHost: HOST,
      peerPort: await freePort(),
      storeAddress: await storeLink.listen(scope, HOST, 0),
      vmService: {
        address: vmServiceAddress,
        maintenanceS: 0.2,
        noticeMs: 500,
        handoverMs: 1_000,
      },
      cores: 1,
      linkMbps: 1_000,
      stateRetentionS: 600,
      ...times,
    };
    const folder = await mkdtemp(join(tmpdir(), 'bramleystep-soak-'));
    scope.add(() => rm(folder, {recursive: true, force: true}));
    const settingsPath = join(folder, 'settings.json');
    await writeFile(settingsPath, JSON.stringify(settings));
    const address = await callerLink.listen(scope, HOST, 0);
    return new DaemonProcess(
      name,
      address,
      `${HOST}:${settings.peerPort}`,
      callerLink,
      storeLink,
      store,
      settingsPath,
      scope,
    );
  }

  get isRunning(): boolean {
    return this.process?.isRunning === true;
  }

  async start(): Promise<void> {
    const {process} = await ManagedProcess.start(
      this.scope,
      this.name,
      PROGRAM,
      [],
      (line) => this.log(line),
      {BRAMLEYSTEP_SETTINGS: this.settingsPath},
    );
    this.process = process;
  }

  /** Ends the process by a signal and starts it again after a pause. */
  async restart(signal: 'SIGKILL' | 'SIGTERM', downMs: number): Promise<void> {
    if (this.isRestarting || this.process === undefined) return;
    this.isRestarting = true;
    // A paused process takes SIGTERM only when it runs again.
    this.process.resume();
    this.process.signal(signal);
    await this.process.exited;
    await this.scope.sleep(downMs);
    if (!this.scope.closed) await this.start();
    this.isRestarting = false;
  }

  /** Asks the process to stop and waits until it has ended. */
  async stop(): Promise<void> {
    await this.process?.stop();
  }

  /** Stops the process from running for a time. */
  async pause(pauseMs: number): Promise<void> {
    const {process} = this;
    process?.pause();
    await this.scope.sleep(pauseMs);
    process?.resume();
  }

  reload(): void {
    this.process?.signal('SIGHUP');
  }

  private log(line: string): void {
    this.logLines.push(line);
    if (this.logLines.length > KEPT_LOG_LINES) this.logLines.shift();
  }
}

/**
 * Returns a port that is free now and that neither an outgoing connection nor
 * another soak will take: a daemon needs it again after each restart.
 */
async function freePort(): Promise<number> {
  for (;;) {
    const port = firstOwnPort + (portsGiven % PORTS_PER_PROCESS);
    portsGiven += 1;
    const server = createServer();
    const isFree = await new Promise<boolean>((resolve) => {
      server.once('error', () => resolve(false));
      server.listen(port, HOST, () => resolve(true));
    });
    if (!isFree) continue;
    await new Promise((resolve) => server.close(resolve));
    return port;
  }
}
