/**
 * Popularity of experts from the growing counts of one rank. Recent counts
 * weigh most; when the newest ones differ from the rest by more than chance, the
 * rest is forgotten, because another kind of request is in demand now.
 */

export interface CountsWindowOptions {
  readonly layerCount: number;
  readonly expertCount: number;
  /**
   * Time after which a count has half of its weight, in milliseconds.
   * @default 400
   */
  readonly halfLifeMs?: number;
  /**
   * Distance between the newest shares and the others, from 0 to 1, above
   * which the others are forgotten. Popularity that changes does so for half
   * of the requests and more; sampling alone stays under 0.1.
   * @default 0.2
   */
  readonly shiftThreshold?: number;
}

export interface CountsSample {
  readonly atMs: number;
  /** Counts since the rank started, layer by layer in one row. */
  readonly counts: readonly number[];
}

export interface Popularity {
  /** Share of a layer's tokens by layer, then by expert. */
  readonly shares: readonly (readonly number[])[];
  /** Samples in a row that agree with it, the newest included. */
  readonly agreeingSamples: number;
  /** Counts of one layer in the newest sample. */
  readonly newestCountPerLayer: number;
}

export interface CountsWindow {
  observe(sample: CountsSample): void;
  /** Undefined until there are enough counts. */
  estimate(): Popularity | undefined;
  /** Forgets all, for a rank that started anew. */
  reset(): void;
}

const defaultHalfLifeMs = 400;
const defaultShiftDistance = 0.2;
/** Counts of a layer below which shares are noise. */
const minPerLayer = 400;

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
  const shiftDistance = options.shiftThreshold ?? defaultShiftDistance;
  let last: CountsSample | undefined;
  let weights: number[] = [];
  let agreeing = 0;
  let newestPerLayer = 0;

  function measureDistance(delta: readonly number[]): number {
    let distance = 0;
    for (let layer = 0; layer < layerCount; layer += 1) {
      const from = layer * expertCount;
      const seen = sum(delta.slice(from, from + expertCount));
      const known = sum(weights.slice(from, from + expertCount));
      if (seen === 0 || known === 0) continue;
      for (let index = from; index < from + expertCount; index += 1) {
        distance += Math.abs(delta[index]! / seen - weights[index]! / known);
      }
    }
    return distance / (2 * layerCount);
  }

  function merge(delta: readonly number[], elapsedMs: number): void {
    const isShift = agreeing > 0 && measureDistance(delta) > shiftDistance;
    const kept = isShift || agreeing === 0 ? 0 : 2 ** (-elapsedMs / halfLifeMs);
    weights = delta.map((value, index) =>
      value + kept * (kept === 0 ? 0 : weights[index]!)
    );
    agreeing = isShift ? 1 : agreeing + 1;
  }

  function reset(): void {
    last = undefined;
    weights = [];
    agreeing = 0;
  }

  return {
    observe(sample) {
      const before = last;
      if (before === undefined) {
        last = sample;
        return;
      }
      const delta = sample.counts.map((count, index) =>
        count - (before.counts[index] ?? 0)
      );
      if (delta.some((value) => value < 0)) {
        reset();
        last = sample;
        return;
      }
      const perLayer = sum(delta) / layerCount;
      // Waits for more rather than take few counts for a shift.
      if (perLayer < minPerLayer) return;
      newestPerLayer = perLayer;
      merge(delta, sample.atMs - before.atMs);
      last = sample;
    },
    estimate() {
      if (agreeing === 0) return undefined;
      const shares = Array.from({ length: layerCount }, (_, layer) => {
        const from = layer * expertCount;
        const row = weights.slice(from, from + expertCount);
        const total = sum(row);
        return row.map((value) => total > 0 ? value / total : 1 / expertCount);
      });
      return {
        shares,
        agreeingSamples: agreeing,
        newestCountPerLayer: newestPerLayer,
      };
    },
    reset,
  };
}
