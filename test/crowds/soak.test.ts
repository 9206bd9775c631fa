/**
 * A soak with clients outside lowered limits and workers of uneven speed: each
 * daemon lives, answers an ordinary request afterwards, and no rule is broken.
 */

import assert from 'node:assert/strict';
import {it} from 'node:test';
import {soak} from '../../soak/soak.js';

it('a short soak with crowds and uneven workers violates no rule', async () => {
  const {violations, counts, faults} = await soak({
    daemons: 3,
    racks: 2,
    workersPerRack: 4,
    seed: 1,
    faultsMs: 15_000,
    repeatsCrowds: true,
    hasUnevenWorkers: true,
  });
  assert.deepEqual(violations, [], faults.join(', '));
  assert.ok(counts.accepted > 0, 'no job was accepted');
});
