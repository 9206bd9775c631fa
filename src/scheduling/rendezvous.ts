/**
 * Rendezvous hashing: a subject, such as a zone's name or a minion's id, is
 * owned by the candidate with the highest hash of subject and candidate id.
 * Removing a candidate reassigns only the subjects that it owned.
 */

import {createHash} from 'node:crypto';

/** Returns the owner of `subject`, or undefined if there are no candidates. */
export function rendezvousOwner<T>(
  subject: string,
  candidates: Iterable<T>,
  idOf: (candidate: T) => string,
): T | undefined {
  return rendezvousOrder(subject, candidates, idOf)[0];
}

/** Returns the candidates in descending order of weight for `subject`. */
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
 * Returns an integer in [0, 2^48). The hash input includes the length of the
 * subject, so that different pairs of subject and id give different inputs.
 */
export function rendezvousWeight(subject: string, id: string): number {
  return createHash('sha256')
    .update(`${subject.length}:${subject}${id}`)
    .digest()
    .readUIntBE(0, 6);
}
