/**
 * Rendezvous hashing: each subject, such as a zone's name or a minion's id,
 * is owned by the candidate with the highest hash of both. Removing a
 * candidate moves only the subjects that it owned.
 */

import {createHash} from 'node:crypto';

/** Returns the owner of `subject`, or undefined without candidates. */
export function rendezvousOwner<T>(
  subject: string,
  candidates: Iterable<T>,
  idOf: (candidate: T) => string,
): T | undefined {
  return rendezvousOrder(subject, candidates, idOf)[0];
}

/** Returns the candidates in order of preference for `subject`. */
export function rendezvousOrder<T>(
  subject: string,
  candidates: Iterable<T>,
  idOf: (candidate: T) => string,
): T[] {
  return [...candidates]
    .map((candidate) => ({
      candidate,
      id: idOf(candidate),
      weight: rendezvousWeight(subject, idOf(candidate)),
    }))
    .sort(
      (a, b) => b.weight - a.weight || (a.id < b.id ? -1 : a.id > b.id ? 1 : 0),
    )
    .map(({candidate}) => candidate);
}

/**
 * Returns a whole number below 2^48. The length of the subject is hashed too,
 * so that no two pairs of subject and id give the same input.
 */
export function rendezvousWeight(subject: string, id: string): number {
  return createHash('sha256')
    .update(`${subject.length}:${subject}${id}`)
    .digest()
    .readUIntBE(0, 6);
}
