/** Guards against cells that are too small, or needlessly large, for a gang. */

import assert from 'node:assert/strict';
import {test} from 'node:test';
import {CELL_SIZES, cellSizeFor, nextPowerOfTwo} from '../src/model/shapes.js';

test('a gang gets the smallest cell that keeps each task on one worker', () => {
  assert.equal(cellSizeFor({tasks: 1, acceleratorsPerTask: 1}), 1);
  assert.equal(cellSizeFor({tasks: 3, acceleratorsPerTask: 3}), 16);
  assert.equal(cellSizeFor({tasks: 8, acceleratorsPerTask: 8}), 64);
});

test('a gang that does not fit into a rack gets no cell', () => {
  assert.equal(cellSizeFor({tasks: 9, acceleratorsPerTask: 8}), undefined);
});

test('a cell is at least as large as its gang and less than twice that', () => {
  for (let tasks = 1; tasks <= 64; tasks += 1) {
    for (let accelerators = 1; accelerators <= 8; accelerators += 1) {
      const needed = tasks * nextPowerOfTwo(accelerators);
      const size = cellSizeFor({tasks, acceleratorsPerTask: accelerators});
      if (needed > Math.max(...CELL_SIZES)) {
        assert.equal(size, undefined);
      } else {
        assert.ok(size !== undefined && size >= needed && size < 2 * needed);
      }
    }
  }
});
