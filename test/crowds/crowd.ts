/**
 * Crowds of clients that keep inside no limit, played against a real daemon on
 * a small VM: they send ahead on many connections and read no answer.
 */

import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {readFile, readdir, readlink} from 'node:fs/promises';
import {request} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {Crowd, LOW_HEAP} from '../../soak/crowd.js';
import type {CrowdPlay} from '../../soak/crowd.js';
import type {DaemonProcess} from '../../soak/daemon_process.js';
import type {EntrySettingsFile} from '../../src/entry/settings.js';
import type {CleanupScope} from '../../src/lifecycle/cleanup_scope.js';
import {createDaemonOf, startSmallPlatform} from '../entry_process.js';

/** The VM of these tests: the process has to stay within both. */
const MEMORY_MB = 160;
const MAXIMUM_DESCRIPTORS = 300;

const DEPLOYMENT = new URL('../../../deploy/system.toml', import.meta.url);

/** Descriptors of a VM that are reserved for files. */
const FILE_DESCRIPTORS = 200;

/** Longest specification that callers may send, in bytes. */
export const LONGEST_SPECIFICATION = 'a'.repeat(4_000);

/** The addresses of a daemon, each with clients of its own. */
export const ADDRESSES = {
  callers: ({settings}: DaemonProcess) => settings.callerAddress,
  readiness: ({settings}: DaemonProcess) => settings.readinessAddress,
  peers: ({peerAddress}: DaemonProcess) => peerAddress,
} as const;

export const QUEUE_HOST = 'crowd.example';
export const QUEUE_PATH = '/jobs/';
const KNOWN_KEY = 'known-key';
/** Keys of the customers whose clients form a crowd. */
export const CROWD_KEYS = ['key-1', 'key-2', 'key-3', 'key-4'];
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

/** Node's options for the memory of a deployed daemon. */
export function deployedHeap(): Record<string, string> {
  const deployment = readFileSync(DEPLOYMENT, 'utf8');
  const options = deployment.match(/--max-[a-z-]+-size=\d+/g);
  assert.ok(options !== null, 'the deployed daemon has no limit of its heap');
  return {NODE_OPTIONS: options.join(' ')};
}

/** Starts a daemon of a platform with one queue; it is ready. */
export async function startDaemonOnSmallVm(
  scope: CleanupScope,
  heap: Record<string, string> = LOW_HEAP,
  clientLimits: EntrySettingsFile['clientLimits'] = {},
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
    tenants: [
      {name: 'customer-1', apiKeys: [KNOWN_KEY]},
      ...CROWD_KEYS.map((key) => ({name: key, apiKeys: [key]})),
    ],
  });
  const daemon = await createDaemonOf(platform, scope, {
    memoryMb: MEMORY_MB,
    maximumDescriptors: MAXIMUM_DESCRIPTORS,
    ...clientLimits,
  });
  await daemon.start(heap);
  // Answered by a leader only.
  await checkOrdinaryRequest(daemon);
  return daemon;
}

/**
 * Opens `size` connections at once and sends each the whole of `texts` in turn.
 * Resolves when all is sent and, if the crowd reads, answered, or refused or
 * blocked, apart from what trickles on; the connections stay open until the scope closes.
 */
export async function playCrowd(
  scope: CleanupScope,
  address: string,
  size: number,
  textsOf: (member: number) => Iterable<string>,
  play: CrowdPlay = {reads: false, trickle: ''},
): Promise<void> {
  const crowd = new Crowd(address, size, textsOf, play);
  scope.add(() => crowd.leave());
  const endsAt = Date.now() + CROWD_GUARD_MS;
  let movedAt = Date.now();
  let moved = 0;
  while (Date.now() < endsAt && Date.now() - movedAt < QUIET_MS) {
    await delay(100);
    const bytes = crowd.sentBytes + crowd.readBytes;
    if (bytes > moved) movedAt = Date.now();
    moved = bytes;
  }
}

/** The process lives, and stays within the memory and sockets of its VM. */
export async function checkProcess(daemon: DaemonProcess): Promise<void> {
  assert.ok(daemon.isRunning, 'the process has ended');
  const folder = `/proc/${daemon.pid}`;
  const status = await readFile(`${folder}/status`, 'utf8');
  const peakKb = Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1]);
  assert.ok(peakKb <= MEMORY_MB * 1_024, `it took ${peakKb} KB of memory`);
  const {maximumDescriptors = MAXIMUM_DESCRIPTORS} =
    daemon.settings.clientLimits ?? {};
  const descriptors = await readdir(`${folder}/fd`);
  const targets = await Promise.all(
    descriptors.map((name) => readlink(`${folder}/fd/${name}`).catch(() => '')),
  );
  const sockets = targets.filter((target) => target.startsWith('socket:'));
  assert.ok(
    sockets.length <= maximumDescriptors - FILE_DESCRIPTORS,
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

/** One ordinary caller is told how many jobs of the queue wait. */
export async function checkJobRequest(daemon: DaemonProcess): Promise<void> {
  const answer = await answerTo(`http://${daemon.settings.callerAddress}`, {
    path: QUEUE_PATH,
    headers: QUEUE_HEADERS,
  });
  const {pending} = JSON.parse(answer) as {pending?: unknown};
  assert.equal(typeof pending, 'number');
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

/** A whole submission as it is sent. */
export function jobRequest(
  jobId: string,
  job: object,
  key = KNOWN_KEY,
): string {
  return bodyRequest(jobId, JSON.stringify(job), key);
}

/** A submission with any body. */
export function bodyRequest(
  jobId: string,
  body: string,
  key = KNOWN_KEY,
): string {
  return (
    `POST ${QUEUE_PATH}${jobId} HTTP/1.1\r\nHost: ${QUEUE_HOST}\r\n` +
    `Bramleystep-Credential: ${key}\r\n` +
    `Content-Type: application/json\r\n` +
    `Content-Length: ${body.length}\r\n\r\n${body}`
  );
}

/** A whole call that another daemon forwards. */
export function forwardedCall(specification: string): string {
  const body = JSON.stringify({
    method: 'submit',
    host: QUEUE_HOST,
    path: `${QUEUE_PATH}00000000000000aa`,
    key: KNOWN_KEY,
    request: {
      specification,
      steps: [],
      occurrences: 0,
      firstDueAt: 0,
      intervalMs: 0,
    },
  });
  return (
    `POST /peers/calls HTTP/1.1\r\nHost: ${QUEUE_HOST}\r\n` +
    `Content-Length: ${body.length}\r\n\r\n${body}`
  );
}

/** One ordinary caller hands in a job, after any number of refusals. */
export async function checkSubmission(daemon: DaemonProcess): Promise<void> {
  await answerTo(`http://${daemon.settings.callerAddress}`, {
    method: 'POST',
    path: `${QUEUE_PATH}ffffffffffffffff`,
    headers: QUEUE_HEADERS,
    body: JSON.stringify({spec: 'text', steps: [{count: 1}]}),
  });
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
