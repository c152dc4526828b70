/** Stores claims in the object store through one committer per shard. */
import * as claimCommitter from "@anvilhinge/coordination/claim_committer";
import * as claimShard from "@anvilhinge/coordination/claim_shard";
import * as claims from "@anvilhinge/coordination/claims";
import type * as random from "@anvilhinge/coordination/random";
import type * as objectStore from "../../ports/object_store.ts";
import type * as scheduler from "../../ports/scheduler.ts";

export interface ClaimStoreOptions {
  readonly store: objectStore.ObjectStore;
  readonly scheduler: scheduler.Scheduler;
  readonly random: random.RandomSource;
  /** Wall-clock time in milliseconds since 1970. */
  readonly readWallMs: () => number;
  readonly half: string;
  /** @default claims.defaultShardCount */
  readonly shardCount?: number;
  /** Cancels all timers. */
  readonly signal?: AbortSignal;
}

/** Access of one entry to the claims of one half. */
export interface ClaimStore {
  /** Never rejects; a failure of the object store resolves to `unavailable`. */
  submit(operation: claims.ClaimOperation): Promise<claims.ClaimResult>;
  /** Number of operations that have not completed. */
  countPending(): number;
}

type ResultCallback = (result: claims.ClaimResult) => void;
type ReadResult = Extract<
  claimCommitter.CommitterEvent,
  { readonly kind: "read_answered" }
>["outcome"];

/** Creates a claim store; a shard gets its committer on first use. */
export function createClaimStore(options: ClaimStoreOptions): ClaimStore {
  const shardFeeds = new Map<
    string,
    (event: claimCommitter.CommitterEvent) => void
  >();
  const pendingResults = new Map<number, ResultCallback>();
  let nextOperationId = 0;

  function createShardFeed(
    key: string,
  ): (event: claimCommitter.CommitterEvent) => void {
    const committer = claimCommitter.createCommitter({
      clock: options.scheduler,
      random: options.random,
      readWallMs: options.readWallMs,
    });

    function feed(event: claimCommitter.CommitterEvent): void {
      for (const effect of committer.handle(event)) execute(effect);
    }

    async function read(): Promise<void> {
      const outcome = convertRead(await options.store.read(key));
      feed({ kind: "read_answered", outcome });
    }

    async function write(
      shard: claimShard.ClaimShard,
      ifVersion: number,
    ): Promise<void> {
      const outcome = await options.store.write(key, shard, { ifVersion });
      feed({ kind: "write_answered", outcome });
    }

    function execute(effect: claimCommitter.CommitterEffect): void {
      switch (effect.kind) {
        case "read":
          void read();
          return;
        case "write":
          void write(effect.shard, effect.ifVersion);
          return;
        case "set_timer":
          options.scheduler.schedule(() => feed({ kind: "timer" }), {
            delayMs: effect.delayMs,
            signal: options.signal,
          });
          return;
        case "answer":
          pendingResults.get(effect.operationId)?.(effect.result);
          pendingResults.delete(effect.operationId);
          return;
      }
    }

    return feed;
  }

  return {
    submit(operation) {
      const name = operation.kind === "claim"
        ? operation.claim
        : operation.name;
      const key = claims.formatShardKey(
        options.half,
        name,
        options.shardCount,
      );
      const feed = shardFeeds.get(key) ?? createShardFeed(key);
      shardFeeds.set(key, feed);
      const operationId = nextOperationId++;
      return new Promise((resolve) => {
        pendingResults.set(operationId, resolve);
        feed({ kind: "submitted", operationId, operation });
      });
    },
    countPending: () => pendingResults.size,
  };
}

function convertRead(outcome: objectStore.ReadOutcome): ReadResult {
  switch (outcome.kind) {
    case "unavailable":
      return outcome;
    case "missing":
      return {
        kind: "read",
        stored: { shard: claimShard.emptyShard, version: 0 },
      };
    case "found": {
      const { key, value, version } = outcome.object;
      const shard = claimShard.parseShard(value);
      if (shard !== undefined) {
        return { kind: "read", stored: { shard, version } };
      }
      return {
        kind: "unavailable",
        message: `Object ${key} is not a valid claim shard`,
      };
    }
  }
}
