/** Tests that the entry daemon rejects invalid settings at start. */

import assert from 'node:assert/strict';
import {mkdtemp, readFile, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, describe, it} from 'node:test';
import {
  entrySettingsSchema,
  readEntrySettings,
  usesWorkerSpeeds,
} from '../src/entry/settings.js';

const TEMPLATE = 'deploy/settings.json';

const VALID = {
  vmId: 'entry-1',
  availabilityZone: 'zone-1',
  callerAddress: '10.0.0.1:8000',
  readinessAddress: '10.0.0.1:8001',
  peerHost: '10.0.0.1',
  peerPort: 7000,
  storeAddress: '10.0.0.9:8000',
  vmService: {
    address: '10.0.0.8:8000',
    maintenanceS: 2,
    noticeMs: 4_500,
    handoverMs: 3_000,
  },
  cores: 0.5,
  linkMbps: 100,
  workerLeaseMs: 6_000,
  stateRetentionS: 120,
  stopGraceS: 6,
};

describe('settings of the entry daemon', () => {
  let folder: string;

  before(async () => {
    folder = await mkdtemp(join(tmpdir(), 'bramleystep-settings-'));
  });

  after(() => rm(folder, {recursive: true}));

  const errorOf = async (text: string): Promise<string> => {
    const path = join(folder, 'settings.json');
    await writeFile(path, text);
    const read = await readEntrySettings(path);
    return read.isErr ? read.error.message : 'no error';
  };

  it('are accepted when complete, with or without a VM service', async () => {
    assert.equal(await errorOf(JSON.stringify(VALID)), 'no error');
    const without = {...VALID, vmService: undefined};
    assert.equal(await errorOf(JSON.stringify(without)), 'no error');
  });

  it('turn the placement by speeds on where moving a run takes long', () => {
    const isOn = (changes: object): boolean =>
      usesWorkerSpeeds(entrySettingsSchema.parse({...VALID, ...changes}));
    const runs = {stopMs: 400, restoreMs: 250, checkpointIntervalS: 1};
    const slow = {workerRuns: {...runs, stopMs: 800}};
    assert.ok(!isOn({}));
    assert.ok(!isOn({workerRuns: runs}));
    assert.ok(isOn(slow));
    assert.ok(!isOn({...slow, speedPlacement: 'off'}));
    assert.ok(isOn({speedPlacement: 'on'}));
  });

  it('are rejected with the field and the remedy', async () => {
    const cases: Array<[object, RegExp]> = [
      [{...VALID, callerAddress: 'nowhere'}, /callerAddress.*use host:port/],
      [{...VALID, workerLeaseMs: -1}, /workerLeaseMs/],
      [{...VALID, vmService: {address: 'a:1'}}, /vmService\.maintenanceS/],
      [{...VALID, storeAdress: 'a:1'}, /storeAdress/],
    ];
    for (const [settings, pattern] of cases) {
      const message = await errorOf(JSON.stringify(settings));
      assert.match(message, pattern);
      assert.match(message, /correct the settings file/);
    }
    assert.match(await errorOf('{'), /write a readable JSON file/);
  });

  it('all occur in the template that the platform renders', async () => {
    const template = await readFile(TEMPLATE, 'utf8');
    for (const name of Object.keys(entrySettingsSchema.shape)) {
      assert.ok(template.includes(`"${name}":`), `${name} is missing`);
    }
  });
});
