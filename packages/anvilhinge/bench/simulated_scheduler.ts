/**
 * Scheduler in simulated time for benches with many timers. Promises settle
 * before the time advances.
 */
import type * as scheduler from "../src/ports/scheduler.ts";

export interface SimulatedScheduler extends scheduler.Scheduler {
  /** Advances the time by the duration; runs the timers due before its end. */
  run(durationMs: number): Promise<void>;
}

interface Timer {
  readonly callback: () => void;
  readonly signal: AbortSignal | undefined;
}

/** Creates a scheduler at time 0 that rounds due times up to milliseconds. */
export function createSimulatedScheduler(): SimulatedScheduler {
  const timersByDueMs = new Map<number, Timer[]>();
  let nowMs = 0;

  return {
    now: () => nowMs,
    schedule(callback, { delayMs, signal }) {
      const dueMs = Math.ceil(nowMs + Math.max(0, delayMs));
      const timers = timersByDueMs.get(dueMs) ?? [];
      timers.push({ callback, signal });
      timersByDueMs.set(dueMs, timers);
    },
    async run(durationMs) {
      const endMs = nowMs + durationMs;
      while (nowMs < endMs) {
        let dueTimers = timersByDueMs.get(nowMs);
        while (dueTimers !== undefined) {
          timersByDueMs.delete(nowMs);
          for (const { callback, signal } of dueTimers) {
            if (!signal?.aborted) callback();
          }
          await new Promise((resolve) => setImmediate(resolve));
          dueTimers = timersByDueMs.get(nowMs);
        }
        nowMs += 1;
      }
    },
  };
}
