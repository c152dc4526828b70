import * as claimShard from "./claim_shard.ts";
import type * as claims from "./claims.ts";

const limits: claimShard.ShardLimits = {
  limitBytes: 20_000,
  settledRetentionMs: 1_000,
  claimedRetentionMs: 10_000,
};

function createClaim(change: Partial<claims.NewClaim> = {}): claims.NewClaim {
  return {
    workspace: "w",
    requestId: "r1",
    attemptId: "a1",
    upstream: {
      id: "g/0",
      group: "g",
      rank: 0,
      address: "10.0.0.1:1",
      half: "h",
      epoch: 1,
    },
    incarnation: "i1",
    startByMs: 5_000,
    digest: "d1",
    ...change,
  };
}

function apply(
  shard: claimShard.ClaimShard,
  operation: claims.ClaimOperation,
  nowMs = 0,
) {
  const applied = claimShard.applyOperations(shard, [operation], {
    nowMs,
    limits,
  });
  return { ...applied, result: applied.results[0] };
}

const name = { workspace: "w", requestId: "r1" };
const firstClaimed = apply(claimShard.emptyShard, {
  kind: "claim",
  claim: createClaim(),
});

test("the first claim of a name wins; its attempt may claim it again", () => {
  expect(firstClaimed.result).toEqual({ kind: "claimed" });
  const again = apply(firstClaimed.shard, {
    kind: "claim",
    claim: createClaim(),
  });
  expect(again).toMatchObject({
    result: firstClaimed.result,
    isChanged: false,
  });
  const claim = createClaim({ attemptId: "a2" });
  const other = apply(firstClaimed.shard, { kind: "claim", claim });
  expect(other.result).toMatchObject({
    kind: "exists",
    claim: { attemptId: "a1" },
  });
});

test("a claim is replaced only if the writer names its attempt as never run", () => {
  const claim = createClaim({ attemptId: "a3" });
  const refused = apply(firstClaimed.shard, {
    kind: "claim",
    claim,
    replaces: "a2",
  });
  expect(refused.result).toMatchObject({ kind: "exists" });
  const replaced = apply(firstClaimed.shard, {
    kind: "claim",
    claim,
    replaces: "a1",
  });
  expect(replaced.result).toEqual({ kind: "claimed" });
  const outdated = apply(replaced.shard, {
    kind: "settle",
    name,
    attemptId: "a1",
    state: { kind: "not_run" },
  });
  expect(outdated.isChanged).toBe(false);
});

test("a finished claim is never replaced, and a different body is refused", () => {
  const answer = { status: 201, headers: [], body: "" };
  const finished = apply(firstClaimed.shard, {
    kind: "settle",
    name,
    attemptId: "a1",
    state: { kind: "finished", answer },
  });
  const claim = createClaim({ attemptId: "a2" });
  const again = apply(finished.shard, { kind: "claim", claim, replaces: "a1" });
  expect(again.result).toMatchObject({
    kind: "exists",
    claim: { state: { kind: "finished", answer } },
  });
  const other = apply(finished.shard, {
    kind: "claim",
    claim: { ...claim, digest: "d2" },
  });
  expect(other.result).toEqual({ kind: "other_body" });
});

test("settled claims expire after their retention, open claims are kept longer", () => {
  const settled = apply(firstClaimed.shard, {
    kind: "settle",
    name,
    attemptId: "a1",
    state: { kind: "not_run" },
  });
  const find = { kind: "find", name } as const;
  expect(apply(settled.shard, find, 999).result).toMatchObject({
    kind: "exists",
  });
  expect(apply(settled.shard, find, 1_000).result).toEqual({ kind: "missing" });
  expect(apply(firstClaimed.shard, find, 9_999).result).toMatchObject({
    kind: "exists",
  });
});

test("the value stays within its size limit with answers of any size", () => {
  let shard = claimShard.emptyShard;
  const accepted: string[] = [];
  for (let index = 0; index < 200; index += 1) {
    const requestId = `r${index}`;
    const claim = createClaim({ requestId, attemptId: `a${index}` });
    const applied = apply(shard, { kind: "claim", claim });
    shard = applied.shard;
    if (applied.result?.kind === "claimed") accepted.push(requestId);
    else expect(applied.result).toEqual({ kind: "full" });
  }
  expect(accepted.length).toBeGreaterThan(5);
  for (const requestId of accepted) {
    const headers = [["location", "x".repeat(500)]] as const;
    const body = "x".repeat(1_400);
    const state = {
      kind: "finished",
      answer: { status: 201, headers, body },
    } as const;
    shard = apply(shard, {
      kind: "settle",
      name: { workspace: "w", requestId },
      attemptId: `a${requestId.slice(1)}`,
      state,
    }).shard;
  }
  expect(JSON.stringify(shard).length).toBeLessThanOrEqual(limits.limitBytes);
  expect(claimShard.measureShard(shard)).toBeGreaterThanOrEqual(
    JSON.stringify(shard).length,
  );
});
