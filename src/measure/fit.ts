/** Least-squares fit of a line to measured points. */

/** A value `y` measured at size `x`. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

export interface LineFit {
  /** Value at size 0, the cost of an idle daemon. */
  readonly base: number;
  /** Increase per unit of size. */
  readonly slope: number;
  /** Root mean square of the vertical distances from the line. */
  readonly residual: number;
}

/** Throws unless the points have at least two different sizes. */
export function fitLine(points: readonly Point[]): LineFit {
  const count = points.length;
  const meanX = sum(points.map(({x}) => x)) / count;
  const meanY = sum(points.map(({y}) => y)) / count;
  const sumXX = sum(points.map(({x}) => (x - meanX) ** 2));
  if (!(sumXX > 0)) throw new Error('a line fit needs two different sizes');
  const sumXY = sum(points.map(({x, y}) => (x - meanX) * (y - meanY)));
  const slope = sumXY / sumXX;
  const base = meanY - slope * meanX;
  const squaredErrors = points.map(({x, y}) => (y - base - slope * x) ** 2);
  return {base, slope, residual: Math.sqrt(sum(squaredErrors) / count)};
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
