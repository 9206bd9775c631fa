/**
 * Guards against configurations that differ from the customer's questionnaire,
 * and against errors that do not say which field to correct and how.
 */

import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {configurationEditSchema} from '../src/model/configuration.js';
import {
  parseQuestionnaire,
  parseQuestionnaireText,
  questionnaireToEdit,
} from '../src/model/questionnaire.js';

const CUSTOMER = JSON.parse(`{
  "kind": "customer", "id": "guild", "name": "Guild of the Valley",
  "guaranteed": [
    {"availabilityZone": "fv-1", "accelerators": 96, "adjacentBlock": 32},
    {"availabilityZone": "fv-2", "accelerators": 4, "adjacentBlock": 1}
  ],
  "mostAcceleratorsAtOnce": 128,
  "work": [
    {"kind": "long job", "name": "bake", "tasks": 4, "acceleratorsPerTask": 8,
     "usualRunTimeMinutes": 45, "when": "can wait"},
    {"kind": "short request", "name": "check", "mayBeRepeated": true,
     "billed": false, "callerWaitsSeconds": 2},
    {"kind": "short request", "name": "scan", "mayBeRepeated": true,
     "billed": true, "callerWaitsSeconds": 30}
  ],
  "mostRequestsPerSecond": 20
}`) as Record<string, unknown>;

function convert(value: unknown) {
  return parseQuestionnaire(value).andThen(questionnaireToEdit);
}

/** Returns the customer's form with the field at `path` replaced. */
function withField(path: string, value: unknown): unknown {
  const copy = structuredClone(CUSTOMER);
  const names = path.split('.');
  const last = names.pop() ?? '';
  let target = copy;
  for (const name of names) target = target[name] as Record<string, unknown>;
  target[last] = value;
  return copy;
}

test('a customer questionnaire converts to cells, limits and classes', () => {
  const edit = convert(CUSTOMER);
  assert.ok(edit.isOk && edit.value.kind === 'set-customer');
  const {customer, workClasses} = edit.value;
  assert.deepEqual(customer.guarantees, [
    {availabilityZone: 'fv-1', cellSize: 32, cells: 3},
    {availabilityZone: 'fv-2', cellSize: 1, cells: 4},
  ]);
  assert.equal(customer.acceleratorCeiling, 128);
  assert.deepEqual(customer.requestLimits, {
    requestsPerSecond: 20,
    burst: 20,
    concurrency: 600,
  });
  assert.deepEqual(workClasses[0], {
    kind: 'job',
    id: 'bake',
    customerId: 'guild',
    shape: {tasks: 4, acceleratorsPerTask: 8},
    declaredRunTimeMs: 2_700_000,
    urgency: 'normal',
  });
});

test('a billed request is not repeatable even if the form says so', () => {
  fc.assert(
    fc.property(fc.boolean(), fc.boolean(), (mayBeRepeated, billed) => {
      const form = withField('work.1', {
        kind: 'short request',
        name: 'any',
        mayBeRepeated,
        billed,
        callerWaitsSeconds: 1,
      });
      const edit = convert(form);
      assert.ok(edit.isOk && edit.value.kind === 'set-customer');
      const workClass = edit.value.workClasses[1];
      assert.ok(workClass?.kind === 'request');
      assert.equal(workClass.repeatable, mayBeRepeated && !billed);
    }),
    {seed: 11, numRuns: 20},
  );
});

test('an error names the field and what to write instead', () => {
  const cases: Array<[string, unknown, string, RegExp]> = [
    ['guaranteed.0.accelerators', 100, '', /write 96 or 128/],
    ['guaranteed.0.adjacentBlock', 12, '', /write one of 1, 2, 4/],
    ['guaranteed.1.availabilityZone', 4, '', /correct questionnaire/],
    ['mostAcceleratorsAtOnce', 99, '', /write at least 100/],
    ['work.0.tasks', 64, '', /write fewer tasks/],
    ['work.2.name', 'check', '', /own name/],
    ['work.1.billed', 'no', '', /correct questionnaire/],
    ['mostRequestsPerSecond', undefined, '', /write the highest number/],
    ['weigth', 2, ' ', /correct questionnaire/],
  ];
  for (const [path, value, field, remedy] of cases) {
    const edit = convert(withField(path, value));
    assert.ok(edit.isErr, path);
    const expected = field === ' ' ? 'questionnaire' : `questionnaire.${path}`;
    assert.equal(edit.error.field, expected);
    assert.match(edit.error.remedy, remedy);
  }
});

test('a site without weights or with a repeated zone is rejected', () => {
  const site = {
    kind: 'site',
    name: 'Fraser Valley',
    availabilityZones: ['fv-1', 'fv-2'],
    completionTimeWeight: 2,
    fragmentationWeight: 1,
  };
  const edit = convert(site);
  assert.ok(edit.isOk && edit.value.kind === 'set-site');
  assert.equal(edit.value.site.completionTimeWeight, 2);
  const unweighted = convert({
    ...site,
    completionTimeWeight: 0,
    fragmentationWeight: 0,
  });
  assert.ok(unweighted.isErr);
  const twice = convert({...site, availabilityZones: ['fv-1', 'fv-1']});
  assert.ok(twice.isErr);
  assert.equal(twice.error.field, 'questionnaire.availabilityZones.1');
  assert.ok(parseQuestionnaireText('{').isErr);
});

test('every accepted guarantee converts to a valid edit', () => {
  const entry = fc.record({
    accelerators: fc.integer({min: 1, max: 600}),
    adjacentBlock: fc.integer({min: 1, max: 64}),
  });
  fc.assert(
    fc.property(entry, (guarantee) => {
      const edit = convert({
        ...CUSTOMER,
        mostAcceleratorsAtOnce: 1_000,
        guaranteed: [{availabilityZone: 'fv-1', ...guarantee}],
      });
      if (edit.isErr) return;
      const parsed = configurationEditSchema.parse(edit.value);
      assert.ok(parsed.kind === 'set-customer');
      const [cell] = parsed.customer.guarantees;
      assert.equal(
        (cell?.cells ?? 0) * (cell?.cellSize ?? 0),
        guarantee.accelerators,
      );
    }),
    {seed: 12, numRuns: 300},
  );
});
