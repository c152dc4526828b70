/**
 * Estimate of the load of each expert from counts that arrive late and in
 * parts. Deterministic; all instants are passed in.
 *
 * The level of an expert is its exponentially weighted share of the layer's
 * tokens. How far each new report lies from the level tells how long the
 * estimate holds: the error that sampling explains is expected, what exceeds it
 * is drift.
 */

/** Tokens counted by one reporter over one interval. */
export interface CountReport {
  /** Names the reporter; its reports are cumulative since its start. */
  readonly reporter: string;
  /** Changes when the reporter's counters start anew. */
  readonly incarnation: string;
  /** Instant at which the counters were read. */
  readonly countedAtMs: number;
  /** Tokens by layer, then by expert, since the start of the incarnation. */
  readonly tokens: readonly (readonly number[])[];
}

export interface PopularityEstimatorOptions {
  readonly layerCount: number;
  readonly expertCount: number;
  /**
   * Time in which the weight of a count falls to one half, in milliseconds.
   * @default 30000
   */
  readonly halfLifeMs?: number;
}

/** Estimate for all layers at one instant. */
export interface Forecast {
  /** Share of the layer's tokens by layer, then by expert; a layer sums to 1. */
  readonly shares: readonly (readonly number[])[];
  /**
   * Time after which drift will have moved as much load as is now known to be
   * misplaced by one, in milliseconds; infinite when noise explains all change.
   */
  readonly horizonMs: number;
  /** Half of the summed differences between level and report, 0 to 1. */
  readonly error: number;
  /** Part of the error that sampling explains. */
  readonly noise: number;
  /** Tokens of a layer, on average, that the level rests on. */
  readonly tokensPerLayer: number;
}

export interface PopularityEstimator {
  /** Takes a report; late and doubled ones have no effect. */
  observe(report: CountReport): void;
  /** Returns the estimate; even shares before the first counts. */
  estimate(): Forecast;
}

interface Reporter {
  incarnation: string;
  countedAtMs: number;
  tokens: readonly (readonly number[])[];
}

const defaultHalfLifeMs = 30_000;
const maxHorizonMs = 86_400_000;
/** Weight of a new error in the running error. */
const errorWeight = 0.2;
/** Mean absolute deviation of a normal distribution over its deviation. */
const meanAbsoluteDeviation = Math.sqrt(2 / Math.PI);

/** Creates an estimate without counts. */
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
  let hasLevel = false;

  /** Returns the tokens since the reporter's last report. */
  function takeDelta(report: CountReport): number[][] | undefined {
    const known = reporters.get(report.reporter);
    const isSame = known?.incarnation === report.incarnation;
    if (known !== undefined && report.countedAtMs <= known.countedAtMs) {
      return undefined;
    }
    reporters.set(report.reporter, {
      incarnation: report.incarnation,
      countedAtMs: report.countedAtMs,
      tokens: report.tokens,
    });
    if (known === undefined) return undefined;
    return report.tokens.map((row, layer) =>
      row.map((count, expert) => {
        const before = isSame ? known.tokens[layer]?.[expert] ?? 0 : 0;
        return Math.max(0, count - before);
      })
    );
  }

  function lowerWeights(countedAtMs: number): number {
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

  function recordError(delta: readonly (readonly number[])[]): void {
    const found = measureError(weights, delta);
    if (found === undefined) return;
    const weight = hasLevel ? errorWeight : 1;
    error += weight * (found.error - error);
    noise += weight * (found.noise - noise);
    hasLevel = true;
    // Drift and noise are independent, so their squares add up. The level
    // trails by the mean age of its counts.
    const drift = Math.sqrt(Math.max(0, error ** 2 - noise ** 2));
    driftPerMs = drift * Math.LN2 / halfLifeMs;
  }

  return {
    observe(report) {
      const delta = takeDelta(report);
      if (delta === undefined) return;
      lowerWeights(report.countedAtMs);
      recordError(delta);
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

/** Returns the mean over layers of the distance between level and counts. */
function measureError(
  weights: readonly (readonly number[])[],
  delta: readonly (readonly number[])[],
): { readonly error: number; readonly noise: number } | undefined {
  let error = 0;
  let noise = 0;
  let layers = 0;
  delta.forEach((row, layer) => {
    const level = weights[layer] ?? [];
    const seen = sumRow(row);
    const known = sumRow(level);
    if (seen === 0 || known === 0) return;
    layers += 1;
    row.forEach((count, expert) => {
      const share = level[expert]! / known;
      error += Math.abs(count / seen - share) / 2;
      const variance = share * (1 - share) * (1 / seen + 1 / known);
      noise += meanAbsoluteDeviation * Math.sqrt(variance) / 2;
    });
  });
  if (layers === 0) return undefined;
  return { error: error / layers, noise: noise / layers };
}
