/**
 * Token buckets of the hub for upstreams with a rate limit: in any time `t` the
 * requests granted at an upstream are at most `limit x t` plus one burst. Only one
 * entry grants, so the sum over all entries keeps the limit, however many entries
 * there are and however small the limit is. In a divided network each part has a
 * hub, which grants the part of the limit for the entries that it can reach.
 */
import type * as clock from "../clock.ts";
import type * as rateLimits from "./rate_limits.ts";

export interface RateBudgetOptions {
  readonly clock: clock.Clock;
  readonly limits: Pick<rateLimits.RateLimits, "get" | "getStart">;
  /** Returns the part of each limit that may be granted here, from 0 to 1. */
  readonly readShare?: () => number;
}

export interface RateBudget {
  /** Whether a request may be granted; always true without a limit. */
  hasToken(upstreamId: string): boolean;
  /** Records that a request was granted. */
  take(upstreamId: string): void;
  /** Empties all buckets: another hub may just have used the limits. */
  reset(): void;
  /** Drops the buckets of all other upstreams. */
  retain(upstreamIds: { has(upstreamId: string): boolean }): void;
  /** Sums the tokens and rates of the limited ones among the upstreams. */
  sum(upstreamIds: readonly string[]): TokenSum;
}

export interface TokenSum {
  /** Tokens that can be taken now, with fractions. */
  readonly tokens: number;
  /** Tokens that are added in a millisecond. */
  readonly ratePerMs: number;
}

interface Bucket {
  readonly tokens: number;
  readonly updatedAtMs: number;
}

/** Time for which unused requests accumulate; at least one does. */
const burstMs = 250;
/**
 * Interval at which an upstream with a lower limit gets a request all the same,
 * because only an answer shows that its limit rose or ended.
 */
const probeIntervalMs = 5_000;
const millisecondsPerSecond = 1_000;
const minRatePerMs = 1 / probeIntervalMs;

/**
 * Creates the budget; a bucket begins empty when its limit begins and after each
 * reset.
 */
export function createRateBudget(
  { clock, limits, readShare = () => 1 }: RateBudgetOptions,
): RateBudget {
  const buckets = new Map<string, Bucket>();
  let resetAtMs = -Infinity;

  function getRatePerMs(upstreamId: string): number | undefined {
    const requestsPerSecond = limits.get(upstreamId);
    if (requestsPerSecond === undefined) return undefined;
    const ratePerMs = requestsPerSecond / millisecondsPerSecond;
    return readShare() * Math.max(minRatePerMs, ratePerMs);
  }

  function countTokens(upstreamId: string, ratePerMs: number): number {
    const limitedSinceMs = limits.getStart(upstreamId) ?? clock.now();
    const startedAtMs = Math.max(limitedSinceMs, resetAtMs);
    const known = buckets.get(upstreamId);
    // A bucket of an earlier limit is replaced.
    const bucket = known !== undefined && known.updatedAtMs >= startedAtMs
      ? known
      : { tokens: 0, updatedAtMs: startedAtMs };
    const capacity = Math.max(1, ratePerMs * burstMs);
    const elapsedMs = clock.now() - bucket.updatedAtMs;
    return Math.min(capacity, bucket.tokens + elapsedMs * ratePerMs);
  }

  return {
    hasToken(upstreamId) {
      const ratePerMs = getRatePerMs(upstreamId);
      return ratePerMs === undefined || countTokens(upstreamId, ratePerMs) >= 1;
    },
    take(upstreamId) {
      const ratePerMs = getRatePerMs(upstreamId);
      if (ratePerMs === undefined) {
        buckets.delete(upstreamId);
        return;
      }
      const tokens = countTokens(upstreamId, ratePerMs) - 1;
      buckets.set(upstreamId, { tokens, updatedAtMs: clock.now() });
    },
    reset() {
      buckets.clear();
      resetAtMs = clock.now();
    },
    retain(upstreamIds) {
      for (const id of buckets.keys()) {
        if (!upstreamIds.has(id)) buckets.delete(id);
      }
    },
    sum(upstreamIds) {
      let tokens = 0;
      let totalPerMs = 0;
      for (const upstreamId of upstreamIds) {
        const ratePerMs = getRatePerMs(upstreamId);
        if (ratePerMs === undefined) continue;
        tokens += countTokens(upstreamId, ratePerMs);
        totalPerMs += ratePerMs;
      }
      return { tokens, ratePerMs: totalPerMs };
    },
  };
}
