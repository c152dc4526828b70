/**
 * Runs the entry's gossip member: executes its effects as calls, timers and
 * reads of the object store, and passes the results back as events.
 */
import * as gossip from "@anvilhinge/coordination/gossip";
import type * as gossipMessage from "@anvilhinge/coordination/gossip_message";
import type * as membership from "@anvilhinge/coordination/membership";
import type * as random from "@anvilhinge/coordination/random";
import type * as settingsReplica from "@anvilhinge/coordination/settings_replica";
import type * as instanceList from "../../ports/instance_list.ts";
import type * as objectStore from "../../ports/object_store.ts";
import type * as scheduler from "../../ports/scheduler.ts";
import type * as logger from "../../telemetry/logger.ts";
import type * as gossipClient from "./gossip_client.ts";
import * as replicaScope from "./replica_scope.ts";
import * as storeFollower from "./store_follower.ts";

export interface GossipNodeOptions {
  readonly self: membership.Peer;
  readonly half: string;
  readonly incarnation: number;
  readonly store: objectStore.ObjectStore;
  readonly instances: instanceList.InstanceList;
  readonly client: gossipClient.GossipClient;
  readonly scheduler: scheduler.Scheduler;
  readonly random: random.RandomSource;
  readonly logger: logger.Logger;
  /** Stops all calls, timers and reads at once. */
  readonly signal: AbortSignal;
  readonly onApply: (
    objects: readonly settingsReplica.ReplicatedObject[],
  ) => void;
  /** Called once, when the store or enough peers have confirmed the replica. */
  readonly onReady: () => void;
}

export interface GossipNode {
  handleRequest(
    request: gossipMessage.GossipRequest,
  ): gossipMessage.GossipReply | undefined;
  listMembers(): readonly membership.MemberRecord[];
  /** Notifies the other entries that this entry is about to stop. */
  publishLeaving(): void;
  /** Changes the weight of this entry, its share of the workspaces. */
  setWeight(weight: number): void;
}

/** Mean interval between reads of the instance list. */
const instancesIntervalMs = 5_000;
/** Mean interval between reads while no other member is known. */
const aloneIntervalMs = 500;

/** Starts the member; it first reads the instance list and the object store. */
export function startGossipNode(options: GossipNodeOptions): GossipNode {
  const { scheduler, signal, self } = options;
  const member = gossip.createGossipMember({
    self,
    incarnation: options.incarnation,
    random: options.random,
    prefixes: replicaScope.replicaPrefixes,
  });
  let watch: AbortController | undefined;

  function deliver(event: gossip.GossipEvent): void {
    if (signal.aborted) return;
    for (const effect of member.handle(event, scheduler.now())) execute(effect);
  }

  async function send(effect: gossip.GossipSend): Promise<void> {
    const { controlAddress } = effect.to;
    const reply = await options.client.exchange(controlAddress, effect.request);
    deliver(
      reply === undefined
        ? { kind: "silent", send: effect }
        : { kind: "reply", send: effect, reply },
    );
  }

  function createListOptions(
    prefix: string,
    listSignal: AbortSignal,
  ): storeFollower.ListOptions {
    return {
      store: options.store,
      scheduler,
      random: options.random,
      prefix,
      signal: listSignal,
      onList: (listed, version) =>
        deliver({
          kind: "store_listed",
          list: { prefix, version, objects: convertInScope(listed) },
        }),
      onUnavailable(message) {
        options.logger.warnOnce(
          "store",
          `Lost contact with the object store: ${message}`,
        );
        deliver({ kind: "store_unavailable" });
      },
    };
  }

  function convertInScope(
    listed: readonly objectStore.StoredObject[],
  ): readonly settingsReplica.ReplicatedObject[] {
    return listed
      .filter(({ key }) => replicaScope.isInScope(key, options.half))
      .flatMap(replicaScope.convertStored);
  }

  function listStore(isReadinessCheck: boolean): void {
    const listAbort = new AbortController();
    const listSignal = AbortSignal.any([signal, listAbort.signal]);
    for (const prefix of replicaScope.replicaPrefixes) {
      const listOptions = createListOptions(prefix, listSignal);
      storeFollower.listPrefix({
        ...listOptions,
        onUnavailable(message) {
          listOptions.onUnavailable?.(message);
          // The replica is confirmed already, so the list needs no retry.
          if (isReadinessCheck && member.isReady()) listAbort.abort();
        },
      });
    }
  }

  function startWatch(): void {
    watch = new AbortController();
    const watchSignal = AbortSignal.any([signal, watch.signal]);
    for (const prefix of replicaScope.replicaPrefixes) {
      storeFollower.followPrefix({
        ...createListOptions(prefix, watchSignal),
        onObject: (object) =>
          deliver({ kind: "store_changed", objects: convertInScope([object]) }),
        onRemoved(key, version) {
          if (!replicaScope.isInScope(key, options.half)) return;
          const removed = { kind: "removed", key, version } as const;
          deliver({ kind: "store_changed", objects: [removed] });
        },
      });
    }
  }

  function dropConnections(changed: readonly membership.MemberRecord[]): void {
    for (const { state, controlAddress, id } of changed) {
      if (state !== "removed") continue;
      options.logger.info(`Removed ${id} from the members`);
      options.client.drop(controlAddress);
    }
  }

  function execute(effect: gossip.GossipEffect): void {
    switch (effect.kind) {
      case "send":
        return void send(effect);
      case "answer":
        return;
      case "schedule_push":
        return scheduler.schedule(() => deliver({ kind: "push_due" }), {
          delayMs: gossip.pushDelayMs,
          signal,
        });
      case "apply":
        return options.onApply(effect.objects);
      case "ready":
        return options.onReady();
      case "list_store":
        return listStore(effect.isReadinessCheck);
      case "set_watching":
        return effect.isWatching ? startWatch() : watch?.abort();
      case "members_changed":
        return dropConnections(effect.changed);
    }
  }

  function convertInstances(
    listed: readonly instanceList.Instance[],
  ): readonly membership.ListedPeer[] {
    return listed.flatMap((instance) => {
      const { id, half, role, controlAddress, state } = instance;
      if (role !== "entry" || half !== options.half) return [];
      if (controlAddress === undefined) return [];
      const { address, failureDomain } = instance;
      // 0 = not ready: callers get the address only after the entry has
      // announced its own weight.
      const weight = 0;
      return [{ id, address, controlAddress, failureDomain, weight, state }];
    });
  }

  async function pollInstances(): Promise<void> {
    const outcome = await options.instances.list();
    if (outcome.kind === "listed") {
      const peers = convertInstances(outcome.instances);
      deliver({ kind: "instances_listed", peers });
    }
    const isAlone = member.listMembers().length < 2;
    const meanMs = isAlone ? aloneIntervalMs : instancesIntervalMs;
    scheduler.schedule(() => void pollInstances(), {
      delayMs: meanMs * (0.5 + options.random()),
      signal,
    });
  }

  function tick(): void {
    deliver({ kind: "tick" });
    scheduler.schedule(tick, { delayMs: gossip.tickMs, signal });
  }

  // The first tick decides whether this entry watches the store, which depends
  // on the other members.
  void pollInstances().then(tick);
  return {
    handleRequest(request) {
      let reply: gossipMessage.GossipReply | undefined;
      if (signal.aborted) return undefined;
      const event = { kind: "request", request } as const;
      for (const effect of member.handle(event, scheduler.now())) {
        if (effect.kind === "answer") reply = effect.reply;
        else execute(effect);
      }
      return reply;
    },
    listMembers: member.listMembers,
    publishLeaving: () => deliver({ kind: "leave" }),
    setWeight: (weight) => deliver({ kind: "weight_changed", weight }),
  };
}
