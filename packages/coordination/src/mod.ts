/**
 * Coordination parts for clusters that keep what must last in one object API:
 * deterministic state machines without sockets, clocks or random sources of
 * their own.
 */
export * as assignment from "./assignment.ts";
export * as claimCommitter from "./claim_committer.ts";
export * as claimShard from "./claim_shard.ts";
export * as claims from "./claims.ts";
export * as clock from "./clock.ts";
export * as random from "./random.ts";
export * as rendezvous from "./rendezvous.ts";
