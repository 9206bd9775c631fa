/**
 * The policies under comparison: the production planner and three baselines.
 */

import {CellZonePlanner} from '../scheduling/cell_zone_planner.js';
import type {JobRecord} from '../model/jobs.js';
import type {ZonePlanner} from '../scheduling/zone_planner.js';
import type {BaselineOptions} from './baselines.js';
import {BaselinePlanner} from './baselines.js';
import type {Workload} from './workload.js';

/** Default of the setting `starvationBoundMs`. */
const STARVATION_BOUND_MS = 120_000;

export const POLICY_NAMES = [
  'cells',
  'fifo-first-fit',
  'best-fit',
  'static-partition',
] as const;
export type PolicyName = (typeof POLICY_NAMES)[number];

export interface Policy {
  readonly name: PolicyName;
  readonly planner: ZonePlanner;
  /** True if gangs are placed only on aligned cells. */
  readonly isAligned: boolean;
  /** Cells visited by all decisions so far; undefined if not counted. */
  readonly visitedCells: () => number | undefined;
  /** Expected run time of a job in milliseconds. */
  readonly estimatedRunTimeMs: (record: JobRecord) => number;
}

type BaselineName = Exclude<PolicyName, 'cells'>;

const BASELINES: Readonly<
  Record<BaselineName, Omit<BaselineOptions, 'availabilityZone'>>
> = {
  'fifo-first-fit': {order: 'strict', fit: 'first', isPartitioned: false},
  'best-fit': {order: 'skip', fit: 'best', isPartitioned: false},
  'static-partition': {order: 'skip', fit: 'best', isPartitioned: true},
};

/** Creates a policy with a new planner; planners hold state of one replay. */
export function createPolicy(name: PolicyName, workload: Workload): Policy {
  const {availabilityZone} = workload;
  if (name === 'cells') {
    const planner = new CellZonePlanner({
      availabilityZone,
      starvationBoundMs: STARVATION_BOUND_MS,
    });
    return {
      name,
      planner,
      isAligned: true,
      visitedCells: () => planner.visitedCells,
      estimatedRunTimeMs: (record) => planner.estimatedRunTimeMs(record),
    };
  }
  return {
    name,
    planner: new BaselinePlanner({...BASELINES[name], availabilityZone}),
    isAligned: false,
    visitedCells: () => undefined,
    estimatedRunTimeMs: (record) => record.declaredRunTimeMs,
  };
}
