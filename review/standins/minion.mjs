/**
 * A small stand-in of one minion that runs single tasks, as the users'
 * PROTOCOL.md has it: leases on its own clock, fencing tokens, run numbers and
 * listed ends. `behave` says for each run how long it works and how it ends:
 * `{workMs, how}`, or `{lasting: true}` for a task that lasts.
 */

import {createServer} from 'node:http';
import {readJson, send} from './store.mjs';

const HEARTBEAT_MS = 1_500;
const TICK_MS = 10;
const STOP_MS = 50;
const ENDS_PER_ANSWER = 500;

export class Minion {
  runs = new Map();
  /** Highest run of each task that was stopped or has ended here. */
  voided = new Map();
  ends = [];
  nextEnd = 1;
  fence = 0;
  leaseUntil = 0;
  seq = 0;
  state = 'ready';

  /**
   * `place`: id, machine, zone, service, labels, capacity. `options`:
   * holdMaxMs, behave(task, run), record(text).
   */
  constructor(place, store, options) {
    this.place = place;
    this.store = store;
    this.options = options;
    this.born = Date.now();
    this.startedAt = performance.now();
  }

  async listen() {
    this.server = createServer((request, response) => {
      void this.serve(request, response);
    });
    this.server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    this.address = `127.0.0.1:${this.server.address().port}`;
    this.beat();
    this.heartbeat = setInterval(() => this.beat(), HEARTBEAT_MS);
    this.timer = setInterval(() => this.advance(), TICK_MS);
  }

  /**
   * The minion is cut off and crashes behind the cut. After `cutMs` it starts
   * again under its id, at its address, and knows nothing of before.
   */
  async crash(cutMs) {
    this.options.record(`${this.place.id} is cut off and crashes`);
    clearInterval(this.heartbeat);
    this.isCut = true;
    for (const run of this.runs.values())
      this.options.ended?.(this, run, 'gone');
    this.runs = new Map();
    this.voided = new Map();
    this.ends = [];
    this.nextEnd = 1;
    this.fence = 0;
    this.leaseUntil = 0;
    this.seq = 0;
    await new Promise((resolve) => setTimeout(resolve, cutMs));
    // Connections of the life before are gone.
    this.server.closeAllConnections();
    this.born = Date.now();
    this.startedAt = performance.now();
    this.isCut = false;
    this.options.record(`${this.place.id} starts again, born ${this.born}`);
    this.beat();
    this.heartbeat = setInterval(() => this.beat(), HEARTBEAT_MS);
  }

  close() {
    clearInterval(this.heartbeat);
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  beat() {
    const {id, machine, zone, service, labels, capacity} = this.place;
    this.seq += 1;
    this.store.put(`servers/${id}`, {
      service,
      address: this.address,
      zone,
      version: 'v1',
      slots: 8,
      state: this.state,
      coldRemainingMs: 0,
      capacity,
      labels,
      machine,
      born: this.born,
      clockMs: this.clock(),
      seq: this.seq,
    });
  }

  clock() {
    return Math.floor(performance.now() - this.startedAt) + 1;
  }

  advance() {
    const now = this.clock();
    for (const run of [...this.runs.values()]) {
      if (now > this.leaseUntil) this.end(run, 'lapsed');
      else if (run.stopAt !== undefined && now >= run.stopAt) {
        this.end(run, 'stopped');
      } else if (run.workMs !== undefined && now - run.at >= run.workMs) {
        this.end(run, run.how);
      }
    }
  }

  end(run, how) {
    this.runs.delete(run.task);
    this.void(run.task, run.runId);
    this.ends.push([this.nextEnd, run.task, run.runId, how, '']);
    this.nextEnd += 1;
    this.options.record(
      `${this.place.id} ends ${run.task} run ${run.runId}: ${how}`,
    );
    this.options.ended?.(this, run, how);
  }

  void(task, runId) {
    this.voided.set(task, Math.max(runId, this.voided.get(task) ?? 0));
  }

  async serve(request, response) {
    if (this.isCut) return;
    const {born} = this;
    const body = await readJson(request);
    if (this.isCut || this.born !== born) return;
    const expected = request.headers['bramleystep-expect-instance'];
    if (expected !== undefined && expected !== this.place.id) {
      send(response, 421, {});
      return;
    }
    const {fence = 0} = body ?? {};
    if (fence < this.fence) {
      this.refuse(response, 'fence');
      return;
    }
    this.fence = fence;
    this.advance();
    switch (`${request.method} ${request.url}`) {
      case 'POST /v1/run-start':
        this.start(body, response);
        return;
      case 'POST /v1/run-stop':
        this.stop(body);
        this.accept(response);
        return;
      case 'POST /v1/pace':
        this.accept(response);
        return;
      case 'POST /v1/hold':
        await this.hold(body, response);
        return;
      default:
        send(response, 404, {});
    }
  }

  extend(deadlineMs) {
    const longest = this.clock() + this.options.holdMaxMs;
    this.leaseUntil = Math.max(this.leaseUntil, Math.min(deadlineMs, longest));
  }

  start({task, runId, spec, deadlineMs}, response) {
    const current = this.runs.get(task);
    if (deadlineMs !== undefined) this.extend(deadlineMs);
    if (current?.runId === runId) {
      this.accept(response);
      return;
    }
    const highest = Math.max(this.voided.get(task) ?? 0, current?.runId ?? 0);
    if (runId <= highest) {
      this.refuse(response, 'old');
      return;
    }
    if ((deadlineMs ?? 0) <= this.clock()) {
      this.refuse(response, 'late');
      return;
    }
    const run = {task, runId, spec, at: this.clock()};
    const {workMs, how = 'done'} = this.options.behave(task, runId, this);
    if (workMs !== undefined) Object.assign(run, {workMs, how});
    this.runs.set(task, run);
    this.options.record(`${this.place.id} starts ${task} run ${runId}`);
    this.options.started?.(this, run);
    this.accept(response);
  }

  stop({task, runId}) {
    this.void(task, runId);
    const run = this.runs.get(task);
    if (run === undefined || run.runId > runId) return;
    run.stopAt ??= this.clock() + STOP_MS;
  }

  async hold({deadlineMs, observed = 0, waitMs = 0}, response) {
    if (deadlineMs !== undefined) this.extend(deadlineMs);
    this.ends = this.ends.filter(([number]) => number > observed);
    const until = performance.now() + Math.min(waitMs, 2_000);
    const {born} = this;
    while (this.ends.length === 0 && performance.now() < until) {
      await new Promise((resolve) => setTimeout(resolve, TICK_MS));
      if (this.isCut || this.born !== born) return;
    }
    const now = this.clock();
    const running = [...this.runs.values()].map((run) => [
      run.task,
      run.runId,
      '',
      percentOf(run, now),
      1_000,
    ]);
    send(response, 200, {
      clockMs: now,
      born: this.born,
      running,
      finished: this.ends.slice(0, ENDS_PER_ANSWER),
    });
  }

  accept(response) {
    send(response, 200, {clockMs: this.clock(), born: this.born});
  }

  refuse(response, reason) {
    send(response, 409, {clockMs: this.clock(), born: this.born, reason});
  }
}

function percentOf(run, now) {
  if (run.workMs === undefined) return now - run.at >= 200 ? 100 : 0;
  return Math.min(100, Math.floor(((now - run.at) / run.workMs) * 100));
}
