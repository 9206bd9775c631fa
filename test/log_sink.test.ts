/**
 * Guards against a log that loses lines in normal use, and against a flood of
 * lines that blocks the daemon or is dropped without a report.
 */

import assert from 'node:assert/strict';
import {closeSync, mkdtempSync, openSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {LogSink} from '../src/daemon/log_sink.js';

describe('the log sink', () => {
  let folder: string;
  let file: string;
  let descriptor: number;

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'log-'));
    file = join(folder, 'log');
    descriptor = openSync(file, 'w');
  });

  afterEach(() => {
    closeSync(descriptor);
    rmSync(folder, {recursive: true});
  });

  const readLines = () => readFileSync(file, 'utf8').trim().split('\n');

  it('writes complete lines in order', async () => {
    const sink = new LogSink(descriptor);
    for (let i = 0; i < 500; i += 1) {
      sink.write(`line ${i}\n`);
      if (i % 100 === 0) await delay(1);
    }
    await delay(100);
    const expected = Array.from({length: 500}, (_, i) => `line ${i}`);
    assert.deepEqual(readLines(), expected);
  });

  it('drops lines above the rate limit and reports their number', async () => {
    let now = 5_000;
    const sink = new LogSink(descriptor, () => now);
    for (let i = 0; i < 2_500; i += 1) sink.write(`line ${i}\n`);
    now += 1_000;
    sink.write('after\n');
    await delay(100);
    assert.match(readLines().at(-2) ?? '', /dropped 500 lines/);
    assert.equal(readLines().at(-1), 'after');
  });
});
