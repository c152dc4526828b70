/** Measures by how much the event loop delays timers. */
import * as perfHooks from "node:perf_hooks";

const resolutionMs = 20;
const nanosecondsPerMs = 1e6;

/**
 * Starts measuring. The returned function returns the longest delay since its
 * previous call, in milliseconds.
 */
export function createLoopDelayMeter(
  { signal }: { readonly signal: AbortSignal },
): () => number {
  const histogram = perfHooks.monitorEventLoopDelay({
    resolution: resolutionMs,
  });
  histogram.enable();
  signal.addEventListener("abort", () => histogram.disable(), { once: true });
  return () => {
    const longestMs = histogram.max / nanosecondsPerMs;
    histogram.reset();
    return Math.max(0, Math.round(longestMs - resolutionMs));
  };
}
