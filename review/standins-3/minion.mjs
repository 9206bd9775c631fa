/**
 * Stand-in of a minion, as PROTOCOL.md says ("Running tasks", "Service
 * discovery"). It runs in the process of the test; a crash closes its listener
 * and connections and forgets everything, and a restart is a new life.
 *
 * The `spec` of a task says what it does: `{"ms": N}` works for N milliseconds;
 * `{"lasting": true}` is at work 300 ms after its start and never ends, but
 * with `failsAfterMs` it fails that long after each start.
 */

import {createServer} from 'node:http';
import {readBody, reply, sleep} from './http.mjs';

const HEARTBEAT_MS = 1_500;
const STOP_MS = 100;
const TICK_MS = 10;
const STARTUP_MS = 300;
const ENDS_PER_ANSWER = 500;

/** How long connections of a former life stay silent after a cut. */
const SILENT_MS = 5_000;

const NO_RESPONSE = {writeHead() {}, end() {}};

export class Minion {
  constructor({port, ...given}) {
    Object.assign(this, given);
    this.port = port;
    this.capacity = {cpu: 32_000, memMb: 65_536, gpu: 8};
    this.address = `127.0.0.1:${port}`;
    this.isUp = false;
    this.isCut = false;
    /** Called with each start, after it was carried out. */
    this.onStart = () => {};
    /** How late a start is carried out, without an answer; usually unset. */
    this.lateMs = () => undefined;
    this.state = 'ready';
  }

  async start() {
    this.born = Date.now();
    this.startedAt = performance.now();
    this.runs = new Map();
    this.ended = [];
    this.nextEnd = 0;
    this.highestEnded = new Map();
    this.fence = 0;
    this.leaseUntil = 0;
    this.waiters = new Set();
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
    await new Promise((done) =>
      this.server.listen(this.port, '127.0.0.1', done),
    );
    this.isUp = true;
    this.sequence = 0;
    this.beat();
    this.beatTimer = setInterval(() => this.beat(), HEARTBEAT_MS);
    this.tickTimer = setInterval(() => this.tick(), TICK_MS);
    this.log('up', {born: this.born, labels: this.labels});
  }

  /**
   * Ends this life without a word; its entry expires by itself. Behind a cut
   * its connections stay silent.
   */
  crash() {
    if (!this.isUp) return;
    this.isUp = false;
    clearInterval(this.beatTimer);
    clearInterval(this.tickTimer);
    const {server} = this;
    const closeConnections = () => server.closeAllConnections();
    if (this.isCut) setTimeout(closeConnections, SILENT_MS);
    else closeConnections();
    server.close();
    const lost = [...this.runs.values()].map(({task, run}) => [task, run]);
    this.runs.clear();
    this.log('down', {lost});
    this.expiry = setTimeout(
      () => this.store.remove(`servers/${this.id}`),
      3 * HEARTBEAT_MS,
    );
  }

  /** Announces its end, works on for a while and leaves. */
  async leave(remainingMs) {
    this.state = 'draining';
    this.remainingMs = remainingMs;
    this.log('draining', {remainingMs});
    this.beat();
    await sleep(remainingMs);
    this.crash();
    clearTimeout(this.expiry);
    this.store.remove(`servers/${this.id}`);
    this.log('has left, and its entry is removed');
  }

  async restart(changes = {}) {
    clearTimeout(this.expiry);
    Object.assign(this, changes);
    await this.start();
  }

  /**
   * Cuts the minion off for a time, silently. Behind the cut it crashes and
   * starts again, as a new life under the id that it had.
   */
  async cutAndReborn(milliseconds, changes = {}) {
    this.isCut = true;
    clearInterval(this.beatTimer);
    this.log('cut off, silently');
    await sleep(milliseconds);
    this.crash();
    this.isCut = false;
    await this.restart(changes);
  }

  close() {
    if (this.isUp) this.crash();
    clearTimeout(this.expiry);
  }

  get clockMs() {
    return Math.floor(performance.now() - this.startedAt);
  }

  beat() {
    this.sequence += 1;
    this.store.put(`servers/${this.id}`, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: 8,
      state: this.state,
      remainingMs: this.remainingMs,
      coldRemainingMs: 0,
      capacity: this.capacity,
      labels: this.labels,
      machine: this.machine,
      born: this.born,
      clockMs: this.clockMs,
      seq: this.sequence,
    });
  }

  log(what, details) {
    this.record(`minion ${this.id} (${this.machine})`, what, details);
  }

  // Runs.

  tick() {
    const now = this.clockMs;
    for (const run of [...this.runs.values()]) {
      if (now >= this.leaseUntil) this.end(run, 'lapsed');
      else if (run.stopsAt !== undefined && now >= run.stopsAt) {
        this.end(run, 'stopped');
      } else if (run.work.ms !== undefined && this.percent(run) >= 100) {
        this.end(run, 'done');
      } else if (now - run.startedAt >= run.work.failsAfterMs) {
        this.end(run, 'failed');
      }
    }
    if (this.isCut) return;
    for (const waiter of [...this.waiters]) {
      if (this.ended.length > 0 || now >= waiter.until) {
        this.waiters.delete(waiter);
        this.answerHold(waiter.response);
      }
    }
  }

  percent({work, startedAt}) {
    const ranMs = this.clockMs - startedAt;
    if (work.lasting === true) return ranMs >= STARTUP_MS ? 100 : 0;
    return Math.min(100, Math.floor((100 * ranMs) / work.ms));
  }

  end(run, how) {
    this.runs.delete(run.task);
    this.noteEnded(run.task, run.run);
    this.nextEnd += 1;
    this.ended.push([this.nextEnd, run.task, run.run, how, '']);
    this.log('ended', {task: run.task, run: run.run, how});
  }

  noteEnded(task, run) {
    const highest = Math.max(run, this.highestEnded.get(task) ?? 0);
    this.highestEnded.set(task, highest);
  }

  // Calls.

  async handle(request, response) {
    const body = await readBody(request);
    if (this.isCut) return;
    const expected = request.headers['bramleystep-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      reply(response, 421, {clockMs: this.clockMs});
      return;
    }
    const path = request.url.split('?')[0];
    const lateMs = path === '/v1/run-start' ? this.lateMs(body) : undefined;
    if (lateMs !== undefined) {
      setTimeout(() => this.carryOutLate(body, this.born), lateMs);
      return;
    }
    if (this.isOutdated(body, response)) return;
    if (path === '/v1/run-start') this.runStart(body, response);
    else if (path === '/v1/run-stop') this.runStop(body, response);
    else if (path === '/v1/hold') this.hold(body, response);
    else if (path === '/v1/pace') reply(response, 200, this.clock());
    else reply(response, 404, {});
  }

  clock() {
    return {clockMs: this.clockMs};
  }

  isOutdated({fence = 0}, response) {
    if (fence < this.fence) {
      reply(response, 409, {...this.clock(), reason: 'fence'});
      return true;
    }
    this.fence = fence;
    return false;
  }

  extendLease(deadlineMs) {
    if (deadlineMs === undefined) return;
    const granted = Math.min(deadlineMs, this.clockMs + this.holdMaxMs);
    this.leaseUntil = Math.max(this.leaseUntil, granted);
  }

  runStart({task, runId, spec, deadlineMs}, response) {
    const present = this.runs.get(task);
    if (present?.run === runId) {
      reply(response, 200, this.clock());
      return;
    }
    this.extendLease(deadlineMs);
    const highest = this.highestEnded.get(task) ?? 0;
    if (runId <= highest || (present !== undefined && runId < present.run)) {
      reply(response, 409, {...this.clock(), reason: 'old'});
      return;
    }
    if (deadlineMs <= this.clockMs) {
      reply(response, 409, {...this.clock(), reason: 'late'});
      return;
    }
    const run = {task, run: runId, startedAt: this.clockMs};
    run.work = JSON.parse(spec);
    this.runs.set(task, run);
    this.log('started', {task, run: runId, labels: this.labels});
    reply(response, 200, this.clock());
    this.onStart(run);
  }

  /** A life that has ended carries out nothing. */
  carryOutLate(body, born) {
    if (!this.isUp || this.born !== born) return;
    this.log('carries out a late start', {task: body.task, run: body.runId});
    if (this.isOutdated(body, NO_RESPONSE)) return;
    this.isLate = true;
    this.runStart(body, NO_RESPONSE);
    this.isLate = false;
  }

  runStop({task, runId}, response) {
    const present = this.runs.get(task);
    if (present !== undefined && present.run <= runId) {
      present.stopsAt ??= this.clockMs + STOP_MS;
    } else {
      this.noteEnded(task, runId);
    }
    this.log('told to stop', {task, run: runId});
    reply(response, 200, this.clock());
  }

  hold({deadlineMs, observed = 0, waitMs = 0}, response) {
    this.extendLease(deadlineMs);
    this.ended = this.ended.filter(([number]) => number > observed);
    if (this.ended.length > 0 || waitMs === 0) this.answerHold(response);
    else this.waiters.add({response, until: this.clockMs + waitMs});
  }

  answerHold(response) {
    if (response.destroyed) return;
    reply(response, 200, {
      ...this.clock(),
      born: this.born,
      running: [...this.runs.values()].map((run) => [
        run.task,
        run.run,
        '',
        this.percent(run),
        0,
      ]),
      finished: this.ended.slice(0, ENDS_PER_ANSWER),
    });
  }
}

/** Waits until the condition holds; returns false after the limit. */
export async function until(condition, limitMs) {
  const endsAt = performance.now() + limitMs;
  while (performance.now() < endsAt) {
    if (await condition()) return true;
    await sleep(20);
  }
  return false;
}
