/** Notices that a rank which has requests begins no further pass. */

export interface PassSample {
  readonly atMs: number;
  readonly epoch: number;
  readonly step: number;
  /** Whether the rank has requests to work on. */
  readonly isBusy: boolean;
}

export interface StallDetector {
  /** Returns for how long no pass has begun, in milliseconds. */
  observe(sample: PassSample): number;
}

/** Creates a watch that has seen nothing. */
export function createStallDetector(): StallDetector {
  let since: PassSample | undefined;
  return {
    observe(sample) {
      const hasMoved = since === undefined || !sample.isBusy ||
        sample.step !== since.step || sample.epoch !== since.epoch;
      if (hasMoved) since = sample;
      return sample.atMs - (since?.atMs ?? sample.atMs);
    },
  };
}
