/**
 * Guards against fuel running out while a job still runs, and against setting
 * guaranteed jobs aside shortly before their end.
 */

import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import type {JobId} from '../src/model/ids.js';
import {instant, trustedId} from '../src/model/ids.js';
import type {PowerPlanJob} from '../src/scheduling/power_plan.js';
import {planForFuel} from '../src/scheduling/power_plan.js';

const MINUTE_MS = 60_000;
const NOW = instant(10 * MINUTE_MS);
/** Watt milliseconds. */
const KILOWATT_HOUR = 3.6e9;

function job(id: string, options: Partial<PowerPlanJob> = {}): PowerPlanJob {
  return {
    jobId: trustedId<JobId>(id),
    guaranteed: false,
    remainingRunTimeMs: 60 * MINUTE_MS,
    drawWatts: 1_000,
    checkpointMs: MINUTE_MS,
    workSinceCheckpoint: 0,
    ...options,
  };
}

const anyJobs = fc
  .array(
    fc.record({
      guaranteed: fc.boolean(),
      remainingRunTimeMs: fc.integer({min: 1, max: 300 * MINUTE_MS}),
      drawWatts: fc.integer({min: 0, max: 6_000}),
      checkpointMs: fc.option(fc.integer({min: 0, max: 5 * MINUTE_MS}), {
        nil: undefined,
        freq: 1,
      }),
      workSinceCheckpoint: fc.nat(),
    }),
    {maxLength: 20},
  )
  .map((jobs) => jobs.map((each, index) => job(`job-${index}`, each)));

test('all jobs end or are set aside before the fuel reserve is used', () => {
  const baseWatts = fc.integer({min: 0, max: 10_000});
  const fuel = fc.integer({min: 0, max: 600}).map((tenths) => tenths / 10);
  fc.assert(
    fc.property(anyJobs, baseWatts, fuel, (jobs, base, fuelKilowattHours) => {
      const draw = base + jobs.reduce((sum, each) => sum + each.drawWatts, 0);
      const measuredAt = instant(0);
      const plan = planForFuel(
        jobs,
        {fuelKilowattHours, measuredAt},
        draw,
        NOW,
      );
      assert.equal(plan.steps.length, jobs.length);
      if (!plan.isSafe) {
        assert.ok(plan.steps.every((step) => step.kind !== 'finish'));
        return;
      }
      // Worst case: every job exceeds its estimate by the margin of 25 % and
      // is then set aside.
      let energy = draw * (NOW - measuredAt + 10 * MINUTE_MS);
      let lastEnd = 0;
      let throttledWatts = 0;
      for (const step of plan.steps) {
        const planned = jobs.find((each) => each.jobId === step.jobId);
        assert.ok(planned !== undefined);
        if (step.kind === 'throttle') {
          throttledWatts += planned.drawWatts * step.share;
          continue;
        }
        const lengthMs = {
          stop: 0,
          checkpoint: planned.checkpointMs ?? Infinity,
          finish:
            planned.remainingRunTimeMs * 1.25 + (planned.checkpointMs ?? 0),
        }[step.kind];
        energy += planned.drawWatts * lengthMs;
        lastEnd = Math.max(lastEnd, lengthMs);
      }
      energy += (base + throttledWatts) * lastEnd;
      const allowed = fuelKilowattHours * KILOWATT_HOUR;
      assert.ok(energy <= allowed * (1 + 1e-9), `${energy} > ${allowed}`);
    }),
    {seed: 20_261_204, numRuns: 3_000},
  );
});

test('a guaranteed job near its end precedes smaller borrowers', () => {
  const near = {guaranteed: true, remainingRunTimeMs: 20 * MINUTE_MS};
  const jobs = [
    job('borrower', {remainingRunTimeMs: 15 * MINUTE_MS}),
    job('near', {...near, drawWatts: 3_000}),
    job('long', {guaranteed: true, remainingRunTimeMs: 600 * MINUTE_MS}),
  ];
  const fuel = {fuelKilowattHours: 2.4, measuredAt: NOW};
  const plan = planForFuel(jobs, fuel, 5_000, NOW);
  assert.deepEqual(
    plan.steps.map((step) => [step.kind, step.jobId]),
    [
      ['checkpoint', 'long'],
      ['checkpoint', 'borrower'],
      ['finish', 'near'],
    ],
  );
});

test('a job that cannot checkpoint is throttled if the fuel suffices', () => {
  const jobs = [
    job('fixed', {checkpointMs: undefined, remainingRunTimeMs: 1e9}),
  ];
  const stepsFor = (fuelKilowattHours: number) =>
    planForFuel(jobs, {fuelKilowattHours, measuredAt: NOW}, 1_500, NOW).steps;
  assert.equal(stepsFor(1)[0]?.kind, 'throttle');
  assert.equal(stepsFor(0.1)[0]?.kind, 'stop');
});

test('a job finishes only if the fuel also covers its checkpoint', () => {
  const jobs = [job('slow', {checkpointMs: 60 * MINUTE_MS})];
  const kindFor = (fuelKilowattHours: number) =>
    planForFuel(jobs, {fuelKilowattHours, measuredAt: NOW}, 10_000, NOW)
      .steps[0]?.kind;
  // 60 min of run time and 15 min margin, 60 min checkpoint, 10 min reserve.
  assert.equal(kindFor(24), 'checkpoint');
  assert.equal(kindFor(25), 'finish');
});
