/** Fits measured costs to a straight line and to a power of the size. */

/** One measured cost at one size. */
export interface Sample {
  readonly size: number;
  readonly value: number;
}

export interface Fit {
  /** Cost a unit of size, of the straight line. */
  readonly slope: number;
  readonly intercept: number;
  /** Root mean square distance from the line, over the mean value. */
  readonly residual: number;
  /** Exponent of growth between the sizes: 0 constant, 1 linear. */
  readonly exponent: number;
}

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function fitLine(
  points: readonly (readonly [x: number, y: number])[],
): { readonly slope: number; readonly intercept: number } {
  const meanX = computeMean(points.map(([x]) => x));
  const meanY = computeMean(points.map(([, y]) => y));
  let covariance = 0;
  let variance = 0;
  for (const [x, y] of points) {
    covariance += (x - meanX) * (y - meanY);
    variance += (x - meanX) ** 2;
  }
  const slope = variance === 0 ? 0 : covariance / variance;
  return { slope, intercept: meanY - slope * meanX };
}

/** Fits three samples or more. */
export function fitSamples(samples: readonly Sample[]): Fit {
  const line = fitLine(samples.map(({ size, value }) => [size, value]));
  const squares = samples.map(({ size, value }) =>
    (value - line.intercept - line.slope * size) ** 2
  );
  const mean = computeMean(samples.map(({ value }) => value));
  const positive = samples.filter(({ value }) => value > 0);
  const exponent = positive.length < 2
    ? 0
    : fitLine(positive.map(({ size, value }) => [
      Math.log(size),
      Math.log(value),
    ])).slope;
  return {
    ...line,
    residual: mean === 0 ? 0 : Math.sqrt(computeMean(squares)) / mean,
    exponent,
  };
}

/** Value of the fitted line at a size. */
export function estimateValue(fit: Fit, size: number): number {
  return fit.intercept + fit.slope * size;
}
