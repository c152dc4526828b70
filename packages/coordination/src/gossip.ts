/**
 * One member of a gossiping cluster: membership and the spreading of settings
 * over the same messages. Events in, effects out; it opens no socket and reads
 * no clock.
 */
import * as gossipMessage from "./gossip_message.ts";
import * as membership from "./membership.ts";
import type * as random from "./random.ts";
import type * as settingsReplica from "./settings_replica.ts";
import * as settingsPropagation from "./settings_propagation.ts";

type StoreEvent = Extract<
  settingsPropagation.PropagationEvent,
  { readonly kind: "store_listed" | "store_changed" | "store_away" }
>;

/** What happens to the member. */
export type GossipEvent =
  | StoreEvent
  /** Every `tickMs`. */
  | { readonly kind: "tick" }
  /** `pushDelayMs` after the effect `schedule_push`. */
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
  /** A request wasn't answered within `replyTimeoutMs`, or couldn't be sent. */
  | { readonly kind: "silent"; readonly send: GossipSend }
  /** This member begins a planned stop. */
  | { readonly kind: "leave" }
  /** The share of keys that this member should get has changed. */
  | { readonly kind: "weighed"; readonly weight: number };

/** A request on its way; handed back with its reply or its silence. */
export interface GossipSend {
  readonly kind: "send";
  readonly to: membership.MemberRecord;
  readonly request: gossipMessage.GossipRequest;
  /** Attempts of a probe before this one; undefined = no probe. */
  readonly probeAttempt?: number;
}

/** What the member has to do. */
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
  | { readonly kind: "ready" }
  /** List all prefixes of the store once, and retry until then. */
  | Extract<
    settingsPropagation.PropagationEffect,
    { readonly kind: "list_store" }
  >
  /** Start or stop watching the store. */
  | { readonly kind: "set_watching"; readonly isWatching: boolean }
  /** These records of members are new here. */
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
   * Peers that each new object or record is pushed to.
   * @default 5
   */
  readonly fanOut?: number;
  /** @default 5000 */
  readonly suspicionMs?: number;
}

export interface GossipMember {
  handle(event: GossipEvent, nowMs: number): readonly GossipEffect[];
  /** Members that are not removed, this one included. */
  listMembers(): readonly membership.MemberRecord[];
  readonly replica: settingsReplica.SettingsReplica;
  isReady(): boolean;
  isWatching(): boolean;
}

/** Time between two ticks. */
export const tickMs = 1_000;
/** Wait before new objects are pushed, so that they travel together. */
export const pushDelayMs = 20;
/** Longest wait for a reply. */
export const replyTimeoutMs = 500;

const defaultFanOut = 5;
const probeAttempts = 3;
/** A tick that is later than this shows that the process was paused. */
const pauseThresholdMs = 1.5 * tickMs;
/** One removed member in so many ticks is probed, in case it came back. */
const removedProbeTicks = 5;

/** Creates a member; the first tick starts it. */
export function createGossipMember(options: GossipOptions): GossipMember {
  const limits = options.limits ?? gossipMessage.defaultLimits;
  const members = membership.createMembership(options);
  const spread = settingsPropagation.createSettingsPropagation(options);
  const selfId = options.self.id;
  /** Members whose records are to be pushed. */
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
    const known = members.find(to.id);
    // Whoever is suspected learns it from the next message and refutes it.
    const accusation = known !== undefined && known.state !== "live"
      ? [known]
      : [];
    return {
      from: members.getSelf(),
      objects: [],
      wanted: [],
      ...content,
      members: [...accusation, ...content.members ?? []]
        .slice(0, limits.members),
    };
  }

  function sendProbe(
    to: membership.MemberRecord,
    probeAttempt: number,
  ): GossipSend {
    const request = buildRequest(to, {
      membersHash: members.hash(),
      digest: spread.replica.getDigest(),
    });
    return { kind: "send", to, request, probeAttempt };
  }

  function schedulePush(): GossipEffect[] {
    const hasPush = pendingMembers.size > 0 || spread.hasPendingPush();
    if (isPushScheduled || !hasPush) return [];
    isPushScheduled = true;
    return [{ kind: "schedule_push" }];
  }

  function updateWatching(): GossipEffect[] {
    const isChosen = settingsPropagation.isWatcher(
      members.getSelf(),
      members.list(),
    );
    if (isChosen === isWatching) return [];
    isWatching = isChosen;
    return [{ kind: "set_watching", isWatching: isChosen }];
  }

  /** Passes changes of the membership on. */
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
    const objects = spread.takePushBatch();
    return selectPushTargets().map((to): GossipSend => ({
      kind: "send",
      to,
      request: buildRequest(to, { members: records, objects }),
    }));
  }

  /** Chooses a peer that can confirm the view while the store is away. */
  function chooseConfirmer(): membership.MemberRecord | undefined {
    const peers = members.listPeers().filter((peer) =>
      peer.state === "live" && !spread.hasPeerConfirmation(peer.failureDomain)
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
    // Watching lists the store anyway.
    if (tickCount === 1 && !isWatching) {
      effects.push({ kind: "list_store", isReadinessCheck: true });
    }
    const targets = [members.pickProbeTarget()];
    if (tickCount % removedProbeTicks === 0) {
      targets.push(members.pickRemovedTarget());
    }
    if (spread.needsPeerConfirmation()) targets.push(chooseConfirmer());
    for (const to of targets) {
      if (to !== undefined) effects.push(sendProbe(to, 0));
    }
    return effects;
  }

  /** Takes what a message says about members; its sender is alive. */
  function applyMembers(
    message: gossipMessage.GossipRequest | gossipMessage.GossipReply,
    nowMs: number,
  ): GossipEffect[] {
    const records = [message.from, ...message.members];
    return recordChanges(members.apply(records, nowMs));
  }

  function convertSpread(
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

  function replyTo(
    request: gossipMessage.GossipRequest,
    nowMs: number,
  ): GossipEffect[] {
    const effects = applyMembers(request, nowMs);
    effects.push(...convertSpread(spread.handle({ kind: "request", request })));
    const isAgreed = request.membersHash === undefined ||
      request.membersHash === members.hash();
    const reply: gossipMessage.GossipReply = {
      ...spread.buildReply(request),
      from: members.getSelf(),
      members: isAgreed ? [] : members.listBatch(limits.members),
    };
    return [{ kind: "answer", reply }, ...effects];
  }

  function takeReply(
    { send, reply }: Extract<GossipEvent, { readonly kind: "reply" }>,
    nowMs: number,
  ): GossipEffect[] {
    const { request, to } = send;
    const effects = applyMembers(reply, nowMs);
    const wasCompared = request.digest !== undefined;
    const spreadEffects = spread.handle({
      kind: "reply",
      reply,
      isDigestReply: wasCompared,
    });
    effects.push(...convertSpread(spreadEffects, reply.from));
    const isCatchingUp = spread.needsPeerConfirmation() && reply.isReady &&
      reply.objects.length > 0;
    if (isCatchingUp) effects.push(sendProbe(to, 0));
    return effects;
  }

  function takeSilence(send: GossipSend, nowMs: number): GossipEffect[] {
    const { probeAttempt, to } = send;
    // Replies that arrived during a pause of this process count as silence.
    const wasPaused = nowMs - resumedAtMs < tickMs ||
      nowMs - (lastTickMs ?? nowMs) >= pauseThresholdMs;
    if (probeAttempt === undefined || wasPaused) return [];
    if (probeAttempt + 1 < probeAttempts) {
      return [sendProbe(to, probeAttempt + 1)];
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
        return replyTo(event.request, nowMs);
      case "reply":
        return takeReply(event, nowMs);
      case "silent":
        return takeSilence(event.send, nowMs);
      case "leave":
        return publishLeaving();
      case "weighed":
        return recordChanges(members.setWeight(event.weight));
      case "store_listed":
      case "store_changed":
      case "store_away":
        return convertSpread(spread.handle(event));
    }
  }

  return {
    handle: (event, nowMs) => [...handle(event, nowMs), ...schedulePush()],
    listMembers: () => members.list(),
    replica: spread.replica,
    isReady: spread.isReady,
    isWatching: () => isWatching ?? false,
  };
}
