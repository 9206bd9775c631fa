/**
 * Stand-in of the platform's store: keys with revisions, leases, transactions,
 * pages and watches, over HTTP/1.1 on a loopback address. Answers take 4 ms.
 */

import http from 'node:http';
import net from 'node:net';

const ANSWER_MS = 4;
const PAGE_ITEMS = 500;
const VALUE_BYTES = 1_048_576;
const TTL_MIN_MS = 1_000;
const HISTORY_MS = 20_000;

export class Store {
  revision = 1;
  items = new Map();
  events = [];
  leases = new Map();
  waiters = new Set();
  nextLease = 1_000;
  /** Values that were refused, as they are longer than `valueBytes`. */
  refusedValues = [];

  constructor(record) {
    this.record = record;
    this.timer = setInterval(() => this.tick(), 20);
  }

  close() {
    clearInterval(this.timer);
  }

  tick() {
    const now = performance.now();
    for (const [id, lease] of this.leases) {
      if (now >= lease.until) this.endLease(id);
    }
    while (this.events.length > 0 && now - this.events[0].at > HISTORY_MS) {
      this.dropped = this.events.shift().revision;
    }
  }

  endLease(id) {
    if (!this.leases.delete(id)) return;
    const keys = [...this.items.values()].filter(({lease}) => lease === id);
    if (keys.length > 0) {
      this.revision += 1;
      for (const {key} of keys) this.remove(key);
      this.wake();
    }
  }

  remove(key) {
    if (!this.items.delete(key)) return;
    this.events.push({
      at: performance.now(),
      key,
      revision: this.revision,
      tombstone: true,
    });
  }

  set(key, value, lease = 0) {
    const created = this.items.get(key)?.created ?? this.revision;
    const item = {key, value, revision: this.revision, created, lease};
    this.items.set(key, item);
    this.events.push({at: performance.now(), ...item});
  }

  /** A write of the operator or of a minion. */
  put(key, object) {
    this.revision += 1;
    this.set(key, Buffer.from(JSON.stringify(object)).toString('base64'));
    this.wake();
  }

  delete(key) {
    if (!this.items.has(key)) return;
    this.revision += 1;
    this.remove(key);
    this.wake();
  }

  json(key) {
    const item = this.items.get(key);
    if (item === undefined) return undefined;
    return JSON.parse(Buffer.from(item.value, 'base64').toString());
  }

  wake() {
    for (const waiter of [...this.waiters]) waiter();
  }

  transact({expected = [], puts = [], remove = []}) {
    if (expected.length + puts.length + remove.length > 64) return [400, {}];
    const isMet = expected.every(
      ({key, revision}) => (this.items.get(key)?.revision ?? 0) === revision,
    );
    if (!isMet) {
      const items = expected.flatMap(({key}) => this.items.get(key) ?? []);
      return [412, {items}];
    }
    if (puts.some(({lease}) => lease && !this.leases.has(lease))) {
      return [404, {}];
    }
    const tooLong = puts.filter(
      ({value}) => Buffer.from(value, 'base64').length > VALUE_BYTES,
    );
    if (tooLong.length > 0) {
      for (const {key, value} of tooLong) {
        const bytes = Buffer.from(value, 'base64').length;
        this.refusedValues.push({key, bytes});
      }
      return [400, {}];
    }
    this.revision += 1;
    for (const {key, value, lease} of puts) this.set(key, value, lease);
    for (const key of remove) this.remove(key);
    this.wake();
    return [200, {revision: this.revision}];
  }

  async watch(query) {
    const prefix = query.get('pathPrefix') ?? '';
    const after = Number(query.get('after'));
    const waitMs = Math.min(Number(query.get('waitMs') ?? 0), 30_000);
    const end = performance.now() + waitMs;
    for (;;) {
      if (after < (this.dropped ?? 0)) return [410, {}];
      const events = this.events
        .filter(({key, revision}) => revision > after && key.startsWith(prefix))
        .map((event) => ({...event, at: undefined}));
      const left = end - performance.now();
      if (events.length > 0 || left <= 0) {
        return [200, {events, asOf: this.revision}];
      }
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, left);
        this.waiters.add(wake);
      });
    }
  }

  handle(method, url, body) {
    const {pathname, searchParams: query} = url;
    const now = performance.now();
    if (pathname === '/v1/kv-key') {
      const item = this.items.get(query.get('key'));
      return item === undefined
        ? [404, {}]
        : [200, {...item, asOf: this.revision}];
    }
    if (pathname === '/v1/kv-range') {
      const prefix = query.get('pathPrefix') ?? '';
      const after = query.get('after') ?? '';
      const all = [...this.items.values()]
        .filter(({key}) => key.startsWith(prefix) && key > after)
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      const items = [];
      let bytes = 0;
      for (const item of all) {
        if (items.length >= PAGE_ITEMS || bytes > VALUE_BYTES) break;
        items.push(item);
        bytes += item.value.length;
      }
      const truncated = items.length < all.length;
      return [200, {items, truncated, asOf: this.revision}];
    }
    if (pathname === '/v1/kv-watch') return this.watch(query);
    if (pathname === '/v1/kv-txn') return this.transact(body);
    if (pathname === '/v1/kv-lease') {
      const lease = (this.nextLease += 1);
      const ttlMs = Math.max(TTL_MIN_MS, body.ttlMs);
      this.leases.set(lease, {ttlMs, until: now + ttlMs});
      return [200, {lease, ttlMs}];
    }
    if (pathname.startsWith('/v1/kv-keep/')) {
      const lease = this.leases.get(Number(pathname.split('/').at(-1)));
      if (lease === undefined) return [404, {}];
      lease.until = now + lease.ttlMs;
      return [200, {ttlMs: lease.ttlMs}];
    }
    if (method === 'DELETE' && pathname.startsWith('/v1/kv-lease-end/')) {
      this.endLease(Number(pathname.split('/').at(-1)));
      return [200, {}];
    }
    return [404, {}];
  }

  listen() {
    return listen(async (request, body) => {
      await sleep(ANSWER_MS);
      const url = new URL(request.url, 'http://store');
      return this.handle(request.method, url, body);
    });
  }
}

/**
 * Serves `answer`, which returns a status and a body, or undefined to leave the
 * call without an answer, on a loopback port.
 */
export async function listen(answer, port = 0) {
  const sockets = new Set();
  const server = http.createServer(async (request, response) => {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const text = Buffer.concat(chunks).toString();
    let body;
    try {
      body = text === '' ? undefined : JSON.parse(text);
    } catch {
      body = undefined;
    }
    const result = await answer(request, body);
    if (result === undefined || response.destroyed) return;
    const [status, object] = result;
    const json = JSON.stringify(object);
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(json),
    });
    response.end(json);
  });
  server.keepAliveTimeout = 60_000;
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
  });
  const [own] = port === 0 ? await freePorts(1) : [port];
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(own, '127.0.0.1', resolve);
  });
  return {
    port: server.address().port,
    address: `127.0.0.1:${server.address().port}`,
    close: () => {
      server.close();
      for (const socket of sockets) socket.resetAndDestroy();
    },
  };
}

/**
 * Free ports below the range that Linux gives to outgoing connections, so that
 * none of these takes a port before its owner listens, or while it is down.
 */
export async function freePorts(count) {
  const ports = [];
  while (ports.length < count) {
    const port = 12_000 + Math.floor(Math.random() * 18_000);
    if (takenPorts.has(port)) continue;
    takenPorts.add(port);
    const server = net.createServer();
    const isFree = await new Promise((resolve) => {
      server.once('error', () => resolve(false));
      server.listen(port, '127.0.0.1', () => resolve(true));
    });
    if (!isFree) continue;
    await new Promise((resolve) => server.close(resolve));
    ports.push(port);
  }
  return ports;
}

const takenPorts = new Set();

export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
