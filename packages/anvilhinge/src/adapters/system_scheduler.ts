/** Scheduler on the platform's monotonic clock and timers. */
import { performance } from "node:perf_hooks";
import type * as scheduler from "../ports/scheduler.ts";

/** Creates a scheduler whose instants are those of `performance.now`. */
export function createSystemScheduler(): scheduler.Scheduler {
  return { now: () => performance.now(), schedule: startTimer };
}

function startTimer(
  callback: () => void,
  { delayMs, signal }: scheduler.ScheduleOptions,
): void {
  if (signal?.aborted) return;
  const timer = setTimeout(() => {
    signal?.removeEventListener("abort", cancel);
    callback();
  }, delayMs);
  function cancel(): void {
    clearTimeout(timer);
  }
  signal?.addEventListener("abort", cancel, { once: true });
}
