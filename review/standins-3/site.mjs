/**
 * A small deployment for the cases of this review: the project's daemons as
 * processes, started with the command of `deploy/system.toml`, beside the
 * stand-ins of store, cloud and minions.
 */

import {spawn} from 'node:child_process';
import {createWriteStream, mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {Cloud} from './cloud.mjs';
import {call, freePorts, sleep} from './http.mjs';
import {Minion, until} from './minion.mjs';
import {Store} from './store.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const COMMAND = /^run = "(.*)"$/m;
const HOST = 'nony24.example';
const KEY = 'd4a3hwrr6x73d3zji9n7';
const SERVICE = 'huvo11a';
const ZONES = ['abbotsford', 'chilliwack', 'mission'];
const PORTS_PER_DAEMON = 3;

export const EXIT = {held: 0, broken: 1, impossible: 2};

/** What the pages of the users set for their two small deployments. */
export const BOUNDS = {
  'kettleby-fraser': {holdMaxMs: 6_000, checkpointS: 1},
  'ilo-brokerage': {holdMaxMs: 10_000, checkpointS: 2},
};

export class Site {
  static async start({directory, daemons, minions, deployment, restartMs}) {
    const site = new Site(directory, BOUNDS[deployment]);
    site.restartMs = restartMs;
    await site.open(daemons, minions);
    return site;
  }

  constructor(directory, bounds) {
    this.bounds = bounds;
    this.startedAt = performance.now();
    this.temporary = mkdtempSync(join(tmpdir(), 'review-3-'));
    this.output = createWriteStream(join(directory, 'record.txt'));
    this.record = (who, what, details = {}) => {
      const seconds = ((performance.now() - this.startedAt) / 1_000).toFixed(3);
      const text = JSON.stringify(details);
      this.output.write(`${seconds} ${who}: ${what} ${text}\n`);
    };
    this.daemons = [];
    this.minions = [];
  }

  async open(daemonCount, minionCount) {
    const ports = await freePorts(
      2 + minionCount + daemonCount * PORTS_PER_DAEMON,
    );
    this.store = new Store();
    await this.store.listen(ports.shift());
    for (let index = 0; index < minionCount; index += 1) {
      this.minions.push(this.createMinion(index, ports.shift()));
    }
    this.cloud = new Cloud(this.minions, this.record);
    await this.cloud.listen(ports.shift());
    this.store.put('op/config', configuration());
    for (const minion of this.minions) await minion.start();
    for (let index = 0; index < daemonCount; index += 1) {
      const daemon = {
        name: `frontend-${ZONES[index % ZONES.length]}-${index + 1}`,
        zone: ZONES[index % ZONES.length],
        ports: ports.splice(0, PORTS_PER_DAEMON),
      };
      this.daemons.push(daemon);
      this.startDaemon(daemon);
    }
  }

  createMinion(index, port) {
    return new Minion({
      id: `i-${(index + 1).toString(16).padStart(8, '0')}`,
      machine: `m-${(index + 1).toString(16).padStart(5, '0')}`,
      port,
      store: this.store,
      service: SERVICE,
      zone: ZONES[index % ZONES.length],
      labels: ['a', 'r1-1'],
      holdMaxMs: this.bounds.holdMaxMs,
      record: this.record,
    });
  }

  startDaemon(daemon) {
    const [frontend, readiness, peer] = daemon.ports;
    daemon.frontend = `127.0.0.1:${frontend}`;
    daemon.readiness = `127.0.0.1:${readiness}`;
    const path = join(this.temporary, `${daemon.name}.json`);
    const settings = this.settings(daemon, peer);
    writeFileSync(path, JSON.stringify(settings, undefined, 2));
    const [program, ...words] = deployedCommand();
    daemon.process = spawn(program, words, {
      cwd: ROOT,
      env: {PATH: process.env.PATH, BRAMLEYSTEP_SETTINGS: path},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    daemon.hasEnded = false;
    daemon.isKilled = false;
    for (const stream of [daemon.process.stdout, daemon.process.stderr]) {
      stream.on('data', (text) => this.recordOutput(daemon, `${text}`));
    }
    daemon.process.on('exit', (code, signal) => {
      daemon.hasEnded = true;
      this.record(daemon.name, 'process ended', {code, signal});
      if (!daemon.isKilled) this.restartEnded(daemon);
    });
    this.record(daemon.name, 'process started', {pid: daemon.process.pid});
  }

  /** The platform starts a process again that has ended by itself. */
  restartEnded(daemon) {
    daemon.ownEnds = (daemon.ownEnds ?? 0) + 1;
    if (this.restartMs === undefined) return;
    setTimeout(() => {
      if (!this.isClosing) this.startDaemon(daemon);
    }, this.restartMs);
  }

  recordOutput(daemon, text) {
    for (const line of text.split('\n')) {
      if (line === '') continue;
      let message = line;
      try {
        const {msg, jobId, workerId} = JSON.parse(line);
        message = [msg, jobId, workerId].filter(Boolean).join(' | ');
      } catch {
        // Other output is recorded as it is.
      }
      this.record(daemon.name, 'log', {message});
    }
  }

  /** `deploy/settings.json` with the figures of a small deployment. */
  settings(daemon, peerPort) {
    return {
      vmId: daemon.name,
      availabilityZone: daemon.zone,
      callerAddress: daemon.frontend,
      readinessAddress: daemon.readiness,
      peerHost: '127.0.0.1',
      peerPort,
      storeAddress: this.store.address,
      storeValueBytes: 1_048_576,
      vmService: {
        address: this.cloud.address,
        maintenanceS: 2,
        noticeMs: 4_500,
        handoverMs: 3_000,
      },
      cores: 0.675,
      linkMbps: 1_000,
      workerLeaseMs: this.bounds.holdMaxMs,
      workerRuns: {
        stopMs: 400,
        restoreMs: 100,
        checkpointIntervalS: this.bounds.checkpointS,
      },
      speedPlacement: 'auto',
      keepApart: false,
      stateRetentionS: 120,
      preemption: {policy: 'auto', reclaimMs: 2_900},
      stopGraceS: 6,
      clientLimits: {memoryMb: 350, maximumDescriptors: 4_100},
    };
  }

  // Clients and operators.

  /** Waits until all daemons are ready and one of them leads. */
  async ready() {
    return until(async () => {
      const answers = await Promise.all(
        this.daemons.map(({readiness}) =>
          call(readiness, 'GET', '/v1/readyz', {timeoutMs: 500}),
        ),
      );
      const leads = this.leader() !== undefined;
      return leads && answers.every(({status}) => status === 200);
    }, 20_000);
  }

  /** The daemon that holds the key of the leader in the store. */
  leader() {
    const held = this.store.read('bramleystep/site/leader');
    return this.daemons.find(({name}) => name === held?.vmId);
  }

  running() {
    return this.daemons.filter(({hasEnded}) => !hasEnded);
  }

  /** Sends the call to a running daemon, and again until one decides it. */
  async client(method, path, body, limitMs = 10_000) {
    const endsAt = performance.now() + limitMs;
    for (let attempt = 0; performance.now() < endsAt; attempt += 1) {
      const daemons = this.running();
      const daemon = daemons[attempt % daemons.length];
      const answer = await call(daemon.frontend, method, path, {
        headers: {host: HOST, 'bramleystep-credential': KEY},
        body,
        timeoutMs: 3_000,
      });
      const {status} = answer;
      const details = {method, path, body, status, answer: answer.body};
      this.record(`client to ${daemon.name}`, 'call', details);
      const isDecided = status > 0 && status !== 429 && status < 500;
      if (isDecided) return answer;
      await sleep(200);
    }
    return {status: 0, body: undefined};
  }

  submit(queue, id, steps, work) {
    const spec = JSON.stringify(work);
    return this.client('POST', `/${queue}/${id}`, {spec, steps});
  }

  async stateOf(queue, id) {
    return this.client('GET', `/${queue}/${id}`);
  }

  /** Runs of the job's tasks on all minions. */
  runsOf(id) {
    return this.minions.flatMap((minion) =>
      [...minion.runs.values()]
        .filter(({task}) => task.startsWith(`${id}.`))
        .map((run) => ({...run, minion})),
    );
  }

  orderWave(wave, machines, cap) {
    this.cloud.waves.set(wave, machines);
    const order = {wave, machines, durationS: 20, cap};
    this.record('operator', `writes op/wave/${wave}`, order);
    this.store.put(`op/wave/${wave}`, order);
  }

  kill(daemon) {
    this.record(daemon.name, 'SIGKILL by the test');
    daemon.isKilled = true;
    daemon.process.kill('SIGKILL');
  }

  async close() {
    this.isClosing = true;
    for (const daemon of this.running()) this.kill(daemon);
    await until(() => this.running().length === 0, 5_000);
    for (const minion of this.minions) minion.close();
    this.cloud.close();
    this.store.close();
    rmSync(this.temporary, {recursive: true, force: true});
    await new Promise((done) => this.output.end(done));
  }
}

function deployedCommand() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  return COMMAND.exec(text)[1].split(' ');
}

function configuration() {
  const route = (name, prefix, priority, more) => ({
    name,
    host: HOST,
    pathPrefix: prefix,
    kind: 'non_idempotent',
    timeoutMs: 3_000,
    targetLatencyMs: 1_000,
    priority,
    service: SERVICE,
    maxAttempts: 3,
    slackFactor: 3,
    public: false,
    ...more,
  });
  return {
    version: 1,
    routes: [
      route('r-batch', '/batch/', 2, {}),
      route('r-urgent', '/urgent/', 0, {slackFactor: 1.5}),
    ],
    services: [{name: SERVICE, healthPath: '/healthz', maxConns: 64}],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 262_144,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [
      {name: 'kaje80', apiKeys: [KEY], priority: 1, guaranteed: {gpu: 8}},
    ],
  };
}

/** Runs the case, and ends what it started whatever happens. */
export async function runCase(directory, options, play) {
  const hasTrouble = process.env.TROUBLE !== '0';
  let exit = EXIT.impossible;
  let site;
  try {
    site = await Site.start({directory, ...options});
    if (await site.ready()) exit = await play(site, hasTrouble);
    else site.record('test', 'the daemons did not become ready');
  } catch (error) {
    site?.record('test', 'failed', {error: String(error?.stack ?? error)});
  } finally {
    site?.record('test', 'exit', {code: exit, hasTrouble});
    await site?.close();
  }
  process.exit(exit);
}
