/** Timers, passed in so that tests run them on a fake clock. */
import type * as clock from "@anvilhinge/coordination/clock";

export interface ScheduleOptions {
  readonly delayMs: number;
  /** Cancels the timer. */
  readonly signal?: AbortSignal;
}

/** A clock with timers; all callbacks run on the one loop. */
export interface Scheduler extends clock.Clock {
  schedule(callback: () => void, options: ScheduleOptions): void;
}
