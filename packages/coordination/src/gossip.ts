/**
 * One member of a gossip cluster: membership and settings propagation share the
 * messages. Deterministic state machine: it handles events and returns effects,
 * opens no socket and reads no clock.
 */
import * as gossipMessage from "./gossip_message.ts";
import * as membership from "./membership.ts";
import type * as random from "./random.ts";
import type * as settingsReplica from "./settings_replica.ts";
import * as settingsPropagation from "./settings_propagation.ts";

type StoreEvent = Extract<
  settingsPropagation.PropagationEvent,
  { readonly kind: "store_listed" | "store_changed" | "store_unavailable" }
>;

/** Input of the member. */
export type GossipEvent =
  | StoreEvent
  /** Delivered every `tickMs`. */
  | { readonly kind: "tick" }
  /** Delivered `pushDelayMs` after the effect `schedule_push`. */
  | { readonly kind: "push_due" }
  | {
    readonly kind: "instances_listed";
    readonly peers: readonly membership.ListedPeer[];
  }
  | { readonly kind: "request"; readonly request: gossipMessage.GossipRequest }
  | {
    readonly kind: "reply";
    readonly send: GossipSend;
    readonly reply: gossipMessage.GossipReply;
  }
  /** A request timed out after `replyTimeoutMs`, or could not be sent. */
  | { readonly kind: "silent"; readonly send: GossipSend }
  /** This member is about to stop. */
  | { readonly kind: "leave" }
  /** The weight of this member (its relative share of keys) has changed. */
  | { readonly kind: "weight_changed"; readonly weight: number };

/** A request to send; passed back with its reply or its timeout. */
export interface GossipSend {
  readonly kind: "send";
  readonly to: membership.MemberRecord;
  readonly request: gossipMessage.GossipRequest;
  /** Number of earlier attempts of the probe; undefined = not a probe. */
  readonly probeAttempt?: number;
}

/** Action that the caller executes for the member. */
export type GossipEffect =
  | GossipSend
  /** Answer the request of the event. */
  | { readonly kind: "answer"; readonly reply: gossipMessage.GossipReply }
  /** Deliver `push_due` after `pushDelayMs`. */
  | { readonly kind: "schedule_push" }
  | {
    readonly kind: "apply";
    readonly objects: readonly settingsReplica.ReplicatedObject[];
  }
  /** The replica is confirmed as up to date; emitted once. */
  | { readonly kind: "ready" }
  /** List all prefixes of the object store once, with retries on failure. */
  | Extract<
    settingsPropagation.PropagationEffect,
    { readonly kind: "list_store" }
  >
  /** List and watch the object store, or stop doing so. */
  | { readonly kind: "set_watching"; readonly isWatching: boolean }
  /** These member records are new or have changed. */
  | {
    readonly kind: "members_changed";
    readonly changed: readonly membership.MemberRecord[];
  };

export interface GossipOptions
  extends settingsPropagation.SettingsPropagationOptions {
  readonly self: membership.Peer;
  readonly incarnation: number;
  readonly random: random.RandomSource;
  /**
   * Number of peers that new objects and records are pushed to.
   * @default 5
   */
  readonly fanOut?: number;
  /**
   * Time after which a suspected member is removed, in milliseconds.
   * @default 5000
   */
  readonly suspicionMs?: number;
}

export interface GossipMember {
  handle(event: GossipEvent, nowMs: number): readonly GossipEffect[];
  /** Members that are not removed, including this member. */
  listMembers(): readonly membership.MemberRecord[];
  readonly replica: settingsReplica.SettingsReplica;
  isReady(): boolean;
  isWatching(): boolean;
}

/** Interval between two ticks. */
export const tickMs = 1_000;
/** Delay before new objects are pushed, so that a push batches them. */
export const pushDelayMs = 20;
/** Timeout of a request. */
export const replyTimeoutMs = 500;

const defaultFanOut = 5;
const maxProbeAttempts = 3;
/** Minimum gap between two ticks that shows that the process was paused. */
const pauseThresholdMs = 1.5 * tickMs;
/** Ticks between two probes of a removed member, which may have returned. */
const removedProbeIntervalTicks = 5;

/** Creates a member; its first tick starts it. */
export function createGossipMember(options: GossipOptions): GossipMember {
  const limits = options.limits ?? gossipMessage.defaultLimits;
  const members = membership.createMembership(options);
  const propagation = settingsPropagation.createSettingsPropagation(options);
  const selfId = options.self.id;
  /** Ids of members whose records are to be pushed. */
  const pendingMembers = new Set<string>();
  let isPushScheduled = false;
  let isWatching: boolean | undefined;
  let lastTickMs: number | undefined;
  let resumedAtMs = -Infinity;
  let tickCount = 0;

  function buildRequest(
    to: membership.MemberRecord,
    content: Partial<gossipMessage.GossipRequest>,
  ): gossipMessage.GossipRequest {
    const record = members.find(to.id);
    // Carries the suspicion to the suspected member, which then refutes it.
    const suspicion = record !== undefined && record.state !== "live"
      ? [record]
      : [];
    return {
      from: members.getSelf(),
      objects: [],
      wanted: [],
      ...content,
      members: [...suspicion, ...content.members ?? []]
        .slice(0, limits.members),
    };
  }

  function buildProbe(
    to: membership.MemberRecord,
    probeAttempt: number,
  ): GossipSend {
    const request = buildRequest(to, {
      membersHash: members.hash(),
      digest: propagation.replica.getDigest(),
    });
    return { kind: "send", to, request, probeAttempt };
  }

  function schedulePush(): GossipEffect[] {
    const hasPush = pendingMembers.size > 0 || propagation.hasPendingPush();
    if (isPushScheduled || !hasPush) return [];
    isPushScheduled = true;
    return [{ kind: "schedule_push" }];
  }

  function updateWatching(): GossipEffect[] {
    const isWatcher = settingsPropagation.isWatcher(
      members.getSelf(),
      members.list(),
    );
    if (isWatcher === isWatching) return [];
    isWatching = isWatcher;
    return [{ kind: "set_watching", isWatching: isWatcher }];
  }

  /** Queues membership changes for the next push and reports them. */
  function recordChanges(
    changed: readonly membership.MemberRecord[],
  ): GossipEffect[] {
    if (changed.length === 0) return [];
    for (const { id } of changed) pendingMembers.add(id);
    return [{ kind: "members_changed", changed }, ...updateWatching()];
  }

  function selectPushTargets(): readonly membership.MemberRecord[] {
    const peers = members.listPeers().filter(({ state }) => state === "live");
    const count = Math.min(options.fanOut ?? defaultFanOut, peers.length);
    return Array.from({ length: count }, () => {
      const index = Math.floor(options.random() * peers.length);
      return peers.splice(index, 1)[0]!;
    });
  }

  function push(): GossipEffect[] {
    isPushScheduled = false;
    const ids = [...pendingMembers].slice(0, limits.members);
    for (const id of ids) pendingMembers.delete(id);
    const records = ids.flatMap((id) => members.find(id) ?? []);
    const objects = propagation.takePushBatch();
    return selectPushTargets().map((to): GossipSend => ({
      kind: "send",
      to,
      request: buildRequest(to, { members: records, objects }),
    }));
  }

  /** Chooses a peer in a failure domain that has not confirmed the replica. */
  function chooseConfirmer(): membership.MemberRecord | undefined {
    const peers = members.listPeers().filter((peer) =>
      peer.state === "live" &&
      !propagation.hasPeerConfirmation(peer.failureDomain)
    );
    return peers[Math.floor(options.random() * peers.length)];
  }

  function detectPause(nowMs: number): void {
    const gapMs = nowMs - (lastTickMs ?? nowMs);
    lastTickMs = nowMs;
    if (gapMs < pauseThresholdMs) return;
    resumedAtMs = nowMs;
    members.extendDeadlines(gapMs);
  }

  function tick(nowMs: number): GossipEffect[] {
    detectPause(nowMs);
    tickCount += 1;
    const effects = recordChanges(members.expire(nowMs));
    effects.push(...updateWatching());
    // The first tick lists the store, which a watcher does in any case.
    if (tickCount === 1 && !isWatching) {
      effects.push({ kind: "list_store", isReadinessCheck: true });
    }
    const targets = [members.pickProbeTarget()];
    if (tickCount % removedProbeIntervalTicks === 0) {
      targets.push(members.pickRemovedTarget());
    }
    if (propagation.needsPeerConfirmation()) targets.push(chooseConfirmer());
    for (const to of targets) {
      if (to !== undefined) effects.push(buildProbe(to, 0));
    }
    return effects;
  }

  /** Applies the records of a message and of its sender, which is alive. */
  function applyMembers(
    message: gossipMessage.GossipRequest | gossipMessage.GossipReply,
    nowMs: number,
  ): GossipEffect[] {
    const records = [message.from, ...message.members];
    return recordChanges(members.apply(records, nowMs));
  }

  function convertEffects(
    effects: readonly settingsPropagation.PropagationEffect[],
    from?: membership.MemberRecord,
  ): GossipEffect[] {
    return effects.flatMap((effect): GossipEffect[] => {
      if (effect.kind !== "exchange") return [effect];
      if (from === undefined) return [];
      const request = buildRequest(from, {
        objects: effect.offered,
        wanted: effect.wanted,
      });
      return [{ kind: "send", to: from, request }];
    });
  }

  function handleRequest(
    request: gossipMessage.GossipRequest,
    nowMs: number,
  ): GossipEffect[] {
    const effects = applyMembers(request, nowMs);
    effects.push(
      ...convertEffects(propagation.handle({ kind: "request", request })),
    );
    const canOmitMembers = request.membersHash === undefined ||
      request.membersHash === members.hash();
    const reply: gossipMessage.GossipReply = {
      ...propagation.buildReply(request),
      from: members.getSelf(),
      members: canOmitMembers ? [] : members.listBatch(limits.members),
    };
    return [{ kind: "answer", reply }, ...effects];
  }

  function handleReply(
    { send, reply }: Extract<GossipEvent, { readonly kind: "reply" }>,
    nowMs: number,
  ): GossipEffect[] {
    const { request, to } = send;
    const effects = applyMembers(reply, nowMs);
    const isDigestReply = request.digest !== undefined;
    const propagationEffects = propagation.handle({
      kind: "reply",
      reply,
      isDigestReply,
    });
    effects.push(...convertEffects(propagationEffects, reply.from));
    const isCatchingUp = propagation.needsPeerConfirmation() && reply.isReady &&
      reply.objects.length > 0;
    if (isCatchingUp) effects.push(buildProbe(to, 0));
    return effects;
  }

  function handleTimeout(send: GossipSend, nowMs: number): GossipEffect[] {
    const { probeAttempt, to } = send;
    // Replies that arrive while this process is paused time out too, so such a
    // timeout is no evidence that the member failed.
    const wasPaused = nowMs - resumedAtMs < tickMs ||
      nowMs - (lastTickMs ?? nowMs) >= pauseThresholdMs;
    if (probeAttempt === undefined || wasPaused) return [];
    if (probeAttempt + 1 < maxProbeAttempts) {
      return [buildProbe(to, probeAttempt + 1)];
    }
    return recordChanges(members.suspect(to.id, nowMs));
  }

  function publishLeaving(): GossipEffect[] {
    const effects = recordChanges(members.leave());
    return [...effects, ...push()];
  }

  function handle(event: GossipEvent, nowMs: number): GossipEffect[] {
    switch (event.kind) {
      case "tick":
        return tick(nowMs);
      case "push_due":
        return push();
      case "instances_listed":
        return recordChanges(
          members.applyInstanceList(
            event.peers.filter((peer) => peer.id !== selfId),
            nowMs,
          ),
        );
      case "request":
        return handleRequest(event.request, nowMs);
      case "reply":
        return handleReply(event, nowMs);
      case "silent":
        return handleTimeout(event.send, nowMs);
      case "leave":
        return publishLeaving();
      case "weight_changed":
        return recordChanges(members.setWeight(event.weight));
      case "store_listed":
      case "store_changed":
      case "store_unavailable":
        return convertEffects(propagation.handle(event));
    }
  }

  return {
    handle: (event, nowMs) => [...handle(event, nowMs), ...schedulePush()],
    listMembers: () => members.list(),
    replica: propagation.replica,
    isReady: propagation.isReady,
    isWatching: () => isWatching ?? false,
  };
}
