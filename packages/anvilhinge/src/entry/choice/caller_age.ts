/**
 * Estimates how long a caller has waited before its request arrived, for example
 * because an earlier request of it was refused: the time by which it has less
 * time left than callers of the route usually have. The latency target counts
 * from the caller's first request.
 */
import type * as clock from "@anvilhinge/coordination/clock";

export interface CallerAge {
  /**
   * Returns the age of a request in milliseconds, from the time that its caller
   * will still wait; 0 for the first requests of a route.
   */
  estimate(route: string, leftMs: number): number;
  /** Keeps the estimates of these routes only. */
  retain(routes: ReadonlySet<string>): void;
}

/** Highest time left in two consecutive windows, the current and the last. */
interface UsualTime {
  readonly windowStartMs: number;
  readonly currentMs: number;
  readonly lastMs: number;
}

const windowMs = 5_000;
/** A caller with much less time left than others is in a hurry by itself. */
const maxAgeMs = 4_000;

/** Creates the estimate without requests. */
export function createCallerAge(
  { clock }: { readonly clock: clock.Clock },
): CallerAge {
  const usualByRoute = new Map<string, UsualTime>();

  function update(route: string, leftMs: number): UsualTime {
    const nowMs = clock.now();
    const previous = usualByRoute.get(route);
    const isCurrent = previous !== undefined &&
      nowMs - previous.windowStartMs < windowMs;
    const usual = isCurrent
      ? { ...previous, currentMs: Math.max(previous.currentMs, leftMs) }
      : {
        windowStartMs: nowMs,
        currentMs: leftMs,
        lastMs: previous?.currentMs ?? 0,
      };
    usualByRoute.set(route, usual);
    return usual;
  }

  return {
    estimate(route, leftMs) {
      const { currentMs, lastMs } = update(route, leftMs);
      const ageMs = Math.max(currentMs, lastMs) - leftMs;
      return ageMs <= maxAgeMs ? ageMs : 0;
    },
    retain(routes) {
      for (const route of usualByRoute.keys()) {
        if (!routes.has(route)) usualByRoute.delete(route);
      }
    },
  };
}
