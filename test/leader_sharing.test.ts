/**
 * Tasks on spare processors beside tasks that serve users: the pure decision
 * on speeds, and the whole path on an emulated site.
 */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {Job, Run} from '../src/leader/jobs.js';
import {PaceController} from '../src/leader/pacing.js';
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

/** Lets a controller see a tail every 800 ms and apply its decisions. */
class PacedWorker {
  readonly serving = running({
    longRunning: true,
    responseTargetMs: 100,
    image: 'web',
  });
  readonly filling = running({usesSpareProcessor: true, image: 'batch'});
  private now = 0;

  constructor(readonly controller = new PaceController()) {}

  /** `tailOf` tells the tail at a speed of the filling task. */
  play(looks: number, tailOf: (percent: number) => number): number[] {
    const percents: number[] = [];
    for (let i = 0; i < looks; i += 1) {
      this.now += 800;
      this.serving.responseTailMs = tailOf(this.filling.pacePercent);
      const changes = this.controller.decide(
        'w',
        [this.serving, this.filling],
        steadyTime(this.now),
      );
      for (const {run, percent} of changes) run.pacePercent = percent;
      percents.push(this.filling.pacePercent);
    }
    return percents;
  }
}

describe('the speed of tasks on spare processors', () => {
  it('falls to nothing within three looks while a target is missed', () => {
    const worker = new PacedWorker();
    const percents = worker.play(3, (percent) => 120 + percent);
    assert.deepEqual(percents.slice(0, 2), [50, 0]);
  });

  it('rises again once the targets are met with room', () => {
    const worker = new PacedWorker();
    worker.play(2, () => 150);
    const percents = worker.play(12, () => 40);
    assert.equal(percents.at(-1), 100);
  });

  it('settles where the target is met', () => {
    const worker = new PacedWorker();
    const percents = worker.play(60, (percent) => 40 + percent);
    const harmed = percents.filter((percent) => 40 + percent > 100).length;
    assert.ok(harmed < 30, `${harmed} of 60 looks were over the target`);
    assert.ok(percents.some((percent) => percent > 0));
  });

  it('is not kept at nothing for a load that is the task’s own', () => {
    // Work beside a task that misses its target anyway would never end.
    const worker = new PacedWorker();
    const percents = worker.play(40, () => 150);
    const working = percents.filter((percent) => percent === 100).length;
    assert.ok(working >= 12, `${working} of 40 looks at full speed`);
  });

  it('begins low beside an image that it disturbed elsewhere', () => {
    const first = new PacedWorker();
    first.play(2, () => 150);
    const next = running({usesSpareProcessor: true, image: 'batch'});
    const neighbours = [first.serving];
    const percent = first.controller.initialPercent(
      next,
      neighbours,
      steadyTime(1_700),
    );
    assert.ok(percent <= 55, `it begins at ${percent}`);
    const other = running({usesSpareProcessor: true, image: 'quiet'});
    assert.equal(
      first.controller.initialPercent(other, neighbours, steadyTime(1_700)),
      100,
    );
  });
});

describe('a leader with serving and filling tasks', () => {
  it('keeps targets, and finishes the work on spare processors', async () => {
    // The ledger reports HARM after 4 s over a target by others' doing.
    const fixture = new LeaderFixture(1, 1);
    const leader = await fixture.startLeader();
    for (const worker of fixture.site.workers.values()) {
      worker.faults.disturbance = 0.5;
    }
    const serving = fixture.submit(
      submission({
        steps: [step({longRunning: true, responseTargetMs: 100, image: 'web'})],
      }),
      1,
    );
    const filling = fixture.submit(
      submission({
        steps: [step({usesSpareProcessor: true, taskCount: 2, image: 'b'})],
      }),
      4_500,
    );
    await until(
      'the work on spare processors is done',
      () => leader.leadership.session?.stateOf(filling) === 'complete',
    );
    await delay(200);
    fixture.cancel(serving);
    await until(
      'the serving task is gone',
      () => leader.leadership.session?.stateOf(serving) === 'cancelled',
    );
    const {violations} = fixture.site.ledger;
    await fixture.close();
    assert.deepEqual(violations, []);
  });
});
