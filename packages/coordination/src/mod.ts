/**
 * Coordination parts for clusters that keep what must last in one object API:
 * deterministic state machines without sockets, clocks or random sources of
 * their own.
 */
export * as ambiguousWrite from "./ambiguous_write.ts";
export * as assignment from "./assignment.ts";
export * as backoff from "./backoff.ts";
export * as bundle from "./bundle.ts";
export * as claimCommitter from "./claim_committer.ts";
export * as claimShard from "./claim_shard.ts";
export * as claims from "./claims.ts";
export * as clock from "./clock.ts";
export * as conditionalWrite from "./conditional_write.ts";
export * as fencing from "./fencing.ts";
export * as gossip from "./gossip.ts";
export * as gossipMessage from "./gossip_message.ts";
export * as handover from "./handover.ts";
export * as lease from "./lease.ts";
export * as leaseDriver from "./lease_driver.ts";
export * as leaseRecord from "./lease_record.ts";
export * as maps from "./maps/mod.ts";
export * as membership from "./membership.ts";
export * as random from "./random.ts";
export * as rendezvous from "./rendezvous.ts";
export * as settingsReplica from "./settings_replica.ts";
export * as settingsSpread from "./settings_spread.ts";
export * as versionedStore from "./versioned_store.ts";
