/**
 * Guards against a daemon whose configuration reverts to an older version after
 * stale watch results, skips a change, or is not updated by peers while the
 * store is unavailable.
 */

import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import fc from 'fast-check';
import {AuditReader} from '../src/controllers/audit_trail.js';
import type {ConfigurationController} from '../src/controllers/configuration_controller.js';
import {HEAD_KEY} from '../src/controllers/configuration_store.js';
import {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import type {StoreFault} from './control_fakes.js';
import {
  Gate,
  MemoryStore,
  customerEdit,
  newConfigurationController,
  proposal,
  until,
} from './control_fakes.js';

/** Collects the versions that a controller applies from now on. */
function recordVersions(controller: ConfigurationController): number[] {
  const versions: number[] = [];
  controller.onApplied(({configuration}) => {
    versions.push(configuration.version);
  });
  return versions;
}

describe('the configuration follower', {timeout: 30_000}, () => {
  let scope: CleanupScope;
  let store: MemoryStore;
  let writer: ConfigurationController;

  beforeEach(() => {
    scope = new CleanupScope();
    store = new MemoryStore();
    writer = newConfigurationController(store, scope);
  });
  afterEach(() => scope.close());

  async function write(count: number): Promise<void> {
    for (let i = 0; i < count; i += 1) {
      const edit = customerEdit(`customer-${writer.version % 10}`, i + 1);
      assert.ok((await writer.propose(proposal(edit, writer.version))).isOk);
    }
  }

  it('applies every change in order and without gaps', async () => {
    const follower = newConfigurationController(store, scope);
    const versions = recordVersions(follower);
    follower.start();
    await follower.whenLoaded();
    await write(5);
    await until(() => follower.version === 5);
    assert.deepEqual(versions, [1, 2, 3, 4, 5]);
    assert.deepEqual(follower.current, writer.current);
  });

  it('reads the head and the snapshot at a late start', async () => {
    await write(37);
    const follower = newConfigurationController(store, scope);
    follower.start();
    await until(() => follower.version === 37);
    assert.deepEqual(follower.current, writer.current);
  });

  it('does not revert to an older version after a stale watch result', async () => {
    const follower = newConfigurationController(store, scope);
    const versions = recordVersions(follower);
    follower.start();
    await follower.whenLoaded();
    await write(3);
    await until(() => follower.version === 3);
    const oldHead = store.entries.get(HEAD_KEY);
    assert.ok(oldHead);
    await write(30);
    await until(() => follower.version === 33);
    // Delivers a stale batch, as after a pause of the process.
    const watch = store.watch.bind(store);
    let delivered = 0;
    store.watch = async (...args) => {
      const batch = await watch(...args);
      if (batch.isErr || delivered > 0) return batch;
      delivered += 1;
      return batch.map((value) => ({...value, changed: [oldHead]}));
    };
    await until(() => delivered === 1);
    follower.receive({
      kind: 'snapshot',
      configuration: {...writer.current, version: 2},
    });
    await write(1);
    await until(() => follower.version === 34);
    assert.deepEqual(
      versions,
      [...versions].sort((a, b) => a - b),
    );
    assert.equal(new Set(versions).size, versions.length);
  });

  it('receives the configuration from a peer while the store is down', async () => {
    await write(20);
    store.fault = () => 'down';
    const late = newConfigurationController(store, scope);
    late.start();
    const snapshot = writer.configurationSince(late.version);
    assert.ok(late.receive(snapshot).isOk);
    await late.whenLoaded();
    assert.deepEqual(late.current, writer.current);
    store.fault = () => 'none';
    await write(1);
    await until(() => late.version === 21);
  });

  it('accepts a newer version from a peer while the store is slow', async () => {
    const gate = new Gate();
    await write(2);
    store.delay = async (operation) => {
      if (operation === 'list' || operation === 'watch') await gate.opened;
    };
    const slow = newConfigurationController(store, scope);
    slow.start();
    assert.ok(slow.receive(writer.configurationSince(0)).isOk);
    assert.equal(slow.version, 2);
    gate.open();
    await write(1);
    await until(() => slow.version === 3);
  });

  it('rejects changes with a gap entirely', async () => {
    await write(4);
    const update = writer.configurationSince(0);
    assert.ok(update.kind === 'changes');
    const follower = newConfigurationController(store, scope);
    const gap = update.changes.filter(({version}) => version !== 2);
    assert.ok(follower.receive({kind: 'changes', changes: gap}).isErr);
    assert.equal(follower.version, 0);
    assert.equal(follower.receive(update).unwrapOr(0), 4);
  });

  it('notifies listeners in order if one of them applies a newer version', async () => {
    await write(2);
    const update = writer.configurationSince(0);
    assert.ok(update.kind === 'changes');
    const [one, two] = update.changes;
    assert.ok(one && two);
    const follower = newConfigurationController(store, scope);
    follower.onApplied(() => {
      follower.receive({kind: 'changes', changes: [two]});
    });
    const versions = recordVersions(follower);
    follower.receive({kind: 'changes', changes: [one, two]});
    assert.deepEqual(versions, [1, 2]);
  });
});

const DAEMONS = 3;
const stepArbitrary = fc.record({
  kind: fc.constantFrom('propose', 'propose', 'tell', 'freeze', 'wake'),
  daemon: fc.nat(DAEMONS - 1),
  /** Daemon that receives an update, or customer that is changed. */
  other: fc.nat(DAEMONS - 1),
  stale: fc.boolean(),
});
type Step = typeof stepArbitrary extends fc.Arbitrary<infer T> ? T : never;

const faultArbitrary = fc.constantFrom<StoreFault>(
  'none',
  'none',
  'none',
  'down',
  'lost-write',
  'lost-answer',
);

/** A daemon whose watch results a test can delay. */
interface Daemon {
  readonly controller: ConfigurationController;
  readonly versions: number[];
  gate: Gate | undefined;
}

function startDaemon(store: MemoryStore, scope: CleanupScope): Daemon {
  const view = Object.create(store) as MemoryStore;
  const controller = newConfigurationController(view, scope, {watchWaitMs: 2});
  const versions = recordVersions(controller);
  view.put = (...args) => store.put(...args);
  const daemon: Daemon = {controller, versions, gate: undefined};
  view.watch = async (...args) => {
    const batch = await store.watch(...args);
    await daemon.gate?.opened;
    return batch;
  };
  controller.start();
  return daemon;
}

async function checkInterleaving(
  steps: readonly Step[],
  faults: readonly StoreFault[],
): Promise<void> {
  const scope = new CleanupScope();
  const store = new MemoryStore();
  const written: number[] = [];
  store.onWrite = ({key, value}) => {
    if (key === HEAD_KEY) {
      written.push((JSON.parse(value) as {version: number}).version);
    }
  };
  let operations = 0;
  store.fault = (operation) =>
    operation === 'watch' || operation === 'list'
      ? 'none'
      : (faults[(operations += 1) % faults.length] ?? 'none');
  const daemons = Array.from({length: DAEMONS}, () =>
    startDaemon(store, scope),
  );
  const at = (index: number) => daemons[index] as Daemon;
  const accepted: string[] = [];
  const refused: string[] = [];
  const running: Array<Promise<void>> = [];
  for (const {kind, daemon, other, stale} of steps) {
    const {controller} = at(daemon);
    if (kind === 'propose') {
      const base = stale ? 0 : controller.version;
      const change = proposal(customerEdit(`c-${other}`), base);
      running.push(
        controller.propose(change).then((result) => {
          if (result.isOk) accepted.push(change.id);
          else if (result.error.kind !== 'unknown-effect') {
            refused.push(change.id);
          }
        }),
      );
    } else if (kind === 'tell') {
      const to = at(other).controller;
      to.receive(controller.configurationSince(to.version));
    } else if (kind === 'freeze') {
      at(daemon).gate ??= new Gate();
    } else {
      at(daemon).gate?.open();
      at(daemon).gate = undefined;
    }
    await new Promise((resolve) => setImmediate(resolve));
  }
  await Promise.all(running);
  store.fault = () => 'none';
  for (const daemon of daemons) daemon.gate?.open();
  const last = written.at(-1) ?? 0;
  await until(() => daemons.every((d) => d.controller.version === last));
  await scope.close();

  assert.deepEqual(
    written,
    written.map((_, i) => i + 1),
    'the head version increases by one with each write',
  );
  for (const {versions, controller} of daemons) {
    assert.ok(
      versions.every((version, i) => version > (versions[i - 1] ?? 0)),
      `versions of a daemon do not increase: ${versions.join(' ')}`,
    );
    assert.deepEqual(controller.current, daemons[0]?.controller.current);
  }
  const audit = await new AuditReader(store).configurationChanges();
  assert.ok(audit.isOk);
  assert.deepEqual(audit.value.missingVersions, []);
  const ids: string[] = audit.value.changes.map(({id}) => id);
  assert.equal(ids.length, last);
  assert.equal(new Set(ids).size, ids.length);
  for (const id of accepted) assert.ok(ids.includes(id), `missing ${id}`);
  for (const id of refused) assert.ok(!ids.includes(id), `applied ${id}`);
}

it(
  'keeps versions and audit consistent under interleaved writes and faults',
  {timeout: 120_000},
  async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(stepArbitrary, {minLength: 10, maxLength: 60}),
        fc.array(faultArbitrary, {minLength: 1, maxLength: 24}),
        checkInterleaving,
      ),
      {seed: 20_261_204, numRuns: 60},
    );
  },
);
