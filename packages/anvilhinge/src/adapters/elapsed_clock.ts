/**
 * A clock that also counts time in which the machine was suspended, which the
 * monotonic clock leaves out: where the wall clock runs ahead of it by more than
 * a bound, the difference counts as elapsed. A wall clock that is set forward
 * looks the same, which errs on the side of more time.
 */
import type * as clock from "@anvilhinge/coordination/clock";

export interface ElapsedClockOptions {
  readonly clock: clock.Clock;
  /** Wall-clock time in milliseconds. */
  readonly readWallMs: () => number;
}

/** Difference between the clocks that counts; less is drift. */
const jumpMs = 200;

/** Creates a clock that begins at the instant of `clock`. */
export function createElapsedClock(
  { clock, readWallMs }: ElapsedClockOptions,
): clock.Clock {
  let addedMs = 0;
  let aheadMs = readWallMs() - clock.now();

  return {
    now() {
      const steadyMs = clock.now();
      const nowAheadMs = readWallMs() - steadyMs;
      if (nowAheadMs > aheadMs + jumpMs) addedMs += nowAheadMs - aheadMs;
      // Follows drift and steps back without counting them.
      aheadMs = nowAheadMs;
      return steadyMs + addedMs;
    },
  };
}
