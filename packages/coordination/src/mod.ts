/**
 * Coordination building blocks for clusters that keep their durable state in
 * one object store: deterministic state machines that open no socket and get
 * their clock and random source passed in.
 */
export * as admission from "./admission.ts";
export * as ambiguousWrite from "./ambiguous_write.ts";
export * as assignment from "./assignment.ts";
export * as backoff from "./backoff.ts";
export * as bundle from "./bundle.ts";
export * as choice from "./choice.ts";
export * as claimCommitter from "./claim_committer.ts";
export * as claimShard from "./claim_shard.ts";
export * as claims from "./claims.ts";
export * as clock from "./clock.ts";
export * as conditionalWrite from "./conditional_write.ts";
export * as fencing from "./fencing.ts";
export * as gossip from "./gossip.ts";
export * as gossipMessage from "./gossip_message.ts";
export * as handover from "./handover.ts";
export * as health from "./health.ts";
export * as lease from "./lease.ts";
export * as leaseDriver from "./lease_driver.ts";
export * as leaseRecord from "./lease_record.ts";
export * as limits from "./limits.ts";
export * as loadEstimate from "./load_estimate.ts";
export * as maps from "./maps/mod.ts";
export * as membership from "./membership.ts";
export * as prefixAffinity from "./prefix_affinity.ts";
export * as progressWatch from "./progress_watch.ts";
export * as random from "./random.ts";
export * as rendezvous from "./rendezvous.ts";
export * as retryBudget from "./retry_budget.ts";
export * as settingsReplica from "./settings_replica.ts";
export * as settingsPropagation from "./settings_propagation.ts";
export * as shareAllocator from "./share_allocator.ts";
export * as shareClient from "./share_client.ts";
export * as stepTimes from "./step_times.ts";
export * as subset from "./subset.ts";
export * as upstreamPool from "./upstream_pool.ts";
export * as versionedStore from "./versioned_store.ts";
