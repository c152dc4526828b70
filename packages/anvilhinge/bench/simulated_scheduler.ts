/** Scheduler for benches with many timers; promises settle between instants. */
import type * as scheduler from "../src/ports/scheduler.ts";

export interface SimulatedScheduler extends scheduler.Scheduler {
  /** Runs all timers that fall due within the duration. */
  run(durationMs: number): Promise<void>;
}

interface Timer {
  readonly callback: () => void;
  readonly signal: AbortSignal | undefined;
}

/** Creates a clock at 0 that resolves times to whole milliseconds. */
export function createSimulatedScheduler(): SimulatedScheduler {
  const byInstant = new Map<number, Timer[]>();
  let nowMs = 0;

  return {
    now: () => nowMs,
    schedule(callback, { delayMs, signal }) {
      const dueMs = Math.ceil(nowMs + Math.max(0, delayMs));
      const due = byInstant.get(dueMs) ?? [];
      due.push({ callback, signal });
      byInstant.set(dueMs, due);
    },
    async run(durationMs) {
      const endMs = nowMs + durationMs;
      while (nowMs < endMs) {
        let due = byInstant.get(nowMs);
        while (due !== undefined) {
          byInstant.delete(nowMs);
          for (const { callback, signal } of due) {
            if (!signal?.aborted) callback();
          }
          await new Promise((resolve) => setImmediate(resolve));
          due = byInstant.get(nowMs);
        }
        nowMs += 1;
      }
    },
  };
}
