/**
 * Estimates by how much each kind of neighbour lengthens the runs of one kind
 * of work: a weighted least-squares fit of the logarithm of run times, with one
 * constant for each step and one for each worker, so that neither a slow job
 * nor a slow worker looks like interference.
 */

import type {Instant, WorkerId, WorkKind} from '../../model/ids.js';

/** Runs of one step on one worker. They share chance, and count as one. */
export interface RunCluster {
  readonly stepName: string;
  readonly workerId: WorkerId;
  readonly startedAt: Instant;
  runs: number;
  /** Sum of the logarithms of the run times relative to the usual ones. */
  deviations: number;
  /** Number of the runs that were beside each kind. */
  readonly besides: Map<WorkKind, number>;
}

export interface NeighbourEffect {
  readonly beside: WorkKind;
  /** Logarithm of the slowdown, and its standard error. */
  readonly estimate: number;
  readonly error: number;
  /** Runs and workers beside that kind. */
  readonly runs: number;
  readonly workers: number;
}

/** Variance that runs of one step on one worker share, relative to one run. */
const SHARED_VARIANCE = 0.2;

/** The same for steps without siblings elsewhere, which differ by more. */
const LONE_STEP_VARIANCE = 3;

/** Kinds that are told apart; the most frequent ones. */
const MAXIMUM_KINDS = 16;

/** With fewer degrees of freedom the scatter is not known. */
const MINIMUM_FREEDOM = 60;

/** Smallest scatter of the logarithm of one run time that is assumed. */
const MINIMUM_SCATTER = 0.03;

/** Rounds of removing the constants of steps and of workers in turn. */
const PROJECTIONS = 8;

/** A kind with less variation than this share can't be told from a constant. */
const MINIMUM_VARIATION = 1e-6;

/** Returns no effect of a kind that can't be told from the others. */
export function estimateEffects(
  clusters: readonly RunCluster[],
): readonly NeighbourEffect[] {
  const kinds = frequentKinds(clusters);
  const projection = new Projection(clusters);
  const freedom = clusters.length - projection.constants - kinds.length;
  if (kinds.length === 0 || freedom < MINIMUM_FREEDOM) return [];
  const target = projection.project(({deviations, runs}) => deviations / runs);
  const columns = kinds.map((kind) =>
    projection.project(({besides, runs}) => (besides.get(kind) ?? 0) / runs),
  );
  const product = (a: Float64Array, b: Float64Array) =>
    projection.product(a, b);
  const inverse = invert(columns.map((a) => columns.map((b) => product(a, b))));
  const moments = columns.map((column) => product(column, target));
  const effects = inverse.map((row) => innerProduct(row, moments));
  const rest = target.map((value, i) =>
    columns.reduce(
      (left, column, j) => left - (effects[j] ?? 0) * (column[i] ?? 0),
      value,
    ),
  );
  const scatter = Math.max(
    MINIMUM_SCATTER,
    Math.sqrt(product(rest, rest) / freedom),
  );
  return kinds.flatMap((beside, j) => {
    const variance = inverse[j]?.[j] ?? 0;
    if (variance <= 0) return [];
    const error = scatter * Math.sqrt(variance);
    const estimate = effects[j] ?? 0;
    return [{beside, estimate, error, ...countSeen(clusters, beside)}];
  });
}

/** Counts the runs beside the kind, and their workers. */
function countSeen(
  clusters: readonly RunCluster[],
  beside: WorkKind,
): {readonly runs: number; readonly workers: number} {
  const workers = new Set<WorkerId>();
  let runs = 0;
  for (const {besides, workerId} of clusters) {
    const count = besides.get(beside) ?? 0;
    if (count > 0) workers.add(workerId);
    runs += count;
  }
  return {runs, workers: workers.size};
}

/** Removes the constants of steps and of workers from values of clusters. */
class Projection {
  private readonly weights: Float64Array;
  private readonly steps: Groups;
  private readonly workers: Groups;

  constructor(private readonly clusters: readonly RunCluster[]) {
    const isLone = findLone(clusters);
    this.weights = Float64Array.from(clusters, ({runs}, i) => {
      const shared = isLone[i] === true ? LONE_STEP_VARIANCE : SHARED_VARIANCE;
      return 1 / (1 / runs + shared);
    });
    // Steps without siblings elsewhere share one constant.
    const stepNames = clusters.map(({stepName}, i) =>
      isLone[i] === true ? '' : stepName,
    );
    const workerIds = clusters.map(({workerId}) => workerId);
    this.steps = new Groups(stepNames, this.weights);
    this.workers = new Groups(workerIds, this.weights);
  }

  /** Number of constants that are fitted. */
  get constants(): number {
    return this.steps.count + this.workers.count - 1;
  }

  project(valueOf: (cluster: RunCluster) => number): Float64Array {
    const values = Float64Array.from(this.clusters, valueOf);
    for (let round = 0; round < PROJECTIONS; round += 1) {
      this.steps.removeMeans(values);
      this.workers.removeMeans(values);
    }
    return values;
  }

  product(a: Float64Array, b: Float64Array): number {
    let sum = 0;
    for (let i = 0; i < a.length; i += 1) {
      sum += (this.weights[i] ?? 0) * (a[i] ?? 0) * (b[i] ?? 0);
    }
    return sum;
  }
}

/** True for each cluster that is the only one of its step. */
function findLone(clusters: readonly RunCluster[]): readonly boolean[] {
  const counts = new Map<string, number>();
  for (const {stepName} of clusters) {
    counts.set(stepName, (counts.get(stepName) ?? 0) + 1);
  }
  return clusters.map(({stepName}) => counts.get(stepName) === 1);
}

function frequentKinds(clusters: readonly RunCluster[]): readonly WorkKind[] {
  const counts = new Map<WorkKind, number>();
  for (const {besides} of clusters) {
    for (const kind of besides.keys()) {
      counts.set(kind, (counts.get(kind) ?? 0) + 1);
    }
  }
  return [...counts]
    .sort(([, a], [, b]) => b - a)
    .slice(0, MAXIMUM_KINDS)
    .map(([kind]) => kind);
}

/** Clusters by the step or the worker that they belong to. */
class Groups {
  readonly count: number;
  /** Number of each cluster's group. */
  private readonly numbers: Int32Array;
  private readonly weights: Float64Array;
  private readonly sums: Float64Array;

  constructor(
    names: readonly string[],
    private readonly clusterWeights: Float64Array,
  ) {
    const numbers = new Map<string, number>();
    this.numbers = Int32Array.from(names, (name) => {
      const number = numbers.get(name) ?? numbers.size;
      numbers.set(name, number);
      return number;
    });
    this.count = numbers.size;
    const {count} = this;
    this.weights = new Float64Array(count);
    this.sums = new Float64Array(count);
    this.accumulate(this.weights);
  }

  /** Subtracts the weighted mean of each group, in place. */
  removeMeans(values: Float64Array): void {
    const {sums, weights, numbers} = this;
    this.accumulate(sums, values);
    for (let i = 0; i < values.length; i += 1) {
      const group = numbers[i] ?? 0;
      values[i] = (values[i] ?? 0) - (sums[group] ?? 0) / (weights[group] ?? 1);
    }
  }

  private accumulate(totals: Float64Array, values?: Float64Array): void {
    const {numbers, clusterWeights} = this;
    totals.fill(0);
    for (let i = 0; i < numbers.length; i += 1) {
      const group = numbers[i] ?? 0;
      const value = values === undefined ? 1 : (values[i] ?? 0);
      totals[group] = (totals[group] ?? 0) + (clusterWeights[i] ?? 0) * value;
    }
  }
}

function innerProduct(a: readonly number[], b: readonly number[]): number {
  return a.reduce((sum, value, i) => sum + value * (b[i] ?? 0), 0);
}

/**
 * Inverts a symmetric matrix by elimination. The rows and columns of kinds that
 * depend on the others are 0 in the result.
 */
function invert(matrix: readonly number[][]): readonly number[][] {
  const size = matrix.length;
  const left = matrix.map((row) => [...row]);
  const right = matrix.map((_row, i) =>
    matrix.map((_row, j) => Number(i === j)),
  );
  const isUsable = matrix.map(() => true);
  for (let i = 0; i < size; i += 1) {
    const pivot = left[i]?.[i] ?? 0;
    const scale = matrix[i]?.[i] ?? 0;
    if (scale < MINIMUM_VARIATION || pivot < scale * 0.01) {
      isUsable[i] = false;
      continue;
    }
    for (const rows of [left, right]) {
      rows[i] = (rows[i] ?? []).map((value) => value / pivot);
    }
    for (let k = 0; k < size; k += 1) {
      const factor = left[k]?.[i] ?? 0;
      if (k === i || factor === 0) continue;
      for (const rows of [left, right]) {
        const source = rows[i] ?? [];
        rows[k] = (rows[k] ?? []).map(
          (value, j) => value - factor * (source[j] ?? 0),
        );
      }
    }
  }
  return right.map((row, i) =>
    row.map((value, j) =>
      isUsable[i] === true && isUsable[j] === true ? value : 0,
    ),
  );
}
