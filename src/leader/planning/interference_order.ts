/**
 * Keeps kinds of work apart that slow each other down, where there is room.
 * Only the order in which a unit takes its workers changes, never their set, so
 * that nothing waits for it and nothing is stopped.
 */

import type {Unit} from '../jobs/jobs.js';
import type {KnownInterference} from '../workers/interference.js';
import {kindOf} from '../workers/neighbours.js';
import type {FreeCapacity, FreeCapacityTable} from './free_capacity.js';

/** Share of the workers that is not opened for the sake of keeping apart. */
const UNTOUCHED_VACANT_SHARE = 0.25;

/** Tasks of a unit's step that fit on a worker; at least one. */
export interface Candidate {
  readonly capacity: FreeCapacity;
  readonly slots: number;
}

/** Returns the candidates in a new order; one may be split into two. */
export function keepApart(
  unit: Unit,
  candidates: readonly Candidate[],
  table: FreeCapacityTable,
  interference: KnownInterference | undefined,
): readonly Candidate[] {
  const kind = kindOf(unit);
  const conflicts = interference?.conflictsOf(kind);
  if (conflicts === undefined || conflicts.size === 0) return candidates;
  if (unit.step.usesSpareProcessor === true || unit.crashes.isSuspect) {
    return candidates;
  }
  const isApart = ({capacity}: Candidate) => !capacity.hasAnyOf(conflicts);
  let openable = openableCount(table);
  if (openable <= 0) return preferApart(candidates, isApart);
  const first: Candidate[] = [];
  const rest: Candidate[] = [];
  for (const candidate of candidates) {
    const {capacity, slots} = candidate;
    if (!isApart(candidate) || (capacity.isVacant && openable <= 0)) {
      rest.push(candidate);
      continue;
    }
    if (capacity.isVacant) openable -= 1;
    const isSlowedByItself = conflicts.has(kind);
    first.push(isSlowedByItself ? {capacity, slots: 1} : candidate);
    if (isSlowedByItself && slots > 1) rest.push({capacity, slots: slots - 1});
  }
  return [...first, ...rest];
}

/** Vacant workers beyond those that stay whole for large gangs. */
function openableCount({capacities}: FreeCapacityTable): number {
  const vacant = capacities.filter(({isVacant}) => isVacant).length;
  return vacant - Math.ceil(capacities.length * UNTOUCHED_VACANT_SHARE);
}

/** Changes the order only among workers with as many free accelerators. */
function preferApart(
  candidates: readonly Candidate[],
  isApart: (candidate: Candidate) => boolean,
): readonly Candidate[] {
  return candidates
    .map((candidate) => ({candidate, apart: isApart(candidate)}))
    .sort(
      (a, b) =>
        a.candidate.capacity.freeAccelerators -
          b.candidate.capacity.freeAccelerators ||
        Number(b.apart) - Number(a.apart),
    )
    .map(({candidate}) => candidate);
}
