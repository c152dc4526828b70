/**
 * Clock of this package's state machines. All timestamps are milliseconds on a
 * monotonic scale whose zero is arbitrary but fixed for one process.
 */

/** Source of the current time. */
export interface Clock {
  /** Returns the current time in milliseconds; never decreases. */
  now(): number;
}

/** Clock that advances only when a test calls `advance`. */
export interface ManualClock extends Clock {
  /** Advances the time by `durationMs` milliseconds. */
  advance(durationMs: number): void;
}

/** Creates a manual clock that starts at `startMs`. */
export function createManualClock(startMs = 0): ManualClock {
  let currentMs = startMs;
  return {
    now: () => currentMs,
    advance(durationMs) {
      if (durationMs < 0) {
        throw new RangeError(`Duration must not be negative: ${durationMs}`);
      }
      currentMs += durationMs;
    },
  };
}
