/** Waiting for time to pass. */
import type * as scheduler from "../ports/scheduler.ts";

/** Resolves after the delay; never if the signal aborts before. */
export function waitFor(
  timers: scheduler.Scheduler,
  options: scheduler.ScheduleOptions,
): Promise<void> {
  return new Promise((resolve) => timers.schedule(resolve, options));
}
