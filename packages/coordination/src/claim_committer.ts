/**
 * Group commit for one claim shard: operations that arrive while a write is in
 * flight go into the next write. Deterministic state machine: it handles events
 * and returns effects.
 *
 * A write whose answer was lost needs no change id, because operations are
 * idempotent: the shard is read back and the operations are applied again,
 * which changes nothing if the write took effect. If it did not, the next
 * accepted write raises the version and thereby fences the lost write.
 */
import * as claimShard from "./claim_shard.ts";
import type * as claims from "./claims.ts";
import type * as clock from "./clock.ts";
import type * as random from "./random.ts";

export interface CommitterOptions {
  readonly clock: clock.Clock;
  readonly random: random.RandomSource;
  /** Returns wall-clock milliseconds since 1970; used for retention only. */
  readonly readWallMs: () => number;
  /**
   * Minimum interval between two writes of the shard, in milliseconds. It
   * doubles with every conflict with another entry, up to `maxWriteIntervalMs`.
   * @default 50
   */
  readonly writeIntervalMs?: number;
  /** @default 200 */
  readonly maxWriteIntervalMs?: number;
  /**
   * Maximum time that a settle operation waits to share a write with a claim,
   * in milliseconds.
   * @default 2000
   */
  readonly settleLingerMs?: number;
  /** @default claimShard.defaultShardLimits */
  readonly limits?: claimShard.ShardLimits;
}

/** A stored shard and its version; 0 = the shard does not exist. */
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
  /** Number of operations without an answer. */
  countPending(): number;
}

interface PendingOperation {
  readonly operationId: number;
  readonly operation: claims.ClaimOperation;
  /** Start of the linger time; in the future after a failed commit. */
  readonly lingerStartMs: number;
}

/** One group commit in flight. */
interface Commit {
  readonly batch: readonly PendingOperation[];
  /**
   * Whether the shard was read since the batch was formed. A commit without a
   * write requires it, because the cached shard may be outdated.
   */
  isConfirmed: boolean;
  conflicts: number;
  /** Number of writes whose answer was lost. */
  unknownOutcomes: number;
  /** Result that the write in flight stores. */
  applied?: claimShard.AppliedOperations;
}

const defaultWriteIntervalMs = 50;
const defaultMaxWriteIntervalMs = 200;
const defaultSettleLingerMs = 2_000;
/** Multiplies the write interval after a commit without a conflict. */
const intervalDecayFactor = 0.9;
const maxConflicts = 8;
const maxUnknownOutcomes = 2;
/** Maximum number of settle operations that a failed commit keeps. */
const maxRetainedSettles = 1_000;
const unavailableRetryDelayMs = 1_000;

/** Creates the committer of one shard. */
export function createCommitter(options: CommitterOptions): Committer {
  const minIntervalMs = options.writeIntervalMs ?? defaultWriteIntervalMs;
  const maxIntervalMs = options.maxWriteIntervalMs ??
    defaultMaxWriteIntervalMs;
  const settleLingerMs = options.settleLingerMs ?? defaultSettleLingerMs;
  const limits = options.limits ?? claimShard.defaultShardLimits;
  let pending: PendingOperation[] = [];
  let inFlight: Commit | undefined;
  let cached: VersionedShard | undefined;
  let earliestStartMs = 0;
  let writeIntervalMs = minIntervalMs;
  let timerAtMs = Infinity;

  function computeDueMs(): number {
    const isUrgent = pending.some(({ operation }) =>
      operation.kind !== "settle"
    );
    const lingerStartMs = pending[0]?.lingerStartMs ?? Infinity;
    const dueMs = isUrgent ? 0 : lingerStartMs + settleLingerMs;
    return Math.max(dueMs, earliestStartMs);
  }

  function startIfDue(): CommitterEffect[] {
    if (inFlight !== undefined || pending.length === 0) return [];
    const nowMs = options.clock.now();
    const dueMs = computeDueMs();
    if (dueMs <= nowMs) {
      inFlight = {
        batch: pending,
        isConfirmed: false,
        conflicts: 0,
        unknownOutcomes: 0,
      };
      pending = [];
      return advance(inFlight);
    }
    if (dueMs >= timerAtMs) return [];
    timerAtMs = dueMs;
    return [{ kind: "set_timer", delayMs: dueMs - nowMs }];
  }

  function advance(commit: Commit): CommitterEffect[] {
    if (cached === undefined) return [{ kind: "read" }];
    const applied = claimShard.applyOperations(
      cached.shard,
      commit.batch.map(({ operation }) => operation),
      { nowMs: options.readWallMs(), limits },
    );
    if (!applied.isChanged) {
      return commit.isConfirmed ? finish(commit, applied) : [{ kind: "read" }];
    }
    commit.applied = applied;
    return [{
      kind: "write",
      shard: applied.shard,
      ifVersion: cached.version,
    }];
  }

  function finish(
    commit: Commit,
    applied: claimShard.AppliedOperations,
  ): CommitterEffect[] {
    inFlight = undefined;
    const answers = commit.batch.map(({ operationId }, index) => ({
      kind: "answer" as const,
      operationId,
      result: applied.results[index] as claims.ClaimResult,
    }));
    return [...answers, ...startIfDue()];
  }

  /** Answers claims at once and keeps settle operations for a delayed retry. */
  function fail(commit: Commit, message: string): CommitterEffect[] {
    inFlight = undefined;
    cached = undefined;
    const isSettle = ({ operation }: PendingOperation) =>
      operation.kind === "settle";
    const answers = commit.batch
      .filter((item) => !isSettle(item))
      .map(({ operationId }) => ({
        kind: "answer" as const,
        operationId,
        result: { kind: "unavailable" as const, message },
      }));
    const lingerStartMs = options.clock.now() + unavailableRetryDelayMs;
    const settleOperations = commit.batch.filter(isSettle)
      .map((item) => ({ ...item, lingerStartMs }));
    const droppedOperations = settleOperations.slice(0, -maxRetainedSettles);
    pending = [...settleOperations.slice(-maxRetainedSettles), ...pending];
    const droppedAnswers = droppedOperations.map(({ operationId }) => ({
      kind: "answer" as const,
      operationId,
      result: { kind: "unavailable" as const, message },
    }));
    return [...answers, ...droppedAnswers, ...startIfDue()];
  }

  function handleWrite(
    commit: Commit,
    outcome: Extract<
      CommitterEvent,
      { readonly kind: "write_answered" }
    >["outcome"],
  ): CommitterEffect[] {
    const { applied } = commit;
    // Without jitter, entries with conflicting writes would retry in lockstep.
    const jitterMs = Math.floor(writeIntervalMs * options.random() / 2);
    earliestStartMs = options.clock.now() + writeIntervalMs + jitterMs;
    switch (outcome.kind) {
      case "accepted":
        if (applied === undefined) return [];
        cached = { shard: applied.shard, version: outcome.version };
        if (commit.conflicts === 0) {
          const shorterIntervalMs = writeIntervalMs * intervalDecayFactor;
          writeIntervalMs = Math.max(minIntervalMs, shorterIntervalMs);
        }
        return finish(commit, applied);
      case "conflict":
        commit.conflicts += 1;
        writeIntervalMs = Math.min(maxIntervalMs, 2 * writeIntervalMs);
        if (commit.conflicts > maxConflicts) {
          return fail(commit, "Too many conflicting writes to the claim shard");
        }
        return [{ kind: "read" }];
      case "unknown":
        commit.unknownOutcomes += 1;
        return commit.unknownOutcomes > maxUnknownOutcomes
          ? fail(commit, outcome.message)
          : [{ kind: "read" }];
      case "unavailable":
        return fail(commit, outcome.message);
    }
  }

  return {
    handle(event) {
      switch (event.kind) {
        case "submitted":
          pending.push({ ...event, lingerStartMs: options.clock.now() });
          return startIfDue();
        case "timer":
          timerAtMs = Infinity;
          return startIfDue();
        case "read_answered":
          if (inFlight === undefined) return [];
          if (event.outcome.kind === "unavailable") {
            return fail(inFlight, event.outcome.message);
          }
          cached = event.outcome.stored;
          inFlight.isConfirmed = true;
          return advance(inFlight);
        case "write_answered":
          return inFlight === undefined
            ? []
            : handleWrite(inFlight, event.outcome);
      }
    },
    countPending: () => pending.length + (inFlight?.batch.length ?? 0),
  };
}
