/** Detects that a rank with requests has stopped beginning forward passes. */

export interface PassSample {
  readonly atMs: number;
  readonly epoch: number;
  /** Number of the last pass that has begun. */
  readonly step: number;
  /** Whether the rank has requests. */
  readonly isBusy: boolean;
}

export interface StallDetector {
  /** Returns the time since the last pass began, in milliseconds; 0 if idle. */
  observe(sample: PassSample): number;
}

/** Creates a detector without samples. */
export function createStallDetector(): StallDetector {
  let lastProgress: PassSample | undefined;
  return {
    observe(sample) {
      const hasProgressed = lastProgress === undefined || !sample.isBusy ||
        sample.step !== lastProgress.step ||
        sample.epoch !== lastProgress.epoch;
      if (hasProgressed) lastProgress = sample;
      return sample.atMs - (lastProgress?.atMs ?? sample.atMs);
    },
  };
}
