/**
 * One real entry daemon in its own process. Fault links in front of the daemon
 * and between the daemon and its store delay, reset, freeze or cut connections.
 */

import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import type {HttpPlatform, StoreListener} from '../emulator/http_platform.js';
import type {EntrySettingsFile} from '../src/entry/settings.js';
import type {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import {FaultLink} from '../src/standins/fault_link.js';
import {ManagedProcess} from '../src/standins/managed_process.js';

const HOST = '127.0.0.1';
const PROGRAM = fileURLToPath(new URL('../platform/main.js', import.meta.url));

/**
 * Linux assigns ports from 32,768 upwards to outgoing connections. Each test
 * process cycles through its own range below that: enough for 20 daemons with
 * three ports each. The factor keeps the ranges of processes with adjacent ids
 * far apart.
 */
const FIRST_PORT = 15_000;
const PORTS_PER_PROCESS = 60;
const PORT_RANGES = 290;
const PORT_RANGE_FACTOR = 7_919;

const firstPortOfProcess =
  FIRST_PORT +
  ((process.pid * PORT_RANGE_FACTOR) % PORT_RANGES) * PORTS_PER_PROCESS;
let portsTried = 0;

/** Number of log lines per daemon that the report of a failed seed keeps. */
const MAXIMUM_LOG_LINES = 20_000;

export interface DaemonTimings {
  readonly workerLeaseMs: number;
  readonly stopGraceS: number;
  readonly evacuationBoundMs?: number;
  readonly clientLimits?: EntrySettingsFile['clientLimits'];
}

export class DaemonProcess {
  readonly logLines: string[] = [];
  /** Codes or signals of exits that nobody asked for. */
  readonly unexpectedExits: string[] = [];
  private process: ManagedProcess | undefined;
  private environment: Record<string, string> = {};
  private isRestarting = false;
  private isStopping = false;

  private constructor(
    readonly name: string,
    /** Address for callers, behind the caller link. */
    readonly address: string,
    /** Address for other daemons and operators. */
    readonly peerAddress: string,
    readonly callerLink: FaultLink,
    readonly storeLink: FaultLink,
    readonly store: StoreListener,
    readonly settings: EntrySettingsFile,
    private readonly settingsPath: string,
    private readonly scope: CleanupScope,
  ) {}

  static async create(
    name: string,
    platform: HttpPlatform,
    vmServiceAddress: string,
    times: DaemonTimings,
    scope: CleanupScope,
  ): Promise<DaemonProcess> {
    const store = await platform.openStore();
    const storeLink = new FaultLink(store.address);
    const callerAddress = `${HOST}:${await findFreePort()}`;
    const callerLink = new FaultLink(callerAddress);
    const settings: EntrySettingsFile = {
      vmId: name,
      availabilityZone: 'zone-1',
      callerAddress,
      readinessAddress: `${HOST}:${await findFreePort()}`,
      peerHost: HOST,
      peerPort: await findFreePort(),
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
      speedPlacement: 'on',
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
      settings,
      settingsPath,
      scope,
    );
  }

  get isRunning(): boolean {
    return this.process?.isRunning === true;
  }

  get pid(): number | undefined {
    return this.process?.pid;
  }

  /** `environment` is added to the variables, also when it restarts. */
  async start(environment = this.environment): Promise<void> {
    this.environment = environment;
    const {process} = await ManagedProcess.start(
      this.scope,
      this.name,
      PROGRAM,
      [],
      (line) => this.keepLogLine(line),
      {...environment, BRAMLEYSTEP_SETTINGS: this.settingsPath},
    );
    this.process = process;
    void process.exited.then(({code, signal}) => {
      if (this.isRestarting || this.isStopping || this.scope.closed) return;
      this.unexpectedExits.push(String(code ?? signal));
      this.keepLogLine(process.recentErrorOutput);
    });
  }

  /** Ends the process with a signal and starts it again after `downMs`. */
  async restart(signal: 'SIGKILL' | 'SIGTERM', downMs: number): Promise<void> {
    if (this.isRestarting || this.process === undefined) return;
    this.isRestarting = true;
    // A paused process handles SIGTERM only after it resumes.
    this.process.resume();
    this.process.signal(signal);
    await this.process.exited;
    await this.scope.sleep(downMs);
    if (!this.scope.closed) await this.start();
    this.isRestarting = false;
  }

  /** Stops the process and waits until it has exited. */
  async stop(): Promise<void> {
    this.isStopping = true;
    await this.process?.stop();
  }

  /** Suspends the process for a time. */
  async pause(pauseMs: number): Promise<void> {
    const {process} = this;
    process?.pause();
    await this.scope.sleep(pauseMs);
    process?.resume();
  }

  reload(): void {
    this.process?.signal('SIGHUP');
  }

  private keepLogLine(line: string): void {
    this.logLines.push(line);
    if (this.logLines.length > MAXIMUM_LOG_LINES) this.logLines.shift();
  }
}

/**
 * Returns a free port that neither an outgoing connection nor another test
 * process will take, because a daemon binds it again after each restart.
 */
async function findFreePort(): Promise<number> {
  for (;;) {
    const port = firstPortOfProcess + (portsTried % PORTS_PER_PROCESS);
    portsTried += 1;
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
