/**
 * A configuration that grows by more than a thousand routes: it has to be in
 * force within 2 s on a VM with a third of a core, and calls are routed by the
 * longest prefix as before.
 */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {trustedId} from '../src/model/ids.js';
import type {QueueId, ServiceId} from '../src/model/ids.js';
import {HostedConfiguration} from '../src/model/queues.js';
import type {Queue} from '../src/model/queues.js';

const ROUTES = 3_000;
const HOST = 'host.example';

/** A third of a core has 2 s for everything, of which this is a small part. */
const TIME_LIMIT_MS = 200;

function queueFor(pathPrefix: string): Queue {
  return {
    queueId: trustedId<QueueId>(`queue of ${pathPrefix}`),
    host: HOST,
    pathPrefix,
    isPublic: false,
    serviceId: trustedId<ServiceId>('service'),
    priority: 1,
    maximumAttempts: 3,
    objectiveFactor: 3,
    targetLatencyMs: 1_000,
  };
}

describe('a configuration with thousands of routes on one host', () => {
  // Prefixes of different lengths in an order that no sort step preserves.
  const prefixes = Array.from(
    {length: ROUTES},
    (_, index) => `/r${'x'.repeat((index * 7) % 40)}${index}/`,
  );

  it('is built in a fraction of the time in which it must be in force', () => {
    const queues = ['/', ...prefixes].map((prefix) => queueFor(prefix));
    const startedAt = performance.now();
    const configuration = new HostedConfiguration(1, queues, [], {
      maximumBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    });
    const tookMs = performance.now() - startedAt;
    assert.ok(tookMs < TIME_LIMIT_MS, `it took ${tookMs} ms`);
    for (const prefix of [prefixes[0], prefixes[1_500], prefixes.at(-1)]) {
      assert.ok(prefix !== undefined);
      const found = configuration.queueFor(HOST, `${prefix}0123456789abcdef`);
      assert.equal(found?.pathPrefix, prefix);
    }
    assert.equal(configuration.queueFor(HOST, '/other')?.pathPrefix, '/');
  });
});
