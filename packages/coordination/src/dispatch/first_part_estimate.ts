/**
 * Estimates the time from the dispatch of a request to the first part of its
 * answer, as a mean plus the mean deviation, both smoothed like the round-trip
 * time of TCP (RFC 6298).
 */

export interface FirstPartEstimate {
  observe(afterMs: number): void;
  /** Returns the time within which most answers begin; 0 without a sample. */
  get(): number;
}

const meanWeight = 1 / 8;
const deviationWeight = 1 / 4;

/** Creates an estimate without samples. */
export function createFirstPartEstimate(): FirstPartEstimate {
  let meanMs: number | undefined;
  let deviationMs = 0;
  return {
    observe(afterMs) {
      if (meanMs === undefined) {
        meanMs = afterMs;
        return;
      }
      const errorMs = afterMs - meanMs;
      deviationMs += deviationWeight * (Math.abs(errorMs) - deviationMs);
      meanMs += meanWeight * errorMs;
    },
    get: () => (meanMs ?? 0) + deviationMs,
  };
}
