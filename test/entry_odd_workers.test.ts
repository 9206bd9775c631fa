/**
 * A daemon process beside entries of another writer in the directory of
 * workers. They name no worker to use, and work goes on with the others.
 */

import assert from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';
import type {HttpPlatform} from '../emulator/http_platform.js';
import type {DaemonProcess} from '../soak/daemon_process.js';
import {submittedKey} from '../src/leader/jobs/records.js';
import {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import {oddWorkerEntries} from '../emulator/odd_workers.js';
import {createDaemonOf, startSmallPlatform} from './entry_process.js';
import {submission, until} from './leader_fixture.js';

describe('a daemon beside odd entries among those of the workers', () => {
  const scope = new CleanupScope();
  let platform: HttpPlatform;
  let daemon: DaemonProcess;

  before(async () => {
    platform = await startSmallPlatform(scope);
    platform.configure({
      version: 1,
      routes: [
        {
          name: 'patient',
          host: 'patient.example',
          pathPrefix: '/jobs/',
          service: 'service',
        },
      ],
    });
    daemon = await createDaemonOf(platform, scope);
    await daemon.start();
  });

  after(() => scope.close());

  async function runJob(): Promise<void> {
    const job = submission();
    const {ledger, store} = platform.site;
    ledger.jobSubmitted(job, 50);
    store.put(submittedKey(job.jobId), JSON.stringify(job));
    await until('the job is done', () => ledger.isJobDone(job.jobId));
  }

  // Guards against leaders whose terms end one after the other.
  it('goes on in the same term, with the other workers', async () => {
    await runJob();
    for (const [name, text] of oddWorkerEntries('service')) {
      platform.site.store.put(`servers/${name}`, text);
      await runJob();
      const elections = daemon.logLines.filter((line) =>
        line.includes('elected for term'),
      );
      assert.equal(elections.length, 1, name);
      assert.ok(daemon.isRunning, name);
    }
  });
});
