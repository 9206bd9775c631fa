/** Straight lines through measured points. */

/** One measured value `y` at size `x`. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

export interface LineFit {
  /** Value at size 0: the idle base. */
  readonly base: number;
  /** Increase per unit of size. */
  readonly slope: number;
  /** Root of the mean square distance of the points from the line. */
  readonly residual: number;
}

/** Fits by least squares; throws unless there are two different sizes. */
export function fitLine(points: readonly Point[]): LineFit {
  const count = points.length;
  const meanX = sum(points.map(({x}) => x)) / count;
  const meanY = sum(points.map(({y}) => y)) / count;
  const spread = sum(points.map(({x}) => (x - meanX) ** 2));
  if (!(spread > 0)) throw new Error('a fit needs two different sizes');
  const joint = sum(points.map(({x, y}) => (x - meanX) * (y - meanY)));
  const slope = joint / spread;
  const base = meanY - slope * meanX;
  const squares = points.map(({x, y}) => (y - base - slope * x) ** 2);
  return {base, slope, residual: Math.sqrt(sum(squares) / count)};
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
