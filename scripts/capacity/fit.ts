/** Fits measured costs to a straight line and to a power law of the size. */

/** One measured cost at one size. */
export interface Sample {
  readonly size: number;
  readonly value: number;
}

export interface Fit {
  /** Cost per unit of size, from the straight line. */
  readonly slope: number;
  readonly intercept: number;
  /** Root mean square error of the line, divided by the mean value. */
  readonly residual: number;
  /** Exponent of the power law: 0 is constant, 1 is linear. */
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

/** Fits a line and a power law to at least three samples. */
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

/** Returns the value of the fitted line at a size. */
export function estimateValue(fit: Fit, size: number): number {
  return fit.intercept + fit.slope * size;
}
