/**
 * A small stand-in of the platform's store: items with revisions, a history,
 * leases on the real clock, conditional writes and waiting watches. It keeps to
 * the users' PROTOCOL.md; nothing is lost that was acknowledged.
 *
 * `fault` is a function that is asked before each call. It returns undefined
 * for a sound store, or `{status}`, `{reset: true}`, `{silent: true}`,
 * `{slowMs}` or `{lateMs}` for a disruption that the pages name.
 */

import {createServer} from 'node:http';

const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_000_000;
const VALUE_BYTES = 1_048_576;
const LONGEST_WAIT_MS = 30_000;
const LEASE_TICK_MS = 5;

export class Store {
  items = new Map();
  history = [];
  revision = 1;
  leases = new Map();
  nextLease = 1;
  waiters = new Set();
  fault = () => undefined;
  /** Called with each call before it is carried out. */
  observe = () => undefined;

  async listen() {
    this.server = createServer((request, response) => {
      void this.serve(request, response);
    });
    this.server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    this.timer = setInterval(() => this.expire(), LEASE_TICK_MS);
    return `127.0.0.1:${this.server.address().port}`;
  }

  close() {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  // The operator and the minions write without a condition.
  put(key, value) {
    const encoded = Buffer.from(JSON.stringify(value)).toString('base64');
    return this.write([{key, value: encoded}], []);
  }

  remove(key) {
    return this.write([], [key]);
  }

  read(key) {
    const item = this.items.get(key);
    if (item === undefined) return undefined;
    return JSON.parse(Buffer.from(item.value, 'base64').toString('utf8'));
  }

  write(puts, removals) {
    this.revision += 1;
    const {revision} = this;
    for (const {key, value, lease = 0} of puts) {
      const created = this.items.get(key)?.created ?? revision;
      const item = {key, value, revision, created, lease};
      this.items.set(key, item);
      this.history.push(item);
    }
    for (const key of removals) {
      if (!this.items.delete(key)) continue;
      this.history.push({key, revision, tombstone: true});
    }
    for (const wake of [...this.waiters]) wake();
    return revision;
  }

  expire() {
    const now = performance.now();
    for (const [id, lease] of this.leases) {
      if (lease.endsAt <= now) this.endLease(id);
    }
  }

  endLease(id) {
    if (!this.leases.delete(id)) return;
    const keys = [...this.items.values()]
      .filter(({lease}) => lease === id)
      .map(({key}) => key);
    if (keys.length > 0) this.write([], keys);
  }

  async serve(request, response) {
    const body = await readJson(request);
    const url = new URL(request.url, 'http://store');
    const call = {method: request.method, path: url.pathname, body};
    this.observe(call);
    const fault = this.fault(call);
    if (fault?.silent) return;
    if (fault?.reset) {
      request.socket.destroy();
      return;
    }
    if (fault?.status !== undefined) {
      send(response, fault.status, {});
      return;
    }
    if (fault?.lateMs !== undefined) {
      // The write is done later, if its condition still holds, and the
      // connection returns nothing further.
      setTimeout(() => void this.answer(call, url.searchParams), fault.lateMs);
      return;
    }
    if (fault?.slowMs) await pause(fault.slowMs);
    // A store that went down meanwhile does not carry the call out.
    if (this.fault(call)?.silent) return;
    const [status, answer] = await this.answer(call, url.searchParams);
    if (this.fault(call)?.silent) return;
    send(response, status, answer);
  }

  async answer({method, path, body}, query) {
    switch (`${method} ${path}`) {
      case 'GET /v1/kv-key': {
        const item = this.items.get(query.get('key'));
        if (item === undefined) return [404, {}];
        return [200, {...item, asOf: this.revision}];
      }
      case 'GET /v1/kv-range':
        return [200, this.range(query.get('pathPrefix'), query.get('after'))];
      case 'GET /v1/kv-watch':
        return [200, await this.watch(query)];
      case 'POST /v1/kv-txn':
        return this.transact(body);
      case 'POST /v1/kv-lease': {
        const lease = this.nextLease;
        this.nextLease += 1;
        const {ttlMs} = body;
        this.leases.set(lease, {ttlMs, endsAt: performance.now() + ttlMs});
        return [200, {lease, ttlMs}];
      }
    }
    const id = Number(path.split('/').at(-1));
    if (method === 'POST' && path.startsWith('/v1/kv-keep/')) {
      this.expire();
      const lease = this.leases.get(id);
      if (lease === undefined) return [404, {}];
      lease.endsAt = performance.now() + lease.ttlMs;
      return [200, {ttlMs: lease.ttlMs}];
    }
    if (method === 'DELETE' && path.startsWith('/v1/kv-lease-end/')) {
      this.endLease(id);
      return [200, {}];
    }
    return [400, {}];
  }

  range(prefix, after) {
    const items = [...this.items.values()]
      .filter(({key}) => key.startsWith(prefix) && key > (after ?? ''))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    let bytes = 0;
    const page = [];
    for (const item of items.slice(0, PAGE_ITEMS)) {
      bytes += item.value.length;
      if (page.length > 0 && bytes > PAGE_BYTES) break;
      page.push(item);
    }
    return {
      items: page,
      truncated: page.length < items.length,
      asOf: this.revision,
    };
  }

  async watch(query) {
    const prefix = query.get('pathPrefix');
    const after = Number(query.get('after'));
    const waitMs = Math.min(Number(query.get('waitMs')), LONGEST_WAIT_MS);
    const endsAt = performance.now() + waitMs;
    for (;;) {
      const events = this.history.filter(
        ({key, revision}) => revision > after && key.startsWith(prefix),
      );
      const leftMs = endsAt - performance.now();
      if (events.length > 0 || leftMs <= 0) {
        return {events, asOf: this.revision};
      }
      await this.changed(leftMs);
    }
  }

  changed(timeoutMs) {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, timeoutMs);
      this.waiters.add(wake);
    });
  }

  /** The conditions are checked first, then the leases of the puts. */
  transact({expected = [], puts = [], remove = []}) {
    if (expected.length + puts.length + remove.length > 32) return [400, {}];
    if (puts.some(({value}) => bytesOf(value) > VALUE_BYTES)) return [400, {}];
    this.expire();
    const holds = expected.every(
      ({key, revision}) => (this.items.get(key)?.revision ?? 0) === revision,
    );
    if (!holds) {
      const items = expected.flatMap(({key}) => this.items.get(key) ?? []);
      return [412, {items}];
    }
    for (const {lease = 0} of puts) {
      if (lease !== 0 && !this.leases.has(lease)) return [404, {}];
    }
    return [200, {revision: this.write(puts, remove)}];
  }
}

/** Number of bytes that a base64 text with padding stands for. */
function bytesOf(base64) {
  const padding = base64.endsWith('==') ? 2 : Number(base64.endsWith('='));
  return (base64.length * 3) / 4 - padding;
}

export function pause(milliseconds) {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

export async function readJson(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? undefined : JSON.parse(text);
}

export function send(response, status, body) {
  if (response.destroyed) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}
