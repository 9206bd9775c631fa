/**
 * An ordered set of small non-negative integers, stored as a hierarchical
 * bitmap. Finding the lowest member, or the next one from a given number on,
 * takes a constant number of steps. Memory is proportional to the members.
 */

const BITS_PER_LEVEL = 5;
const LEVELS = 4;
const LOW_BITS = (1 << BITS_PER_LEVEL) - 1;

/** Exclusive upper bound of the members. */
export const INDEX_SET_BOUND = 1 << (BITS_PER_LEVEL * LEVELS);

export class IndexSet {
  private readonly levels = Array.from(
    {length: LEVELS},
    () => new Map<number, number>(),
  );
  private count = 0;

  get size(): number {
    return this.count;
  }

  has(index: number): boolean {
    const word = this.levels[0]?.get(index >>> BITS_PER_LEVEL) ?? 0;
    return (word & (1 << (index & LOW_BITS))) !== 0;
  }

  add(index: number): void {
    if (index < 0 || index >= INDEX_SET_BOUND) {
      throw new RangeError(
        `index ${index} is outside the supported range; split the zone`,
      );
    }
    if (this.has(index)) return;
    this.count += 1;
    let position = index;
    for (const level of this.levels) {
      const key = position >>> BITS_PER_LEVEL;
      const word = level.get(key) ?? 0;
      level.set(key, word | (1 << (position & LOW_BITS)));
      if (word !== 0) return;
      position = key;
    }
  }

  delete(index: number): void {
    if (!this.has(index)) return;
    this.count -= 1;
    let position = index;
    for (const level of this.levels) {
      const key = position >>> BITS_PER_LEVEL;
      const word = (level.get(key) ?? 0) & ~(1 << (position & LOW_BITS));
      if (word !== 0) {
        level.set(key, word);
        return;
      }
      level.delete(key);
      position = key;
    }
  }

  /** Returns the lowest member that is at least `start`. */
  firstFrom(start: number): number | undefined {
    let position = start;
    for (let depth = 0; depth < LEVELS; depth += 1) {
      const key = position >>> BITS_PER_LEVEL;
      const word = this.levels[depth]?.get(key) ?? 0;
      const later = word & (-1 << (position & LOW_BITS));
      if (later !== 0) {
        return this.descend(depth, (key << BITS_PER_LEVEL) | lowestBit(later));
      }
      position = key + 1;
    }
    return undefined;
  }

  /** Members in ascending order; do not modify the set while iterating. */
  *[Symbol.iterator](): Generator<number> {
    let next = this.firstFrom(0);
    while (next !== undefined) {
      yield next;
      next = this.firstFrom(next + 1);
    }
  }

  private descend(depth: number, position: number): number {
    let found = position;
    for (let lower = depth - 1; lower >= 0; lower -= 1) {
      const word = this.levels[lower]?.get(found) ?? 0;
      found = (found << BITS_PER_LEVEL) | lowestBit(word);
    }
    return found;
  }
}

function lowestBit(word: number): number {
  return 31 - Math.clz32(word & -word);
}
