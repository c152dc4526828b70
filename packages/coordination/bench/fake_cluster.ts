/**
 * Runs the members of a gossip cluster in simulated time. The fake network
 * delays and loses messages, members are paused, stopped and restarted, and a
 * fake object store delivers changes to its watchers and has outages.
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
  /** Number of failure domains. */
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
  /** Number of calls to the object store by simulated second. */
  readonly callsBySecond: ReadonlyMap<number, number>;
  /** Counts the watch calls that are open at the object store. */
  countWatches(): number;
  /** Returns the estimated bytes of all requests and replies so far. */
  getSentBytes(): number;
  startAll(): void;
  /** Writes an object; returns its version. */
  write(key: string, value: string): number;
  setStoreUnavailable(isUnavailable: boolean): void;
  pause(nodeId: string, durationMs: number): void;
  stop(nodeId: string): void;
  start(nodeId: string): void;
  isRunning(nodeId: string): boolean;
  getMember(nodeId: string): gossip.GossipMember | undefined;
}

interface SimulatedNode {
  readonly peer: membership.Peer;
  readonly region: number;
  /** Undefined while the node is stopped. */
  member: gossip.GossipMember | undefined;
  /** Incremented at each start and stop, which cancels pending callbacks. */
  generation: number;
  pausedUntilMs: number;
  isWatching: boolean;
  /** Incremented at each start and stop of the watch, which cancels it. */
  watchGeneration: number;
  /** Time of the last start or stop. */
  stateChangedAtMs: number;
}

const sameDomainDelayMs = 0.25;
const sameRegionDelayMs = 1;
const otherRegionDelayMs = 40;
const jitterMeanMs = 0.5;
const storeDelayMs = 5;
const storeJitterMs = 15;
const storeRetryBaseMs = 250;
const instancePollIntervalMs = 5_000;
/** Time for which the instance list still contains a stopped node. */
const instanceListLagMs = 10_000;
const prefix = "settings/";
/** Listing or watching takes one call for settings and one for assignments. */
const callsPerOperation = 2;

/** Creates a cluster whose members are all stopped. */
export function createFakeCluster(options: ClusterOptions): FakeCluster {
  const { queue, random } = options;
  const nodes = new Map<string, SimulatedNode>();
  const storedObjects = new Map<string, settingsReplica.ReplicatedObject>();
  const callsBySecond = new Map<number, number>();
  let storeVersion = 0;
  let isStoreUnavailable = false;
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
      generation: 0,
      pausedUntilMs: 0,
      isWatching: false,
      watchGeneration: 0,
      stateChangedAtMs: 0,
    });
  }

  function computeDelayMs(from: SimulatedNode, to: SimulatedNode): number {
    const jitterMs = -Math.log(1 - random()) * jitterMeanMs;
    if (from.region !== to.region) return otherRegionDelayMs + jitterMs;
    const isSameDomain = from.peer.failureDomain === to.peer.failureDomain;
    return (isSameDomain ? sameDomainDelayMs : sameRegionDelayMs) + jitterMs;
  }

  /**
   * Runs a callback on a node after a delay, and not before the end of a pause.
   * The callback is dropped if the node stops or restarts before that.
   */
  function runOnNode(
    node: SimulatedNode,
    delayMs: number,
    callback: () => void,
  ): void {
    const { generation } = node;
    function tryRun(): void {
      if (node.generation !== generation || node.member === undefined) return;
      if (node.pausedUntilMs > queue.now()) {
        queue.schedule(tryRun, node.pausedUntilMs - queue.now());
        return;
      }
      callback();
    }
    queue.schedule(tryRun, delayMs);
  }

  function countOperation(): void {
    const second = Math.floor(queue.now() / 1_000);
    const calls = callsBySecond.get(second) ?? 0;
    callsBySecond.set(second, calls + callsPerOperation);
  }

  function deliver(node: SimulatedNode, event: gossip.GossipEvent): void {
    const effects = node.member?.handle(event, queue.now()) ?? [];
    for (const effect of effects) execute(node, effect);
  }

  /** Transmits a request to its receiver, and the reply back to the sender. */
  function transfer(
    from: SimulatedNode,
    send: gossip.GossipSend,
    onReply: (reply: gossipMessage.GossipReply | undefined) => void,
  ): void {
    const to = nodes.get(send.to.id)!;
    sentBytes += messageSize.measureRequest(send.request);
    if (random() < options.lossShare || to.member === undefined) return;
    runOnNode(to, computeDelayMs(from, to), () => {
      const { request } = send;
      const event = { kind: "request", request } as const;
      for (const effect of to.member!.handle(event, queue.now())) {
        if (effect.kind !== "answer") {
          execute(to, effect);
          continue;
        }
        sentBytes += messageSize.measureReply(effect.reply);
        if (random() < options.lossShare) continue;
        runOnNode(from, computeDelayMs(to, from), () => onReply(effect.reply));
      }
    });
  }

  function send(node: SimulatedNode, effect: gossip.GossipSend): void {
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
    transfer(node, effect, finish);
    runOnNode(node, gossip.replyTimeoutMs, () => finish(undefined));
  }

  /** Lists the object store, with retries while it is unavailable. */
  function listStore(
    node: SimulatedNode,
    options: {
      readonly failures: number;
      /** Whether retries end when the node is ready without the list. */
      readonly stopsWhenReady?: boolean;
      readonly onListed?: () => void;
    },
  ): void {
    countOperation();
    const delayMs = storeDelayMs + random() * storeJitterMs;
    runOnNode(node, delayMs, () => {
      if (isStoreUnavailable) {
        deliver(node, { kind: "store_unavailable" });
        const { failures, stopsWhenReady } = options;
        if (stopsWhenReady && node.member?.isReady()) return;
        const retryMs = backoff.computeRetryDelayMs({
          failures,
          baseMs: storeRetryBaseMs,
          random,
        });
        runOnNode(
          node,
          retryMs,
          () => listStore(node, { ...options, failures: failures + 1 }),
        );
        return;
      }
      const list = {
        prefix,
        objects: [...storedObjects.values()],
        version: storeVersion,
      };
      deliver(node, { kind: "store_listed", list });
      options.onListed?.();
    });
  }

  function startWatch(node: SimulatedNode): void {
    const watchGeneration = ++node.watchGeneration;
    listStore(node, {
      failures: 0,
      onListed() {
        if (watchGeneration !== node.watchGeneration) return;
        countOperation();
        node.isWatching = true;
      },
    });
  }

  function stopWatch(node: SimulatedNode): void {
    node.watchGeneration += 1;
    node.isWatching = false;
  }

  function execute(node: SimulatedNode, effect: gossip.GossipEffect): void {
    switch (effect.kind) {
      case "send":
        return send(node, effect);
      case "answer":
        return;
      case "schedule_push":
        return runOnNode(
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
          stopsWhenReady: effect.isReadinessCheck,
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
        queue.now() - node.stateChangedAtMs < instanceListLagMs
      )
      .map((node) => ({ ...node.peer, state: "live" }));
  }

  function pollInstances(node: SimulatedNode): void {
    deliver(node, { kind: "instances_listed", peers: listInstances() });
    const jitterFactor = 0.5 + random();
    runOnNode(
      node,
      instancePollIntervalMs * jitterFactor,
      () => pollInstances(node),
    );
  }

  function tick(node: SimulatedNode): void {
    deliver(node, { kind: "tick" });
    runOnNode(node, gossip.tickMs, () => tick(node));
  }

  function start(nodeId: string): void {
    const node = nodes.get(nodeId)!;
    node.generation += 1;
    node.pausedUntilMs = 0;
    node.stateChangedAtMs = queue.now();
    node.member = gossip.createGossipMember({
      self: node.peer,
      incarnation: Math.floor(queue.now()) + 1,
      random,
      prefixes: [prefix],
    });
    runOnNode(node, random() * gossip.tickMs, () => {
      pollInstances(node);
      tick(node);
    });
  }

  return {
    nodeIds: [...nodes.keys()],
    callsBySecond,
    countWatches: () =>
      callsPerOperation *
      [...nodes.values()].filter((node) => node.isWatching).length,
    getSentBytes: () => sentBytes,
    startAll() {
      for (const id of nodes.keys()) start(id);
    },
    write(key, value) {
      storeVersion += 1;
      const object = {
        kind: "present",
        key,
        version: storeVersion,
        value,
      } as const;
      storedObjects.set(key, object);
      for (const node of nodes.values()) {
        if (!node.isWatching || node.member === undefined) continue;
        const { watchGeneration } = node;
        runOnNode(node, storeDelayMs + random() * storeJitterMs, () => {
          if (node.watchGeneration !== watchGeneration) return;
          deliver(node, { kind: "store_changed", objects: [object] });
        });
      }
      return storeVersion;
    },
    setStoreUnavailable(isUnavailable) {
      isStoreUnavailable = isUnavailable;
      if (!isUnavailable) return;
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
      node.generation += 1;
      node.member = undefined;
      node.stateChangedAtMs = queue.now();
      stopWatch(node);
    },
    start,
    isRunning: (nodeId) => nodes.get(nodeId)?.member !== undefined,
    getMember: (nodeId) => nodes.get(nodeId)?.member,
  };
}
