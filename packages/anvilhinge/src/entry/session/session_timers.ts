/**
 * Named timers of one session. Postponing a timer, as each frame does, creates
 * no platform timer: when the platform timer fires before the postponed due
 * time, it is scheduled again for the remaining time.
 */
import type * as scheduler from "../../ports/scheduler.ts";
import type * as session from "./session.ts";

export interface SessionTimersOptions {
  readonly scheduler: scheduler.Scheduler;
  /** Called when a timer expires. */
  readonly onDue: (name: session.TimerName) => void;
}

export interface SessionTimers {
  /** Sets the timer, replacing any earlier timer with this name. */
  set(name: session.TimerName, delayMs: number): void;
  /** Cancels all timers. */
  clear(): void;
}

interface Timer {
  dueMs: number;
  /** Time at which the platform timer fires; never after `dueMs`. */
  fireMs: number;
}

/** Creates the timers; initially none is set. */
export function createSessionTimers(
  options: SessionTimersOptions,
): SessionTimers {
  const { scheduler: platformScheduler } = options;
  const abort = new AbortController();
  const timers = new Map<session.TimerName, Timer>();

  function schedule(name: session.TimerName, timer: Timer): void {
    const { fireMs } = timer;
    platformScheduler.schedule(() => expire(name, { timer, fireMs }), {
      delayMs: fireMs - platformScheduler.now(),
      signal: abort.signal,
    });
  }

  function expire(
    name: session.TimerName,
    fired: { readonly timer: Timer; readonly fireMs: number },
  ): void {
    const { timer } = fired;
    // The timer was replaced by an earlier one, or has already expired.
    if (timers.get(name) !== timer || timer.fireMs !== fired.fireMs) return;
    if (timer.dueMs > fired.fireMs) {
      timer.fireMs = timer.dueMs;
      schedule(name, timer);
      return;
    }
    timers.delete(name);
    options.onDue(name);
  }

  return {
    set(name, delayMs) {
      const dueMs = platformScheduler.now() + delayMs;
      const current = timers.get(name);
      if (current !== undefined && current.fireMs <= dueMs) {
        current.dueMs = dueMs;
        return;
      }
      const timer = { dueMs, fireMs: dueMs };
      timers.set(name, timer);
      schedule(name, timer);
    },
    clear() {
      timers.clear();
      abort.abort();
    },
  };
}
