/**
 * Stand-in of a minion on one machine: runs under a lease on its own clock,
 * fences, run numbers that a stop voids, ends that are listed until observed,
 * and a heartbeat in the store. A task's `spec` says how it behaves:
 * `{"workMs":N}`, `{"stepWorkMs":[N,M]}` by step, or `{"lasts":true}`.
 */

import {listen, sleep} from './store.mjs';

const HEARTBEAT_MS = 1_500;
const STOP_MS = 100;
const STARTUP_MS = 200;
const HOLD_MAX_MS = 6_000;
const ENDS_PER_ANSWER = 500;

let lives = 0;

export class Minion {
  isUp = false;
  state = 'ready';
  /** Set to leave calls without an answer: `(path, body) => boolean`. */
  leavesUnanswered = () => false;
  /** Set to make tasks fail at their start. */
  failsAll = false;
  constructor(site, options) {
    this.site = site;
    Object.assign(this, options);
  }

  async start(id = `i-${(++lives).toString(16).padStart(10, '0')}`) {
    this.id = id;
    this.born = Date.now();
    this.clockStart = performance.now() - (this.clockBaseMs ?? 0);
    this.runs = new Map();
    this.voided = new Map();
    this.ends = [];
    this.nextEnd = 1;
    this.fence = 0;
    this.leaseUntil = 0;
    this.seq = 0;
    this.holders = new Set();
    this.isUp = true;
    this.state = 'ready';
    const life = this.born;
    this.life = life;
    this.server = await listen(
      (request, body) => this.answer(request, body),
      this.port ?? 0,
    );
    this.port = this.server.port;
    this.beat();
    this.timers = [
      setInterval(() => this.beat(), HEARTBEAT_MS),
      setInterval(() => this.advance(), 10),
    ];
    this.site.log(`minion ${this.id} on ${this.machine} is up, born ${life}`);
  }

  /** Crashes: what it ran and knew is gone, and its connections are reset. */
  crash() {
    if (!this.isUp) return;
    this.stopServing();
    this.site.log(`minion ${this.id} on ${this.machine} crashes`);
    this.endAllSilently('crash');
    // Its entry goes after three heartbeats of silence.
    const {id, life} = this;
    setTimeout(() => {
      if (this.isUp && this.id === id) return;
      if (this.life === life) this.site.store.delete(`servers/${id}`);
    }, 3 * HEARTBEAT_MS).unref();
  }

  /** Ends by an order of the platform or for good. */
  leave() {
    if (!this.isUp) return;
    this.stopServing();
    this.endAllSilently('leave');
    this.site.store.delete(`servers/${this.id}`);
    this.site.log(`minion ${this.id} on ${this.machine} is gone`);
  }

  stopServing() {
    this.isUp = false;
    for (const timer of this.timers) clearInterval(timer);
    this.server.close();
  }

  endAllSilently(how) {
    for (const run of this.runs.values()) this.site.ended(this, run, how);
    this.runs.clear();
    for (const holder of this.holders) holder();
  }

  drain(remainingMs) {
    this.state = 'draining';
    this.remainingMs = remainingMs;
    this.beat();
    this.site.log(`minion ${this.id} is draining`);
  }

  beat() {
    this.seq += 1;
    this.site.store.put(`servers/${this.id}`, {
      service: this.service,
      address: `127.0.0.1:${this.port}`,
      zone: this.zone,
      version: 'v1',
      slots: 8,
      state: this.state,
      coldRemainingMs: 0,
      capacity: this.capacity,
      labels: this.labels,
      machine: this.machine,
      clockMs: this.clockMs,
      seq: this.seq,
      born: this.born,
      ...(this.state === 'draining' ? {remainingMs: this.remainingMs} : {}),
    });
  }

  get clockMs() {
    return Math.floor(performance.now() - this.clockStart) + 1;
  }

  async answer(request, body) {
    const path = request.url;
    if (this.site.traces)
      this.site.log(`call ${this.id} ${path} ${JSON.stringify(body)}`);
    if (this.leavesUnanswered(path, body, request)) return undefined;
    return this.perform(
      path,
      body,
      request.headers['bramleystep-expect-instance'],
    );
  }

  async perform(path, body, expected) {
    const {life} = this;
    await sleep(1);
    if (!this.isUp || this.life !== life) return undefined;
    if (expected !== undefined && expected !== this.id) return [421, {}];
    switch (path) {
      case '/v1/run-start':
        return this.runStart(body);
      case '/v1/run-stop':
        return this.runStop(body);
      case '/v1/hold':
        return this.hold(body);
      case '/v1/pace':
        return this.pace(body);
      default:
        return [404, {}];
    }
  }

  refusal(reason) {
    return [409, {clockMs: this.clockMs, reason}];
  }

  extend(deadlineMs) {
    if (deadlineMs === undefined) return;
    const until = Math.min(deadlineMs, this.clockMs + HOLD_MAX_MS);
    this.leaseUntil = Math.max(this.leaseUntil, until);
  }

  runStart(body) {
    this.advance();
    const {task, runId, spec, deadlineMs, fence = 0} = body;
    if (fence < this.fence) return this.refusal('fence');
    this.fence = fence;
    this.extend(deadlineMs);
    const current = this.runs.get(task);
    if (current?.runId === runId) return [200, {clockMs: this.clockMs}];
    const highest = Math.max(current?.runId ?? 0, this.voided.get(task) ?? 0);
    if (runId <= highest) return this.refusal('old');
    if (deadlineMs <= this.clockMs) return this.refusal('late');
    const behaviour = JSON.parse(spec);
    const step = Number(task.split('.')[2]);
    const run = {
      task,
      runId,
      behaviour,
      workMs: behaviour.stepWorkMs?.[step] ?? behaviour.workMs,
      startedAt: performance.now(),
      checkpoint: body.checkpoint ?? '',
    };
    this.runs.set(task, run);
    this.site.started(this, run, body);
    if (this.failsAll) this.end(run, 'failed');
    return [200, {clockMs: this.clockMs}];
  }

  runStop({task, runId, fence = 0}) {
    this.advance();
    if (fence < this.fence) return this.refusal('fence');
    this.fence = fence;
    this.voided.set(task, Math.max(runId, this.voided.get(task) ?? 0));
    const current = this.runs.get(task);
    if (current !== undefined && current.runId <= runId && !current.stopping) {
      current.stopping = true;
      this.site.stopOrdered(this, current);
      setTimeout(() => {
        if (this.runs.get(task) === current) this.end(current, 'stopped');
      }, STOP_MS);
    }
    return [200, {clockMs: this.clockMs}];
  }

  pace({task, runId, fence = 0}) {
    if (fence < this.fence) return this.refusal('fence');
    this.fence = fence;
    return this.runs.get(task)?.runId === runId
      ? [200, {clockMs: this.clockMs}]
      : this.refusal('old');
  }

  async hold({fence = 0, observed = 0, deadlineMs, waitMs = 0}) {
    this.advance();
    if (fence < this.fence) return this.refusal('fence');
    this.fence = fence;
    this.extend(deadlineMs);
    this.observe(observed);
    if (waitMs > 0 && this.ends.length === 0) {
      const {life} = this;
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.holders.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, Math.min(waitMs, 2_000));
        this.holders.add(wake);
      });
      if (!this.isUp || this.life !== life) return undefined;
    }
    return [
      200,
      {
        clockMs: this.clockMs,
        born: this.born,
        running: [...this.runs.values()].map((run) => [
          run.task,
          run.runId,
          run.checkpoint,
          this.percentOf(run),
          0,
        ]),
        finished: this.ends
          .slice(0, ENDS_PER_ANSWER)
          .map(({n, task, runId, how}) => [n, task, runId, how, '']),
      },
    ];
  }

  observe(observed) {
    for (const end of this.ends) {
      if (end.n <= observed) this.site.observed(this, end);
    }
    this.ends = this.ends.filter(({n}) => n > observed);
  }

  percentOf({behaviour, workMs, startedAt}) {
    const ranMs = performance.now() - startedAt;
    if (behaviour.lasts === true) return ranMs >= STARTUP_MS ? 100 : 0;
    return Math.min(100, Math.floor((ranMs / workMs) * 100));
  }

  advance() {
    if (!this.isUp) return;
    const now = performance.now();
    if (this.clockMs > this.leaseUntil) {
      for (const run of [...this.runs.values()]) this.end(run, 'lapsed');
    }
    for (const run of [...this.runs.values()]) {
      const ranMs = now - run.startedAt;
      if (run.behaviour.lasts !== true && ranMs >= run.workMs) {
        this.end(run, 'done');
      }
    }
  }

  end(run, how) {
    if (this.runs.get(run.task) !== run) return;
    this.runs.delete(run.task);
    this.voided.set(
      run.task,
      Math.max(run.runId, this.voided.get(run.task) ?? 0),
    );
    const {task, runId} = run;
    this.ends.push({n: this.nextEnd, task, runId, how});
    this.nextEnd += 1;
    this.site.ended(this, run, how);
    for (const holder of [...this.holders]) holder();
  }
}
