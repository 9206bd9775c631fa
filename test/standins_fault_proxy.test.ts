/**
 * Guards against a proxy whose faults are weaker than configured. Tests of the
 * daemons would then pass without having met the fault.
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

/** One end of a connection and the data that it has received. */
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

  destroy(): void {
    this.socket.destroy();
  }

  async waitForText(text: string): Promise<void> {
    await eventually(`received ${text}`, async () =>
      this.text === text ? true : undefined,
    );
  }

  async waitForClose(): Promise<void> {
    await eventually('closed', async () => (this.closed ? true : undefined));
  }
}

let scope: CleanupScope;
let proxy: StandinProcess;
let admin: FaultProxyAdmin;
let serverEndpoints: Endpoint[];

beforeEach(async () => {
  scope = new CleanupScope();
  serverEndpoints = [];
  const server = createServer((socket) => {
    serverEndpoints.push(new Endpoint(socket));
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
async function openConnection(): Promise<{client: Endpoint; server: Endpoint}> {
  const before = serverEndpoints.length;
  const socket = connect(
    Number(proxy.linkAddress('link').split(':')[1]),
    '127.0.0.1',
  );
  scope.add(() => void socket.destroy());
  const client = new Endpoint(socket);
  const server = await eventually(
    'accepted',
    async () => serverEndpoints[before],
  );
  return {client, server};
}

it('a freeze towards the client drops answers and delivers requests', async () => {
  const {client, server} = await openConnection();
  await admin.setFaults('link', {freeze: 'to-client'});
  client.send('request');
  await server.waitForText('request');
  server.send('answer');
  await admin.heal('link');
  // The open connection stays frozen in that direction; a new one works.
  server.send('more');
  client.send(' again');
  await server.waitForText('request again');
  const newConnection = await openConnection();
  newConnection.server.send('new');
  await newConnection.client.waitForText('new');
  assert.equal(client.text, '');
  assert.equal(client.closed, false);
});

it('a freeze towards the target drops requests and does not report closes', async () => {
  const {client, server} = await openConnection();
  await admin.setFaults('link', {freeze: 'to-target'});
  client.send('request');
  server.send('unasked');
  await client.waitForText('unasked');
  client.destroy();
  await admin.heal('link');
  const newConnection = await openConnection();
  newConnection.client.send('new');
  await newConnection.server.waitForText('new');
  assert.equal(server.text, '');
  assert.equal(server.closed, false);
});

it('a connection opened during a freeze is accepted and stays frozen', async () => {
  await admin.setFaults('link', {freeze: 'both'});
  const {client, server} = await openConnection();
  client.send('request');
  server.send('answer');
  await admin.heal('link');
  client.send('request');
  const newConnection = await openConnection();
  newConnection.client.send('new');
  await newConnection.server.waitForText('new');
  assert.deepEqual([client.text, server.text], ['', '']);
});

it('a temporary freeze delivers everything in order when it ends', async () => {
  const {client, server} = await openConnection();
  await admin.setFaults('link', {freeze: 'both', frozenForGood: false});
  client.send('one ');
  client.send('two');
  const newConnection = await openConnection();
  newConnection.client.send('three');
  await admin.heal('link');
  await server.waitForText('one two');
  await newConnection.server.waitForText('three');
});

it('a cut resets open connections and new ones until it is healed', async () => {
  const {client, server} = await openConnection();
  await admin.setFaults('link', {cut: true});
  await client.waitForClose();
  await server.waitForClose();
  const port = Number(proxy.linkAddress('link').split(':')[1]);
  const refused = new Endpoint(connect(port, '127.0.0.1'));
  await refused.waitForClose();
  assert.equal(serverEndpoints.length, 1);
  await admin.heal('link');
  const newConnection = await openConnection();
  newConnection.client.send('new');
  await newConnection.server.waitForText('new');
});

it('truncation closes the connection after exactly the configured bytes', async () => {
  const {client, server} = await openConnection();
  await admin.setFaults('link', {truncateAfterBytes: 5});
  server.send('abc');
  server.send('defgh');
  await client.waitForClose();
  assert.equal(client.text, 'abcde');
  await server.waitForClose();
  assert.equal((await admin.status('link')).bytesToClient, 5);
});

it('a delay keeps the order and loses no data when a side closes', async () => {
  await admin.setFaults('link', {delayMs: 20});
  const {client, server} = await openConnection();
  const parts = Array.from({length: 50}, (_, index) => `${index},`);
  for (const part of parts) client.send(part);
  await server.waitForText(parts.join(''));
  server.send('bye');
  server.destroy();
  await client.waitForClose();
});
