/**
 * Tests which calls the gateway accepts, refuses and forwards, and that it
 * never reports a write as not accepted while its outcome is unknown.
 */

import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {Result} from 'true-myth';
import {noStoreFaults} from '../emulator/faults.js';
import {EmulatedSite, EmulatedStore} from '../emulator/site.js';
import {DaemonLog} from '../src/daemon/log.js';
import {CallerGateway} from '../src/entry/caller_gateway.js';
import type {
  CallerAnswer,
  CallerCall,
  ForwardOutcome,
  LeaderQuery,
  LeaderReply,
} from '../src/entry/calls.js';
import {LeaderQueryHandler, SitePeers} from '../src/entry/calls.js';
import {ConfigurationFeed} from '../src/entry/configuration_feed.js';
import {
  MEMBER_PREFIX,
  cancelledKey,
  submittedKey,
} from '../src/leader/jobs/records.js';
import {SiteView} from '../src/leader/site_view.js';
import {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import {SystemClock, steadyNow} from '../src/lifecycle/clock.js';
import {SeededRandom} from '../src/lifecycle/random.js';
import {instant, trustedId} from '../src/model/ids.js';
import type {CustomerId, JobId} from '../src/model/ids.js';
import type {HostedConfiguration} from '../src/model/queues.js';
import {ConfigurationSource} from '../src/interfaces/configuration_source.js';
import type {
  ConfigurationListing,
  ConfigurationWatchAnswer,
} from '../src/interfaces/configuration_source.js';
import {UnavailableError} from '../src/model/errors.js';
import type {StoreReadFailure} from '../src/interfaces/coordination_store.js';
import {configuration, step, submission, until} from './leader_fixture.js';

const JOB_ID = '00000000000000aa' as JobId;

/** Delivers versions that a test publishes; `isDown` fails every watch. */
class TestConfigurationSource extends ConfigurationSource {
  isDown = false;
  private waiting: HostedConfiguration[] = [];

  publish(next: HostedConfiguration): void {
    this.waiting.push(next);
  }

  override list(): Promise<Result<ConfigurationListing, StoreReadFailure>> {
    return Promise.resolve(
      this.isDown
        ? Result.err(new UnavailableError('down', 'wait'))
        : Result.ok({configuration: configuration(5), revision: 1}),
    );
  }

  override async watch(): Promise<
    Result<ConfigurationWatchAnswer, StoreReadFailure>
  > {
    await delay(20);
    if (this.isDown) return Result.err(new UnavailableError('down', 'wait'));
    const changes = this.waiting;
    this.waiting = [];
    return Result.ok({kind: 'changes', changes, revision: 1});
  }
}

class TestPeers extends SitePeers {
  readonly forwarded: string[] = [];
  readonly calls: CallerCall[] = [];
  answer: CallerAnswer | undefined;
  /** What becomes of a call if there is no answer. */
  failure: 'notSent' | 'unanswered' = 'unanswered';
  reply: LeaderReply | undefined;

  override ask(): Promise<LeaderReply | undefined> {
    return Promise.resolve(this.reply);
  }

  override relay(): Promise<undefined> {
    return Promise.resolve(undefined);
  }

  override forward(
    address: string,
    forwarded: CallerCall,
  ): Promise<ForwardOutcome> {
    this.forwarded.push(address);
    this.calls.push(forwarded);
    const {answer, failure} = this;
    return Promise.resolve(
      answer === undefined ? {kind: failure} : {kind: 'answered', answer},
    );
  }
}

class TestQueryHandler extends LeaderQueryHandler {
  reply: LeaderReply = {kind: 'unknown'};

  override answer(_query: LeaderQuery): LeaderReply {
    return this.reply;
  }
}

describe('caller gateway', () => {
  let scope: CleanupScope;
  let site: EmulatedSite;
  let source: TestConfigurationSource;
  let gateway: CallerGateway;
  const faults = noStoreFaults();
  let peers: TestPeers;
  let queryHandler: TestQueryHandler;

  beforeEach(async () => {
    scope = new CleanupScope();
    site = new EmulatedSite({
      racks: 1,
      workersPerRack: 1,
      acceleratorsPerWorker: 1,
      holdMaximumMs: 1_000,
    });
    Object.assign(faults, noStoreFaults());
    const random = new SeededRandom(1);
    const store = new EmulatedStore(site.store, faults, random);
    const log = new DaemonLog('test', 'fatal');
    source = new TestConfigurationSource();
    const feed = new ConfigurationFeed(source, scope, log.component('entry'));
    const view = new SiteView(store, scope, log.component('membership'));
    peers = new TestPeers();
    queryHandler = new TestQueryHandler();
    gateway = new CallerGateway(
      {
        store,
        feed,
        site: view,
        queryHandler,
        peers,
        clock: new SystemClock(),
        random,
        log: log.component('entry'),
        scope,
        limits: {maximumWorkBytes: 100_000, maximumValueBytes: 10_000},
      },
      'own:1',
    );
    site.store.put(
      `${MEMBER_PREFIX}other`,
      JSON.stringify({vmId: 'other', address: 'other:1'}),
    );
    await view.start();
    await feed.start();
  });

  afterEach(async () => {
    await scope.close();
    site.close();
  });

  const call = (changes: Partial<CallerCall> = {}): CallerCall => ({
    method: 'submit',
    host: 'patient.example',
    path: `/jobs/${JOB_ID}`,
    key: 'owner-key',
    request: {
      specification: 'text',
      steps: [step()],
      occurrences: 0,
      firstDueAt: 0,
      intervalMs: 0,
    },
    ...changes,
  });

  const handle = (changes: Partial<CallerCall> = {}, isForwarded = false) =>
    gateway.handle(call(changes), instant(Date.now()), isForwarded);

  /** Sends the call until it gets such an answer; peers are tried in turn. */
  const handleUntil = async (kind: CallerAnswer['kind']) => {
    while ((await handle()).kind !== kind) await delay(20);
  };

  const isStored = () =>
    site.store.get(submittedKey(trustedId(JOB_ID))) !== undefined;

  it('accepts a job once, however often it is sent', async () => {
    assert.deepEqual(await handle(), {kind: 'accepted'});
    const first = site.store.get(submittedKey(JOB_ID))?.value;
    assert.deepEqual(await handle(), {kind: 'accepted'});
    assert.equal(site.store.get(submittedKey(JOB_ID))?.value, first);
  });

  it('gives final answers for unknown queues, keys and job ids', async () => {
    const kinds = [
      (await handle({host: 'elsewhere.example'})).kind,
      (await handle({key: 'no-key'})).kind,
      (await handle({path: '/jobs/xyz'})).kind,
      (await handle({method: 'read', path: '/jobs/ffffffffffffffff'})).kind,
    ];
    assert.deepEqual(kinds, [
      'noSuchQueue',
      'unknownKey',
      'invalid',
      'noSuchJob',
    ]);
    assert.equal(isStored(), false);
  });

  it('refuses a job that would exhaust the memory of every leader', async () => {
    const request = {
      specification: 'text',
      steps: [step({taskCount: 1_000_000_000})],
      occurrences: 0,
      firstDueAt: 0,
      intervalMs: 0,
    };
    assert.equal((await handle({request})).kind, 'invalid');
    assert.equal(isStored(), false);
  });

  it('refuses a job that the store cannot hold', async () => {
    const steps = Array.from({length: 200}, () => step());
    const request = {...call().request, steps} as CallerCall['request'];
    assert.equal((await handle({request})).kind, 'invalid');
    assert.equal(isStored(), false);
    assert.ok(gateway.isReady(steadyNow()));
  });

  it('stores nothing that the leader has no room for', async () => {
    for (const verdict of ['siteFull', 'shareUsed'] as const) {
      queryHandler.reply = {kind: 'admission', verdict};
      const answers = [await handle(), await handle({method: 'cancel'})];
      for (const answer of answers) {
        assert.equal(answer.kind, 'notAccepted');
        const isOwnShare =
          answer.kind === 'notAccepted' && answer.isOwnShare === true;
        assert.equal(isOwnShare, verdict === 'shareUsed');
      }
    }
    assert.equal(isStored(), false);
    assert.equal(site.store.get(cancelledKey(JOB_ID)), undefined);
    queryHandler.reply = {kind: 'admission', verdict: 'admitted'};
    assert.deepEqual(await handle(), {kind: 'accepted'});
  });

  it('accepts little without a leader, and denies nothing stored', async () => {
    await handle();
    const path = (index: number) => `/jobs/00000000000000${10 + index}`;
    const kinds: string[] = [];
    for (let index = 0; index < 5; index += 1) {
      kinds.push((await handle({path: path(index)})).kind);
    }
    assert.ok(kinds.includes('accepted'));
    assert.equal(kinds.at(-1), 'notAccepted');
    assert.deepEqual(await handle(), {kind: 'accepted'});
  });

  it('shows a job to its own customer only', async () => {
    await handle();
    const own = await handle({method: 'read'});
    const foreign = await handle({method: 'read', key: 'guest-key'});
    assert.deepEqual(own, {kind: 'state', state: 'queued'});
    assert.deepEqual(foreign, {kind: 'noSuchJob'});
  });

  it('does not answer notAccepted for a write that may be applied', async () => {
    faults.lostAnswers = 1;
    assert.equal((await handle()).kind, 'undecided');
    await until('the write is applied', isStored);
  });

  it('forwards a call to a peer while the store refuses this daemon', async () => {
    faults.down = 'refused';
    peers.answer = {kind: 'accepted'};
    assert.deepEqual(await handle(), {kind: 'accepted'});
    assert.deepEqual(peers.forwarded, ['other:1']);
  });

  it('refuses a call that reached no peer, and leaves others undecided', async () => {
    faults.down = 'refused';
    peers.failure = 'notSent';
    assert.equal((await handle()).kind, 'notAccepted');
    assert.equal(isStored(), false);
    peers.failure = 'unanswered';
    await handleUntil('undecided');
  });

  it('refuses a forwarded call without forwarding it again', async () => {
    faults.down = 'refused';
    const answer = await handle({}, true);
    assert.equal(answer.kind, 'notAccepted');
    assert.deepEqual(peers.forwarded, []);
    assert.equal(isStored(), false);
  });

  it('refuses a call immediately after the store has failed', async () => {
    faults.down = 'silent';
    await handle({}, true);
    const startedAt = Date.now();
    const answer = await handle({}, true);
    assert.equal(answer.kind, 'notAccepted');
    assert.ok(Date.now() - startedAt < 20, 'the refusal took 20 ms or more');
  });

  it('accepts no call by a configuration that it cannot confirm', async () => {
    // Otherwise it would accept a key that a newer configuration revokes.
    source.isDown = true;
    await until(
      'the configuration is outdated',
      () => !gateway.isReady(steadyNow()),
    );
    const answer = await handle({key: 'no-key'}, true);
    assert.equal(answer.kind, 'notAccepted');
  });

  it('answers no forwarded call by an older version than its sender', async () => {
    faults.down = 'refused';
    await handle();
    const [sent] = peers.calls;
    assert.equal(sent?.minimumVersion, 5);
    faults.down = undefined;
    const read = {method: 'read', host: 'added.example'} as const;
    const kinds = [
      (await handle({...read, minimumVersion: 6}, true)).kind,
      (await handle({...read, minimumVersion: 5}, true)).kind,
    ];
    assert.deepEqual(kinds, ['notAccepted', 'noSuchQueue']);
  });

  it('never applies an older version after a newer one', async () => {
    source.publish(configuration(4));
    await delay(60);
    const {version} = (
      gateway as unknown as {
        dependencies: {feed: ConfigurationFeed};
      }
    ).dependencies.feed.configuration ?? {version: 0};
    assert.equal(version, 5);
  });

  it('reads a state from the leader, and otherwise from the store', async () => {
    await handle();
    queryHandler.reply = {kind: 'state', state: 'running', customerId: 'owner'};
    const fromLeader = await handle({method: 'read'});
    queryHandler.reply = {kind: 'unknown'};
    const fromStore = await handle({method: 'read'});
    assert.deepEqual(fromLeader, {kind: 'state', state: 'running'});
    assert.deepEqual(fromStore, {kind: 'state', state: 'queued'});
  });

  it('cancels stored jobs only', async () => {
    const path = '/jobs/00000000000000bb';
    assert.equal((await handle({method: 'cancel', path})).kind, 'noSuchJob');
    await handle();
    assert.equal((await handle({method: 'cancel'})).kind, 'cancelled');
    assert.equal((await handle({method: 'cancel'})).kind, 'cancelled');
    assert.deepEqual(await handle({method: 'read'}), {
      kind: 'state',
      state: 'cancelled',
    });
  });

  // Guards against a job that runs after its cancelling was answered.
  it('stores no submission that arrives after its cancellation', async () => {
    const lateMs = 1_000;
    Object.assign(faults, {lostAnswers: 1, lateMs});
    assert.equal((await handle()).kind, 'undecided');
    Object.assign(faults, noStoreFaults());
    await until('it is ready again', () => gateway.isReady(steadyNow()));
    assert.equal((await handle({method: 'cancel'})).kind, 'noSuchJob');
    await delay(lateMs);
    assert.equal(isStored(), false, 'the late write was applied');
    assert.equal((await handle()).kind, 'noSuchJob');
    assert.equal(isStored(), false, 'the repeated submission was stored');
    assert.equal((await handle({method: 'cancel'})).kind, 'noSuchJob');
  });

  it('cancels a job that is stored while its cancelling is handled', async () => {
    const {store} = site;
    const transact = store.transact.bind(store);
    const cancelling = handle({method: 'cancel'});
    store.transact = (transaction) => {
      store.transact = transact;
      const job = submission({customerId: trustedId<CustomerId>('owner')});
      store.put(submittedKey(JOB_ID), JSON.stringify(job));
      return transact(transaction);
    };
    assert.equal((await cancelling).kind, 'cancelled');
    assert.notEqual(store.get(cancelledKey(JOB_ID)), undefined);
  });
});
