/** Promise-based delay. */
import type * as scheduler from "../ports/scheduler.ts";

/** Resolves after the delay; never resolves if the signal aborts first. */
export function waitFor(
  timers: scheduler.Scheduler,
  options: scheduler.ScheduleOptions,
): Promise<void> {
  return new Promise((resolve) => timers.schedule(resolve, options));
}
