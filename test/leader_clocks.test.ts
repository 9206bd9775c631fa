/**
 * Times of day that are wrong or change: a job's place in the queue must not
 * depend on the clock of the VM that accepted it, and periods must not change
 * with the leader's own time of day.
 */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {DaemonLog} from '../src/daemon/log.js';
import {JobRegistry} from '../src/leader/jobs/job_registry.js';
import type {InboxSource} from '../src/leader/jobs/job_registry.js';
import {LeaderLog} from '../src/leader/leader_log.js';
import {submittedKey} from '../src/leader/jobs/records.js';
import {SteadyClock} from '../src/lifecycle/clock.js';
import {instant} from '../src/model/ids.js';
import {submission} from './leader_fixture.js';
import {MovableClock} from './movable_clock.js';

const NOW = instant(1_000_000);

/** Returns when the leader considers a job accepted. */
function acceptedAt(submittedAt: number, source: InboxSource): number {
  const registry = new JobRegistry(new LeaderLog(new DaemonLog('a', 'fatal')));
  const job = submission({submittedAt});
  const item = {
    key: submittedKey(job.jobId),
    value: JSON.stringify(job),
    revision: 1,
  };
  registry.applyInboxItems([item], new Map(), source, NOW);
  const accepted = registry.get(job.jobId)?.acceptedAt;
  assert.ok(accepted !== undefined);
  return accepted;
}

describe('a job that another VM accepted', () => {
  it('is not late because that VM is behind', () => {
    assert.equal(acceptedAt(NOW - 2_400, 'watched'), NOW);
  });

  it('is not behind the others because that VM is ahead', () => {
    assert.equal(acceptedAt(NOW + 2_400, 'watched'), NOW);
    assert.equal(acceptedAt(NOW + 2_400, 'listed'), NOW);
  });

  it('keeps its place when a new leader lists it', () => {
    assert.equal(acceptedAt(NOW - 2_400, 'listed'), NOW - 2_400);
  });
});

describe('the clock of a term', () => {
  it('does not jump with the time of day', () => {
    const timeOfDay = new MovableClock();
    const clock = new SteadyClock(timeOfDay);
    const before = clock.now();
    timeOfDay.movedByMs = 2_400;
    const sinceMs = clock.now() - before;
    assert.ok(sinceMs >= 0 && sinceMs < 1_000, `${sinceMs}`);
  });
});
