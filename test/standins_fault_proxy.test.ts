/**
 * Guards against a proxy whose faults are milder than it says, which would
 * let the tests of the daemons pass for the wrong reason.
 */

import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect, createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {afterEach, beforeEach, it} from 'node:test';
import {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import {FaultProxyAdmin} from '../src/standins/admin_client.js';
import {StandinProcess} from '../src/standins/launcher.js';
import {eventually} from './standins_support.js';

/** One end of a connection with all that it received. */
class Endpoint {
  text = '';
  closed = false;

  constructor(private readonly socket: Socket) {
    socket.setEncoding('utf8');
    socket.on('data', (chunk: string) => (this.text += chunk));
    socket.on('error', () => undefined);
    socket.on('close', () => (this.closed = true));
  }

  send(text: string): void {
    this.socket.write(text);
  }

  end(): void {
    this.socket.destroy();
  }

  async received(text: string): Promise<void> {
    await eventually(`received ${text}`, async () =>
      this.text === text ? true : undefined,
    );
  }

  async isClosed(): Promise<void> {
    await eventually('closed', async () => (this.closed ? true : undefined));
  }
}

let scope: CleanupScope;
let proxy: StandinProcess;
let admin: FaultProxyAdmin;
let accepted: Endpoint[];

beforeEach(async () => {
  scope = new CleanupScope();
  accepted = [];
  const server = createServer((socket) => {
    accepted.push(new Endpoint(socket));
    scope.add(() => void socket.destroy());
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  scope.add(() => void server.close());
  const {port} = server.address() as AddressInfo;
  proxy = await StandinProcess.start(scope, 'faultProxy', {
    links: [{name: 'link', target: `127.0.0.1:${port}`}],
  });
  admin = new FaultProxyAdmin(scope, proxy.adminAddress);
});

afterEach(() => scope.close());

/** Connects through the proxy and returns both ends. */
async function open(): Promise<{near: Endpoint; far: Endpoint}> {
  const before = accepted.length;
  const socket = connect(
    Number(proxy.linkAddress('link').split(':')[1]),
    '127.0.0.1',
  );
  scope.add(() => void socket.destroy());
  const near = new Endpoint(socket);
  const far = await eventually('accepted', async () => accepted[before]);
  return {near, far};
}

it('a freeze towards the client drops answers but delivers requests', async () => {
  const {near, far} = await open();
  await admin.setFaults('link', {freeze: 'to-client'});
  near.send('request');
  await far.received('request');
  far.send('answer');
  await admin.heal('link');
  // The connection stays dead in that direction, a new one works.
  far.send('more');
  near.send(' again');
  await far.received('request again');
  const fresh = await open();
  fresh.far.send('new');
  await fresh.near.received('new');
  assert.equal(near.text, '');
  assert.equal(near.closed, false);
});

it('a freeze towards the target drops requests, and nobody is told of an end', async () => {
  const {near, far} = await open();
  await admin.setFaults('link', {freeze: 'to-target'});
  near.send('request');
  far.send('unasked');
  await near.received('unasked');
  near.end();
  await admin.heal('link');
  const fresh = await open();
  fresh.near.send('new');
  await fresh.far.received('new');
  assert.equal(far.text, '');
  assert.equal(far.closed, false);
});

it('a connection opened during a freeze is accepted and stays dead', async () => {
  await admin.setFaults('link', {freeze: 'both'});
  const {near, far} = await open();
  near.send('request');
  far.send('answer');
  await admin.heal('link');
  near.send('request');
  const fresh = await open();
  fresh.near.send('new');
  await fresh.far.received('new');
  assert.deepEqual([near.text, far.text], ['', '']);
});

it('a freeze that is not for good delivers everything in order after it', async () => {
  const {near, far} = await open();
  await admin.setFaults('link', {freeze: 'both', frozenForGood: false});
  near.send('one ');
  near.send('two');
  const fresh = await open();
  fresh.near.send('three');
  await admin.heal('link');
  await far.received('one two');
  await fresh.far.received('three');
});

it('a cut resets open connections and new ones until it is healed', async () => {
  const {near, far} = await open();
  await admin.setFaults('link', {cut: true});
  await near.isClosed();
  await far.isClosed();
  const port = Number(proxy.linkAddress('link').split(':')[1]);
  const refused = new Endpoint(connect(port, '127.0.0.1'));
  await refused.isClosed();
  assert.equal(accepted.length, 1);
  await admin.heal('link');
  const fresh = await open();
  fresh.near.send('new');
  await fresh.far.received('new');
});

it('truncation closes the connection after exactly the stated bytes', async () => {
  const {near, far} = await open();
  await admin.setFaults('link', {truncateAfterBytes: 5});
  far.send('abc');
  far.send('defgh');
  await near.isClosed();
  assert.equal(near.text, 'abcde');
  await far.isClosed();
  assert.equal((await admin.status('link')).bytesToClient, 5);
});

it('a delay keeps the order and loses nothing at the end', async () => {
  await admin.setFaults('link', {delayMs: 20});
  const {near, far} = await open();
  const parts = Array.from({length: 50}, (_, index) => `${index},`);
  for (const part of parts) near.send(part);
  await far.received(parts.join(''));
  far.send('bye');
  far.end();
  await near.isClosed();
});
