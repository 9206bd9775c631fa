/**
 * A fuel stop with real processes: jobs that would outlast the fuel are
 * checkpointed and set aside in the store, and resume when grid power returns.
 */

import assert from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';
import {OperatorClient} from '../src/cli/operator_client.js';
import {Caller} from '../src/harness/caller.js';
import {
  OWNER,
  SMALL_FLEET,
  ZONE_A,
  startSmallSite,
  waitUntil,
} from '../src/harness/example_site.js';
import type {SiteFixture} from '../src/harness/site_fixture.js';
import {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import {instant, randomId} from '../src/model/ids.js';
import type {ChangeId, JobId} from '../src/model/ids.js';
import type {PowerState} from '../src/model/configuration.js';
import {jobRecordSchema} from '../src/model/jobs.js';

const STATE_WAIT_LIMIT_MS = 30_000;
/** Enough for the reserve of ten minutes, but not for a job of one minute. */
const SCARCE_KILOWATT_HOURS = 2.2;

const scope = new CleanupScope();
let site: SiteFixture;
let caller: Caller;

before(async () => {
  site = await startSmallSite(scope, {}, SMALL_FLEET);
  caller = new Caller(
    scope,
    site.daemonsInZone(ZONE_A).map(({callers}) => callers),
  );
});
after(() => scope.close());

async function setPower(power: PowerState): Promise<void> {
  const [daemon] = site.daemons;
  assert.ok(daemon);
  const changed = await new OperatorClient(daemon.operators).setPower({
    changeId: randomId<ChangeId>('change'),
    author: 'test',
    power,
  });
  assert.ok(changed.isOk, JSON.stringify(changed));
}

async function storedRecord(jobId: JobId) {
  const entries = await site.platformAdmin.dumpStore();
  const entry = entries.find(({key}) => key === `jobs/${ZONE_A}/${jobId}`);
  assert.ok(entry, `job ${jobId} is not in the store`);
  return jobRecordSchema.parse(JSON.parse(entry.value));
}

function submit(runTimeMs: number) {
  return caller.submitJob({
    customerId: OWNER,
    workClassId: 'pair',
    availabilityZone: ZONE_A,
    payload: JSON.stringify({runTimeMs}),
  });
}

describe('a fuel stop', () => {
  it('checkpoints a running job, sets it aside in the store and resumes it', async () => {
    const job = await submit(6_000);
    assert.ok(job);
    const {jobId} = job;
    await caller.waitForJob(
      jobId,
      ({state}) => state === 'running',
      STATE_WAIT_LIMIT_MS,
    );
    await setPower({
      supply: 'generator',
      fuelKilowattHours: SCARCE_KILOWATT_HOURS,
      measuredAt: instant(Date.now()),
    });
    await waitUntil('the job is set aside in the store', async () => {
      return (await storedRecord(jobId)).state === 'setAside';
    });
    const setAsideRecord = await storedRecord(jobId);
    assert.ok(setAsideRecord.checkpoint, 'the job has no checkpoint');

    const waitingJob = await submit(500);
    assert.ok(waitingJob);
    const [daemon] = site.daemonsInZone(ZONE_A);
    assert.ok(daemon);
    await waitUntil('the explanation of the job names the fuel', async () => {
      const report = await new OperatorClient(daemon.operators).job(
        waitingJob.jobId,
      );
      return (
        report.isOk && /fuel/.test(report.value.explanation?.summary ?? '')
      );
    });

    await setPower({supply: 'grid'});
    for (const id of [jobId, waitingJob.jobId]) {
      await caller.waitForJob(
        id,
        ({state}) => state === 'finished',
        STATE_WAIT_LIMIT_MS,
      );
    }
    const resumed = site.workers
      .flatMap(({process}) => process.events)
      .filter((event) => event.event === 'released' && event.checkpoint);
    assert.equal(resumed.length, 2, 'both tasks resume from the checkpoint');
  });
});
