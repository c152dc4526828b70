/**
 * Liveness of the members of one system, which start with only a few seed
 * addresses. Of the members of the highest tier with the most capacity, the one
 * with the earliest start is the hub: the others report to it, and it sends the
 * list of live members to all of them. The number of messages grows linearly with
 * the number of members, not quadratically. No consensus is needed: two hubs at a
 * time only cost messages, and one of them yields as soon as a message lists the
 * other. Deterministic state machine: it handles messages and ticks and returns
 * messages to send.
 *
 * The others know each other only through the hub, whose list of members replaces
 * theirs. They keep each other while the next hub takes over. Members that lost all
 * others find them again through the seeds and the members that they lost.
 *
 * The hub also distributes its status (`news` in the messages), such as the age
 * of its view. A message may have been delayed anywhere, so it echoes the token
 * of the last hello from the receiver: the status was sampled after that hello
 * was sent. The others report theirs to the hub, which may know less than they do.
 */
import murmurhash from "murmurhash";
import type * as clock from "./clock.ts";

/** Identity and details of a member, as sent by the member. */
export interface MemberInfo<Details> {
  readonly id: string;
  /** Address for messages. */
  readonly address: string;
  /** Wall-clock start time. */
  readonly incarnation: number;
  /** Increases with each change of the details. */
  readonly revision: number;
  readonly details: Details;
}

export type RosterMessage<Details, Status = undefined> =
  /** A member reports its own info. */
  | {
    readonly kind: "hello";
    readonly from: MemberInfo<Details>;
    /** Hash of the live members at the sender. */
    readonly hash: number;
    /** Echoed by the hub together with its status. */
    readonly token: number;
    readonly news?: Status;
  }
  /** The members that are live in the view of the sender, without itself. */
  | {
    readonly kind: "roster";
    readonly from: MemberInfo<Details>;
    /** Undefined if the hash in the receiver's last hello matches. */
    readonly members?: readonly RelayedMember<Details>[];
    /** Token of the receiver's last hello; undefined without a hello. */
    readonly echo?: number;
    readonly news?: Status;
  };

/** A member as reported by another member. */
export interface RelayedMember<Details> {
  readonly info: MemberInfo<Details>;
  /** Time since the last message from the member itself, in milliseconds. */
  readonly heardAgoMs: number;
}

export interface RosterSend<Details, Status = undefined> {
  readonly to: string;
  readonly message: RosterMessage<Details, Status>;
}

/** Status of the hub, as received by a member. */
export interface ReceivedHubStatus<Status> {
  readonly news: Status;
  /** Time on the local clock after which the hub sampled the status. */
  readonly sampledAfterMs: number;
}

export interface RosterOptions<Details, Status = undefined> {
  readonly clock: clock.Clock;
  readonly self: Omit<MemberInfo<Details>, "revision">;
  /**
   * Returns the capacity of a member for the work of the hub, which grows with
   * the number of members; it decides within a tier.
   * @default () => 0
   */
  readonly getCapacity?: (details: Details) => number;
  /**
   * Returns the tier of a member; only one of the highest tier is the hub.
   * @default () => 0
   */
  readonly getTier?: (details: Details) => number;
  /** Initial addresses; may contain the own address. */
  readonly seeds: readonly string[];
  /**
   * Time without a message after which a member is no longer live, in
   * milliseconds.
   * @default 800
   */
  readonly memberTimeoutMs?: number;
  /**
   * Returns the status that the hub sends to all members, and that the other
   * members send with each hello.
   */
  readonly readStatus?: () => Status;
  /** Called with each received status of the hub. */
  readonly onHubStatus?: (received: ReceivedHubStatus<Status>) => void;
  /** Called with each status that another member sent with a hello. */
  readonly onMemberStatus?: (status: Status) => void;
}

export interface Roster<Details, Status = undefined> {
  /** Returns the messages to send now; to be called every `tickMs`. */
  tick(): readonly RosterSend<Details, Status>[];
  handle(
    message: RosterMessage<Details, Status>,
  ): readonly RosterSend<Details, Status>[];
  /** Changes the details of this member; returns the messages to send now. */
  setDetails(details: Details): readonly RosterSend<Details, Status>[];
  /** Adds addresses of possible members. */
  addSeeds(addresses: readonly string[]): void;
  /** Members that are live, including this member. */
  listLive(): readonly MemberInfo<Details>[];
  /** Members that were live within a time, including this member. */
  listRecent(withinMs: number): readonly MemberInfo<Details>[];
  /**
   * Of the live members of the highest tier with the most capacity, the one
   * started first.
   */
  getHub(): MemberInfo<Details>;
  isHub(): boolean;
}

/** Interval between two ticks. */
export const tickMs = 200;

const defaultMemberTimeoutMs = 800;
/**
 * Additional time for which a member stays live that only the hub hears of: two
 * ticks in which the next hub takes over from one that is lost.
 */
const relayedGraceMs = 2 * tickMs;
/** Number of hellos whose send times are kept. */
const maxRetainedTokens = 64;
/**
 * Ticks between two hellos to a seed and to a lost member, which may report an
 * older hub.
 */
const seedIntervalTicks = 5;
/** Number of lost members that a member without any other contacts in a tick. */
const lostPerTick = 3;
/** Time for which a member that is not live is contacted again. */
const lostMemberTtlMs = 600_000;

/** A member other than the roster's own, as this roster has recorded it. */
interface OtherMember<Details> {
  readonly info: MemberInfo<Details>;
  readonly lastSeenAtMs: number;
  readonly liveUntilMs: number;
  /** Hash in its last hello; undefined before its first hello. */
  readonly hash?: number;
  readonly token?: number;
}

/** Compares two infos of one member by version; 0 = equal. */
function compareVersions<Details>(
  a: MemberInfo<Details>,
  b: MemberInfo<Details>,
): number {
  return a.incarnation - b.incarnation || a.revision - b.revision;
}

/** Creates a roster that contains only the member itself. */
export function createRoster<Details, Status = undefined>(
  options: RosterOptions<Details, Status>,
): Roster<Details, Status> {
  type Message = RosterMessage<Details, Status>;
  type Sends = readonly RosterSend<Details, Status>[];
  const { clock, getCapacity = () => 0, getTier = () => 0 } = options;
  const memberTimeoutMs = options.memberTimeoutMs ?? defaultMemberTimeoutMs;
  const otherMembers = new Map<string, OtherMember<Details>>();
  const seeds = new Set(options.seeds);
  let self: MemberInfo<Details> = { ...options.self, revision: 1 };
  /** Send times of the latest hellos, by token. */
  const helloSentAtMs = new Map<number, number>();
  let token = 0;
  let tickCount = 0;
  let seedIndex = 0;
  let lostIndex = 0;

  function listOthers(withinMs: number): readonly OtherMember<Details>[] {
    const oldestMs = clock.now() - withinMs;
    return [...otherMembers.values()].filter(({ lastSeenAtMs }) =>
      lastSeenAtMs >= oldestMs
    );
  }

  /**
   * Compares members by tier and capacity, the highest first, then by start time,
   * the earliest first, then by id.
   */
  function compareSeniority(
    a: MemberInfo<Details>,
    b: MemberInfo<Details>,
  ): number {
    return getTier(b.details) - getTier(a.details) ||
      getCapacity(b.details) - getCapacity(a.details) ||
      a.incarnation - b.incarnation || (a.id < b.id ? -1 : 1);
  }

  function isLive({ liveUntilMs }: OtherMember<Details>): boolean {
    return clock.now() <= liveUntilMs;
  }

  function listLiveOthers(): readonly OtherMember<Details>[] {
    return [...otherMembers.values()].filter(isLive);
  }

  function listLive(): readonly MemberInfo<Details>[] {
    return [self, ...listLiveOthers().map(({ info }) => info)].sort(
      compareSeniority,
    );
  }

  function getHub(): MemberInfo<Details> {
    return listLive()[0] ?? self;
  }

  function recordMember(
    info: MemberInfo<Details>,
    heardAgoMs: number,
    hello: Pick<OtherMember<Details>, "hash" | "token"> = {},
  ): void {
    if (info.id === self.id) return;
    const lastSeenAtMs = clock.now() - heardAgoMs;
    const previous = otherMembers.get(info.id);
    const isOlder = previous !== undefined &&
      compareVersions(previous.info, info) > 0;
    if (isOlder) return;
    const isSameIncarnation = previous?.info.incarnation === info.incarnation;
    const seenBeforeMs = isSameIncarnation ? previous.lastSeenAtMs : -Infinity;
    const liveBeforeMs = isSameIncarnation ? previous.liveUntilMs : -Infinity;
    otherMembers.set(info.id, {
      ...(isSameIncarnation ? previous : {}),
      ...hello,
      info,
      lastSeenAtMs: Math.max(seenBeforeMs, lastSeenAtMs),
      liveUntilMs: Math.max(liveBeforeMs, lastSeenAtMs + memberTimeoutMs),
    });
  }

  /** Hashes the live members, regardless of when they were last seen. */
  function computeHash(): number {
    const names = listLive().map(({ id, incarnation, revision }) =>
      `${id}/${incarnation}/${revision}`
    )
      .sort();
    return murmurhash.v3(names.join(" "));
  }

  function createHello(): Message {
    token += 1;
    helloSentAtMs.set(token, clock.now());
    helloSentAtMs.delete(token - maxRetainedTokens);
    const news = options.readStatus?.();
    return { kind: "hello", from: self, hash: computeHash(), token, news };
  }

  function createRosterMessage(
    receiver: OtherMember<Details> | undefined,
  ): Message {
    const nowMs = clock.now();
    const hasSameMembers = receiver?.hash === computeHash();
    return {
      kind: "roster",
      from: self,
      echo: receiver?.token,
      news: options.readStatus?.(),
      members: hasSameMembers
        ? undefined
        : listLiveOthers().map(({ info, lastSeenAtMs }) => ({
          info,
          heardAgoMs: Math.ceil(nowMs - lastSeenAtMs),
        })),
    };
  }

  function sendRoster(): Sends {
    return listLiveOthers().map((member) => ({
      to: member.info.address,
      message: createRosterMessage(member),
    }));
  }

  /** Returns the next members that are not live any more, the oldest first. */
  function takeLost(count: number): readonly string[] {
    const liveIds = new Set(listLive().map(({ id }) => id));
    const lost = listOthers(lostMemberTtlMs).map(({ info }) => info)
      .filter(({ id }) => !liveIds.has(id))
      .sort(compareSeniority);
    const taken = Array.from(
      { length: Math.min(count, lost.length) },
      (_, offset) => lost[(lostIndex + offset) % lost.length]!.address,
    );
    lostIndex = (lostIndex + taken.length) % Math.max(1, lost.length);
    return taken;
  }

  /** Sends hellos to addresses where a member may not know this one. */
  function sendToSeedsAndLost(): Sends {
    const others = [...seeds].filter((address) => address !== self.address);
    const isAlone = listLive().length === 1;
    if (!isAlone && tickCount % seedIntervalTicks !== 0) return [];
    seedIndex = (seedIndex + 1) % Math.max(1, others.length);
    const addresses = isAlone
      ? [...others, ...takeLost(lostPerTick)]
      : [...others.slice(seedIndex, seedIndex + 1), ...takeLost(1)];
    return addresses.map((to) => ({ to, message: createHello() }));
  }

  /** Reports this member to the hub; the hub sends the roster to all. */
  function publish(): Sends {
    const hub = getHub();
    return hub.id === self.id
      ? sendRoster()
      : [{ to: hub.address, message: createHello() }];
  }

  function handleHello(
    { from, hash, token: newToken, news }: Extract<
      Message,
      { readonly kind: "hello" }
    >,
  ): Sends {
    if (news !== undefined) options.onMemberStatus?.(news);
    const previous = otherMembers.get(from.id)?.info;
    const isNewer = previous === undefined ||
      compareVersions(previous, from) < 0;
    recordMember(from, 0, { hash, token: newToken });
    if (getHub().id === self.id) return isNewer ? sendRoster() : [];
    // This member is not the hub; the roster shows the sender which member is.
    const message = createRosterMessage(otherMembers.get(from.id));
    return [{ to: from.address, message }];
  }

  /**
   * Replaces the live members by those that the hub lists, or confirms by their
   * hash. They stay live for longer than the hub itself without a message.
   */
  function applyHubMembers(
    { from, members }: Extract<Message, { readonly kind: "roster" }>,
  ): void {
    const nowMs = clock.now();
    const listedIds = new Set(members?.map(({ info }) => info.id));
    const relayedUntilMs = nowMs + memberTimeoutMs + relayedGraceMs;
    // The hub heard of each within the timeout, but not necessarily just now.
    const assumedSeenAtMs = nowMs - memberTimeoutMs / 2;
    for (const [id, member] of otherMembers) {
      if (id === from.id || !isLive(member)) continue;
      if (members !== undefined && !listedIds.has(id)) {
        otherMembers.set(id, { ...member, liveUntilMs: nowMs - 1 });
        continue;
      }
      otherMembers.set(id, {
        ...member,
        lastSeenAtMs: Math.max(member.lastSeenAtMs, assumedSeenAtMs),
        liveUntilMs: relayedUntilMs,
      });
    }
  }

  function handleRoster(
    message: Extract<Message, { readonly kind: "roster" }>,
  ): Sends {
    const previousHub = getHub().id;
    recordMember(message.from, 0);
    for (const { info, heardAgoMs } of message.members ?? []) {
      recordMember(info, heardAgoMs);
    }
    const hub = getHub();
    if (hub.id === message.from.id) applyHubMembers(message);
    const helloAtMs = helloSentAtMs.get(message.echo ?? 0);
    if (
      hub.id === message.from.id && helloAtMs !== undefined &&
      message.news !== undefined
    ) {
      options.onHubStatus?.({ news: message.news, sampledAfterMs: helloAtMs });
    }
    if (hub.id === previousHub || hub.id === self.id) return [];
    return [{ to: hub.address, message: createHello() }];
  }

  return {
    tick() {
      tickCount += 1;
      return [...publish(), ...sendToSeedsAndLost()];
    },
    handle: (message) =>
      message.kind === "hello" ? handleHello(message) : handleRoster(message),
    setDetails(details) {
      self = { ...self, details, revision: self.revision + 1 };
      return publish();
    },
    addSeeds(addresses) {
      for (const address of addresses) seeds.add(address);
    },
    listLive,
    listRecent: (withinMs) => [
      self,
      ...listOthers(withinMs).map(({ info }) => info),
    ],
    getHub,
    isHub: () => getHub().id === self.id,
  };
}
