/**
 * Crowds of clients that keep inside no limit, played against a real daemon on
 * a small VM: they send ahead on many connections and read no answer.
 */

import assert from 'node:assert/strict';
import {readFile, readdir, readlink} from 'node:fs/promises';
import {request} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {Crowd, LOW_HEAP} from '../../soak/crowd.js';
import type {DaemonProcess} from '../../soak/daemon_process.js';
import type {CleanupScope} from '../../src/lifecycle/cleanup_scope.js';
import {createDaemonOf, startSmallPlatform} from '../entry_process.js';

/** The VM of these tests: the process has to stay within both. */
const MEMORY_MB = 160;
const MAXIMUM_DESCRIPTORS = 300;

/** Descriptors of a VM that are reserved for files. */
const FILE_DESCRIPTORS = 200;

export const QUEUE_HOST = 'crowd.example';
export const QUEUE_PATH = '/jobs/';
const KNOWN_KEY = 'known-key';
const QUEUE_HEADERS = {
  host: QUEUE_HOST,
  'bramleystep-credential': KNOWN_KEY,
};

/** A crowd has done its work when nothing moves for this long. */
const QUIET_MS = 2_000;

/** Guards against a hang; no check depends on how long a crowd takes. */
const CROWD_GUARD_MS = 30_000;
const ORDINARY_GUARD_MS = 60_000;
const RETRY_MS = 500;

/** Starts a daemon of a platform with one queue; it is ready. */
export async function startDaemonOnSmallVm(
  scope: CleanupScope,
): Promise<DaemonProcess> {
  const platform = await startSmallPlatform(scope);
  platform.configure({
    version: 1,
    routes: [
      {
        name: 'queue-1',
        host: QUEUE_HOST,
        pathPrefix: QUEUE_PATH,
        service: 'service-1',
      },
    ],
    tenants: [{name: 'customer-1', apiKeys: [KNOWN_KEY]}],
  });
  const daemon = await createDaemonOf(platform, scope, {
    memoryMb: MEMORY_MB,
    maximumDescriptors: MAXIMUM_DESCRIPTORS,
  });
  await daemon.start(LOW_HEAP);
  // Answered by a leader only.
  await checkOrdinaryRequest(daemon);
  return daemon;
}

/**
 * Opens `size` connections at once, sends each the whole of `texts` in turn and
 * reads nothing. Resolves when all is sent, refused or blocked; the connections
 * stay open until the scope closes.
 */
export async function playCrowd(
  scope: CleanupScope,
  address: string,
  size: number,
  textsOf: (member: number) => Iterable<string>,
): Promise<void> {
  const crowd = new Crowd(address, size, textsOf);
  scope.add(() => crowd.leave());
  const endsAt = Date.now() + CROWD_GUARD_MS;
  let movedAt = Date.now();
  let moved = 0;
  while (Date.now() < endsAt && Date.now() - movedAt < QUIET_MS) {
    await delay(100);
    const {sentBytes} = crowd;
    if (sentBytes > moved) movedAt = Date.now();
    moved = sentBytes;
  }
}

/** The process lives, and stays within the memory and sockets of its VM. */
export async function checkProcess(daemon: DaemonProcess): Promise<void> {
  assert.ok(daemon.isRunning, 'the process has ended');
  const folder = `/proc/${daemon.pid}`;
  const status = await readFile(`${folder}/status`, 'utf8');
  const peakKb = Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1]);
  assert.ok(peakKb <= MEMORY_MB * 1_024, `it took ${peakKb} KB of memory`);
  const descriptors = await readdir(`${folder}/fd`);
  const targets = await Promise.all(
    descriptors.map((name) => readlink(`${folder}/fd/${name}`).catch(() => '')),
  );
  const sockets = targets.filter((target) => target.startsWith('socket:'));
  assert.ok(
    sockets.length <= MAXIMUM_DESCRIPTORS - FILE_DESCRIPTORS,
    `it holds ${sockets.length} sockets`,
  );
}

/** One ordinary caller gets its answer, after any number of refusals. */
export async function checkOrdinaryRequest(
  daemon: DaemonProcess,
): Promise<void> {
  const answer = await answerTo(`http://${daemon.settings.callerAddress}`, {
    path: QUEUE_PATH,
    headers: QUEUE_HEADERS,
  });
  assert.deepEqual(JSON.parse(answer), {pending: 0});
}

/** The platform's question whether the daemon is ready is answered with yes. */
export async function checkReadiness(daemon: DaemonProcess): Promise<void> {
  const answer = await answerTo(`http://${daemon.settings.readinessAddress}`, {
    path: '/v1/readyz',
    headers: {},
  });
  assert.deepEqual(JSON.parse(answer), {ready: true});
}

/** Submits a job and returns the status of the answer, 0 without one. */
export async function submitJob(daemon: DaemonProcess): Promise<number> {
  const answer = await ask(`http://${daemon.settings.callerAddress}`, {
    method: 'POST',
    path: `${QUEUE_PATH}00000000000000aa`,
    headers: QUEUE_HEADERS,
    body: JSON.stringify({spec: 'text', steps: [{count: 1}]}),
  });
  return answer.status;
}

interface Call {
  readonly method?: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: string;
}

async function answerTo(origin: string, call: Call): Promise<string> {
  const endsAt = Date.now() + ORDINARY_GUARD_MS;
  let seen = 'nothing';
  while (Date.now() < endsAt) {
    const answer = await ask(origin, call);
    if (answer.status === 200) return answer.text;
    seen = `${answer.status} ${answer.text}`;
    await delay(RETRY_MS);
  }
  assert.fail(`no answer to an ordinary request: ${seen}`);
}

function ask(
  origin: string,
  {body, ...call}: Call,
): Promise<{status: number; text: string}> {
  return new Promise((resolve) => {
    const fail = (error: Error) => resolve({status: 0, text: error.message});
    const sent = request(origin, {...call, agent: false}, (response) => {
      let text = '';
      response.setEncoding('utf8');
      response.on('data', (part: string) => (text += part));
      response.on('error', fail);
      response.on('end', () =>
        resolve({status: response.statusCode ?? 0, text}),
      );
    });
    sent.setTimeout(ORDINARY_GUARD_MS, () =>
      sent.destroy(new Error('no answer')),
    );
    sent.on('error', fail);
    sent.end(body);
  });
}
