/**
 * Members of a gossiping cluster on a fake network in simulated time: messages
 * are delayed and lost, members are paused, stopped and restarted, and a fake
 * store delivers changes to its watchers and has outages.
 */
import * as backoff from "../src/backoff.ts";
import * as gossip from "../src/gossip.ts";
import type * as gossipMessage from "../src/gossip_message.ts";
import type * as membership from "../src/membership.ts";
import type * as random from "../src/random.ts";
import type * as settingsReplica from "../src/settings_replica.ts";
import type * as eventQueue from "./event_queue.ts";
import * as messageSize from "./message_size.ts";

export interface ClusterOptions {
  readonly queue: eventQueue.EventQueue;
  readonly random: random.RandomSource;
  readonly nodeCount: number;
  readonly domainCount: number;
  readonly domainsPerRegion: number;
  /** Share of requests and, independently, of replies that are lost. */
  readonly lossShare: number;
  readonly onApply: (
    nodeId: string,
    objects: readonly settingsReplica.ReplicatedObject[],
  ) => void;
  readonly onMembersChanged?: (
    nodeId: string,
    changed: readonly membership.MemberRecord[],
  ) => void;
  readonly onReady?: (nodeId: string) => void;
}

export interface FakeCluster {
  readonly nodeIds: readonly string[];
  /** Calls to the store by the second in which they were made. */
  readonly callsBySecond: ReadonlyMap<number, number>;
  countWatches(): number;
  getSentBytes(): number;
  startAll(): void;
  /** Writes an object; returns its version. */
  write(key: string, value: string): number;
  setStoreUnavailable(isAway: boolean): void;
  pause(nodeId: string, durationMs: number): void;
  stop(nodeId: string): void;
  start(nodeId: string): void;
  isRunning(nodeId: string): boolean;
  getMember(nodeId: string): gossip.GossipMember | undefined;
}

interface Node {
  readonly peer: membership.Peer;
  readonly region: number;
  member: gossip.GossipMember | undefined;
  /** Distinguishes a restarted process from the one before. */
  life: number;
  pausedUntilMs: number;
  isWatching: boolean;
  watchLife: number;
  startedAtMs: number;
}

const sameDomainDelayMs = 0.25;
const sameRegionDelayMs = 1;
const otherRegionDelayMs = 40;
const jitterMeanMs = 0.5;
const storeDelayMs = 5;
const storeJitterMs = 15;
const storeRetryMs = 250;
const instanceListMs = 5_000;
/** Age of what the instance list shows. */
const instanceListLagMs = 10_000;
const prefix = "settings/";
/** Settings and assignments are listed and watched by a call each. */
const prefixCount = 2;

/** Creates the cluster; all members are stopped. */
export function createFakeCluster(options: ClusterOptions): FakeCluster {
  const { queue, random } = options;
  const nodes = new Map<string, Node>();
  const stored = new Map<string, settingsReplica.ReplicatedObject>();
  const callsBySecond = new Map<number, number>();
  let version = 0;
  let isStoreAway = false;
  let sentBytes = 0;

  for (let index = 0; index < options.nodeCount; index += 1) {
    const domain = index % options.domainCount;
    const id = `entry-${String(index).padStart(3, "0")}`;
    nodes.set(id, {
      peer: {
        id,
        address: `10.0.${index % 250}.${index % 200}:7000`,
        controlAddress: `10.0.${index % 250}.${index % 200}:7001`,
        failureDomain: `domain-${domain}`,
        weight: 1,
      },
      region: Math.floor(domain / options.domainsPerRegion),
      member: undefined,
      life: 0,
      pausedUntilMs: 0,
      isWatching: false,
      watchLife: 0,
      startedAtMs: 0,
    });
  }

  function computeDelayMs(from: Node, to: Node): number {
    const jitterMs = -Math.log(1 - random()) * jitterMeanMs;
    if (from.region !== to.region) return otherRegionDelayMs + jitterMs;
    const isSameDomain = from.peer.failureDomain === to.peer.failureDomain;
    return (isSameDomain ? sameDomainDelayMs : sameRegionDelayMs) + jitterMs;
  }

  /** Runs a callback in a process, once it isn't paused any more. */
  function runIn(node: Node, delayMs: number, callback: () => void): void {
    const { life } = node;
    function tryRun(): void {
      if (node.life !== life || node.member === undefined) return;
      if (node.pausedUntilMs > queue.now()) {
        queue.schedule(tryRun, node.pausedUntilMs - queue.now());
        return;
      }
      callback();
    }
    queue.schedule(tryRun, delayMs);
  }

  function countCall(): void {
    const second = Math.floor(queue.now() / 1_000);
    const calls = callsBySecond.get(second) ?? 0;
    callsBySecond.set(second, calls + prefixCount);
  }

  function deliver(node: Node, event: gossip.GossipEvent): void {
    const effects = node.member?.handle(event, queue.now()) ?? [];
    for (const effect of effects) execute(node, effect);
  }

  function receive(
    from: Node,
    send: gossip.GossipSend,
    finish: (reply: gossipMessage.GossipReply | undefined) => void,
  ): void {
    const to = nodes.get(send.to.id)!;
    sentBytes += messageSize.measureRequest(send.request);
    if (random() < options.lossShare || to.member === undefined) return;
    runIn(to, computeDelayMs(from, to), () => {
      const { request } = send;
      const event = { kind: "request", request } as const;
      for (const effect of to.member!.handle(event, queue.now())) {
        if (effect.kind !== "answer") {
          execute(to, effect);
          continue;
        }
        sentBytes += messageSize.measureReply(effect.reply);
        if (random() < options.lossShare) continue;
        runIn(from, computeDelayMs(to, from), () => finish(effect.reply));
      }
    });
  }

  function send(node: Node, effect: gossip.GossipSend): void {
    let isFinished = false;
    function finish(reply: gossipMessage.GossipReply | undefined): void {
      if (isFinished) return;
      isFinished = true;
      deliver(
        node,
        reply === undefined
          ? { kind: "silent", send: effect }
          : { kind: "reply", send: effect, reply },
      );
    }
    receive(node, effect, finish);
    runIn(node, gossip.replyTimeoutMs, () => finish(undefined));
  }

  function listStore(
    node: Node,
    options: {
      readonly failures: number;
      readonly isOnlyConfirming?: boolean;
      readonly onListed?: () => void;
    },
  ): void {
    countCall();
    const delayMs = storeDelayMs + random() * storeJitterMs;
    runIn(node, delayMs, () => {
      if (isStoreAway) {
        deliver(node, { kind: "store_away" });
        const { failures, isOnlyConfirming } = options;
        if (isOnlyConfirming && node.member?.isReady()) return;
        const retryMs = backoff.computeRetryDelayMs({
          failures,
          baseMs: storeRetryMs,
          random,
        });
        runIn(
          node,
          retryMs,
          () => listStore(node, { ...options, failures: failures + 1 }),
        );
        return;
      }
      const list = { prefix, objects: [...stored.values()], version };
      deliver(node, { kind: "store_listed", list });
      options.onListed?.();
    });
  }

  function startWatch(node: Node): void {
    const watchLife = ++node.watchLife;
    listStore(node, {
      failures: 0,
      onListed() {
        if (watchLife !== node.watchLife) return;
        countCall();
        node.isWatching = true;
      },
    });
  }

  function stopWatch(node: Node): void {
    node.watchLife += 1;
    node.isWatching = false;
  }

  function execute(node: Node, effect: gossip.GossipEffect): void {
    switch (effect.kind) {
      case "send":
        return send(node, effect);
      case "answer":
        return;
      case "schedule_push":
        return runIn(
          node,
          gossip.pushDelayMs,
          () => deliver(node, { kind: "push_due" }),
        );
      case "apply":
        return options.onApply(node.peer.id, effect.objects);
      case "ready":
        return options.onReady?.(node.peer.id);
      case "list_store":
        return listStore(node, {
          failures: 0,
          isOnlyConfirming: effect.isReadinessCheck,
        });
      case "set_watching":
        return effect.isWatching ? startWatch(node) : stopWatch(node);
      case "members_changed":
        return options.onMembersChanged?.(node.peer.id, effect.changed);
    }
  }

  function listInstances(): readonly membership.ListedPeer[] {
    return [...nodes.values()]
      .filter((node) =>
        node.member !== undefined ||
        queue.now() - node.startedAtMs < instanceListLagMs
      )
      .map((node) => ({ ...node.peer, state: "live" }));
  }

  function pollInstances(node: Node): void {
    deliver(node, { kind: "instances_listed", peers: listInstances() });
    const jitter = 0.5 + random();
    runIn(node, instanceListMs * jitter, () => pollInstances(node));
  }

  function tick(node: Node): void {
    deliver(node, { kind: "tick" });
    runIn(node, gossip.tickMs, () => tick(node));
  }

  function start(nodeId: string): void {
    const node = nodes.get(nodeId)!;
    node.life += 1;
    node.pausedUntilMs = 0;
    node.startedAtMs = queue.now();
    node.member = gossip.createGossipMember({
      self: node.peer,
      incarnation: Math.floor(queue.now()) + 1,
      random,
      prefixes: [prefix],
    });
    runIn(node, random() * gossip.tickMs, () => {
      pollInstances(node);
      tick(node);
    });
  }

  return {
    nodeIds: [...nodes.keys()],
    callsBySecond,
    countWatches: () =>
      prefixCount *
      [...nodes.values()].filter((node) => node.isWatching).length,
    getSentBytes: () => sentBytes,
    startAll() {
      for (const id of nodes.keys()) start(id);
    },
    write(key, value) {
      version += 1;
      const object = { kind: "present", key, version, value } as const;
      stored.set(key, object);
      for (const node of nodes.values()) {
        if (!node.isWatching || node.member === undefined) continue;
        const { watchLife } = node;
        runIn(node, storeDelayMs + random() * storeJitterMs, () => {
          if (node.watchLife !== watchLife) return;
          deliver(node, { kind: "store_changed", objects: [object] });
        });
      }
      return version;
    },
    setStoreUnavailable(isAway) {
      isStoreAway = isAway;
      if (!isAway) return;
      for (const node of nodes.values()) {
        if (!node.isWatching) continue;
        node.isWatching = false;
        if (node.member !== undefined) startWatch(node);
      }
    },
    pause(nodeId, durationMs) {
      nodes.get(nodeId)!.pausedUntilMs = queue.now() + durationMs;
    },
    stop(nodeId) {
      const node = nodes.get(nodeId)!;
      node.life += 1;
      node.member = undefined;
      node.startedAtMs = queue.now();
      stopWatch(node);
    },
    start,
    isRunning: (nodeId) => nodes.get(nodeId)?.member !== undefined,
    getMember: (nodeId) => nodes.get(nodeId)?.member,
  };
}
