/**
 * Guards against changes that are lost, applied twice, overwrite a concurrent
 * change, or are reported with the wrong outcome after store faults.
 */

import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {Result} from 'true-myth';
import {AuditReader} from '../src/controllers/audit_trail.js';
import type {ConfigurationController} from '../src/controllers/configuration_controller.js';
import {
  HEAD_KEY,
  MAXIMUM_RECENT_CHANGES,
} from '../src/controllers/configuration_store.js';
import {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import type {ConfigurationHead} from '../src/model/configuration.js';
import {RefusedError} from '../src/model/errors.js';
import {trustedId} from '../src/model/ids.js';
import type {WorkClassId} from '../src/model/ids.js';
import {MAXIMUM_VALUE_BYTES} from '../src/interfaces/key_value_store.js';
import {
  Gate,
  MemoryStore,
  customerEdit,
  newConfigurationController,
  proposal,
  until,
} from './control_fakes.js';

describe('the configuration writer', {timeout: 20_000}, () => {
  let scope: CleanupScope;
  let store: MemoryStore;
  let first: ConfigurationController;
  let second: ConfigurationController;

  beforeEach(() => {
    scope = new CleanupScope();
    store = new MemoryStore();
    first = newConfigurationController(store, scope);
    second = newConfigurationController(store, scope);
  });
  afterEach(() => scope.close());

  async function history(): Promise<string[]> {
    const read = await new AuditReader(store).configurationChanges();
    assert.ok(read.isOk);
    assert.deepEqual(read.value.missingVersions, []);
    return read.value.changes.map(({id}) => id);
  }

  async function writeMany(count: number): Promise<void> {
    for (let i = 0; i < count; i += 1) {
      const written = await first.propose(
        proposal(customerEdit(`customer-${i % 20}`, i + 1), first.version),
      );
      assert.ok(written.isOk);
    }
  }

  it('refuses the second of two concurrent changes to one customer', async () => {
    const results = await Promise.all([
      first.propose(proposal(customerEdit('guild', 1), 0)),
      second.propose(proposal(customerEdit('guild', 2), 0)),
    ]);
    assert.equal(results.filter((result) => result.isOk).length, 1);
    const [loser] = results.filter((result) => result.isErr);
    assert.ok(loser?.isErr && loser.error.kind === 'conflict');
    assert.equal((await history()).length, 1);
  });

  it('accepts concurrent changes to two customers', async () => {
    const results = await Promise.all([
      first.propose(proposal(customerEdit('guild'), 0)),
      second.propose(proposal(customerEdit('club'), 0)),
    ]);
    assert.deepEqual(
      results.map((result) => result.isOk && result.value.version).sort(),
      [1, 2],
    );
    assert.equal(first.current.customers.length + 0, first.version);
  });

  it('refuses an outdated base version whose conflict was trimmed from the head', async () => {
    const old = await first.propose(proposal(customerEdit('guild'), 0));
    assert.ok(old.isOk);
    await writeMany(40);
    const late = await second.propose(proposal(customerEdit('guild', 9), 0));
    assert.ok(late.isErr && late.error.kind === 'conflict');
    assert.match(late.error.problem, /version 1,/);
  });

  for (const trimmed of [false, true]) {
    it(`writes once if the answer is lost, trimmed: ${trimmed}`, async () => {
      let lose = true;
      store.fault = (operation, key) => {
        if (operation !== 'put' || key !== HEAD_KEY || !lose) return 'none';
        lose = false;
        return 'lost-answer';
      };
      // The second read of the head follows the lost answer.
      let reads = 0;
      const gate = new Gate();
      store.delay = async (operation, key) => {
        if (operation !== 'get' || key !== HEAD_KEY) return;
        reads += 1;
        if (reads === 2 && trimmed) await gate.opened;
      };
      const edit = customerEdit('guild');
      const written = second.propose(proposal(edit, 0, 'change-lost'));
      if (trimmed) {
        await until(() => !lose);
        store.delay = async () => {};
        await writeMany(30);
        gate.open();
      }
      const result = await written;
      assert.ok(result.isOk);
      assert.equal(result.value.version, 1);
      const ids = await history();
      assert.equal(ids.filter((id) => id === 'change-lost').length, 1);
    });
  }

  it('retries if the write itself was lost', async () => {
    let lose = true;
    store.fault = (operation) => {
      if (operation !== 'put' || !lose) return 'none';
      lose = false;
      return 'lost-write';
    };
    assert.ok((await first.propose(proposal(customerEdit('guild'), 0))).isOk);
    assert.equal((await history()).length, 1);
  });

  it('reports whether a change may have been written when the store fails', async () => {
    store.fault = () => 'down';
    const change = proposal(customerEdit('guild'), 0);
    const without = await first.propose(change);
    assert.ok(without.isErr && without.error.kind === 'unavailable');
    let lost = false;
    store.fault = (operation) => {
      if (lost) return 'down';
      lost = operation === 'put';
      return lost ? 'lost-answer' : 'none';
    };
    const unknown = await first.propose(change);
    assert.ok(unknown.isErr && unknown.error.kind === 'unknown-effect');
    store.fault = () => 'none';
    assert.ok((await second.propose(change)).isOk);
    assert.deepEqual(await history(), [change.id]);
  });

  it('bounds the head and the size of every value', async () => {
    const lengths: number[] = [];
    store.onWrite = ({key, value}) => {
      assert.ok(Buffer.byteLength(value) <= MAXIMUM_VALUE_BYTES);
      if (key !== HEAD_KEY) return;
      const head = JSON.parse(value) as ConfigurationHead;
      lengths.push(head.recentChanges.length);
      if (head.snapshotVersion === 0) return;
      // Snapshot and segments must exist before the head refers to them.
      const snapshot = `configuration/snapshot/${head.snapshotVersion}`;
      assert.ok(store.entries.has(snapshot));
      const segments = store.keys('audit/configuration/').length;
      assert.equal(segments * 8, head.snapshotVersion);
    };
    await writeMany(60);
    assert.equal(Math.max(...lengths), MAXIMUM_RECENT_CHANGES);
    assert.equal((await history()).length, 60);
    assert.ok(store.keys('configuration/snapshot/').length <= 2);
  });

  it('continues after a crash between the snapshot and the head write', async () => {
    await writeMany(16);
    store.fault = (operation, key) =>
      operation === 'put' && key === HEAD_KEY ? 'down' : 'none';
    const change = proposal(customerEdit('guild'), 16);
    assert.ok((await first.propose(change)).isErr);
    store.fault = () => 'none';
    assert.ok((await second.propose(change)).isOk);
    assert.equal((await history()).length, 17);
  });

  it('succeeds if a newer version is applied during the read', async () => {
    await writeMany(20);
    const gate = new Gate();
    let reading = false;
    store.delay = async (operation, key) => {
      if (operation !== 'get' || !key.startsWith('audit/')) return;
      reading = true;
      await gate.opened;
    };
    const written = second.propose(proposal(customerEdit('guild'), 0));
    await until(() => reading);
    assert.ok((await first.propose(proposal(customerEdit('x'), 20))).isOk);
    second.receive(first.configurationSince(second.version));
    gate.open();
    const result = await written;
    assert.ok(result.isOk, result.toString());
    assert.equal(result.value.version, 22);
  });

  it('refuses to write to a store that was restored to an older version', async () => {
    await writeMany(3);
    store.entries.delete(HEAD_KEY);
    const refused = await first.propose(proposal(customerEdit('guild'), 0));
    assert.ok(refused.isErr && refused.error.kind === 'refused');
    assert.equal(store.entries.has(HEAD_KEY), false);
  });

  it('refuses an oversized change with a typed error', async () => {
    const edit = customerEdit('g'.repeat(128));
    assert.ok(edit.kind === 'set-customer');
    const workClasses = Array.from({length: 200}, (_, i) => ({
      kind: 'request' as const,
      id: trustedId<WorkClassId>(`${'x'.repeat(110)}-${i}`),
      customerId: edit.customer.id,
      repeatable: true,
      deadlineMs: 1_000,
    }));
    const refused = await first.propose(proposal({...edit, workClasses}, 0));
    assert.ok(refused.isErr && refused.error.kind === 'refused');
    assert.match(refused.error.problem, /over the limit of 60000/);
    assert.equal(store.entries.size, 0);
  });

  it('does not write a change that the validator refuses', async () => {
    const rejection = Result.err<void, RefusedError>(
      new RefusedError('does not pack', 'ask for less'),
    );
    const strict = newConfigurationController(store, scope, {
      validator: ({customers}) =>
        customers.length > 1 ? rejection : Result.ok(undefined),
    });
    assert.ok((await strict.propose(proposal(customerEdit('a'), 0))).isOk);
    const refused = await strict.propose(proposal(customerEdit('b'), 1));
    assert.ok(refused.isErr && refused.error.kind === 'refused');
    assert.equal((await history()).length, 1);
  });
});
