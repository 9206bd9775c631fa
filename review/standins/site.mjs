/**
 * A small deployment for the scripted cases: the stand-ins of the platform, the
 * project's daemons as separate processes with the command of the deploy file,
 * and clients. All addresses are loopback addresses; ports are free ones.
 */

import {spawn} from 'node:child_process';
import {appendFileSync, mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {writeFileSync} from 'node:fs';
import {Agent, createServer, request as httpRequest} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {Minion} from './minion.mjs';
import {Store, pause, send} from './store.mjs';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
const HOST = '127.0.0.1';

const RESTART_DELAY_MS = 500;

/** Lines of a daemon that are left out of the record. */
const UNRECORDED_LOGS =
  /configuration\]|was paused|started in zone|\[jobs\] placed|run \d+ (confirmed|ended|dropped)|dropped \d+ lines/;

/** The bounds of the users' small sites, SYSTEM.md. */
const BOUNDS = {
  graceS: 6,
  holdMaxMs: 6_000,
  status_s: 120,
  noticeMs: 4_500,
  maintenanceS: 2,
  leaseMs: 3_000,
};

/** `frontends`: number of daemons. `minions`: one entry for each. */
export class Site {
  store = new Store();
  minions = [];
  daemons = [];
  agent = new Agent({keepAlive: true, maxSockets: 64});
  startedAt = performance.now();

  constructor(folder, options) {
    this.recordPath = join(folder, 'record.txt');
    this.options = {frontends: 7, behave: () => ({workMs: 500}), ...options};
    writeFileSync(this.recordPath, '');
    this.temporary = mkdtempSync(join(tmpdir(), 'bramleystep-review-'));
  }

  record(text) {
    const seconds = (performance.now() - this.startedAt) / 1_000;
    appendFileSync(
      this.recordPath,
      `${seconds.toFixed(3).padStart(8)} ${text}\n`,
    );
  }

  async start(configuration) {
    this.storeAddress = await this.store.listen();
    this.cloudAddress = await this.listenCloud();
    this.store.put('op/config', configuration);
    for (const place of this.options.minions) {
      const minion = new Minion(place, this.store, {
        holdMaxMs: BOUNDS.holdMaxMs,
        behave: this.options.behave,
        started: this.options.started,
        ended: this.options.ended,
        record: (text) => this.record(text),
      });
      await minion.listen();
      this.minions.push(minion);
    }
    for (let index = 0; index < this.options.frontends; index += 1) {
      const daemon = await this.createDaemon(`frontend-${index + 1}`);
      this.daemons.push(daemon);
      this.startDaemon(daemon);
    }
    await this.untilReady();
  }

  /** Machines are listed and never ordered about. */
  async listenCloud() {
    this.cloud = createServer((_request, response) => {
      const machines = this.minions.map(({place}) => ({
        machine: place.machine,
        pool: place.service,
        state: 'up',
        zone: place.zone,
        labels: place.labels,
        capacity: place.capacity,
        id: place.id,
      }));
      send(response, 200, {machines, nextToken: null});
    });
    await new Promise((resolve) => this.cloud.listen(0, HOST, resolve));
    return `${HOST}:${this.cloud.address().port}`;
  }

  async createDaemon(name) {
    const ports = await freePorts(3);
    const fields = {
      nodeName: name,
      zone: 'zone-1',
      ip: HOST,
      portRange: [ports[0], ports[0]],
      listen: {
        frontend: `${HOST}:${ports[1]}`,
        readiness: `${HOST}:${ports[2]}`,
      },
      limits: {cpuShare: 0.675, linkMbps: 1_000},
      bounds: BOUNDS,
      platform: {address: this.storeAddress},
      cloudApi: {address: this.cloudAddress},
    };
    const template = readFileSync(join(ROOT, 'deploy/settings.json'), 'utf8');
    const path = join(this.temporary, `${name}.json`);
    writeFileSync(path, render(template, fields));
    return {name, path, fields, address: fields.listen.frontend};
  }

  startDaemon(daemon) {
    const [command, ...words] = deployCommand();
    daemon.process = spawn(command, words, {
      cwd: ROOT,
      env: {PATH: process.env.PATH, BRAMLEYSTEP_SETTINGS: daemon.path},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.record(`${daemon.name} is started`);
    const {process: child} = daemon;
    daemon.exited = new Promise((resolve) => {
      child.on('exit', (code, signal) => {
        this.record(`${daemon.name} has ended: ${code ?? signal}`);
        resolve();
        this.restart(daemon);
      });
    });
    let rest = '';
    const keep = (chunk) => {
      const lines = `${rest}${chunk}`.split('\n');
      rest = lines.pop() ?? '';
      for (const line of lines) this.log(daemon, line);
    };
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
  }

  /** A process that ends is started again after a short delay. */
  restart(daemon) {
    if (this.isStopping) return;
    daemon.ends = (daemon.ends ?? 0) + 1;
    setTimeout(() => {
      if (!this.isStopping) this.startDaemon(daemon);
    }, RESTART_DELAY_MS);
  }

  log({name}, line) {
    const text = /"msg":"((?:[^"\\]|\\.)*)"/.exec(line)?.[1] ?? line;
    if (text.trim() === '' || UNRECORDED_LOGS.test(text)) return;
    this.record(`  ${name} logs: ${text.slice(0, 300)}`);
  }

  async untilReady() {
    const limit = performance.now() + 15_000;
    for (const {name, fields} of this.daemons) {
      for (;;) {
        const answer = await this.call({
          address: fields.listen.readiness,
          method: 'GET',
          path: '/v1/readyz',
          quiet: true,
        });
        if (answer.status === 200) break;
        if (performance.now() > limit) throw new Error(`${name} is not ready`);
        await pause(50);
      }
    }
    this.record('all daemons are ready');
  }

  /** One call of a client; resolves to `{status, body}`, status 0: no answer. */
  call({address, method, path, host, key, body, timeoutMs = 3_000, quiet}) {
    const [ip, port] = address.split(':');
    const text = body === undefined ? '' : JSON.stringify(body);
    const headers = {
      ...(host === undefined ? {} : {host}),
      ...(key === undefined ? {} : {'bramleystep-credential': key}),
      'bramleystep-deadline-ms': String(timeoutMs),
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    };
    return new Promise((resolve) => {
      const finish = (status, answer) => {
        if (quiet !== true) {
          this.record(
            `client: ${method} ${path} at ${address}: ` +
              `${status === 0 ? 'no answer' : status} ${answer}`,
          );
        }
        resolve({status, body: parse(answer)});
      };
      const request = httpRequest(
        {host: ip, port, method, path, headers, agent: this.agent},
        (response) => {
          const chunks = [];
          response.on('data', (chunk) => chunks.push(chunk));
          response.on('error', () => finish(0, ''));
          response.on('end', () => {
            finish(response.statusCode, Buffer.concat(chunks).toString());
          });
        },
      );
      request.setTimeout(timeoutMs, () => request.destroy());
      request.on('error', () => finish(0, ''));
      request.end(text);
    });
  }

  /** Sends a call up to five times, as clients do, at one daemon each. */
  async callUntilAnswered(call, attempts = 5) {
    let answer = {status: 0};
    for (let attempt = 0; attempt < attempts; attempt += 1) {
      const {address} = this.daemons[attempt % this.daemons.length];
      answer = await this.call({...call, address});
      if (![0, 429, 502, 503, 504].includes(answer.status)) return answer;
      await pause(1_000);
    }
    return answer;
  }

  /** Ends all processes, each by its id. */
  async stop() {
    this.isStopping = true;
    for (const {process: child} of this.daemons) child?.kill('SIGKILL');
    await Promise.all(this.daemons.map(({exited}) => exited));
    for (const minion of this.minions) minion.close();
    this.store.close();
    this.cloud.closeAllConnections();
    this.cloud.close();
    this.agent.destroy();
    rmSync(this.temporary, {recursive: true, force: true});
  }
}

/**
 * The workers of a small site: 33 minions in three zones, 8 a rack, so that
 * each zone has a rack of 8 and one of 3.
 */
export function smallSiteMinions(service) {
  const places = [];
  for (let zone = 1; zone <= 3; zone += 1) {
    for (let index = 0; index < 11; index += 1) {
      const rack = `r${zone}-${index < 8 ? 1 : 2}`;
      places.push({
        id: `i-${zone}0000${index.toString(16)}`,
        machine: `m-${zone}0${index.toString(16)}`,
        zone: `zone-${zone}`,
        service,
        labels: ['a', rack],
        capacity: {cpu: 32_000, memMb: 65_536, gpu: 8},
      });
    }
  }
  return places;
}

/** A configuration with one service, one tenant and the given routes. */
export function configurationOf(version, routes, tenants) {
  return {
    version,
    routes: routes.map((route) => ({
      kind: 'non_idempotent',
      timeoutMs: 3_000,
      targetLatencyMs: 1_000,
      priority: 1,
      service: 'workshop',
      maxAttempts: 4,
      slackFactor: 3,
      ...route,
    })),
    services: [{name: 'workshop', maxConns: 64, protocol: 'h1'}],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 262_144,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants,
  };
}

/** Runs a case: exit status 1 if the rule broke, 0 if it held, 2 otherwise. */
export async function runCase(moduleUrl, options, play) {
  const site = new Site(fileURLToPath(new URL('.', moduleUrl)), options);
  const hasTrouble = process.env.TROUBLE !== '0';
  let status = 2;
  const limit = setTimeout(() => {
    site.record('the time of the case is over');
    void site.stop().then(() => process.exit(2));
  }, 115_000);
  const interrupt = () => void site.stop().then(() => process.exit(2));
  process.on('SIGTERM', interrupt);
  process.on('SIGINT', interrupt);
  try {
    site.record(hasTrouble ? 'with the disruption' : 'without the disruption');
    const problem = await play(site, hasTrouble);
    status = problem === undefined ? 0 : 1;
    site.record(
      problem === undefined ? 'RULE HELD' : `RULE BROKEN: ${problem}`,
    );
    process.stdout.write(`${problem ?? 'the rule held'}\n`);
  } catch (error) {
    site.record(`the case could not run: ${error.stack}`);
    process.stdout.write(`the case could not run: ${error.message}\n`);
  }
  clearTimeout(limit);
  await site.stop();
  process.exit(status);
}

function parse(text) {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** The command of the deploy file, split at spaces. */
function deployCommand() {
  const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "([^"]*)"$/m.exec(deploy)[1].split(' ');
}

/** Fills the settings template: values as JSON, and sections if present. */
function render(template, fields) {
  const valueOf = (name) =>
    name.split('.').reduce((value, part) => value?.[part], fields);
  return template
    .replace(/\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g, (_all, name, inner) =>
      valueOf(name) === undefined ? '' : inner,
    )
    .replace(/\{\{([\w.]+)\|json\}\}/g, (_all, name) =>
      JSON.stringify(valueOf(name)),
    );
}

/** Free ports below the range that Linux gives to outgoing connections. */
async function freePorts(count) {
  const ports = [];
  while (ports.length < count) {
    const port = 12_000 + Math.floor(Math.random() * 18_000);
    const server = createServer();
    const isFree = await new Promise((resolve) => {
      server.once('error', () => resolve(false));
      server.listen(port, HOST, () => resolve(true));
    });
    if (!isFree) continue;
    await new Promise((resolve) => server.close(resolve));
    if (!ports.includes(port)) ports.push(port);
  }
  return ports;
}
