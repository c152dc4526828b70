/** Scheduler for tests; its time moves only when the test advances it. */
import type * as scheduler from "../ports/scheduler.ts";

/** Scheduler that runs its callbacks inside `advance` and `advanceAsync`. */
export interface ManualScheduler extends scheduler.Scheduler {
  /** Moves time forward and runs the callbacks that become due, in order. */
  advance(durationMs: number): void;
  /** Like `advance`, but settles promises before and after each callback. */
  advanceAsync(durationMs: number): Promise<void>;
  /** Returns the number of timers that have neither run nor been aborted. */
  countTimers(): number;
}

interface Timer {
  readonly dueMs: number;
  readonly sequence: number;
  readonly callback: () => void;
  readonly signal: AbortSignal | undefined;
}

/** Creates a scheduler that starts at `startMs`. */
export function createManualScheduler(startMs = 0): ManualScheduler {
  let currentMs = startMs;
  let nextSequence = 0;
  let timers: Timer[] = [];

  function takeDue(limitMs: number): Timer | undefined {
    timers = timers.filter((timer) => !timer.signal?.aborted);
    const due = timers
      .filter((timer) => timer.dueMs <= limitMs)
      .reduce<Timer | undefined>(chooseEarlier, undefined);
    if (due === undefined) return undefined;
    timers = timers.filter((timer) => timer !== due);
    currentMs = Math.max(currentMs, due.dueMs);
    return due;
  }

  return {
    now: () => currentMs,
    schedule(callback, { delayMs, signal }) {
      const dueMs = currentMs + Math.max(0, delayMs);
      timers.push({ dueMs, sequence: nextSequence++, callback, signal });
    },
    advance(durationMs) {
      const limitMs = computeLimit(currentMs, durationMs);
      let due = takeDue(limitMs);
      while (due !== undefined) {
        due.callback();
        due = takeDue(limitMs);
      }
      currentMs = limitMs;
    },
    async advanceAsync(durationMs) {
      const limitMs = computeLimit(currentMs, durationMs);
      await settlePromises();
      let due = takeDue(limitMs);
      while (due !== undefined) {
        due.callback();
        await settlePromises();
        due = takeDue(limitMs);
      }
      currentMs = limitMs;
    },
    countTimers: () => timers.filter((timer) => !timer.signal?.aborted).length,
  };
}

function computeLimit(currentMs: number, durationMs: number): number {
  if (durationMs >= 0) return currentMs + durationMs;
  throw new RangeError(`Duration must not be negative: ${durationMs}`);
}

function chooseEarlier(best: Timer | undefined, timer: Timer): Timer {
  if (best === undefined || timer.dueMs < best.dueMs) return timer;
  if (timer.dueMs > best.dueMs) return best;
  return timer.sequence < best.sequence ? timer : best;
}

/** Resolves after all pending promise callbacks have run. */
function settlePromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
