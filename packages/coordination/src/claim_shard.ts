/** The stored value of one claim shard and the operations on it. */
import type * as claims from "./claims.ts";

/** Value of a shard in the object store; claims in order of last change. */
export interface ClaimShard {
  readonly claims: readonly claims.Claim[];
}

export interface ShardLimits {
  /** Maximum size of a written value, in bytes of JSON. */
  readonly limitBytes: number;
  /** How long settled claims are kept for repeated calls, in milliseconds. */
  readonly settledRetentionMs: number;
  /** How long claims without an outcome are kept, in milliseconds. */
  readonly claimedRetentionMs: number;
}

/** Result of applying operations to a shard. */
export interface AppliedOperations {
  readonly shard: ClaimShard;
  readonly results: readonly claims.ClaimResult[];
  /** False if the shard needs no write. */
  readonly isChanged: boolean;
}

export const defaultShardLimits: ShardLimits = {
  limitBytes: 900 * 1024,
  settledRetentionMs: 10 * 60 * 1000,
  claimedRetentionMs: 24 * 60 * 60 * 1000,
};

export const emptyShard: ClaimShard = { claims: [] };

/** Maximum size of a recorded answer, in bytes of JSON. */
const answerLimitBytes = 2 * 1024;
const recordedHeaders: readonly string[] = ["content-type", "etag", "location"];

/** Parses the value of a shard; undefined if it has another shape. */
export function parseShard(value: unknown): ClaimShard | undefined {
  const shard = value as Partial<ClaimShard> | null | undefined;
  return Array.isArray(shard?.claims) ? shard as ClaimShard : undefined;
}

/** Applies operations in order; applying them again changes nothing. */
export function applyOperations(
  shard: ClaimShard,
  operations: readonly claims.ClaimOperation[],
  options: { readonly nowMs: number; readonly limits: ShardLimits },
): AppliedOperations {
  const { nowMs, limits } = options;
  const retained = shard.claims.filter((claim) => !isExpired(claim, options));
  const byName = new Map(
    retained.map((claim) => [formatNameKey(claim), claim]),
  );
  let sizeBytes = measureShard({ claims: retained });
  let openCount = retained.filter(isOpen).length;
  let isChanged = false;

  function put(claim: claims.Claim): void {
    const nameKey = formatNameKey(claim);
    const existing = byName.get(nameKey);
    sizeBytes += measureClaim(claim);
    openCount += isOpen(claim) ? 1 : 0;
    if (existing !== undefined) {
      sizeBytes -= measureClaim(existing);
      openCount -= isOpen(existing) ? 1 : 0;
    }
    // Deleting first keeps the map in order of last change.
    byName.delete(nameKey);
    byName.set(nameKey, claim);
    isChanged = true;
  }

  function applyClaim(
    { claim, replaces }: Extract<
      claims.ClaimOperation,
      { readonly kind: "claim" }
    >,
  ): claims.ClaimResult {
    const existing = byName.get(formatNameKey(claim));
    if (existing !== undefined) {
      if (existing.attemptId === claim.attemptId) {
        return existing.state.kind === "claimed"
          ? { kind: "claimed" }
          : { kind: "exists", claim: existing };
      }
      if (existing.digest !== claim.digest) return { kind: "other_body" };
      const mayReplace = existing.state.kind === "not_run" ||
        (existing.state.kind === "claimed" && existing.attemptId === replaces);
      if (!mayReplace) return { kind: "exists", claim: existing };
    }
    // Reserves space for the answers that open claims may still record.
    const neededBytes = sizeBytes + measureClaim(claim as claims.Claim) +
      (openCount + 1) * answerLimitBytes;
    if (neededBytes > limits.limitBytes) return { kind: "full" };
    put({ ...claim, changedAtMs: nowMs, state: { kind: "claimed" } });
    return { kind: "claimed" };
  }

  function applySettle(
    { name, attemptId, state, claim }: Extract<
      claims.ClaimOperation,
      { readonly kind: "settle" }
    >,
  ): claims.ClaimResult {
    const existing = byName.get(formatNameKey(name));
    if (
      existing?.attemptId === attemptId && existing.state.kind === "claimed"
    ) {
      put({ ...existing, state: limitAnswer(state), changedAtMs: nowMs });
    }
    if (existing === undefined && claim !== undefined) {
      put({ ...claim, state: limitAnswer(state), changedAtMs: nowMs });
    }
    return { kind: "settled" };
  }

  function applyOperation(
    operation: claims.ClaimOperation,
  ): claims.ClaimResult {
    switch (operation.kind) {
      case "claim":
        return applyClaim(operation);
      case "settle":
        return applySettle(operation);
      case "find": {
        const claim = byName.get(formatNameKey(operation.name));
        return claim === undefined
          ? { kind: "missing" }
          : { kind: "exists", claim };
      }
    }
  }

  const results = operations.map(applyOperation);
  return { shard: { claims: [...byName.values()] }, results, isChanged };
}

/** Returns the size of a shard as the object store measures it, in bytes. */
export function measureShard(shard: ClaimShard): number {
  return shard.claims.reduce(
    (sum, claim) => sum + measureClaim(claim),
    JSON.stringify(emptyShard).length,
  );
}

const claimSizesBytes = new WeakMap<claims.Claim, number>();

function measureClaim(claim: claims.Claim): number {
  const cachedBytes = claimSizesBytes.get(claim);
  if (cachedBytes !== undefined) return cachedBytes;
  // Adds one byte for the comma between claims.
  const bytes = new TextEncoder().encode(JSON.stringify(claim)).length + 1;
  claimSizesBytes.set(claim, bytes);
  return bytes;
}

/**
 * Keeps only `recordedHeaders` of an answer, and omits the body and then all
 * headers if the answer exceeds the size limit.
 */
function limitAnswer(state: claims.ClaimState): claims.ClaimState {
  if (state.kind !== "finished") return state;
  const { status, headers, body } = state.answer;
  const recorded = headers.filter(([name]) =>
    recordedHeaders.includes(name.toLowerCase())
  );
  const candidates: readonly claims.RecordedAnswer[] = [
    { status, headers: recorded, body },
    { status, headers: recorded },
    { status, headers: [] },
  ];
  const answer = candidates.find((candidate) =>
    JSON.stringify(candidate).length <= answerLimitBytes
  );
  return { kind: "finished", answer: answer ?? { status, headers: [] } };
}

function isOpen(claim: claims.Claim): boolean {
  return claim.state.kind === "claimed";
}

function isExpired(
  claim: claims.Claim,
  { nowMs, limits }: {
    readonly nowMs: number;
    readonly limits: ShardLimits;
  },
): boolean {
  const retentionMs = isOpen(claim)
    ? limits.claimedRetentionMs
    : limits.settledRetentionMs;
  return nowMs - claim.changedAtMs >= retentionMs;
}

function formatNameKey(name: claims.ClaimName): string {
  return `${name.workspace}\u0000${name.requestId}`;
}
