/** Tests that a listener serves what clients inside the limits may send. */

import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {BodyReader} from '../src/daemon/request_body.js';
import {DaemonLog} from '../src/daemon/log.js';
import {EntryMetrics} from '../src/entry/entry_metrics.js';
import {HttpListener} from '../src/entry/http_listener.js';

const MAXIMUM_BODY_BYTES = 1_000;

describe('a listener', () => {
  let listener: HttpListener;
  let port: number;
  let inProgress = 0;
  let mostInProgress = 0;

  before(async () => {
    const bodies = new BodyReader();
    listener = new HttpListener({
      name: 'callers',
      bounds: {
        connections: 2,
        unfinishedRequests: 2,
        heldBytes: 1_000_000,
        requestsInProgress: 2,
      },
      handler: async (request, response) => {
        inProgress += 1;
        mostInProgress = Math.max(mostInProgress, inProgress);
        const body = await bodies.read(request, MAXIMUM_BODY_BYTES);
        await new Promise((resolve) => setImmediate(resolve));
        inProgress -= 1;
        if (body.isErr) request.resume();
        response.statusCode = body.isOk ? 200 : 413;
        response.end(body.isOk ? `<${body.value}>` : undefined);
      },
      maximumBodyBytes: () => MAXIMUM_BODY_BYTES,
      log: new DaemonLog('test', 'fatal').component('entry'),
      observer: new EntryMetrics(),
    });
    port = await listener.listen('127.0.0.1:0');
  });

  after(() => listener.close());

  /** Sends the text and returns all that is received until `isWhole`. */
  const exchange = (text: string, isWhole: (received: string) => boolean) =>
    new Promise<string>((resolve, reject) => {
      const socket = connect(port, '127.0.0.1');
      let received = '';
      socket.on('error', reject);
      socket.on('close', () => reject(new Error(`closed: ${received}`)));
      socket.on('data', (part) => {
        received += part.toString();
        if (!isWhole(received)) return;
        resolve(received);
        socket.destroy();
      });
      socket.write(text);
    });

  it('answers all requests sent ahead, in order, few at a time', async () => {
    const bodies = Array.from({length: 3_000}, (_unused, index) => `${index}`);
    const text = bodies
      .map(
        (body) =>
          `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${body.length}` +
          `\r\n\r\n${body}`,
      )
      .join('');
    const received = await exchange(text, (all) => all.includes('<2999>'));
    assert.deepEqual(
      [...received.matchAll(/<(\d+)>/g)].map(([, body]) => body),
      bodies,
    );
    assert.ok(mostInProgress <= 2, `${mostInProgress} at once`);
  });

  it('reads the largest body also in chunks of one byte', async () => {
    const text =
      'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n' +
      '1\r\na\r\n'.repeat(MAXIMUM_BODY_BYTES) +
      '0\r\n\r\n';
    const whole = `<${'a'.repeat(MAXIMUM_BODY_BYTES)}>`;
    await exchange(text, (all) => all.includes(whole));
  });

  it('serves a connection on which a body was too large', async () => {
    const length = MAXIMUM_BODY_BYTES + 1;
    const text =
      `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${length}\r\n\r\n` +
      'a'.repeat(length) +
      'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
    const received = await exchange(text, (all) => all.includes('<>'));
    assert.match(received, /^HTTP\/1\.1 413 /);
  });
});
