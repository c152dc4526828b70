/**
 * Time as the state machines see it. All instants are milliseconds on a
 * monotonic scale whose zero is arbitrary but fixed for one process.
 */

/** Source of the present instant. */
export interface Clock {
  /** Returns the present instant in milliseconds; never decreases. */
  now(): number;
}

/** Clock whose time moves only when a test advances it. */
export interface ManualClock extends Clock {
  /** Moves time forward by `durationMs` milliseconds. */
  advance(durationMs: number): void;
}

/** Creates a clock that starts at `startMs` and is advanced by hand. */
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
