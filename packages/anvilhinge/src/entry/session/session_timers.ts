/**
 * The named timers of one session. A timer that is set anew at each frame costs
 * no platform timer: the armed one looks at the latest due instant when it
 * fires, and goes on waiting for the rest.
 */
import type * as scheduler from "../../ports/scheduler.ts";
import type * as session from "./session.ts";

export interface SessionTimersOptions {
  readonly scheduler: scheduler.Scheduler;
  /** Called when a timer is due. */
  readonly onDue: (name: session.TimerName) => void;
}

export interface SessionTimers {
  /** Sets the timer, in place of an earlier one of the same name. */
  set(name: session.TimerName, delayMs: number): void;
  /** Cancels all timers. */
  clear(): void;
}

interface Timer {
  dueMs: number;
  /** Instant at which the platform's timer fires; never after `dueMs`. */
  armedMs: number;
}

/** Creates timers of which none is set. */
export function createSessionTimers(
  options: SessionTimersOptions,
): SessionTimers {
  const { scheduler: clock } = options;
  const abort = new AbortController();
  const timers = new Map<session.TimerName, Timer>();

  function start(name: session.TimerName, timer: Timer): void {
    const { armedMs } = timer;
    clock.schedule(() => expire(name, { timer, armedMs }), {
      delayMs: armedMs - clock.now(),
      signal: abort.signal,
    });
  }

  function expire(
    name: session.TimerName,
    fired: { readonly timer: Timer; readonly armedMs: number },
  ): void {
    const { timer } = fired;
    // Replaced by a timer that is due earlier, or done already.
    if (timers.get(name) !== timer || timer.armedMs !== fired.armedMs) return;
    if (timer.dueMs > fired.armedMs) {
      timer.armedMs = timer.dueMs;
      start(name, timer);
      return;
    }
    timers.delete(name);
    options.onDue(name);
  }

  return {
    set(name, delayMs) {
      const dueMs = clock.now() + delayMs;
      const armed = timers.get(name);
      if (armed !== undefined && armed.armedMs <= dueMs) {
        armed.dueMs = dueMs;
        return;
      }
      const timer = { dueMs, armedMs: dueMs };
      timers.set(name, timer);
      start(name, timer);
    },
    clear() {
      timers.clear();
      abort.abort();
    },
  };
}
