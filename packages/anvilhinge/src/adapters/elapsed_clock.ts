/**
 * Clock that includes time during which the machine was suspended, which the
 * monotonic clock excludes. If the wall clock has advanced more than the
 * monotonic clock by more than a threshold, the difference counts as elapsed.
 * Setting the wall clock forward can't be told from a suspension; the error is
 * on the side of more elapsed time.
 */
import type * as clock from "@anvilhinge/coordination/clock";

export interface ElapsedClockOptions {
  readonly clock: clock.Clock;
  /** Wall-clock time in milliseconds. */
  readonly readWallMs: () => number;
}

/**
 * Largest increase of the wall clock's lead over the monotonic clock, between
 * two reads, that counts as drift.
 */
const maxDriftMs = 200;

/** Creates a clock that starts at the current time of `clock`. */
export function createElapsedClock(
  { clock, readWallMs }: ElapsedClockOptions,
): clock.Clock {
  let suspendedMs = 0;
  let leadMs = readWallMs() - clock.now();

  return {
    now() {
      const monotonicMs = clock.now();
      const newLeadMs = readWallMs() - monotonicMs;
      if (newLeadMs > leadMs + maxDriftMs) suspendedMs += newLeadMs - leadMs;
      // Drift and backward steps only update the lead.
      leadMs = newLeadMs;
      return monotonicMs + suspendedMs;
    },
  };
}
