/**
 * A small deployment for the scripts: the store, minions, the platform's cloud
 * interface, daemons of the deploy file and callers, all on loopback addresses.
 * Writes `record.txt` and keeps the starts and ends of all runs.
 */

import {spawn} from 'node:child_process';
import fs from 'node:fs';
import http from 'node:http';
import os from 'node:os';
import path from 'node:path';
import {Minion} from './minion.mjs';
import {Store, freePorts, listen, sleep} from './store.mjs';

export {sleep};

const ROOT = path.resolve(import.meta.dirname, '..', '..');
const PROGRAM = path.join(ROOT, 'target', 'bramleystep-entry.cjs');
const TEMPLATE = path.join(ROOT, 'deploy', 'settings.json');

const RESTART_MS = 1_000;

/** The command of the deploy file, apart from the program's path. */
const COMMAND = ['--max-old-space-size=160', '--max-semi-space-size=4'];

export const BOUNDS = {
  contactMs: 3_000,
  ackMs: 4_000,
  drainMs: 2_000,
  graceS: 6,
  configApplyMs: 2_000,
  holdMaxMs: 6_000,
  stopMs: 400,
  cancel_ms: 3_000,
  visible_ms: 3_000,
  finish_s: 14,
  status_s: 120,
  checkpointS: 1,
  restoreMs: 100,
  noticeMs: 4_500,
  migrateS: 1.5,
  maintenanceS: 2,
  fencing: true,
  leaseMs: 3_000,
  reclaimMs: 2_900,
};

export class Site {
  minions = [];
  daemons = [];
  /** Every run that a minion has begun. */
  runs = [];
  observedEnds = [];
  machines = new Map();
  /** Set to leave calls to the cloud interface without an answer. */
  cloudFault = () => undefined;
  traces = false;

  constructor(folder) {
    this.startedAt = performance.now();
    this.file = fs.openSync(path.join(folder, 'record.txt'), 'w');
    this.temporary = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
    this.store = new Store();
  }

  get now() {
    return performance.now() - this.startedAt;
  }

  log(line) {
    fs.writeSync(this.file, `${(this.now / 1_000).toFixed(3)} ${line}\n`);
  }

  async open({queues, tenants, minions, services = ['workshop']}) {
    this.queues = queues;
    this.storeServer = await this.store.listen();
    this.cloudServer = await listen((request, body) =>
      this.cloud(request, body),
    );
    this.store.put('op/config', {
      version: 7,
      routes: queues.map((queue) => ({
        host: 'nony24.example',
        kind: 'non_idempotent',
        timeoutMs: 3_000,
        targetLatencyMs: 3_000,
        priority: 1,
        service: 'workshop',
        maxAttempts: 3,
        slackFactor: 3,
        public: false,
        ...queue,
      })),
      services: services.map((name) => ({
        name,
        healthPath: '/healthz',
        maxConns: 64,
        protocol: 'h1',
        tls: false,
        rejectsOverload: false,
        standby: false,
      })),
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 262_144,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 15_000,
      },
      tenants,
    });
    for (const options of minions) {
      const minion = new Minion(this, options);
      this.minions.push(minion);
      this.machines.set(minion.machine, {state: 'up', minion});
      await minion.start();
    }
  }

  // Daemons.

  async startDaemons(count, zones = ['abbotsford', 'chilliwack', 'mission']) {
    for (let index = 0; index < count; index += 1) {
      await this.startDaemon(index, zones[index % zones.length]);
    }
    await this.until(
      async () => (await this.readyCount()) === count,
      10_000,
      'the daemons are not ready',
    );
    await this.until(
      () => this.leader() !== undefined,
      10_000,
      'no daemon leads',
    );
  }

  async startDaemon(index, zone) {
    const [callers, readiness, peers] = await freePorts(3);
    const name = `frontend-${zone}-${index + 1}`;
    const fields = {
      nodeName: name,
      zone,
      ip: '127.0.0.1',
      portRange: [peers, peers],
      listen: {
        frontend: `127.0.0.1:${callers}`,
        readiness: `127.0.0.1:${readiness}`,
      },
      limits: {cpuShare: 0.675, memoryMb: 350, maxFds: 4_100, linkMbps: 1_000},
      bounds: BOUNDS,
      platform: {address: this.storeServer.address},
      cloudApi: {address: this.cloudServer.address},
    };
    const settings = path.join(this.temporary, `${name}.json`);
    const template = fs.readFileSync(TEMPLATE, 'utf8');
    fs.writeFileSync(settings, render(template, fields));
    const daemon = {name, callers, readiness, peers, settings};
    this.daemons.push(daemon);
    this.spawn(daemon);
    return daemon;
  }

  spawn(daemon) {
    const log = fs.openSync(
      path.join(this.temporary, `${daemon.name}.log`),
      'a',
    );
    daemon.process = spawn('node', [...COMMAND, PROGRAM], {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME ?? '',
        BRAMLEYSTEP_SETTINGS: daemon.settings,
      },
      stdio: ['ignore', log, log],
    });
    daemon.isUp = true;
    this.log(`daemon ${daemon.name} starts`);
    daemon.isKilled = false;
    daemon.process.once('exit', (code, signal) => {
      daemon.isUp = false;
      this.log(`daemon ${daemon.name} ends: ${code ?? signal}`);
      if (this.isClosed) return;
      if (!daemon.isKilled) daemon.ownEnds = (daemon.ownEnds ?? 0) + 1;
      // The platform starts a process again after a short delay.
      setTimeout(() => {
        if (!this.isClosed) this.spawn(daemon);
      }, RESTART_MS);
    });
  }

  kill(daemon, signal = 'SIGKILL') {
    daemon.isKilled = true;
    this.log(`daemon ${daemon.name} gets ${signal}`);
    daemon.process.kill(signal);
  }

  /** The daemon that last acquired the leader's key, by its lease. */
  leader() {
    const items = [...this.store.items.values()].filter(({lease}) => lease);
    for (const {value} of items) {
      const text = Buffer.from(value, 'base64').toString();
      const daemon = this.daemons.find(({peers}) =>
        text.includes(`127.0.0.1:${peers}`),
      );
      if (daemon !== undefined) return daemon;
    }
    return undefined;
  }

  async readyCount() {
    const answers = await Promise.all(
      this.daemons.map(({readiness}) =>
        call({port: readiness, path: '/v1/readyz', timeoutMs: 900}),
      ),
    );
    return answers.filter(({status}) => status === 200).length;
  }

  daemonLogs() {
    return this.daemons
      .map(({name}) =>
        fs.readFileSync(path.join(this.temporary, `${name}.log`), 'utf8'),
      )
      .join('');
  }

  // Callers.

  async ask(daemon, method, url, key, body, timeoutMs = 3_000) {
    const answer = await call({
      port: daemon.callers,
      method,
      path: url,
      headers: {
        host: 'nony24.example',
        'bramleystep-credential': key,
        'bramleystep-deadline-ms': '3000',
      },
      body,
      timeoutMs,
    });
    const {status, text} = answer;
    const size = body === undefined ? '' : ` ${JSON.stringify(body).length} B`;
    this.log(
      `caller ${method} ${url}${size} to ${daemon.name}: ${status ?? 'no answer'} ${text ?? ''}`,
    );
    return answer;
  }

  // What the minions saw.

  started(minion, run, {fence, deadlineMs}) {
    Object.assign(run, {
      minion,
      id: minion.id,
      machine: minion.machine,
      life: minion.life,
      at: this.now,
    });
    this.runs.push(run);
    this.log(
      `minion ${minion.id} starts ${run.task} run ${run.runId} ` +
        `fence ${fence} deadline ${deadlineMs} clock ${minion.clockMs}`,
    );
  }

  ended(minion, run, how) {
    run.endedAt = this.now;
    run.how = how;
    this.log(`minion ${minion.id} ends ${run.task} run ${run.runId}: ${how}`);
  }

  stopOrdered(minion, run) {
    run.stoppedAt = this.now;
    this.log(
      `minion ${minion.id} is told to stop ${run.task} run ${run.runId}`,
    );
  }

  observed(minion, end) {
    this.observedEnds.push({...end, id: minion.id, at: this.now});
  }

  runsOf(task) {
    return this.runs.filter((run) => run.task === task);
  }

  running() {
    return this.runs.filter(({endedAt}) => endedAt === undefined);
  }

  // The platform's cloud interface.

  async cloud(request, body) {
    await sleep(4);
    const url = request.url.split('?')[0];
    const machine = this.machines.get(body?.machine);
    const fault = this.cloudFault(url, body, request);
    if (url !== '/v1/machines') {
      const {'bramleystep-duty-holder': holder} = request.headers;
      const {'bramleystep-fencing-token': token} = request.headers;
      this.log(
        `cloud ${url} ${JSON.stringify(body)} by ${holder} token ${token}` +
          (fault === undefined ? '' : `: ${fault}`),
      );
    }
    if (fault === 'silent') return undefined;
    if (typeof fault === 'number') return [fault, {}];
    if (url === '/v1/machines') return [200, this.listMachines()];
    if (machine === undefined) return [400, {}];
    const token = Number(request.headers['bramleystep-fencing-token']);
    if (token < (machine.token ?? 0)) return [409, {reason: 'fence'}];
    machine.token = token;
    if (url === '/v1/machine-upkeep') return this.upkeep(machine, body);
    return [400, {}];
  }

  listMachines() {
    return {
      machines: [...this.machines].map(([machine, {state, minion}]) => ({
        machine,
        pool: minion.service,
        state,
        zone: minion.zone,
        labels: minion.labels,
        capacity: minion.capacity,
        id: minion.isUp ? minion.id : null,
      })),
      nextToken: null,
    };
  }

  upkeep(machine, {wave}) {
    const order = this.store.json(`op/wave/${wave}`);
    if (!order?.machines.includes(machine.minion.machine)) {
      return [409, {reason: 'wave'}];
    }
    if (machine.doneFor === wave) return [200, {}];
    if (machine.state !== 'up') return [409, {reason: 'busy'}];
    machine.state = 'upkeep';
    machine.doneFor = wave;
    this.upkeepBegins?.(machine);
    machine.minion.leave();
    setTimeout(async () => {
      await machine.minion.start();
      machine.state = 'up';
    }, BOUNDS.maintenanceS * 1_000);
    return [200, {}];
  }

  // Time.

  async until(isTrue, timeoutMs, problem) {
    const end = performance.now() + timeoutMs;
    while (!(await isTrue())) {
      if (performance.now() > end) {
        if (problem === undefined) return false;
        throw new Error(problem);
      }
      await sleep(20);
    }
    return true;
  }

  async close() {
    this.isClosed = true;
    for (const minion of this.minions) {
      if (minion.isUp) minion.stopServing();
    }
    for (const daemon of this.daemons) {
      if (daemon.isUp) daemon.process.kill('SIGKILL');
    }
    await this.until(() => this.daemons.every(({isUp}) => !isUp), 3_000);
    this.store.close();
    this.storeServer?.close();
    this.cloudServer?.close();
    if (process.env.KEEP === '1') this.log(`logs in ${this.temporary}`);
    else fs.rmSync(this.temporary, {recursive: true, force: true});
    fs.closeSync(this.file);
  }
}

/** Options of minions like those of the small deployments: 8 GPUs, 8 a rack. */
export function minionOptions(count) {
  const zones = ['abbotsford', 'chilliwack', 'mission'];
  return Array.from({length: count}, (_, index) => ({
    machine: `m-${index.toString(16).padStart(5, '0')}`,
    service: 'workshop',
    zone: zones[index % zones.length],
    labels: ['a', `r1-${Math.floor(index / 8)}`],
    capacity: {cpu: 32_000, memMb: 65_536, gpu: 8},
  }));
}

/** The queue and tenants of a small deployment; tenant N has the key `key-N`. */
export const QUEUES = [{name: 'r-3ajwyy7', pathPrefix: '/lohu930/'}];
export const TENANTS = [0, 1, 2, 3].map((index) => ({
  name: `tenant-${index}`,
  apiKeys: [`key-${index}`],
  priority: 1,
  guaranteed: {gpu: 8},
}));

/** Runs a case and exits with 1 if the rule was broken, 0 if it held. */
export async function runCase(folder, play) {
  const site = new Site(folder);
  const limit = setTimeout(() => finish(2, 'the time is over'), 115_000);
  let isFinished = false;
  async function finish(code, message) {
    if (isFinished) return;
    isFinished = true;
    clearTimeout(limit);
    site.log(`result ${code}: ${message}`);
    process.stdout.write(`${message}\n`);
    await site.close();
    process.exit(code);
  }
  for (const signal of ['SIGTERM', 'SIGINT']) {
    process.on(signal, () => void finish(2, `ended by ${signal}`));
  }
  // An error of a stand-in must not leave daemons behind.
  process.on('uncaughtException', (error) => {
    void finish(2, `could not run: ${error.stack}`);
  });
  try {
    const broken = await play(site);
    await finish(
      broken === undefined ? 0 : 1,
      broken === undefined ? 'the rule held' : `BROKEN ${broken}`,
    );
  } catch (error) {
    await finish(2, `could not run: ${error.stack}`);
  }
}

export function jobId() {
  const bytes = Array.from({length: 8}, () => Math.floor(Math.random() * 256));
  return Buffer.from(bytes).toString('hex');
}

export function call({
  port,
  method = 'GET',
  path: url,
  headers = {},
  body,
  timeoutMs,
}) {
  return new Promise((resolve) => {
    const text = body === undefined ? undefined : JSON.stringify(body);
    const request = http.request(
      {
        host: '127.0.0.1',
        port,
        method,
        path: url,
        headers: {
          ...headers,
          ...(text === undefined
            ? {}
            : {
                'content-type': 'application/json',
                'content-length': Buffer.byteLength(text),
              }),
        },
        agent: false,
      },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('error', () => resolve({}));
        response.on('end', () => {
          clearTimeout(timer);
          const answer = Buffer.concat(chunks).toString();
          resolve({status: response.statusCode, text: answer});
        });
      },
    );
    const timer = setTimeout(() => {
      request.destroy();
      resolve({});
    }, timeoutMs);
    request.on('error', () => {
      clearTimeout(timer);
      resolve({});
    });
    request.end(text);
  });
}

/** Fills in the template of the settings, as the users' pages say. */
function render(template, fields) {
  const valueOf = (name) =>
    name.split('.').reduce((value, part) => value?.[part], fields);
  return template
    .replaceAll(
      /\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g,
      (_all, name, section) => (valueOf(name) === undefined ? '' : section),
    )
    .replaceAll(/\{\{([\w.]+)\|json\}\}/g, (_all, name) =>
      JSON.stringify(valueOf(name)),
    );
}
