/**
 * Runs the operators' tool against daemon processes of a hosted site: status,
 * open jobs, why a job waits, cancellation and exit codes.
 */

import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';
import {DaemonProcess} from '../soak/daemon_process.js';
import {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import {WORKER_LEASE_MS, startSmallPlatform} from './entry_process.js';

const TOOL = fileURLToPath(new URL('../src/cli/main.js', import.meta.url));
const KEY = 'caller-key';
const WIDE_JOB = '00000000000000a1';
const SMALL_JOB = '00000000000000a2';

const run = promisify(execFile);

interface ToolResult {
  readonly code: number;
  readonly output: string;
}

describe('operator tool on a hosted site', () => {
  const scope = new CleanupScope();
  let daemons: DaemonProcess[];

  const tool = (daemon: string, ...parameters: string[]) =>
    command(daemon, 'site', ...parameters);

  const command = async (
    daemon: string,
    ...parameters: string[]
  ): Promise<ToolResult> => {
    try {
      const commandLine = [TOOL, ...parameters, '--daemon', daemon];
      const {stdout} = await run(process.execPath, commandLine);
      return {code: 0, output: stdout};
    } catch (error) {
      const {code, stdout, stderr} = error as {
        code: number;
        stdout: string;
        stderr: string;
      };
      return {code, output: stdout + stderr};
    }
  };

  const submit = async (jobId: string, accelerators: number) => {
    const response = await fetch(
      `http://${daemons[0]?.address}/jobs/${jobId}`,
      {
        method: 'POST',
        headers: {'Bramleystep-Credential': KEY},
        body: JSON.stringify({
          spec: 'text',
          steps: [{count: 3, gpu: accelerators, gang: true, estimateMs: 100}],
        }),
      },
    );
    return response.status;
  };

  before(async () => {
    const platform = await startSmallPlatform(scope);
    platform.configure({
      version: 3,
      routes: [
        {
          name: 'queue',
          host: '127.0.0.1',
          pathPrefix: '/jobs/',
          service: 'service',
        },
      ],
      tenants: [{name: 'customer', apiKeys: [KEY]}],
    });
    const vmService = await platform.openVmService();
    const times = {workerLeaseMs: WORKER_LEASE_MS, stopGraceS: 1};
    daemons = await Promise.all(
      ['entry-1', 'entry-2'].map((name) =>
        DaemonProcess.create(name, platform, vmService, times, scope),
      ),
    );
    for (const daemon of daemons) await daemon.start();
    const limit = Date.now() + 15_000;
    while ((await submit(WIDE_JOB, 8)) !== 200) {
      assert.ok(Date.now() < limit, 'no daemon accepted a job');
    }
  });

  after(() => scope.close());

  const address = (index: number) => daemons[index]?.peerAddress ?? '';

  const untilOutput = async (pattern: RegExp, ...parameters: string[]) => {
    const limit = Date.now() + 15_000;
    for (;;) {
      const result = await tool(address(1), ...parameters);
      if (pattern.test(result.output)) return result;
      assert.ok(
        Date.now() < limit,
        `never printed ${pattern}: ${result.output}`,
      );
    }
  };

  it('shows the leader, the version and the workers', async () => {
    await untilOutput(/leader entry-[12] at/, 'status');
    const views = await Promise.all(
      [0, 1].map((i) => tool(address(i), 'status')),
    );
    for (const {code, output} of views) {
      assert.equal(code, 0);
      assert.match(output, /configuration version 3/);
    }
    assert.equal(
      views.filter(({output}) => /open jobs/.test(output)).length,
      1,
      'exactly one daemon is the leader',
    );
  });

  it('reports through any daemon why a job waits', async () => {
    for (const index of [0, 1]) {
      const {code, output} = await tool(address(index), 'job', WIDE_JOB);
      assert.equal(code, 0, output);
      assert.match(output, /no room: 3 tasks of 8 accelerators/);
    }
    const {output} = await tool(address(0), 'jobs', '--json');
    const [job] = JSON.parse(output).jobs;
    assert.equal(job.jobId, WIDE_JOB);
    assert.equal(job.units.waiting, 1);
  });

  it('lists through any daemon which work slows other work down', async () => {
    for (const index of [0, 1]) {
      const {code, output} = await tool(address(index), 'interference');
      assert.equal(code, 0, output);
      assert.match(output, /no pair is known/);
    }
  });

  it('explains through any daemon where a job would go', async () => {
    const directory = await mkdtemp(join(tmpdir(), 'explain-'));
    scope.add(() => rm(directory, {recursive: true}));
    const file = join(directory, 'job.json');
    await writeFile(file, JSON.stringify({spec: '', steps: [{count: 1}]}));
    for (const index of [0, 1]) {
      const waiting = await command(address(index), 'explain', WIDE_JOB);
      assert.equal(waiting.code, 0, waiting.output);
      assert.match(waiting.output, /2 with room for 2 tasks/);
      assert.match(waiting.output, /waits +1 unit: there is not enough room/);
      const small = await command(
        address(index),
        ...['explain', '--queue', 'queue', '--key', KEY, '--file', file],
        '--json',
      );
      assert.equal(small.code, 0, small.output);
      const {jobId, customer, groups} = JSON.parse(small.output);
      assert.equal(jobId, undefined);
      assert.equal(customer.customerId, 'customer');
      assert.equal(groups[0].placedUnits, 1);
    }
    const flags = ['--tasks', '2', '--gang', '--accelerators', '8'];
    const gang = await command(
      address(1),
      ...['explain', '--queue', 'queue', '--customer', 'customer', ...flags],
    );
    assert.match(gang.output, /places +1 unit\n +0\.0\.0 on /);
    const {output} = await tool(address(0), 'jobs', '--json');
    assert.equal(JSON.parse(output).jobs.length, 1, 'nothing was submitted');
  });

  it('cancels a job, and the leader ends it', async () => {
    const {code} = await tool(address(1), 'cancel', WIDE_JOB);
    assert.equal(code, 0);
    await untilOutput(/state +cancelled/, 'job', WIDE_JOB);
    assert.equal(await submit(SMALL_JOB, 1), 200);
    await untilOutput(/confirmed|running|complete/, 'job', SMALL_JOB);
  });

  it('prints the remedy and exits with a code for each kind of error', async () => {
    const unknown = await tool(address(0), 'job', '00000000000000ff');
    assert.equal(unknown.code, 1);
    assert.match(unknown.output, /knows no such job.*check the id/);
    const queue = ['--queue', 'none', '--key', KEY];
    const failures: ReadonlyArray<[string[], RegExp]> = [
      [['00000000000000ff'], /knows no such job.*check the id/],
      [queue, /no such queue.*name a route/],
      [['--queue', 'queue', '--key', 'x'], /no customer has this key/],
      [['--queue', 'queue', '--file', '/none'], /cannot read the submission/],
    ];
    for (const [parameters, message] of failures) {
      const failed = await command(address(1), 'explain', ...parameters);
      assert.equal(failed.code, 1);
      assert.match(failed.output, message);
    }
    const unreachable = await tool('127.0.0.1:1', 'status');
    assert.equal(unreachable.code, 3);
    assert.match(unreachable.output, /check --daemon/);
  });
});
