/** Scheduler based on the monotonic clock and timers of Node.js. */
import { performance } from "node:perf_hooks";
import type * as scheduler from "../ports/scheduler.ts";

/** Creates a scheduler whose clock is `performance.now`. */
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
