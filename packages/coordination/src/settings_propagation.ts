/**
 * Spreads versioned objects among the members of a cluster. Two members in each
 * failure domain watch the store; what is new goes on by push with a small
 * fan-out, and once a second a digest is compared with one peer. A node is
 * ready only after it has confirmed its view against the store, or against
 * peers in two failure domains while the store is away.
 */
import * as gossipMessage from "./gossip_message.ts";
import type * as membership from "./membership.ts";
import * as rendezvous from "./rendezvous.ts";
import * as settingsReplica from "./settings_replica.ts";

/** What happens to the spreading of one node. */
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
  | { readonly kind: "store_away" }
  | { readonly kind: "request"; readonly request: gossipMessage.GossipRequest }
  | {
    readonly kind: "reply";
    readonly reply: gossipMessage.GossipReply;
    /** Whether the reply answers a request that carried a digest. */
    readonly isDigestReply: boolean;
  };

/** What the node has to do. */
export type PropagationEffect =
  /** Objects that came into force here, in this order. */
  | {
    readonly kind: "apply";
    readonly objects: readonly settingsReplica.ReplicatedObject[];
  }
  /** The view is confirmed; emitted once. */
  | { readonly kind: "ready" }
  /** List all prefixes of the store once, and retry until then. */
  | {
    readonly kind: "list_store";
    /** Retries may end when the view is confirmed otherwise. */
    readonly isReadinessCheck: boolean;
  }
  /** Send these to the member that the event came from. */
  | {
    readonly kind: "exchange";
    readonly offered: readonly settingsReplica.ReplicatedObject[];
    readonly wanted: readonly string[];
  };

/** The part of a reply that concerns objects. */
export type ObjectsReply = Pick<
  gossipMessage.GossipReply,
  "objects" | "summaries" | "isEqual" | "floorVersion" | "isReady"
>;

export interface SettingsPropagationOptions {
  /** Prefixes that the store must list before the view counts as confirmed. */
  readonly prefixes: readonly string[];
  readonly limits?: gossipMessage.MessageLimits;
  readonly tombstoneLimit?: number;
}

export interface SettingsPropagation {
  readonly replica: settingsReplica.SettingsReplica;
  handle(event: PropagationEvent): readonly PropagationEffect[];
  /** Builds the answer to a request that `handle` has taken. */
  buildReply(request: gossipMessage.GossipRequest): ObjectsReply;
  /** Takes the next new objects to push; bounded by the message limits. */
  takePushBatch(): readonly settingsReplica.ReplicatedObject[];
  hasPendingPush(): boolean;
  isReady(): boolean;
  /** Whether peers have to confirm the view because the store is away. */
  needsPeerConfirmation(): boolean;
  /** Whether peers of this failure domain have confirmed the view. */
  hasPeerConfirmation(failureDomain: string): boolean;
}

/** Members of one failure domain that watch the store. */
export const watchersPerDomain = 2;

const confirmingDomains = 2;
/** A larger reply is a node catching up; what it takes isn't pushed on. */
const repairPushLimit = 16;

/** Returns whether the member is one of its domain's watchers. */
export function isWatcher(
  self: membership.MemberRecord,
  members: readonly membership.MemberRecord[],
): boolean {
  const candidates = members.filter((member) =>
    member.failureDomain === self.failureDomain && member.state !== "leaving"
  ).map(({ id }) => ({ id }));
  const chosen = rendezvous.selectMembers(candidates, {
    key: `watch/${self.failureDomain}`,
    count: watchersPerDomain,
  });
  return chosen.some(({ id }) => id === self.id);
}

/** Creates the spreading of one node with an empty replica. */
export function createSettingsPropagation(
  options: SettingsPropagationOptions,
): SettingsPropagation {
  const limits = options.limits ?? gossipMessage.defaultLimits;
  const replica = settingsReplica.createSettingsReplica(options);
  const unlisted = new Set(options.prefixes);
  const confirmed = new Set<string>();
  /** Keys to push; the object is looked up when it is sent. */
  const pending = new Set<string>();
  let isStoreAway = false;
  let isReady = false;
  let newestVersion = 0;

  /** Brings objects into force here and queues them for others. */
  function apply(
    taken: readonly settingsReplica.ReplicatedObject[],
    isPushed = true,
  ): PropagationEffect[] {
    if (taken.length === 0) return [];
    for (const object of taken) {
      newestVersion = Math.max(newestVersion, object.version);
      if (isPushed) pending.add(object.key);
    }
    return [{ kind: "apply", objects: taken }];
  }

  function checkReady(): PropagationEffect[] {
    const isConfirmed = unlisted.size === 0 ||
      (isStoreAway && confirmed.size >= confirmingDomains);
    if (isReady || !isConfirmed) return [];
    isReady = true;
    return [{ kind: "ready" }];
  }

  function applyList(list: settingsReplica.PrefixListing): PropagationEffect[] {
    isStoreAway = false;
    unlisted.delete(list.prefix);
    // What a first list brings is known to others already; the digests that
    // are compared each second find what isn't.
    const effects = apply(replica.mergeList(list), isReady);
    return [...effects, ...checkReady()];
  }

  /** Peers forgot removals that this node may have missed. */
  function checkFloor(floorVersion: number): PropagationEffect[] {
    const hasMissedRemovals = isReady && floorVersion > newestVersion;
    return hasMissedRemovals
      ? [{ kind: "list_store", isReadinessCheck: false }]
      : [];
  }

  function handleReply(
    reply: gossipMessage.GossipReply,
    wasCompared: boolean,
  ): PropagationEffect[] {
    const isRepair = reply.objects.length <= repairPushLimit;
    const taken = replica.merge(reply.objects);
    const effects = apply(taken, isReady && isRepair);
    effects.push(...checkFloor(reply.floorVersion));
    if (wasCompared && reply.isEqual && reply.isReady && !isReady) {
      confirmed.add(reply.from.failureDomain);
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
        case "store_away":
          isStoreAway = true;
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
      const queued = [...pending].flatMap((key) => replica.get(key) ?? []);
      const taken = gossipMessage.limitObjects(queued, limits.objectBytes);
      if (taken.length === queued.length) pending.clear();
      for (const object of taken) pending.delete(object.key);
      return taken;
    },
    hasPendingPush: () => pending.size > 0,
    isReady: () => isReady,
    needsPeerConfirmation: () => !isReady && isStoreAway,
    hasPeerConfirmation: (failureDomain) => confirmed.has(failureDomain),
  };
}
