/**
 * Estimates the load of each expert from counts that arrive late and from
 * several reporters. Deterministic; all timestamps are passed in.
 *
 * The level of an expert is its exponentially weighted share of the layer's
 * tokens. The distance of each new report from the level determines how long
 * the estimate remains valid: sampling noise explains a part of the distance,
 * and the remainder is drift.
 */

/** Cumulative token counts of one reporter. */
export interface CountReport {
  /** Id of the reporter. */
  readonly reporter: string;
  /** Changes when the reporter's counters restart from zero. */
  readonly incarnation: string;
  /** Time at which the counters were read. */
  readonly countedAtMs: number;
  /** Tokens by layer, then by expert, since the start of the incarnation. */
  readonly tokens: readonly (readonly number[])[];
}

export interface PopularityEstimatorOptions {
  readonly layerCount: number;
  readonly expertCount: number;
  /**
   * Time after which the weight of a count has fallen to half, in milliseconds.
   * @default 30000
   */
  readonly halfLifeMs?: number;
}

/** Snapshot of the estimate for all layers. */
export interface Forecast {
  /**
   * Share of the layer's tokens by layer, then by expert; a layer sums to 1.
   */
  readonly shares: readonly (readonly number[])[];
  /**
   * Time in which drift at its current rate misplaces as much as the whole load
   * of a layer, in milliseconds; one day at most, also when noise explains all
   * change.
   */
  readonly horizonMs: number;
  /** Half of the summed differences between level and report, from 0 to 1. */
  readonly error: number;
  /** Part of the error that sampling noise explains. */
  readonly noise: number;
  /** Decayed token count per layer that the level is based on. */
  readonly tokensPerLayer: number;
}

export interface PopularityEstimator {
  /** Adds a report; a late or duplicate report has no effect. */
  observe(report: CountReport): void;
  /** Returns the estimate, with equal shares before the first counts. */
  estimate(): Forecast;
}

interface Reporter {
  incarnation: string;
  countedAtMs: number;
  tokens: readonly (readonly number[])[];
}

const defaultHalfLifeMs = 30_000;
const maxHorizonMs = 86_400_000;
/** Weight of a new error in the moving average of errors. */
const errorWeight = 0.2;
/** Ratio of mean absolute to standard deviation of a normal distribution. */
const meanAbsoluteDeviationRatio = Math.sqrt(2 / Math.PI);

/** Creates an estimator without counts. */
export function createPopularityEstimator(
  options: PopularityEstimatorOptions,
): PopularityEstimator {
  const { layerCount, expertCount } = options;
  const halfLifeMs = options.halfLifeMs ?? defaultHalfLifeMs;
  const reporters = new Map<string, Reporter>();
  const weights = createMatrix(layerCount, expertCount);
  let newestMs: number | undefined;
  let error = 0;
  let noise = 0;
  let driftPerMs = 0;
  let hasError = false;

  /** Returns the tokens since the last report of the reporter. */
  function computeDelta(report: CountReport): number[][] | undefined {
    const previous = reporters.get(report.reporter);
    const isSameIncarnation = previous?.incarnation === report.incarnation;
    if (previous !== undefined && report.countedAtMs <= previous.countedAtMs) {
      return undefined;
    }
    reporters.set(report.reporter, {
      incarnation: report.incarnation,
      countedAtMs: report.countedAtMs,
      tokens: report.tokens,
    });
    if (previous === undefined) return undefined;
    return report.tokens.map((row, layer) =>
      row.map((count, expert) => {
        const previousCount = isSameIncarnation
          ? previous.tokens[layer]?.[expert] ?? 0
          : 0;
        return Math.max(0, count - previousCount);
      })
    );
  }

  function applyDecay(countedAtMs: number): number {
    const elapsedMs = Math.max(0, countedAtMs - (newestMs ?? countedAtMs));
    newestMs = Math.max(newestMs ?? countedAtMs, countedAtMs);
    const factor = 2 ** (-elapsedMs / halfLifeMs);
    for (const row of weights) {
      for (let expert = 0; expert < row.length; expert += 1) {
        row[expert]! *= factor;
      }
    }
    return elapsedMs;
  }

  function updateError(delta: readonly (readonly number[])[]): void {
    const measured = measureError(weights, delta);
    if (measured === undefined) return;
    const weight = hasError ? errorWeight : 1;
    error += weight * (measured.error - error);
    noise += weight * (measured.noise - noise);
    hasError = true;
    // The error combines independent drift and noise, so their squares add up.
    // The level lags by the mean age of its counts (half-life / ln 2).
    const drift = Math.sqrt(Math.max(0, error ** 2 - noise ** 2));
    driftPerMs = drift * Math.LN2 / halfLifeMs;
  }

  return {
    observe(report) {
      const delta = computeDelta(report);
      if (delta === undefined) return;
      applyDecay(report.countedAtMs);
      updateError(delta);
      delta.forEach((row, layer) =>
        row.forEach((count, expert) => {
          weights[layer]![expert]! += count;
        })
      );
    },
    estimate() {
      const shares = weights.map(normalizeShares);
      const horizonMs = driftPerMs === 0
        ? maxHorizonMs
        : Math.min(maxHorizonMs, 1 / driftPerMs);
      const total = weights.reduce((sum, row) => sum + sumRow(row), 0);
      const tokensPerLayer = total / layerCount;
      return { shares, horizonMs, error, noise, tokensPerLayer };
    },
  };
}

function createMatrix(rowCount: number, columnCount: number): number[][] {
  return Array.from(
    { length: rowCount },
    () => Array.from({ length: columnCount }, () => 0),
  );
}

function sumRow(row: readonly number[]): number {
  return row.reduce((sum, value) => sum + value, 0);
}

function normalizeShares(row: readonly number[]): number[] {
  const total = sumRow(row);
  return row.map((value) => total > 0 ? value / total : 1 / row.length);
}

/**
 * Returns the distance between the level and new counts, and the part of it
 * that sampling noise explains, both as means over layers.
 */
function measureError(
  weights: readonly (readonly number[])[],
  delta: readonly (readonly number[])[],
): { readonly error: number; readonly noise: number } | undefined {
  let error = 0;
  let noise = 0;
  let layerCount = 0;
  delta.forEach((row, layer) => {
    const layerWeights = weights[layer] ?? [];
    const deltaTotal = sumRow(row);
    const weightTotal = sumRow(layerWeights);
    if (deltaTotal === 0 || weightTotal === 0) return;
    layerCount += 1;
    row.forEach((count, expert) => {
      const share = layerWeights[expert]! / weightTotal;
      error += Math.abs(count / deltaTotal - share) / 2;
      const variance = share * (1 - share) * (1 / deltaTotal + 1 / weightTotal);
      noise += meanAbsoluteDeviationRatio * Math.sqrt(variance) / 2;
    });
  });
  if (layerCount === 0) return undefined;
  return { error: error / layerCount, noise: noise / layerCount };
}
