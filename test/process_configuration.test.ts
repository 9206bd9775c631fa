/**
 * Configuration changes through real daemon processes under faults: every
 * reachable daemon reaches each accepted version, no daemon's version
 * decreases, and the store's audit trail has each accepted change exactly once.
 */

import assert from 'node:assert/strict';
import {after, afterEach, before, describe, it} from 'node:test';
import {OperatorClient} from '../src/cli/operator_client.js';
import {findAuditViolations} from '../src/harness/audit_checks.js';
import type {AcceptedChange} from '../src/harness/audit_checks.js';
import {
  SMALL_FLEET,
  ZONE_A,
  ZONE_B,
  customerQuestionnaire,
  startSmallSite,
  waitUntil,
} from '../src/harness/example_site.js';
import type {DaemonProcess, SiteFixture} from '../src/harness/site_fixture.js';
import {VersionSampler} from '../src/harness/version_sampler.js';
import {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import {trustedId} from '../src/model/ids.js';

/** Design bound within which reachable daemons apply an accepted change. */
const PROPAGATION_BOUND_MS = 3_000;
/** Allowance for the status calls that read the versions. */
const STATUS_CALLS_ALLOWANCE_MS = 3_000;
/** More changes than the head keeps, so a lagging daemon needs the snapshot. */
const CHANGES_BEYOND_HEAD = 20;

const scope = new CleanupScope();
const accepted: AcceptedChange[] = [];
let site: SiteFixture;
let sampler: VersionSampler;
let changeNumber = 0;

before(async () => {
  site = await startSmallSite(
    scope,
    {useFaultProxy: true},
    {
      ...SMALL_FLEET,
      zones: SMALL_FLEET.zones.map((zone) => ({...zone, minions: 0})),
    },
  );
  sampler = new VersionSampler(site, scope);
});
after(() => scope.close());
afterEach(async () => {
  await site.platformAdmin.setStoreFaults({});
  await Promise.all(
    site.daemons.map(({vmId}) => site.faultProxy.heal(`platform-${vmId}`)),
  );
  await assertInvariants();
});

function daemon(index: number): DaemonProcess {
  const found = site.daemons[index];
  assert.ok(found);
  return found;
}

/** Submits a change once; returns undefined if it was not accepted. */
async function submitOnce(
  through: DaemonProcess,
  customerId: string,
  changeId: string,
  baseVersion?: number,
): Promise<AcceptedChange | undefined> {
  const result = await new OperatorClient(
    through.operators,
  ).submitQuestionnaire({
    changeId: trustedId(changeId),
    author: 'test',
    ...(baseVersion === undefined ? {} : {baseVersion}),
    questionnaire: customerQuestionnaire(customerId, 0),
    checkOnly: false,
  });
  if (result.isErr) return undefined;
  const change = {changeId, version: result.value.version};
  accepted.push(change);
  return change;
}

/** Submits a change, under the same id each time, until it is accepted. */
async function submit(through: DaemonProcess, customerId: string) {
  changeNumber += 1;
  const changeId = `change-${changeNumber}`;
  let change: AcceptedChange | undefined;
  await waitUntil(`${changeId} is accepted`, async () => {
    change = await submitOnce(through, customerId, changeId);
    return change !== undefined;
  });
  assert.ok(change);
  return change;
}

async function waitForVersionOnAll(
  version: number,
  daemons: readonly DaemonProcess[],
): Promise<void> {
  await waitUntil(
    `all daemons have version ${version}`,
    async () => {
      const states = await Promise.all(
        daemons.map(({operators}) => new OperatorClient(operators).status()),
      );
      return states.every(
        (status) => status.isOk && status.value.configurationVersion >= version,
      );
    },
    PROPAGATION_BOUND_MS + STATUS_CALLS_ALLOWANCE_MS,
  );
}

async function assertInvariants(): Promise<void> {
  const newest = Math.max(0, ...accepted.map(({version}) => version));
  await waitForVersionOnAll(newest, site.daemons);
  assert.deepEqual(sampler.violations, []);
  const entries = await site.platformAdmin.dumpStore();
  assert.deepEqual(findAuditViolations(entries, accepted), []);
}

describe('concurrent changes by two operators through different daemons', () => {
  it('are all accepted if they concern different customers', async () => {
    const operator = async (through: DaemonProcess, customerId: string) => {
      for (let n = 0; n < 8; n += 1) await submit(through, customerId);
    };
    await Promise.all([
      operator(daemon(0), 'first'),
      operator(daemon(3), 'second'),
    ]);
  });

  it('are accepted once per pair if they concern the same customer', async () => {
    for (let n = 0; n < 5; n += 1) {
      const baseVersion = Math.max(...accepted.map(({version}) => version));
      await waitForVersionOnAll(baseVersion, site.daemons);
      const results = await Promise.all([
        submitOnce(daemon(0), 'contested', `race-${n}-first`, baseVersion),
        submitOnce(daemon(2), 'contested', `race-${n}-second`, baseVersion),
      ]);
      const count = results.filter((change) => change !== undefined).length;
      assert.equal(count, 1, 'changes of one pair that were accepted');
    }
  });
});

describe('a store', () => {
  it('that loses answers to writes records each accepted change once', async () => {
    for (let n = 0; n < 4; n += 1) {
      await site.platformAdmin.setStoreFaults({loseWriteAnswers: 1});
      await submit(daemon(n % 4), 'first');
    }
    await site.platformAdmin.setStoreFaults({loseWriteAnswers: 4});
    await Promise.all([
      submit(daemon(0), 'first'),
      submit(daemon(3), 'second'),
    ]);
  });

  it('that is slow delays changes and loses none', async () => {
    await site.platformAdmin.setStoreFaults({slowMs: 300});
    await Promise.all([
      submit(daemon(0), 'first'),
      submit(daemon(3), 'second'),
    ]);
  });

  it('that is down has changes refused, and accepted when submitted again', async () => {
    await site.platformAdmin.setStoreFaults({down: true});
    const refused = await submitOnce(daemon(0), 'first', 'change-while-down');
    assert.equal(refused, undefined);
    await site.platformAdmin.setStoreFaults({});
    await waitUntil('the change is accepted', async () => {
      const change = await submitOnce(daemon(3), 'first', 'change-while-down');
      return change !== undefined;
    });
  });
});

describe('a daemon', () => {
  it('that was frozen catches up although its watch is outdated', async () => {
    const frozen = daemon(1);
    frozen.process.signal('SIGSTOP');
    for (let n = 0; n < CHANGES_BEYOND_HEAD; n += 1) {
      await submit(daemon(0), 'first');
    }
    frozen.process.signal('SIGCONT');
  });

  it('without a link to the platform gets changes from peers in its zone', async () => {
    const cut = daemon(1);
    await site.faultProxy.setFaults(`platform-${cut.vmId}`, {cut: true});
    const {version} = await submit(daemon(0), 'first');
    await waitForVersionOnAll(version, [cut]);
  });

  it('in a zone without links to the platform gets changes from other zones', async () => {
    const zone = site.daemonsInZone(ZONE_B);
    await Promise.all(
      zone.map(({vmId}) =>
        site.faultProxy.setFaults(`platform-${vmId}`, {freeze: 'both'}),
      ),
    );
    const {version} = await submit(daemon(0), 'first');
    await waitForVersionOnAll(version, zone);
  });

  it('that starts while the store is down gets the version from peers', async () => {
    const {version} = await submit(daemon(0), 'first');
    await site.platformAdmin.setStoreFaults({down: true});
    const started = await site.startDaemon('zone-a-entry-3', ZONE_A);
    await waitForVersionOnAll(version, [started]);
  });
});
