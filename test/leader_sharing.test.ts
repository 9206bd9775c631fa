/**
 * Best-effort tasks, which use spare processors, beside serving tasks: the pace
 * controller alone, and a leader on an emulated site.
 */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {Job} from '../src/leader/jobs/jobs.js';
import {Run} from '../src/leader/jobs/runs.js';
import {PaceController} from '../src/leader/workers/pacing.js';
import {steadyTime} from '../src/lifecycle/clock.js';
import {instant, trustedId} from '../src/model/ids.js';
import type {Step} from '../src/model/submissions.js';
import {LeaderFixture, step, submission, until} from './leader_fixture.js';

function running(changes: Partial<Step>): Run {
  const [unit] = new Job(submission({steps: [step(changes)]}), instant(0))
    .units;
  assert.ok(unit !== undefined);
  const run = new Run(unit, 0, 1, trustedId('w'), 1, instant(0));
  run.phase = 'running';
  return run;
}

/** Reports a tail latency to a controller every 800 ms and applies its pace. */
class PacedWorker {
  readonly serving = running({
    longRunning: true,
    responseTargetMs: 100,
    image: 'web',
  });
  readonly bestEffort = running({usesSpareProcessor: true, image: 'batch'});
  private now = 0;

  constructor(readonly controller = new PaceController()) {}

  /**
   * Runs `renewals` lease renewals and returns the pace after each one.
   * `tailMsAt` returns the tail latency at a pace of the best-effort task.
   */
  simulate(renewals: number, tailMsAt: (percent: number) => number): number[] {
    const percents: number[] = [];
    for (let i = 0; i < renewals; i += 1) {
      this.now += 800;
      this.serving.responseTailMs = tailMsAt(this.bestEffort.pacePercent);
      const changes = this.controller.decide(
        'w',
        [this.serving, this.bestEffort],
        steadyTime(this.now),
      );
      for (const {run, percent} of changes) run.pacePercent = percent;
      percents.push(this.bestEffort.pacePercent);
    }
    return percents;
  }
}

describe('the pace of best-effort tasks', () => {
  it('falls to 0 within three lease renewals while a target is missed', () => {
    const worker = new PacedWorker();
    const percents = worker.simulate(3, (percent) => 120 + percent);
    assert.deepEqual(percents.slice(0, 2), [50, 0]);
  });

  it('rises to full pace once the targets are met with a margin', () => {
    const worker = new PacedWorker();
    worker.simulate(2, () => 150);
    const percents = worker.simulate(12, () => 40);
    assert.equal(percents.at(-1), 100);
  });

  it('settles at a pace that meets the target', () => {
    const worker = new PacedWorker();
    const percents = worker.simulate(60, (percent) => 40 + percent);
    const missed = percents.filter((percent) => 40 + percent > 100).length;
    assert.ok(
      missed < 30,
      `${missed} of 60 lease renewals were over the target`,
    );
    assert.ok(percents.some((percent) => percent > 0));
  });

  it('does not stay at 0 if the serving task’s own load misses the target', () => {
    // Otherwise best-effort work beside such a task would never end.
    const worker = new PacedWorker();
    const percents = worker.simulate(40, () => 150);
    const atFullPace = percents.filter((percent) => percent === 100).length;
    assert.ok(
      atFullPace >= 12,
      `${atFullPace} of 40 lease renewals at full pace`,
    );
  });

  it('starts low beside an image that it interfered with on another worker', () => {
    const first = new PacedWorker();
    first.simulate(2, () => 150);
    const next = running({usesSpareProcessor: true, image: 'batch'});
    const neighbours = [first.serving];
    const percent = first.controller.initialPercent(
      next,
      neighbours,
      steadyTime(1_700),
    );
    assert.ok(percent <= 55, `it starts at ${percent} %`);
    const other = running({usesSpareProcessor: true, image: 'quiet'});
    assert.equal(
      first.controller.initialPercent(other, neighbours, steadyTime(1_700)),
      100,
    );
  });
});

describe('a leader with serving and best-effort tasks', () => {
  it('keeps response targets and completes the best-effort work', async () => {
    // The ledger reports HARM after 4 s over a target because of interference.
    const fixture = new LeaderFixture(1, 1);
    try {
      const leader = await fixture.startLeader();
      for (const worker of fixture.site.workers.values()) {
        worker.faults.interference = 0.5;
      }
      const serving = fixture.submit(
        submission({
          steps: [
            step({longRunning: true, responseTargetMs: 100, image: 'web'}),
          ],
        }),
        1,
      );
      const bestEffort = fixture.submit(
        submission({
          steps: [step({usesSpareProcessor: true, taskCount: 2, image: 'b'})],
        }),
        4_500,
      );
      await until(
        'the best-effort work is complete',
        () => leader.leadership.session?.stateOf(bestEffort) === 'complete',
      );
      await delay(200);
      fixture.cancel(serving);
      await until(
        'the serving job is cancelled',
        () => leader.leadership.session?.stateOf(serving) === 'cancelled',
      );
    } finally {
      await fixture.close();
    }
    assert.deepEqual(fixture.site.ledger.violations, []);
  });
});
