/**
 * Group commit of one claim shard: operations that arrive while a write is on
 * its way go into the next one. Deterministic: events in, effects out.
 *
 * A write whose answer was lost needs no change id: the shard is read back and
 * the same operations are applied again, which changes nothing when the write
 * took effect. When it did not, the next accepted write raises the version and
 * so fences the lost one.
 */
import * as claimShard from "./claim_shard.ts";
import type * as claims from "./claims.ts";
import type * as clock from "./clock.ts";
import type * as random from "./random.ts";

export interface CommitterOptions {
  readonly clock: clock.Clock;
  readonly random: random.RandomSource;
  /** Wall-clock time in milliseconds since 1970, for retention only. */
  readonly readWallMs: () => number;
  /**
   * Least time between two writes of the shard, in milliseconds; doubles while
   * other entries write the shard too, up to `maxWriteIntervalMs`.
   * @default 50
   */
  readonly writeIntervalMs?: number;
  /** @default 200 */
  readonly maxWriteIntervalMs?: number;
  /**
   * Longest wait of an outcome for a claim to share its write, in milliseconds.
   * @default 2000
   */
  readonly settleLingerMs?: number;
  /** @default claimShard.defaultShardLimits */
  readonly limits?: claimShard.ShardLimits;
}

/** A stored shard and its version; version 0 = the shard does not exist. */
export interface VersionedShard {
  readonly shard: claimShard.ClaimShard;
  readonly version: number;
}

export type CommitterEvent =
  | {
    readonly kind: "submitted";
    readonly operationId: number;
    readonly operation: claims.ClaimOperation;
  }
  | { readonly kind: "timer" }
  | {
    readonly kind: "read_answered";
    readonly outcome:
      | { readonly kind: "read"; readonly stored: VersionedShard }
      | { readonly kind: "unavailable"; readonly message: string };
  }
  | {
    readonly kind: "write_answered";
    readonly outcome:
      | { readonly kind: "accepted"; readonly version: number }
      | { readonly kind: "conflict" }
      | { readonly kind: "unavailable"; readonly message: string }
      | { readonly kind: "unknown"; readonly message: string };
  };

export type CommitterEffect =
  | { readonly kind: "read" }
  | {
    readonly kind: "write";
    readonly shard: claimShard.ClaimShard;
    readonly ifVersion: number;
  }
  | { readonly kind: "set_timer"; readonly delayMs: number }
  | {
    readonly kind: "answer";
    readonly operationId: number;
    readonly result: claims.ClaimResult;
  };

export interface Committer {
  handle(event: CommitterEvent): readonly CommitterEffect[];
  /** Operations that are not answered. */
  countWaiting(): number;
}

interface Waiting {
  readonly operationId: number;
  readonly operation: claims.ClaimOperation;
  readonly sinceMs: number;
}

interface Flight {
  readonly batch: readonly Waiting[];
  /** The shard's value was read or written since the batch was formed. */
  isConfirmed: boolean;
  conflicts: number;
  /** Writes whose answer was lost. */
  unknowns: number;
  /** What the write on its way makes of the shard. */
  applied?: claimShard.AppliedOperations;
}

const defaultWriteIntervalMs = 50;
const defaultMaxWriteIntervalMs = 200;
const defaultSettleLingerMs = 2_000;
/** Factor by which the interval shrinks after a write without a conflict. */
const intervalDecay = 0.9;
const maxConflicts = 8;
const maxUnknowns = 2;
const maxKeptOutcomes = 1_000;
const unavailableRetryMs = 1_000;

/** Creates the committer of one shard. */
export function createCommitter(options: CommitterOptions): Committer {
  const leastIntervalMs = options.writeIntervalMs ?? defaultWriteIntervalMs;
  const maxIntervalMs = options.maxWriteIntervalMs ??
    defaultMaxWriteIntervalMs;
  const settleLingerMs = options.settleLingerMs ?? defaultSettleLingerMs;
  const limits = options.limits ?? claimShard.defaultShardLimits;
  let waiting: Waiting[] = [];
  let flight: Flight | undefined;
  let cached: VersionedShard | undefined;
  let notBeforeMs = 0;
  let writeIntervalMs = leastIntervalMs;
  let timerAtMs = Infinity;

  function computeDueMs(): number {
    const isUrgent = waiting.some(({ operation }) =>
      operation.kind !== "settle"
    );
    const sinceMs = waiting[0]?.sinceMs ?? Infinity;
    const dueMs = isUrgent ? 0 : sinceMs + settleLingerMs;
    return Math.max(dueMs, notBeforeMs);
  }

  function startIfDue(): CommitterEffect[] {
    if (flight !== undefined || waiting.length === 0) return [];
    const nowMs = options.clock.now();
    const dueMs = computeDueMs();
    if (dueMs <= nowMs) {
      flight = {
        batch: waiting,
        isConfirmed: false,
        conflicts: 0,
        unknowns: 0,
      };
      waiting = [];
      return advance(flight);
    }
    if (dueMs >= timerAtMs) return [];
    timerAtMs = dueMs;
    return [{ kind: "set_timer", delayMs: dueMs - nowMs }];
  }

  function advance(running: Flight): CommitterEffect[] {
    if (cached === undefined) return [{ kind: "read" }];
    const applied = claimShard.applyOperations(
      cached.shard,
      running.batch.map(({ operation }) => operation),
      { nowMs: options.readWallMs(), limits },
    );
    if (!applied.isChanged) {
      return running.isConfirmed
        ? finish(running, applied)
        : [{ kind: "read" }];
    }
    running.applied = applied;
    return [{
      kind: "write",
      shard: applied.shard,
      ifVersion: cached.version,
    }];
  }

  function finish(
    running: Flight,
    applied: claimShard.AppliedOperations,
  ): CommitterEffect[] {
    flight = undefined;
    const answers = running.batch.map(({ operationId }, index) => ({
      kind: "answer" as const,
      operationId,
      result: applied.results[index] as claims.ClaimResult,
    }));
    return [...answers, ...startIfDue()];
  }

  /** Answers claims at once; outcomes are kept for a later write. */
  function fail(running: Flight, message: string): CommitterEffect[] {
    flight = undefined;
    cached = undefined;
    const isOutcome = ({ operation }: Waiting) => operation.kind === "settle";
    const answers = running.batch
      .filter((one) => !isOutcome(one))
      .map(({ operationId }) => ({
        kind: "answer" as const,
        operationId,
        result: { kind: "unavailable" as const, message },
      }));
    const sinceMs = options.clock.now() + unavailableRetryMs;
    const kept = running.batch.filter(isOutcome)
      .map((one) => ({ ...one, sinceMs }));
    const dropped = kept.slice(0, -maxKeptOutcomes);
    waiting = [...kept.slice(-maxKeptOutcomes), ...waiting];
    const dropAnswers = dropped.map(({ operationId }) => ({
      kind: "answer" as const,
      operationId,
      result: { kind: "unavailable" as const, message },
    }));
    return [...answers, ...dropAnswers, ...startIfDue()];
  }

  function handleWrite(
    running: Flight,
    outcome: Extract<
      CommitterEvent,
      { readonly kind: "write_answered" }
    >["outcome"],
  ): CommitterEffect[] {
    const { applied } = running;
    // Spread out a little, so that entries which conflict do not march in step.
    const jitterMs = Math.floor(writeIntervalMs * options.random() / 2);
    notBeforeMs = options.clock.now() + writeIntervalMs + jitterMs;
    switch (outcome.kind) {
      case "accepted":
        if (applied === undefined) return [];
        cached = { shard: applied.shard, version: outcome.version };
        if (running.conflicts === 0) {
          const shorterMs = writeIntervalMs * intervalDecay;
          writeIntervalMs = Math.max(leastIntervalMs, shorterMs);
        }
        return finish(running, applied);
      case "conflict":
        running.conflicts += 1;
        writeIntervalMs = Math.min(maxIntervalMs, 2 * writeIntervalMs);
        if (running.conflicts > maxConflicts) {
          return fail(running, "The claim shard is written by too many");
        }
        return [{ kind: "read" }];
      case "unknown":
        running.unknowns += 1;
        return running.unknowns > maxUnknowns
          ? fail(running, outcome.message)
          : [{ kind: "read" }];
      case "unavailable":
        return fail(running, outcome.message);
    }
  }

  return {
    handle(event) {
      switch (event.kind) {
        case "submitted":
          waiting.push({ ...event, sinceMs: options.clock.now() });
          return startIfDue();
        case "timer":
          timerAtMs = Infinity;
          return startIfDue();
        case "read_answered":
          if (flight === undefined) return [];
          if (event.outcome.kind === "unavailable") {
            return fail(flight, event.outcome.message);
          }
          cached = event.outcome.stored;
          flight.isConfirmed = true;
          return advance(flight);
        case "write_answered":
          return flight === undefined ? [] : handleWrite(flight, event.outcome);
      }
    },
    countWaiting: () => waiting.length + (flight?.batch.length ?? 0),
  };
}
