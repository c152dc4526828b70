/** Timers, injected so that tests can use a fake clock. */
import type * as clock from "@anvilhinge/coordination/clock";

export interface ScheduleOptions {
  readonly delayMs: number;
  /** Cancels the timer. */
  readonly signal?: AbortSignal;
}

/** A clock with timers; all callbacks run on the event loop. */
export interface Scheduler extends clock.Clock {
  schedule(callback: () => void, options: ScheduleOptions): void;
}
