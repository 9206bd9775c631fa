/**
 * Guards against writes whose effect is reported wrongly, changes missing from
 * watches, and calls beyond the rate limits. Runs against a platform process.
 */

import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import {trustedId} from '../src/model/ids.js';
import {MAXIMUM_VALUE_BYTES} from '../src/interfaces/key_value_store.js';
import {PlatformAdmin} from '../src/standins/admin_client.js';
import {StandinProcess} from '../src/standins/launcher.js';
import {HttpKeyValueStore} from '../src/transport/http_key_value_store.js';
import {HttpVmList} from '../src/transport/http_vm_list.js';
import {
  LONG_TIMEOUT_MS,
  SHORT_TIMEOUT_MS,
  eventually,
  workerVm,
} from './standins_support.js';

const HISTORY_EVENTS = 8;

let scope: CleanupScope;
let platform: StandinProcess;
let admin: PlatformAdmin;
let store: HttpKeyValueStore;

beforeEach(async () => {
  scope = new CleanupScope();
  platform = await StandinProcess.start(scope, 'platform', {
    historyEvents: HISTORY_EVENTS,
  });
  admin = new PlatformAdmin(scope, platform.adminAddress);
  store = connect(LONG_TIMEOUT_MS);
});

afterEach(() => scope.close());

function connect(callTimeoutMs: number): HttpKeyValueStore {
  return new HttpKeyValueStore(scope, {
    address: platform.address,
    callTimeoutMs,
  });
}

/** Writes a key, throwing on failure, and returns the new revision. */
async function write(key: string, value: string, at = 0): Promise<number> {
  return (await store.put(key, value, at)).unwrapOrElse((error) => {
    throw error;
  });
}

function errorKind(result: {isErr: boolean}): string | undefined {
  return result.isErr && 'error' in result
    ? (result.error as {kind: string}).kind
    : undefined;
}

describe('writes', () => {
  it('a lost answer is an unknown effect, and the write can be read back', async () => {
    await admin.setStoreFaults({loseWriteAnswers: 1});
    assert.equal(errorKind(await store.put('a', '1', 0)), 'unknown-effect');
    const entry = await store.get('a');
    assert.equal(entry.isOk && entry.value?.value, '1');
    const revision = entry.isOk ? entry.value?.revision : undefined;
    assert.equal(await write('a', '2', revision), 2);
  });

  it('exactly one of several concurrent writes at one revision succeeds', async () => {
    const writers = Array.from({length: 20}, (_, index) => String(index));
    const results = await Promise.all(
      writers.map((value) => store.put('head', value, 0)),
    );
    const winners = writers.filter((_, index) => results[index]?.isOk);
    assert.equal(winners.length, 1);
    const losers = results.map(errorKind).filter((kind) => kind !== undefined);
    assert.deepEqual(new Set(losers), new Set(['conflict']));
    const stored = await admin.dumpStore();
    assert.deepEqual(
      stored.map((entry) => entry.value),
      winners,
    );
  });

  it('writing or deleting a deleted key at its old revision is a conflict', async () => {
    const revision = await write('a', '1');
    assert.equal((await store.delete('a', revision)).isOk, true);
    assert.equal(errorKind(await store.put('a', '2', revision)), 'conflict');
    assert.equal(errorKind(await store.delete('a', revision)), 'conflict');
  });

  it('a write that times out has an unknown effect, a read is unavailable', async () => {
    const shortTimeoutStore = connect(SHORT_TIMEOUT_MS);
    await admin.setStoreFaults({silent: true});
    assert.equal(
      errorKind(await shortTimeoutStore.put('a', '1', 0)),
      'unknown-effect',
    );
    assert.equal(errorKind(await shortTimeoutStore.get('a')), 'unavailable');
    await admin.setStoreFaults({slowMs: 1});
    assert.equal(await write('a', '1'), 1);
  });

  it('an unavailable service had no effect, a connection reset may have had one', async () => {
    await admin.setStoreFaults({unavailable: true});
    assert.equal(errorKind(await store.put('a', '1', 0)), 'unavailable');
    await admin.setStoreFaults({down: true});
    assert.equal(errorKind(await store.put('a', '1', 0)), 'unknown-effect');
    await platform.kill();
    await eventually('the port is closed', async () =>
      errorKind(await store.put('a', '1', 0)) === 'unavailable'
        ? true
        : undefined,
    );
  });

  it('a value above the limit is refused and one at the limit is stored', async () => {
    const largest = 'x'.repeat(MAXIMUM_VALUE_BYTES);
    assert.equal(errorKind(await store.put('a', `${largest}x`, 0)), 'refused');
    await write('a', largest);
    const entry = await store.get('a');
    assert.equal(entry.isOk && entry.value?.value === largest, true);
  });
});

describe('answers without a valid report', () => {
  const cases: ReadonlyArray<{
    readonly status: number;
    readonly body: string;
    readonly write: string;
    readonly read: string;
  }> = [
    // An intermediary may send these after the service applied the write.
    {status: 502, body: 'x', write: 'unknown-effect', read: 'protocol'},
    {status: 503, body: '{}', write: 'unknown-effect', read: 'protocol'},
    {status: 200, body: '{"re', write: 'unknown-effect', read: 'protocol'},
    {status: 200, body: '[]', write: 'unknown-effect', read: 'protocol'},
    {
      status: 200,
      body: '{"entry":{"key":"b","value":"1","revision":1}}',
      write: 'unknown-effect',
      read: 'protocol',
    },
    // This status by definition means that the call was not processed.
    {status: 429, body: '', write: 'refused', read: 'refused'},
  ];
  for (const {status, body, write: writeKind, read: readKind} of cases) {
    it(`status ${status} with body ${body}`, async () => {
      const server = createServer((_request, response) => {
        response.writeHead(status).end(body);
      });
      server.listen(0, '127.0.0.1');
      await once(server, 'listening');
      scope.add(() => void server.close());
      const {port} = server.address() as AddressInfo;
      const address = `127.0.0.1:${port}`;
      const other = new HttpKeyValueStore(scope, {address});
      assert.equal(errorKind(await other.put('a', '1', 0)), writeKind);
      assert.equal(errorKind(await other.get('a')), readKind);
    });
  }
});

describe('limits', () => {
  it('calls above the rate are refused and write nothing', async () => {
    await admin.setLimits({writesPerSecond: 0.001, readsPerSecond: 0.001});
    // A token bucket below one token refuses the first call already.
    assert.equal(errorKind(await store.put('a', '1', 0)), 'refused');
    assert.equal(errorKind(await store.get('a')), 'refused');
    assert.deepEqual(await admin.dumpStore(), []);
    assert.equal((await admin.counters()).rateLimited, 2);
    await admin.setLimits({});
    await write('a', '1');
  });

  it('a watch counts as one call however long it waits', async () => {
    const watch = store.watch('jobs/', 0, LONG_TIMEOUT_MS, scope.signal);
    await eventually('the watch waits', async () =>
      (await admin.counters()).waitingWatches === 1 ? true : undefined,
    );
    // A change under another prefix wakes the watch but costs no further call.
    await write('other/1', '1');
    await write('jobs/1', '1');
    assert.equal((await watch).isOk, true);
    const counters = await admin.counters();
    assert.deepEqual(
      [counters.watches, counters.reads, counters.writes],
      [1, 0, 2],
    );
  });
});

describe('watches', () => {
  it('show the latest state of each changed key and what was deleted', async () => {
    const first = await write('jobs/1', 'a');
    await write('jobs/1', 'b', first);
    const second = await write('jobs/2', 'c');
    await store.delete('jobs/2', second);
    const batch = await store.watch('jobs/', 0, LONG_TIMEOUT_MS, scope.signal);
    assert.deepEqual(batch.isOk && batch.value, {
      revision: 4,
      changed: [{key: 'jobs/1', value: 'b', revision: 2}],
      deletedKeys: ['jobs/2'],
      compacted: false,
    });
    const unchanged = await store.watch('jobs/', 4, 1, scope.signal);
    assert.deepEqual(unchanged.isOk && unchanged.value.changed, []);
  });

  it('report compaction instead of omitting changes', async () => {
    for (let index = 0; index <= HISTORY_EVENTS; index += 1) {
      await write(`jobs/${index}`, 'x');
    }
    const late = await store.watch('jobs/', 0, LONG_TIMEOUT_MS, scope.signal);
    assert.equal(late.isOk && late.value.compacted, true);
    const revision = late.isOk ? late.value.revision : 0;
    const listed = await store.list('jobs/');
    assert.equal(listed.isOk && listed.value.revision, revision);
    assert.equal(
      listed.isOk && listed.value.entries.length,
      HISTORY_EVENTS + 1,
    );
    const kept = await store.watch('jobs/', 1, LONG_TIMEOUT_MS, scope.signal);
    assert.equal(kept.isOk && kept.value.changed.length, HISTORY_EVENTS);
    // A store that lost its state has a lower revision than the watcher.
    const ahead = await store.watch('jobs/', 99, LONG_TIMEOUT_MS, scope.signal);
    assert.equal(ahead.isOk && ahead.value.compacted, true);
  });

  it('end when the caller aborts them', async () => {
    const controller = new AbortController();
    const watch = store.watch('jobs/', 0, LONG_TIMEOUT_MS, controller.signal);
    await eventually('the watch waits', async () =>
      (await admin.counters()).waitingWatches === 1 ? true : undefined,
    );
    controller.abort();
    assert.equal(errorKind(await watch), 'unavailable');
    await eventually('the service ends the watch', async () =>
      (await admin.counters()).waitingWatches === 0 ? true : undefined,
    );
  });
});

describe('VM list', () => {
  const vm = workerVm('127.0.0.1:1');

  it('a change appears after the lag, and a removed VM is reported as gone', async () => {
    const list = new HttpVmList(scope, {address: platform.address});
    const empty = await list.watch(0, 0, scope.signal);
    assert.deepEqual(empty.isOk && empty.value.vms, []);
    const version = empty.isOk ? empty.value.version : 0;
    await admin.setVmListLag(SHORT_TIMEOUT_MS);
    await admin.setVm(vm);
    const lagging = await list.watch(version, 0, scope.signal);
    assert.deepEqual(lagging.isOk && lagging.value.vms, []);
    const added = await list.watch(version, LONG_TIMEOUT_MS, scope.signal);
    assert.deepEqual(added.isOk && added.value.vms, [vm]);
    await admin.setVmListLag(0);
    await admin.removeVm(trustedId(vm.vmId));
    const removed = await list.watch(
      version + 1,
      LONG_TIMEOUT_MS,
      scope.signal,
    );
    assert.deepEqual(removed.isOk && removed.value.vms, [
      {...vm, state: 'gone'},
    ]);
    const complete = await list.watch(0, LONG_TIMEOUT_MS, scope.signal);
    assert.deepEqual(complete.isOk && complete.value, {
      version: version + 2,
      vms: [],
      complete: true,
    });
  });

  it('stays available while the store is down', async () => {
    await admin.setStoreFaults({down: true});
    const list = new HttpVmList(scope, {address: platform.address});
    assert.equal((await list.watch(0, 0, scope.signal)).isOk, true);
    await admin.setVmListFaults({unavailable: true});
    const result = await list.watch(0, 0, scope.signal);
    assert.equal(errorKind(result), 'unavailable');
  });
});
