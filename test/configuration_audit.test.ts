/**
 * Guards against scheduler decisions that are missing from the audit trail
 * without being counted as missing, during store outages or conflicting writes,
 * and against unbounded growth of the trail.
 */

import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import type {DecisionHistory} from '../src/controllers/audit_trail.js';
import {
  AuditReader,
  DECISION_SLOTS,
  DecisionLog,
  MAXIMUM_PENDING_DECISIONS,
} from '../src/controllers/audit_trail.js';
import {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import {trustedId} from '../src/model/ids.js';
import type {AvailabilityZone} from '../src/model/ids.js';
import {
  ManualClock,
  MemoryStore,
  ZeroRandom,
  customerEdit,
  newConfigurationController,
  proposal,
} from './control_fakes.js';

const ZONE = trustedId<AvailabilityZone>('fv-1');

describe('the audit trail of decisions', {timeout: 20_000}, () => {
  let scope: CleanupScope;
  let store: MemoryStore;

  beforeEach(() => {
    scope = new CleanupScope();
    store = new MemoryStore();
  });
  afterEach(() => scope.close());

  function newLog(daemon: string): DecisionLog {
    return new DecisionLog({
      store,
      scope,
      clock: new ManualClock(),
      random: new ZeroRandom(),
      log: () => {},
      daemonId: trustedId(daemon),
      availabilityZone: ZONE,
    });
  }

  async function read(): Promise<DecisionHistory> {
    const history = await new AuditReader(store).decisions(ZONE);
    assert.ok(history.isOk);
    return history.value;
  }

  function subjects(history: DecisionHistory): string[] {
    return history.batches.flatMap(({decisions}) =>
      decisions.map(({subject}) => subject),
    );
  }

  it('writes many decisions in one batch, in order', async () => {
    const log = newLog('daemon-1');
    for (let i = 0; i < 50; i += 1) log.record('start', `job-${i}`, 'fits');
    await log.flush();
    const history = await read();
    assert.equal(history.batches.length, 1);
    assert.equal(subjects(history)[49], 'job-49');
  });

  it('counts decisions that are dropped during a store outage', async () => {
    const log = newLog('daemon-1');
    store.fault = () => 'down';
    const recorded = MAXIMUM_PENDING_DECISIONS + 50;
    for (let i = 0; i < recorded; i += 1) log.record('start', `j-${i}`, '');
    await log.flush();
    assert.equal(log.droppedCount, 50);
    store.fault = () => 'none';
    await log.flush();
    const history = await read();
    const reported = history.batches.reduce((sum, b) => sum + b.notKept, 0);
    assert.equal(reported, 50);
    assert.equal(subjects(history).length + reported, recorded);
    assert.equal(log.droppedCount, 0);
  });

  it('writes each decision once if answers or writes are lost', async () => {
    const log = newLog('daemon-1');
    let puts = 0;
    store.fault = (operation) => {
      if (operation !== 'put') return 'none';
      puts += 1;
      if (puts % 3 === 1) return 'lost-answer';
      return puts % 3 === 2 ? 'lost-write' : 'none';
    };
    for (let i = 0; i < 30; i += 1) {
      log.record('start', `job-${i}`, '');
      await log.flush();
    }
    store.fault = () => 'none';
    await log.flush();
    const history = await read();
    assert.deepEqual(history.missingSequences, []);
    assert.deepEqual(
      subjects(history),
      Array.from({length: 30}, (_, i) => `job-${i}`),
    );
  });

  it('bounds the ring of batches that two daemons share', async () => {
    const logs = [newLog('daemon-1'), newLog('daemon-2')];
    for (let i = 0; i < DECISION_SLOTS + 20; i += 1) {
      for (const log of logs) log.record('start', `job-${i}`, '');
      await Promise.all(logs.map((log) => log.flush()));
    }
    const keys = store.keys('audit/decisions/').length;
    assert.equal(keys, DECISION_SLOTS + 1);
    const history = await read();
    assert.equal(history.batches.length, DECISION_SLOTS);
    assert.equal(history.batches.at(-1)?.sequence, 2 * (DECISION_SLOTS + 20));
  });

  it('reports a batch that was claimed but never written as missing', async () => {
    const failing = newLog('daemon-1');
    store.fault = (operation, key) =>
      operation === 'put' && !key.endsWith('/head') ? 'down' : 'none';
    failing.record('start', 'job-1', '');
    await failing.flush();
    store.fault = () => 'none';
    const next = newLog('daemon-2');
    next.record('start', 'job-2', '');
    await next.flush();
    const history = await read();
    assert.deepEqual(history.missingSequences, [1]);
    assert.deepEqual(subjects(history), ['job-2']);
  });

  it('does not overwrite a newer batch with a late one', async () => {
    const late = newLog('daemon-1');
    store.fault = (operation, key) =>
      operation === 'put' && !key.endsWith('/head') ? 'down' : 'none';
    late.record('start', 'late', '');
    await late.flush();
    store.fault = () => 'none';
    const next = newLog('daemon-2');
    for (let i = 0; i < DECISION_SLOTS; i += 1) {
      next.record('start', `job-${i}`, '');
      await next.flush();
    }
    await late.flush();
    await late.flush();
    const history = await read();
    assert.deepEqual(history.missingSequences, []);
    assert.deepEqual(subjects(history).slice(-2), ['job-63', 'late']);
  });

  it('writes pending decisions when the daemon stops', async () => {
    const log = newLog('daemon-1');
    log.start();
    await log.flush();
    log.record('stop', 'job-1', '');
    await scope.close();
    assert.deepEqual(subjects(await read()), ['job-1']);
  });
});

describe('the audit trail of configuration changes', {timeout: 20_000}, () => {
  it('retains the latest changes and reports deleted versions', async () => {
    const scope = new CleanupScope();
    const store = new MemoryStore();
    const controller = newConfigurationController(store, scope, {
      retainedAuditVersions: 16,
    });
    for (let version = 0; version < 60; version += 1) {
      const edit = customerEdit(`customer-${version}`);
      const accepted = await controller.propose(proposal(edit, version));
      assert.ok(accepted.isOk);
    }
    const reader = new AuditReader(store);
    const all = await reader.configurationChanges();
    assert.ok(all.isOk);
    const {changes, missingVersions} = all.value;
    assert.equal(changes.length + missingVersions.length, 60);
    assert.equal(changes.at(-1)?.version, 60);
    // The head (16), two retained segments (16) and the one being filled (8).
    assert.ok(changes.length <= 16 + 16 + 8, `${changes.length} changes`);
    assert.ok(changes.length >= 16);
    const latest = await reader.latestConfigurationChanges(10);
    assert.ok(latest.isOk);
    assert.deepEqual(
      latest.value.changes.map(({version}) => version),
      [51, 52, 53, 54, 55, 56, 57, 58, 59, 60],
    );
    await scope.close();
  });
});
