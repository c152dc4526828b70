/**
 * Propagates versioned objects among the members of a cluster. Two members in
 * each failure domain watch the object store; new objects are pushed on with a
 * small fan-out, and once a second a digest is compared with one peer. A node
 * is ready only after it has confirmed that its replica is up to date: against
 * the store, or against peers in two failure domains while the store is
 * unavailable.
 */
import * as gossipMessage from "./gossip_message.ts";
import type * as membership from "./membership.ts";
import * as rendezvous from "./rendezvous.ts";
import * as settingsReplica from "./settings_replica.ts";

/** Input of the propagation on one node. */
export type PropagationEvent =
  /** The complete content of a prefix was read from the store. */
  | {
    readonly kind: "store_listed";
    readonly list: settingsReplica.PrefixListing;
  }
  | {
    readonly kind: "store_changed";
    readonly objects: readonly settingsReplica.ReplicatedObject[];
  }
  /** The store is unavailable. */
  | { readonly kind: "store_unavailable" }
  | { readonly kind: "request"; readonly request: gossipMessage.GossipRequest }
  | {
    readonly kind: "reply";
    readonly reply: gossipMessage.GossipReply;
    /** Whether the reply answers a request that carried a digest. */
    readonly isDigestReply: boolean;
  };

/** Action that the node executes. */
export type PropagationEffect =
  /** Apply these accepted objects, in this order. */
  | {
    readonly kind: "apply";
    readonly objects: readonly settingsReplica.ReplicatedObject[];
  }
  /** The replica is confirmed; emitted once. */
  | { readonly kind: "ready" }
  /** List all prefixes of the store once, with retries on failure. */
  | {
    readonly kind: "list_store";
    /**
     * Whether the listing only serves to confirm the replica. Its retries may
     * then stop as soon as peers have confirmed the replica.
     */
    readonly isReadinessCheck: boolean;
  }
  /** Send these to the member that sent the reply. */
  | {
    readonly kind: "exchange";
    readonly offered: readonly settingsReplica.ReplicatedObject[];
    readonly wanted: readonly string[];
  };

/** The part of a reply about objects. */
export type ObjectsReply = Pick<
  gossipMessage.GossipReply,
  "objects" | "summaries" | "isEqual" | "floorVersion" | "isReady"
>;

export interface SettingsPropagationOptions {
  /** Prefixes to list from the store before the replica is confirmed. */
  readonly prefixes: readonly string[];
  readonly limits?: gossipMessage.MessageLimits;
  readonly tombstoneLimit?: number;
}

export interface SettingsPropagation {
  readonly replica: settingsReplica.SettingsReplica;
  handle(event: PropagationEvent): readonly PropagationEffect[];
  /** Builds the reply to a request that `handle` has processed. */
  buildReply(request: gossipMessage.GossipRequest): ObjectsReply;
  /** Removes and returns the next objects to push, up to the message limits. */
  takePushBatch(): readonly settingsReplica.ReplicatedObject[];
  hasPendingPush(): boolean;
  isReady(): boolean;
  /** Whether peers must confirm the replica: the store is unavailable. */
  needsPeerConfirmation(): boolean;
  /** Whether a peer in this failure domain has confirmed the replica. */
  hasPeerConfirmation(failureDomain: string): boolean;
}

/** Number of members per failure domain that watch the store. */
export const watchersPerDomain = 2;

const requiredConfirmingDomains = 2;
/**
 * Replies with more objects are not pushed on: they occur while this node is
 * catching up.
 */
const maxRepairObjects = 16;

/** Returns whether the member is a watcher of its failure domain. */
export function isWatcher(
  self: membership.MemberRecord,
  members: readonly membership.MemberRecord[],
): boolean {
  const candidates = members.filter((member) =>
    member.failureDomain === self.failureDomain && member.state !== "leaving"
  ).map(({ id }) => ({ id }));
  const watchers = rendezvous.selectMembers(candidates, {
    key: `watch/${self.failureDomain}`,
    count: watchersPerDomain,
  });
  return watchers.some(({ id }) => id === self.id);
}

/** Creates the propagation of one node with an empty replica. */
export function createSettingsPropagation(
  options: SettingsPropagationOptions,
): SettingsPropagation {
  const limits = options.limits ?? gossipMessage.defaultLimits;
  const replica = settingsReplica.createSettingsReplica(options);
  const unlistedPrefixes = new Set(options.prefixes);
  const confirmedDomains = new Set<string>();
  /** Keys to push; objects are looked up at the time of the push. */
  const pendingKeys = new Set<string>();
  let isStoreUnavailable = false;
  let isReady = false;
  let newestVersion = 0;

  /** Applies objects on this node and queues them for a push to others. */
  function apply(
    accepted: readonly settingsReplica.ReplicatedObject[],
    isPushed = true,
  ): PropagationEffect[] {
    if (accepted.length === 0) return [];
    for (const object of accepted) {
      newestVersion = Math.max(newestVersion, object.version);
      if (isPushed) pendingKeys.add(object.key);
    }
    return [{ kind: "apply", objects: accepted }];
  }

  function checkReady(): PropagationEffect[] {
    const isConfirmed = unlistedPrefixes.size === 0 ||
      (isStoreUnavailable &&
        confirmedDomains.size >= requiredConfirmingDomains);
    if (isReady || !isConfirmed) return [];
    isReady = true;
    return [{ kind: "ready" }];
  }

  function applyList(
    listing: settingsReplica.PrefixListing,
  ): PropagationEffect[] {
    isStoreUnavailable = false;
    unlistedPrefixes.delete(listing.prefix);
    // Other members already have the objects of a first listing; the digest
    // comparison once a second finds those that they lack.
    const effects = apply(replica.mergeList(listing), isReady);
    return [...effects, ...checkReady()];
  }

  /** Lists the store if peers dropped tombstones this node may have missed. */
  function checkFloor(floorVersion: number): PropagationEffect[] {
    const hasMissedRemovals = isReady && floorVersion > newestVersion;
    return hasMissedRemovals
      ? [{ kind: "list_store", isReadinessCheck: false }]
      : [];
  }

  function handleReply(
    reply: gossipMessage.GossipReply,
    isDigestReply: boolean,
  ): PropagationEffect[] {
    const isRepair = reply.objects.length <= maxRepairObjects;
    const accepted = replica.merge(reply.objects);
    const effects = apply(accepted, isReady && isRepair);
    effects.push(...checkFloor(reply.floorVersion));
    if (isDigestReply && reply.isEqual && reply.isReady && !isReady) {
      confirmedDomains.add(reply.from.failureDomain);
    }
    effects.push(...checkReady());
    if (reply.summaries === undefined) return effects;
    const difference = replica.computeDifference(reply.summaries);
    const offered = gossipMessage.limitObjects(
      difference.offered,
      limits.objectBytes,
    );
    const wanted = difference.wanted.slice(0, limits.wanted);
    if (offered.length + wanted.length > 0) {
      effects.push({ kind: "exchange", offered, wanted });
    }
    return effects;
  }

  return {
    replica,
    handle(event) {
      switch (event.kind) {
        case "store_listed":
          return applyList(event.list);
        case "store_changed":
          return apply(replica.merge(event.objects));
        case "store_unavailable":
          isStoreUnavailable = true;
          return checkReady();
        case "request": {
          const { objects, digest } = event.request;
          const effects = apply(replica.merge(objects));
          return [...effects, ...checkFloor(digest?.floorVersion ?? 0)];
        }
        case "reply":
          return handleReply(event.reply, event.isDigestReply);
      }
    },
    buildReply({ digest, wanted }) {
      const objects = wanted.slice(0, limits.wanted)
        .flatMap((key) => replica.get(key) ?? []);
      const ranges = digest === undefined ? [] : replica.compare(digest);
      const summaries = ranges.length === 0
        ? undefined
        : replica.summarize(ranges, limits.summaries);
      return {
        objects: gossipMessage.limitObjects(objects, limits.objectBytes),
        summaries,
        isEqual: digest !== undefined && ranges.length === 0,
        floorVersion: replica.getDigest().floorVersion,
        isReady,
      };
    },
    takePushBatch() {
      const queued = [...pendingKeys].flatMap((key) => replica.get(key) ?? []);
      const batch = gossipMessage.limitObjects(queued, limits.objectBytes);
      if (batch.length === queued.length) pendingKeys.clear();
      for (const object of batch) pendingKeys.delete(object.key);
      return batch;
    },
    hasPendingPush: () => pendingKeys.size > 0,
    isReady: () => isReady,
    needsPeerConfirmation: () => !isReady && isStoreUnavailable,
    hasPeerConfirmation: (failureDomain) => confirmedDomains.has(failureDomain),
  };
}
