/** The users' bound on the requests that an upstream with a rate limit gets. */

export const windowMs = 4_000;

/** Computes the requests that a limit allows in one window. */
export function computeAllowed(perSecond: number): number {
  return 1.5 * perSecond * windowMs / 1_000 + 5;
}

/** Counts the requests of the window with most of them. */
export function countMostInWindow(timesMs: readonly number[]): number {
  return Math.max(
    0,
    ...timesMs.map((startMs) =>
      timesMs.filter((atMs) => atMs >= startMs && atMs < startMs + windowMs)
        .length
    ),
  );
}
