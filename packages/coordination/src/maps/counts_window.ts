/**
 * Popularity of experts, estimated from the cumulative counts of one rank with
 * exponential decay. When the newest counts differ from the older ones by more
 * than sampling noise, the older counts are discarded, because the mix of
 * requests has changed.
 */

export interface CountsWindowOptions {
  readonly layerCount: number;
  readonly expertCount: number;
  /**
   * Time after which the weight of a count has fallen to half, in milliseconds.
   * @default 400
   */
  readonly halfLifeMs?: number;
  /**
   * Distance between the newest and the older shares, from 0 to 1, above which
   * the older counts are discarded. A change of popularity affects half of the
   * requests or more; sampling noise alone stays under 0.1.
   * @default 0.2
   */
  readonly shiftThreshold?: number;
}

export interface CountsSample {
  readonly atMs: number;
  /** Counts since the start of the rank, the layers concatenated. */
  readonly counts: readonly number[];
}

export interface PopularityEstimate {
  /** Share of a layer's tokens by layer, then by expert. */
  readonly shares: readonly (readonly number[])[];
  /** Consecutive samples that agree with the estimate, including the newest. */
  readonly agreeingSamples: number;
  /** Counts of one layer in the newest sample, as a mean over layers. */
  readonly newestCountPerLayer: number;
}

export interface CountsWindow {
  observe(sample: CountsSample): void;
  /** Returns the estimate; undefined until there are enough counts. */
  estimate(): PopularityEstimate | undefined;
  /** Discards all samples, for example after a new epoch of the group. */
  reset(): void;
}

const defaultHalfLifeMs = 400;
const defaultShiftThreshold = 0.2;
/** Counts per layer below which sampling noise dominates the shares. */
const minCountPerLayer = 400;

function sum(row: readonly number[]): number {
  let total = 0;
  for (const value of row) total += value;
  return total;
}

/** Creates an empty window. */
export function createCountsWindow(
  options: CountsWindowOptions,
): CountsWindow {
  const { layerCount, expertCount } = options;
  const halfLifeMs = options.halfLifeMs ?? defaultHalfLifeMs;
  const shiftThreshold = options.shiftThreshold ?? defaultShiftThreshold;
  let lastSample: CountsSample | undefined;
  let decayedCounts: number[] = [];
  let agreeingSamples = 0;
  let newestCountPerLayer = 0;

  function measureDistance(delta: readonly number[]): number {
    let distance = 0;
    for (let layer = 0; layer < layerCount; layer += 1) {
      const from = layer * expertCount;
      const deltaTotal = sum(delta.slice(from, from + expertCount));
      const decayedTotal = sum(decayedCounts.slice(from, from + expertCount));
      if (deltaTotal === 0 || decayedTotal === 0) continue;
      for (let index = from; index < from + expertCount; index += 1) {
        distance += Math.abs(
          delta[index]! / deltaTotal - decayedCounts[index]! / decayedTotal,
        );
      }
    }
    return distance / (2 * layerCount);
  }

  function updateCounts(delta: readonly number[], elapsedMs: number): void {
    const isShift = agreeingSamples > 0 &&
      measureDistance(delta) > shiftThreshold;
    const decayFactor = isShift || agreeingSamples === 0
      ? 0
      : 2 ** (-elapsedMs / halfLifeMs);
    decayedCounts = delta.map((value, index) =>
      value + decayFactor * (decayFactor === 0 ? 0 : decayedCounts[index]!)
    );
    agreeingSamples = isShift ? 1 : agreeingSamples + 1;
  }

  function reset(): void {
    lastSample = undefined;
    decayedCounts = [];
    agreeingSamples = 0;
  }

  return {
    observe(sample) {
      const previous = lastSample;
      if (previous === undefined) {
        lastSample = sample;
        return;
      }
      const delta = sample.counts.map((count, index) =>
        count - (previous.counts[index] ?? 0)
      );
      if (delta.some((value) => value < 0)) {
        reset();
        lastSample = sample;
        return;
      }
      const countPerLayer = sum(delta) / layerCount;
      // Sampling noise in few counts could be mistaken for a shift, so they are
      // counted with the next sample.
      if (countPerLayer < minCountPerLayer) return;
      newestCountPerLayer = countPerLayer;
      updateCounts(delta, sample.atMs - previous.atMs);
      lastSample = sample;
    },
    estimate() {
      if (agreeingSamples === 0) return undefined;
      const shares = Array.from({ length: layerCount }, (_, layer) => {
        const from = layer * expertCount;
        const row = decayedCounts.slice(from, from + expertCount);
        const total = sum(row);
        return row.map((value) => total > 0 ? value / total : 1 / expertCount);
      });
      return {
        shares,
        agreeingSamples,
        newestCountPerLayer,
      };
    },
    reset,
  };
}
