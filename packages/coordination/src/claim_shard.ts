/** The value of one claim shard and what operations make of it. */
import type * as claims from "./claims.ts";

/** Value of a shard in the object API; claims in the order of their change. */
export interface ClaimShard {
  readonly claims: readonly claims.Claim[];
}

export interface ShardLimits {
  /** Largest value that is written, in bytes of JSON. */
  readonly limitBytes: number;
  /** How long settled claims answer a repeated call, in milliseconds. */
  readonly settledRetentionMs: number;
  /** How long claims without an outcome are kept, in milliseconds. */
  readonly claimedRetentionMs: number;
}

export interface AppliedOperations {
  readonly shard: ClaimShard;
  readonly results: readonly claims.ClaimResult[];
  /** False when the shard needs no write. */
  readonly isChanged: boolean;
}

export const defaultShardLimits: ShardLimits = {
  limitBytes: 900 * 1024,
  settledRetentionMs: 10 * 60 * 1000,
  claimedRetentionMs: 24 * 60 * 60 * 1000,
};

export const emptyShard: ClaimShard = { claims: [] };

/** Largest answer that is recorded, in bytes of JSON. */
const answerLimitBytes = 2 * 1024;
const recordedHeaders: readonly string[] = ["content-type", "etag", "location"];

/** Reads a shard's value; undefined when it is of another form. */
export function parseShard(value: unknown): ClaimShard | undefined {
  const shard = value as Partial<ClaimShard> | null | undefined;
  return Array.isArray(shard?.claims) ? shard as ClaimShard : undefined;
}

/** Applies operations in order; applying the same ones again changes nothing. */
export function applyOperations(
  shard: ClaimShard,
  operations: readonly claims.ClaimOperation[],
  options: { readonly nowMs: number; readonly limits: ShardLimits },
): AppliedOperations {
  const { nowMs, limits } = options;
  const kept = shard.claims.filter((claim) => !isExpired(claim, options));
  const byName = new Map(kept.map((claim) => [formatName(claim), claim]));
  let sizeBytes = measureShard({ claims: kept });
  let openCount = kept.filter(isOpen).length;
  let isChanged = false;

  function put(claim: claims.Claim): void {
    const name = formatName(claim);
    const known = byName.get(name);
    sizeBytes += measureClaim(claim);
    openCount += isOpen(claim) ? 1 : 0;
    if (known !== undefined) {
      sizeBytes -= measureClaim(known);
      openCount -= isOpen(known) ? 1 : 0;
    }
    // Deleted first, so that the order stays that of the last change.
    byName.delete(name);
    byName.set(name, claim);
    isChanged = true;
  }

  function applyClaim(
    { claim, replaces }: Extract<
      claims.ClaimOperation,
      { readonly kind: "claim" }
    >,
  ): claims.ClaimResult {
    const known = byName.get(formatName(claim));
    if (known !== undefined) {
      if (known.attemptId === claim.attemptId) {
        return known.state.kind === "claimed"
          ? { kind: "claimed" }
          : { kind: "exists", claim: known };
      }
      if (known.digest !== claim.digest) return { kind: "other_body" };
      const mayReplace = known.state.kind === "not_run" ||
        (known.state.kind === "claimed" && known.attemptId === replaces);
      if (!mayReplace) return { kind: "exists", claim: known };
    }
    // Room for the answers that earlier claims may still record.
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
    const known = byName.get(formatName(name));
    if (known?.attemptId === attemptId && known.state.kind === "claimed") {
      put({ ...known, state: boundState(state), changedAtMs: nowMs });
    }
    if (known === undefined && claim !== undefined) {
      put({ ...claim, state: boundState(state), changedAtMs: nowMs });
    }
    return { kind: "settled" };
  }

  function applyOne(operation: claims.ClaimOperation): claims.ClaimResult {
    switch (operation.kind) {
      case "claim":
        return applyClaim(operation);
      case "settle":
        return applySettle(operation);
      case "find": {
        const claim = byName.get(formatName(operation.name));
        return claim === undefined
          ? { kind: "missing" }
          : { kind: "exists", claim };
      }
    }
  }

  const results = operations.map(applyOne);
  return { shard: { claims: [...byName.values()] }, results, isChanged };
}

/** Length of a shard's value as the object API measures it. */
export function measureShard(shard: ClaimShard): number {
  return shard.claims.reduce(
    (sum, claim) => sum + measureClaim(claim),
    JSON.stringify(emptyShard).length,
  );
}

const sizes = new WeakMap<claims.Claim, number>();

function measureClaim(claim: claims.Claim): number {
  const known = sizes.get(claim);
  if (known !== undefined) return known;
  const bytes = new TextEncoder().encode(JSON.stringify(claim)).length + 1;
  sizes.set(claim, bytes);
  return bytes;
}

/** Leaves out what makes a recorded answer larger than the bound. */
function boundState(state: claims.ClaimState): claims.ClaimState {
  if (state.kind !== "finished") return state;
  const { status, headers, body } = state.answer;
  const kept = headers.filter(([name]) =>
    recordedHeaders.includes(name.toLowerCase())
  );
  const candidates: readonly claims.RecordedAnswer[] = [
    { status, headers: kept, body },
    { status, headers: kept },
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

function formatName(name: claims.ClaimName): string {
  return `${name.workspace}\u0000${name.requestId}`;
}
