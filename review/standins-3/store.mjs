/**
 * Stand-in of the platform's store: keys with revisions, conditional writes,
 * leases and watches, as PROTOCOL.md says ("The platform's metadata store").
 */

import {createServer} from 'node:http';
import {readBody, reply} from './http.mjs';

const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_048_576;
const VALUE_BYTES = 1_048_576;
const HISTORY_MS = 20_000;
const MAXIMUM_WAIT_MS = 30_000;
const PROTECTED = ['op/', 'servers/'];

export class Store {
  constructor() {
    this.items = new Map();
    this.events = [];
    this.revision = 100;
    this.oldest = 100;
    this.leases = new Map();
    this.nextLease = 77_000;
    this.waiting = new Set();
    /** Called with each committed transaction before it is answered. */
    this.onCommit = () => {};
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
    this.timer = setInterval(() => this.tick(), 20);
  }

  async listen(port) {
    await new Promise((done) => this.server.listen(port, '127.0.0.1', done));
    this.address = `127.0.0.1:${port}`;
  }

  close() {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  // For the operator and the minions, who write under their own prefixes.

  put(key, body) {
    this.revision += 1;
    this.write(key, encode(body), 0);
    this.wake();
  }

  remove(key) {
    if (!this.items.has(key)) return;
    this.revision += 1;
    this.erase(key);
    this.wake();
  }

  read(key) {
    const item = this.items.get(key);
    if (item === undefined) return undefined;
    return JSON.parse(Buffer.from(item.value, 'base64').toString('utf8'));
  }

  // State.

  write(key, value, lease) {
    const created = this.items.get(key)?.created ?? this.revision;
    const item = {key, value, revision: this.revision, created, lease};
    this.items.set(key, item);
    this.events.push({at: performance.now(), event: item});
  }

  erase(key) {
    this.items.delete(key);
    const event = {key, revision: this.revision, tombstone: true};
    this.events.push({at: performance.now(), event});
  }

  tick() {
    const now = performance.now();
    for (const [lease, {endsAt}] of this.leases) {
      if (now >= endsAt) this.endLease(lease);
    }
    while (this.events.length > 0 && now - this.events[0].at > HISTORY_MS) {
      this.oldest = this.events.shift().event.revision;
    }
    for (const waiter of [...this.waiting]) {
      if (now >= waiter.until) this.answerWatch(waiter);
    }
  }

  endLease(lease) {
    this.leases.delete(lease);
    const keys = [...this.items.values()].filter((i) => i.lease === lease);
    if (keys.length === 0) return;
    this.revision += 1;
    for (const {key} of keys) this.erase(key);
    this.wake();
  }

  wake() {
    for (const waiter of [...this.waiting]) {
      if (this.eventsFor(waiter).length > 0) this.answerWatch(waiter);
    }
  }

  eventsFor({prefix, after}) {
    return this.events
      .map(({event}) => event)
      .filter((e) => e.revision > after && e.key.startsWith(prefix));
  }

  answerWatch(waiter) {
    this.waiting.delete(waiter);
    const {response} = waiter;
    if (response.destroyed) return;
    reply(response, 200, {
      events: this.eventsFor(waiter),
      asOf: this.revision,
    });
  }

  // Calls.

  async handle(request, response) {
    const body = await readBody(request);
    const url = new URL(request.url, 'http://store');
    const [, , call, id] = url.pathname.split('/');
    const query = url.searchParams;
    switch (call) {
      case 'kv-key':
        return this.getKey(query.get('key'), response);
      case 'kv-range':
        return this.getRange(query, response);
      case 'kv-watch':
        return this.watch(query, response);
      case 'kv-txn':
        return this.transact(body, response);
      case 'kv-lease':
        return this.grant(body, response);
      case 'kv-keep':
        return this.keep(Number(id), response);
      case 'kv-lease-end':
        this.endLease(Number(id));
        return reply(response, 200, {});
      default:
        return reply(response, 404, {});
    }
  }

  getKey(key, response) {
    const item = this.items.get(key);
    if (item === undefined) return reply(response, 404, {});
    return reply(response, 200, {...item, asOf: this.revision});
  }

  getRange(query, response) {
    const prefix = query.get('pathPrefix') ?? '';
    const after = query.get('after') ?? '';
    const keys = [...this.items.keys()]
      .filter((key) => key.startsWith(prefix) && key > after)
      .sort();
    const items = [];
    let bytes = 0;
    for (const key of keys) {
      const item = this.items.get(key);
      bytes += item.value.length;
      const isFull = items.length === PAGE_ITEMS || bytes > PAGE_BYTES;
      if (isFull && items.length > 0) break;
      items.push(item);
    }
    const truncated = items.length < keys.length;
    reply(response, 200, {items, truncated, asOf: this.revision});
  }

  watch(query, response) {
    const after = Number(query.get('after'));
    if (after < this.oldest) return reply(response, 410, {});
    const waitMs = Math.min(Number(query.get('waitMs')), MAXIMUM_WAIT_MS);
    const prefix = query.get('pathPrefix') ?? '';
    const until = performance.now() + waitMs;
    const waiter = {prefix, after, until, response};
    if (waitMs === 0 || this.eventsFor(waiter).length > 0) {
      return this.answerWatch(waiter);
    }
    this.waiting.add(waiter);
    response.once('close', () => this.waiting.delete(waiter));
    return undefined;
  }

  transact({expected = [], puts = [], remove = []}, response) {
    const changed = [...puts.map(({key}) => key), ...remove];
    if (changed.some((k) => PROTECTED.some((p) => k.startsWith(p)))) {
      return reply(response, 403, {});
    }
    const isTooLong = ({value}) =>
      Buffer.byteLength(value, 'base64') > VALUE_BYTES;
    if (puts.some(isTooLong)) return reply(response, 400, {});
    const lease = puts.find((put) => put.lease)?.lease;
    if (lease !== undefined && !this.leases.has(lease)) {
      return reply(response, 404, {});
    }
    const holds = expected.every(
      ({key, revision}) => (this.items.get(key)?.revision ?? 0) === revision,
    );
    if (!holds) {
      const items = expected.flatMap(({key}) => this.items.get(key) ?? []);
      return reply(response, 412, {items});
    }
    this.revision += 1;
    for (const put of puts) this.write(put.key, put.value, put.lease ?? 0);
    for (const key of remove) if (this.items.has(key)) this.erase(key);
    const isSwallowed = this.onCommit({expected, puts, remove}) === 'swallow';
    this.wake();
    if (isSwallowed) return undefined;
    return reply(response, 200, {revision: this.revision});
  }

  grant({ttlMs}, response) {
    this.nextLease += 1;
    const granted = Math.max(1_000, ttlMs);
    const endsAt = performance.now() + granted;
    this.leases.set(this.nextLease, {ttlMs: granted, endsAt});
    reply(response, 200, {lease: this.nextLease, ttlMs: granted});
  }

  keep(id, response) {
    const lease = this.leases.get(id);
    if (lease === undefined) return reply(response, 404, {});
    lease.endsAt = performance.now() + lease.ttlMs;
    return reply(response, 200, {ttlMs: lease.ttlMs});
  }
}

export function decode(value) {
  return JSON.parse(Buffer.from(value, 'base64').toString('utf8'));
}

function encode(body) {
  return Buffer.from(JSON.stringify(body), 'utf8').toString('base64');
}
