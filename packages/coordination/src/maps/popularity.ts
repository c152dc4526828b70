/**
 * Estimates the load of each expert from counts that arrive late and from
 * several reporters, for `planner.ts`; agents use `counts_window.ts`.
 * Deterministic; all timestamps are passed in.
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

/** Last report of one reporter. */
interface ReportedCounts {
  incarnation: string;
  countedAtMs: number;
  tokens: readonly (readonly number[])[];
}

const defaultHalfLifeMs = 30_000;
const maxHorizonMs = 86_400_000;
/** Weight of a new error in the moving average of errors. */
const errorWeight = 0.2;
/** Mean absolute deviation of a normal distribution of standard deviation 1. */
const meanAbsoluteDeviationRatio = Math.sqrt(2 / Math.PI);

/** Creates an estimator without counts. */
export function createPopularityEstimator(
  options: PopularityEstimatorOptions,
): PopularityEstimator {
  const { layerCount, expertCount } = options;
  const halfLifeMs = options.halfLifeMs ?? defaultHalfLifeMs;
  const lastReports = new Map<string, ReportedCounts>();
  const decayedCounts = createMatrix(layerCount, expertCount);
  let newestCountedAtMs: number | undefined;
  let error = 0;
  let noise = 0;
  let driftPerMs = 0;
  let isErrorMeasured = false;

  /**
   * Records a report. Returns the tokens since the last report of the reporter;
   * undefined for a first or late report.
   */
  function computeDelta(report: CountReport): number[][] | undefined {
    const previous = lastReports.get(report.reporter);
    const isSameIncarnation = previous?.incarnation === report.incarnation;
    if (previous !== undefined && report.countedAtMs <= previous.countedAtMs) {
      return undefined;
    }
    lastReports.set(report.reporter, {
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
    const elapsedMs = Math.max(
      0,
      countedAtMs - (newestCountedAtMs ?? countedAtMs),
    );
    newestCountedAtMs = Math.max(newestCountedAtMs ?? countedAtMs, countedAtMs);
    const factor = 2 ** (-elapsedMs / halfLifeMs);
    for (const row of decayedCounts) {
      for (let expert = 0; expert < row.length; expert += 1) {
        row[expert]! *= factor;
      }
    }
    return elapsedMs;
  }

  function updateError(delta: readonly (readonly number[])[]): void {
    const measured = measureError(decayedCounts, delta);
    if (measured === undefined) return;
    const weight = isErrorMeasured ? errorWeight : 1;
    error += weight * (measured.error - error);
    noise += weight * (measured.noise - noise);
    isErrorMeasured = true;
    // The error combines independent drift and noise, so their squares add up.
    // The level lags by the mean age of its counts (half-life / ln 2), which is
    // the time in which the drift has built up.
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
          decayedCounts[layer]![expert]! += count;
        })
      );
    },
    estimate() {
      const shares = decayedCounts.map(normalizeShares);
      const horizonMs = driftPerMs === 0
        ? maxHorizonMs
        : Math.min(maxHorizonMs, 1 / driftPerMs);
      const total = decayedCounts.reduce((sum, row) => sum + sumRow(row), 0);
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
  decayedCounts: readonly (readonly number[])[],
  delta: readonly (readonly number[])[],
): { readonly error: number; readonly noise: number } | undefined {
  let error = 0;
  let noise = 0;
  let layerCount = 0;
  delta.forEach((row, layer) => {
    const decayedRow = decayedCounts[layer] ?? [];
    const deltaTotal = sumRow(row);
    const decayedTotal = sumRow(decayedRow);
    if (deltaTotal === 0 || decayedTotal === 0) return;
    layerCount += 1;
    row.forEach((count, expert) => {
      const share = decayedRow[expert]! / decayedTotal;
      error += Math.abs(count / deltaTotal - share) / 2;
      const variance = share * (1 - share) *
        (1 / deltaTotal + 1 / decayedTotal);
      noise += meanAbsoluteDeviationRatio * Math.sqrt(variance) / 2;
    });
  });
  if (layerCount === 0) return undefined;
  return { error: error / layerCount, noise: noise / layerCount };
}
