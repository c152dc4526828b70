/**
 * Recognizes callers that come back after a refusal or a failure. Callers state
 * the time that they still wait. Their time limits vary, but a caller that comes
 * back has far less time left than most others.
 */

export interface ReturningCallers {
  /**
   * Records the time left of a request on a route with this timeout. Returns
   * for how long its caller has waited before, in milliseconds; 0 for a caller
   * that is not recognized.
   */
  observe(leftMs: number, route: { readonly timeoutMs: number }): number;
}

/** Requests on routes with one timeout. */
interface History {
  /** Times left of the latest requests, without those of returned callers. */
  readonly samples: number[];
  returnedInRow: number;
}

/** Number of recent requests of one timeout that are compared. */
const maxSamples = 64;
/** Number of requests below which no caller is recognized. */
const minSamples = 12;
/** Tukey's fence: distance from the lower quartile in interquartile ranges. */
const fenceRanges = 1.5;

/** Creates a record without requests. */
export function createReturningCallers(): ReturningCallers {
  const historyByTimeout = new Map<number, History>();

  function computeElapsed(
    leftMs: number,
    { samples }: History,
  ): number {
    if (samples.length < minSamples) return 0;
    const sorted = [...samples].sort((a, b) => a - b);
    const [lower, median, upper] = [0.25, 0.5, 0.75]
      .map((share) => sorted[Math.floor(share * sorted.length)] ?? 0) as [
        number,
        number,
        number,
      ];
    const isOutlier = leftMs < lower - fenceRanges * (upper - lower);
    return isOutlier ? median - leftMs : 0;
  }

  return {
    observe(leftMs, { timeoutMs }) {
      const history = historyByTimeout.get(timeoutMs) ??
        { samples: [], returnedInRow: 0 };
      historyByTimeout.set(timeoutMs, history);
      const elapsedMs = computeElapsed(leftMs, history);
      history.returnedInRow = elapsedMs > 0 ? history.returnedInRow + 1 : 0;
      // Callers that come back are no sample of the time limits, unless there
      // are no others: then the limits have changed.
      if (history.returnedInRow > maxSamples) history.samples.length = 0;
      if (elapsedMs > 0) return elapsedMs;
      history.samples.push(leftMs);
      if (history.samples.length > maxSamples) history.samples.shift();
      return 0;
    },
  };
}
