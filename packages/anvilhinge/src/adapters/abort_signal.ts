/** Promise-based wait for an abort signal. */

/** Resolves when the signal aborts, or immediately if it has aborted. */
export function waitForAbort(signal: AbortSignal): Promise<void> {
  if (signal.aborted) return Promise.resolve();
  return new Promise((resolve) =>
    signal.addEventListener("abort", () => resolve(), { once: true })
  );
}
