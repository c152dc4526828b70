/**
 * Outlier ejection of upstreams at one node. An outlier is ejected for a period
 * that doubles with each ejection. Afterwards it is half-open: one request at a
 * time probes it, and a completed probe restores it. A pool holds the upstreams
 * of one model or service, or the ranks of one group. It caps the share of its
 * members that may be ejected, and its last available member is never ejected.
 */
import type * as clock from "./clock.ts";
import type * as random from "./random.ts";

/**
 * How an attempt ended. `refused` shows that the upstream is up, `failed` is a
 * failure that the upstream reported, and `lost` is an attempt without an end:
 * the connection failed, or the upstream stalled or discarded the answer.
 */
export type AttemptOutcome = "completed" | "refused" | "failed" | "lost";

/** A set of upstreams that limits how many of them may be ejected. */
export interface HealthPool {
  readonly members: readonly string[];
  /** Maximum share of the members that may be ejected, from 0 to 1. */
  readonly maxEjectedShare: number;
}

export type HealthState =
  | { readonly kind: "healthy" }
  | { readonly kind: "ejected"; readonly untilMs: number }
  /** The ejection has expired; one request at a time may probe the upstream. */
  | { readonly kind: "half_open"; readonly isProbing: boolean };

/** An upstream was ejected or restored. */
export interface HealthChange {
  readonly kind: "ejected" | "restored";
  readonly upstreamId: string;
  readonly cause: "failures" | "stall" | "probe";
}

export interface HealthOptions {
  readonly clock: clock.Clock;
  readonly random: random.RandomSource;
  readonly onChange?: (change: HealthChange) => void;
  /**
   * Number of consecutive failures that ejects an upstream.
   * @default 3
   */
  readonly maxConsecutiveFailures?: number;
  /**
   * Moving average of the failure share above which an upstream is ejected.
   * @default 0.5
   */
  readonly maxFailureShare?: number;
  /**
   * Duration of the first ejection, in milliseconds.
   * @default 5000
   */
  readonly ejectionMs?: number;
  /**
   * Maximum duration of an ejection without jitter, in milliseconds.
   * @default 60000
   */
  readonly maxEjectionMs?: number;
  /**
   * Time after which an unfinished probe permits another, in milliseconds.
   * @default 10000
   */
  readonly probeTimeoutMs?: number;
}

export interface Health {
  /** Replaces a pool; a pool without members is removed. */
  setPool(name: string, pool: HealthPool): void;
  /** Whether the upstream is healthy, or half-open without an open probe. */
  isAvailable(upstreamId: string): boolean;
  /** Factor on the expected wait: 1 plus the number of consecutive failures. */
  computePenalty(upstreamId: string): number;
  /** Records a dispatch; it is the probe if the upstream is half-open. */
  recordSent(upstreamId: string): void;
  recordOutcome(upstreamId: string, outcome: AttemptOutcome): void;
  /** Records that no open attempt made progress before the deadline. */
  recordStall(upstreamId: string): void;
  getState(upstreamId: string): HealthState;
  /** Counts the ejected and the half-open upstreams. */
  countEjected(): number;
}

interface TrackedUpstream {
  consecutiveFailures: number;
  outcomeCount: number;
  failureShare: number;
  ejectionCount: number;
  /** End of the ejection; undefined while the upstream is healthy. */
  ejectedUntilMs: number | undefined;
  probeSentAtMs: number | undefined;
}

const defaults = {
  maxConsecutiveFailures: 3,
  maxFailureShare: 0.5,
  ejectionMs: 5_000,
  maxEjectionMs: 60_000,
  probeTimeoutMs: 10_000,
};
/** Weight of a new outcome in the moving average of the failure share. */
const outcomeWeight = 0.15;
/** Minimum number of outcomes for an ejection by failure share. */
const minOutcomes = 10;
/** Maximum jitter as a share of an ejection, so that probes do not coincide. */
const jitterShare = 0.2;

/** Creates a health table in which all upstreams are healthy. */
export function createHealth(options: HealthOptions): Health {
  const settings = { ...defaults, ...options };
  const { clock } = options;
  const pools = new Map<string, HealthPool>();
  const poolNames = new Map<string, Set<string>>();
  const upstreams = new Map<string, TrackedUpstream>();

  function getOrCreateTracked(upstreamId: string): TrackedUpstream {
    let tracked = upstreams.get(upstreamId);
    if (tracked === undefined) {
      tracked = {
        consecutiveFailures: 0,
        outcomeCount: 0,
        failureShare: 0,
        ejectionCount: 0,
        ejectedUntilMs: undefined,
        probeSentAtMs: undefined,
      };
      upstreams.set(upstreamId, tracked);
    }
    return tracked;
  }

  function isEjectedOrHalfOpen(upstreamId: string): boolean {
    return upstreams.get(upstreamId)?.ejectedUntilMs !== undefined;
  }

  function isEjectable(upstreamId: string): boolean {
    for (const name of poolNames.get(upstreamId) ?? []) {
      const { members = [], maxEjectedShare = 1 } = pools.get(name) ?? {};
      const ejected = members.filter(isEjectedOrHalfOpen).length + 1;
      const limit = Math.floor(members.length * maxEjectedShare);
      if (ejected > limit || ejected >= members.length) return false;
    }
    return true;
  }

  function computeEjectionMs(ejectionCount: number): number {
    const doubledMs = settings.ejectionMs * 2 ** (ejectionCount - 1);
    const jitter = 1 + jitterShare * options.random();
    return Math.min(settings.maxEjectionMs, doubledMs) * jitter;
  }

  function eject(
    upstreamId: string,
    cause: HealthChange["cause"],
  ): void {
    const tracked = getOrCreateTracked(upstreamId);
    tracked.ejectionCount += 1;
    tracked.ejectedUntilMs = clock.now() +
      computeEjectionMs(tracked.ejectionCount);
    tracked.probeSentAtMs = undefined;
    options.onChange?.({ kind: "ejected", upstreamId, cause });
  }

  function restore(upstreamId: string, tracked: TrackedUpstream): void {
    tracked.ejectedUntilMs = undefined;
    tracked.probeSentAtMs = undefined;
    tracked.failureShare = 0;
    tracked.outcomeCount = 0;
    options.onChange?.({ kind: "restored", upstreamId, cause: "probe" });
  }

  function isProbing(tracked: TrackedUpstream): boolean {
    const probeSentAtMs = tracked.probeSentAtMs ?? -Infinity;
    return clock.now() - probeSentAtMs < settings.probeTimeoutMs;
  }

  function isEjected(tracked: TrackedUpstream): boolean {
    return clock.now() < (tracked.ejectedUntilMs ?? -Infinity);
  }

  function recordSuccess(upstreamId: string): void {
    const tracked = getOrCreateTracked(upstreamId);
    tracked.consecutiveFailures = 0;
    tracked.failureShare *= 1 - outcomeWeight;
    tracked.outcomeCount += 1;
    if (tracked.ejectedUntilMs === undefined) {
      // Restarts the doubling of the ejection once failures have become rare.
      if (tracked.failureShare < outcomeWeight) tracked.ejectionCount = 0;
      return;
    }
    // An attempt dispatched before the ejection is not a probe: its outcome
    // does not show the state after the ejection.
    if (!isEjected(tracked) && tracked.probeSentAtMs !== undefined) {
      restore(upstreamId, tracked);
    }
  }

  function recordFailure(
    upstreamId: string,
    cause: "failures" | "stall",
  ): void {
    const tracked = getOrCreateTracked(upstreamId);
    tracked.consecutiveFailures += 1;
    tracked.outcomeCount += 1;
    tracked.failureShare += outcomeWeight * (1 - tracked.failureShare);
    if (tracked.ejectedUntilMs !== undefined) {
      if (!isEjected(tracked) && tracked.probeSentAtMs !== undefined) {
        eject(upstreamId, "probe");
      }
      return;
    }
    const isOutlier = cause === "stall" ||
      tracked.consecutiveFailures >= settings.maxConsecutiveFailures ||
      (tracked.outcomeCount >= minOutcomes &&
        tracked.failureShare > settings.maxFailureShare);
    if (isOutlier && isEjectable(upstreamId)) eject(upstreamId, cause);
  }

  function removeFromPool(name: string): void {
    for (const member of pools.get(name)?.members ?? []) {
      const names = poolNames.get(member);
      names?.delete(name);
      if (names?.size === 0) poolNames.delete(member);
    }
    pools.delete(name);
  }

  function removeUnpooled(members: readonly string[]): void {
    for (const member of members) {
      if (!poolNames.has(member)) upstreams.delete(member);
    }
  }

  return {
    setPool(name, pool) {
      const previous = pools.get(name)?.members ?? [];
      removeFromPool(name);
      if (pool.members.length > 0) pools.set(name, pool);
      for (const member of pool.members) {
        const names = poolNames.get(member) ?? new Set();
        poolNames.set(member, names.add(name));
      }
      removeUnpooled(previous);
    },
    isAvailable(upstreamId) {
      const tracked = upstreams.get(upstreamId);
      if (tracked?.ejectedUntilMs === undefined) return true;
      return !isEjected(tracked) && !isProbing(tracked);
    },
    computePenalty: (upstreamId) =>
      1 + (upstreams.get(upstreamId)?.consecutiveFailures ?? 0),
    recordSent(upstreamId) {
      const tracked = upstreams.get(upstreamId);
      if (tracked?.ejectedUntilMs === undefined || isEjected(tracked)) return;
      tracked.probeSentAtMs = clock.now();
    },
    recordOutcome(upstreamId, outcome) {
      switch (outcome) {
        case "completed":
          return recordSuccess(upstreamId);
        case "refused": {
          const tracked = upstreams.get(upstreamId);
          // A refused probe is inconclusive; another request may probe.
          if (tracked !== undefined) tracked.probeSentAtMs = undefined;
          return;
        }
        case "failed":
        case "lost":
          return recordFailure(upstreamId, "failures");
      }
    },
    recordStall: (upstreamId) => recordFailure(upstreamId, "stall"),
    getState(upstreamId) {
      const tracked = upstreams.get(upstreamId);
      if (tracked?.ejectedUntilMs === undefined) return { kind: "healthy" };
      return isEjected(tracked)
        ? { kind: "ejected", untilMs: tracked.ejectedUntilMs }
        : { kind: "half_open", isProbing: isProbing(tracked) };
    },
    countEjected: () =>
      [...upstreams.keys()].filter(isEjectedOrHalfOpen).length,
  };
}
