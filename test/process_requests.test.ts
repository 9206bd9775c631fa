/**
 * Requests through real daemon processes under faults: a non-idempotent
 * request runs at most once, a request reported as "not run" never ran, and
 * every answer is complete and belongs to its request. The results are checked
 * against the minions' run logs.
 */

import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import {after, afterEach, before, describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';
import {Caller} from '../src/harness/caller.js';
import type {RequestRecord} from '../src/harness/caller.js';
import {
  OWNER,
  ZONE_A,
  ZONE_B,
  isRepeatable,
  startSmallSite,
  waitUntil,
} from '../src/harness/example_site.js';
import {reconcileRequests} from '../src/harness/reconciler.js';
import type {SiteFixture} from '../src/harness/site_fixture.js';
import {CleanupScope} from '../src/lifecycle/cleanup_scope.js';

const TOOL = fileURLToPath(new URL('../src/cli/main.js', import.meta.url));
const run = promisify(execFile);
const scope = new CleanupScope();
let site: SiteFixture;

before(async () => {
  site = await startSmallSite(scope, {useFaultProxy: true});
});
after(() => scope.close());

function newCaller(): Caller {
  return new Caller(
    scope,
    site.daemons
      .filter((daemon) => daemon.process.isRunning)
      .map((daemon) => daemon.callers),
  );
}

function scanRequest(key: string, serviceTimeMs = 20) {
  const payload = JSON.stringify({serviceTimeMs, key});
  return {customerId: OWNER, workClassId: 'scan', payload, key};
}

function checkRequest(name: string, serviceTimeMs = 20) {
  const payload = JSON.stringify({serviceTimeMs, name});
  return {customerId: OWNER, workClassId: 'check', payload};
}

async function reconcile(callers: readonly Caller[]) {
  await waitUntil('all minions are idle', async () => {
    const states = await Promise.all(
      site.minions.map(({admin}) => admin.status()),
    );
    return states.every((state) => state.running === 0 && state.waiting === 0);
  });
  return reconcileRequests(
    callers.flatMap((caller) => caller.requests),
    site.minions.flatMap(({process}) => process.events),
    isRepeatable,
  );
}

/** Sends each of `count` keys through two daemons at the same time. */
async function sendPairs(prefix: string, count: number, caller: Caller) {
  const [first, second] = site.daemons.filter(({process}) => process.isRunning);
  assert.ok(first && second);
  const sent: Array<Promise<RequestRecord>> = [];
  for (let index = 0; index < count; index += 1) {
    const request = scanRequest(`${prefix}-${index}`);
    sent.push(caller.send(request, first.callers));
    sent.push(caller.send(request, second.callers));
  }
  return Promise.all(sent);
}

describe('a billed scan', () => {
  it('runs once when its key reaches two entry VMs concurrently', async () => {
    const caller = newCaller();
    await sendPairs('twice', 30, caller);
    const result = await reconcile([caller]);
    assert.deepEqual(result.violations, []);
    assert.ok(result.answered >= 30, JSON.stringify(result));
  });

  it('runs at most once when the store loses answers to writes', async () => {
    const caller = newCaller();
    await site.platformAdmin.setStoreFaults({loseWriteAnswers: 6});
    await sendPairs('lost', 30, caller);
    await site.platformAdmin.setStoreFaults({});
    const result = await reconcile([caller]);
    assert.deepEqual(result.violations, []);
    assert.ok(result.answered >= 30, JSON.stringify(result));
  });

  it('is refused and not run while the store is unavailable', async () => {
    const caller = newCaller();
    await site.platformAdmin.setStoreFaults({down: true});
    const records = await sendPairs('away', 5, caller);
    await site.platformAdmin.setStoreFaults({});
    for (const {outcome} of records) {
      assert.equal(outcome?.outcome, 'notRun', JSON.stringify(outcome));
    }
    assert.deepEqual((await reconcile([caller])).violations, []);
  });

  it('runs once when it is sent again after the store has recovered', async () => {
    const caller = newCaller();
    await waitUntil('a scan is answered again', async () => {
      const {outcome} = await caller.send(scanRequest('back'));
      return outcome?.outcome === 'answered';
    });
    assert.deepEqual((await reconcile([caller])).violations, []);
  });
});

describe('an answer of a faulty minion', () => {
  afterEach(async () => {
    await Promise.all(site.minions.map(({admin}) => admin.setFaults({})));
  });

  for (const answers of ['truncated', 'foreign', 'wrong-digest'] as const) {
    it(`does not reach a caller when it is ${answers}`, async () => {
      const caller = newCaller();
      await Promise.all(
        site.minions.map(({admin}) => admin.setFaults({answers})),
      );
      await Promise.all(
        [1, 2, 3, 4].map((n) => caller.send(scanRequest(`${answers}-${n}`))),
      );
      const result = await reconcile([caller]);
      assert.deepEqual(result.violations, []);
      assert.equal(result.answered, 0);
      assert.equal(result.unknown, 4);
    });
  }

  it('does not affect requests to healthy minions', async () => {
    const caller = newCaller();
    const [faulty] = site.minions.filter(
      ({vm}) => vm.availabilityZone === ZONE_A,
    );
    await faulty?.admin.setFaults({answers: 'never-ending'});
    await Promise.all(
      Array.from({length: 40}, (_, n) =>
        caller.send(checkRequest(`healthy-${n}`)),
      ),
    );
    const result = await reconcile([caller]);
    assert.deepEqual(result.violations, []);
    assert.ok(result.answered >= 30, JSON.stringify(result));
  });

  it('is unknown for a scan whose minion runs it without answering', async () => {
    const caller = newCaller();
    await Promise.all(
      site.minions.map(({admin}) =>
        admin.setFaults({answers: 'silent-after-run'}),
      ),
    );
    const first = await caller.send(scanRequest('silent'));
    assert.equal(first.outcome?.outcome, 'unknown');
    await Promise.all(site.minions.map(({admin}) => admin.setFaults({})));
    // The retry must not run the scan again, although the minions are healthy.
    const second = await caller.send(scanRequest('silent'));
    assert.equal(second.outcome?.outcome, 'unknown');
    const result = await reconcile([caller]);
    assert.deepEqual(result.violations, []);
  });
});

describe('a connection between daemons that becomes unresponsive', () => {
  it('is replaced without a second run or a false "not run"', async () => {
    const caller = newCaller();
    const [first, second] = site.daemonsInZone(ZONE_A);
    assert.ok(first && second);
    const load = Array.from({length: 60}, async (_, n) => {
      await scope.sleep(n * 20);
      return caller.send(scanRequest(`frozen-${n}`), first.callers);
    });
    await scope.sleep(200);
    await site.faultProxy.setFaults(`peers-${second.vmId}`, {freeze: 'both'});
    await scope.sleep(300);
    await site.faultProxy.heal(`peers-${second.vmId}`);
    await Promise.all(load);
    const result = await reconcile([caller]);
    assert.deepEqual(result.violations, []);
    await waitUntil('scans are answered again', async () => {
      const {outcome} = await caller.send(
        scanRequest(`after-${Math.random()}`),
      );
      return outcome?.outcome === 'answered';
    });
  });
});

describe('an entry VM that is killed under load', () => {
  it('causes no second run of a key and no false "not run"', async () => {
    const caller = newCaller();
    const killed = site.daemonsInZone(ZONE_B)[0];
    const other = site.daemonsInZone(ZONE_B)[1];
    assert.ok(killed && other);
    const load = Array.from({length: 80}, async (_, n) => {
      await scope.sleep(n * 10);
      const request = scanRequest(`killed-${n}`, 50);
      const {outcome} = await caller.send(request, killed.callers);
      if (outcome?.outcome === 'answered') return;
      // The outcome is unknown to the caller, which retries at the other VM.
      await caller.send(request, other.callers);
    });
    await scope.sleep(400);
    await killed.process.kill();
    await Promise.all(load);
    const result = await reconcile([caller]);
    assert.deepEqual(result.violations, []);
    assert.ok(
      result.unanswered > 0,
      'all requests were answered before the kill',
    );
  });
});

describe('the explanation of a request', () => {
  const explain = async (customer: string, workClass: string) => {
    const address = site.daemons[0]?.operators ?? '';
    const names = ['--customer', customer, '--class', workClass];
    const parameters = ['requests', 'explain', ...names, '--daemon', address];
    return run(process.execPath, [TOOL, ...parameters]).then(
      ({stdout}) => ({code: 0, output: stdout}),
      (error: {code: number; stderr: string}) => ({
        code: error.code,
        output: error.stderr,
      }),
    );
  };

  it('names the minions, or the problem with exit code 1', async () => {
    const told = await explain(OWNER, 'check');
    assert.equal(told.code, 0);
    assert.match(told.output, /admitted[^]*minions considered: [1-9]/);
    const unknownClass = await explain(OWNER, 'nothing');
    assert.equal(unknownClass.code, 1);
    assert.match(unknownClass.output, /no work class nothing; name a customer/);
  });
});

describe('a planned stop under load', () => {
  it('answers every request in progress', async () => {
    const caller = newCaller();
    const stopping = site.daemonsInZone(ZONE_A)[0];
    assert.ok(stopping);
    const load = Array.from({length: 30}, (_, n) =>
      caller.send(scanRequest(`stop-${n}`, 400), stopping.callers),
    );
    await waitUntil('requests are running', () =>
      site.minions.some(({process}) =>
        process.events.some(
          (event) => event.event === 'runStarted' && event.at > 0,
        ),
      ),
    );
    stopping.process.signal('SIGTERM');
    const records = await Promise.all(load);
    const exit = await stopping.process.exited;
    assert.equal(exit.code, 0);
    for (const {outcome} of records) {
      assert.ok(outcome, 'a request was interrupted');
    }
    assert.deepEqual((await reconcile([caller])).violations, []);
  });
});
