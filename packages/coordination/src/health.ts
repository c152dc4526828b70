/**
 * Health of upstreams as one node sees it: outliers are ejected for a time that
 * doubles, then probed by one request (half-open) before they serve again. The
 * share of a need's upstreams that may be ejected is capped, and the last one
 * that serves a need or a group of several is never ejected.
 */
import type * as clock from "./clock.ts";
import type * as random from "./random.ts";

/** How an attempt at an upstream ended; `refused` is a sign of life. */
export type AttemptOutcome = "completed" | "refused" | "failed" | "lost";

/** A set of upstreams of which not all may be ejected. */
export interface HealthPool {
  readonly members: readonly string[];
  /** Largest share of the members that may be ejected, from 0 to 1. */
  readonly maxEjectedShare: number;
}

export type HealthState =
  | { readonly kind: "healthy" }
  | { readonly kind: "ejected"; readonly untilMs: number }
  /** The time of ejection is over; one request at a time may probe it. */
  | { readonly kind: "half_open"; readonly isProbing: boolean };

/** An upstream was ejected or taken back. */
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
   * Failures in a row that eject an upstream.
   * @default 3
   */
  readonly maxFailures?: number;
  /**
   * Share of failures among the latest outcomes that ejects an upstream.
   * @default 0.5
   */
  readonly maxFailureShare?: number;
  /**
   * Duration of the first ejection, in milliseconds.
   * @default 5000
   */
  readonly ejectionMs?: number;
  /**
   * Longest ejection, in milliseconds.
   * @default 60000
   */
  readonly maxEjectionMs?: number;
  /**
   * Time after which a probe that has not ended makes room for another.
   * @default 10000
   */
  readonly probeTimeoutMs?: number;
}

export interface Health {
  /** Replaces a pool; an empty one is forgotten. */
  setPool(name: string, pool: HealthPool): void;
  isAvailable(upstreamId: string): boolean;
  /** Factor on the expected wait: 1 and more for each failure in a row. */
  computePenalty(upstreamId: string): number;
  /** Records a dispatch; it is the probe of a half-open upstream. */
  recordSent(upstreamId: string): void;
  recordOutcome(upstreamId: string, outcome: AttemptOutcome): void;
  /** Records that an open attempt has been silent past its deadline. */
  recordStall(upstreamId: string): void;
  getState(upstreamId: string): HealthState;
  countEjected(): number;
}

interface Entry {
  failuresInRow: number;
  outcomes: number;
  failureShare: number;
  ejections: number;
  /** Instant until which it is ejected; undefined while healthy. */
  ejectedUntilMs: number | undefined;
  probedAtMs: number | undefined;
}

const defaults = {
  maxFailures: 3,
  maxFailureShare: 0.5,
  ejectionMs: 5_000,
  maxEjectionMs: 60_000,
  probeTimeoutMs: 10_000,
};
const outcomeWeight = 0.15;
const minOutcomes = 10;
/** Ejections end up to this share later, so that probes do not coincide. */
const jitterShare = 0.2;

/** Creates the health of upstreams that are all healthy. */
export function createHealth(options: HealthOptions): Health {
  const settings = { ...defaults, ...options };
  const { clock } = options;
  const pools = new Map<string, HealthPool>();
  const poolNames = new Map<string, Set<string>>();
  const entries = new Map<string, Entry>();

  function getEntry(upstreamId: string): Entry {
    let entry = entries.get(upstreamId);
    if (entry === undefined) {
      entry = {
        failuresInRow: 0,
        outcomes: 0,
        failureShare: 0,
        ejections: 0,
        ejectedUntilMs: undefined,
        probedAtMs: undefined,
      };
      entries.set(upstreamId, entry);
    }
    return entry;
  }

  function isOut(upstreamId: string): boolean {
    return entries.get(upstreamId)?.ejectedUntilMs !== undefined;
  }

  function isEjectable(upstreamId: string): boolean {
    for (const name of poolNames.get(upstreamId) ?? []) {
      const { members = [], maxEjectedShare = 1 } = pools.get(name) ?? {};
      const ejected = members.filter(isOut).length + 1;
      const limit = Math.floor(members.length * maxEjectedShare);
      if (ejected > limit || ejected >= members.length) return false;
    }
    return true;
  }

  function computeEjectionMs(ejections: number): number {
    const doubledMs = settings.ejectionMs * 2 ** (ejections - 1);
    const jitter = 1 + jitterShare * options.random();
    return Math.min(settings.maxEjectionMs, doubledMs) * jitter;
  }

  function eject(
    upstreamId: string,
    cause: HealthChange["cause"],
  ): void {
    const entry = getEntry(upstreamId);
    entry.ejections += 1;
    entry.ejectedUntilMs = clock.now() + computeEjectionMs(entry.ejections);
    entry.probedAtMs = undefined;
    options.onChange?.({ kind: "ejected", upstreamId, cause });
  }

  function restore(upstreamId: string, entry: Entry): void {
    entry.ejectedUntilMs = undefined;
    entry.probedAtMs = undefined;
    entry.failureShare = 0;
    entry.outcomes = 0;
    options.onChange?.({ kind: "restored", upstreamId, cause: "probe" });
  }

  function isProbing(entry: Entry): boolean {
    const probedAtMs = entry.probedAtMs ?? -Infinity;
    return clock.now() - probedAtMs < settings.probeTimeoutMs;
  }

  function isEjected(entry: Entry): boolean {
    return clock.now() < (entry.ejectedUntilMs ?? -Infinity);
  }

  function recordSuccess(upstreamId: string): void {
    const entry = getEntry(upstreamId);
    entry.failuresInRow = 0;
    entry.failureShare *= 1 - outcomeWeight;
    entry.outcomes += 1;
    if (entry.ejectedUntilMs === undefined) {
      if (entry.failureShare < outcomeWeight) entry.ejections = 0;
      return;
    }
    // An attempt from before the ejection says nothing about the time after.
    if (!isEjected(entry) && entry.probedAtMs !== undefined) {
      restore(upstreamId, entry);
    }
  }

  function recordFailure(
    upstreamId: string,
    cause: "failures" | "stall",
  ): void {
    const entry = getEntry(upstreamId);
    entry.failuresInRow += 1;
    entry.outcomes += 1;
    entry.failureShare += outcomeWeight * (1 - entry.failureShare);
    if (entry.ejectedUntilMs !== undefined) {
      if (!isEjected(entry) && entry.probedAtMs !== undefined) {
        eject(upstreamId, "probe");
      }
      return;
    }
    const isOutlier = cause === "stall" ||
      entry.failuresInRow >= settings.maxFailures ||
      (entry.outcomes >= minOutcomes &&
        entry.failureShare > settings.maxFailureShare);
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

  function dropUnused(members: readonly string[]): void {
    for (const member of members) {
      if (!poolNames.has(member)) entries.delete(member);
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
      dropUnused(previous);
    },
    isAvailable(upstreamId) {
      const entry = entries.get(upstreamId);
      if (entry?.ejectedUntilMs === undefined) return true;
      return !isEjected(entry) && !isProbing(entry);
    },
    computePenalty: (upstreamId) =>
      1 + (entries.get(upstreamId)?.failuresInRow ?? 0),
    recordSent(upstreamId) {
      const entry = entries.get(upstreamId);
      if (entry?.ejectedUntilMs === undefined || isEjected(entry)) return;
      entry.probedAtMs = clock.now();
    },
    recordOutcome(upstreamId, outcome) {
      switch (outcome) {
        case "completed":
          return recordSuccess(upstreamId);
        case "refused": {
          const entry = entries.get(upstreamId);
          if (entry !== undefined) entry.probedAtMs = undefined;
          return;
        }
        case "failed":
        case "lost":
          return recordFailure(upstreamId, "failures");
      }
    },
    recordStall: (upstreamId) => recordFailure(upstreamId, "stall"),
    getState(upstreamId) {
      const entry = entries.get(upstreamId);
      if (entry?.ejectedUntilMs === undefined) return { kind: "healthy" };
      return isEjected(entry)
        ? { kind: "ejected", untilMs: entry.ejectedUntilMs }
        : { kind: "half_open", isProbing: isProbing(entry) };
    },
    countEjected: () => [...entries.keys()].filter(isOut).length,
  };
}
