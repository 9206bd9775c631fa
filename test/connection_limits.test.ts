/** Tests which connection the limits close, and that none in progress is. */

import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {
  ConnectionLimits,
  LimitedConnection,
  connectionBounds,
} from '../src/entry/connection_limits.js';
import type {
  CloseReason,
  ConnectionPhase,
} from '../src/entry/connection_limits.js';
import type {SteadyTime} from '../src/lifecycle/clock.js';

const TIMES = {headMs: 3_000, idleMs: 15_000};

class TestConnection extends LimitedConnection {
  isClosed = false;

  override close(): void {
    this.isClosed = true;
  }
}

describe('limits of connections', () => {
  let limits: ConnectionLimits;
  let reasons: CloseReason[];

  beforeEach(() => {
    reasons = [];
    limits = new ConnectionLimits(
      {
        connections: 3,
        unfinishedRequests: 2,
        heldBytes: 1_000,
        requestsInProgress: 1,
      },
      (reason) => reasons.push(reason),
    );
  });

  const open = (phase: ConnectionPhase, now: number, bytes = 0) => {
    const connection = new TestConnection();
    limits.add(connection, now as SteadyTime);
    limits.enter(connection, phase, now as SteadyTime);
    limits.hold(connection, bytes, now as SteadyTime);
    return connection;
  };

  it('close a stalled request for a new connection, else an idle one', () => {
    const idle = open('idle', 0);
    const unfinished = open('body', 10);
    open('answering', 20);
    const early = open('idle', 500);
    assert.deepEqual([idle.isClosed, unfinished.isClosed], [true, false]);
    open('idle', 2_000);
    assert.deepEqual([early.isClosed, unfinished.isClosed], [false, true]);
  });

  it('refuse a new connection if all have requests in progress', () => {
    const others = [1, 2, 3].map((now) => open('answering', now));
    assert.equal(open('idle', 10_000).isClosed, true);
    assert.ok(others.every(({isClosed}) => !isClosed));
  });

  it('close the oldest of too many unfinished requests and answers', () => {
    const sending = open('sending', 0);
    const body = open('head', 1);
    limits.enter(body, 'body', 5 as SteadyTime);
    open('head', 2);
    assert.deepEqual([sending.isClosed, body.isClosed], [true, false]);
    assert.deepEqual(reasons, ['unfinished-requests']);
  });

  it('close the oldest unfinished request when too much is held', () => {
    const inProgress = open('answering', 0, 600);
    const body = open('body', 1, 300);
    const next = open('body', 2, 300);
    assert.deepEqual(
      [inProgress, body, next].map(({isClosed}) => isClosed),
      [false, true, false],
    );
  });

  it('close what exceeds its time, but nothing in progress', () => {
    const idle = open('idle', 0);
    const answering = open('answering', 0);
    const head = open('head', 0);
    limits.closeOverdue(2_999 as SteadyTime, TIMES);
    assert.deepEqual(reasons, []);
    limits.closeOverdue(3_000 as SteadyTime, TIMES);
    assert.ok(head.isClosed);
    const body = open('body', 3_000);
    limits.hold(body, 1, 14_000 as SteadyTime);
    limits.closeOverdue(28_999 as SteadyTime, TIMES);
    assert.deepEqual([idle.isClosed, body.isClosed], [true, false]);
    limits.closeOverdue(29_000 as SteadyTime, TIMES);
    assert.deepEqual([answering.isClosed, body.isClosed], [false, true]);
  });

  it('count requests in progress', () => {
    assert.deepEqual(
      [limits.beginRequest(), limits.beginRequest()],
      [true, false],
    );
    limits.endRequest();
    assert.ok(limits.beginRequest());
  });

  it('leave room for the sockets that the daemon opens itself', () => {
    const {callers, readiness, peers} = connectionBounds({
      memoryMb: 210,
      maximumDescriptors: 2_212,
      requestsInProgress: 256,
    });
    assert.equal(callers.connections, 1_006);
    assert.equal(callers.unfinishedRequests, 328);
    const sum = callers.connections + readiness.connections + peers.connections;
    assert.ok(sum < 2_012);
  });
});
